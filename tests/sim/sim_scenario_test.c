/* Runs every scenario file over a few fixed seeds, and checks that the same seed gives the same
 * run, byte for byte. */
#include <glib/gstdio.h>

#include "core/error.h"
#include "sim/checker.h"
#include "sim/measure.h"

#define SEEDS          3
#define FAILOVER_SEEDS 30

static struct sim_scenario *load(const char *name)
{
    g_autofree char *file = g_strconcat(name, ".ini", NULL);
    g_autofree char *path = g_test_build_filename(G_TEST_DIST, "sim", "scenarios", file, NULL);
    g_autoptr(GError) error = NULL;
    struct sim_scenario *scenario = sim_scenario_load(path, &error);

    g_assert_no_error(error);
    return scenario;
}

static void run_seeds(const struct sim_scenario *scenario, uint64_t seeds)
{
    for (uint64_t seed = 1; seed <= seeds; seed++) {
        struct sim_run *run = sim_run_new(scenario, seed, SIM_MUTATION_NONE, false);
        struct checker_result result;

        sim_run_execute(run);
        checker_evaluate(run, &result);
        if (result.total > 0) {
            g_test_message("%s, seed %" G_GUINT64_FORMAT ": %s", scenario->name, seed,
                           result.first);
            g_test_fail();
        }
        g_assert_cmpuint(result.writes_done, >, 0);
        g_assert_cmpuint(result.reads_done, >, 0);
        checker_result_clear(&result);
        sim_run_free(run);
    }
}

static void test_scenario(gconstpointer name)
{
    struct sim_scenario *scenario = load(name);

    run_seeds(scenario, SEEDS);
    sim_scenario_free(scenario);
}

static void test_hour(void)
{
    struct sim_scenario *scenario = load("stalls_and_loss");

    run_seeds(scenario, 1);
    sim_scenario_free(scenario);
}

/* Bounds that follow from the design: in virtual time they hold on any machine. */
static void test_gap_bounds(gconstpointer name)
{
    struct sim_scenario *scenario = load(name);
    bool planned = g_str_has_prefix(name, "planned");
    time_ns bound = planned ? 100 * SIM_MILLISECOND : 3 * SIM_SECOND;
    uint32_t found = 0;

    for (uint64_t seed = 1; seed <= FAILOVER_SEEDS; seed++) {
        struct sim_run *run = sim_run_new(scenario, seed, SIM_MUTATION_NONE, false);
        struct measure_gap gap;

        sim_run_execute(run);
        gap = measure_first_gap(run);
        found += gap.found ? 1 : 0;
        g_assert_cmpuint(gap.gap, <, bound);
        sim_run_free(run);
    }
    g_assert_cmpuint(found, ==, FAILOVER_SEEDS);
    sim_scenario_free(scenario);
}

static char *journal_of(const struct sim_scenario *scenario, uint64_t seed)
{
    struct sim_run *run = sim_run_new(scenario, seed, SIM_MUTATION_NONE, true);
    char *journal;

    sim_run_execute(run);
    journal = g_strdup(run->world->journal->str);
    sim_run_free(run);
    return journal;
}

static void test_deterministic(void)
{
    struct sim_scenario *scenario = load("chaos");
    g_autofree char *first = journal_of(scenario, 7);
    g_autofree char *second = journal_of(scenario, 7);
    g_autofree char *other = journal_of(scenario, 8);

    g_assert_cmpstr(first, ==, second);
    g_assert_cmpstr(first, !=, other);
    sim_scenario_free(scenario);
}

static void refuse(const char *text)
{
    g_autofree char *path = NULL;
    g_autoptr(GError) error = NULL;
    int file = g_file_open_tmp("scenario-XXXXXX.ini", &path, &error);

    g_assert_no_error(error);
    g_assert_true(g_close(file, NULL));
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    g_assert_null(sim_scenario_load(path, &error));
    g_assert_error(error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION);
    g_assert_cmpint(g_remove(path), ==, 0);
}

static void test_invalid_files(void)
{
    refuse("[scenario]\nzones = 0\n");
    refuse("[scenario]\nduration_ms = soon\n");
    refuse("[fault 1]\nkind = earthquake\n");
    refuse("[fault 1]\nkind = kill_database\ntarget = everyone\n");
    refuse("[fault 1]\ntarget = primary\n");
}

int main(int argc, char **argv)
{
    static const char *const NAMES[] = {
        "all_daemons_restart",
        "calm",
        "chaos",
        "coordinator_paused",
        "daemon_killed_mid_commit",
        "daemon_paused_before_answer",
        "database_forgets",
        "drain_again",
        "drain_daemon_dead",
        "drain_during_failover",
        "drain_primary",
        "drain_two",
        "drain_with_transactions",
        "failover_during_failover",
        "five_databases",
        "forgetting_majority",
        "late_answers",
        "lost_answers",
        "one_watcher",
        "pair_cut",
        "replication_cut",
        "replication_cut_everywhere",
        "replication_slow",
        "primary_cut_with_clients",
        "primary_killed",
        "primary_paused",
        "replicas_lag",
        "same_key_two_daemons",
        "stray_promise",
        "transactions",
        "two_coordinators",
        "two_watchers",
        "zone_cut_and_heal",
    };
    static const char *const GAP_NAMES[] = {"gap_huts", "gap_meters", "planned_huts",
                                            "planned_meters"};

    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(NAMES); i++) {
        g_autofree char *path = g_strconcat("/sim/scenario/", NAMES[i], NULL);

        g_test_add_data_func(path, NAMES[i], test_scenario);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(GAP_NAMES); i++) {
        g_autofree char *path = g_strconcat("/sim/gap/", GAP_NAMES[i], NULL);

        g_test_add_data_func(path, GAP_NAMES[i], test_gap_bounds);
    }
    g_test_add_func("/sim/scenario/stalls_and_loss", test_hour);
    g_test_add_func("/sim/deterministic", test_deterministic);
    g_test_add_func("/sim/invalid_files", test_invalid_files);
    return g_test_run();
}
