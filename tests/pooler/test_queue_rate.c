/**
 * @file
 * @brief Forecast whether a queued statement is answered in time, for statements that only a
 * primary can run, and for statements that replicas can run as well.
 */
#include "pooler/routing/queue_rate.h"

#include <glib.h>

#define MS    NANOSECONDS_PER_MILLISECOND
#define START (100 * NANOSECONDS_PER_SECOND)

/* The rate of a line with a departure every `ms`, after 200 departures. */
static queue_rate_t
make_rate(double ms)
{
    queue_rate_t rate = {0};
    time_ns now = START;
    queue_rate_note_arrival(&rate, 0, now);
    for (unsigned i = 0; i < 200; i++) {
        now += (time_ns)(ms * (double)MS);
        queue_rate_note_departure(&rate, now);
    }
    return rate;
}

/* At an overloaded primary, a wait of less than 0.7 of the objective of 400 ms plus 190 ms at the
 * database is late, although the wait alone is not. */
static void
test_time_at_the_database_counts(void)
{
    queue_rate_t rate = make_rate(45);
    wait_forecast_t forecast = {
        .ahead = 6, .capacity = 5, .run_ms = 190, .each_ms = 190, .objective_ms = 400};
    g_assert_cmpfloat(queue_rate_wait_ms(&rate, &forecast), <, 0.7 * 400);
    g_assert_true(queue_rate_is_late(&rate, &forecast));
    forecast.run_ms = 45;
    g_assert_false(queue_rate_is_late(&rate, &forecast));
}

/* A write of 9 ms behind reads of 47 ms is forecast by its own time. By the average time of all
 * statements it would be refused. */
static void
test_own_time_of_a_fast_kind_counts(void)
{
    queue_rate_t rate = make_rate(40);
    wait_forecast_t forecast = {
        .ahead = 1, .capacity = 1, .run_ms = 9, .each_ms = 47, .objective_ms = 100};
    g_assert_false(queue_rate_is_late(&rate, &forecast));
    forecast.run_ms = 47;
    g_assert_true(queue_rate_is_late(&rate, &forecast));
}

/* The time already spent at another pooler and on the network counts towards the objective. */
static void
test_time_since_arrival_counts(void)
{
    queue_rate_t rate = make_rate(20);
    wait_forecast_t forecast = {
        .ahead = 3, .capacity = 2, .run_ms = 20, .each_ms = 20, .objective_ms = 100};
    g_assert_false(queue_rate_is_late(&rate, &forecast));
    forecast.waited_ms = 40;
    g_assert_true(queue_rate_is_late(&rate, &forecast));
}

/* Reads that three databases serve are forecast by the rate of their own line, while the line of
 * the primary is congested. */
static void
test_each_line_has_its_own_rate(void)
{
    queue_rate_t line[QUEUE_LINE_COUNT] = {make_rate(45), make_rate(5)};
    wait_forecast_t forecast = {
        .ahead = 8, .capacity = 12, .run_ms = 30, .each_ms = 30, .objective_ms = 300};
    g_assert_true(queue_rate_is_late(&line[QUEUE_LINE_PRIMARY], &forecast));
    g_assert_false(queue_rate_is_late(&line[QUEUE_LINE_ANY], &forecast));
}

/* Without a primary nothing is refused, and the time without one does not count as a slow rate. */
static void
test_change_of_primary_is_excluded(void)
{
    queue_rate_t rate = make_rate(10);
    wait_forecast_t forecast = {
        .ahead = 50, .capacity = 0, .run_ms = 10, .each_ms = 10, .objective_ms = 200};
    g_assert_false(queue_rate_is_late(&rate, &forecast));
    forecast = (wait_forecast_t){
        .ahead = 10, .capacity = 4, .run_ms = 10, .each_ms = 10, .objective_ms = 200};
    time_ns after = rate.moved_at + 2 * NANOSECONDS_PER_SECOND;
    queue_rate_restart(&rate, after);
    queue_rate_note_departure(&rate, after + 10 * MS);
    g_assert_false(queue_rate_is_late(&rate, &forecast));
}

/* The first statement of a line is never refused: no other statement would gain, and the speed of a
 * slow database must be probed again. */
static void
test_first_is_never_late(void)
{
    queue_rate_t rate = make_rate(500);
    wait_forecast_t forecast = {
        .ahead = 0, .capacity = 1, .run_ms = 900, .each_ms = 900, .objective_ms = 200};
    g_assert_false(queue_rate_is_late(&rate, &forecast));
}

/* A departure with a time before the last one, because the time was read earlier, counts as an
 * interval of 0. */
static void
test_time_before_last_departure(void)
{
    queue_rate_t rate = make_rate(10);
    wait_forecast_t forecast = {.ahead = 5, .capacity = 4, .run_ms = 10, .objective_ms = 200};
    time_ns moved_at = rate.moved_at;
    queue_rate_note_departure(&rate, moved_at - 1);
    g_assert_cmpuint(rate.moved_at, ==, moved_at);
    g_assert_false(queue_rate_is_late(&rate, &forecast));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pooler/queue_rate/time_at_database", test_time_at_the_database_counts);
    g_test_add_func("/pooler/queue_rate/fast_kind", test_own_time_of_a_fast_kind_counts);
    g_test_add_func("/pooler/queue_rate/arrival", test_time_since_arrival_counts);
    g_test_add_func("/pooler/queue_rate/lines", test_each_line_has_its_own_rate);
    g_test_add_func("/pooler/queue_rate/change_of_primary", test_change_of_primary_is_excluded);
    g_test_add_func("/pooler/queue_rate/first", test_first_is_never_late);
    g_test_add_func("/pooler/queue_rate/earlier_time", test_time_before_last_departure);
    return g_test_run();
}
