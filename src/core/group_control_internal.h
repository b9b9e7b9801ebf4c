/* State of one group's control, shared by its parts: observation (group_control_observe.c),
 * failover (group_control_failover.c), planned change (group_control_change.c), repair of promises
 * (group_control_repair.c), stalled replication (group_control_replication.c), resynchronisation
 * (group_control_resync.c) and the step itself (group_control.c). Private to these files. */
#ifndef SW_CORE_GROUP_CONTROL_INTERNAL_H
#define SW_CORE_GROUP_CONTROL_INTERNAL_H

#include "core/acknowledge.h"
#include "core/group_control.h"

#define NO_DATABASE (-1)

/* What operators request of a database. */
enum requested_state {
    REQUESTED_STATE_NONE,
    REQUESTED_STATE_DRAIN,
    REQUESTED_STATE_SERVE,
};

/* One database as known to this watcher. */
struct group_member {
    struct database_status status;
    bool status_known;
    time_ns regressed_since; /* it has reported a lower promise or term since then; 0 if not */
    bool lost_state;   /* lost its log and promises, and has not caught up with the primary yet */
    uint32_t failures; /* consecutive failed probes */
    time_ns last_success_at; /* last successful probe, moved forward by own stalls */
    time_ns observed_at;     /* when the query for status was sent */
    uint32_t round_trip_us;
    time_ns behind_since; /* holds less than the primary, and its log has not changed since then; 0
                             if not. Moved forward by own stalls */
    struct log_position behind_position; /* end of its log at behind_since */
    enum requested_state requested;
    uint64_t requested_order; /* time of the newest request; kept after the request is complete */
    time_ns stale_since;      /* it should follow the current primary since then; 0 if not */
    uint64_t resync_command;  /* outstanding follow or leaving command; 0 if none */
    time_ns resync_after;     /* no further follow or leaving command before this time */
};

/* Another watcher of the group. */
struct peer {
    struct group_watcher watcher;
    bool has_opinion;
    time_ns last_opinion_at; /* or when the watcher became known, if it has sent no opinion yet */
    struct group_opinion opinion;
};

enum attempt_state {
    ATTEMPT_STATE_IDLE,
    ATTEMPT_STATE_FENCING,   /* waiting for the members to promise the new term */
    ATTEMPT_STATE_PROMOTING, /* promote command sent to the target */
    ATTEMPT_STATE_CHECKING,  /* no reply to promote: waiting for the target's status */
};

/* One attempt to establish a new term. */
struct attempt {
    enum attempt_state state;
    enum group_reason reason;
    uint64_t term;
    uint32_t excluded; /* members that must not lead and whose grants don't count */
    int32_t preferred; /* database that should lead, or NO_DATABASE */
    uint32_t granted;
    uint32_t answered; /* granted or refused */
    struct database_status status[GROUP_DATABASES_MAX];
    uint64_t command[GROUP_DATABASES_MAX];
    time_ns retry_at[GROUP_DATABASES_MAX];
    time_ns majority_at; /* when a majority had granted; 0 before */
    uint32_t target;
    time_ns deadline;
};

enum change_state {
    CHANGE_STATE_IDLE,
    CHANGE_STATE_PAUSING, /* waiting for writes to end and for the target to catch up */
    CHANGE_STATE_MOVING,  /* the attempt is in progress */
};

/* A planned change of primary that this watcher coordinates. */
struct change {
    enum change_state state;
    enum group_reason reason;
    uint64_t count; /* changes started */
    uint64_t id;
    uint64_t term; /* term of the primary that is to be replaced */
    uint32_t target;
    time_ns deadline;
    time_ns drained_at; /* when all owners had ended their writes; 0 before */
    time_ns poll_at;
    uint32_t aborts;    /* consecutive aborted changes */
    time_ns not_before; /* earliest time of the next change */
    bool blocked_recorded;
};

/* A pause of writes in force here, whichever watcher coordinates it. */
struct pause {
    uint64_t id; /* 0 if none */
    uint64_t coordinator;
    uint64_t drained; /* id of the pause for which this daemon's writes have ended */
    time_ns until;
};

struct group_control {
    struct group_control_options options;
    time_ns now;
    time_ns last_event_at;
    time_ns started_at;

    struct group_member members[GROUP_DATABASES_MAX];
    bool in_membership;
    uint32_t watcher_count;
    struct group_watcher watchers[GROUP_WATCHERS_MAX];
    uint32_t peer_count; /* watchers except this one */
    struct peer peers[GROUP_WATCHERS_MAX];

    uint64_t known_term; /* highest term with a known primary */
    int32_t known_primary;
    time_ns learned_at; /* when known_primary became known */
    time_ns led_at;     /* when it was last seen to lead, moved forward by own stalls */
    uint64_t promised_max;
    uint64_t promised_seen; /* promised_max when the start of an attempt was last considered */
    uint64_t proposed_max;  /* highest term that this watcher has tried; never tried again */

    /* The known primary replicates to no majority. Keeps its value while the primary is not seen to
     * lead, for example after it was fenced for this reason. */
    bool replication_stalled;
    bool replication_stall_likely; /* the same after half the time limit: if the primary is replaced
                                      meanwhile, other watchers saw the stall too */
    uint32_t stall_replacements;   /* consecutive primaries replaced for this reason */

    bool suspects;
    bool confirmed;
    time_ns start_at; /* start time of the next attempt; 0 if none is planned */
    uint32_t attempt_failures;

    struct attempt attempt;
    struct change change;
    struct pause pause;
    time_ns repair_since;

    uint64_t last_command;
    uint64_t jitter_counter;
    uint64_t opinion_sequence;
    time_ns opinion_at; /* when the next opinion is due */
    bool opinion_due;

    struct group_view view;
    time_ns published_at;
    bool publish_due;   /* routing must learn of a change without delay */
    bool positions_due; /* only positions have changed */

    struct group_actions *actions; /* of the step in progress */
};

/* group_control.c */
struct group_action *control_add_action(struct group_control *control, enum group_action_kind kind);
struct group_action *control_add_command(struct group_control *control, enum group_action_kind kind,
                                         uint32_t database);
void control_record(struct group_control *control, enum group_record_kind kind,
                    enum group_reason reason, uint64_t term, int32_t database,
                    struct log_position position);
void control_wake_at(struct group_control *control, time_ns at);
time_ns control_jitter(struct group_control *control, time_ns bound);

/* group_control_observe.c */
void observe_own_stall(struct group_control *control);
void observe_probe(struct group_control *control, const struct group_event *event);
/* Applies a status. `observed_at` is when the query was sent, or 0 if unknown. False if the status
 * is older than the known one and was ignored. */
bool observe_status(struct group_control *control, uint32_t database,
                    const struct database_status *status, time_ns observed_at);
void observe_opinion(struct group_control *control, const struct group_opinion *opinion);
void observe_watchers(struct group_control *control, const struct group_event *event);
void observe_suspicion(struct group_control *control);
bool observe_is_reachable(const struct group_control *control, uint32_t database);
uint32_t observe_reachable_mask(const struct group_control *control);
/* True if this watcher reaches a majority of the databases. */
bool observe_reaches_majority(const struct group_control *control);
/* True if the database leads `known_term` and no majority has promised it away. */
bool observe_leads(const struct group_control *control, uint32_t database);
/* True if a majority promised a term above that of the last known primary: it can confirm no more
 * writes, and no newer primary is known yet. */
bool observe_deposed(const struct group_control *control);
/* Index of the known primary if it was seen to lead its term, else NO_DATABASE. */
int32_t observe_primary(const struct group_control *control);
/* Rank of this watcher among those that are alive, or that suspect the primary if
 * `suspecting_only`, and that agree on the term. */
uint32_t observe_rank(const struct group_control *control, bool suspecting_only);
bool observe_peer_alive(const struct group_control *control, const struct peer *peer);

/* group_control_failover.c */
void failover_advance(struct group_control *control);
void failover_start(struct group_control *control, enum group_reason reason, int32_t preferred);
/* True if the command belongs to the attempt in progress. */
bool failover_handle_command(struct group_control *control, const struct group_event *event);

/* group_control_change.c */
void change_advance(struct group_control *control);
void change_handle_opinion(struct group_control *control, const struct group_opinion *opinion);
void change_handle_drained(struct group_control *control, uint64_t change);
/* Ends the pause and the change after an attempt, successful or failed. */
void change_attempt_ended(struct group_control *control, bool promoted);

/* group_control_repair.c */
/* True once a member has had a stray promise for `repair_after`: a planned change repairs it. */
bool repair_is_due(struct group_control *control);
/* True if stray promises prevent a majority from confirming writes: a new term is needed without
 * delay. */
bool repair_is_urgent(struct group_control *control);

/* group_control_replication.c */
/* Updates the replicas' progress from the last probes. */
void replication_advance(struct group_control *control);
/* Restarts the time without progress of every replica. */
void replication_restart_timers(struct group_control *control);
/* Call before a newer primary becomes known. */
void replication_primary_replaced(struct group_control *control);
/* Mask of a primary that an attempt must not choose again because it replicates to no majority. 0
 * if there is none, or if the other reachable databases are no majority. */
uint32_t replication_excluded(const struct group_control *control);

/* group_control_resync.c */
void resync_advance(struct group_control *control);
bool resync_handle_command(struct group_control *control, const struct group_event *event);
/* Sends follow commands to every member except the new primary. */
void resync_follow_all(struct group_control *control);

#endif
