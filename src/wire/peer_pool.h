/* Pooled connections to other daemons, and the call that uses them. The result of a call
 * distinguishes a request that never left this process, and so was not run, from one that was sent
 * and not answered, whose outcome is unknown. */
#ifndef SW_WIRE_PEER_POOL_H
#define SW_WIRE_PEER_POOL_H

#include "core/types.h"
#include "generated/messages.h"

#include <glib.h>

/* A connection that was idle for longer is closed instead of reused. Shorter than the server's idle
 * time-out (PEER_SERVER_IDLE_NS), so that the server seldom closes first. */
#define PEER_POOL_IDLE_NS (30 * NANOSECONDS_PER_SECOND)

/* Default maximum of idle connections per peer. */
#define PEER_POOL_IDLE_MAX_DEFAULT 64

enum peer_call_result {
    PEER_CALL_NOT_SENT,       /* no byte of the request left this process: it was not run */
    PEER_CALL_SENT_NO_ANSWER, /* part of it was sent, no complete answer was received: it may have
                                 run */
    PEER_CALL_ANSWERED,       /* the answer was received completely */
};

/* Thread-safe. Its locks are striped by address and held for a few instructions, never while
 * waiting. */
struct peer_pool;

/* Creates a pool that keeps at most `idle_max` idle connections per peer. */
struct peer_pool *peer_pool_new(unsigned idle_max);

/* Sets the deployment identity (core/deployment.h) that new connections send first; without this
 * call they send none. To be called before the first peer_call. */
void peer_pool_set_deployment(struct peer_pool *pool, uint32_t deployment);

/* Closes all idle connections and frees the pool. No call may be running. */
void peer_pool_free(struct peer_pool *pool);

/* Sends a request to the daemon at "IP:port" and waits for the answer.
 *
 * `reply` is overwritten; the caller clears it if the result is ANSWERED, otherwise it is empty and
 * `error` (SW_ERROR, see connection.h) gives the reason. A pooled connection that turns out to be
 * closed before a byte of the request was written is replaced by a new one, once. A connection with
 * a call in an unknown state is closed and never used again. Blocks its thread until `deadline`, a
 * monotonic time, at most; any thread. */
enum peer_call_result peer_call(struct peer_pool *pool, const char *address,
                                const struct message *request, struct message *reply,
                                time_ns deadline, GError **error);

/* Closes the connections that have been idle since before `idle_since`, or that their peer is
 * closing. To be called periodically; any thread. */
void peer_pool_close_idle(struct peer_pool *pool, time_ns idle_since);

/* Closes all idle connections to a peer that has left; any thread. */
void peer_pool_close_peer(struct peer_pool *pool, const char *address);

/* Idle connections to a peer; for tests and metrics. Any thread. */
unsigned peer_pool_idle_count(struct peer_pool *pool, const char *address);

#endif
