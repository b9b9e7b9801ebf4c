/* Traces that running daemons record of a failover and of a lost answer are replayed with the same
 * decisions. */
#include "cluster_fixture.h"

#include <glib/gstdio.h>

#include "core/write_flow.h"
#include "sim/replay.h"
#include "trace/trace_file.h"
#include "trace/trace_recorder.h"

/* Writes a daemon's trace to a new file; the caller removes and frees it. */
static char *save_trace(struct cluster *cluster, unsigned daemon)
{
    g_autoptr(GByteArray) trace =
        trace_recorder_copy(cluster->daemons[daemon]->traces, CLUSTER_GROUP);
    char *path = NULL;
    int file = g_file_open_tmp("daemon-XXXXXX", &path, NULL);
    g_assert_true(g_close(file, NULL));
    g_assert_cmpuint(trace->len, >, 0);
    g_assert_true(g_file_set_contents(path, (const char *)trace->data, (gssize)trace->len, NULL));
    return path;
}

static void expect_replayed(struct cluster *cluster, unsigned daemon)
{
    const struct replay_options options = {.output = stderr};
    g_autofree char *path = save_trace(cluster, daemon);
    g_autoptr(GError) error = NULL;
    int failures = replay_file(path, NULL, &options, &error);
    g_assert_no_error(error);
    g_assert_cmpint(failures, ==, 0);
    g_assert_cmpint(g_remove(path), ==, 0);
}

/* True for a write that lost an answer and was finally reported as done. */
static bool lost_and_done(const struct trace_record *record)
{
    const struct trace_write *write = &record->write;
    bool lost = false;
    for (size_t i = 0; i < write->events_count; i++) {
        lost = lost || write->events[i].kind == WRITE_EVENT_LOST;
    }
    const struct trace_write_step *last =
        write->events_count > 0 ? &write->events[write->events_count - 1].step : NULL;
    return lost && last->kind == WRITE_STEP_ANSWER && last->outcome == OUTCOME_DONE;
}

/* Number of such writes in a daemon's trace. */
static guint count_writes(struct cluster *cluster, unsigned daemon)
{
    g_autofree char *path = save_trace(cluster, daemon);
    g_autoptr(GPtrArray) records = trace_read(path, NULL);
    guint writes = 0;
    g_assert_nonnull(records);
    for (guint i = 0; i < records->len; i++) {
        writes += lost_and_done(g_ptr_array_index(records, i)) ? 1 : 0;
    }
    g_assert_cmpint(g_remove(path), ==, 0);
    return writes;
}

static void test_failover(void)
{
    const struct cluster_options options = {.provokes_failures = true};
    struct cluster *cluster = cluster_start(&options);
    int primary = cluster_primary(cluster);
    cluster_isolate(cluster, (unsigned)primary);
    AWAIT(cluster_primary(cluster) != primary);
    cluster_clear_faults(cluster);
    cluster_await_ready(cluster);
    for (unsigned i = 0; i < 3; i++) {
        expect_replayed(cluster, i);
    }
    cluster_stop(cluster);
}

/* The answer to a keyed write's COMMIT is lost: the steps that determined its outcome are recorded.
 */
static void test_lost_answer(void)
{
    struct cluster *cluster = cluster_start(NULL);
    cluster_lose_answers(cluster, 0, ANSWER_FAULT_CLOSE, 1, "COMMIT");
    g_free(cluster_write(cluster, 0, "key", "INSERT INTO stays VALUES ('a', '')"));
    g_assert_cmpuint(count_writes(cluster, 0), ==, 1);
    expect_replayed(cluster, 0);
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/traces/failover", test_failover);
    g_test_add_func("/daemon/traces/lost_answer", test_lost_answer);
    return g_test_run();
}
