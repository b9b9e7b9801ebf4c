/* Control of one replicated group by one watcher (one daemon that monitors the group): detection of
 * a failed primary, failover, planned change of primary, resynchronisation of members and draining.
 * A pure state machine: no clock, socket, thread or randomness. The caller feeds typed events that
 * carry the time and carries out the typed actions.
 *
 * Safety does not depend on timing. A new term needs the promises of a majority of the group's
 * databases, and each database promises a term to one coordinator only and then refuses every lower
 * term. Time only decides when an attempt starts. See docs/design/failover.md. */
#ifndef SW_CORE_GROUP_CONTROL_H
#define SW_CORE_GROUP_CONTROL_H

#include "core/suspicion.h"
#include "core/types.h"

/* Maximum number of actions of one step: fences, follows, probes and leaving marks for every
 * database, and a fixed number of others. */
#define GROUP_ACTIONS_MAX (5 * GROUP_DATABASES_MAX + 24)

/* Fixed settings of one group's control. Durations are nanoseconds. */
struct group_control_options {
    uint32_t group;
    uint64_t watcher; /* id of this watcher: must differ for every run of a daemon */
    uint32_t zone;
    uint32_t database_count;
    uint32_t database_zone[GROUP_DATABASES_MAX];
    int32_t preferred_zone; /* zone preferred for a new primary, or -1 */
    uint64_t seed;          /* seed of the jitter */

    time_ns suspect_after; /* the primary is suspected after this time without a successful probe */
    time_ns replication_stall_after; /* a reachable replica that lags and whose log has not grown
                                        for this time has stalled; at least `suspect_after` */
    time_ns unreachable_after; /* routing avoids a database after this time without a successful
                                  probe */
    time_ns suspicion_expiry;  /* a peer's suspicion counts for this time after its arrival */
    time_ns suspicion_repeat;  /* interval at which a suspicion is repeated */
    time_ns opinion_interval;  /* maximum interval between opinions */
    time_ns abstain_after;     /* a watcher has no vote after this time without an opinion, provided
                                  that this one reaches a majority of the databases */
    time_ns peer_alive;        /* a peer whose last opinion is younger takes part in coordination */
    time_ns bootstrap_wait;    /* wait before the first primary of a new group is chosen */
    time_ns rank_step;         /* additional wait per rank before an attempt */
    time_ns jitter;            /* maximum random addition to that wait */
    time_ns attempt_patience;  /* wait when another coordinator is seen to be active */
    time_ns fence_grace; /* after a majority has answered, wait this long for the other members */
    time_ns attempt_timeout; /* time limit for fencing, and again for promoting */
    time_ns command_retry;   /* a command without a reply is repeated after this time */
    time_ns backoff;         /* first wait after a failed attempt; doubles to backoff_max */
    time_ns backoff_max;
    time_ns heal_interval; /* minimum interval between follow commands to one member */
    time_ns repair_after;  /* a stray promise is repaired after this time */
    time_ns pause_first;   /* limit of the first pause of writes for a planned change */
    time_ns pause_max;     /* limit of later pauses: the limit doubles with each aborted change */
    time_ns pause_lease;   /* other watchers end the pause this long after the coordinator's last
                              opinion */
    time_ns pause_poll;    /* interval of probes while writes are paused */
    time_ns forget_after;  /* a database that has reported a lower promise or term for this long has
                              lost its state */
    time_ns own_stall_after;   /* after a longer gap between events this daemon itself is taken to
                                  have stalled */
    time_ns tick_interval;     /* the caller feeds a tick at least this often */
    time_ns sample_interval;   /* minimum time between position samples */
    time_ns publish_interval;  /* minimum time between views that differ in positions only */
    uint32_t planned_attempts; /* after this many aborted planned changes the next one no longer
                                  waits for all writes to end or all watchers to respond */

    bool single_watcher_deposes; /* TEST ONLY: one watcher's suspicion is enough (mutation) */
    bool no_fence;               /* TEST ONLY: promote without a majority's promises (mutation) */
    bool ignore_leaving;         /* TEST ONLY: drained databases stay in use (mutation) */
    bool no_pause;               /* TEST ONLY: change the primary without a pause (mutation) */
    bool ignore_stalled_replication; /* TEST ONLY: a primary whose replication has stalled is not
                                        replaced (mutation) */
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

/* What one watcher reports to the others. Sent on change and at an interval. */
struct group_opinion {
    uint64_t watcher;
    uint64_t sequence;  /* increases with each opinion; an older one is dropped */
    uint64_t term;      /* highest term with a known primary */
    int32_t primary;    /* of that term, or -1 */
    bool suspects;      /* the primary is unreachable in that term, or replicates to no majority */
    uint32_t reachable; /* bit per database that this watcher reaches */
    uint64_t promised;  /* highest promise it has seen */
    uint64_t change;  /* id of the planned change it coordinates, during which writes pause; or 0 */
    uint64_t drained; /* id of the planned change for which its own writes have ended; or 0 */
};

/* How a command ended. */
enum group_command_result {
    GROUP_COMMAND_OK,
    GROUP_COMMAND_REFUSED, /* the database refused; its status is given */
    GROUP_COMMAND_LOST,    /* no reply: the command may or may not have taken effect */
};

enum group_event_kind {
    GROUP_EVENT_TICK,
    GROUP_EVENT_PROBE,
    GROUP_EVENT_OPINION,
    GROUP_EVENT_COMMAND,
    GROUP_EVENT_WATCHERS,
    GROUP_EVENT_DRAIN,
    GROUP_EVENT_UNDRAIN,
    GROUP_EVENT_WRITES_DRAINED, /* all writes that began before the paused view have ended */
};

/* One input. Each field after `now` names the kinds that use it. */
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
    GROUP_ACTION_PUBLISH_VIEW, /* the view changed; with `change`: report when drained */
    GROUP_ACTION_RECORD_EVENT, /* for the event log */
};

/* Entries of the group's event log. */
enum group_record_kind {
    GROUP_RECORD_SUSPECTED,       /* this watcher suspects the primary */
    GROUP_RECORD_CLEARED,         /* the suspicion ended: the primary, or a newer one, was found */
    GROUP_RECORD_CONFIRMED,       /* a majority of zones confirms the suspicion */
    GROUP_RECORD_FENCE_STARTED,   /* an attempt for `term` began */
    GROUP_RECORD_FENCE_MAJORITY,  /* a majority promised `term` */
    GROUP_RECORD_PROMOTED,        /* `database` leads `term` from `position` */
    GROUP_RECORD_PRIMARY_LEARNED, /* a newer primary was seen or reported */
    GROUP_RECORD_ATTEMPT_FAILED,  /* see reason */
    GROUP_RECORD_CHANGE_STARTED,  /* writes are paused for a planned change */
    GROUP_RECORD_CHANGE_ABORTED,  /* writes resume at the old primary; see reason */
    GROUP_RECORD_FOLLOW,          /* follow command sent to `database` */
    GROUP_RECORD_LEAVING,         /* `database` is marked leaving */
    GROUP_RECORD_RETURNED,        /* `database` is no longer leaving */
    GROUP_RECORD_STATE_LOST,      /* `database` has lost its log and its promises */
    GROUP_RECORD_DRAIN_BLOCKED,   /* no other database can take over from `database` */
    GROUP_RECORD_COUNT,
};

/* Why an attempt or a change began or failed. */
enum group_reason {
    GROUP_REASON_NONE,
    GROUP_REASON_PRIMARY_LOST,
    GROUP_REASON_NO_PRIMARY, /* no primary has been known yet */
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

/* One output. Each field after `kind` names the kinds that use it. */
struct group_action {
    enum group_action_kind kind;
    uint64_t command;  /* FENCE, PROMOTE, FOLLOW, SET_LEAVING: id for the COMMAND event */
    uint32_t database; /* PROBE and the commands */
    uint64_t term;     /* FENCE, PROMOTE, FOLLOW */
    uint32_t primary;  /* FOLLOW */
    bool leaving;      /* SET_LEAVING */
    uint64_t order;  /* SET_LEAVING: time of the request; the database keeps the mark of the latest
                        request */
    uint64_t change; /* PUBLISH_VIEW of a paused view: id to return in WRITES_DRAINED; or 0 */
    struct group_opinion opinion; /* SEND_OPINION */
    struct group_record record;   /* RECORD_EVENT */
};

/* Outputs of one step. */
struct group_actions {
    uint32_t count;
    struct group_action items[GROUP_ACTIONS_MAX];
    time_ns wake_at; /* feed a TICK at this time at the latest */
};

/* The state machine. Owned by one control thread; takes no locks. */
struct group_control;

/* Creates the control of a group; free with group_control_free(). */
struct group_control *group_control_new(const struct group_control_options *options, time_ns now);
void group_control_free(struct group_control *control);

/* Changes the times without successful probes after which the primary is suspected and a database
 * avoided, when the probe interval changes. Shorter times count from the last event, since earlier
 * probes were made at the longer interval; the caller makes the next probes sooner. */
void group_control_set_detection(struct group_control *control, time_ns suspect_after,
                                 time_ns unreachable_after);

/* Handles one event and overwrites `actions` with what the caller must do, in this order. */
void group_control_step(struct group_control *control, const struct group_event *event,
                        struct group_actions *actions);

/* The view as of the last step. The caller copies it before publishing it. */
const struct group_view *group_control_view(const struct group_control *control);

/* True while this watcher fences, promotes or pauses writes as coordinator. */
bool group_control_coordinates(const struct group_control *control);

#endif
