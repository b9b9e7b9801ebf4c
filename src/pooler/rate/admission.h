/**
 * @file
 * @brief Admission of operations: requests a token for each operation from a home of the tenant's
 * rate limit (roster.h). Call the functions from the thread of the session's worker only.
 *
 * A single statement is one operation, and so is a transaction together with its first statement.
 * The pooler that has the client's connection requests the token before it routes or forwards the
 * statement, so that operations above the limit take no database connection, slot or queue entry.
 */
#ifndef SW_POOLER_RATE_ADMISSION_H
#define SW_POOLER_RATE_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

struct session;
struct worker;

/** @brief A home's answer to a token request; granted if neither flag is set. */
typedef struct admission_answer {
    bool declined;     /* the pooler counts no share of the tenant's limit at present */
    bool refused;      /* no token is left */
    uint32_t retry_ms; /* if refused: time until a token is available */
} admission_answer_t;

/** @return an empty table of a worker's known homes, keyed by tenant name. */
GHashTable *admission_homes_new(void);

/** @brief Requests a token for the session's operation; its statement goes to the router as soon as
 * the token is granted. */
void admission_begin(struct session *session);

/** @brief Handles a home's answer to a token request.
 *  @param place index of the home in the tenant's list, as passed to forward_request_token(). */
void admission_answered(struct session *session, unsigned place, const admission_answer_t *answer);

/** @brief Handles the loss of the link to a home with a pending request: requests the token from
 * another home. */
void admission_home_unreachable(struct session *session, unsigned place);

/** @brief Handles the session's timer while token requests are pending: they have passed their
 * hedge delay or their time-out. Requests the token from another home as well; the first home that
 * grants one wins. */
void admission_timer_expired(struct session *session);

/** @brief Abandons the session's pending token requests, if any. */
void admission_abandon(struct session *session);

/** @brief Answers a token request of another pooler, as a home of the tenant's limit.
 *  @param name of the tenant.
 *  @param priority of the operation's route; 0 if the requester does not send one, in which case
 *         any token may be granted. */
admission_answer_t admission_answer_request(struct worker *worker, const char *name,
                                            uint32_t priority);

#endif
