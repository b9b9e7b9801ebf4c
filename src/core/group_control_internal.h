/* State of one group's control, shared by its parts: observation (group_control_observe.c),
 * failover (group_control_failover.c), planned change (group_control_change.c), repair
 * (group_control_repair.c), stalled replication (group_control_replication.c), healing
 * (group_control_heal.c) and the step itself (group_control.c). Private to these files. */
#ifndef SW_CORE_GROUP_CONTROL_INTERNAL_H
#define SW_CORE_GROUP_CONTROL_INTERNAL_H

#include "core/acknowledge.h"
#include "core/group_control.h"

#define NO_DATABASE (-1)

/* What operators want of a database. */
enum member_wish {
    MEMBER_WISH_NONE,
    MEMBER_WISH_DRAIN,
    MEMBER_WISH_SERVE,
};

/* One database as this watcher knows it. */
struct member {
    struct database_status status;
    bool seen;
    time_ns older_since; /* its answers have gone back since then; 0 if not */
    bool forgot;         /* lost its log and promises, and does not hold the primary's log yet */
    uint32_t failures;   /* probes failed in a row */
    time_ns good_at;     /* last good probe, moved forward by own stalls */
    time_ns observed_at; /* when status was asked for */
    uint32_t round_trip_us;
    time_ns behind_since;          /* holds less than the primary, and its log has not changed since
                                      then; 0 if not. Moved forward by own stalls */
    struct log_position behind_at; /* what it held then */
    enum member_wish wish;
    uint64_t wish_order;   /* of the newest wish, also after its end */
    time_ns stale_since;   /* needs to follow the current primary since then; 0 if not */
    uint64_t heal_command; /* outstanding follow or leaving command; 0 if none */
    time_ns heal_after;    /* no further command to it before this time */
};

/* Another watcher of the group. */
struct peer {
    struct group_watcher watcher;
    bool heard;
    time_ns heard_at; /* or when it became known, if it was not heard yet */
    struct group_opinion opinion;
};

enum attempt_state {
    ATTEMPT_STATE_IDLE,
    ATTEMPT_STATE_FENCING,   /* asking every member to promise the new term */
    ATTEMPT_STATE_PROMOTING, /* the chosen member was told to lead */
    ATTEMPT_STATE_CHECKING,  /* the answer was lost: looking at its status */
};

/* One try to establish a new term. */
struct attempt {
    enum attempt_state state;
    enum group_reason reason;
    uint64_t term;
    uint32_t excluded; /* members that must not lead, and whose grants don't count */
    int32_t preferred; /* database that should lead, or NO_DATABASE */
    uint32_t granted;
    uint32_t answered; /* granted or refused */
    struct database_status status[GROUP_DATABASES_MAX];
    uint64_t command[GROUP_DATABASES_MAX];
    time_ns retry_at[GROUP_DATABASES_MAX];
    time_ns majority_at; /* 0 until a majority granted */
    uint32_t target;
    time_ns deadline;
};

enum change_state {
    CHANGE_STATE_IDLE,
    CHANGE_STATE_PAUSING, /* writes end and the target catches up */
    CHANGE_STATE_MOVING,  /* an attempt is under way */
};

/* A planned change of primary that this watcher runs. */
struct change {
    enum change_state state;
    enum group_reason reason;
    uint64_t count; /* changes begun */
    uint64_t id;
    uint64_t term; /* being left */
    uint32_t target;
    time_ns deadline;
    time_ns drained_at; /* since when no owner has writes running; 0 if not yet */
    time_ns poll_at;
    uint32_t aborts;    /* in a row */
    time_ns not_before; /* next try */
    bool blocked_recorded;
};

/* A pause of writes in force here, whoever asked for it. */
struct pause {
    uint64_t id; /* 0 if none */
    uint64_t coordinator;
    uint64_t drained; /* id for which the own writes have ended */
    time_ns until;
};

struct group_control {
    struct group_control_options options;
    time_ns now;
    time_ns last_event_at;
    time_ns started_at;

    struct member members[GROUP_DATABASES_MAX];
    bool in_membership;
    uint32_t watcher_count;
    struct group_watcher watchers[GROUP_WATCHERS_MAX];
    uint32_t peer_count; /* watchers but this one */
    struct peer peers[GROUP_WATCHERS_MAX];

    uint64_t known_term; /* highest term with a known primary */
    int32_t known_primary;
    time_ns learned_at; /* when it became known */
    time_ns led_at;     /* when it was last seen to lead, moved forward by own stalls */
    uint64_t promised_max;
    uint64_t promised_seen; /* promised_max when the start of an attempt was last considered */
    uint64_t proposed_max;  /* terms this watcher has tried: never tried again */

    /* The known primary replicates to no majority. Stays while it is not seen to lead, as when it
     * was fenced for that. */
    bool replication_stalled;
    bool replication_doubted;    /* as it looks after half the bound: if the primary is replaced
                                    meanwhile, others saw that too */
    uint32_t stall_replacements; /* primaries replaced for that in a row */

    bool suspects;
    bool confirmed;
    time_ns start_at; /* an attempt starts then; 0 if none is planned */
    uint32_t attempt_failures;

    struct attempt attempt;
    struct change change;
    struct pause pause;
    time_ns repair_since;

    uint64_t last_command;
    uint64_t jitter_counter;
    uint64_t opinion_sequence;
    time_ns opinion_at; /* the next one is due */
    bool opinion_due;

    struct group_view view;
    time_ns published_at;
    bool publish_due;   /* something that routing must learn at once changed */
    bool positions_due; /* only positions changed */

    struct group_actions *actions; /* of the step under way */
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
/* Takes a status; `observed_at` is when it was asked for, or 0 if that is not known. False if it is
 * older than what is known, and was not taken. */
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
 * writes, and no other is known yet. */
bool observe_deposed(const struct group_control *control);
/* Index of the trusted primary, or NO_DATABASE. */
int32_t observe_primary(const struct group_control *control);
/* Rank of this watcher among those that are alive and agree on the term. */
uint32_t observe_rank(const struct group_control *control, bool suspecting_only);
bool observe_peer_alive(const struct group_control *control, const struct peer *peer);

/* group_control_failover.c */
void failover_advance(struct group_control *control);
void failover_start(struct group_control *control, enum group_reason reason, int32_t preferred);
/* True if the command belonged to the attempt under way. */
bool failover_take_command(struct group_control *control, const struct group_event *event);

/* group_control_change.c */
void change_advance(struct group_control *control);
void change_take_pause(struct group_control *control, const struct group_opinion *opinion);
void change_take_drained(struct group_control *control, uint64_t change);
/* Ends the pause and the change after an attempt: the new primary leads, or it failed. */
void change_attempt_ended(struct group_control *control, bool promoted);

/* group_control_repair.c */
/* True once a member has had a stray promise for long: a planned change is to mend it. */
bool repair_is_due(struct group_control *control);
/* True if stray promises keep writes from being confirmed: a new term is needed at once. */
bool repair_is_urgent(struct group_control *control);

/* group_control_replication.c */
/* Takes what the last probes say of the replicas' progress. */
void replication_advance(struct group_control *control);
/* The replicas' time without progress counts from now on. */
void replication_watch_anew(struct group_control *control);
/* Call before a newer primary becomes known. */
void replication_primary_replaced(struct group_control *control);
/* Mask of the primary that an attempt must not choose again, since it replicates to no majority; 0
 * if there is none, or if the others that are reachable are no majority. */
uint32_t replication_excluded(const struct group_control *control);

/* group_control_heal.c */
void heal_advance(struct group_control *control);
bool heal_take_command(struct group_control *control, const struct group_event *event);
/* Tells every member but the new primary to follow it, at once. */
void heal_follow_all(struct group_control *control);

#endif
