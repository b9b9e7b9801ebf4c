/**
 * @file
 * @brief The rate limit of the coordinator's pushes to all poolers.
 */
#include "pooler/control/push_limiter.h"

#include <glib.h>

#define MS             NANOSECONDS_PER_MILLISECOND
#define CHECK_EVERY_MS 10

#define SLOW_LINK    1250000.0  /* 10 Mbit/s, in bytes a second */
#define SLOWEST_LINK 250000.0   /* 2 Mbit/s */
#define FAST_LINK    25000000.0 /* 200 Mbit/s */

/* Updates in every run of the periodic work for 10 s; a message has 130 bytes. */
typedef struct storm {
    unsigned pushes;
    double bytes; /* with the confirming heartbeats and the answers to them */
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

/* 1,000 groups are opened one after the other, with 300 poolers: without a limit 1,000 pushes, 117
 * MB with the messages that they cause. */
static void
test_storm_of_orders_at_300_poolers(void)
{
    storm_t storm = simulate(300, FAST_LINK);
    g_assert_cmpuint(storm.pushes, <, 300);
    g_assert_cmpfloat(storm.bytes / 10, <, FAST_LINK * 0.12);
    g_assert_cmpuint(storm.longest_wait_ms, <=, 60);
}

/* On a slow link the upper limit of the wait applies: about one interval of heartbeats. */
static void
test_slow_link(void)
{
    storm_t storm = simulate(300, SLOW_LINK);
    g_assert_cmpuint(storm.longest_wait_ms, <=, 260);
    g_assert_cmpuint(storm.pushes, <, 60);
}

/* A few poolers get a push in every run, a hundred on a fast link in every second one, and 15 on
 * links of 2 Mbit/s within 60 ms: after the loss of a zone, its groups change their primaries
 * concurrently. */
static void
test_small_fleets_do_not_wait(void)
{
    g_assert_cmpuint(simulate(8, FAST_LINK).longest_wait_ms, <=, CHECK_EVERY_MS);
    g_assert_cmpuint(simulate(98, FAST_LINK).longest_wait_ms, <=, 2 * CHECK_EVERY_MS);
    g_assert_cmpuint(simulate(15, SLOWEST_LINK).longest_wait_ms, <=, 60);
}

/* Without other updates, the orders of a change of primary are pushed without waiting, also on a
 * slow link, and again for the next change a second later. */
static void
test_change_of_primary_without_wait(void)
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

/* A new coordinator sends all orders, 50 KB to each of 300 poolers: the next push does not wait
 * until these bytes fit into the share of the link. */
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
    g_test_add_func("/pooler/push-limiter/storm-of-orders-at-300-poolers",
                    test_storm_of_orders_at_300_poolers);
    g_test_add_func("/pooler/push-limiter/slow-link", test_slow_link);
    g_test_add_func("/pooler/push-limiter/small-fleets-do-not-wait", test_small_fleets_do_not_wait);
    g_test_add_func("/pooler/push-limiter/change-of-primary-without-wait",
                    test_change_of_primary_without_wait);
    g_test_add_func("/pooler/push-limiter/after-a-large-push", test_after_a_large_push);
    return g_test_run();
}
