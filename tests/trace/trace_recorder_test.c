/* The trace that a daemon keeps of a group stays within its memory limit and replays to the same
 * decisions, also after its oldest segments were discarded. */
#include "trace/trace_recorder.h"

#include <glib/gstdio.h>
#include <string.h>

#include "core/group_control_state.h"
#include "sim/replay.h"
#include "trace/trace_file.h"

#define GROUP     5
#define DATABASES 3
#define SEGMENTS  6 /* of the memory; a quarter is for writes */
#define MEMORY    (8 * TRACE_SEGMENT_SIZE)
#define STEP_MS   20

/* Number of steps for one failover, and for a trace larger than the memory. */
#define STEPS_FEW  200
#define STEPS_MANY 12000

/* A group's control with its trace, and databases that answer every command at once. The time is
 * simulated. */
struct watcher {
    struct group_control *control;
    struct trace_group *trace;
    time_ns now;
    GQueue answers; /* struct group_event, owned */
    struct database_status databases[DATABASES];
    uint32_t promotions;
};

static void begin(struct watcher *watcher, struct trace_recorder *recorder)
{
    struct group_control_options options;

    group_control_options_init(&options);
    options.group = GROUP;
    options.watcher = 1;
    options.database_count = DATABASES;
    options.seed = 42;
    *watcher = (struct watcher){.now = NANOSECONDS_PER_SECOND};
    g_queue_init(&watcher->answers);
    watcher->control = group_control_new(&options, watcher->now);
    watcher->trace = trace_group_begin(recorder, &options, watcher->now);
    for (uint32_t i = 0; i < DATABASES; i++) {
        watcher->databases[i] =
            (struct database_status){.role = DATABASE_ROLE_REPLICA, .held = {1, 10 + i}};
    }
}

static void end(struct watcher *watcher)
{
    g_queue_clear_full(&watcher->answers, g_free);
    trace_group_end(watcher->trace);
    group_control_free(watcher->control);
}

static void answer(struct watcher *watcher, const struct group_action *action)
{
    struct database_status *database = &watcher->databases[action->database];
    struct group_event *event = g_new0(struct group_event, 1);

    if (action->kind == GROUP_ACTION_FENCE) {
        database->promised_term = action->term;
    } else if (action->kind == GROUP_ACTION_PROMOTE) {
        database->role = DATABASE_ROLE_PRIMARY;
        database->term = action->term;
        watcher->promotions++;
    } else if (action->kind == GROUP_ACTION_FOLLOW) {
        database->role = DATABASE_ROLE_REPLICA;
        database->term = action->term;
    }
    event->kind = GROUP_EVENT_COMMAND;
    event->command = action->command;
    event->database = action->database;
    event->status = *database;
    g_queue_push_tail(&watcher->answers, event);
}

static void step(struct watcher *watcher, struct group_event *event)
{
    struct group_actions actions;

    event->now = watcher->now;
    trace_group_reserve(watcher->trace, watcher->control, event->now);
    group_control_step(watcher->control, event, &actions);
    trace_group_record(watcher->trace, event, watcher->control, &actions);
    for (uint32_t i = 0; i < actions.count; i++) {
        if (actions.items[i].command != 0) {
            answer(watcher, &actions.items[i]);
        }
    }
}

/* Probes all databases in each step. With `fails`, the primary fails in the second half of the
 * steps. */
static void run(struct watcher *watcher, uint32_t steps, bool fails)
{
    struct group_event watchers = {
        .kind = GROUP_EVENT_WATCHERS, .watcher_count = 1, .watchers = {{.id = 1}}};

    step(watcher, &watchers);
    for (uint32_t i = 0; i < steps; i++) {
        watcher->now += STEP_MS * NANOSECONDS_PER_MILLISECOND;
        for (uint32_t database = 0; database < DATABASES; database++) {
            bool leads = watcher->databases[database].role == DATABASE_ROLE_PRIMARY;
            struct group_event probe = {
                .kind = GROUP_EVENT_PROBE,
                .database = database,
                .reachable = !(fails && leads && i > steps / 2 && watcher->promotions < 2),
                .round_trip = 100,
            };

            if (probe.reachable) {
                probe.status = watcher->databases[database];
            }
            step(watcher, &probe);
        }
        while (!g_queue_is_empty(&watcher->answers)) {
            g_autofree struct group_event *event = g_queue_pop_head(&watcher->answers);

            step(watcher, event);
        }
    }
}

/* Writes bytes to a new file; the caller removes and frees it. */
static char *save(const void *bytes, size_t length)
{
    char *path = NULL;
    int file = g_file_open_tmp("recorder-XXXXXX", &path, NULL);

    g_assert_true(g_close(file, NULL));
    g_assert_true(g_file_set_contents(path, bytes, (gssize)length, NULL));
    return path;
}

/* Replays a trace. Returns the number of failures; sets an error if it can't be replayed. */
static int replay(const GByteArray *trace, const char *mutation, GError **error)
{
    const struct replay_options options = {.mutation = mutation, .output = stderr};
    g_autofree char *path = save(trace->data, trace->len);
    int failures = replay_file(path, NULL, &options, error);
    g_assert_cmpint(g_remove(path), ==, 0);
    return failures;
}

static void expect_same_decisions(const GByteArray *trace)
{
    g_autoptr(GError) error = NULL;
    int failures = replay(trace, NULL, &error);

    g_assert_no_error(error);
    g_assert_cmpint(failures, ==, 0);
}

static void test_complete(void)
{
    struct trace_recorder *recorder = trace_recorder_new(MEMORY);
    struct watcher watcher;

    begin(&watcher, recorder);
    run(&watcher, STEPS_FEW, true);
    g_assert_cmpuint(watcher.promotions, ==, 2);
    g_autoptr(GByteArray) trace = trace_recorder_copy(recorder, GROUP);
    expect_same_decisions(trace);
    end(&watcher);
    trace_recorder_free(recorder);
}

/* A core that decides differently on the same input is detected. */
static void test_other_decision(void)
{
    struct trace_recorder *recorder = trace_recorder_new(MEMORY);
    g_autoptr(GError) error = NULL;
    struct watcher watcher;

    begin(&watcher, recorder);
    run(&watcher, STEPS_FEW, true);
    g_autoptr(GByteArray) trace = trace_recorder_copy(recorder, GROUP);
    g_assert_cmpint(replay(trace, "no_fence", &error), >, 0);
    g_assert_no_error(error);
    end(&watcher);
    trace_recorder_free(recorder);
}

/* Replays a trace against the text of its outcomes, with a mutated core. */
static int replay_stated(const GByteArray *trace, const char *text)
{
    const struct replay_options options = {.mutation = "no_fence", .output = stderr};
    g_autofree char *path = save(trace->data, trace->len);
    g_autofree char *outcomes = save(text, strlen(text));
    g_autoptr(GError) error = NULL;
    int failures = replay_file(path, outcomes, &options, &error);

    g_assert_no_error(error);
    g_assert_cmpint(g_remove(path), ==, 0);
    g_assert_cmpint(g_remove(outcomes), ==, 0);
    return failures;
}

/* Changed decisions are a failure unless the outcomes state a reason for them. The rules that apply
 * to every trace are checked in any case. */
static void test_decisions_changed(void)
{
    struct trace_recorder *recorder = trace_recorder_new(MEMORY);
    struct watcher watcher;

    begin(&watcher, recorder);
    run(&watcher, STEPS_FEW, true);
    g_autoptr(GByteArray) trace = trace_recorder_copy(recorder, GROUP);
    int failures = replay_stated(trace, "[trace]\ncause = x\n");
    g_assert_cmpint(replay_stated(trace, "[trace]\ndecisions_changed =\n"), ==, failures);
    g_assert_cmpint(replay_stated(trace, "[trace]\ndecisions_changed = x\n"), ==, failures - 1);
    g_assert_cmpint(failures, >, 1);
    end(&watcher);
    trace_recorder_free(recorder);
}

/* The oldest segments are discarded; the rest is replayed from a snapshot. */
static void test_oldest_discarded(void)
{
    struct trace_recorder *recorder = trace_recorder_new(MEMORY);
    struct watcher watcher;

    begin(&watcher, recorder);
    run(&watcher, STEPS_MANY, true);
    g_assert_cmpuint(watcher.promotions, ==, 2);
    g_autoptr(GByteArray) trace = trace_recorder_copy(recorder, GROUP);
    g_assert_cmpuint(trace->len, <=, MEMORY);
    g_assert_cmpuint(trace->len, >, MEMORY / 2);
    expect_same_decisions(trace);
    end(&watcher);
    trace_recorder_free(recorder);
}

/* Length of the first record. */
static size_t first_length(const GByteArray *trace)
{
    struct trace_record record;
    size_t length = 1;

    while (!trace_record_decode(trace->data, length, &record, NULL)) {
        length++;
    }
    trace_record_clear(&record);
    return length;
}

/* A trace that begins with a snapshot of another state layout is rejected. */
static void test_other_layout(void)
{
    struct trace_recorder *recorder = trace_recorder_new(MEMORY);
    g_autoptr(GError) error = NULL;
    struct trace_record record;
    struct watcher watcher;

    begin(&watcher, recorder);
    run(&watcher, STEPS_MANY, false);
    g_autoptr(GByteArray) trace = trace_recorder_copy(recorder, GROUP);
    size_t length = first_length(trace);
    g_assert_true(trace_record_decode(trace->data, length, &record, NULL));
    g_assert_true(record.has_snapshot);
    record.snapshot.layout[0] = 'x';
    g_autoptr(GByteArray) changed = trace_record_encode(&record);
    trace_record_clear(&record);
    g_byte_array_append(changed, trace->data + length, trace->len - (guint)length);
    g_assert_cmpint(replay(changed, NULL, &error), ==, -1);
    g_assert_nonnull(error);
    end(&watcher);
    trace_recorder_free(recorder);
}

/* The trace of a group that ended is kept when the group starts again. */
static void test_restarted(void)
{
    struct trace_recorder *recorder = trace_recorder_new(MEMORY);
    struct watcher first;
    struct watcher second;

    begin(&first, recorder);
    run(&first, STEPS_FEW, false);
    end(&first);
    g_autoptr(GByteArray) before = trace_recorder_copy(recorder, GROUP);
    begin(&second, recorder);
    run(&second, STEPS_FEW, true);
    end(&second);
    g_autoptr(GByteArray) after = trace_recorder_copy(recorder, GROUP);
    g_assert_cmpuint(after->len, >, before->len);
    expect_same_decisions(after);
    trace_recorder_free(recorder);
}

/* At most half as many groups are recorded as there are segments; further groups are not. */
static void test_too_many_groups(void)
{
    struct trace_recorder *recorder = trace_recorder_new(MEMORY);
    struct watcher watchers[SEGMENTS / 2 + 1];

    for (guint i = 0; i < G_N_ELEMENTS(watchers); i++) {
        begin(&watchers[i], recorder);
        run(&watchers[i], STEPS_FEW, false);
    }
    g_assert_nonnull(watchers[SEGMENTS / 2 - 1].trace);
    g_assert_null(watchers[SEGMENTS / 2].trace);
    for (guint i = 0; i < G_N_ELEMENTS(watchers); i++) {
        end(&watchers[i]);
    }
    trace_recorder_free(recorder);
}

static void test_no_memory(void)
{
    struct trace_recorder *recorder = trace_recorder_new(0);
    struct watcher watcher;

    begin(&watcher, recorder);
    run(&watcher, STEPS_FEW, false);
    g_autoptr(GByteArray) trace = trace_recorder_copy(recorder, GROUP);
    g_assert_cmpuint(trace->len, ==, 0);
    end(&watcher);
    trace_recorder_free(recorder);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/trace_recorder/complete", test_complete);
    g_test_add_func("/trace_recorder/other_decision", test_other_decision);
    g_test_add_func("/trace_recorder/decisions_changed", test_decisions_changed);
    g_test_add_func("/trace_recorder/oldest_discarded", test_oldest_discarded);
    g_test_add_func("/trace_recorder/other_layout", test_other_layout);
    g_test_add_func("/trace_recorder/restarted", test_restarted);
    g_test_add_func("/trace_recorder/too_many_groups", test_too_many_groups);
    g_test_add_func("/trace_recorder/no_memory", test_no_memory);
    return g_test_run();
}
