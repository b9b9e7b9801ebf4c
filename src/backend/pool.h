/* The connections of this daemon to one database: few, slow to open and scarce. The pool keeps
 * within a budget that all owners of the database share (core/budget.h), or within a limit of its
 * own, opens one connection at a time at a bounded rate, and hands connections to waiting threads
 * first come, first served. */
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
     * holds the lock of a number before it is used, all that are in budget are kept open, and the
     * next two do not matter. */
    const struct budget_options *budget;
    uint32_t limit;                /* connections at most, the one being opened included */
    uint32_t idle_min;             /* kept open while within the limit */
    uint32_t open_rate_per_second; /* 0 = not bounded */
    uint32_t open_timeout_ms;      /* 0 = POOL_OPEN_TIMEOUT_MS */
    uint32_t backoff_min_ms; /* first pause after a failure to open; 0 = POOL_BACKOFF_MIN_MS */
    uint32_t backoff_max_ms; /* longest pause; 0 = POOL_BACKOFF_MAX_MS */
};

#define POOL_OPEN_TIMEOUT_MS 1000
#define POOL_BACKOFF_MIN_MS  20
#define POOL_BACKOFF_MAX_MS  1000

/* A snapshot of the counters; each is read by itself, without a lock. */
struct pool_counters {
    uint32_t limit;
    uint32_t open; /* idle, in use, being opened or being closed: what the database may count */
    uint32_t idle;
    uint32_t in_use;
    uint32_t waiting;
    uint64_t opened_total;
    uint64_t open_failed_total;
    uint64_t numbers_taken_total; /* connections closed since another held their number */
    uint64_t refused_total;       /* acquisitions that got no connection */
    uint64_t broken_total;        /* connections closed since they were not fit to be used again */
};

/* Starts a pool with its one thread, which opens and closes connections. */
struct pool *pool_new(const struct pool_options *options);

/* Ends the pool: waiters are refused, idle connections closed. All connections must have been
 * released. */
void pool_free(struct pool *pool);

/* Takes a connection, waiting until `deadline` for its turn. Fails with SW_ERROR: at once if the
 * database is known to be down and no connection is open, or at the deadline. */
struct backend_connection *pool_acquire(struct pool *pool, time_ns deadline, GError **error);

/* Gives a connection back. It is closed unless `reusable` and found clean. Never waits for the
 * network. */
void pool_release(struct pool *pool, struct backend_connection *connection, bool reusable);

/* Tells this daemon's place among those that share the budget; see budget_set_position. A pool with
 * a budget opens nothing before the first call, and lets threads wait. Any thread. */
void pool_set_position(struct pool *pool, int32_t position, bool handing_over);

/* Another daemon told that it can serve, or that it holds no connection any more. Any thread. */
void pool_peer_warm(struct pool *pool);
void pool_peer_released(struct pool *pool);

/* True once enough connections are held to serve from. Any thread. */
bool pool_is_warm(struct pool *pool);

/* True if the place was lost and all connections have ended at the database. Any thread. */
bool pool_is_released(struct pool *pool);

/* Changes the limit of a pool without a budget. Idle connections above it are closed soon, others
 * when released. */
void pool_set_limit(struct pool *pool, uint32_t limit);

/* Tells what probes know. While not reachable, nothing is opened and waiters are refused. */
void pool_set_reachable(struct pool *pool, bool reachable);

/* Breaks the connections in use: their requests end as lost, or as not sent. For a database that
 * has been replaced as primary, and may be paused or cut off: its answers count for nothing more.
 */
void pool_abort_in_use(struct pool *pool);

/* Closes all idle connections, and keeps none warm until the limit is next set. */
void pool_close_idle(struct pool *pool);

/* Reads the counters; any thread, no lock. */
struct pool_counters pool_counters(const struct pool *pool);

#endif
