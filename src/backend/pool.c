#include "backend/pool.h"

#include <pthread.h>
#include <stdatomic.h>
#include <unistd.h>

#include "backend/clock.h"
#include "core/error.h"
#include "generated/errors.h"

/* A closed connection counts against the limit until the database has closed its end, for so long
 * at most: a database that takes longer is frozen or cut off. */
#define ENDING_MAX_MS 5000

/* How often the sockets being closed are looked at, while there are any. */
#define ENDING_CHECK_MS 2

/* A closed connection whose end at the database has not been seen yet. */
struct ending {
    int socket_fd;
    time_ns until;
};

/* A thread waiting in pool_acquire, on its own stack. */
struct waiter {
    pthread_cond_t ready;
    struct backend_connection *connection; /* handed over by another thread */
    bool refused;                          /* the database is down or the pool ends */
};

/* All fields under `lock`, except the counters, which any thread reads, and the options, which
 * don't change. The maintenance thread alone opens and closes connections, so that at most one is
 * being opened and no request thread waits for either. */
struct pool {
    struct pool_options options;

    pthread_mutex_t lock;
    pthread_cond_t work; /* wakes the maintenance thread */
    pthread_t thread;
    bool stopping;
    bool reachable;
    bool draining;        /* nothing is kept warm */
    GQueue waiters;       /* of struct waiter */
    GQueue idle;          /* of struct backend_connection; the most recently used at the head */
    GQueue closing;       /* of struct backend_connection, for the maintenance thread to close */
    GArray *endings;      /* of struct ending; of the maintenance thread */
    uint32_t failures;    /* to open, in a row */
    time_ns next_open_at; /* earliest time of the next opening */

    atomic_uint limit;
    atomic_uint open;
    atomic_uint idle_count;
    atomic_uint in_use;
    atomic_uint waiting;
    atomic_uint_fast64_t opened_total;
    atomic_uint_fast64_t open_failed_total;
    atomic_uint_fast64_t refused_total;
    atomic_uint_fast64_t broken_total;
};

static void condition_init(pthread_cond_t *condition)
{
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(condition, &attributes);
    pthread_condattr_destroy(&attributes);
}

/* The steps below are called with the lock held. */

static void wake_maintenance(struct pool *pool)
{
    pthread_cond_signal(&pool->work);
}

/* True if there are too many connections besides those being closed already. */
static bool over_limit(const struct pool *pool)
{
    uint32_t closing = g_queue_get_length((GQueue *)&pool->closing) + pool->endings->len;
    return pool->open - closing > pool->limit;
}

/* Leaves a connection to the maintenance thread; it counts as open until it is closed. */
static void push_closing(struct pool *pool, struct backend_connection *connection)
{
    g_queue_push_tail(&pool->closing, connection);
    wake_maintenance(pool);
}

static void hand_over(struct pool *pool, struct waiter *waiter,
                      struct backend_connection *connection)
{
    connection->state = CONNECTION_STATE_IN_USE;
    waiter->connection = connection;
    pool->in_use++;
    pthread_cond_signal(&waiter->ready);
}

/* Makes a clean connection available: to the first waiter, else idle. */
static void offer(struct pool *pool, struct backend_connection *connection)
{
    if (over_limit(pool) || pool->stopping) {
        push_closing(pool, connection);
        return;
    }
    struct waiter *waiter = g_queue_pop_head(&pool->waiters);
    if (waiter != NULL) {
        hand_over(pool, waiter, connection);
        return;
    }
    connection->state = CONNECTION_STATE_IDLE;
    g_queue_push_head(&pool->idle, connection);
    pool->idle_count++;
}

static struct backend_connection *pop_idle(struct pool *pool)
{
    struct backend_connection *connection = g_queue_pop_head(&pool->idle);
    if (connection != NULL) {
        pool->idle_count--;
    }
    return connection;
}

/* The most recently used idle connection that is still healthy. */
static struct backend_connection *take_idle(struct pool *pool)
{
    struct backend_connection *connection;
    while ((connection = pop_idle(pool)) != NULL) {
        if (backend_connection_is_healthy(connection)) {
            return connection;
        }
        pool->broken_total++;
        backend_connection_break(connection);
        push_closing(pool, connection);
    }
    return NULL;
}

/* True if no connection can come before `deadline`: none is open, and none will be opened. */
static bool is_down(const struct pool *pool, time_ns deadline)
{
    if (pool->stopping || !pool->reachable || pool->limit == 0) {
        return true;
    }
    return pool->in_use == 0 && pool->failures > 0 && pool->next_open_at >= deadline;
}

static void refuse_waiters(struct pool *pool)
{
    struct waiter *waiter;
    while ((waiter = g_queue_pop_head(&pool->waiters)) != NULL) {
        waiter->refused = true;
        pthread_cond_signal(&waiter->ready);
    }
}

/* True if a connection must be opened for a waiter or to keep enough of them warm. */
static bool wants_open(const struct pool *pool)
{
    if (!pool->reachable || pool->stopping || pool->open >= pool->limit) {
        return false;
    }
    bool warm = pool->draining || pool->idle_count >= pool->options.idle_min;
    return !warm || g_queue_get_length((GQueue *)&pool->waiters) > 0;
}

/* Pause after the failures so far: doubled each time, then half of it at random. */
static time_ns backoff(const struct pool *pool)
{
    uint64_t most = pool->options.backoff_max_ms;
    uint64_t pause = pool->options.backoff_min_ms;
    for (uint32_t i = 1; i < pool->failures && pause < most; i++) {
        pause *= 2;
    }
    pause = MIN(pause, most);
    return (time_ns)(pause * (0.5 + g_random_double() / 2) * NANOSECONDS_PER_MILLISECOND);
}

/* Notes when the next opening may start, after one that started at `started_at`. */
static void schedule_next_open(struct pool *pool, time_ns started_at, bool opened)
{
    if (!opened) {
        pool->failures++;
        pool->next_open_at = backend_now() + backoff(pool);
        return;
    }
    uint32_t rate = pool->options.open_rate_per_second;
    pool->failures = 0;
    pool->next_open_at = rate > 0 ? started_at + NANOSECONDS_PER_SECOND / rate : 0;
}

/* Opens one connection, with the lock released meanwhile. */
static void open_one(struct pool *pool)
{
    g_autoptr(GError) error = NULL;
    pool->open++;
    pthread_mutex_unlock(&pool->lock);
    time_ns started_at = backend_now();
    time_ns deadline = started_at + pool->options.open_timeout_ms * NANOSECONDS_PER_MILLISECOND;
    struct backend_connection *connection =
        backend_connection_open(&pool->options.connection, deadline, &error);
    pthread_mutex_lock(&pool->lock);
    schedule_next_open(pool, started_at, connection != NULL);
    if (connection == NULL) {
        pool->open--;
        pool->open_failed_total++;
        g_debug("pool: %s:%u: %s", pool->options.connection.host,
                (unsigned)pool->options.connection.port, error->message);
        if (pool->open == 0) {
            refuse_waiters(pool);
        }
        return;
    }
    pool->opened_total++;
    offer(pool, connection);
}

static void close_socket(int socket_fd)
{
    if (socket_fd >= 0) {
        close(socket_fd);
    }
}

/* Closes one connection; it counts as open until the database has closed its end. */
static void close_one(struct pool *pool)
{
    struct backend_connection *connection = g_queue_pop_head(&pool->closing);
    struct ending ending = {
        .socket_fd = backend_connection_close_watched(connection),
        .until = backend_now() + ENDING_MAX_MS * NANOSECONDS_PER_MILLISECOND,
    };
    g_array_append_val(pool->endings, ending);
}

/* Stops counting the connections that have ended. */
static void check_endings(struct pool *pool)
{
    time_ns now = backend_now();
    for (guint i = pool->endings->len; i > 0; i--) {
        struct ending *ending = &g_array_index(pool->endings, struct ending, i - 1);
        bool ended = ending->socket_fd < 0 || backend_connection_has_ended(ending->socket_fd);
        if (ended || now >= ending->until) {
            close_socket(ending->socket_fd);
            g_array_remove_index_fast(pool->endings, i - 1);
            pool->open--;
        }
    }
}

/* Sleeps until there is work, or an opening that is wanted may start, or sockets being closed are
 * to be looked at. */
static void wait_for_work(struct pool *pool)
{
    time_ns until = UINT64_MAX;
    if (wants_open(pool)) {
        until = pool->next_open_at;
    }
    if (pool->endings->len > 0) {
        until = MIN(until, backend_now() + ENDING_CHECK_MS * NANOSECONDS_PER_MILLISECOND);
    }
    if (until == UINT64_MAX) {
        pthread_cond_wait(&pool->work, &pool->lock);
        return;
    }
    struct timespec time = backend_timespec(until);
    pthread_cond_timedwait(&pool->work, &pool->lock, &time);
}

static void close_idle_over_limit(struct pool *pool)
{
    while (over_limit(pool) && pool->idle_count > 0) {
        push_closing(pool, pop_idle(pool));
    }
}

/* Forgets the sockets being closed. */
static void clear_endings(struct pool *pool)
{
    for (guint i = 0; i < pool->endings->len; i++) {
        close_socket(g_array_index(pool->endings, struct ending, i).socket_fd);
    }
    g_array_unref(pool->endings);
}

static void *maintain(void *data)
{
    struct pool *pool = data;
    pthread_mutex_lock(&pool->lock);
    while (!pool->stopping || !g_queue_is_empty(&pool->closing)) {
        check_endings(pool);
        if (!g_queue_is_empty(&pool->closing)) {
            close_one(pool);
        } else if (wants_open(pool) && backend_now() >= pool->next_open_at) {
            open_one(pool);
        } else {
            wait_for_work(pool);
        }
    }
    pthread_mutex_unlock(&pool->lock);
    return NULL;
}

static uint32_t value_or(uint32_t value, uint32_t standard)
{
    return value > 0 ? value : standard;
}

static void copy_options(struct pool *pool, const struct pool_options *options)
{
    pool->options = *options;
    connection_settings_copy(&pool->options.connection, &options->connection);
    pool->options.open_timeout_ms = value_or(options->open_timeout_ms, POOL_OPEN_TIMEOUT_MS);
    pool->options.backoff_min_ms = value_or(options->backoff_min_ms, POOL_BACKOFF_MIN_MS);
    pool->options.backoff_max_ms = value_or(options->backoff_max_ms, POOL_BACKOFF_MAX_MS);
}

struct pool *pool_new(const struct pool_options *options)
{
    struct pool *pool = g_new0(struct pool, 1);
    copy_options(pool, options);
    pool->reachable = true;
    pool->limit = options->limit;
    pool->endings = g_array_new(FALSE, FALSE, sizeof(struct ending));
    g_queue_init(&pool->waiters);
    g_queue_init(&pool->idle);
    g_queue_init(&pool->closing);
    pthread_mutex_init(&pool->lock, NULL);
    condition_init(&pool->work);
    pthread_create(&pool->thread, NULL, maintain, pool);
    return pool;
}

void pool_free(struct pool *pool)
{
    pthread_mutex_lock(&pool->lock);
    pool->stopping = true;
    refuse_waiters(pool);
    while (pool->idle_count > 0) {
        push_closing(pool, pop_idle(pool));
    }
    wake_maintenance(pool);
    pthread_mutex_unlock(&pool->lock);
    pthread_join(pool->thread, NULL);
    clear_endings(pool);
    pthread_cond_destroy(&pool->work);
    pthread_mutex_destroy(&pool->lock);
    connection_settings_clear(&pool->options.connection);
    g_free(pool);
}

/* Waits in the queue until handed a connection, refused, or out of time. Lock held. */
static struct backend_connection *wait_in_queue(struct pool *pool, time_ns deadline)
{
    struct waiter waiter = {0};
    struct timespec until = backend_timespec(deadline);
    condition_init(&waiter.ready);
    g_queue_push_tail(&pool->waiters, &waiter);
    pool->waiting++;
    wake_maintenance(pool);
    int waited = 0;
    while (waiter.connection == NULL && !waiter.refused && waited == 0) {
        waited = pthread_cond_timedwait(&waiter.ready, &pool->lock, &until);
    }
    if (waiter.connection == NULL && !waiter.refused) {
        g_queue_remove(&pool->waiters, &waiter);
    }
    pool->waiting--;
    pthread_cond_destroy(&waiter.ready);
    return waiter.connection;
}

/* Takes a connection under the lock, or says whether the database is down. */
static struct backend_connection *acquire_locked(struct pool *pool, time_ns deadline, bool *down)
{
    struct backend_connection *connection = NULL;
    *down = pool->stopping || !pool->reachable;
    if (!*down && g_queue_is_empty(&pool->waiters)) {
        connection = take_idle(pool);
    }
    if (connection != NULL) {
        connection->state = CONNECTION_STATE_IN_USE;
        pool->in_use++;
        return connection;
    }
    *down = is_down(pool, deadline);
    return *down ? NULL : wait_in_queue(pool, deadline);
}

struct backend_connection *pool_acquire(struct pool *pool, time_ns deadline, GError **error)
{
    bool down;
    pthread_mutex_lock(&pool->lock);
    struct backend_connection *connection = acquire_locked(pool, deadline, &down);
    pthread_mutex_unlock(&pool->lock);
    if (connection == NULL) {
        pool->refused_total++;
        g_set_error(error, SW_ERROR, ERROR_KIND_OVERLOADED, "%s",
                    down ? "the database is down" : "no connection came free in time");
    }
    return connection;
}

void pool_release(struct pool *pool, struct backend_connection *connection, bool reusable)
{
    bool clean = reusable && backend_connection_is_clean(connection);
    pthread_mutex_lock(&pool->lock);
    pool->in_use--;
    if (clean) {
        offer(pool, connection);
    } else {
        pool->broken_total++;
        backend_connection_break(connection);
        push_closing(pool, connection);
    }
    wake_maintenance(pool);
    pthread_mutex_unlock(&pool->lock);
}

void pool_set_limit(struct pool *pool, uint32_t limit)
{
    pthread_mutex_lock(&pool->lock);
    pool->limit = limit;
    pool->draining = false;
    close_idle_over_limit(pool);
    if (limit == 0) {
        refuse_waiters(pool);
    }
    wake_maintenance(pool);
    pthread_mutex_unlock(&pool->lock);
}

void pool_set_reachable(struct pool *pool, bool reachable)
{
    pthread_mutex_lock(&pool->lock);
    if (reachable != pool->reachable) {
        pool->reachable = reachable;
        pool->next_open_at = 0;
        pool->failures = 0;
    }
    if (!reachable) {
        refuse_waiters(pool);
    }
    wake_maintenance(pool);
    pthread_mutex_unlock(&pool->lock);
}

void pool_close_idle(struct pool *pool)
{
    pthread_mutex_lock(&pool->lock);
    pool->draining = true;
    while (pool->idle_count > 0) {
        push_closing(pool, pop_idle(pool));
    }
    pthread_mutex_unlock(&pool->lock);
}

struct pool_counters pool_counters(const struct pool *pool)
{
    struct pool_counters counters = {
        .limit = pool->limit,
        .open = pool->open,
        .idle = pool->idle_count,
        .in_use = pool->in_use,
        .waiting = pool->waiting,
        .opened_total = pool->opened_total,
        .open_failed_total = pool->open_failed_total,
        .refused_total = pool->refused_total,
        .broken_total = pool->broken_total,
    };
    return counters;
}
