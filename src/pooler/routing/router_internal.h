/**
 * @file
 * @brief Shared by the parts of routing: the choice of a database (choice.c), why a statement had
 * better not wait (refusal.c), and the queue and the sending (router.c). All belong to the group's
 * worker.
 */
#ifndef SW_POOLER_ROUTER_INTERNAL_H
#define SW_POOLER_ROUTER_INTERNAL_H

#include "pooler/worker/worker_internal.h"

/* A write that no replica has to confirm is sent only if the permit lasts this much longer: it must
 * be over before another database may lead. */
#define WRITE_MARGIN_NS (150 * NANOSECONDS_PER_MILLISECOND)

/* What a statement asks of a database. */
struct need {
    bool primary;                 /* only the primary may run it */
    bool permit;                  /* a read at the primary that must be provably current */
    bool writes;                  /* a write that no replica has to confirm: needs a permit, too */
    bool has_position;            /* the next two are set */
    struct log_position position; /* the database must have applied the log up to here */
    time_ns position_at;          /* when the primary stood there */
};

/* The best database of a group for a statement: one with an idle connection, and one that another
 * connection could be opened to. */
struct choice {
    struct server *server;    /* idle connection; NULL: none */
    double server_cost;       /* all costs as placement_cost_ms() */
    struct database *to_open; /* NULL: none */
    double open_cost;
    time_ns hold_until; /* a replica will be fresh enough then; 0: none is worth waiting for */
    double hold_cost;
    bool check; /* proof that the primary still leads must be sought first */
};

/** @brief Finds what the session's statement asks of a database. */
void choice_find_need(const struct session *session, struct need *out);

/** @brief Chooses where it is best served now. */
void choice_find(const struct session *session, const struct need *need, time_ns now,
                 struct choice *choice);

/** @return true if the database has not got as far as the statement must see, by what is known of
 *  its lag. */
bool choice_is_behind(const struct database *database, const struct need *need, time_ns now);

/** @brief A statement is sent to it: a replica that was far behind is tried by one at a time. */
void choice_note_probe(struct database *database, time_ns now);

/** @return when the statement should be answered by its route's objective. */
time_ns choice_objective(const struct session *session);

/** @return true if the first goes before the second. */
bool router_is_before(const struct session *a, const struct session *b);

/** @return true if the statement is better refused than queued.
 *  @param why set in any case; the reason if true is returned. */
bool refusal_find(struct session *session, enum metrics_refusal *why);

/** @brief A statement just entered the queue. Refuses those at the queue's end that would be late
 * because of it, now and not when their wait ends. */
void refusal_recheck_later(const struct session *session);

#endif
