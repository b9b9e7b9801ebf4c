/* Proof that a configuration was the store's newest: it never counts as younger than it is,
 * whatever is late, frozen or lost on the way. */
#include <glib.h>

#include "backend/clock.h"
#include "pooler/access/proof.h"

#define MS       NANOSECONDS_PER_MILLISECOND
#define START    (10 * NANOSECONDS_PER_SECOND)
#define OFFSET   INT64_C(123456789) /* of the store's clock */
#define ROUNDS   20000
#define DRIFT_NS 2000 /* in a second, by which the clocks part here */

static uint64_t
store_ms(time_ns now)
{
    int64_t drifted = (int64_t)now + (int64_t)(now / NANOSECONDS_PER_SECOND) * DRIFT_NS;
    return (uint64_t)((drifted + OFFSET) / (int64_t)MS);
}

/* A watch that waited a second in the store tells of its answer's moment, not of its sending. */
static void
test_long_watch(void)
{
    store_clock_t clock = {0};
    time_ns now = START;
    store_clock_note(&clock, now, now + 4 * MS, store_ms(now + 2 * MS));
    time_ns sent = now + 10 * MS;
    time_ns answered = sent + 1000 * MS;
    time_ns moment = store_clock_moment(&clock, sent, answered + 2 * MS, store_ms(answered));
    g_assert_cmpuint(moment, <=, answered);
    g_assert_cmpuint(moment, >, answered - 5 * MS);
}

/* Calls of any length, answers that are late by any time: the moment is never after the one at
 * which the store answered, nor before the call was sent. */
static void
test_never_younger(void)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(1);
    store_clock_t clock = {0};
    time_ns now = START;
    for (unsigned i = 0; i < ROUNDS; i++) {
        time_ns sent = now;
        time_ns told = sent + (time_ns)g_rand_int_range(rand, 0, 1000) * MS;
        time_ns received = told + (time_ns)g_rand_int_range(rand, 0, 300) * MS;
        store_clock_note(&clock, sent, received, store_ms(told));
        time_ns moment = store_clock_moment(&clock, sent, received, store_ms(told));
        g_assert_cmpuint(moment, >=, sent);
        g_assert_cmpuint(moment, <=, MAX(told, sent));
        now = received + (time_ns)g_rand_int_range(rand, 0, 50) * MS;
    }
}

static void
test_store_without_a_clock(void)
{
    store_clock_t clock = {0};
    g_assert_cmpuint(store_clock_moment(&clock, START, START + MS, 0), ==, START);
    g_assert_cmpuint(store_clock_moment(&clock, START, START + MS, 77), ==, START);
}

/* An age is told some time after the question: it counts from the question. */
static void
test_ages(void)
{
    time_ns proven = START;
    time_ns told = START + 700 * MS;
    uint32_t age = proof_age_ms(proven, told);
    g_assert_cmpuint(age, >=, 700);
    g_assert_cmpuint(proof_from_age(told - 5 * MS, age), <, proven);
    g_assert_cmpuint(proof_from_age(told, 0), ==, 0);
    g_assert_cmpuint(proof_age_ms(0, told), ==, 0);
    g_assert_cmpuint(proof_age_ms(told + 1, told), ==, 0);
    g_assert_cmpuint(proof_from_age(3 * MS, 9), ==, 0); /* older than our clock */
}

/* Passed on over any number of poolers with any delay between, proof only grows older. */
static void
test_passed_on(void)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(2);
    for (unsigned i = 0; i < ROUNDS; i++) {
        time_ns now = START;
        time_ns known = now;
        time_ns real = now;
        for (unsigned hop = 0; hop < 4 && known != 0; hop++) {
            time_ns asked = now;
            now += (time_ns)g_rand_int_range(rand, 0, 400) * MS;
            uint32_t age = proof_age_ms(known, now);
            now += (time_ns)g_rand_int_range(rand, 0, 4000) * MS; /* a freeze */
            known = proof_from_age(asked, age);
            g_assert_cmpuint(known, <=, real);
        }
    }
}

static void
test_lifetime(void)
{
    time_ns lifetime = proof_lifetime_ns(5000);
    g_assert_cmpuint(lifetime, ==, 4000 * MS);
    g_assert_true(proof_is_valid(START, lifetime, START + lifetime - 1));
    g_assert_false(proof_is_valid(START, lifetime, START + lifetime));
    g_assert_false(proof_is_valid(0, lifetime, START));
    g_assert_true(proof_is_valid(0, 0, START)); /* not asked for */
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/evidence/long-watch", test_long_watch);
    g_test_add_func("/evidence/never-younger", test_never_younger);
    g_test_add_func("/evidence/no-clock", test_store_without_a_clock);
    g_test_add_func("/evidence/ages", test_ages);
    g_test_add_func("/evidence/passed-on", test_passed_on);
    g_test_add_func("/evidence/lifetime", test_lifetime);
    return g_test_run();
}
