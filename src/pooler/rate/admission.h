/**
 * @file
 * @brief Tokens to begin operations, asked for a session at the homes of its tenant's limit
 * (roster.h). All functions belong to the session's worker.
 *
 * A single statement, or a transaction with its first statement, is one operation. Its token is
 * asked for where the client is, before the statement is routed or forwarded, so that what is above
 * a limit takes no connection, slot or place in a queue.
 */
#ifndef SW_POOLER_RATE_ADMISSION_H
#define SW_POOLER_RATE_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

struct session;
struct worker;

/** @brief What came of asking a home, as it tells. */
typedef struct admission_answer {
    bool declined; /* it does not count the tenant's operations now */
    bool refused;
    uint32_t retry_ms;
} admission_answer_t;

/** @return an empty table of the homes that a worker knows, by tenant. */
GHashTable *admission_homes_new(void);

/** @brief Asks for a token; the statement goes on to the router once it is granted. */
void admission_begin(struct session *session);

/** @brief A home that was asked has answered.
 *  @param place of the home in the tenant's list, as given to forward_ask_token(). */
void admission_answered(struct session *session, unsigned place, const admission_answer_t *answer);

/** @brief A home that was asked can't be reached: another one is asked. */
void admission_home_unreachable(struct session *session, unsigned place);

/** @brief The session's timer went off while questions are open: they take longer than usual, or
 * too long. Another home is asked as well, and the first that grants a token counts. */
void admission_timer_expired(struct session *session);

/** @brief Abandons the session's open questions for tokens, if there are any. */
void admission_abandon(struct session *session);

/** @brief Answers another pooler's question, as a home.
 *  @param name of the tenant.
 *  @param priority of the operation's route; 0 from a pooler that does not tell it: such a one gets
 *         any token. */
admission_answer_t admission_answer_request(struct worker *worker, const char *name,
                                            uint32_t priority);

#endif
