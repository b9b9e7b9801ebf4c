/* Trace files: records are read back as written; damaged files and outcomes are rejected. */
#include "trace/trace_file.h"

#include <glib/gstdio.h>

#include "sim/replay.h"
#include "sim/replay_outcome.h"
#include "sim/trace_merge.h"

static char *new_path(void)
{
    g_autoptr(GError) error = NULL;
    char *path = NULL;
    int file = g_file_open_tmp("trace-XXXXXX", &path, &error);

    g_assert_no_error(error);
    g_assert_true(g_close(file, NULL));
    return path;
}

static void write_sample(const char *path, const struct group_control_options *options)
{
    const struct group_event events[] = {
        {.kind = GROUP_EVENT_WATCHERS,
         .now = 20,
         .watcher_count = 2,
         .watchers = {{.id = 7, .zone = 1}, {.id = 8, .zone = 2}}},
        {.kind = GROUP_EVENT_PROBE,
         .now = 30,
         .database = 1,
         .reachable = true,
         .round_trip = 3,
         .status = {.role = DATABASE_ROLE_PRIMARY,
                    .term = 4,
                    .promised_term = 5,
                    .held = {4, 9},
                    .applied = {3, 8},
                    .leaving = true}},
        {.kind = GROUP_EVENT_OPINION,
         .now = 40,
         .opinion = {.watcher = 8,
                     .sequence = 2,
                     .term = 4,
                     .primary = -1,
                     .suspects = true,
                     .reachable = 5,
                     .promised = 6,
                     .change = 10,
                     .drained = 11}},
        {.kind = GROUP_EVENT_COMMAND, .now = 50, .result = GROUP_COMMAND_REFUSED},
    };
    const struct trace_command command = {.kind = GROUP_ACTION_FENCE, .database = 2, .term = 6};
    FILE *file = fopen(path, "wb");

    g_assert_nonnull(file);
    trace_write_start(file, 3, 10, options);
    for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
        bool answers = events[i].kind == GROUP_EVENT_COMMAND;

        trace_write_event(file, 3, &events[i], answers ? &command : NULL);
    }
    g_assert_cmpint(fclose(file), ==, 0);
}

static void sample_options(struct group_control_options *options)
{
    group_control_options_init(options);
    options->group = 1;
    options->watcher = 7;
    options->zone = 1;
    options->database_count = 3;
    options->database_zone[2] = 2;
    options->preferred_zone = -1;
    options->seed = 99;
    options->suspect_after = 123;
    options->publish_interval = 456;
}

static void test_round_trip(void)
{
    g_autofree char *path = new_path();
    g_autoptr(GError) error = NULL;
    struct group_control_options options;
    struct group_control_options read;
    struct group_event event;

    sample_options(&options);
    write_sample(path, &options);
    g_autoptr(GPtrArray) records = trace_read(path, &error);
    g_assert_no_error(error);
    g_assert_cmpuint(records->len, ==, 5);
    const struct trace_record *first = g_ptr_array_index(records, 0);
    g_assert_cmpuint(first->daemon, ==, 3);
    trace_options_of(&first->start, &read);
    g_assert_cmpmem(&read, sizeof(read), &options, sizeof(options));
    trace_event_of(g_ptr_array_index(records, 1), &event);
    g_assert_cmpuint(event.watchers[1].id, ==, 8);
    trace_event_of(g_ptr_array_index(records, 2), &event);
    g_assert_cmpuint(event.now, ==, 30);
    g_assert_cmpuint(event.status.promised_term, ==, 5);
    g_assert_cmpuint(event.status.applied.offset, ==, 8);
    g_assert_true(event.status.leaving);
    trace_event_of(g_ptr_array_index(records, 3), &event);
    g_assert_cmpint(event.opinion.primary, ==, -1);
    g_assert_cmpuint(event.opinion.drained, ==, 11);
    const struct trace_record *last = g_ptr_array_index(records, 4);
    g_assert_true(last->event.has_command);
    g_assert_cmpuint(last->event.command.term, ==, 6);
    g_assert_cmpint(g_remove(path), ==, 0);
}

/* A truncated trace either ends between two records or is rejected. */
static void test_truncated(void)
{
    g_autofree char *path = new_path();
    g_autofree char *contents = NULL;
    struct group_control_options options;
    size_t length;
    guint whole = 0;

    sample_options(&options);
    write_sample(path, &options);
    g_assert_true(g_file_get_contents(path, &contents, &length, NULL));
    for (size_t cut = 0; cut <= length; cut++) {
        g_assert_true(g_file_set_contents(path, contents, (gssize)cut, NULL));
        g_autoptr(GPtrArray) records = trace_read(path, NULL);
        whole += records != NULL ? 1 : 0;
    }
    g_assert_cmpuint(whole, ==, 6);
    g_assert_cmpint(g_remove(path), ==, 0);
}

/* The wall clock orders the records of daemons on two machines whose own clocks differ. */
static void write_source(const char *path, time_ns from, time_ns step, time_ns to_wall)
{
    FILE *file = fopen(path, "wb");

    g_assert_nonnull(file);
    for (guint i = 0; i < 3; i++) {
        struct trace_record record;

        trace_record_init(&record);
        record.at = from + i * step;
        record.has_event = i > 0;
        record.has_detection = i == 0;
        record.wall_us = i == 0 ? (from + to_wall) / NANOSECONDS_PER_MICROSECOND : 0;
        g_assert_true(trace_write(file, &record));
        trace_record_clear(&record);
    }
    /* A write follows the control's records in the trace, even if it began before the last of them.
     */
    struct trace_record write;
    trace_record_init(&write);
    write.at = from + step + 1;
    write.has_write = true;
    g_assert_true(trace_write(file, &write));
    trace_record_clear(&write);
    g_assert_cmpint(fclose(file), ==, 0);
}

static void test_merge(void)
{
    static const struct {
        uint32_t daemon;
        time_ns at;
    } expected[] = {{0, 5000}, {1, 901000}, {1, 903000}, {1, 903001},
                    {0, 9000}, {0, 9001},   {1, 905000}, {0, 13000}};
    g_autofree char *first = new_path();
    g_autofree char *second = new_path();
    g_autofree char *merged = new_path();
    const char *const sources[] = {first, second, NULL};
    g_autoptr(GError) error = NULL;

    write_source(first, 5000, 4000, 1000000);
    write_source(second, 901000, 2000, 105000);
    g_assert_true(trace_merge(merged, sources, &error));
    g_assert_no_error(error);
    g_autoptr(GPtrArray) records = trace_read(merged, &error);
    g_assert_no_error(error);
    g_assert_cmpuint(records->len, ==, G_N_ELEMENTS(expected));
    for (guint i = 0; i < records->len; i++) {
        const struct trace_record *record = g_ptr_array_index(records, i);

        g_assert_cmpuint(record->daemon, ==, expected[i].daemon);
        g_assert_cmpuint(record->at, ==, expected[i].at);
    }
    g_assert_cmpint(g_remove(first), ==, 0);
    g_assert_false(trace_merge(merged, sources, &error));
    g_assert_nonnull(error);
    g_assert_cmpint(g_remove(second), ==, 0);
    g_assert_cmpint(g_remove(merged), ==, 0);
}

static void refuse_outcomes(const char *text)
{
    g_autofree char *path = new_path();
    g_autoptr(GError) error = NULL;
    bool decisions_changed = false;

    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    g_assert_null(replay_outcomes_load(path, &decisions_changed, &error));
    g_assert_nonnull(error);
    g_assert_cmpint(g_remove(path), ==, 0);
}

static void test_invalid_outcomes(void)
{
    refuse_outcomes("[outcome 1]\ntext = x\n");
    refuse_outcomes("[outcome 1]\nexpect = some\n");
    refuse_outcomes("[outcome 1]\ntext = x\nexpect = perhaps\n");
    refuse_outcomes("[outcome 1]\ntext = x\nexpect = some\naction = dance\n");
    refuse_outcomes("[outcome 1]\ntext = x\nexpect = view\n");
    refuse_outcomes("[outcome 1]\ntext = x\nexpect = some\nterm = high\n");
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/trace/round_trip", test_round_trip);
    g_test_add_func("/trace/truncated", test_truncated);
    g_test_add_func("/trace/merge", test_merge);
    g_test_add_func("/trace/invalid_outcomes", test_invalid_outcomes);
    return g_test_run();
}
