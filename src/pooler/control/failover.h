/**
 * @file
 * @brief Failover of one group: which database is the primary, when it has to be replaced, and the
 * steps of the change. A state machine without sockets or clock. Events and the time come in
 * through its functions; commands go out through `struct failover_actions`.
 *
 * A change of primary has these steps:
 * 1. Close the old primary at all poolers.
 * 2. Fence it, so that it can acknowledge no more commits.
 * 3. Choose a candidate whose log holds every acknowledged commit.
 * 4. Record the intent in the store, under the coordinator's lease.
 * 5. Order the promotion, and wait until the candidate leads.
 * 6. Open the group with the new primary, and resume the other replicas.
 *
 * Why the candidate's log is complete: an acknowledged commit is on the primary and on at least
 * `sync_replicas` replicas. If the old primary reports that it stepped down, its log holds every
 * acknowledged commit, and so does any replica that has received as much. If it can't be queried,
 * enough replicas are paused that each acknowledged commit is on one of them and no further commit
 * can be acknowledged. The most advanced of these replicas then has a complete log.
 *
 * This requires that all members of the group are known. A store that was down may have dropped the
 * rows of running databases, and a coordinator that has just started knows no others. Until the
 * members have settled, only a step-down that the old primary itself reports allows a change.
 *
 * A database that leaves takes its log with it, and may have been the only replica that confirmed
 * some commits. These are then in the primary's log only. A departed member is therefore needed
 * until another replica holds all that the primary held after the departure. As long as none does,
 * no replica is promoted in place of a primary that can't be queried (failover_departed.c).
 *
 * All this holds only if the members are known from a complete record in the store. A directory
 * shows the databases that have a row now, not those that had one. Without such a record, the
 * databases that it would name count as one departed member, of which nothing is known.
 *
 * A restarted database may have lost its log. Until its log is seen to hold at least as much as the
 * logs that it is compared with, the database is not accepted as the primary even if it reports
 * that it leads, and its log does not count among those that hold each commit. If a commit may have
 * been on that database and on the old primary only, the old primary's log is needed, unless that
 * database has left for good.
 *
 * A replica that is resumed may still receive from an old primary that is running. That one could
 * then acknowledge commits that the new primary does not have. It steps down by itself within a
 * second of being able to reach the new primary. Replicas therefore stay paused for that long,
 * unless the old primary has reported that it stepped down, or nearly all poolers could not reach
 * it.
 */
#ifndef SW_POOLER_FAILOVER_H
#define SW_POOLER_FAILOVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"
#include "generated/messages.h"
#include "pooler/shared/wire.h"

enum database_command {
    DATABASE_COMMAND_STATUS,
    DATABASE_COMMAND_PAUSE, /* stop replicating until resumed, promoted or restarted */
    DATABASE_COMMAND_RESUME,
    DATABASE_COMMAND_STEP_DOWN, /* stop leading, if in a lower term */
};

enum failover_state {
    FAILOVER_SEARCHING,  /* no database is known to lead */
    FAILOVER_WATCHING,   /* the primary leads */
    FAILOVER_DRAINING,   /* the primary gets no new work; open work may finish */
    FAILOVER_FENCING,    /* the group is closed and the old primary is being fenced */
    FAILOVER_RECORDING,  /* the intent is being recorded */
    FAILOVER_PROMOTING,  /* the promotion is ordered */
    FAILOVER_CONFIRMING, /* the order was accepted; waits until the candidate leads */
};

/** @return the state's name for the log. */
const char *failover_state_name(enum failover_state state);

/** @brief What is known of the commits that a database whose row was deleted has confirmed. */
struct confirmed_log {
    struct log_position position; /* it may have confirmed the commits up to here */
    bool final;                   /* and none after it */
};

/** @brief A database that is no longer a member, and that may have confirmed commits of which the
 * remaining replicas hold no copy. */
struct departed_member {
    char *id;
    uint64_t endpoint; /* this and the next as in struct failover_member */
    uint64_t born_ms;
    time_ns since;   /* it has confirmed no commit since then */
    bool unrecorded; /* it stands for all members that no record names */
    struct confirmed_log confirmed;
};

/** @brief One database of the group, as the coordinator knows it. */
struct failover_member {
    char *id;
    uint64_t endpoint;    /* its address and port as one number; 0: not known */
    bool listed;          /* in the directory */
    bool takes_work;      /* neither draining nor leaving */
    bool reports_leading; /* by its directory row */
    bool at_capacity;     /* it refused the last command, for want of a connection or slot */
    bool answered;        /* it answered the last command */
    bool has_report;
    bool fenced;                   /* paused for the current change, or stepped down */
    struct database_report report; /* newest status */
    time_ns reported_at;
    uint64_t reported_in_term; /* the newest term that was known then */
    time_ns command_sent_at;
    bool command_pending;
    time_ns excluded_until; /* not eligible as the candidate before */
    unsigned failures;      /* consecutive commands without an answer */
    time_ns unanswered_at;  /* when the newest of these was sent */
    time_ns failing_since;  /* when the first of these timed out; 0: none */
    uint64_t born_ms;       /* when its process started, as it reports; 0: not known */
    /* The database restarted, and it is not known since then whether its log is still complete; 0:
     * it is complete. */
    time_ns log_unverified_since;
    time_ns absent_since; /* its directory row has been deleted since then; 0: it is present */
    struct confirmed_log confirmed; /* while it is absent */
};

/** @brief Faults of the primary that poolers report. Counted anew for each tick. */
struct failover_faults {
    uint32_t poolers;     /* with a recent heartbeat, that use the group */
    uint32_t unreachable; /* of these, report that the primary does not respond */
    uint32_t stalled;     /* of these, report that its writes are not acknowledged */
    uint32_t refusing;    /* of these, report that it answers that it does not lead */
};

struct failover;

/** @brief Outgoing commands of the state machine. */
struct failover_actions {
    /* Sends a command to a database. The answer comes by failover_answered() or
     * failover_refused(). */
    void (*send_command)(void *user, struct failover *failover, const char *database,
                         enum database_command command, uint64_t term);
    /* Records the intent to promote, or the finished promotion (`done`), under the lease. The
     * result of the former comes by failover_recorded(). */
    void (*record)(void *user, struct failover *failover, bool done);
    /* Orders the promotion of the candidate. The result comes by failover_promotion_answered(). */
    void (*promote)(void *user, struct failover *failover, const char *candidate);
    /* Sends the changed group order to the poolers. */
    void (*publish)(void *user, struct failover *failover);
    /* True if no pooler sends more work to the primary by an order before the current epoch. */
    bool (*closed)(void *user, struct failover *failover);
    /* True if no work is open at the primary. */
    bool (*drained)(void *user, struct failover *failover);
    void *user;
};

#define FAILOVER_NO_LIMIT UINT64_MAX /* of lost_log_wait */

struct failover {
    char *service;
    uint32_t sync_replicas;
    bool settled;          /* `members` is certainly complete */
    time_ns members_as_of; /* the members were the directory's newest at this time */
    bool queries_deferred; /* no low-priority status queries now: too many other groups send some */
    const struct failover_actions *actions;
    GPtrArray *members;  /* of struct failover_member */
    GPtrArray *departed; /* of struct departed_member; their logs are needed */
    time_ns gone_after;  /* a database whose row has been deleted for this long may have returned
                            under another id and at another endpoint */
    /* A database whose row has been deleted for this long is not waited for, unless a commit is
     * known that only it holds. FAILOVER_NO_LIMIT: it always is. */
    time_ns lost_log_wait;
    uint32_t replicas_led;        /* replicas, present or not, of the last primary; 0: not known */
    uint64_t membership_revision; /* rises with each change of what is recorded of the members */
    enum failover_state state;
    time_ns since; /* when the state was entered */
    uint64_t epoch;
    enum group_phase phase;
    char *primary;                /* id; NULL: not known */
    char *recorded_primary;       /* by the records of earlier coordinators; NULL: none */
    time_ns led_since;            /* the group was last opened with a primary */
    time_ns primary_absent_since; /* of a primary that is no member */
    uint64_t primary_born_ms;     /* the same, as in struct failover_member */
    uint64_t term;                /* newest known */
    uint64_t fence_term;          /* of the change in progress */
    char *candidate;
    time_ns promotion_tried_at;         /* last attempt to record or order the promotion */
    struct log_position stall_position; /* the most advanced replica's, at stall_since */
    time_ns stall_since;
    time_ns stall_again_at; /* no change for missing acknowledgements before */
    time_ns stall_wait;
    /* The old primary has not reported that it stepped down, and may be running. */
    bool former_may_be_alive;
    time_ns resume_at;     /* replicas stay paused until then, unless it reports a step-down */
    time_ns blocked_since; /* a change is needed and not possible; 0: not so */
    bool blocked_logged;
    time_ns minority_since; /* a minority of the poolers can't reach the primary; 0: not so */
};

struct failover *failover_new(const char *service, const struct failover_actions *actions);
void failover_free(struct failover *failover);

/** @brief Updates a member from its directory row, and adds it if it is new. */
void failover_set_member(struct failover *failover, const char *id, bool takes_work,
                         bool reports_leading);
/**
 * @brief Notes when a member's process started. If it restarted, all its earlier reports are
 * dropped and a pending command is given up.
 *
 * @param born_ms start time; 0: not known. Start times from the records of an earlier coordinator
 * may arrive after a later one, and do not replace it.
 * @return true if the member has restarted.
 */
bool failover_note_start(struct failover *failover, const char *id, uint64_t born_ms, time_ns now);
/** @brief Notes whether the directory row of a member has been deleted.
 *  @param since 0: it is present. */
void failover_note_absent(struct failover *failover, const char *id, time_ns since);
/** @brief Notes where a member listens. A database that starts where an absent one has listened has
 *  its log, and replaces it. */
void failover_note_endpoint(struct failover *failover, const char *id, uint64_t endpoint);
/** @brief Removes a member that has left the directory. Its log may still be needed. */
void failover_remove_member(struct failover *failover, const char *id);
/** @brief Notes a database that an earlier coordinator recorded as a member. If it is no member
 * now, and not the primary, it has departed. */
void failover_note_recorded_member(struct failover *failover, const char *id, uint64_t endpoint,
                                   uint64_t born_ms, struct confirmed_log confirmed, time_ns now);
/** @brief Notes that the store has no complete record of the members: others may have confirmed
 * commits. Their logs are needed until a replica holds all that the primary holds from now on. */
void failover_note_members_unrecorded(struct failover *failover, time_ns now);
/** @brief Notes that the members are those of a complete record. */
void failover_note_members_recorded(struct failover *failover);
/** @return true if all members that may have confirmed commits of which no replica is known to hold
 * a copy are known. */
bool failover_members_are_known(const struct failover *failover);
/** @brief Drops all departed members: an operator has given up the commits that only they hold. */
void failover_give_up_departed(struct failover *failover);
/** @return the id of the primary, or where none is known, of the last one by the records of earlier
 * coordinators; NULL: neither is known. */
const char *failover_last_primary(const struct failover *failover);
struct failover_member *failover_find(const struct failover *failover, const char *id);
/** @return true if the member, whose row was deleted at `deleted_at`, has left: a command sent
 * since then had no answer, and the member is neither the primary nor the candidate. */
bool failover_member_has_left(const struct failover *failover, const char *id, time_ns deleted_at);

/** @brief Starts from what an earlier coordinator recorded.
 *  @param candidate of a promotion that may be in progress; NULL: there is none.
 *  @param term newest known term. */
void failover_resume_promotion(struct failover *failover, const char *candidate, uint64_t term,
                               time_ns now);

/** @brief Notes the primary by the records of earlier coordinators. If no primary is known and the
 * database is no member, it is taken as the primary: all members then count as its replicas. */
void failover_note_recorded_primary(struct failover *failover, const char *database,
                                    uint64_t born_ms, time_ns now);

/** @brief Opens the group with a database that is certain to lead, without querying it. Does
 * nothing if it is no member, or has restarted.
 *  @param term newest known term; 0: none. */
void failover_adopt_primary(struct failover *failover, const char *database, uint64_t term,
                            time_ns now);

/** @return true if there are low-priority status queries to send: which database leads, or whether
 *  other members were left paused. */
bool failover_has_queries(const struct failover *failover);

/** @param report NULL: the database did not answer the command. */
void failover_answered(struct failover *failover, const char *database,
                       const struct database_report *report, time_ns now);
/** @brief The database refused the command for want of a slot or a connection. */
void failover_refused(struct failover *failover, const char *database, time_ns now);
/** @param done the intent to promote was recorded. */
void failover_recorded(struct failover *failover, bool done, time_ns now);

/** @brief The result of ordering a promotion. */
enum failover_promotion_result {
    FAILOVER_PROMOTION_ACCEPTED,
    FAILOVER_PROMOTION_REFUSED, /* the candidate can't lead */
    FAILOVER_PROMOTION_RETRY,   /* try again */
};
void failover_promotion_answered(struct failover *failover, enum failover_promotion_result result,
                                 time_ns now);

/** @brief Advances the state machine.
 *  @param faults as the poolers report them now. */
void failover_tick(struct failover *failover, const struct failover_faults *faults, time_ns now);

#endif
