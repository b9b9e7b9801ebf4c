/* Admission of work to one database: a fixed number of slots, and a bounded queue before them. A
 * request that cannot be served before its deadline is refused at once, with the time the queue
 * takes to drain. Writes that cannot be repeated go first, reads last; within a class tenants get
 * equal shares (start-time fair queueing). */
#ifndef SW_CORE_ADMISSION_H
#define SW_CORE_ADMISSION_H

#include <glib.h>

#include "core/types.h"

/* Order of service. */
enum admission_class {
    ADMISSION_CLASS_UNREPEATABLE, /* commits, and writes without a key */
    ADMISSION_CLASS_KEYED_WRITE,
    ADMISSION_CLASS_READ,
    ADMISSION_CLASS_COUNT,
};

enum admission_verdict {
    ADMISSION_ADMITTED, /* has a slot now */
    ADMISSION_QUEUED,   /* admission_next will return it, admitted or expired */
    ADMISSION_REFUSED,  /* final */
};

/* One request before a database. Owned by the caller; must stay valid while queued. */
struct admission_ticket {
    enum admission_class rank;
    uint32_t tenant; /* hash of the tenant's name */
    uint32_t weight; /* tenant's share; at least 1 */
    time_ns deadline;
    time_ns entered_at; /* set by admission_enter */
    uint64_t tag;       /* set by admission_enter: order within the class */
};

/* Tenants share this many fair-queueing slots by hash; a collision shares one tenant's part. */
#define ADMISSION_TENANT_BUCKETS 256

/* Slots and queue of one database. Not thread-safe: the owner locks. */
struct admission {
    uint32_t slots;
    uint32_t queue_limit;
    uint32_t in_flight;
    uint32_t queued;
    uint32_t demand_peak; /* most that ran or were queued at once since it was taken last */
    time_ns service_time; /* smoothed time that a request holds a slot */
    uint64_t virtual_time;
    uint64_t tenant_finish[ADMISSION_TENANT_BUCKETS];
    GSequence *queues[ADMISSION_CLASS_COUNT]; /* of tickets, by tag */
    uint64_t refused_total;
};

/* Prepares an admission of `slots` and a queue of at most queue_limit. */
void admission_init(struct admission *admission, uint32_t slots, uint32_t queue_limit);

/* Frees the queue. No ticket may be queued. */
void admission_clear(struct admission *admission);

/* Takes a slot, a place in the queue, or neither. On refusal *retry_after_ms tells when the queue
 * will have drained; the caller adds jitter. */
enum admission_verdict admission_enter(struct admission *admission, struct admission_ticket *ticket,
                                       time_ns now, uint32_t *retry_after_ms);

/* Gives a slot back after holding it for held_for. */
void admission_leave(struct admission *admission, time_ns held_for);

/* Takes a queued ticket that is due: NULL if none. *admitted tells whether it has a slot now; if
 * not, it would end after its deadline and must be refused. Call until NULL after each leave. */
struct admission_ticket *admission_next(struct admission *admission, time_ns now, bool *admitted);

/* Takes a queued ticket that would end after its deadline even if it were begun now, wherever it
 * stands; NULL if none. For a janitor that looks now and then, so that a caller has its answer as
 * soon as that is certain. */
struct admission_ticket *admission_take_expired(struct admission *admission, time_ns now);

/* Changes the slots; fewer than are taken lets nobody in until enough have left. Call
 * admission_next until NULL afterwards. */
void admission_set_slots(struct admission *admission, uint32_t slots);

/* The most that ran or were queued at once since the last call. */
uint32_t admission_take_demand(struct admission *admission);

/* Time until the present queue is served, in milliseconds, at least 1. */
uint32_t admission_drain_ms(const struct admission *admission);

#endif
