/* Tests of pools that share a database by a budget: whatever each pool assumes about its position,
 * the database never sees more connections than its limit, and in the end all numbers of the shares
 * are held. */
#include "backend/pool.h"
#include "backend_fixture.h"

#define OWNERS      2
#define CONNECTIONS 14
#define POOLS_MAX   4 /* the maximum that may open at once: two views of the owners */

/* Random operations per seed, and number of seeds. */
#define CHURN_STEPS 150
#define CHURN_SEEDS 6

/* Waits for a condition; the test's own time limit ends the wait. */
#define await(condition)                                                                           \
    while (!(condition)) {                                                                         \
        g_usleep(1000);                                                                            \
    }

/* Daemons that share one database. */
struct setup {
    struct server *server;
    struct budget_options budget;
    struct pool *pools[POOLS_MAX];
    uint32_t count;
};

static struct server *start_server(const char *listen)
{
    struct server_options options = fixture_options();
    options.connections = CONNECTIONS;
    if (listen != NULL) {
        options.listen = listen;
    }
    return fixture_start(&options);
}

static struct pool *new_pool(const struct setup *setup)
{
    struct pool_options options = {
        .connection = backend_settings(setup->server),
        .budget = &setup->budget,
    };
    return pool_new(&options);
}

static void setup_start(struct setup *setup, uint32_t count)
{
    *setup = (struct setup){.server = start_server(NULL), .count = count};
    budget_options_for(&setup->budget, CONNECTIONS, OWNERS);
    setup->budget.retry_wait = 10 * NANOSECONDS_PER_MILLISECOND;
    setup->budget.handover_time = 100 * NANOSECONDS_PER_MILLISECOND;
    for (uint32_t i = 0; i < count; i++) {
        setup->pools[i] = new_pool(setup);
    }
}

static void setup_stop(struct setup *setup)
{
    for (uint32_t i = 0; i < setup->count; i++) {
        pool_free(setup->pools[i]);
    }
    g_assert_cmpuint(server_counters(setup->server).over_connection_limit, ==, 0);
    server_stop(setup->server);
}

static uint32_t share_of(const struct setup *setup)
{
    return budget_share(&setup->budget);
}

static struct backend_connection *acquire(struct pool *pool)
{
    g_autoptr(GError) error = NULL;
    struct backend_connection *connection = pool_acquire(pool, backend_test_deadline(), &error);
    g_assert_no_error(error);
    return connection;
}

static void assert_refused(struct pool *pool)
{
    g_autoptr(GError) error = NULL;
    g_assert_null(pool_acquire(pool, backend_test_deadline(), &error));
    g_assert_nonnull(error);
}

static bool holds_share(const struct setup *setup, uint32_t index)
{
    struct pool_counters counters = pool_counters(setup->pools[index]);
    return counters.idle == share_of(setup) && counters.open == share_of(setup);
}

/* Sets a daemon's position and waits until it holds its full share. */
static void settle_at(struct setup *setup, uint32_t index, int32_t position)
{
    pool_set_position(setup->pools[index], position, false);
    await(holds_share(setup, index));
}

/* Opens a connection of another process that holds the lock of a number. */
static struct backend_connection *hold_number(const struct setup *setup, uint32_t number)
{
    struct backend_connection *connection = backend_open(setup->server);
    enum number_result result =
        adapter_take_number(connection, number, backend_test_deadline(), NULL);
    g_assert_cmpint(result, ==, NUMBER_HELD);
    return connection;
}

static void test_opens_its_share(void)
{
    struct setup setup;
    setup_start(&setup, 2);
    settle_at(&setup, 0, 0);
    settle_at(&setup, 1, 1);
    g_assert_true(pool_is_warm(setup.pools[0]));
    g_assert_cmpuint(pool_counters(setup.pools[0]).limit, ==, share_of(&setup));
    setup_stop(&setup);
}

/* Each connection holds its number's lock before it is acquired. */
static void test_locks_number(void)
{
    struct setup setup;
    setup_start(&setup, 1);
    pool_set_position(setup.pools[0], 0, false);
    struct backend_connection *connection = acquire(setup.pools[0]);
    struct backend_connection *other = backend_open(setup.server);
    g_assert_cmpint(connection->number, >=, 0);
    enum number_result result =
        adapter_take_number(other, (uint32_t)connection->number, backend_test_deadline(), NULL);
    g_assert_cmpint(result, ==, NUMBER_TAKEN);
    backend_connection_close(other);
    pool_release(setup.pools[0], connection, true);
    setup_stop(&setup);
}

/* Until the position is set, pool_acquire waits; afterwards it gets a connection. */
static void *acquire_and_release(void *data)
{
    struct pool *pool = data;
    pool_release(pool, acquire(pool), true);
    return NULL;
}

static void test_waits_for_position(void)
{
    struct setup setup;
    pthread_t thread;
    setup_start(&setup, 1);
    pthread_create(&thread, NULL, acquire_and_release, setup.pools[0]);
    await(pool_counters(setup.pools[0]).waiting == 1);
    pool_set_position(setup.pools[0], 0, false);
    pthread_join(thread, NULL);
    setup_stop(&setup);
}

static void *acquire_refused(void *data)
{
    assert_refused(data);
    return NULL;
}

/* When a daemon loses its position, threads that wait for a connection are refused. */
static void test_refuses_without_position(void)
{
    struct setup setup;
    struct backend_connection *held[CONNECTIONS] = {NULL};
    pthread_t thread;
    setup_start(&setup, 1);
    settle_at(&setup, 0, 0);
    for (uint32_t i = 0; i < share_of(&setup); i++) {
        held[i] = acquire(setup.pools[0]);
    }
    pthread_create(&thread, NULL, acquire_refused, setup.pools[0]);
    await(pool_counters(setup.pools[0]).waiting == 1);
    pool_set_position(setup.pools[0], -1, false);
    pthread_join(thread, NULL);
    assert_refused(setup.pools[0]);
    g_assert_false(pool_is_released(setup.pools[0]));
    for (uint32_t i = 0; i < share_of(&setup); i++) {
        g_assert_true(backend_connection_is_clean(held[i]));
        pool_release(setup.pools[0], held[i], true);
    }
    await(pool_is_released(setup.pools[0]));
    setup_stop(&setup);
}

/* Numbers whose locks another process holds are not used until that process ends. */
static void test_number_taken(void)
{
    struct setup setup;
    struct backend_connection *others[CONNECTIONS];
    setup_start(&setup, 1);
    uint32_t share = share_of(&setup);
    for (uint32_t i = 0; i < share; i++) {
        others[i] = hold_number(&setup, i);
    }
    pool_set_position(setup.pools[0], 0, false);
    /* Meanwhile the pool serves from the numbers reserved for handover. */
    await(pool_is_warm(setup.pools[0]));
    await(pool_counters(setup.pools[0]).numbers_taken_total >= share);
    g_assert_cmpuint(pool_counters(setup.pools[0]).idle, ==, setup.budget.handover);
    pool_release(setup.pools[0], acquire(setup.pools[0]), true);
    for (uint32_t i = 0; i < share; i++) {
        backend_connection_close(others[i]);
    }
    await(holds_share(&setup, 0));
    setup_stop(&setup);
}

/* The connections of a killed daemon end without notice; the next owner opens its own. */
static void test_daemon_killed(void)
{
    struct setup setup;
    struct backend_connection *dead[CONNECTIONS];
    setup_start(&setup, 2);
    uint32_t share = share_of(&setup);
    for (uint32_t i = 0; i < share; i++) {
        dead[i] = hold_number(&setup, i);
    }
    settle_at(&setup, 1, 1);
    pool_set_position(setup.pools[0], 0, false);
    await(pool_is_warm(setup.pools[0]));
    for (uint32_t i = 0; i < share; i++) {
        shutdown(PQsocket(dead[i]->pg), SHUT_RDWR);
    }
    await(holds_share(&setup, 0));
    for (uint32_t i = 0; i < share; i++) {
        backend_connection_close(dead[i]);
    }
    setup_stop(&setup);
}

/* In a planned move the old owner serves until the new one is warm, and then completes what is in
 * progress. */
static void test_planned_move(void)
{
    struct setup setup;
    setup_start(&setup, 3);
    setup.budget.handover_time = 60 * NANOSECONDS_PER_SECOND;
    pool_free(setup.pools[0]);
    setup.pools[0] = new_pool(&setup);
    settle_at(&setup, 0, 0);
    settle_at(&setup, 1, 1);
    struct backend_connection *running = acquire(setup.pools[0]);
    pool_set_position(setup.pools[2], 0, true);
    pool_set_position(setup.pools[0], -1, true);
    pool_release(setup.pools[0], acquire(setup.pools[0]), true);
    await(pool_is_warm(setup.pools[2]));
    pool_release(setup.pools[0], acquire(setup.pools[0]), true);
    pool_peer_warm(setup.pools[0]);
    assert_refused(setup.pools[0]);
    await(pool_counters(setup.pools[0]).open == 1);
    g_assert_true(backend_connection_is_healthy(running));
    pool_release(setup.pools[0], running, true);
    await(pool_is_released(setup.pools[0]));
    pool_peer_released(setup.pools[2]);
    await(holds_share(&setup, 2));
    setup_stop(&setup);
}

/* The position is lost and regained while the old connections are still open. */
static void test_position_regained(void)
{
    struct setup setup;
    setup_start(&setup, 2);
    settle_at(&setup, 0, 0);
    settle_at(&setup, 1, 1);
    pool_set_position(setup.pools[0], -1, true);
    pool_set_position(setup.pools[0], 0, true);
    await(holds_share(&setup, 0));
    pool_set_position(setup.pools[0], -1, false);
    pool_set_position(setup.pools[0], 0, false);
    await(holds_share(&setup, 0));
    setup_stop(&setup);
}

/* A restart of the database releases all locks; the daemons take them again. */
static void test_database_restart(void)
{
    struct setup setup;
    setup_start(&setup, 2);
    settle_at(&setup, 0, 0);
    settle_at(&setup, 1, 1);
    g_autofree char *address = fixture_address(setup.server);
    g_assert_cmpuint(server_counters(setup.server).over_connection_limit, ==, 0);
    uint64_t opened_before = pool_counters(setup.pools[1]).opened_total;
    server_stop(setup.server);
    setup.server = start_server(address);
    await(pool_counters(setup.pools[1]).opened_total >= opened_before + share_of(&setup));
    await(holds_share(&setup, 0) && holds_share(&setup, 1));
    setup_stop(&setup);
}

/* A position lost while the database is unreachable leaves no connection open. */
static void test_unreachable(void)
{
    struct setup setup;
    setup_start(&setup, 1);
    pool_set_reachable(setup.pools[0], false);
    pool_set_position(setup.pools[0], 0, false);
    assert_refused(setup.pools[0]);
    g_assert_cmpuint(pool_counters(setup.pools[0]).open, ==, 0);
    pool_set_position(setup.pools[0], -1, false);
    g_assert_true(pool_is_released(setup.pools[0]));
    pool_set_position(setup.pools[0], 0, false);
    pool_set_reachable(setup.pools[0], true);
    await(holds_share(&setup, 0));
    setup_stop(&setup);
}

/* A connection that is not reusable is closed, and its number is opened again once the database has
 * ended it. */
static void test_broken_in_use(void)
{
    struct setup setup;
    setup_start(&setup, 1);
    settle_at(&setup, 0, 0);
    struct backend_connection *connection = acquire(setup.pools[0]);
    pool_release(setup.pools[0], connection, false);
    await(pool_counters(setup.pools[0]).opened_total == share_of(&setup) + 1);
    await(holds_share(&setup, 0));
    g_assert_cmpuint(pool_counters(setup.pools[0]).numbers_taken_total, ==, 0);
    setup_stop(&setup);
}

/* A random position, or -1 (none) with probability 1/5. */
static int32_t any_position(GRand *random)
{
    bool none = g_rand_int_range(random, 0, 5) == 0;
    return none ? -1 : g_rand_int_range(random, 0, OWNERS);
}

/* One random operation of a daemon, or of its control plane with an arbitrary view. */
static void churn_once(struct setup *setup, GRand *random, struct backend_connection **used)
{
    uint32_t index = (uint32_t)g_rand_int_range(random, 0, (gint32)setup->count);
    struct pool *pool = setup->pools[index];
    switch (g_rand_int_range(random, 0, 8)) {
    case 0:
    case 1:
    case 2:
        pool_set_position(pool, any_position(random), g_rand_boolean(random));
        break;
    case 3:
        pool_peer_warm(pool);
        break;
    case 4:
        pool_peer_released(pool);
        break;
    case 5:
    case 6:
        if (used[index] != NULL) {
            pool_release(pool, used[index], g_rand_boolean(random));
            used[index] = NULL;
        } else {
            used[index] = pool_acquire(pool, backend_deadline_in(5), NULL);
        }
        break;
    default:
        g_usleep((gulong)g_rand_int_range(random, 0, 20000));
        break;
    }
}

static void churn(struct setup *setup, GRand *random)
{
    struct backend_connection *used[POOLS_MAX] = {NULL};
    for (uint32_t step = 0; step < CHURN_STEPS; step++) {
        churn_once(setup, random, used);
    }
    for (uint32_t i = 0; i < setup->count; i++) {
        if (used[i] != NULL) {
            pool_release(setup->pools[i], used[i], true);
        }
    }
}

static void test_churn(const void *data)
{
    uint32_t count = GPOINTER_TO_UINT(data);
    for (uint32_t seed = 1; seed <= CHURN_SEEDS; seed++) {
        struct setup setup;
        GRand *random = g_rand_new_with_seed(seed);
        setup_start(&setup, count);
        churn(&setup, random);
        for (uint32_t i = 0; i < count; i++) {
            pool_set_position(setup.pools[i], i < OWNERS ? (int32_t)i : -1, false);
        }
        for (uint32_t i = 0; i < count; i++) {
            await(i < OWNERS ? holds_share(&setup, i) : pool_is_released(setup.pools[i]));
        }
        g_rand_free(random);
        setup_stop(&setup);
    }
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/backend/pool-budget/opens-its-share", test_opens_its_share);
    g_test_add_func("/backend/pool-budget/locks-number", test_locks_number);
    g_test_add_func("/backend/pool-budget/waits-for-position", test_waits_for_position);
    g_test_add_func("/backend/pool-budget/refuses-without-position", test_refuses_without_position);
    g_test_add_func("/backend/pool-budget/number-taken", test_number_taken);
    g_test_add_func("/backend/pool-budget/daemon-killed", test_daemon_killed);
    g_test_add_func("/backend/pool-budget/planned-move", test_planned_move);
    g_test_add_func("/backend/pool-budget/position-regained", test_position_regained);
    g_test_add_func("/backend/pool-budget/database-restart", test_database_restart);
    g_test_add_func("/backend/pool-budget/unreachable", test_unreachable);
    g_test_add_func("/backend/pool-budget/broken-in-use", test_broken_in_use);
    g_test_add_data_func("/backend/pool-budget/churn/2", GUINT_TO_POINTER(2), test_churn);
    g_test_add_data_func("/backend/pool-budget/churn/3", GUINT_TO_POINTER(3), test_churn);
    g_test_add_data_func("/backend/pool-budget/churn/4", GUINT_TO_POINTER(4), test_churn);
    return g_test_run();
}
