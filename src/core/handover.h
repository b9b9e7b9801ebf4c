/* When a daemon that lost a group may stop serving it: once every new owner is warm at each
 * reachable database, and at the latest when the handover time ends. The state is queried
 * repeatedly, so a lost, late or duplicate notice has no effect, and a new owner that fails,
 * restarts or is replaced meanwhile counts only by what it reports after that. See
 * docs/design/ownership.md. */
#ifndef SW_CORE_HANDOVER_H
#define SW_CORE_HANDOVER_H

#include "core/ownership.h"
#include "core/types.h"

enum handover_state {
    HANDOVER_STATE_WAITING,  /* the old owner continues to serve */
    HANDOVER_STATE_WARM,     /* all new owners can serve, or there are none */
    HANDOVER_STATE_TIMED_OUT /* the handover time has ended */
};

/* One new owner. */
struct handover_owner {
    uint64_t id;
    time_ns
        warm_at[GROUP_DATABASES_MAX]; /* when it last reported that it is warm there; 0: never */
};

/* The handover of one group by one daemon. Used by one thread only. */
struct handover {
    time_ns until;                           /* end of the handover time */
    time_ns reached_at[GROUP_DATABASES_MAX]; /* when this daemon last reached each database */
    uint32_t database_count;
    struct handover_owner owners[OWNERSHIP_OWNERS_MAX];
    uint32_t owner_count;
};

/* Starts a handover that takes at most `max_time`. All databases count as reached now. */
void handover_init(struct handover *handover, uint32_t database_count, time_ns max_time,
                   time_ns now);

/* Sets the new owners of the group. */
void handover_set_owners(struct handover *handover, const uint64_t *ids, uint32_t count);

/* Sets which databases this daemon reaches, one bit each. */
void handover_set_reachable(struct handover *handover, uint32_t databases, time_ns now);

/* Records a report of an owner that it can serve from a database. Reports of daemons that are not
 * owners are ignored. */
void handover_owner_warm(struct handover *handover, uint64_t id, uint32_t database, time_ns now);

/* Databases for which to query an owner, one bit each. */
uint32_t handover_databases_to_query(const struct handover *handover, uint64_t id, time_ns now);

enum handover_state handover_state(const struct handover *handover, time_ns now);

#endif
