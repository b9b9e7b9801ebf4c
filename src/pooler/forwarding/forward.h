/**
 * @file
 * @brief Statements that one pooler leaves to another.
 *
 * Where a group's databases take fewer connections than there are poolers, a few poolers own them.
 * The others keep their clients' sessions and forward each transaction or single statement, with
 * the session's values and the prepared name it uses, to an owner. The owner routes, queues and
 * retries it as its own, and answers with what the client gets.
 *
 * Both sides belong to a worker's thread. A channel is one transaction or single statement; the
 * pooler that forwards gives it its number.
 */
#ifndef SW_POOLER_FORWARD_H
#define SW_POOLER_FORWARD_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"
#include "pooler/rate/home_health.h"
#include "pooler/shared/wire.h"

struct group;
struct session;
struct worker;

/** @brief Connection of one worker to an owner; kept for the worker's life. */
typedef struct link link_t;

/** @brief Connection of another pooler's worker to this one. */
typedef struct caller caller_t;

/* forward.c: towards owners */

/** @return the link to this address, made if there is none; `text` is the address as text. */
link_t *link_of(struct worker *worker, const char *text, const struct sockaddr_in *address);
/** @brief Notes in which zone the owner is; interned, NULL: not known. */
void link_set_zone(link_t *link, const char *zone);
void link_free(link_t *link);

/** @brief Sends the session's statement to the best owner of its group.
 *  @return false if no owner can be reached now, or this pooler is an owner that serves it best. */
bool forward_start(struct session *session);

/* forward_token.c: questions for tokens */

/** @brief A question for a token; the link owns it. */
typedef struct token_question token_question_t;

/** @brief Asks the pooler at the other end for a token to begin one operation of the tenant.
 *  @param home its place in the tenant's list of homes. Passed to admission_answered() or
 *         admission_home_unreachable(), one of which is called unless the question is abandoned.
 *  @return the question; NULL if the pooler can't be asked now. */
token_question_t *forward_ask_token(struct session *session, link_t *link, const char *tenant,
                                    unsigned home);

/** @brief The operation no longer waits for the answer: no callback follows. A token that is
 * granted all the same is lost to the tenant, and counted as METRICS_TOKENS_LATE. */
void forward_abandon_token(token_question_t *question);

/** @return when it was asked. */
time_ns token_asked_at(const token_question_t *question);
/** @return the link on which it was asked. */
link_t *token_link(const token_question_t *question);

/** @return the address at the other end, as text. */
const char *link_text(const link_t *link);

/** @return what is believed of the pooler at the other end, as a home of limits. */
home_health_t *link_home_health(link_t *link);

/** @return when the pooler at the other end is likely to be of use again; `now` or earlier: it is.
 */
time_ns link_next_try(const link_t *link, time_ns now);

/** @brief Announces the session's next statement to the owner that it would be sent to, so that
 * this one opens a connection to a database meanwhile. Opens the link to the owner if there is
 * none.
 *  @return false in the cases in which forward_start() does. */
bool forward_announce(const struct session *session);

/** @brief Sends a further statement of the transaction that is open at the session's owner. */
void forward_continue(struct session *session);

/** @brief Nobody waits for the session's channel any more; nothing happens if it has none. */
void forward_drop(struct session *session);

/** @return true if the session's transaction or statement is at an owner. */
bool forward_is_open(const struct session *session);

/** @return true if the group has owners, and each was lost and has given no sign since. */
bool forward_none_left(const struct group *group);

/** @brief Tries to reach the owners of a group that were lost. */
void forward_try_again(const struct group *group);

/** @brief Asks quiet owners for a sign of life, and gives up on silent ones. */
void forward_tick(struct worker *worker, time_ns now);

/* forward_serve.c: for other poolers */

/** @brief Takes over an accepted connection of another pooler. */
void caller_accept(struct worker *worker, int handle);
void caller_free(caller_t *caller);

/** @brief The session's statement has not run and is not run here: its pooler asks another owner.
 */
void caller_decline(struct session *session);

#endif
