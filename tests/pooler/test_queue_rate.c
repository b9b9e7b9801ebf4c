/**
 * @file
 * @brief Which waiting statements are in time: those of a hot group's only primary, behind which
 * nothing else can serve them, and those that replicas serve as well.
 */
#include "pooler/routing/queue_rate.h"

#include <glib.h>

#define MS    NANOSECONDS_PER_MILLISECOND
#define START (100 * NANOSECONDS_PER_SECOND)

/* A statement leaves each `ms`, for long. */
static queue_rate_t
paced(double ms)
{
    queue_rate_t pace = {0};
    time_ns now = START;
    queue_rate_note_arrival(&pace, 0, now);
    for (unsigned i = 0; i < 200; i++) {
        now += (time_ns)(ms * (double)MS);
        queue_rate_note_departure(&pace, now);
    }
    return pace;
}

/* A hot primary: 0.7 of an objective of 400 ms in the queue, and 190 ms at the database after it,
 * is late, though the wait alone is not. */
static void
test_time_at_a_hot_primary_counts(void)
{
    queue_rate_t pace = paced(45);
    wait_forecast_t prospect = {
        .ahead = 6, .capacity = 5, .run_ms = 190, .each_ms = 190, .objective_ms = 400};
    g_assert_cmpfloat(queue_rate_wait_ms(&pace, &prospect), <, 0.7 * 400);
    g_assert_true(queue_rate_is_late(&pace, &prospect));
    prospect.run_ms = 45;
    g_assert_false(queue_rate_is_late(&pace, &prospect));
}

/* Writes of 9 ms behind reads of 47: by the mean of all at the database they would be refused. */
static void
test_a_quick_kind_is_taken_by_its_own_time(void)
{
    queue_rate_t pace = paced(40);
    wait_forecast_t prospect = {
        .ahead = 1, .capacity = 1, .run_ms = 9, .each_ms = 47, .objective_ms = 100};
    g_assert_false(queue_rate_is_late(&pace, &prospect));
    prospect.run_ms = 47;
    g_assert_true(queue_rate_is_late(&pace, &prospect));
}

/* What was spent at another pooler and on the way is gone. */
static void
test_time_since_it_arrived_counts(void)
{
    queue_rate_t pace = paced(20);
    wait_forecast_t prospect = {
        .ahead = 3, .capacity = 2, .run_ms = 20, .each_ms = 20, .objective_ms = 100};
    g_assert_false(queue_rate_is_late(&pace, &prospect));
    prospect.waited_ms = 40;
    g_assert_true(queue_rate_is_late(&pace, &prospect));
}

/* Reads that three databases serve move at their pace, while the primary's line is full. */
static void
test_reads_go_by_the_pace_of_all_their_databases(void)
{
    queue_rate_t line[QUEUE_LINE_COUNT] = {paced(45), paced(5)};
    wait_forecast_t prospect = {
        .ahead = 8, .capacity = 12, .run_ms = 30, .each_ms = 30, .objective_ms = 300};
    g_assert_true(queue_rate_is_late(&line[QUEUE_LINE_PRIMARY], &prospect));
    g_assert_false(queue_rate_is_late(&line[QUEUE_LINE_ANY], &prospect));
}

/* While nobody leads, nothing is known of a pace, and it is not load that holds the line up. */
static void
test_a_change_of_primary_is_no_pace(void)
{
    queue_rate_t pace = paced(10);
    wait_forecast_t prospect = {
        .ahead = 50, .capacity = 0, .run_ms = 10, .each_ms = 10, .objective_ms = 200};
    g_assert_false(queue_rate_is_late(&pace, &prospect));
    prospect = (wait_forecast_t){
        .ahead = 10, .capacity = 4, .run_ms = 10, .each_ms = 10, .objective_ms = 200};
    time_ns after = pace.moved_at + 2 * NANOSECONDS_PER_SECOND;
    queue_rate_restart(&pace, after);
    queue_rate_note_departure(&pace, after + 10 * MS);
    g_assert_false(queue_rate_is_late(&pace, &prospect));
}

/* Who is next is never refused: nobody would gain, and a database that was slow has to be tried. */
static void
test_the_first_is_never_late(void)
{
    queue_rate_t pace = paced(500);
    wait_forecast_t prospect = {
        .ahead = 0, .capacity = 1, .run_ms = 900, .each_ms = 900, .objective_ms = 200};
    g_assert_false(queue_rate_is_late(&pace, &prospect));
}

/* The time may have been read before the line last moved: it moved at once, then. */
static void
test_a_time_from_before(void)
{
    queue_rate_t pace = paced(10);
    wait_forecast_t prospect = {.ahead = 5, .capacity = 4, .run_ms = 10, .objective_ms = 200};
    time_ns moved_at = pace.moved_at;
    queue_rate_note_departure(&pace, moved_at - 1);
    g_assert_cmpuint(pace.moved_at, ==, moved_at);
    g_assert_false(queue_rate_is_late(&pace, &prospect));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pooler/pace/hot_primary", test_time_at_a_hot_primary_counts);
    g_test_add_func("/pooler/pace/quick_kind", test_a_quick_kind_is_taken_by_its_own_time);
    g_test_add_func("/pooler/pace/arrived", test_time_since_it_arrived_counts);
    g_test_add_func("/pooler/pace/reads", test_reads_go_by_the_pace_of_all_their_databases);
    g_test_add_func("/pooler/pace/change", test_a_change_of_primary_is_no_pace);
    g_test_add_func("/pooler/pace/first", test_the_first_is_never_late);
    g_test_add_func("/pooler/pace/before", test_a_time_from_before);
    return g_test_run();
}
