/**
 * @file
 * @brief Concurrency windows of owners that use the same database without communication. Statements
 * should wait in the owners' queues, which order them by priority, and not in the database's own.
 */
#include "pooler/databases/window.h"

#include <glib.h>

#define MS    NANOSECONDS_PER_MILLISECOND
#define START (100 * NANOSECONDS_PER_SECOND)

/* A random service time with mean 1 and a tail of 5 to 7. */
static double
draw_service_time(GRand *rand)
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

/* Simulates a database with `slots` slots, on which `owners` owners run as many statements as their
 * windows allow. The time of each answer follows from the number of statements there, and service
 * times are `slow` times those of the baseline. Returns the average number of statements at the
 * database in the second half. */
static double
simulate_full_load(uint32_t slots, unsigned owners, double seconds, double slow)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(7);
    window_t windows[16];
    baseline_times_t general = {0};
    baseline_times_t baseline = {0};
    recent_times_t recent[16] = {0};
    double service_ms = 45;
    for (unsigned i = 0; i < owners; i++) {
        window_init(&windows[i]);
        window_set_slots(&windows[i], slots, owners);
    }
    for (unsigned i = 0; i < 50; i++) {
        baseline_times_update(&general, &baseline, &recent[0], 0,
                              service_ms * draw_service_time(rand), START);
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
        double took = service_ms * slow * (draw_service_time(rand) + queued);
        time_ns now = START + (time_ns)(ms * (double)MS);
        double slowness = baseline_times_update(&general, &baseline, &recent[owner], 0, took, now);
        window_note_answer(&windows[owner], slowness, (uint32_t)windows[owner].size, now);
        ms += service_ms * slow / MIN(running, slots);
        if (ms > seconds * 500) {
            sum += running;
            samples++;
        }
    }
    return sum / samples;
}

/* An overloaded primary with 6 slots and 9 owners, each with more statements than its window
 * allows: all slots are used, and at most three statements per slot are at the database. */
static void
test_overload_by_many_owners(void)
{
    double running = simulate_full_load(6, 9, 10, 1);
    g_test_message("running %.1f of 6 slots", running);
    g_assert_cmpfloat(running, >=, 6);
    g_assert_cmpfloat(running, <=, 18);
}

/* For a group that is under load from its first statement on, slowness is computed from the
 * baseline of the other groups. */
static void
test_baseline_of_other_groups(void)
{
    baseline_times_t general = {0};
    baseline_times_t baseline[2] = {0};
    recent_times_t recent[2] = {0};
    time_ns now = START;
    double slowness = 0;
    for (unsigned i = 0; i < 40; i++) {
        now += 10 * MS;
        baseline_times_update(&general, &baseline[0], &recent[0], 1, 10, now);
        slowness = baseline_times_update(&general, &baseline[1], &recent[1], 1, 80, now);
    }
    g_assert_cmpfloat(slowness, >, 6);
}

/* At a database that is 4 times as slow as the baseline, used by one or two owners, no slot stays
 * unused. */
static void
test_slots_of_a_slow_database_are_used(void)
{
    g_assert_cmpfloat(simulate_full_load(4, 1, 10, 4), >=, 4);
    g_assert_cmpfloat(simulate_full_load(4, 2, 10, 4), >=, 4);
}

/* Service times with a long tail, without queueing, do not narrow the window. */
static void
test_long_tail_does_not_narrow(void)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(11);
    window_t window;
    baseline_times_t general = {0};
    baseline_times_t baseline = {0};
    recent_times_t recent = {0};
    unsigned narrowed = 0;
    window_init(&window);
    window_set_slots(&window, 6, 9);
    for (unsigned i = 0; i < 20000; i++) {
        time_ns now = START + i * 20 * MS;
        double slowness = baseline_times_update(&general, &baseline, &recent, 0,
                                                10 * draw_service_time(rand), now);
        window_note_answer(&window, slowness, 3, now);
        narrowed += window.size < 6;
    }
    g_test_message("narrowed %u of 20000", narrowed);
    g_assert_cmpuint(narrowed, <, 200);
}

/* One owner never runs more statements than the slots plus one in transit. If the number of slots
 * is not known, there is no such limit. */
static void
test_limited_by_slots(void)
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

/* While low-priority statements fill the window, one slot is reserved for a higher priority if such
 * a statement arrived within the last second. */
static void
test_reserve_for_high_priority(void)
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
    g_assert_true(window_has_capacity(&window, 0, 2, later)); /* a window of one reserves nothing */
}

/* After slow answers the window recovers within seconds. */
static void
test_widens_after_slow_answers(void)
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
    g_test_add_func("/pooler/window/overload", test_overload_by_many_owners);
    g_test_add_func("/pooler/window/baseline_of_others", test_baseline_of_other_groups);
    g_test_add_func("/pooler/window/slow_database", test_slots_of_a_slow_database_are_used);
    g_test_add_func("/pooler/window/long_tail", test_long_tail_does_not_narrow);
    g_test_add_func("/pooler/window/slots", test_limited_by_slots);
    g_test_add_func("/pooler/window/priority", test_reserve_for_high_priority);
    g_test_add_func("/pooler/window/widens", test_widens_after_slow_answers);
    return g_test_run();
}
