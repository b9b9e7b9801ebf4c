/* swiftsim overload: goodput as a function of the load, as a table or as JSON lines. */
#include "sim/overload.h"

#include <stdio.h>

static const double FACTORS[] = {0.5, 0.75, 1, 1.5, 2, 3, 4};

struct options {
    char *scenario_path;
    double first_share;
    double retry_after_share;
    double factor; /* the only load to run; 0: all loads of the curve */
    gint64 seed;
    gboolean json;
    struct sim_scenario *scenario;
};

static bool parse(struct options *options, int argc, char **argv)
{
    const GOptionEntry entries[] = {
        {"scenario", 0, 0, G_OPTION_ARG_FILENAME, &options->scenario_path, "Scenario file", "F"},
        {"seed", 0, 0, G_OPTION_ARG_INT64, &options->seed, "Seed of the runs", "N"},
        {"factor", 0, 0, G_OPTION_ARG_DOUBLE, &options->factor,
         "Only this load, as a multiple of the capacity", "X"},
        {"first-share", 0, 0, G_OPTION_ARG_DOUBLE, &options->first_share,
         "Share of the clients that send to the first owner", "X"},
        {"patient-share", 0, 0, G_OPTION_ARG_DOUBLE, &options->retry_after_share,
         "Share of the clients that honour Retry-After", "X"},
        {"json", 0, 0, G_OPTION_ARG_NONE, &options->json, "Print JSON lines instead of a table",
         NULL},
        G_OPTION_ENTRY_NULL,
    };
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_autoptr(GError) error = NULL;

    g_option_context_set_summary(context, "Loads a group beyond its capacity.");
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
    return true;
}

static double milliseconds(time_ns time)
{
    return (double)time / (double)SIM_MILLISECOND;
}

static void print_title(const struct options *options)
{
    if (!options->json) {
        printf("%-7s %-6s %6s %9s %9s %8s %8s %9s %9s %9s %6s %9s %8s %6s %8s %8s\n", "group",
               "work", "load", "offered/s", "goodput/s", "p50 ms", "p99 ms", "refused", "ref.p50",
               "ref.p99", "lost", "given up", "recov.ms", "slots", "running", "messages");
    }
}

static void print_row(const struct options *options, const struct overload_options *run,
                      const struct overload_result *result)
{
    const char *work = run->writes ? "writes" : "reads";

    if (options->json) {
        printf("{\"group\": \"%s\", \"work\": \"%s\", \"factor\": %g, \"capacity_per_s\": %.1f, "
               "\"offered_per_s\": %.1f, \"goodput_per_s\": %.1f, \"done_p50_ms\": %.2f, "
               "\"done_p99_ms\": %.2f, \"attempts\": %" G_GUINT64_FORMAT
               ", \"refused\": %" G_GUINT64_FORMAT ", \"refused_p50_ms\": %.2f, "
               "\"refused_p99_ms\": %.2f, \"lost\": %" G_GUINT64_FORMAT
               ", \"given_up\": %" G_GUINT64_FORMAT ", \"recovery_ms\": %.1f, \"slots\": %u, "
               "\"slots_peak\": %u, \"running_peak\": %u, \"messages_per_s\": %.1f}\n",
               options->scenario->name, work, run->factor, result->capacity_per_s,
               result->offered_per_s, result->goodput_per_s, milliseconds(result->done_p50),
               milliseconds(result->done_p99), result->attempts, result->refused,
               milliseconds(result->refused_p50), milliseconds(result->refused_p99), result->lost,
               result->given_up, milliseconds(result->recovery), result->slots, result->slots_peak,
               result->running_peak, result->messages_per_s);
        return;
    }
    printf("%-7s %-6s %6.2f %9.1f %9.1f %8.1f %8.1f %9" G_GUINT64_FORMAT
           " %9.1f %9.1f %6" G_GUINT64_FORMAT " %9" G_GUINT64_FORMAT " %8.0f %2u/%-3u %8u %8.1f\n",
           options->scenario->name, work, run->factor, result->offered_per_s, result->goodput_per_s,
           milliseconds(result->done_p50), milliseconds(result->done_p99), result->refused,
           milliseconds(result->refused_p50), milliseconds(result->refused_p99), result->lost,
           result->given_up, milliseconds(result->recovery), result->slots_peak, result->slots,
           result->running_peak, result->messages_per_s);
}

/* Prints a curve; returns the goodput at the highest load as a part of the highest goodput. */
static double print_curve(const struct options *options, bool writes)
{
    double highest = 0;
    double last = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(FACTORS); i++) {
        struct overload_options run = {
            .scenario = options->scenario,
            .seed = (uint64_t)options->seed,
            .writes = writes,
            .factor = options->factor > 0 ? options->factor : FACTORS[i],
            .first_share = options->first_share,
            .retry_after_share = options->retry_after_share,
        };
        struct overload_result result;

        overload_run(&run, &result);
        print_row(options, &run, &result);
        highest = MAX(highest, result.goodput_per_s);
        last = result.goodput_per_s;
        if (options->factor > 0) {
            break;
        }
    }
    return last / highest;
}

int overload_main(int argc, char **argv)
{
    struct options options = {.seed = 1, .retry_after_share = 0.7};
    bool parsed = parse(&options, argc, argv);

    if (parsed) {
        print_title(&options);
        for (int writes = 0; writes <= 1; writes++) {
            double ratio = print_curve(&options, writes == 1);

            if (!options.json && options.factor == 0) {
                printf("%s: goodput at the highest load is %.3f of its peak\n",
                       writes == 1 ? "writes" : "reads", ratio);
            }
        }
        sim_scenario_free(options.scenario);
    }
    g_free(options.scenario_path);
    return parsed ? 0 : 2;
}
