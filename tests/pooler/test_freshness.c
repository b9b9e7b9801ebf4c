/* Samples of a primary's position, and the sample that a read with a staleness bound requires. */
#include "pooler/routing/freshness.h"

#include <glib.h>

#define MS NANOSECONDS_PER_MILLISECOND

static struct log_position
position(uint64_t offset)
{
    return (struct log_position){1, offset};
}

static void
test_least_sufficient_sample(void)
{
    struct freshness freshness = {0};
    freshness_add(&freshness, 100 * MS, position(10));
    freshness_add(&freshness, 200 * MS, position(20));
    freshness_add(&freshness, 300 * MS, position(30));
    const struct freshness_sample *sample = freshness_find(&freshness, 150 * MS);
    g_assert_cmpuint(sample->position.offset, ==, 20);
    g_assert_cmpuint(freshness_find(&freshness, 200 * MS)->position.offset, ==, 20);
    g_assert_cmpuint(freshness_find(&freshness, 0)->position.offset, ==, 10);
}

static void
test_all_samples_too_old(void)
{
    struct freshness freshness = {0};
    g_assert_null(freshness_find(&freshness, 0));
    freshness_add(&freshness, 100 * MS, position(10));
    g_assert_null(freshness_find(&freshness, 101 * MS));
}

static void
test_close_samples_are_skipped(void)
{
    struct freshness freshness = {0};
    freshness_add(&freshness, 100 * MS, position(10));
    freshness_add(&freshness, 110 * MS, position(11));
    g_assert_cmpuint(freshness.count, ==, 1);
}

static void
test_ring_keeps_the_newest(void)
{
    struct freshness freshness = {0};
    for (uint64_t i = 1; i <= 3 * FRESHNESS_SAMPLES; i++) {
        freshness_add(&freshness, i * 50 * MS, position(i));
    }
    g_assert_cmpuint(freshness.count, ==, FRESHNESS_SAMPLES);
    g_assert_cmpuint(freshness_find(&freshness, 0)->position.offset, ==, 2 * FRESHNESS_SAMPLES + 1);
}

static void
test_newest_covered(void)
{
    struct freshness freshness = {0};
    freshness_add(&freshness, 100 * MS, position(10));
    freshness_add(&freshness, 200 * MS, position(20));
    g_assert_null(freshness_newest_covered(&freshness, position(9)));
    g_assert_cmpuint(freshness_newest_covered(&freshness, position(19))->at, ==, 100 * MS);
    g_assert_cmpuint(freshness_newest_covered(&freshness, position(25))->at, ==, 200 * MS);
}

static void
test_clear(void)
{
    struct freshness freshness = {0};
    freshness_add(&freshness, 100 * MS, position(10));
    freshness_clear(&freshness);
    g_assert_null(freshness_find(&freshness, 0));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pooler/freshness/least-sufficient", test_least_sufficient_sample);
    g_test_add_func("/pooler/freshness/all-too-old", test_all_samples_too_old);
    g_test_add_func("/pooler/freshness/close-skipped", test_close_samples_are_skipped);
    g_test_add_func("/pooler/freshness/ring", test_ring_keeps_the_newest);
    g_test_add_func("/pooler/freshness/newest-covered", test_newest_covered);
    g_test_add_func("/pooler/freshness/clear", test_clear);
    return g_test_run();
}
