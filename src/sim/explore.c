/* One run, and many runs over a range of seeds. */
#include "sim/explore.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "sim/checker.h"
#include "sim/measure.h"

struct options {
    char *scenario_path;
    char *mutation_name;
    char *seeds;
    char *trace_path;
    char *journal_path;
    gint64 seed;
    gint64 trace_ms;
    enum sim_mutation mutation;
    struct sim_scenario *scenario;
};

static bool parse(struct options *options, int argc, char **argv, const char *summary)
{
    const GOptionEntry entries[] = {
        {"scenario", 0, 0, G_OPTION_ARG_FILENAME, &options->scenario_path, "Scenario file", "F"},
        {"seed", 0, 0, G_OPTION_ARG_INT64, &options->seed, "Seed of the run", "N"},
        {"seeds", 0, 0, G_OPTION_ARG_STRING, &options->seeds, "Range of seeds", "A..B"},
        {"mutation", 0, 0, G_OPTION_ARG_STRING, &options->mutation_name, "Mechanism to turn off",
         "M"},
        {"trace", 0, 0, G_OPTION_ARG_FILENAME, &options->trace_path,
         "Record the core's events for swiftreplay", "FILE"},
        {"trace-ms", 0, 0, G_OPTION_ARG_INT64, &options->trace_ms,
         "End of the recording, in milliseconds", "N"},
        {"journal", 0, 0, G_OPTION_ARG_FILENAME, &options->journal_path,
         "Write the readable record of the run", "FILE"},
        G_OPTION_ENTRY_NULL,
    };
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_autoptr(GError) error = NULL;

    g_option_context_set_summary(context, summary);
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "swiftsim: %s\n", error->message);
        return false;
    }
    if (options->scenario_path == NULL) {
        fprintf(stderr, "swiftsim: --scenario is needed\n");
        return false;
    }
    options->scenario = sim_scenario_load(options->scenario_path, &error);
    if (options->scenario == NULL) {
        fprintf(stderr, "swiftsim: %s: %s\n", options->scenario_path, error->message);
        return false;
    }
    if (options->mutation_name != NULL &&
        !sim_mutation_from_name(options->mutation_name, &options->mutation)) {
        fprintf(stderr, "swiftsim: unknown mutation %s\n", options->mutation_name);
        return false;
    }
    return true;
}

static void clear(struct options *options)
{
    if (options->scenario != NULL) {
        sim_scenario_free(options->scenario);
    }
    g_free(options->scenario_path);
    g_free(options->mutation_name);
    g_free(options->seeds);
    g_free(options->trace_path);
    g_free(options->journal_path);
}

static void print_result(const struct checker_result *result, uint64_t seed)
{
    printf("seed %" G_GUINT64_FORMAT ": writes %" G_GUINT64_FORMAT " done, %" G_GUINT64_FORMAT
           " not run, %" G_GUINT64_FORMAT " unknown; reads %" G_GUINT64_FORMAT
           " (%" G_GUINT64_FORMAT " by replicas, %" G_GUINT64_FORMAT
           " missed unconfirmed data read before)\n",
           seed, result->writes_done, result->writes_not_run, result->writes_unknown,
           result->reads_done, result->reads_by_replica, result->reads_reverted);
    for (int rule = 0; rule < CHECKER_RULE_COUNT; rule++) {
        if (result->violations[rule] > 0) {
            printf("  broken: %s, %" G_GUINT64_FORMAT " times\n",
                   checker_rule_name((enum checker_rule)rule), result->violations[rule]);
        }
    }
    if (result->first != NULL) {
        printf("  first: %s\n", result->first);
    }
}

static bool open_trace(struct sim_run *run, const char *path, gint64 trace_ms)
{
    if (path == NULL) {
        return true;
    }
    run->trace_until = UINT64_MAX;
    if (trace_ms > 0) {
        run->trace_until = run->world->now + (time_ns)trace_ms * SIM_MILLISECOND;
    }
    run->trace = fopen(path, "wb");
    if (run->trace == NULL) {
        fprintf(stderr, "swiftsim: %s: %s\n", path, g_strerror(errno));
    }
    return run->trace != NULL;
}

static bool write_journal(const struct sim_run *run, const char *path)
{
    g_autoptr(GError) error = NULL;

    if (path == NULL) {
        return true;
    }
    if (!g_file_set_contents(path, run->world->journal->str, (gssize)run->world->journal->len,
                             &error)) {
        fprintf(stderr, "swiftsim: %s\n", error->message);
        return false;
    }
    return true;
}

static int run_once(const struct options *options)
{
    struct sim_run *run = sim_run_new(options->scenario, (uint64_t)options->seed, options->mutation,
                                      options->journal_path != NULL);
    struct checker_result result;
    g_autoptr(GArray) gaps = g_array_new(FALSE, FALSE, sizeof(struct measure_gap));
    struct measure_gap gap;
    int code = 1;

    if (open_trace(run, options->trace_path, options->trace_ms)) {
        sim_run_execute(run);
        checker_evaluate(run, &result);
        print_result(&result, run->seed);
        gap = measure_first_gap(run);
        if (gap.found) {
            g_array_append_val(gaps, gap);
            measure_print(gaps, options->scenario->name);
        }
        if (write_journal(run, options->journal_path) && result.total == 0) {
            code = 0;
        }
        checker_result_clear(&result);
    }
    if (run->trace != NULL) {
        fclose(run->trace);
    }
    sim_run_free(run);
    return code;
}

int run_main(int argc, char **argv)
{
    struct options options = {.seed = 1};
    int code = 2;

    if (parse(&options, argc, argv, "Runs a scenario once and judges its history.")) {
        code = run_once(&options);
    }
    clear(&options);
    return code;
}

/* Runs one seed without output, except for violations. */
static bool seed_passes(const struct options *options, uint64_t seed, GArray *gaps,
                        uint64_t *lost_reads)
{
    struct sim_run *run = sim_run_new(options->scenario, seed, options->mutation, false);
    struct checker_result result;
    struct measure_gap gap;
    bool passes;

    sim_run_execute(run);
    checker_evaluate(run, &result);
    gap = measure_first_gap(run);
    if (gap.found) {
        g_array_append_val(gaps, gap);
    }
    *lost_reads += result.reads_reverted;
    passes = result.total == 0;
    if (!passes) {
        print_result(&result, seed);
    }
    checker_result_clear(&result);
    sim_run_free(run);
    return passes;
}

static int explore(const struct options *options)
{
    uint64_t first;
    uint64_t last;
    uint64_t lost_reads = 0;
    g_autoptr(GArray) gaps = g_array_new(FALSE, FALSE, sizeof(struct measure_gap));

    if (options->seeds == NULL ||
        sscanf(options->seeds, "%" G_GUINT64_FORMAT "..%" G_GUINT64_FORMAT, &first, &last) != 2) {
        fprintf(stderr, "swiftsim: --seeds A..B is needed\n");
        return 2;
    }
    for (uint64_t seed = first; seed <= last; seed++) {
        if (!seed_passes(options, seed, gaps, &lost_reads)) {
            printf("%s: first failing seed is %" G_GUINT64_FORMAT "\n", options->scenario->name,
                   seed);
            return 1;
        }
    }
    printf("%s: seeds %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT " pass; %" G_GUINT64_FORMAT
           " reads missed an unconfirmed write that an earlier read saw\n",
           options->scenario->name, first, last, lost_reads);
    if (gaps->len > 0) {
        measure_print(gaps, options->scenario->name);
    }
    return 0;
}

int explore_main(int argc, char **argv)
{
    struct options options = {.seed = 1};
    int code = 2;

    if (parse(&options, argc, argv, "Runs a scenario over seeds until one fails.")) {
        code = explore(&options);
    }
    clear(&options);
    return code;
}
