/* Pooled connections to other daemons, and the one call that goes over them. The call tells apart
 * what the caller may say of the request: a request that never left this process was not run, one
 * that left and got no answer has an unknown outcome. */
#ifndef SW_WIRE_PEER_POOL_H
#define SW_WIRE_PEER_POOL_H

#include "core/types.h"
#include "generated/messages.h"

#include <glib.h>

/* A connection idle for longer is closed instead of used; shorter than the server's bound
 * (PEER_SERVER_IDLE_NS), so that the server seldom closes first. */
#define PEER_POOL_IDLE_NS (30 * NANOSECONDS_PER_SECOND)

/* Idle connections kept to each peer, if the caller has no better number. */
#define PEER_POOL_IDLE_MAX_DEFAULT 64

enum peer_call_result {
    PEER_CALL_NOT_SENT,       /* no octet of the request left this process: it was not run */
    PEER_CALL_SENT_NO_ANSWER, /* some of it left, no whole answer came: it may have run */
    PEER_CALL_ANSWERED,       /* the answer is whole */
};

/* Thread-safe; its locks are striped by address and held for a few instructions, never in a wait.
 */
struct peer_pool;

/* A pool that keeps at most `idle_max` idle connections to each peer. */
struct peer_pool *peer_pool_new(unsigned idle_max);

/* New connections say this identity of a deployment (core/deployment.h) first; none does so before.
 * To be called before the first peer_call. */
void peer_pool_set_deployment(struct peer_pool *pool, uint32_t deployment);

/* Closes all idle connections and frees the pool. No call may be running. */
void peer_pool_free(struct peer_pool *pool);

/* Sends a request to the daemon at "IP:port" and waits for the answer.
 *
 * `reply` is overwritten; the caller clears it if the result is ANSWERED, otherwise it is empty and
 * `error` (SW_ERROR, see connection.h) tells why. A pooled connection that proves to be closed
 * before an octet of the request was written is replaced by a fresh one, once. A connection with a
 * call in an unknown state is closed and never used again. Blocks its thread until `deadline`, a
 * monotonic time, at most; any thread. */
enum peer_call_result peer_call(struct peer_pool *pool, const char *address,
                                const struct message *request, struct message *reply,
                                time_ns deadline, GError **error);

/* Closes the connections that have been idle since before `idle_since`, or that their peer wants to
 * close. To be called now and then; any thread. */
void peer_pool_close_idle(struct peer_pool *pool, time_ns idle_since);

/* Closes all idle connections to a peer that is gone; any thread. */
void peer_pool_forget(struct peer_pool *pool, const char *address);

/* Idle connections to a peer; for tests and metrics. Any thread. */
unsigned peer_pool_idle_count(struct peer_pool *pool, const char *address);

#endif
