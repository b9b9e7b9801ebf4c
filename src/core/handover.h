/* When a daemon that lost a group may stop serving it: once every new owner is warm at each
 * database that can be reached, and at the latest when the time for hand-over is over. The state is
 * asked for again and again, so that a notice that is lost, late or doubled changes nothing, and a
 * new owner that dies, restarts or is replaced meanwhile counts only for what it tells after that.
 * See docs/design/ownership.md. */
#ifndef SW_CORE_HANDOVER_H
#define SW_CORE_HANDOVER_H

#include "core/ownership.h"
#include "core/types.h"

enum handover_state {
    HANDOVER_STATE_WAITING,  /* the old owner goes on serving */
    HANDOVER_STATE_WARM,     /* all new owners can serve, or there are none */
    HANDOVER_STATE_TIMED_OUT /* the time for hand-over is over */
};

/* One new owner. */
struct handover_owner {
    uint64_t id;
    time_ns warm_at[GROUP_DATABASES_MAX]; /* when it last told to be warm there; 0: never */
};

/* The hand-over of one group by one daemon. One thread only. */
struct handover {
    time_ns until;                           /* end of the time for hand-over */
    time_ns reached_at[GROUP_DATABASES_MAX]; /* when this daemon last reached each database */
    uint32_t database_count;
    struct handover_owner owners[OWNERSHIP_OWNERS_MAX];
    uint32_t owner_count;
};

/* Begins a hand-over that takes `most` at most. All databases count as reached now. */
void handover_init(struct handover *handover, uint32_t database_count, time_ns most, time_ns now);

/* Tells who else owns the group now. */
void handover_set_owners(struct handover *handover, const uint64_t *ids, uint32_t count);

/* Tells which databases this daemon reaches, one bit each. */
void handover_set_reachable(struct handover *handover, uint32_t databases, time_ns now);

/* An owner told that it can serve from a database. Others than the owners are ignored. */
void handover_owner_warm(struct handover *handover, uint64_t id, uint32_t database, time_ns now);

/* Databases that an owner is to be asked about, one bit each. */
uint32_t handover_databases_to_query(const struct handover *handover, uint64_t id, time_ns now);

enum handover_state handover_state(const struct handover *handover, time_ns now);

#endif
