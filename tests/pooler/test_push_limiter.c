/**
 * @file
 * @brief The pace at which a coordinator tells all poolers what is new.
 */
#include "pooler/control/push_limiter.h"

#include <glib.h>

#define MS             NANOSECONDS_PER_MILLISECOND
#define CHECK_EVERY_MS 10

#define SLOW_LINK    1250000.0  /* 10 Mbit/s, in bytes a second */
#define SLOWEST_LINK 250000.0   /* 2 Mbit/s */
#define FAST_LINK    25000000.0 /* 200 Mbit/s */

/* Something is new at each look for 10 s; a message has 130 bytes. */
typedef struct storm {
    unsigned pushes;
    double bytes; /* with the heartbeats that confirm, and the answers to them */
    unsigned longest_wait_ms;
} storm_t;

static storm_t
simulate(uint32_t poolers, double link)
{
    push_limiter_t limiter = {0};
    storm_t storm = {0};
    unsigned last_ms = 0;
    for (unsigned ms = 0; ms < 10000; ms += CHECK_EVERY_MS) {
        time_ns now = (1000 + ms) * MS;
        if (push_limiter_allows(&limiter, link, now)) {
            uint64_t bytes = (uint64_t)poolers * 130;
            push_limiter_consume(&limiter, poolers, bytes, now);
            storm.pushes++;
            storm.bytes += (double)bytes * 3;
            storm.longest_wait_ms = MAX(storm.longest_wait_ms, ms - last_ms);
            last_ms = ms;
        }
    }
    return storm;
}

/* 1,000 groups are opened one after the other, and 300 poolers are told: without a pace 1,000
 * pushes, 117 MB with what they cause. */
static void
test_storm_of_orders_at_300_poolers(void)
{
    storm_t storm = simulate(300, FAST_LINK);
    g_assert_cmpuint(storm.pushes, <, 300);
    g_assert_cmpfloat(storm.bytes / 10, <, FAST_LINK * 0.12);
    g_assert_cmpuint(storm.longest_wait_ms, <=, 60);
}

/* On a weak coordinator the last bound holds: nobody waits longer than for a heartbeat. */
static void
test_slow_link(void)
{
    storm_t storm = simulate(300, SLOW_LINK);
    g_assert_cmpuint(storm.longest_wait_ms, <=, 260);
    g_assert_cmpuint(storm.pushes, <, 60);
}

/* A fleet of a few is told at each look, one of a hundred before a strong link at each second one,
 * and 15 on links of 2 Mbit/s within 60 ms: groups of a lost zone change one beside the other. */
static void
test_small_fleets_do_not_wait(void)
{
    g_assert_cmpuint(simulate(8, FAST_LINK).longest_wait_ms, <=, CHECK_EVERY_MS);
    g_assert_cmpuint(simulate(98, FAST_LINK).longest_wait_ms, <=, 2 * CHECK_EVERY_MS);
    g_assert_cmpuint(simulate(15, SLOWEST_LINK).longest_wait_ms, <=, 60);
}

/* A change of primary in a quiet fleet on the weakest link: its orders go one after the other at
 * once; and again after a second. */
static void
test_change_of_primary_goes_at_once(void)
{
    push_limiter_t limiter = {0};
    for (unsigned change = 0; change < 5; change++) {
        for (unsigned order = 0; order < 3; order++) {
            time_ns now = (1000 + change * 1000 + order * 40) * MS;
            g_assert_true(push_limiter_allows(&limiter, SLOW_LINK, now));
            push_limiter_consume(&limiter, 300, 300 * 130, now);
        }
    }
}

/* A new coordinator tells all orders, 50 KB to each of 300: what comes next does not wait for what
 * that takes. */
static void
test_after_a_large_push(void)
{
    push_limiter_t limiter = {0};
    g_assert_true(push_limiter_allows(&limiter, SLOW_LINK, 1000 * MS));
    push_limiter_consume(&limiter, 300, 300 * 50000, 1000 * MS);
    g_assert_true(push_limiter_allows(&limiter, SLOW_LINK, 1010 * MS));
    for (unsigned more = 0; more < 5; more++) {
        push_limiter_consume(&limiter, 300, 300 * 130, 1010 * MS);
    }
    g_assert_false(push_limiter_allows(&limiter, SLOW_LINK, 1020 * MS));
    g_assert_true(push_limiter_allows(&limiter, SLOW_LINK, 1280 * MS));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pooler/push-pace/storm-of-orders-at-300-poolers",
                    test_storm_of_orders_at_300_poolers);
    g_test_add_func("/pooler/push-pace/weak-coordinator", test_slow_link);
    g_test_add_func("/pooler/push-pace/small-fleets-do-not-wait", test_small_fleets_do_not_wait);
    g_test_add_func("/pooler/push-pace/change-of-primary-goes-at-once",
                    test_change_of_primary_goes_at_once);
    g_test_add_func("/pooler/push-pace/after-a-large-push", test_after_a_large_push);
    return g_test_run();
}
