/* Whether a change of a group's set of databases is complete, so that the next may follow. Two
 * successive changes may have majorities that share no database. So the second must wait until no
 * daemon uses the set from before the first, and until a majority of the current set holds all
 * writes that were acknowledged with the former set:
 *
 * 1. agreed: most daemons are known to have the configuration in force here, so no other one can be
 * confirmed any more;
 *
 * 2. wait: daemons confirmed before have stopped serving, and their operations have ended;
 *
 * 3. copied: a majority of the databases has reached the end of the primary's log as it was after
 * the wait.
 *
 * Pure. See docs/design/configuration.md. */
#ifndef SW_CORE_QUORUM_SETTLING_H
#define SW_CORE_QUORUM_SETTLING_H

#include "core/types.h"

enum quorum_settling_state {
    QUORUM_SETTLING_AGREEING,  /* most daemons are not known to have this configuration */
    QUORUM_SETTLING_WAITING,   /* daemons may still use the previous set of databases */
    QUORUM_SETTLING_NO_LEADER, /* the group has no primary */
    QUORUM_SETTLING_COPYING,   /* no majority has reached the needed position */
    QUORUM_SETTLING_DONE,
};

/* One group with one set of databases. Used by the control thread only. */
struct quorum_settling {
    time_ns wait;               /* time to wait after agreement */
    time_ns agreed_at;          /* 0: not agreed yet */
    struct log_position needed; /* end of the primary's log after the wait; term 0: not known yet */
    enum quorum_settling_state state;
};

/* Starts settling after the group got its current databases. */
void quorum_settling_start(struct quorum_settling *settling, time_ns wait);

/* Updates the state from the group's view. `agreed`: since the start, most daemons have been known
 * to have the configuration in force here. */
void quorum_settling_observe(struct quorum_settling *settling, const struct group_view *view,
                             bool agreed, time_ns now);

/* What the group is waiting for, as a short text. */
const char *quorum_settling_state_text(enum quorum_settling_state state);

#endif
