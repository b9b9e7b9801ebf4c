/**
 * @file
 * @brief Internal interface of routing: the choice of a database (choice.c), the refusal of
 * statements that would wait in vain (refusal.c), and the queue and sending (router.c). Call the
 * functions from the thread of the group's worker only.
 */
#ifndef SW_POOLER_ROUTER_INTERNAL_H
#define SW_POOLER_ROUTER_INTERNAL_H

#include "pooler/worker/worker_internal.h"

/* A write that no replica has to confirm is sent only if the read permit is valid for this much
 * longer, because the write must end before another database can become the primary. */
#define WRITE_MARGIN_NS (150 * NANOSECONDS_PER_MILLISECOND)

/* Requirements of a statement. */
struct need {
    bool primary;      /* only the primary may run it */
    bool permit;       /* proof that the primary leads is required: a permit or a check */
    bool writes;       /* a write that no replica has to confirm: only a permit will do */
    bool has_position; /* the next two fields are set */
    struct log_position position; /* the database must have applied the log up to here */
    time_ns position_at;          /* when the primary had that position */
};

/* The best options for a statement: an idle connection, a database to open a connection to, and a
 * replica to wait for. All costs are those of placement_cost_ms(). */
struct choice {
    struct server *server; /* idle connection; NULL: none */
    double server_cost;
    struct database *to_open; /* NULL: none */
    double open_cost;
    time_ns defer_until; /* when a replica will be fresh enough; 0: waiting is not useful */
    double defer_cost;
    bool check; /* a leadership check is required first */
};

/** @brief Finds the requirements of the session's statement. */
void choice_find_need(const struct session *session, struct need *out);

/** @brief Finds the best options at present. */
void choice_find(const struct session *session, const struct need *need, time_ns now,
                 struct choice *choice);

/** @return true if the database has not yet applied the required position, as estimated from its
 *  replication lag. */
bool choice_is_behind(const struct database *database, const struct need *need, time_ns now);

/** @brief Records that a statement is sent to the database, so that a replica with a long lag is
 * probed by only one statement at a time. */
void choice_note_probe(struct database *database, time_ns now);

/** @return when the latency objective of the statement's route ends. */
time_ns choice_objective(const struct session *session);

/** @return true if `a` precedes `b` in the queue. */
bool router_is_before(const struct session *a, const struct session *b);

/** @return true if the statement should be refused and not queued.
 *  @param why the reason if true is returned; otherwise undefined. */
bool refusal_find(struct session *session, enum metrics_refusal *why);

/** @brief Refuses statements at the end of the queue that would miss their objective because
 * `session` has just been queued in front of them: at once, and not when their wait ends. */
void refusal_recheck_later(const struct session *session);

#endif
