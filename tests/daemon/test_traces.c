/* What running daemons record of a failover is replayed to the same decisions. */
#include "cluster_fixture.h"

#include <glib/gstdio.h>

#include "sim/replay.h"
#include "trace/trace_recorder.h"

static void expect_replayed(struct cluster *cluster, unsigned daemon)
{
    const struct replay_options options = {.output = stderr};
    g_autoptr(GByteArray) trace =
        trace_recorder_copy(cluster->daemons[daemon]->traces, CLUSTER_GROUP);
    g_autoptr(GError) error = NULL;
    g_autofree char *path = NULL;
    int file = g_file_open_tmp("daemon-XXXXXX", &path, NULL);
    g_assert_true(g_close(file, NULL));
    g_assert_true(g_file_set_contents(path, (const char *)trace->data, (gssize)trace->len, NULL));
    g_assert_cmpuint(trace->len, >, 0);
    int failures = replay_file(path, NULL, &options, &error);
    g_assert_no_error(error);
    g_assert_cmpint(failures, ==, 0);
    g_assert_cmpint(g_remove(path), ==, 0);
}

static void test_failover(void)
{
    const struct cluster_options options = {.databases = 3};
    struct cluster *cluster = cluster_start(&options);
    int primary = cluster_primary(cluster);
    cluster_isolate(cluster, (unsigned)primary);
    AWAIT(cluster_primary(cluster) != primary);
    cluster_heal(cluster);
    cluster_await_ready(cluster);
    for (unsigned i = 0; i < 3; i++) {
        expect_replayed(cluster, i);
    }
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/traces/failover", test_failover);
    return g_test_run();
}
