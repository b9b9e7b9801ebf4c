/* Admission of work to one database: a fixed number of slots with a bounded queue. A request that
 * can't be served before its deadline is refused at once, with the time that the queue takes to
 * drain. Writes that can't be repeated go first, reads last. Within a class, tenants get shares by
 * their weights (start-time fair queueing). */
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
    ADMISSION_QUEUED,   /* admission_next() will return it, admitted or expired */
    ADMISSION_REFUSED,  /* final */
};

/* One request for a database. Owned by the caller; must stay valid while queued. */
struct admission_ticket {
    enum admission_class rank;
    uint32_t tenant; /* hash of the tenant's name */
    uint32_t weight; /* tenant's share; at least 1 */
    time_ns deadline;
    time_ns entered_at; /* set by admission_enter() */
    uint64_t tag;       /* set by admission_enter(): order within the class */
};

/* Tenants are hashed to this many fair-queueing buckets; tenants with the same bucket share one
 * share. */
#define ADMISSION_TENANT_BUCKETS 256

/* Slots and queue of one database. Not thread-safe: the caller locks. */
struct admission {
    uint32_t slots;
    uint32_t queue_limit;
    uint32_t in_flight;
    uint32_t queued;
    uint32_t demand_peak; /* maximum of running and queued requests since the last
                             admission_take_demand() */
    time_ns service_time; /* smoothed time for which a request holds a slot */
    uint64_t virtual_time;
    uint64_t tenant_finish[ADMISSION_TENANT_BUCKETS];
    GSequence *queues[ADMISSION_CLASS_COUNT]; /* of tickets, by tag */
    uint64_t refused_total;
};

/* Initialises an admission with `slots` slots and a queue of at most queue_limit requests. */
void admission_init(struct admission *admission, uint32_t slots, uint32_t queue_limit);

/* Frees the queues. No ticket may be queued. */
void admission_clear(struct admission *admission);

/* Takes a slot or queues the ticket, or refuses it. On refusal *retry_after_ms is the time until
 * the queue will have drained; the caller adds jitter. */
enum admission_verdict admission_enter(struct admission *admission, struct admission_ticket *ticket,
                                       time_ns now, uint32_t *retry_after_ms);

/* Releases a slot that was held for `held_for`. */
void admission_leave(struct admission *admission, time_ns held_for);

/* Removes and returns the next queued ticket that can be admitted or has expired; NULL if there is
 * none. *admitted is true if it has a slot now; otherwise it would end after its deadline and must
 * be refused. To be called after each admission_leave() until it returns NULL. */
struct admission_ticket *admission_next(struct admission *admission, time_ns now, bool *admitted);

/* Removes and returns a queued ticket, at any position, that would end after its deadline even if
 * it started now; NULL if there is none. For a periodic task, so that clients get the refusal as
 * soon as it is certain. */
struct admission_ticket *admission_take_expired(struct admission *admission, time_ns now);

/* Changes the number of slots. If more are taken, no request is admitted until enough have ended.
 * To be followed by admission_next() until it returns NULL. */
void admission_set_slots(struct admission *admission, uint32_t slots);

/* Returns the maximum of running and queued requests since the last call. */
uint32_t admission_take_demand(struct admission *admission);

/* Time in milliseconds until the current queue is served, at least 1. */
uint32_t admission_drain_ms(const struct admission *admission);

#endif
