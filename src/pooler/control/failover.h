/* The coordinator's control of one group: who leads, when another database has to, and the steps to
 * it. A state machine without sockets or clock: events and time come in, commands go out through
 * `struct failover_actions`.
 *
 * A change of primary goes: close the old primary at all poolers; fence it, so that it can
 * acknowledge nothing more; choose a database whose log holds every acknowledged commit; record the
 * intent under the coordinator's lease; order the promotion; wait until it leads; open it and
 * resume the others.
 *
 * Why the chosen log is whole: an acknowledged commit is on the primary and on `sync_replicas`
 * replicas. Once the old primary has itself said that it stepped down, its log holds every such
 * commit, and a replica that has received as much is whole. Where it can't be asked, so many
 * replicas are paused that each acknowledged commit is on one of them and no further one can be
 * acknowledged; the most advanced of these is whole.
 *
 * All that holds only where every member is known. A store that was down may have dropped records
 * of databases that are well, and a coordinator that has just started knows no others: until the
 * members have settled, only the old primary's own word counts.
 *
 * A database that has started again may have lost its log. Until it is seen to hold as much as
 * those that it is compared with, it neither leads by its own word, nor does its log count among
 * those that hold each commit: where a commit may have been on it and on the old primary alone, the
 * old primary's log is needed, unless that is gone for good.
 *
 * A replica that is resumed may still receive from an old primary that lives on, which could then
 * acknowledge commits that the new one lacks. Such a primary steps down by itself a second after it
 * can reach the new one: until then the replicas stay paused, unless it has said that it stepped
 * down, or nearly all poolers had found it dark. */
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
    DATABASE_COMMAND_PAUSE, /* receive nothing until resumed, promoted or restarted */
    DATABASE_COMMAND_RESUME,
    DATABASE_COMMAND_STEP_DOWN, /* stop leading if of a lower term */
};

enum failover_state {
    FAILOVER_SEARCHING,  /* nobody is known to lead */
    FAILOVER_WATCHING,   /* the primary leads */
    FAILOVER_DRAINING,   /* no new work for the primary; what is open may end */
    FAILOVER_FENCING,    /* closed; the old primary is fenced */
    FAILOVER_RECORDING,  /* the intent is being recorded */
    FAILOVER_PROMOTING,  /* the promotion is ordered */
    FAILOVER_CONFIRMING, /* ordered; waits until the candidate leads */
};

const char *failover_state_name(enum failover_state state);

/* One database as the coordinator knows it. */
struct failover_member {
    char *id;
    bool listed;          /* in the directory */
    bool takes_work;      /* neither draining nor gone */
    bool reports_leading; /* by its own record */
    bool at_capacity;     /* the last command was refused for want of room */
    bool answered;        /* the last command was answered */
    bool has_report;
    bool fenced;                   /* paused for this change, or stepped down */
    struct database_report report; /* newest */
    time_ns reported_at;
    time_ns command_sent_at;
    bool command_pending;
    time_ns excluded_until;       /* not a candidate before */
    unsigned failures;            /* commands in a row that went unanswered */
    time_ns unanswered_at;        /* the newest of these was sent then */
    time_ns failing_since;        /* its commands go unanswered since then; 0: they are answered */
    uint64_t born_ms;             /* when it started, by its own word; 0: not known */
    time_ns log_unverified_since; /* it has started again: whether its log still holds what it held
                               is not known since then; 0: it does */
};

/* What the poolers say of the primary. Counted anew for each tick. */
struct failover_faults {
    uint32_t poolers;     /* that were heard lately */
    uint32_t unreachable; /* of these, for how many it is unreachable or silent */
    uint32_t stalled;     /* for how many its writes get no answer */
    uint32_t refusing;    /* how many it told that it does not lead */
};

struct failover;

struct failover_actions {
    /* Sends a command; the answer comes by failover_answered. */
    void (*send_command)(void *user, struct failover *failover, const char *database,
                         enum database_command command, uint64_t term);
    /* Records the intent under the lease; the end comes by failover_recorded. */
    void (*record)(void *user, struct failover *failover, bool done);
    /* Orders the promotion of the candidate; the end comes by failover_ordered. */
    void (*promote)(void *user, struct failover *failover, const char *candidate);
    /* The order for the poolers has changed. */
    void (*publish)(void *user, struct failover *failover);
    /* True if no pooler sends anything more to the primary by an order older than this epoch. */
    bool (*closed)(void *user, struct failover *failover);
    /* True if nothing is open at the primary any more. */
    bool (*drained)(void *user, struct failover *failover);
    void *user;
};

struct failover {
    char *service;
    uint32_t sync_replicas;
    bool settled;          /* the members are certainly all of the group's */
    bool queries_deferred; /* no questions to databases now: too many other groups have some */
    const struct failover_actions *actions;
    GPtrArray *members; /* of struct failover_member */
    enum failover_state state;
    time_ns since; /* of the state */
    uint64_t epoch;
    enum group_phase phase;
    char *primary;       /* id; NULL: unknown */
    uint64_t term;       /* newest that is known */
    uint64_t fence_term; /* of the change under way */
    char *candidate;
    time_ns promotion_tried_at;
    struct log_position stall_position; /* how far replicas had got at stall_since */
    time_ns stall_since;
    time_ns stall_again_at; /* no change for want of acknowledgements before */
    time_ns stall_wait;
    bool former_may_be_alive; /* the old primary has not said that it stepped down, and may not be
                               * dead
                               */
    time_ns resume_at;        /* replicas stay paused until then, unless it says so */
    time_ns blocked_since;    /* the primary is doubted and can't be replaced; 0: it is not */
    bool blocked_logged;      /* in the log */
    time_ns minority_since;   /* some, but not most poolers can't reach the primary */
};

struct failover *failover_new(const char *service, const struct failover_actions *actions);
void failover_free(struct failover *failover);

/* Takes the directory's word on a member; adds it if it is new. */
void failover_set_member(struct failover *failover, const char *id, bool takes_work,
                         bool reports_leading);
/* Takes over when the member started. True if it has started again since it was heard last: nothing
 * that it said before counts any more, and an open command to it is given up. A birth that an
 * earlier coordinator recorded may come after a later one. */
bool failover_note_start(struct failover *failover, const char *id, uint64_t born_ms, time_ns now);
/* The member has left the directory for good. */
void failover_remove_member(struct failover *failover, const char *id);
struct failover_member *failover_find(const struct failover *failover, const char *id);
/* True if the member may be taken for gone after its row went at `deleted_at`: a command sent to it
 * since then had no answer, and it is neither the primary nor the candidate. */
bool failover_member_has_left(const struct failover *failover, const char *id, time_ns deleted_at);

/* Starts from what an earlier coordinator recorded: a promotion that may be under way. */
void failover_resume_promotion(struct failover *failover, const char *candidate, uint64_t term,
                               time_ns now);

/* Takes the database promoted last, by the store's record, for the primary if none is known and it
 * is no member: then all members count as its replicas. */
void failover_note_promoted(struct failover *failover, const char *database);

/* The database leads for certain, without a question to it: opens it for work. Not if it is no
 * member. `term` is the newest that is known; 0: none. */
void failover_adopt_primary(struct failover *failover, const char *database, uint64_t term,
                            time_ns now);

/* True if the coordinator has questions to the group's databases, which may wait: who leads, or
 * whether members that don't were left paused. */
bool failover_has_queries(const struct failover *failover);

/* `report` is NULL if the database did not answer. */
void failover_answered(struct failover *failover, const char *database,
                       const struct database_report *report, time_ns now);
/* The database answered that it can't answer now, for want of a slot or a connection. */
void failover_refused(struct failover *failover, const char *database, time_ns now);
void failover_recorded(struct failover *failover, bool good, time_ns now);

/* How an order of promotion ended. */
enum failover_promotion_result {
    FAILOVER_PROMOTION_ACCEPTED,
    FAILOVER_PROMOTION_REFUSED, /* the candidate can't lead */
    FAILOVER_PROMOTION_RETRY,   /* try again */
};
void failover_promotion_answered(struct failover *failover, enum failover_promotion_result result,
                                 time_ns now);

void failover_tick(struct failover *failover, const struct failover_faults *faults, time_ns now);

#endif
