/* Command line of the hollow fleet. */
#include "sim/scale.h"

#include "sim/scale_day.h"
#include "sim/scale_fault.h"
#include "sim/scale_fleet.h"
#include "sim/scale_report.h"

#include <stdio.h>

/* Databases of the target, and daemons before them. */
#define TARGET_DATABASES 1700
#define TARGET_DAEMONS   760

/* Hollow daemons that one process takes. */
#define DAEMONS_MAX 20000

struct arguments {
    gint daemons;
    gint databases;
    gint seed;
    gdouble minutes;
    gboolean quiet;
    gint configuration_changes;
    gint restarts;
    gint failures;
    gint primary_changes;
    gint watched_groups;
    gchar *fault;
    gint repeats;
    gdouble outage_minutes;
    gint store_rate;
    gdouble forward_seconds;
    gboolean no_control;
    gchar *commit;
};

static bool parse(struct arguments *arguments, int *argc, char ***argv, GError **error)
{
    GOptionEntry entries[] = {
        {"daemons", 'n', 0, G_OPTION_ARG_INT, &arguments->daemons, "hollow daemons", "N"},
        {"databases", 'm', 0, G_OPTION_ARG_INT, &arguments->databases,
         "databases; in proportion to the target if not given", "M"},
        {"seed", 's', 0, G_OPTION_ARG_INT, &arguments->seed, "seed of the run", "S"},
        {"minutes", 't', 0, G_OPTION_ARG_DOUBLE, &arguments->minutes, "virtual minutes", "T"},
        {"quiet", 'q', 0, G_OPTION_ARG_NONE, &arguments->quiet, "a day without events", NULL},
        {"configuration-changes", 0, 0, G_OPTION_ARG_INT, &arguments->configuration_changes,
         "instead of the day's number", "N"},
        {"restarts", 0, 0, G_OPTION_ARG_INT, &arguments->restarts, "instead of the day's number",
         "N"},
        {"failures", 0, 0, G_OPTION_ARG_INT, &arguments->failures, "instead of the day's number",
         "N"},
        {"primary-changes", 0, 0, G_OPTION_ARG_INT, &arguments->primary_changes,
         "instead of the day's number", "N"},
        {"watched-groups", 0, 0, G_OPTION_ARG_INT, &arguments->watched_groups,
         "measure one watcher of so many groups instead of a fleet", "N"},
        {"fault", 0, 0, G_OPTION_ARG_STRING, &arguments->fault,
         "one kind of fault instead of a day: primary, coordinator, rack, switch, zone, region, "
         "store",
         "KIND"},
        {"repeats", 0, 0, G_OPTION_ARG_INT, &arguments->repeats, "faults of the kind", "N"},
        {"outage", 0, 0, G_OPTION_ARG_DOUBLE, &arguments->outage_minutes,
         "virtual minutes that a region or switch is cut off", "T"},
        {"store-rate", 0, 0, G_OPTION_ARG_INT, &arguments->store_rate,
         "reads that the store answers in a second; 0: all", "N"},
        {"forward-seconds", 0, 0, G_OPTION_ARG_DOUBLE, &arguments->forward_seconds,
         "each daemon forwards on every group this often", "S"},
        {"no-control", 0, 0, G_OPTION_ARG_NONE, &arguments->no_control,
         "leave out the control of groups", NULL},
        {"commit", 0, 0, G_OPTION_ARG_STRING, &arguments->commit, "commit named in the report",
         "ID"},
        G_OPTION_ENTRY_NULL,
    };
    g_autoptr(GOptionContext) context = g_option_context_new("- run a fleet of hollow daemons");
    g_option_context_add_main_entries(context, entries, NULL);
    return g_option_context_parse(context, argc, argv, error);
}

static bool check(const struct arguments *arguments)
{
    bool daemons = arguments->daemons > 0 && arguments->daemons <= DAEMONS_MAX;
    return daemons && arguments->databases >= 0 && arguments->minutes > 0 &&
           arguments->watched_groups >= 0 && arguments->repeats > 0 && arguments->store_rate >= 0 &&
           arguments->forward_seconds > 0;
}

static void override(uint32_t *number, gint given)
{
    if (given >= 0) {
        *number = (uint32_t)given;
    }
}

static time_ns from_minutes(gdouble minutes)
{
    return (time_ns)(minutes * 60 * (double)NANOSECONDS_PER_SECOND);
}

static const char *commit_of(const struct arguments *arguments)
{
    return arguments->commit == NULL ? "unknown" : arguments->commit;
}

static void choose_day(const struct arguments *arguments, struct scale_day_options *day)
{
    time_ns length = from_minutes(arguments->minutes);
    if (arguments->quiet) {
        scale_day_options_quiet(day, length);
    } else {
        scale_day_options_for(day, (uint32_t)arguments->daemons, length);
    }
    override(&day->configuration_changes, arguments->configuration_changes);
    override(&day->restarts, arguments->restarts);
    override(&day->failures, arguments->failures);
    override(&day->primary_changes, arguments->primary_changes);
}

/* True if all settled and no limit was broken. */
static bool outcome_is_good(struct scale_fleet *fleet, const struct scale_day_outcome *outcome,
                            bool loses_zone)
{
    const struct scale_measures *measures = scale_fleet_measures(fleet);
    bool viewed = outcome->views_differing == 0 || loses_zone;
    bool changed = measures->changes_unfinished == 0 && measures->changes_unlearned == 0;
    return changed && outcome->stragglers == 0 && outcome->not_serving == 0 && viewed &&
           measures->budget_violations == 0;
}

static struct scale_fleet *make_fleet(const struct arguments *arguments)
{
    struct scale_fleet_options options;
    scale_fleet_options_default(&options, (uint32_t)arguments->daemons,
                                (uint32_t)arguments->databases, (uint32_t)arguments->seed);
    options.watch.enabled = !arguments->no_control;
    options.store_rate = (uint32_t)arguments->store_rate;
    options.forward_interval =
        (time_ns)(arguments->forward_seconds * (double)NANOSECONDS_PER_SECOND);
    return scale_fleet_new(&options);
}

/* Prints the run's report; its exit code. */
static int report_run(struct scale_fleet *fleet, const struct scale_day_options *day,
                      const struct scale_day_outcome *outcome,
                      const struct scale_report_run *report)
{
    bool loses_zone = report->fault != NULL && report->fault->kind == SCALE_FAULT_ZONE;
    g_autofree char *line = scale_report_line(fleet, day, outcome, report);
    printf("%s\n", line);
    return outcome_is_good(fleet, outcome, loses_zone) ? 0 : 1;
}

static int run_day(const struct arguments *arguments, struct scale_report_run report)
{
    struct scale_day_options day;
    struct scale_day_outcome outcome;
    choose_day(arguments, &day);
    g_autoptr(GTimer) timer = g_timer_new();
    struct scale_fleet *fleet = make_fleet(arguments);
    scale_day_run(fleet, &day, &outcome);
    report.wall_seconds = g_timer_elapsed(timer, NULL);
    int status = report_run(fleet, &day, &outcome, &report);
    scale_fleet_free(fleet);
    return status;
}

static int run_fault(const struct arguments *arguments, struct scale_report_run report)
{
    struct scale_fault_options options = {
        .repeats = (uint32_t)arguments->repeats,
        .outage = from_minutes(arguments->outage_minutes),
    };
    if (!scale_fault_find(arguments->fault, &options.kind)) {
        fprintf(stderr, "scale: no such fault: %s\n", arguments->fault);
        return 2;
    }
    struct scale_day_options none;
    struct scale_fault_outcome outcome;
    scale_day_options_quiet(&none, 0);
    g_autoptr(GTimer) timer = g_timer_new();
    struct scale_fleet *fleet = make_fleet(arguments);
    scale_fault_run(fleet, &options, &outcome);
    report.wall_seconds = g_timer_elapsed(timer, NULL);
    report.fault = &outcome;
    int status = report_run(fleet, &none, &outcome.day, &report);
    scale_fleet_free(fleet);
    return status;
}

static int run(const struct arguments *arguments, const char *command)
{
    struct scale_report_run report = {
        .commit = commit_of(arguments),
        .command = command,
        .databases = (uint32_t)arguments->databases,
        .seed = (uint32_t)arguments->seed,
    };
    return arguments->fault == NULL ? run_day(arguments, report) : run_fault(arguments, report);
}

/* Between two probes of a database, and probes in a second, as the settings have it by default. */
#define PROBE_INTERVAL    (100 * NANOSECONDS_PER_MILLISECOND)
#define PROBES_PER_SECOND 40

static int run_watcher(const struct arguments *arguments, const char *command)
{
    uint32_t databases = (uint32_t)arguments->watched_groups * SCALE_GROUP_DATABASES;
    time_ns spread = databases * NANOSECONDS_PER_SECOND / PROBES_PER_SECOND;
    struct scale_watch_options options = {
        .groups = (uint32_t)arguments->watched_groups,
        .length = from_minutes(arguments->minutes),
        .probe_interval = MAX(PROBE_INTERVAL, spread),
    };
    g_autoptr(GTimer) timer = g_timer_new();
    struct scale_watch_measures measures;
    scale_watch_run(&options, &measures);
    struct scale_report_run report = {
        .commit = commit_of(arguments),
        .command = command,
        .wall_seconds = g_timer_elapsed(timer, NULL),
    };
    g_autofree char *line = scale_report_watch_line(&options, &measures, &report);
    printf("%s\n", line);
    return 0;
}

int scale_main(int argc, char **argv)
{
    struct arguments arguments = {
        .daemons = 48,
        .databases = -1,
        .seed = 1,
        .minutes = 10,
        .configuration_changes = -1,
        .restarts = -1,
        .failures = -1,
        .primary_changes = -1,
        .repeats = 1,
        .outage_minutes = 3,
        .forward_seconds = 2,
    };
    g_autofree char *arguments_text = g_strjoinv(" ", argv);
    g_autofree char *command = g_strdup_printf("swiftsim %s", arguments_text);
    g_autoptr(GError) error = NULL;
    if (!parse(&arguments, &argc, &argv, &error)) {
        fprintf(stderr, "scale: %s\n", error->message);
        return 2;
    }
    if (arguments.databases < 0) {
        arguments.databases = arguments.daemons * TARGET_DATABASES / TARGET_DAEMONS;
    }
    if (!check(&arguments)) {
        fprintf(stderr, "scale: a number is out of range\n");
        return 2;
    }
    int status =
        arguments.watched_groups > 0 ? run_watcher(&arguments, command) : run(&arguments, command);
    g_free(arguments.commit);
    g_free(arguments.fault);
    return status;
}
