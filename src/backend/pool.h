/* The connections of this daemon to one database. Connections are few and slow to open. The pool
 * keeps within a budget that all daemons connected to the database share (core/budget.h), or within
 * a fixed limit. It opens one connection at a time at a bounded rate, and serves waiting threads in
 * order of arrival. */
#ifndef SW_BACKEND_POOL_H
#define SW_BACKEND_POOL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "backend/connection.h"
#include "core/budget.h"
#include "core/types.h"

struct pool;

/* Fixed at creation. The strings are copied. */
struct pool_options {
    struct connection_settings connection;
    /* The budget of the database, copied; NULL for a fixed limit. With a budget each connection
     * takes the lock of a number before it is used, all connections of this daemon's share are kept
     * open, and `limit` and `idle_min` are ignored. */
    const struct budget_options *budget;
    uint32_t limit;                /* maximum of connections, including the one being opened */
    uint32_t idle_min;             /* idle connections to keep open, within the limit */
    uint32_t open_rate_per_second; /* 0 = not bounded */
    uint32_t open_timeout_ms;      /* 0 = POOL_OPEN_TIMEOUT_MS */
    uint32_t backoff_min_ms; /* first pause after a failure to open; 0 = POOL_BACKOFF_MIN_MS */
    uint32_t backoff_max_ms; /* longest pause; 0 = POOL_BACKOFF_MAX_MS */
};

#define POOL_OPEN_TIMEOUT_MS 1000
#define POOL_BACKOFF_MIN_MS  20
#define POOL_BACKOFF_MAX_MS  1000

/* A snapshot of the counters. Each is read separately, without a lock. */
struct pool_counters {
    uint32_t limit;
    uint32_t open; /* idle, in use, being opened or being closed: what the database may count */
    uint32_t idle;
    uint32_t in_use;
    uint32_t waiting;
    uint64_t opened_total;
    uint64_t open_failed_total;
    uint64_t numbers_taken_total; /* connections closed because another one held their number */
    uint64_t refused_total;       /* pool_acquire calls that got no connection */
    uint64_t broken_total;        /* connections closed because they were not reusable */
};

/* Creates a pool and starts its maintenance thread, which opens and closes connections. */
struct pool *pool_new(const struct pool_options *options);

/* Stops and frees the pool: waiting threads are refused, idle connections closed. All connections
 * must have been released. */
void pool_free(struct pool *pool);

/* Takes a connection, waiting until `deadline`. Fails with SW_ERROR: at once if the database is
 * known to be down and no connection is open, else at the deadline. */
struct backend_connection *pool_acquire(struct pool *pool, time_ns deadline, GError **error);

/* Returns a connection. It is closed unless `reusable` is true and it is clean. Never waits for the
 * network. */
void pool_release(struct pool *pool, struct backend_connection *connection, bool reusable);

/* Sets this daemon's position among the daemons that share the budget; see budget_set_position.
 * Before the first call a pool with a budget opens nothing, and pool_acquire waits. Any thread. */
void pool_set_position(struct pool *pool, int32_t position, bool handing_over);

/* Another daemon has reported that it is warm (can serve), or that it holds no connection any more.
 * Any thread. */
void pool_peer_warm(struct pool *pool);
void pool_peer_released(struct pool *pool);

/* True once enough connections are held to serve from. Any thread. */
bool pool_is_warm(struct pool *pool);

/* True if this daemon lost its position and all its connections have ended at the database. Any
 * thread. */
bool pool_is_released(struct pool *pool);

/* Changes the limit of a pool without a budget. Excess idle connections are closed soon, excess
 * connections in use when they are released. */
void pool_set_limit(struct pool *pool, uint32_t limit);

/* Sets whether the probes reach the database. While they do not, nothing is opened and pool_acquire
 * is refused. */
void pool_set_reachable(struct pool *pool, bool reachable);

/* Closes all idle connections, and ignores `idle_min` until the limit is next set. */
void pool_close_idle(struct pool *pool);

/* Reads the counters; any thread, no lock. */
struct pool_counters pool_counters(const struct pool *pool);

#endif
