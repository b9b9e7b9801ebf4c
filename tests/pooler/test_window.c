/**
 * @file
 * @brief How many statements a database is given at once by ten owners that don't talk: what waits
 * is to wait at them, where the urgent go first, and not in the database's own queue.
 */
#include "pooler/databases/window.h"

#include <glib.h>

#define MS    NANOSECONDS_PER_MILLISECOND
#define START (100 * NANOSECONDS_PER_SECOND)

/* Work times with a tail of five to seven times, of mean 1. */
static double
draw_work(GRand *rand)
{
    double sum = 0;
    for (int i = 0; i < 12; i++) {
        sum += g_rand_double(rand);
    }
    double normal = sum - 6;
    double exponent = 0.75 * normal - 0.28;
    double value = 1;
    for (int i = 0; i < 1024; i++) {
        value *= 1 + exponent / 1024;
    }
    return value;
}

/* A database of `slots` slots that `owners` owners keep as busy as their windows let them: each
 * answer takes as long as what runs there makes it. Returns what runs there in the end. */
static double
play_full_load(uint32_t slots, unsigned owners, double seconds, double slow)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(7);
    window_t windows[16];
    baseline_times_t general = {0};
    baseline_times_t usual = {0};
    recent_times_t lately[16] = {0};
    double work_ms = 45;
    for (unsigned i = 0; i < owners; i++) {
        window_init(&windows[i]);
        window_set_slots(&windows[i], slots, owners);
    }
    for (unsigned i = 0; i < 50; i++) {
        baseline_times_update(&general, &usual, &lately[0], 0, work_ms * draw_work(rand), START);
    }
    double sum = 0;
    unsigned samples = 0;
    double ms = 0;
    while (ms < seconds * 1000) {
        double running = 0;
        for (unsigned i = 0; i < owners; i++) {
            running += MAX((double)(uint32_t)windows[i].size, 1);
        }
        double queued = running > slots ? (running - slots) / slots : 0;
        unsigned owner = g_rand_int_range(rand, 0, (gint32)owners);
        double took = work_ms * slow * (draw_work(rand) + queued);
        time_ns now = START + (time_ns)(ms * (double)MS);
        double slowness = baseline_times_update(&general, &usual, &lately[owner], 0, took, now);
        window_note_answer(&windows[owner], slowness, (uint32_t)windows[owner].size, now);
        ms += work_ms * slow / MIN(running, slots);
        if (ms > seconds * 500) {
            sum += running;
            samples++;
        }
    }
    return sum / samples;
}

/* The load of a hot group: one primary of 6 slots, 9 owners, each with more than it can give. */
static void
test_nine_owners_of_a_hot_primary_leave_it_thrice_its_slots_at_most(void)
{
    double running = play_full_load(6, 9, 10, 1);
    g_test_message("running %.1f of 6 slots", running);
    g_assert_cmpfloat(running, >=, 6);
    g_assert_cmpfloat(running, <=, 18);
}

/* A group that is hot from the first statement on: what its kind takes at rest is known of others.
 */
static void
test_a_group_never_seen_at_rest_goes_by_the_others(void)
{
    baseline_times_t general = {0};
    baseline_times_t usual[2] = {0};
    recent_times_t lately[2] = {0};
    time_ns now = START;
    double slowness = 0;
    for (unsigned i = 0; i < 40; i++) {
        now += 10 * MS;
        baseline_times_update(&general, &usual[0], &lately[0], 1, 10, now);
        slowness = baseline_times_update(&general, &usual[1], &lately[1], 1, 80, now);
    }
    g_assert_cmpfloat(slowness, >, 6);
}

/* A database three times as slow as the others, used by one owner alone: no slot stays unused. */
static void
test_a_slow_database_keeps_its_slots_in_use(void)
{
    g_assert_cmpfloat(play_full_load(4, 1, 10, 4), >=, 4);
    g_assert_cmpfloat(play_full_load(4, 2, 10, 4), >=, 4);
}

/* Times of work with a long tail, and no queue. */
static void
test_a_long_tail_of_work_narrows_nothing(void)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(11);
    window_t window;
    baseline_times_t general = {0};
    baseline_times_t usual = {0};
    recent_times_t lately = {0};
    unsigned narrowed = 0;
    window_init(&window);
    window_set_slots(&window, 6, 9);
    for (unsigned i = 0; i < 20000; i++) {
        time_ns now = START + i * 20 * MS;
        double slowness =
            baseline_times_update(&general, &usual, &lately, 0, 10 * draw_work(rand), now);
        window_note_answer(&window, slowness, 3, now);
        narrowed += window.size < 6;
    }
    g_test_message("narrowed %u of 20000", narrowed);
    g_assert_cmpuint(narrowed, <, 200);
}

/* One owner never gives more than the slots and one on the way; nothing is known of the slots of a
 * database of before. */
static void
test_slots_bound_it(void)
{
    window_t window;
    window_init(&window);
    g_assert_true(window_has_capacity(&window, 100, 0, START));
    window_set_slots(&window, 4, 2);
    g_assert_true(window_has_capacity(&window, 4, 0, START));
    g_assert_false(window_has_capacity(&window, 5, 0, START));
    for (unsigned i = 0; i < 100; i++) {
        window_note_answer(&window, 1, 5, START + i * MS);
    }
    g_assert_false(window_has_capacity(&window, 5, 0, START));
    window_set_slots(&window, 0, 0);
    for (unsigned i = 0; i < 100000; i++) {
        window_note_answer(&window, 9, 5, START + i * MS);
    }
    g_assert_true(window_has_capacity(&window, 4, 0, START));
}

/* Dashboards fill a window; setpoints have come within the last second: one place is theirs. It is
 * given back a second after the last of them. */
static void
test_one_place_is_kept_for_the_urgent(void)
{
    window_t window;
    time_ns later = START + NANOSECONDS_PER_SECOND;
    window_init(&window);
    window_set_slots(&window, 4, 1);
    window_note_arrival(&window, 2, START);
    g_assert_true(window_has_capacity(&window, 4, 2, START));
    window_note_arrival(&window, 0, START);
    window_note_arrival(&window, 2, START);
    g_assert_true(window_has_capacity(&window, 3, 2, START));
    g_assert_false(window_has_capacity(&window, 4, 2, START));
    g_assert_true(window_has_capacity(&window, 4, 0, START));
    g_assert_true(window_has_capacity(&window, 4, 2, later));
    for (unsigned i = 0; i < 40; i++) {
        window_note_refusal(&window, 2, START + i * 100 * MS);
    }
    window_note_arrival(&window, 0, later);
    g_assert_true(window_has_capacity(&window, 0, 2, later)); /* a window of one keeps nothing */
}

/* After a slow while it is as wide again within seconds. */
static void
test_widens_when_answers_are_quick_again(void)
{
    window_t window;
    window_init(&window);
    window_set_slots(&window, 4, 4);
    for (unsigned i = 0; i < 100; i++) {
        window_note_answer(&window, 8, 5, START + i * 50 * MS);
    }
    g_assert_true(window.at_share);
    g_assert_true(window_has_capacity(&window, 0, 0, START));
    g_assert_false(window_has_capacity(&window, 1, 0, START));
    for (unsigned i = 0; i < 100; i++) {
        window_note_answer(&window, 1.8, 1, START + 5 * NANOSECONDS_PER_SECOND + i * 20 * MS);
    }
    g_assert_false(window.at_share);
    g_assert_true(window_has_capacity(&window, 4, 0, START));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pooler/window/hot_primary",
                    test_nine_owners_of_a_hot_primary_leave_it_thrice_its_slots_at_most);
    g_test_add_func("/pooler/window/never_at_rest",
                    test_a_group_never_seen_at_rest_goes_by_the_others);
    g_test_add_func("/pooler/window/slow_database", test_a_slow_database_keeps_its_slots_in_use);
    g_test_add_func("/pooler/window/long_tail", test_a_long_tail_of_work_narrows_nothing);
    g_test_add_func("/pooler/window/slots", test_slots_bound_it);
    g_test_add_func("/pooler/window/urgent", test_one_place_is_kept_for_the_urgent);
    g_test_add_func("/pooler/window/widens", test_widens_when_answers_are_quick_again);
    return g_test_run();
}
