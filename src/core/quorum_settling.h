/* Whether a change of a group's databases is done, so that the next may follow. Two changes in a
 * row may have majorities that share no database; the second must wait until nobody counts by what
 * was before the first, and until what was acknowledged by that is held by a majority of now:
 *
 * 1. agreed: most daemons know the configuration that is in force here, so that no other one can be
 *    confirmed any more;
 * 2. a wait: daemons that were confirmed before have stopped to serve, and what they had begun has
 *    ended;
 * 3. copied: where the primary's log then stood, a majority of the databases has come.
 *
 * Pure. See docs/design/configuration.md. */
#ifndef SW_CORE_QUORUM_SETTLING_H
#define SW_CORE_QUORUM_SETTLING_H

#include "core/types.h"

enum quorum_settling_state {
    QUORUM_SETTLING_AGREEING,  /* most daemons are not known to have this configuration */
    QUORUM_SETTLING_WAITING,   /* daemons may still count by the databases of before */
    QUORUM_SETTLING_NO_LEADER, /* the group has no primary */
    QUORUM_SETTLING_COPYING,   /* no majority has come to where the primary's log stood */
    QUORUM_SETTLING_DONE,
};

/* One group under one set of databases. Of the control thread. */
struct quorum_settling {
    time_ns wait;               /* from agreement on */
    time_ns agreed_at;          /* 0: not yet */
    struct log_position needed; /* where the primary's log stood after the wait; term 0: not yet */
    enum quorum_settling_state state;
};

/* The group got its present databases. */
void quorum_settling_start(struct quorum_settling *settling, time_ns wait);

/* Takes in the group's view; `agreed` says that most daemons have been known, since the start, to
 * have the configuration in force here. */
void quorum_settling_observe(struct quorum_settling *settling, const struct group_view *view,
                             bool agreed, time_ns now);

/* What is waited for, as a short text. */
const char *quorum_settling_state_text(enum quorum_settling_state state);

#endif
