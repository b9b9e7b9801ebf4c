/* Overload in virtual time, for the sizes of both deployments: goodput beyond saturation, bounded
 * latency, immediate rejections, and recovery. */
#include "sim/overload.h"

/* Least goodput at 4 times the capacity, as a part of the goodput at the capacity. */
#define GOODPUT_PART 0.9

/* Bound of the 99th percentile of done attempts, whose deadline is 1 s. */
#define DONE_BOUND (750 * SIM_MILLISECOND)

/* A rejection is decided when the request arrives, so it takes one round trip to the daemon. */
#define REFUSED_BOUND (10 * SIM_MILLISECOND)

/* Clients retry for up to 3 s after the load; then the queues drain. */
#define RECOVERY_BOUND (8 * SIM_SECOND)

static struct sim_scenario *load(const char *name)
{
    g_autofree char *file = g_strconcat(name, ".ini", NULL);
    g_autofree char *path = g_test_build_filename(G_TEST_DIST, "sim", "overload", file, NULL);
    g_autoptr(GError) error = NULL;
    struct sim_scenario *scenario = sim_scenario_load(path, &error);
    g_assert_no_error(error);
    return scenario;
}

static struct overload_result run(const struct sim_scenario *scenario, bool writes, double factor)
{
    struct overload_options options = {
        .scenario = scenario,
        .seed = 1,
        .writes = writes,
        .factor = factor,
        .retry_after_share = 0.7,
    };
    struct overload_result result;
    overload_run(&options, &result);
    return result;
}

static void check_bounds(const struct overload_result *result)
{
    g_assert_cmpuint(result->slots_peak, <=, result->slots);
    /* An abandoned statement may still run when its slot is in use again. */
    g_assert_cmpuint(result->running_peak, <=, result->slots + 1);
    g_assert_cmpuint(result->done_p99, <, DONE_BOUND);
    g_assert_cmpuint(result->refused_p99, <, REFUSED_BOUND);
    g_assert_cmpuint(result->recovery, <, RECOVERY_BOUND);
}

static void check_curve(const struct sim_scenario *scenario, bool writes)
{
    struct overload_result full = run(scenario, writes, 1);
    struct overload_result four = run(scenario, writes, 4);
    g_assert_cmpuint(four.refused, >, 0);
    g_assert_cmpfloat(four.goodput_per_s, >=, GOODPUT_PART * full.goodput_per_s);
    check_bounds(&full);
    check_bounds(&four);
}

static void test_curve(gconstpointer name)
{
    struct sim_scenario *scenario = load(name);
    check_curve(scenario, false);
    check_curve(scenario, true);
    sim_scenario_free(scenario);
}

/* All requests that waited for the new primary are sent at once. */
static void test_failover(gconstpointer name)
{
    struct sim_scenario *scenario = load(name);
    struct overload_result half = run(scenario, true, 0.5);
    g_assert_cmpuint(half.slots_peak, <=, half.slots);
    g_assert_cmpfloat(half.goodput_per_s, >=, GOODPUT_PART * half.offered_per_s);
    g_assert_cmpuint(half.recovery, <, RECOVERY_BOUND);
    sim_scenario_free(scenario);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_data_func("/overload/curve/huts", "huts", test_curve);
    g_test_add_data_func("/overload/curve/meters", "meters", test_curve);
    g_test_add_data_func("/overload/failover/huts", "huts_failover", test_failover);
    g_test_add_data_func("/overload/failover/meters", "meters_failover", test_failover);
    return g_test_run();
}
