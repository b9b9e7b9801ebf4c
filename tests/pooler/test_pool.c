/**
 * @file
 * @brief What becomes of a database's connections where more tenants ask than it takes: how long an
 * idle one is kept, when another opens beside or in place of it, and when before it is asked for.
 */
#include "pooler/databases/pool.h"

#include <glib.h>

#define MS  NANOSECONDS_PER_MILLISECOND
#define NOW (100 * NANOSECONDS_PER_SECOND)

/* A tenant that asks every few seconds meets its connection again; any other is closed. */
static void
test_sparse_tenants(void)
{
    g_assert_false(pool_is_unused(NOW - 3 * NANOSECONDS_PER_SECOND, true, NOW));
    g_assert_true(pool_is_unused(NOW - 60 * NANOSECONDS_PER_SECOND, true, NOW));
    g_assert_true(pool_is_unused(NOW - 3 * NANOSECONDS_PER_SECOND, false, NOW));
}

/* A full database is opened to in place of an idle connection, where those are other tenants'. */
static void
test_full(void)
{
    pool_t pool = {.per_tenant = true, .max = 4, .open = 4, .idle = 1};
    g_assert_true(pool_may_open(&pool));
    pool.idle = 0;
    g_assert_false(pool_may_open(&pool));
    pool.idle = 1;
    pool.per_tenant = false;
    g_assert_false(pool_may_open(&pool));
    pool.max = 0;
    pool.per_tenant = true;
    g_assert_false(pool_may_open(&pool));
}

/* Openings hold slots: one at a time where each serves one tenant. */
static void
test_one_at_a_time(void)
{
    pool_t pool = {.per_tenant = true, .max = 10, .open = 3, .opening = 1};
    g_assert_false(pool_may_open(&pool));
    pool.per_tenant = false;
    g_assert_true(pool_may_open(&pool));
}

/* While one opens, the next tenant's statement waits for its turn there; not where a database has
 * gone dark, and takes connections without a word. */
static void
test_waits_for_its_turn(void)
{
    pool_t pool = {.per_tenant = true, .max = 10, .open = 3, .opening = 1, .opening_since = NOW};
    g_assert_false(pool_may_open(&pool));
    g_assert_true(pool_will_open(&pool, NOW + 12 * MS));
    g_assert_false(pool_will_open(&pool, NOW + 100 * MS));
    pool.open = 10; /* none is idle: there is no room, however long it waits */
    g_assert_false(pool_will_open(&pool, NOW + 12 * MS));
    pool.opening = 0;
    pool.idle = 1;
    g_assert_true(pool_will_open(&pool, NOW + 100 * MS));
    /* Where any connection serves, what opens serves the next as well: more wait for nothing. */
    pool = (pool_t){.max = 10, .open = 3, .opening = 2, .opening_since = NOW};
    g_assert_false(pool_will_open(&pool, NOW + 12 * MS));
}

/* Sessions that begin while statements wait, as after the loss of all, get nothing ahead: what is
 * opened goes to the statements. */
static void
test_ahead_waits_for_the_waiting(void)
{
    pool_t pool = {.per_tenant = true, .max = 10, .open = 3, .idle = 3};
    g_assert_true(pool_may_open_ahead(&pool));
    pool.waiting = 1;
    g_assert_false(pool_may_open_ahead(&pool));
    g_assert_true(pool_may_open(&pool));
}

/* The only connection is not taken from who has it for who may come. */
static void
test_ahead_leaves_the_last(void)
{
    pool_t pool = {.per_tenant = true, .max = 1, .open = 1, .idle = 1};
    g_assert_false(pool_may_open_ahead(&pool));
    g_assert_true(pool_may_open(&pool));
    pool = (pool_t){.per_tenant = true, .max = 4, .open = 4, .idle = 2};
    g_assert_true(pool_may_open_ahead(&pool));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pooler/pool/sparse-tenants", test_sparse_tenants);
    g_test_add_func("/pooler/pool/full", test_full);
    g_test_add_func("/pooler/pool/one-at-a-time", test_one_at_a_time);
    g_test_add_func("/pooler/pool/waits-for-its-turn", test_waits_for_its_turn);
    g_test_add_func("/pooler/pool/ahead-waits-for-the-waiting", test_ahead_waits_for_the_waiting);
    g_test_add_func("/pooler/pool/ahead-leaves-the-last", test_ahead_leaves_the_last);
    return g_test_run();
}
