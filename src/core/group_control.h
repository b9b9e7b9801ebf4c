/* Control of one replicated group, as seen by one watcher: detection of a lost primary, failover,
 * planned change, healing of members and draining. A pure state machine: no clock, socket, thread
 * or randomness. The shell feeds typed events that carry the time and performs the typed actions.
 *
 * Safety does not rest on timing. A new term needs the promises of a majority of the group's
 * databases, each given to one coordinator only; promised databases refuse every lower term. Time
 * only decides when an attempt starts. See docs/design/failover.md. */
#ifndef SW_CORE_GROUP_CONTROL_H
#define SW_CORE_GROUP_CONTROL_H

#include "core/suspicion.h"
#include "core/types.h"

/* Actions of one step, at most: fences, follows, probes and leaving marks for every database, and
 * the rest. */
#define GROUP_ACTIONS_MAX (5 * GROUP_DATABASES_MAX + 24)

/* Fixed settings of one group's control. Durations are nanoseconds. */
struct group_control_options {
    uint32_t group;
    uint64_t watcher; /* this watcher: must differ for every incarnation of a daemon */
    uint32_t zone;
    uint32_t database_count;
    uint32_t database_zone[GROUP_DATABASES_MAX];
    int32_t preferred_zone; /* zone preferred for a new primary, or -1 */
    uint64_t seed;          /* of the jitter */

    time_ns suspect_after;           /* no good probe of the primary for so long: suspect it */
    time_ns replication_stall_after; /* replicas that answer, lag and take nothing for so long stand
                                        still: at least `suspect_after` */
    time_ns unreachable_after;       /* no good probe for so long: routing avoids the database */
    time_ns suspicion_expiry;        /* a peer's suspicion counts for so long after it was heard */
    time_ns suspicion_repeat;        /* a suspicion is sent again this often */
    time_ns opinion_interval;        /* an opinion is sent at least this often */
    time_ns abstain_after;    /* a watcher silent for so long has no vote, if this one reaches a
                                 majority of the databases */
    time_ns peer_alive;       /* a peer heard within this time takes part in coordination */
    time_ns bootstrap_wait;   /* wait before the first primary of a new group is chosen */
    time_ns rank_step;        /* each rank waits this much longer before it coordinates */
    time_ns jitter;           /* and up to this much more */
    time_ns attempt_patience; /* wait when another coordinator is seen at work */
    time_ns fence_grace;      /* after a majority, wait this long for the other members */
    time_ns attempt_timeout;  /* fencing, and promoting, may each take so long */
    time_ns command_retry;    /* a lost command is sent again after this time */
    time_ns backoff;          /* first wait after a failed attempt; doubles to backoff_max */
    time_ns backoff_max;
    time_ns heal_interval;    /* a member is told to follow at most this often */
    time_ns repair_after;     /* a stray promise is repaired after this time */
    time_ns pause_first;      /* a planned change pauses writes at most this long at first; */
    time_ns pause_max;        /* doubled after each aborted change, up to this */
    time_ns pause_lease;      /* others end the pause when its coordinator is silent so long */
    time_ns pause_poll;       /* probes while writes are paused */
    time_ns forget_after;     /* a database whose promise or term has gone back for so long has lost
                                 what it held */
    time_ns own_stall_after;  /* a longer gap between events means that this daemon stood still */
    time_ns tick_interval;    /* the shell feeds a tick at least this often */
    time_ns sample_interval;  /* between position samples */
    time_ns publish_interval; /* between views that differ in positions only */
    uint32_t planned_attempts; /* planned changes aborted before one goes on although some writes
                                  have not ended, or some watchers are silent */

    bool single_watcher_deposes; /* TEST ONLY: one watcher's suspicion is enough (mutation) */
    bool no_fence;               /* TEST ONLY: promote without a majority's promises (mutation) */
    bool ignore_leaving;         /* TEST ONLY: drained databases stay in use (mutation) */
    bool no_pause;               /* TEST ONLY: change the primary without a pause (mutation) */
    bool ignore_stalled_replication; /* TEST ONLY: such a primary is left to lead (mutation) */
    bool
        trust_forgetful; /* TEST ONLY: count the grant of a database that lost its log (mutation) */
};

/* Fills in the default durations; identity fields are left zero. */
void group_control_options_init(struct group_control_options *options);

/* One watcher in the group's membership. */
struct group_watcher {
    uint64_t id;
    uint32_t zone;
};

/* What one watcher tells the others. Small, sent on change and at an interval. */
struct group_opinion {
    uint64_t watcher;
    uint64_t sequence;  /* grows with each opinion; an older one is dropped */
    uint64_t term;      /* highest term with a known primary */
    int32_t primary;    /* of that term, or -1 */
    bool suspects;      /* can't reach that primary in that term, or sees that it replicates to no
                           majority */
    uint32_t reachable; /* bit per database it reaches */
    uint64_t promised;  /* highest promise it has seen */
    uint64_t change;    /* id of the planned change it runs, during which writes pause; or 0 */
    uint64_t drained;   /* id of the planned change for which its own writes have ended; or 0 */
};

/* How a command ended. */
enum group_command_result {
    GROUP_COMMAND_OK,
    GROUP_COMMAND_REFUSED, /* the database answered and refused; its status is given */
    GROUP_COMMAND_LOST,    /* no answer: it may or may not have taken effect */
};

enum group_event_kind {
    GROUP_EVENT_TICK,
    GROUP_EVENT_PROBE,
    GROUP_EVENT_OPINION,
    GROUP_EVENT_COMMAND,
    GROUP_EVENT_WATCHERS,
    GROUP_EVENT_DRAIN,
    GROUP_EVENT_UNDRAIN,
    GROUP_EVENT_WRITES_DRAINED, /* no write that began before the paused view runs any more */
};

/* One input. Fields beyond `now` belong to the kinds named at them. */
struct group_event {
    enum group_event_kind kind;
    time_ns now;
    uint32_t database;                /* PROBE, DRAIN, UNDRAIN */
    bool reachable;                   /* PROBE */
    time_ns round_trip;               /* PROBE that succeeded */
    struct database_status status;    /* PROBE that succeeded, COMMAND ok or refused */
    struct group_opinion opinion;     /* OPINION */
    uint64_t command;                 /* COMMAND: id from the action */
    enum group_command_result result; /* COMMAND */
    uint64_t change;                  /* WRITES_DRAINED: id from the PUBLISH_VIEW action */
    uint64_t order;                   /* DRAIN, UNDRAIN: wall-clock microseconds of the request */
    uint32_t watcher_count;           /* WATCHERS: the confirmed membership, this one included */
    struct group_watcher watchers[GROUP_WATCHERS_MAX];
};

enum group_action_kind {
    GROUP_ACTION_PROBE,        /* probe the database now, ahead of the interval */
    GROUP_ACTION_FENCE,        /* fence(term, this watcher) */
    GROUP_ACTION_PROMOTE,      /* promote(term) */
    GROUP_ACTION_FOLLOW,       /* follow(term, primary) */
    GROUP_ACTION_SET_LEAVING,  /* mark the database as leaving, or not */
    GROUP_ACTION_SEND_OPINION, /* to all other watchers of the group */
    GROUP_ACTION_PUBLISH_VIEW, /* group_control_view() changed; with `change`, report when drained
                                */
    GROUP_ACTION_RECORD_EVENT, /* for the journal */
};

/* Journal entries. */
enum group_record_kind {
    GROUP_RECORD_SUSPECTED,       /* this watcher lost the primary */
    GROUP_RECORD_CLEARED,         /* and found it, or a newer one, again */
    GROUP_RECORD_CONFIRMED,       /* the zones agree */
    GROUP_RECORD_FENCE_STARTED,   /* an attempt for `term` began */
    GROUP_RECORD_FENCE_MAJORITY,  /* a majority promised `term` */
    GROUP_RECORD_PROMOTED,        /* `database` leads `term` from `position` */
    GROUP_RECORD_PRIMARY_LEARNED, /* a newer primary was found or heard of */
    GROUP_RECORD_ATTEMPT_FAILED,  /* see reason */
    GROUP_RECORD_CHANGE_STARTED,  /* writes pause for a planned change */
    GROUP_RECORD_CHANGE_ABORTED,  /* writes go on at the old primary; see reason */
    GROUP_RECORD_FOLLOW,          /* `database` was told to follow */
    GROUP_RECORD_LEAVING,         /* `database` is marked leaving */
    GROUP_RECORD_RETURNED,        /* `database` is no longer leaving */
    GROUP_RECORD_FORGOT,          /* `database` came back without what it had promised and held */
    GROUP_RECORD_DRAIN_BLOCKED,   /* no other database can take over from `database` */
    GROUP_RECORD_COUNT,
};

/* Why an attempt or a change did not go through, or began. */
enum group_reason {
    GROUP_REASON_NONE,
    GROUP_REASON_PRIMARY_LOST,
    GROUP_REASON_NO_PRIMARY, /* none was ever known */
    GROUP_REASON_DRAIN,
    GROUP_REASON_STRAY_PROMISE, /* a member promised a term that no primary leads */
    GROUP_REASON_REFUSED,       /* a newer term was promised to another coordinator */
    GROUP_REASON_TIMEOUT,
    GROUP_REASON_NEWER_PRIMARY,
    GROUP_REASON_REPLICATION_STALLED, /* the primary leads, but replicates to no majority */
    GROUP_REASON_COUNT,
};

/* Lower-case names for logs and traces. */
const char *group_record_kind_name(enum group_record_kind kind);
const char *group_reason_name(enum group_reason reason);
const char *group_event_kind_name(enum group_event_kind kind);
const char *group_action_kind_name(enum group_action_kind kind);

struct group_record {
    enum group_record_kind kind;
    enum group_reason reason;
    uint64_t term;
    int32_t database; /* or -1 */
    struct log_position position;
};

/* One output. Fields beyond `kind` belong to the kinds named at them. */
struct group_action {
    enum group_action_kind kind;
    uint64_t command;  /* FENCE, PROMOTE, FOLLOW, SET_LEAVING: id for the COMMAND event */
    uint32_t database; /* PROBE and the commands */
    uint64_t term;     /* FENCE, PROMOTE, FOLLOW */
    uint32_t primary;  /* FOLLOW */
    bool leaving;      /* SET_LEAVING */
    uint64_t order;    /* SET_LEAVING: the database keeps the mark with the highest */
    uint64_t change;   /* PUBLISH_VIEW of a paused view: answer with WRITES_DRAINED; or 0 */
    struct group_opinion opinion; /* SEND_OPINION */
    struct group_record record;   /* RECORD_EVENT */
};

/* Outputs of one step. */
struct group_actions {
    uint32_t count;
    struct group_action items[GROUP_ACTIONS_MAX];
    time_ns wake_at; /* feed a TICK at this time at the latest */
};

/* The state machine. Owned by one control thread; no locks. */
struct group_control;

/* Creates the control of a group; free with group_control_free(). */
struct group_control *group_control_new(const struct group_control_options *options, time_ns now);
void group_control_free(struct group_control *control);

/* Changes the times after which a primary without good probes is suspected and a database avoided,
 * as the probe interval changes. Shorter times count from the last event on: the shell brings the
 * next probes forward then. */
void group_control_set_detection(struct group_control *control, time_ns suspect_after,
                                 time_ns unreachable_after);

/* Takes one event and overwrites `actions` with what the shell must do, in order. */
void group_control_step(struct group_control *control, const struct group_event *event,
                        struct group_actions *actions);

/* The view as of the last step; the shell copies it to publish it. */
const struct group_view *group_control_view(const struct group_control *control);

/* True while this watcher fences, promotes or pauses writes. */
bool group_control_coordinates(const struct group_control *control);

#endif
