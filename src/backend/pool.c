#include "backend/pool.h"

#include <pthread.h>
#include <stdatomic.h>

#include "backend/adapter.h"
#include "backend/clock.h"
#include "backend/closing_list.h"
#include "backend/pool_budget.h"
#include "core/error.h"
#include "generated/errors.h"

/* Maximum time for which a closed connection counts against the limit while the database has not
 * closed its end: a database that takes longer is stopped or unreachable. */
#define CLOSE_TIMEOUT_MS 5000

/* The same for a connection that was never used. */
#define CLOSE_FAILED_TIMEOUT_MS 1000

/* Interval between checks of the sockets that are being closed. */
#define CLOSE_CHECK_MS 2

/* Interval between checks of the idle connections: one that the database has ended no longer holds
 * its number. */
#define IDLE_CHECK_MS 500

/* A thread waiting in pool_acquire, on its own stack. */
struct waiter {
    pthread_cond_t ready;
    struct backend_connection *connection; /* assigned by another thread */
    bool refused;                          /* the database is down, or the pool is being freed */
};

/* All fields are under `lock`, except the counters, which any thread reads, and the options, which
 * don't change. Only the maintenance thread opens and closes connections, so that at most one is
 * being opened and no request thread waits for either. */
struct pool {
    struct pool_options options;

    pthread_mutex_t lock;
    pthread_cond_t work; /* wakes the maintenance thread */
    pthread_t thread;
    bool stopping;
    bool reachable;
    bool draining;   /* idle_min is ignored */
    GQueue waiters;  /* of struct waiter */
    GQueue idle;     /* of struct backend_connection; the most recently used at the head */
    GQueue to_close; /* of struct backend_connection, to be closed by the thread */
    struct closing_list closing;
    uint32_t failures;    /* consecutive failures to open */
    time_ns next_open_at; /* earliest time of the next opening */
    time_ns next_idle_check_at;
    struct pool_budget *budget; /* or NULL */

    atomic_uint limit;
    atomic_uint open;
    atomic_uint idle_count;
    atomic_uint in_use;
    atomic_uint waiting;
    atomic_uint_fast64_t opened_total;
    atomic_uint_fast64_t open_failed_total;
    atomic_uint_fast64_t numbers_taken_total;
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

/* The static functions below, up to maintain, are called with the lock held unless noted. */

static void wake_maintenance(struct pool *pool)
{
    pthread_cond_signal(&pool->work);
}

/* Number of connections that are not being closed. */
static uint32_t count_live(const struct pool *pool)
{
    return pool->open - g_queue_get_length((GQueue *)&pool->to_close) -
           closing_list_count(&pool->closing);
}

/* True if a connection that is not in use should be closed. */
static bool is_excess(const struct pool *pool, const struct backend_connection *connection)
{
    if (pool->stopping) {
        return true;
    }
    return pool->budget != NULL ? connection->retiring : count_live(pool) > pool->limit;
}

/* Queues a connection for the maintenance thread to close. It counts as open until its end at the
 * database was seen. */
static void queue_close(struct pool *pool, struct backend_connection *connection)
{
    if (pool->budget != NULL) {
        pool_budget_closing(pool->budget, connection);
    }
    g_queue_push_tail(&pool->to_close, connection);
    wake_maintenance(pool);
}

static void assign_connection(struct pool *pool, struct waiter *waiter,
                              struct backend_connection *connection)
{
    connection->state = CONNECTION_STATE_IN_USE;
    waiter->connection = connection;
    pool->in_use++;
    pthread_cond_signal(&waiter->ready);
}

/* Makes a clean connection available: assigns it to the first waiter, or adds it to the idle ones.
 */
static void make_available(struct pool *pool, struct backend_connection *connection)
{
    if (is_excess(pool, connection)) {
        queue_close(pool, connection);
        return;
    }
    struct waiter *waiter = g_queue_pop_head(&pool->waiters);
    if (waiter != NULL) {
        assign_connection(pool, waiter, connection);
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

/* Takes the most recently used idle connection that is still healthy; closes the others on the way.
 */
static struct backend_connection *take_idle(struct pool *pool)
{
    struct backend_connection *connection;
    while ((connection = pop_idle(pool)) != NULL) {
        if (backend_connection_is_healthy(connection)) {
            return connection;
        }
        pool->broken_total++;
        backend_connection_break(connection);
        queue_close(pool, connection);
    }
    return NULL;
}

/* True if no connection may be opened and none can be acquired: the limit is 0, or this daemon lost
 * its position in the budget and holds no connection. */
static bool has_no_share(const struct pool *pool)
{
    return pool->budget != NULL ? pool_budget_is_empty(pool->budget) : pool->limit == 0;
}

/* True if an acquisition must be refused at once: the pool is being freed, the database is
 * unreachable, no connection may be opened, or none is in use and the next opening is not due
 * before `deadline`. */
static bool is_down(const struct pool *pool, time_ns deadline)
{
    if (pool->stopping || !pool->reachable || has_no_share(pool)) {
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

/* True if a connection must be opened: for the budget, for a waiter, or to keep idle_min. */
static bool needs_open(const struct pool *pool)
{
    if (!pool->reachable || pool->stopping) {
        return false;
    }
    if (pool->budget != NULL) {
        return pool_budget_needs_open(pool->budget);
    }
    bool warm = pool->draining || pool->idle_count >= pool->options.idle_min;
    bool wanted = !warm || g_queue_get_length((GQueue *)&pool->waiters) > 0;
    return wanted && pool->open < pool->limit;
}

/* Delay after consecutive failures: doubles with each one up to backoff_max_ms, then is reduced by
 * up to a half at random. */
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

/* Sets the earliest time of the next opening, after one that started at `started_at`. */
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

/* Closes a connection. It counts as open until the database has closed its end. */
static void start_close(struct pool *pool, struct backend_connection *connection,
                        enum pool_close_cause cause)
{
    uint64_t most = cause == POOL_CLOSE_AFTER_USE ? CLOSE_TIMEOUT_MS : CLOSE_FAILED_TIMEOUT_MS;
    time_ns until = backend_now() + most * NANOSECONDS_PER_MILLISECOND;
    closing_list_add(&pool->closing, connection, (int)cause, until);
}

/* Closes the idle connections that exceed the limit or have ended at the database. */
static void check_idle(struct pool *pool)
{
    GList *link = pool->idle.head;
    while (link != NULL) {
        GList *next = link->next;
        struct backend_connection *connection = link->data;
        bool healthy = backend_connection_is_healthy(connection);
        if (!healthy || is_excess(pool, connection)) {
            g_queue_delete_link(&pool->idle, link);
            pool->idle_count--;
            pool->broken_total += !healthy;
            backend_connection_break(connection);
            queue_close(pool, connection);
        }
        link = next;
    }
    pool->next_idle_check_at = backend_now() + IDLE_CHECK_MS * NANOSECONDS_PER_MILLISECOND;
}

/* Applies a change of the budget: closes the connections that it gave up, and refuses the waiters
 * if no connection can come. */
static void apply_budget(struct pool *pool)
{
    pool->limit = pool_budget_limit(pool->budget);
    check_idle(pool);
    if (has_no_share(pool)) {
        refuse_waiters(pool);
    }
}

/* Runs the budget's timers that are due. */
static void tick_budget(struct pool *pool)
{
    time_ns now = backend_now();
    if (pool->budget != NULL && now >= pool_budget_wake_at(pool->budget)) {
        pool_budget_tick(pool->budget, now);
        apply_budget(pool);
    }
}

/* Stops counting the closed connections that have ended at the database. */
static void check_closing(struct pool *pool)
{
    struct closing_entry ended;
    while (closing_list_take_closed(&pool->closing, backend_now(), &ended)) {
        pool->open--;
        if (pool->budget != NULL) {
            pool_budget_ended(pool->budget, (uint32_t)ended.number,
                              (enum pool_close_cause)ended.cause, backend_now());
            apply_budget(pool);
        }
    }
}

/* Adds a new connection to the pool. */
static void add_opened(struct pool *pool, struct backend_connection *connection)
{
    pool->opened_total++;
    if (pool->budget != NULL) {
        pool_budget_opened(pool->budget, connection, backend_now());
    }
    make_available(pool, connection);
    if (pool->budget != NULL) {
        apply_budget(pool);
    }
}

/* Completes the opening of a connection and locks its number, if it has one. Called without the
 * lock. */
static bool open_connection(const struct pool *pool, struct backend_connection *connection,
                            time_ns deadline, enum pool_close_cause *failure)
{
    g_autoptr(GError) error = NULL;
    *failure = POOL_CLOSE_FAILED;
    bool usable = backend_connection_await_open(connection, deadline, &error);
    if (usable && connection->number >= 0) {
        enum number_result result =
            adapter_take_number(connection, (uint32_t)connection->number, deadline, &error);
        usable = result == NUMBER_HELD;
        *failure = result == NUMBER_TAKEN ? POOL_CLOSE_NUMBER_TAKEN : POOL_CLOSE_FAILED;
    }
    if (error != NULL) {
        g_debug("pool: %s:%u: %s", pool->options.connection.host,
                (unsigned)pool->options.connection.port, error->message);
    }
    return usable;
}

/* Opens one connection. The lock is released while it waits. */
static void open_one(struct pool *pool)
{
    int32_t number = pool->budget != NULL ? (int32_t)pool_budget_begin_open(pool->budget) : -1;
    enum pool_close_cause failure;
    pool->open++;
    pthread_mutex_unlock(&pool->lock);
    time_ns started_at = backend_now();
    time_ns deadline = started_at + pool->options.open_timeout_ms * NANOSECONDS_PER_MILLISECOND;
    struct backend_connection *connection = backend_connection_start(&pool->options.connection);
    connection->number = number;
    bool usable = open_connection(pool, connection, deadline, &failure);
    pthread_mutex_lock(&pool->lock);
    schedule_next_open(pool, started_at, usable || failure == POOL_CLOSE_NUMBER_TAKEN);
    if (usable) {
        add_opened(pool, connection);
        return;
    }
    pool->open_failed_total += failure == POOL_CLOSE_FAILED;
    pool->numbers_taken_total += failure == POOL_CLOSE_NUMBER_TAKEN;
    start_close(pool, connection, failure);
    if (count_live(pool) == 0 && failure == POOL_CLOSE_FAILED) {
        refuse_waiters(pool);
    }
}

/* Sleeps until there is work, the next opening may start, or a check is due. */
static void wait_for_work(struct pool *pool)
{
    time_ns until = pool->next_idle_check_at;
    if (needs_open(pool)) {
        until = MIN(until, pool->next_open_at);
    }
    if (closing_list_count(&pool->closing) > 0) {
        until = MIN(until, backend_now() + CLOSE_CHECK_MS * NANOSECONDS_PER_MILLISECOND);
    }
    if (pool->budget != NULL) {
        until = MIN(until, pool_budget_wake_at(pool->budget));
    }
    struct timespec time = backend_timespec(until);
    pthread_cond_timedwait(&pool->work, &pool->lock, &time);
}

static void *maintain(void *data)
{
    struct pool *pool = data;
    pthread_setname_np(pthread_self(), "pool");
    pthread_mutex_lock(&pool->lock);
    while (!pool->stopping || !g_queue_is_empty(&pool->to_close)) {
        check_closing(pool);
        tick_budget(pool);
        if (backend_now() >= pool->next_idle_check_at) {
            check_idle(pool);
        }
        if (!g_queue_is_empty(&pool->to_close)) {
            start_close(pool, g_queue_pop_head(&pool->to_close), POOL_CLOSE_AFTER_USE);
        } else if (needs_open(pool) && backend_now() >= pool->next_open_at) {
            open_one(pool);
        } else {
            wait_for_work(pool);
        }
    }
    pthread_mutex_unlock(&pool->lock);
    return NULL;
}

static uint32_t value_or(uint32_t value, uint32_t default_value)
{
    return value > 0 ? value : default_value;
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
    if (options->budget != NULL) {
        pool->budget = pool_budget_new(options->budget);
    } else {
        pool->limit = options->limit;
    }
    closing_list_init(&pool->closing);
    g_queue_init(&pool->waiters);
    g_queue_init(&pool->idle);
    g_queue_init(&pool->to_close);
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
        queue_close(pool, pop_idle(pool));
    }
    wake_maintenance(pool);
    pthread_mutex_unlock(&pool->lock);
    pthread_join(pool->thread, NULL);
    closing_list_clear(&pool->closing);
    pool_budget_free(pool->budget);
    pthread_cond_destroy(&pool->work);
    pthread_mutex_destroy(&pool->lock);
    connection_settings_clear(&pool->options.connection);
    g_free(pool);
}

/* Waits in the queue until a connection is assigned, the wait is refused, or `deadline` passes.
 * Lock held. */
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

/* Takes a connection or waits for one, with the lock held. `down` is set if the database is down.
 */
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
                    down ? "the database is down"
                         : "no connection became free before the deadline");
    }
    return connection;
}

void pool_release(struct pool *pool, struct backend_connection *connection, bool reusable)
{
    bool clean = reusable && backend_connection_is_clean(connection);
    pthread_mutex_lock(&pool->lock);
    pool->in_use--;
    if (clean) {
        make_available(pool, connection);
    } else {
        pool->broken_total++;
        backend_connection_break(connection);
        queue_close(pool, connection);
    }
    pthread_mutex_unlock(&pool->lock);
}

void pool_set_position(struct pool *pool, int32_t position, bool handing_over)
{
    pthread_mutex_lock(&pool->lock);
    pool_budget_set_position(pool->budget, position, handing_over, backend_now());
    apply_budget(pool);
    wake_maintenance(pool);
    pthread_mutex_unlock(&pool->lock);
}

void pool_peer_warm(struct pool *pool)
{
    pthread_mutex_lock(&pool->lock);
    pool_budget_peer_warm(pool->budget, backend_now());
    apply_budget(pool);
    wake_maintenance(pool);
    pthread_mutex_unlock(&pool->lock);
}

void pool_peer_released(struct pool *pool)
{
    pthread_mutex_lock(&pool->lock);
    pool_budget_peer_released(pool->budget, backend_now());
    apply_budget(pool);
    wake_maintenance(pool);
    pthread_mutex_unlock(&pool->lock);
}

bool pool_is_warm(struct pool *pool)
{
    pthread_mutex_lock(&pool->lock);
    bool warm = pool_budget_is_warm(pool->budget);
    pthread_mutex_unlock(&pool->lock);
    return warm;
}

bool pool_is_released(struct pool *pool)
{
    pthread_mutex_lock(&pool->lock);
    bool released = pool_budget_is_released(pool->budget) && pool->open == 0;
    pthread_mutex_unlock(&pool->lock);
    return released;
}

void pool_set_limit(struct pool *pool, uint32_t limit)
{
    g_assert(pool->budget == NULL);
    pthread_mutex_lock(&pool->lock);
    pool->limit = limit;
    pool->draining = false;
    check_idle(pool);
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
    check_idle(pool);
    wake_maintenance(pool);
    pthread_mutex_unlock(&pool->lock);
}

void pool_close_idle(struct pool *pool)
{
    pthread_mutex_lock(&pool->lock);
    pool->draining = true;
    while (pool->idle_count > 0) {
        queue_close(pool, pop_idle(pool));
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
        .numbers_taken_total = pool->numbers_taken_total,
        .refused_total = pool->refused_total,
        .broken_total = pool->broken_total,
    };
    return counters;
}
