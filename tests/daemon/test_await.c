/* A wait that times out prints what it waited for and the state of the deployment. */
#include "cluster_fixture.h"

/* A start so early that no time is left. */
#define LONG_AGO (G_MININT64 / 2)

static void time_out(void)
{
    struct cluster *cluster = cluster_start(NULL);
    cluster_stop_daemon(cluster, 2);
    cluster_await_pause(LONG_AGO, "a condition", "file.c:1");
}

static void test_time_out(void)
{
    if (g_test_subprocess()) {
        time_out();
        return;
    }
    g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
    g_test_trap_assert_failed();
    g_test_trap_assert_stderr("*file.c:1: timed out waiting for: a condition\n"
                              "*refuge-1: primary of term 1, promised 1*held=1/*"
                              "*refuge-2: replica of term 1*"
                              "*daemon-1: owns the group, knows 2 owners, tasks open 0*"
                              "*(itself)*"
                              "*view: term 1, primary 0*"
                              "*database 2: replica of term 1*"
                              "*daemon-2:*");
    g_test_trap_assert_stderr_unmatched("*daemon-3:*");
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/await/time_out", test_time_out);
    return g_test_run();
}
