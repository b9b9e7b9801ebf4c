/* Tests of the delay that refused clients are advised to wait before a retry. */
#include <glib.h>

#include "backend/clock.h"
#include "pooler/client/retry_advice.h"

#define MS NANOSECONDS_PER_MILLISECOND

/* A queue that is short enough again in 40 ms: no delay is shorter, or much longer. */
static void
test_queue(void)
{
    const retry_case_t refused = {40 * MS, 1000 * MS, 0};
    g_assert_cmpuint(retry_advice_ms(&refused, 0), >=, 40);
    g_assert_cmpuint(retry_advice_ms(&refused, 0), <=, 41);
    g_assert_cmpuint(retry_advice_ms(&refused, 1), <=, 51);
}

/* During a change of primary that takes 600 ms more, all priorities are refused at once: every
 * delay of a higher priority is shorter than any of a lower one. */
static void
test_priority_order(void)
{
    const retry_case_t high = {600 * MS, 10000 * MS, 0};
    const retry_case_t middle = {600 * MS, 10000 * MS, 1};
    const retry_case_t low = {600 * MS, 10000 * MS, 2};
    const retry_case_t lowest = {600 * MS, 10000 * MS, 9};
    g_assert_cmpuint(retry_advice_ms(&high, 1), <=, retry_advice_ms(&middle, 0));
    g_assert_cmpuint(retry_advice_ms(&middle, 1), <=, retry_advice_ms(&low, 0));
    g_assert_cmpuint(retry_advice_ms(&low, 0.5), ==, retry_advice_ms(&lowest, 0.5));
}

/* The delays of a thousand clients refused at once are spread: at most a fifth of them fall into
 * any tenth of the range. */
static void
test_spread(void)
{
    GRand *random = g_rand_new_with_seed(1);
    const retry_case_t refused = {400 * MS, 10000 * MS, 0};
    unsigned tenths[11] = {0};
    for (unsigned i = 0; i < 1000; i++) {
        uint32_t wait = retry_advice_ms(&refused, g_rand_double(random));
        g_assert_cmpuint(wait, >=, 400);
        g_assert_cmpuint(wait, <=, 501);
        tenths[MIN((wait - 400) / 10, 10)]++;
    }
    for (unsigned i = 0; i < 11; i++) {
        g_assert_cmpuint(tenths[i], <, 200);
    }
    g_rand_free(random);
}

/* The expected time exceeds the route's timeout: the delay is limited by the timeout. */
static void
test_timeout_limit(void)
{
    for (uint32_t priority = 0; priority < 4; priority++) {
        const retry_case_t refused = {5000 * MS, 800 * MS, priority};
        g_assert_cmpuint(retry_advice_ms(&refused, 1), <=, 401);
    }
}

/* Nothing is known: the default delay. */
static void
test_unknown(void)
{
    const retry_case_t refused = {0, 0, 0};
    g_assert_cmpuint(retry_advice_ms(&refused, 0), >=, 100);
    g_assert_cmpuint(retry_advice_ms(&refused, 1), <=, 400);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/retry-advice/queue", test_queue);
    g_test_add_func("/retry-advice/priority-order", test_priority_order);
    g_test_add_func("/retry-advice/spread", test_spread);
    g_test_add_func("/retry-advice/timeout-limit", test_timeout_limit);
    g_test_add_func("/retry-advice/unknown", test_unknown);
    return g_test_run();
}
