/* A daemon keeps traces only of writes whose outcome had to be resolved, and they can be
 * replayed. */
#include "trace/write_trace.h"

#include <glib/gstdio.h>

#include "sim/replay.h"
#include "trace/trace_file.h"

#define GROUP     5
#define DATABASES 3
#define MEMORY    (4 * TRACE_SEGMENT_SIZE)

/* More writes than the memory for writes holds, and more waits than a record has events. */
#define WRITES_MANY 2000
#define WAITS_MANY  500

/* One write, driven by events of the test. */
struct driver {
    struct write_flow flow;
    struct write_trace *trace;
    struct group_view view;
    struct write_step step;
    time_ns now;
};

static void begin(struct driver *driver, struct trace_recorder *recorder, const char *key)
{
    const struct write_options options = {
        .deadline = 100 * NANOSECONDS_PER_SECOND,
        .unavailable_wait_ms = 20000,
        .keyed = key != NULL,
        .attempts_max = 4,
    };

    *driver = (struct driver){.now = NANOSECONDS_PER_SECOND};
    driver->view.database_count = DATABASES;
    driver->view.term = 1;
    for (uint32_t i = 0; i < DATABASES; i++) {
        driver->view.databases[i].reachable = true;
    }
    write_flow_init(&driver->flow, &options);
    driver->trace = write_trace_begin(recorder, GROUP, key, &options);
}

static void feed(struct driver *driver, enum write_event_kind kind, int32_t database)
{
    const struct write_event event = {
        .kind = kind,
        .now = driver->now,
        .database = database,
        .position = {1, 10},
        .status = {.held = {1, 10}, .promised_term = 1},
    };

    driver->now += 20 * NANOSECONDS_PER_MILLISECOND;
    driver->step = write_flow_next(&driver->flow, &event, &driver->view);
    write_trace_note(driver->trace, &event, &driver->view, &driver->step);
}

/* Feeds a commit and the evidence that a majority has acknowledged it. */
static void confirm(struct driver *driver, enum write_event_kind kind)
{
    feed(driver, kind, 0);
    feed(driver, WRITE_EVENT_EVIDENCE, 0);
    feed(driver, WRITE_EVENT_EVIDENCE, 1);
    g_assert_cmpint(driver->step.outcome, ==, OUTCOME_DONE);
}

/* A write whose first answer is lost and whose key is in the ledger. */
static void run_lost(struct trace_recorder *recorder)
{
    struct driver driver;

    begin(&driver, recorder, "refuge/key");
    feed(&driver, WRITE_EVENT_START, -1);
    feed(&driver, WRITE_EVENT_LOST, 0);
    feed(&driver, WRITE_EVENT_TIMER, -1);
    confirm(&driver, WRITE_EVENT_ALREADY_DONE);
    write_trace_end(driver.trace);
}

static int replay(const GByteArray *trace, const char *mutation)
{
    const struct replay_options options = {
        .mutation = mutation, .outcomes_only = mutation != NULL, .output = stderr};
    g_autoptr(GError) error = NULL;
    g_autofree char *path = NULL;
    int file = g_file_open_tmp("write-XXXXXX", &path, NULL);

    g_assert_true(g_close(file, NULL));
    g_assert_true(g_file_set_contents(path, (const char *)trace->data, (gssize)trace->len, NULL));
    int failures = replay_file(path, NULL, &options, &error);
    g_assert_no_error(error);
    g_assert_cmpint(g_remove(path), ==, 0);
    return failures;
}

static void test_plain(void)
{
    struct trace_recorder *recorder = trace_recorder_new(MEMORY);
    struct driver driver;

    begin(&driver, recorder, "refuge/key");
    feed(&driver, WRITE_EVENT_START, -1);
    confirm(&driver, WRITE_EVENT_COMMITTED);
    write_trace_end(driver.trace);
    g_autoptr(GByteArray) trace = trace_recorder_copy(recorder, GROUP);
    g_assert_cmpuint(trace->len, ==, 0);
    trace_recorder_free(recorder);
}

static void test_lost(void)
{
    struct trace_recorder *recorder = trace_recorder_new(MEMORY);

    run_lost(recorder);
    g_autoptr(GByteArray) other = trace_recorder_copy(recorder, GROUP + 1);
    g_assert_cmpuint(other->len, ==, 0);
    g_autoptr(GByteArray) trace = trace_recorder_copy(recorder, GROUP);
    g_assert_cmpuint(trace->len, >, 0);
    g_assert_cmpint(replay(trace, NULL), ==, 0);
    g_assert_cmpint(replay(trace, "trust_commit"), >, 0);
    trace_recorder_free(recorder);
}

/* A recorded answer whose outcome differs from the core's decision is detected. */
static void test_other_decision(void)
{
    struct trace_recorder *recorder = trace_recorder_new(MEMORY);
    struct trace_record record;

    run_lost(recorder);
    g_autoptr(GByteArray) trace = trace_recorder_copy(recorder, GROUP);
    g_assert_true(trace_record_decode(trace->data, trace->len, &record, NULL));
    record.write.events[record.write.events_count - 1].step.outcome = OUTCOME_REFUSED;
    g_autoptr(GByteArray) changed = trace_record_encode(&record);
    trace_record_clear(&record);
    g_assert_cmpint(replay(changed, NULL), ==, 1);
    trace_recorder_free(recorder);
}

/* Only the first event of a long wait is kept, so that the record also has the end of the write. */
static void test_long_wait(void)
{
    struct trace_recorder *recorder = trace_recorder_new(MEMORY);
    struct driver driver;

    begin(&driver, recorder, "refuge/key");
    feed(&driver, WRITE_EVENT_START, -1);
    feed(&driver, WRITE_EVENT_LOST, 0);
    driver.view.primary = -1;
    for (uint32_t i = 0; i < WAITS_MANY; i++) {
        feed(&driver, WRITE_EVENT_TIMER, -1);
    }
    driver.view.primary = 0;
    feed(&driver, WRITE_EVENT_TIMER, -1);
    confirm(&driver, WRITE_EVENT_ALREADY_DONE);
    write_trace_end(driver.trace);
    g_autoptr(GByteArray) trace = trace_recorder_copy(recorder, GROUP);
    g_assert_cmpint(replay(trace, NULL), ==, 0);
    struct trace_record record;
    g_assert_true(trace_record_decode(trace->data, trace->len, &record, NULL));
    g_assert_cmpuint(record.write.events_count, ==, 7);
    trace_record_clear(&record);
    trace_recorder_free(recorder);
}

static void test_bounded(void)
{
    struct trace_recorder *recorder = trace_recorder_new(MEMORY);

    for (uint32_t i = 0; i < WRITES_MANY; i++) {
        run_lost(recorder);
    }
    g_autoptr(GByteArray) trace = trace_recorder_copy(recorder, GROUP);
    g_assert_cmpuint(trace->len, <=, MEMORY / 4);
    g_assert_cmpuint(trace->len, >, MEMORY / 16);
    g_assert_cmpint(replay(trace, NULL), ==, 0);
    trace_recorder_free(recorder);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/write_trace/plain", test_plain);
    g_test_add_func("/write_trace/lost", test_lost);
    g_test_add_func("/write_trace/other_decision", test_other_decision);
    g_test_add_func("/write_trace/long_wait", test_long_wait);
    g_test_add_func("/write_trace/bounded", test_bounded);
    return g_test_run();
}
