/* Tests of the pool: its limit, its queue, and that no connection in an unknown state is reused. */
#include "backend/pool.h"
#include "backend_fixture.h"

#define WAITERS 8

/* Longer than any test. */
#define NEVER_WAIT_MS 600000

static struct pool *new_pool(const struct server *server, uint32_t limit, uint32_t idle_min)
{
    struct pool_options options = {
        .connection = backend_settings(server),
        .limit = limit,
        .idle_min = idle_min,
    };
    return pool_new(&options);
}

static struct backend_connection *acquire(struct pool *pool)
{
    g_autoptr(GError) error = NULL;
    struct backend_connection *connection = pool_acquire(pool, backend_test_deadline(), &error);
    g_assert_no_error(error);
    g_assert_cmpint(connection->state, ==, CONNECTION_STATE_IN_USE);
    return connection;
}

static void assert_refused(struct pool *pool, time_ns deadline)
{
    g_autoptr(GError) error = NULL;
    g_assert_null(pool_acquire(pool, deadline, &error));
    g_assert_nonnull(error);
}

/* Waits for a counter to reach a value; the test's own time limit ends the wait. */
#define await(pool, field, value)                                                                  \
    while (pool_counters(pool).field != (value)) {                                                 \
        g_usleep(1000);                                                                            \
    }

static guint peak_connections(struct server *server)
{
    pthread_mutex_lock(&server->lock);
    guint peak = server->counters.peak_connections;
    pthread_mutex_unlock(&server->lock);
    return peak;
}

static struct server *start(void)
{
    struct server_options options = fixture_options();
    return fixture_start(&options);
}

static void test_reuse(void)
{
    struct server *server = start();
    struct pool *pool = new_pool(server, 2, 0);
    struct backend_connection *first = acquire(pool);
    pool_release(pool, first, true);
    struct backend_connection *second = acquire(pool);
    g_assert_true(first == second);
    pool_release(pool, second, true);
    g_assert_cmpuint(pool_counters(pool).opened_total, ==, 1);
    g_assert_cmpuint(pool_counters(pool).idle, ==, 1);
    g_assert_cmpuint(pool_counters(pool).in_use, ==, 0);
    pool_free(pool);
    server_stop(server);
}

static void test_limit_and_deadline(void)
{
    struct server *server = start();
    struct pool *pool = new_pool(server, 2, 0);
    struct backend_connection *first = acquire(pool);
    struct backend_connection *second = acquire(pool);
    assert_refused(pool, backend_deadline_in(20));
    g_assert_cmpuint(pool_counters(pool).open, ==, 2);
    g_assert_cmpuint(pool_counters(pool).refused_total, ==, 1);
    g_assert_cmpuint(peak_connections(server), ==, 2);
    pool_release(pool, first, true);
    pool_release(pool, second, true);
    pool_free(pool);
    server_stop(server);
}

static void test_keeps_warm(void)
{
    struct server *server = start();
    struct pool *pool = new_pool(server, 5, 3);
    await(pool, idle, 3);
    g_assert_cmpuint(pool_counters(pool).open, ==, 3);
    pool_free(pool);
    server_stop(server);
}

/* A thread that waits for a connection and records its turn. */
struct waiter {
    struct pool *pool;
    uint32_t number;
    uint32_t *turns;
    uint32_t turn;
};

static void *wait_for_turn(void *data)
{
    struct waiter *waiter = data;
    struct backend_connection *connection = acquire(waiter->pool);
    waiter->turn = (*waiter->turns)++; /* one connection: one thread at a time */
    pool_release(waiter->pool, connection, true);
    return NULL;
}

static void test_first_come_first_served(void)
{
    struct server *server = start();
    struct pool *pool = new_pool(server, 1, 0);
    struct backend_connection *connection = acquire(pool);
    struct waiter waiters[WAITERS];
    pthread_t threads[WAITERS];
    uint32_t turns = 0;
    for (uint32_t i = 0; i < WAITERS; i++) {
        waiters[i] = (struct waiter){.pool = pool, .number = i, .turns = &turns};
        pthread_create(&threads[i], NULL, wait_for_turn, &waiters[i]);
        await(pool, waiting, i + 1);
    }
    pool_release(pool, connection, true);
    for (uint32_t i = 0; i < WAITERS; i++) {
        pthread_join(threads[i], NULL);
        g_assert_cmpuint(waiters[i].turn, ==, i);
    }
    g_assert_cmpuint(peak_connections(server), ==, 1);
    pool_free(pool);
    server_stop(server);
}

/* Leaves a connection in a state that must not reach the next user. */
typedef void (*dirty_function)(struct backend_connection *connection);

static void leave_transaction_open(struct backend_connection *connection)
{
    struct adapter_transaction_options options = {0};
    struct execute_answer answer;
    execute_answer_init(&answer);
    assert_result(adapter_begin(connection, &options, backend_test_deadline(), &answer),
                  EXECUTE_DONE);
    execute_answer_clear(&answer);
}

static void leave_answer_unread(struct backend_connection *connection)
{
    g_assert_true(pipeline_send(connection, "SELECT 1", NULL, 0));
    g_assert_true(pipeline_end(connection));
}

/* The answer waits for a position that is never reached, so it can't arrive before the deadline. */
static void pass_deadline(struct backend_connection *connection)
{
    struct sql_statement statement = backend_statement("SELECT 1");
    struct log_position never = {.term = 1, .offset = UINT32_MAX};
    struct execute_answer answer;
    execute_answer_init(&answer);
    assert_result(
        adapter_read(connection, never, NEVER_WAIT_MS, &statement, 1, backend_now(), NULL, &answer),
        EXECUTE_LOST);
    execute_answer_clear(&answer);
}

static void test_dirty_is_closed(const void *data)
{
    dirty_function dirty = *(const dirty_function *)data;
    struct server_options options = fixture_options();
    options.connections = 1;
    struct server *server = fixture_start(&options);
    struct pool *pool = new_pool(server, 1, 0);
    struct backend_connection *connection = acquire(pool);
    dirty(connection);
    pool_release(pool, connection, true);
    g_assert_cmpuint(pool_counters(pool).broken_total, ==, 1);
    connection = acquire(pool);
    g_assert_cmpuint(pool_counters(pool).opened_total, ==, 2);
    pool_release(pool, connection, false);
    connection = acquire(pool);
    g_assert_cmpuint(pool_counters(pool).opened_total, ==, 3);
    /* The database had seen the end of each connection before the next was opened. */
    g_assert_cmpuint(pool_counters(pool).open_failed_total, ==, 0);
    g_assert_cmpuint(server->counters.over_connection_limit, ==, 0);
    pool_release(pool, connection, true);
    pool_free(pool);
    server_stop(server);
}

/* The database ended the connection while it was idle: this is detected before use. */
static void test_ended_while_idle(void)
{
    struct server_options options = fixture_options();
    struct server *server = fixture_start(&options);
    struct pool *pool = new_pool(server, 1, 1);
    await(pool, idle, 1);
    g_autofree char *address = fixture_address(server);
    server_stop(server);
    options.listen = address;
    server = fixture_start(&options);
    struct backend_connection *connection = acquire(pool);
    g_assert_cmpuint(pool_counters(pool).broken_total, ==, 1);
    g_assert_true(backend_connection_is_healthy(connection));
    pool_release(pool, connection, true);
    pool_free(pool);
    server_stop(server);
}

static void test_limit_lowered_and_raised(void)
{
    struct server *server = start();
    struct pool *pool = new_pool(server, 4, 4);
    await(pool, idle, 4);
    struct backend_connection *connection = acquire(pool);
    pool_set_limit(pool, 1);
    await(pool, open, 1);
    g_assert_cmpuint(pool_counters(pool).idle, ==, 0);
    pool_set_limit(pool, 0);
    assert_refused(pool, backend_test_deadline());
    pool_release(pool, connection, true);
    await(pool, open, 0);
    pool_set_limit(pool, 2);
    await(pool, idle, 2);
    g_assert_cmpuint(pool_counters(pool).broken_total, ==, 0);
    pool_free(pool);
    server_stop(server);
}

static void test_close_idle(void)
{
    struct server *server = start();
    struct pool *pool = new_pool(server, 4, 3);
    await(pool, idle, 3);
    pool_close_idle(pool);
    await(pool, open, 0);
    struct backend_connection *connection = acquire(pool);
    pool_release(pool, connection, true);
    pool_free(pool);
    server_stop(server);
}

/* If nothing listens at the address, the error is returned at once, not at the deadline. */
static void test_down(void)
{
    struct server *server = start();
    struct pool_options options = {
        .connection = backend_settings(server),
        .limit = 2,
        .backoff_min_ms = 600000,
        .backoff_max_ms = 600000,
    };
    server_stop(server);
    struct pool *pool = pool_new(&options);
    assert_refused(pool, backend_test_deadline());
    g_assert_cmpuint(pool_counters(pool).open_failed_total, ==, 1);
    assert_refused(pool, backend_test_deadline());
    g_assert_cmpuint(pool_counters(pool).open_failed_total, ==, 1);
    pool_free(pool);
}

static void test_unreachable_by_probes(void)
{
    struct server *server = start();
    struct pool *pool = new_pool(server, 2, 0);
    struct backend_connection *connection = acquire(pool);
    pool_release(pool, connection, true);
    pool_set_reachable(pool, false);
    assert_refused(pool, backend_test_deadline());
    pool_set_reachable(pool, true);
    connection = acquire(pool);
    pool_release(pool, connection, true);
    pool_free(pool);
    server_stop(server);
}

/* The database has no free connection: acquisition is refused, until another client disconnects. */
static void test_database_full(void)
{
    struct server_options options = fixture_options();
    options.connections = 1;
    struct server *server = fixture_start(&options);
    struct backend_connection *other = backend_open(server);
    struct pool *pool = new_pool(server, 2, 0);
    assert_refused(pool, backend_test_deadline());
    backend_connection_close(other);
    struct backend_connection *connection = acquire(pool);
    pool_release(pool, connection, true);
    pool_free(pool);
    server_stop(server);
}

/* Many threads share few connections, some of which are returned as not reusable. */
static void *work(void *data)
{
    struct pool *pool = data;
    struct sql_statement statement = backend_statement("SELECT 1");
    struct log_position none = {0};
    for (uint32_t i = 0; i < 50; i++) {
        struct execute_answer answer;
        execute_answer_init(&answer);
        struct backend_connection *connection = acquire(pool);
        assert_result(adapter_read(connection, none, 0, &statement, 1, backend_test_deadline(),
                                   NULL, &answer),
                      EXECUTE_DONE);
        g_assert_cmpuint(answer.results[0].rows_count, ==, 1);
        pool_release(pool, connection, i % 10 != 0);
        execute_answer_clear(&answer);
    }
    return NULL;
}

static void test_many_threads(void)
{
    struct server *server = start();
    struct pool *pool = new_pool(server, 3, 1);
    pthread_t threads[WAITERS];
    for (uint32_t i = 0; i < WAITERS; i++) {
        pthread_create(&threads[i], NULL, work, pool);
    }
    pool_set_limit(pool, 2);
    for (uint32_t i = 0; i < WAITERS; i++) {
        pthread_join(threads[i], NULL);
    }
    g_assert_cmpuint(pool_counters(pool).in_use, ==, 0);
    g_assert_cmpuint(peak_connections(server), <=, 3);
    pool_free(pool);
    server_stop(server);
}

int main(int argc, char **argv)
{
    static const dirty_function open_transaction = leave_transaction_open;
    static const dirty_function unread_answer = leave_answer_unread;
    static const dirty_function passed_deadline = pass_deadline;
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/backend/pool/reuse", test_reuse);
    g_test_add_func("/backend/pool/limit-and-deadline", test_limit_and_deadline);
    g_test_add_func("/backend/pool/keeps-warm", test_keeps_warm);
    g_test_add_func("/backend/pool/first-come-first-served", test_first_come_first_served);
    g_test_add_data_func("/backend/pool/dirty/transaction", &open_transaction,
                         test_dirty_is_closed);
    g_test_add_data_func("/backend/pool/dirty/answer", &unread_answer, test_dirty_is_closed);
    g_test_add_data_func("/backend/pool/dirty/deadline", &passed_deadline, test_dirty_is_closed);
    g_test_add_func("/backend/pool/ended-while-idle", test_ended_while_idle);
    g_test_add_func("/backend/pool/limit-lowered-and-raised", test_limit_lowered_and_raised);
    g_test_add_func("/backend/pool/close-idle", test_close_idle);
    g_test_add_func("/backend/pool/down", test_down);
    g_test_add_func("/backend/pool/unreachable-by-probes", test_unreachable_by_probes);
    g_test_add_func("/backend/pool/database-full", test_database_full);
    g_test_add_func("/backend/pool/many-threads", test_many_threads);
    return g_test_run();
}
