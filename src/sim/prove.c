/* swiftsim prove: runs every guarantee with its mechanism on, which must pass, and off, which must
 * fail. */
#include <stdio.h>

#include "sim/checker.h"
#include "sim/explore.h"
#include "sim/measure.h"

/* A guarantee and its scenario. With the mutation, some seed must violate one of the rules. */
struct row {
    const char *guarantee;
    const char *scenario;
    enum sim_mutation mutation; /* NONE: run only with the mechanism on */
    enum checker_rule expected;
};

/* Default directory of scenarios, relative to the root of the repository. */
#define SCENARIO_DIRECTORY "tests/sim/scenarios"

struct options {
    gint64 seeds;
    gint jobs;
    char *directory; /* of the scenarios; owned */
};

static const struct row ROWS[] = {
    {"acknowledged by the current primary", "primary_killed", SIM_MUTATION_TRUST_COMMIT,
     CHECKER_RULE_ACKNOWLEDGED_LOST},
    {"acknowledged by the current primary", "primary_cut_with_clients", SIM_MUTATION_TRUST_COMMIT,
     CHECKER_RULE_ACKNOWLEDGED_LOST},
    {"acknowledged by the current primary", "primary_paused", SIM_MUTATION_NO_FENCE,
     CHECKER_RULE_ACKNOWLEDGED_LOST},
    {"acknowledged by the current primary", "zone_cut_and_heal", SIM_MUTATION_TRUST_COMMIT,
     CHECKER_RULE_ACKNOWLEDGED_LOST},
    {"acknowledged by the current primary", "coordinator_paused", SIM_MUTATION_NONE,
     CHECKER_RULE_COUNT},
    {"acknowledged by the current primary", "two_coordinators", SIM_MUTATION_NONE,
     CHECKER_RULE_COUNT},
    {"acknowledged by the current primary", "failover_during_failover", SIM_MUTATION_TRUST_COMMIT,
     CHECKER_RULE_ACKNOWLEDGED_LOST},
    {"acknowledged by the current primary", "daemon_paused_before_answer",
     SIM_MUTATION_TRUST_COMMIT, CHECKER_RULE_ACKNOWLEDGED_LOST},
    {"acknowledged by the current primary", "forgetting_majority", SIM_MUTATION_TRUST_FORGETFUL,
     CHECKER_RULE_ACKNOWLEDGED_LOST},
    {"acknowledged by the current primary", "database_forgets", SIM_MUTATION_NONE,
     CHECKER_RULE_COUNT},
    {"a healthy primary is not deposed", "pair_cut", SIM_MUTATION_SINGLE_WATCHER_DEPOSES,
     CHECKER_RULE_FALSE_FAILOVER},
    {"a primary without replication is replaced", "replication_cut",
     SIM_MUTATION_IGNORE_STALLED_REPLICATION, CHECKER_RULE_WRITE_GAP},
    {"replacing that mends nothing gets rare", "replication_cut_everywhere", SIM_MUTATION_NONE,
     CHECKER_RULE_COUNT},
    {"a healthy primary is not deposed", "replication_slow", SIM_MUTATION_NONE, CHECKER_RULE_COUNT},
    {"a session reads its writes", "replicas_lag", SIM_MUTATION_IGNORE_GUARD,
     CHECKER_RULE_READ_OWN_WRITES},
    {"reads are monotonic", "replicas_lag", SIM_MUTATION_IGNORE_GUARD,
     CHECKER_RULE_MONOTONIC_READS},
    {"not repeatable at most once", "lost_answers", SIM_MUTATION_RESEND_UNKEYED,
     CHECKER_RULE_AT_MOST_ONCE},
    {"not repeatable at most once", "daemon_killed_mid_commit", SIM_MUTATION_NO_LEDGER,
     CHECKER_RULE_AT_MOST_ONCE},
    {"not repeatable at most once", "same_key_two_daemons", SIM_MUTATION_NO_LEDGER,
     CHECKER_RULE_AT_MOST_ONCE},
    {"a key is not reused", "same_key_two_daemons", SIM_MUTATION_NO_LEDGER,
     CHECKER_RULE_KEY_REUSED},
    {"not repeatable at most once", "transactions", SIM_MUTATION_NO_LEDGER,
     CHECKER_RULE_AT_MOST_ONCE},
    {"told not run is not run", "lost_answers", SIM_MUTATION_LOST_IS_NOT_SENT,
     CHECKER_RULE_NOT_RUN},
    {"each caller gets its own answer", "late_answers", SIM_MUTATION_REUSE_CONNECTION,
     CHECKER_RULE_ANSWERS_MIXED},
    {"a leaving database gets no new work", "drain_two", SIM_MUTATION_IGNORE_LEAVING,
     CHECKER_RULE_LEAVING},
    {"a planned change fails no request", "drain_primary", SIM_MUTATION_NO_PAUSE,
     CHECKER_RULE_FAILED_REQUEST},
    {"a leaving database gets no new work", "drain_with_transactions", SIM_MUTATION_IGNORE_LEAVING,
     CHECKER_RULE_LEAVING},
    {"a planned change fails no request", "drain_again", SIM_MUTATION_NO_PAUSE,
     CHECKER_RULE_FAILED_REQUEST},
    {"a drain races a failover", "drain_during_failover", SIM_MUTATION_TRUST_COMMIT,
     CHECKER_RULE_ACKNOWLEDGED_LOST},
};

/* Outcome of one seed. */
struct seed_outcome {
    bool failed;
    char *first; /* description of the first violation */
    struct measure_gap gap;
};

/* The runs of one scenario over all seeds, in parallel. */
struct batch {
    const struct sim_scenario *scenario;
    const struct row *row;
    enum sim_mutation mutation;
    struct seed_outcome *outcomes; /* indexed by seed, from 1 */
};

/* The sum of the outcomes over all seeds. */
struct tally {
    uint64_t failing_seeds;
    uint64_t first_failing;
    char *first_text;
};

/* Runs in a thread of the pool. Runs share only the scenario, which is constant. */
static void run_seed(gpointer data, gpointer user_data)
{
    const struct batch *batch = user_data;
    uint64_t seed = GPOINTER_TO_SIZE(data);
    struct seed_outcome *outcome = &batch->outcomes[seed - 1];
    struct sim_run *run = sim_run_new(batch->scenario, seed, batch->mutation, false);
    struct checker_result result;

    sim_run_execute(run);
    checker_evaluate(run, &result);
    outcome->failed = batch->mutation == SIM_MUTATION_NONE
                          ? result.total > 0
                          : result.violations[batch->row->expected] > 0;
    outcome->first = g_strdup(result.first);
    outcome->gap = measure_first_gap(run);
    checker_result_clear(&result);
    sim_run_free(run);
}

static struct tally sum_up(const struct batch *batch, uint64_t seeds, GArray *gaps)
{
    struct tally tally = {0};

    for (uint64_t i = 0; i < seeds; i++) {
        struct seed_outcome *outcome = &batch->outcomes[i];

        if (outcome->failed) {
            tally.failing_seeds += 1;
        }
        if (outcome->failed && tally.first_text == NULL) {
            tally.first_failing = i + 1;
            tally.first_text = g_strdup(outcome->first);
        }
        if (outcome->gap.found && batch->mutation == SIM_MUTATION_NONE) {
            g_array_append_val(gaps, outcome->gap);
        }
        g_free(outcome->first);
    }
    return tally;
}

static struct tally run_seeds(const struct sim_scenario *scenario, const struct row *row,
                              enum sim_mutation mutation, const struct options *options,
                              GArray *gaps)
{
    struct batch batch = {.scenario = scenario, .row = row, .mutation = mutation};
    uint64_t seeds = (uint64_t)options->seeds;
    GThreadPool *pool = g_thread_pool_new(run_seed, &batch, options->jobs, TRUE, NULL);
    struct tally tally;

    batch.outcomes = g_new0(struct seed_outcome, seeds);
    for (uint64_t seed = 1; seed <= seeds; seed++) {
        g_thread_pool_push(pool, GSIZE_TO_POINTER(seed), NULL);
    }
    g_thread_pool_free(pool, FALSE, TRUE);
    tally = sum_up(&batch, seeds, gaps);
    g_free(batch.outcomes);
    return tally;
}

static bool already_run(size_t index)
{
    for (size_t i = 0; i < index; i++) {
        if (g_str_equal(ROWS[i].scenario, ROWS[index].scenario)) {
            return true;
        }
    }
    return false;
}

/* Runs one row; false if the result is not as expected. */
static bool prove_row(size_t index, const struct options *options)
{
    const struct row *row = &ROWS[index];
    g_autofree char *file = g_strconcat(row->scenario, ".ini", NULL);
    g_autofree char *path = g_build_filename(options->directory, file, NULL);
    g_autoptr(GError) error = NULL;
    g_autoptr(GArray) gaps = g_array_new(FALSE, FALSE, sizeof(struct measure_gap));
    struct sim_scenario *scenario = sim_scenario_load(path, &error);
    struct tally on = {0};
    struct tally off = {0};
    uint64_t seeds = (uint64_t)options->seeds;
    bool right = true;

    if (scenario == NULL) {
        fprintf(stderr, "swiftsim: %s: %s\n", path, error->message);
        return false;
    }
    if (!already_run(index)) {
        on = run_seeds(scenario, row, SIM_MUTATION_NONE, options, gaps);
        right = on.failing_seeds == 0;
    }
    if (row->mutation != SIM_MUTATION_NONE) {
        off = run_seeds(scenario, row, row->mutation, options, gaps);
        right = right && off.failing_seeds > 0;
    }
    printf("%-38s %-28s on: %3" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT
           " fail   %-22s %3" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT " fail   %s\n",
           row->guarantee, row->scenario, on.failing_seeds, seeds,
           row->mutation == SIM_MUTATION_NONE ? "-" : sim_mutation_name(row->mutation),
           off.failing_seeds, row->mutation == SIM_MUTATION_NONE ? 0 : seeds,
           right ? "right" : "WRONG");
    if (on.first_text != NULL) {
        printf("    seed %" G_GUINT64_FORMAT ": %s\n", on.first_failing, on.first_text);
    }
    if (gaps->len > 0) {
        measure_print(gaps, "    gap");
    }
    fflush(stdout);
    g_free(on.first_text);
    g_free(off.first_text);
    sim_scenario_free(scenario);
    return right;
}

int prove_main(int argc, char **argv)
{
    struct options options = {.seeds = 200, .jobs = 3};
    const GOptionEntry entries[] = {
        {"seeds", 0, 0, G_OPTION_ARG_INT64, &options.seeds, "Seeds per row", "N"},
        {"jobs", 0, 0, G_OPTION_ARG_INT, &options.jobs, "Parallel runs", "N"},
        {"scenarios", 0, 0, G_OPTION_ARG_FILENAME, &options.directory, "Directory of scenarios",
         "DIR"},
        G_OPTION_ENTRY_NULL,
    };
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_autoptr(GError) error = NULL;
    size_t wrong = 0;

    g_option_context_set_summary(
        context, "Runs every guarantee with its mechanism on (must pass) and off (must fail).");
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "swiftsim: %s\n", error->message);
        return 2;
    }
    if (options.seeds < 1 || options.jobs < 1) {
        fprintf(stderr, "swiftsim: --seeds and --jobs must be at least 1\n");
        return 2;
    }
    if (options.directory == NULL) {
        options.directory = g_strdup(SCENARIO_DIRECTORY);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(ROWS); i++) {
        wrong += prove_row(i, &options) ? 0 : 1;
    }
    printf("%zu of %zu rows are as expected\n", G_N_ELEMENTS(ROWS) - wrong, G_N_ELEMENTS(ROWS));
    g_free(options.directory);
    return wrong == 0 ? 0 : 1;
}
