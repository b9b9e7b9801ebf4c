/* Pools that share a database by a budget: whatever each believes of its place, the database never
 * sees more connections than its limit, and in the end every number of the shares is held. */
#include "backend/pool.h"
#include "backend_fixture.h"

#define OWNERS      2
#define CONNECTIONS 14
#define POOLS_MAX   4 /* as many as may open at once: two views of the owners */

/* Steps of one churn, and seeds tried. */
#define CHURN_STEPS 150
#define CHURN_SEEDS 6

/* Waits for a condition; the test's own time limit ends a wait in vain. */
#define await(condition)                                                                           \
    while (!(condition)) {                                                                         \
        g_usleep(1000);                                                                            \
    }

/* Daemons that share one database. */
struct world {
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

static struct pool *new_pool(const struct world *world)
{
    struct pool_options options = {
        .connection = backend_settings(world->server),
        .budget = &world->budget,
    };
    return pool_new(&options);
}

static void world_start(struct world *world, uint32_t count)
{
    *world = (struct world){.server = start_server(NULL), .count = count};
    budget_options_for(&world->budget, CONNECTIONS, OWNERS);
    world->budget.retry_wait = 10 * NANOSECONDS_PER_MILLISECOND;
    world->budget.handover_time = 100 * NANOSECONDS_PER_MILLISECOND;
    for (uint32_t i = 0; i < count; i++) {
        world->pools[i] = new_pool(world);
    }
}

static void world_stop(struct world *world)
{
    for (uint32_t i = 0; i < world->count; i++) {
        pool_free(world->pools[i]);
    }
    g_assert_cmpuint(server_counters(world->server).over_connection_limit, ==, 0);
    server_stop(world->server);
}

static uint32_t share_of(const struct world *world)
{
    return budget_share(&world->budget);
}

static struct backend_connection *acquire(struct pool *pool)
{
    g_autoptr(GError) error = NULL;
    struct backend_connection *connection = pool_acquire(pool, backend_far(), &error);
    g_assert_no_error(error);
    return connection;
}

static void assert_refused(struct pool *pool)
{
    g_autoptr(GError) error = NULL;
    g_assert_null(pool_acquire(pool, backend_far(), &error));
    g_assert_nonnull(error);
}

static bool holds_share(const struct world *world, uint32_t index)
{
    struct pool_counters counters = pool_counters(world->pools[index]);
    return counters.idle == share_of(world) && counters.open == share_of(world);
}

/* A daemon that holds its whole share. */
static void settle_at(struct world *world, uint32_t index, int32_t position)
{
    pool_set_position(world->pools[index], position, false);
    await(holds_share(world, index));
}

/* Another process's connection to the database, with the lock of a number. */
static struct backend_connection *hold_number(const struct world *world, uint32_t number)
{
    struct backend_connection *connection = backend_open(world->server);
    enum number_result result = adapter_take_number(connection, number, backend_far(), NULL);
    g_assert_cmpint(result, ==, NUMBER_HELD);
    return connection;
}

static void test_opens_its_share(void)
{
    struct world world;
    world_start(&world, 2);
    settle_at(&world, 0, 0);
    settle_at(&world, 1, 1);
    g_assert_true(pool_is_warm(world.pools[0]));
    g_assert_cmpuint(pool_counters(world.pools[0]).limit, ==, share_of(&world));
    world_stop(&world);
}

/* Each connection holds its number's lock before it is handed out. */
static void test_holds_the_lock(void)
{
    struct world world;
    world_start(&world, 1);
    pool_set_position(world.pools[0], 0, false);
    struct backend_connection *connection = acquire(world.pools[0]);
    struct backend_connection *other = backend_open(world.server);
    g_assert_cmpint(connection->number, >=, 0);
    enum number_result result =
        adapter_take_number(other, (uint32_t)connection->number, backend_far(), NULL);
    g_assert_cmpint(result, ==, NUMBER_TAKEN);
    backend_connection_close(other);
    pool_release(world.pools[0], connection, true);
    world_stop(&world);
}

/* Before a place is told a thread waits; it is served once there is one. */
static void *acquire_and_release(void *data)
{
    struct pool *pool = data;
    pool_release(pool, acquire(pool), true);
    return NULL;
}

static void test_waits_for_a_place(void)
{
    struct world world;
    pthread_t thread;
    world_start(&world, 1);
    pthread_create(&thread, NULL, acquire_and_release, world.pools[0]);
    await(pool_counters(world.pools[0]).waiting == 1);
    pool_set_position(world.pools[0], 0, false);
    pthread_join(thread, NULL);
    world_stop(&world);
}

static void *acquire_in_vain(void *data)
{
    assert_refused(data);
    return NULL;
}

/* Who waits at a daemon that loses its place is refused once its last connection is given up. */
static void test_refuses_without_a_place(void)
{
    struct world world;
    struct backend_connection *held[CONNECTIONS] = {NULL};
    pthread_t thread;
    world_start(&world, 1);
    settle_at(&world, 0, 0);
    for (uint32_t i = 0; i < share_of(&world); i++) {
        held[i] = acquire(world.pools[0]);
    }
    pthread_create(&thread, NULL, acquire_in_vain, world.pools[0]);
    await(pool_counters(world.pools[0]).waiting == 1);
    pool_set_position(world.pools[0], -1, false);
    pthread_join(thread, NULL);
    assert_refused(world.pools[0]);
    g_assert_false(pool_is_released(world.pools[0]));
    for (uint32_t i = 0; i < share_of(&world); i++) {
        g_assert_true(backend_connection_is_clean(held[i]));
        pool_release(world.pools[0], held[i], true);
    }
    await(pool_is_released(world.pools[0]));
    world_stop(&world);
}

/* Numbers that another process holds are left to it; its end gives them free. */
static void test_lock_taken_by_another(void)
{
    struct world world;
    struct backend_connection *others[CONNECTIONS];
    world_start(&world, 1);
    uint32_t share = share_of(&world);
    for (uint32_t i = 0; i < share; i++) {
        others[i] = hold_number(&world, i);
    }
    pool_set_position(world.pools[0], 0, false);
    /* It serves from the numbers for hand-over meanwhile. */
    await(pool_is_warm(world.pools[0]));
    await(pool_counters(world.pools[0]).numbers_taken_total >= share);
    g_assert_cmpuint(pool_counters(world.pools[0]).idle, ==, world.budget.handover);
    pool_release(world.pools[0], acquire(world.pools[0]), true);
    for (uint32_t i = 0; i < share; i++) {
        backend_connection_close(others[i]);
    }
    await(holds_share(&world, 0));
    world_stop(&world);
}

/* The connections of a daemon that dies end without a word; the next owner opens its own. */
static void test_daemon_killed(void)
{
    struct world world;
    struct backend_connection *dead[CONNECTIONS];
    world_start(&world, 2);
    uint32_t share = share_of(&world);
    for (uint32_t i = 0; i < share; i++) {
        dead[i] = hold_number(&world, i);
    }
    settle_at(&world, 1, 1);
    pool_set_position(world.pools[0], 0, false);
    await(pool_is_warm(world.pools[0]));
    for (uint32_t i = 0; i < share; i++) {
        shutdown(PQsocket(dead[i]->pg), SHUT_RDWR);
    }
    await(holds_share(&world, 0));
    for (uint32_t i = 0; i < share; i++) {
        backend_connection_close(dead[i]);
    }
    world_stop(&world);
}

/* In a planned move the old owner serves until the new one is warm, and what it runs then ends. */
static void test_planned_move(void)
{
    struct world world;
    world_start(&world, 3);
    world.budget.handover_time = 60 * NANOSECONDS_PER_SECOND;
    pool_free(world.pools[0]);
    world.pools[0] = new_pool(&world);
    settle_at(&world, 0, 0);
    settle_at(&world, 1, 1);
    struct backend_connection *running = acquire(world.pools[0]);
    pool_set_position(world.pools[2], 0, true);
    pool_set_position(world.pools[0], -1, true);
    pool_release(world.pools[0], acquire(world.pools[0]), true);
    await(pool_is_warm(world.pools[2]));
    pool_release(world.pools[0], acquire(world.pools[0]), true);
    pool_peer_warm(world.pools[0]);
    assert_refused(world.pools[0]);
    await(pool_counters(world.pools[0]).open == 1);
    g_assert_true(backend_connection_is_healthy(running));
    pool_release(world.pools[0], running, true);
    await(pool_is_released(world.pools[0]));
    pool_peer_released(world.pools[2]);
    await(holds_share(&world, 2));
    world_stop(&world);
}

/* A place lost and won again while the old connections still stand. */
static void test_place_comes_back(void)
{
    struct world world;
    world_start(&world, 2);
    settle_at(&world, 0, 0);
    settle_at(&world, 1, 1);
    pool_set_position(world.pools[0], -1, true);
    pool_set_position(world.pools[0], 0, true);
    await(holds_share(&world, 0));
    pool_set_position(world.pools[0], -1, false);
    pool_set_position(world.pools[0], 0, false);
    await(holds_share(&world, 0));
    world_stop(&world);
}

/* All locks go with the database's process; the daemons take theirs anew. */
static void test_database_restart(void)
{
    struct world world;
    world_start(&world, 2);
    settle_at(&world, 0, 0);
    settle_at(&world, 1, 1);
    g_autofree char *address = fixture_address(world.server);
    g_assert_cmpuint(server_counters(world.server).over_connection_limit, ==, 0);
    uint64_t opened_before = pool_counters(world.pools[1]).opened_total;
    server_stop(world.server);
    world.server = start_server(address);
    await(pool_counters(world.pools[1]).opened_total >= opened_before + share_of(&world));
    await(holds_share(&world, 0) && holds_share(&world, 1));
    world_stop(&world);
}

/* A place lost while the database can't be reached leaves nothing behind. */
static void test_unreachable(void)
{
    struct world world;
    world_start(&world, 1);
    pool_set_reachable(world.pools[0], false);
    pool_set_position(world.pools[0], 0, false);
    assert_refused(world.pools[0]);
    g_assert_cmpuint(pool_counters(world.pools[0]).open, ==, 0);
    pool_set_position(world.pools[0], -1, false);
    g_assert_true(pool_is_released(world.pools[0]));
    pool_set_position(world.pools[0], 0, false);
    pool_set_reachable(world.pools[0], true);
    await(holds_share(&world, 0));
    world_stop(&world);
}

/* A connection in doubt is closed, and its number opened anew once the database ended it. */
static void test_broken_in_use(void)
{
    struct world world;
    world_start(&world, 1);
    settle_at(&world, 0, 0);
    struct backend_connection *connection = acquire(world.pools[0]);
    pool_release(world.pools[0], connection, false);
    await(pool_counters(world.pools[0]).opened_total == share_of(&world) + 1);
    await(holds_share(&world, 0));
    g_assert_cmpuint(pool_counters(world.pools[0]).numbers_taken_total, ==, 0);
    world_stop(&world);
}

/* Any place among the owners, or now and then none. */
static int32_t any_position(GRand *random)
{
    bool none = g_rand_int_range(random, 0, 5) == 0;
    return none ? -1 : g_rand_int_range(random, 0, OWNERS);
}

/* One random act of a daemon, or of its control plane with whatever view it has. */
static void churn_once(struct world *world, GRand *random, struct backend_connection **used)
{
    uint32_t index = (uint32_t)g_rand_int_range(random, 0, (gint32)world->count);
    struct pool *pool = world->pools[index];
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
            used[index] = pool_acquire(pool, backend_in(5), NULL);
        }
        break;
    default:
        g_usleep((gulong)g_rand_int_range(random, 0, 20000));
        break;
    }
}

static void churn(struct world *world, GRand *random)
{
    struct backend_connection *used[POOLS_MAX] = {NULL};
    for (uint32_t step = 0; step < CHURN_STEPS; step++) {
        churn_once(world, random, used);
    }
    for (uint32_t i = 0; i < world->count; i++) {
        if (used[i] != NULL) {
            pool_release(world->pools[i], used[i], true);
        }
    }
}

static void test_churn(const void *data)
{
    uint32_t count = GPOINTER_TO_UINT(data);
    for (uint32_t seed = 1; seed <= CHURN_SEEDS; seed++) {
        struct world world;
        GRand *random = g_rand_new_with_seed(seed);
        world_start(&world, count);
        churn(&world, random);
        for (uint32_t i = 0; i < count; i++) {
            pool_set_position(world.pools[i], i < OWNERS ? (int32_t)i : -1, false);
        }
        for (uint32_t i = 0; i < count; i++) {
            await(i < OWNERS ? holds_share(&world, i) : pool_is_released(world.pools[i]));
        }
        g_rand_free(random);
        world_stop(&world);
    }
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/backend/pool-budget/opens-its-share", test_opens_its_share);
    g_test_add_func("/backend/pool-budget/holds-the-lock", test_holds_the_lock);
    g_test_add_func("/backend/pool-budget/waits-for-a-place", test_waits_for_a_place);
    g_test_add_func("/backend/pool-budget/refuses-without-a-place", test_refuses_without_a_place);
    g_test_add_func("/backend/pool-budget/lock-taken-by-another", test_lock_taken_by_another);
    g_test_add_func("/backend/pool-budget/daemon-killed", test_daemon_killed);
    g_test_add_func("/backend/pool-budget/planned-move", test_planned_move);
    g_test_add_func("/backend/pool-budget/place-comes-back", test_place_comes_back);
    g_test_add_func("/backend/pool-budget/database-restart", test_database_restart);
    g_test_add_func("/backend/pool-budget/unreachable", test_unreachable);
    g_test_add_func("/backend/pool-budget/broken-in-use", test_broken_in_use);
    g_test_add_data_func("/backend/pool-budget/churn/2", GUINT_TO_POINTER(2), test_churn);
    g_test_add_data_func("/backend/pool-budget/churn/3", GUINT_TO_POINTER(3), test_churn);
    g_test_add_data_func("/backend/pool-budget/churn/4", GUINT_TO_POINTER(4), test_churn);
    return g_test_run();
}
