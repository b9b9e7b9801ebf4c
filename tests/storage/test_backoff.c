/* Backoff: bounds of the wait, and its dependence on the random number. */
#include "storage/backoff.h"

#include <glib.h>

static const struct backoff backoff = {.base_ms = 100, .maximum_ms = 1000};

static void test_wait_stays_within_bounds(void)
{
    GRand *random = g_rand_new_with_seed(7);

    for (uint32_t attempt = 0; attempt < 70; attempt++) {
        uint32_t ceiling = attempt < 4 ? 100u << attempt : 1000;
        uint32_t wait = backoff_wait_ms(&backoff, attempt, g_rand_int(random));
        g_assert_cmpuint(wait, >=, 1);
        g_assert_cmpuint(wait, <=, ceiling);
    }
    g_rand_free(random);
}

static void test_wait_follows_the_random_number(void)
{
    g_assert_cmpuint(backoff_wait_ms(&backoff, 0, 0), ==, 1);
    g_assert_cmpuint(backoff_wait_ms(&backoff, 0, 99), ==, 100);
    g_assert_cmpuint(backoff_wait_ms(&backoff, 2, 399), ==, 400);
    g_assert_cmpuint(backoff_wait_ms(&backoff, 9, 999), ==, 1000);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform/backoff/bounds", test_wait_stays_within_bounds);
    g_test_add_func("/platform/backoff/random", test_wait_follows_the_random_number);
    return g_test_run();
}
