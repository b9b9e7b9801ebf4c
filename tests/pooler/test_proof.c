/* Proof that a configuration was the store's newest: whatever messages are delayed and machines
 * frozen, a proof is never considered younger than it is. */
#include <glib.h>

#include "backend/clock.h"
#include "pooler/access/proof.h"

#define MS       NANOSECONDS_PER_MILLISECOND
#define START    (10 * NANOSECONDS_PER_SECOND)
#define OFFSET   INT64_C(123456789) /* of the store's clock, in ns */
#define ROUNDS   20000
#define DRIFT_NS 2000 /* drift between the clocks per second */

static uint64_t
store_ms(time_ns now)
{
    int64_t drifted = (int64_t)now + (int64_t)(now / NANOSECONDS_PER_SECOND) * DRIFT_NS;
    return (uint64_t)((drifted + OFFSET) / (int64_t)MS);
}

/* For a watch that the store answers after a second, the time found is that of the answer and not
 * that of the request. */
static void
test_long_watch(void)
{
    store_clock_t clock = {0};
    time_ns now = START;
    store_clock_note(&clock, now, now + 4 * MS, store_ms(now + 2 * MS));
    time_ns sent = now + 10 * MS;
    time_ns answered = sent + 1000 * MS;
    time_ns found = store_clock_moment(&clock, sent, answered + 2 * MS, store_ms(answered));
    g_assert_cmpuint(found, <=, answered);
    g_assert_cmpuint(found, >, answered - 5 * MS);
}

/* With requests of any duration and answers with any delay, the time found is never after the store
 * answered, nor before the request was sent. */
static void
test_never_younger(void)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(1);
    store_clock_t clock = {0};
    time_ns now = START;
    for (unsigned i = 0; i < ROUNDS; i++) {
        time_ns sent = now;
        time_ns answered = sent + (time_ns)g_rand_int_range(rand, 0, 1000) * MS;
        time_ns received = answered + (time_ns)g_rand_int_range(rand, 0, 300) * MS;
        store_clock_note(&clock, sent, received, store_ms(answered));
        time_ns found = store_clock_moment(&clock, sent, received, store_ms(answered));
        g_assert_cmpuint(found, >=, sent);
        g_assert_cmpuint(found, <=, MAX(answered, sent));
        now = received + (time_ns)g_rand_int_range(rand, 0, 50) * MS;
    }
}

/* Without a clock of the store, or before its offset is known, the time of the request counts. */
static void
test_store_without_a_clock(void)
{
    store_clock_t clock = {0};
    g_assert_cmpuint(store_clock_moment(&clock, START, START + MS, 0), ==, START);
    g_assert_cmpuint(store_clock_moment(&clock, START, START + MS, 77), ==, START);
}

/* An age that was determined some time after the request counts from the request. */
static void
test_ages(void)
{
    time_ns proven = START;
    time_ns answered = START + 700 * MS;
    uint32_t age = proof_age_ms(proven, answered);
    g_assert_cmpuint(age, >=, 700);
    g_assert_cmpuint(proof_from_age(answered - 5 * MS, age), <, proven);
    g_assert_cmpuint(proof_from_age(answered, 0), ==, 0);
    g_assert_cmpuint(proof_age_ms(0, answered), ==, 0);
    g_assert_cmpuint(proof_age_ms(answered + 1, answered), ==, 0);
    g_assert_cmpuint(proof_from_age(3 * MS, 9), ==, 0); /* before the start of the local clock */
}

/* Relayed over several poolers with any delay in between, a proof never becomes younger. */
static void
test_relayed(void)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(2);
    for (unsigned i = 0; i < ROUNDS; i++) {
        time_ns now = START;
        time_ns known = now;
        time_ns proven = now;
        for (unsigned hop = 0; hop < 4 && known != 0; hop++) {
            time_ns requested = now;
            now += (time_ns)g_rand_int_range(rand, 0, 400) * MS;
            uint32_t age = proof_age_ms(known, now);
            now += (time_ns)g_rand_int_range(rand, 0, 4000) * MS; /* a freeze */
            known = proof_from_age(requested, age);
            g_assert_cmpuint(known, <=, proven);
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
    g_assert_true(proof_is_valid(0, 0, START)); /* no proof is required */
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/proof/long-watch", test_long_watch);
    g_test_add_func("/proof/never-younger", test_never_younger);
    g_test_add_func("/proof/no-clock", test_store_without_a_clock);
    g_test_add_func("/proof/ages", test_ages);
    g_test_add_func("/proof/relayed", test_relayed);
    g_test_add_func("/proof/lifetime", test_lifetime);
    return g_test_run();
}
