/**
 * @file
 * @brief Forwarding of statements to other poolers.
 *
 * Where a group's databases allow fewer connections than there are poolers, only a few poolers, the
 * group's owners, open connections to them. The other poolers keep their clients' sessions and
 * forward each transaction or single statement to an owner, with the session's values and the
 * prepared statement that it uses. The owner routes, queues and retries it like one of its own and
 * returns the client's answer.
 *
 * Each side belongs to a worker's thread. A channel carries one transaction or single statement;
 * its number is assigned by the forwarding pooler.
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

/** @brief Connection of one worker to an owner. It exists until the worker ends, connected or not.
 */
typedef struct link link_t;

/** @brief Connection from another pooler's worker. */
typedef struct caller caller_t;

/* forward.c: requests to owners */

/** @return the link to this address, created if there is none. `text` is the address as text. */
link_t *link_get(struct worker *worker, const char *text, const struct sockaddr_in *address);
/** @brief Sets the owner's zone; interned, NULL: not known. */
void link_set_zone(link_t *link, const char *zone);
void link_free(link_t *link);

/** @brief Sends the session's statement to the preferred owner of its group.
 *  @return false if no owner can be reached now, or if this pooler is itself the preferred owner.
 */
bool forward_start(struct session *session);

/* forward_token.c: requests for rate-limit tokens. The home of a share of a tenant's limit is the
 * pooler that grants the tokens of that share. */

/** @brief A request for a token. Owned by its link. */
typedef struct token_request token_request_t;

/** @brief Requests a token from the link's pooler to begin one operation of the tenant.
 *  @param home index of that pooler in the tenant's list of homes. Passed to admission_answered()
 * or admission_home_unreachable(), one of which is called unless the request is abandoned.
 *  @return the request; NULL if the pooler can't be reached now. */
token_request_t *forward_request_token(struct session *session, link_t *link, const char *tenant,
                                       unsigned home);

/** @brief Abandons a request: no callback follows. A token that is still granted counts against the
 * tenant's limit, unused, and is counted as METRICS_TOKENS_LATE. */
void forward_abandon_token(token_request_t *request);

/** @return when the token was requested. */
time_ns token_requested_at(const token_request_t *request);
/** @return the link that the request was sent on. */
link_t *token_link(const token_request_t *request);

/** @return the peer's address as text. */
const char *link_address(const link_t *link);

/** @return the health state of the link's pooler as a home of rate limits. */
home_health_t *link_home_health(link_t *link);

/** @return when the link's pooler is likely to answer again; `now` or earlier if it does. */
time_ns link_next_try(const link_t *link, time_ns now);

/** @brief Announces the session's next statement to the owner that it would be sent to, so that the
 * owner can open a database connection in advance. Connects the link if necessary.
 *  @return false in the cases in which forward_start() returns false. */
bool forward_announce(const struct session *session);

/** @brief Sends another statement of the transaction that is open at the session's owner. */
void forward_continue(struct session *session);

/** @brief Cancels the session's channel: the owner rolls back its transaction. No effect if the
 * session has no channel. */
void forward_cancel(struct session *session);

/** @return true if the session's transaction or statement is at an owner. */
bool forward_is_open(const struct session *session);

/** @return true if the group has other owners and none of their links is confirmed. */
bool forward_all_unreachable(const struct group *group);

/** @brief Tries to reconnect to the owners of the group whose links are not confirmed. */
void forward_reconnect(const struct group *group);

/** @brief Pings owners that have not answered for a while, and closes links whose ping timed out.
 */
void forward_tick(struct worker *worker, time_ns now);

/* forward_serve.c: requests from other poolers */

/** @brief Takes over an accepted connection from another pooler. */
void caller_accept(struct worker *worker, int handle);
void caller_free(caller_t *caller);

/** @brief Declines the session's statement, which has not run and will not run here: the forwarding
 * pooler sends it to another owner. Ends the session. */
void caller_decline(struct session *session);

#endif
