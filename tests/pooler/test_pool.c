/**
 * @file
 * @brief Connection pool of a database that accepts fewer connections than there are tenants: how
 * long an idle connection is kept, when another one is opened in addition or in its place, and when
 * one is opened before a statement needs it.
 */
#include "pooler/databases/pool.h"

#include <glib.h>

#define MS  NANOSECONDS_PER_MILLISECOND
#define NOW (100 * NANOSECONDS_PER_SECOND)

/* A connection of a tenant with a statement every few seconds is kept, others are closed. */
static void
test_kept_while_idle(void)
{
    g_assert_false(pool_is_unused(NOW - 3 * NANOSECONDS_PER_SECOND, true, NOW));
    g_assert_true(pool_is_unused(NOW - 60 * NANOSECONDS_PER_SECOND, true, NOW));
    g_assert_true(pool_is_unused(NOW - 3 * NANOSECONDS_PER_SECOND, false, NOW));
}

/* At the limit a connection may be opened in place of an idle one, if connections serve one tenant.
 */
static void
test_at_limit(void)
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

/* Openings take slots of the database: with connections per tenant, one is in progress at a time.
 */
static void
test_one_opening_at_a_time(void)
{
    pool_t pool = {.per_tenant = true, .max = 10, .open = 3, .opening = 1};
    g_assert_false(pool_may_open(&pool));
    pool.per_tenant = false;
    g_assert_true(pool_may_open(&pool));
}

/* A statement of another tenant waits for an opening in progress, unless that takes so long that
 * the database may be unresponsive. */
static void
test_waits_for_opening(void)
{
    pool_t pool = {.per_tenant = true, .max = 10, .open = 3, .opening = 1, .opening_since = NOW};
    g_assert_false(pool_may_open(&pool));
    g_assert_true(pool_will_open(&pool, NOW + 12 * MS));
    g_assert_false(pool_will_open(&pool, NOW + 100 * MS));
    pool.open = 10; /* at the limit, and none is idle: waiting would be in vain */
    g_assert_false(pool_will_open(&pool, NOW + 12 * MS));
    pool.opening = 0;
    pool.idle = 1;
    g_assert_true(pool_will_open(&pool, NOW + 100 * MS));
    /* Shared connections: those being opened serve any statement, so that no other one is needed.
     */
    pool = (pool_t){.max = 10, .open = 3, .opening = 2, .opening_since = NOW};
    g_assert_false(pool_will_open(&pool, NOW + 12 * MS));
}

/* While statements are queued, as after a loss of all poolers, no connection is opened ahead for a
 * new session: openings are left to the queued statements. */
static void
test_not_ahead_of_queued(void)
{
    pool_t pool = {.per_tenant = true, .max = 10, .open = 3, .idle = 3};
    g_assert_true(pool_may_open_ahead(&pool));
    pool.waiting = 1;
    g_assert_false(pool_may_open_ahead(&pool));
    g_assert_true(pool_may_open(&pool));
}

/* The only idle connection is not closed for one that is opened ahead. */
static void
test_ahead_keeps_the_last(void)
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
    g_test_add_func("/pooler/pool/kept-while-idle", test_kept_while_idle);
    g_test_add_func("/pooler/pool/at-limit", test_at_limit);
    g_test_add_func("/pooler/pool/one-opening-at-a-time", test_one_opening_at_a_time);
    g_test_add_func("/pooler/pool/waits-for-opening", test_waits_for_opening);
    g_test_add_func("/pooler/pool/not-ahead-of-queued", test_not_ahead_of_queued);
    g_test_add_func("/pooler/pool/ahead-keeps-the-last", test_ahead_keeps_the_last);
    return g_test_run();
}
