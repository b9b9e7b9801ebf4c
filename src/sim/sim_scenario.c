/* Parser of scenario files: GLib key files with the groups [scenario], [network], [database],
 * [clients], [expect], and [fault N]. Durations are in milliseconds, with fractions. */
#include "sim/sim_scenario.h"

#include <string.h>

#include "core/error.h"
#include "generated/errors.h"

static const char *const FAULT_KIND_NAMES[SIM_FAULT_COUNT] = {
    [SIM_FAULT_KILL_DATABASE] = "kill_database",
    [SIM_FAULT_FORGET_DATABASE] = "forget_database",
    [SIM_FAULT_PAUSE_DATABASE] = "pause_database",
    [SIM_FAULT_LAG_DATABASE] = "lag_database",
    [SIM_FAULT_HOLD_DATABASE] = "hold_database",
    [SIM_FAULT_LOSE_REQUESTS] = "lose_requests",
    [SIM_FAULT_LOSE_ANSWERS] = "lose_answers",
    [SIM_FAULT_CUT_ZONE] = "cut_zone",
    [SIM_FAULT_CUT_ZONE_OUT] = "cut_zone_out",
    [SIM_FAULT_CUT_ZONE_IN] = "cut_zone_in",
    [SIM_FAULT_CUT_PAIR] = "cut_pair",
    [SIM_FAULT_CUT_REPLICATION] = "cut_replication",
    [SIM_FAULT_KILL_DAEMON] = "kill_daemon",
    [SIM_FAULT_PAUSE_DAEMON] = "pause_daemon",
    [SIM_FAULT_DRAIN] = "drain",
    [SIM_FAULT_UNDRAIN] = "undrain",
};

static const char *const TRIGGER_NAMES[SIM_TRIGGER_COUNT] = {
    [SIM_TRIGGER_TIME] = "time",
    [SIM_TRIGGER_FENCE_STARTED] = "fence_started",
    [SIM_TRIGGER_FENCE_MAJORITY] = "fence_majority",
    [SIM_TRIGGER_PROMOTED] = "promoted",
    [SIM_TRIGGER_CHANGE_STARTED] = "change_started",
    [SIM_TRIGGER_WRITE_SENT] = "write_sent",
    [SIM_TRIGGER_BEFORE_ANSWER] = "before_answer",
};

static const char *const TARGET_NAMES[SIM_TARGET_COUNT] = {
    [SIM_TARGET_RANDOM] = "random",   [SIM_TARGET_INDEX] = "index",
    [SIM_TARGET_PRIMARY] = "primary", [SIM_TARGET_REPLICA] = "replica",
    [SIM_TARGET_ACTOR] = "actor",     [SIM_TARGET_ALL] = "all",
};

/* A key file being parsed; after the first error the rest is skipped. */
struct reader {
    GKeyFile *file;
    const char *group;
    GError **error;
    bool failed;
};

const char *sim_fault_kind_name(enum sim_fault_kind kind)
{
    return FAULT_KIND_NAMES[kind];
}

static void fail(struct reader *reader, const char *key, const char *text)
{
    if (!reader->failed) {
        g_set_error(reader->error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION, "[%s] %s: %s",
                    reader->group, key, text);
    }
    reader->failed = true;
}

static bool has(const struct reader *reader, const char *key)
{
    return !reader->failed && g_key_file_has_key(reader->file, reader->group, key, NULL);
}

static double read_double(struct reader *reader, const char *key, double fallback)
{
    g_autoptr(GError) error = NULL;
    double value;

    if (!has(reader, key)) {
        return fallback;
    }
    value = g_key_file_get_double(reader->file, reader->group, key, &error);
    if (error != NULL || value < 0) {
        fail(reader, key, "not a number");
    }
    return value;
}

static uint32_t read_count(struct reader *reader, const char *key, uint32_t fallback,
                           uint32_t minimum, uint32_t maximum)
{
    double value = read_double(reader, key, fallback);

    if (!reader->failed && (value < minimum || value > maximum)) {
        fail(reader, key, "out of range");
    }
    return (uint32_t)value;
}

static time_ns read_duration(struct reader *reader, const char *key, double fallback_ms)
{
    return (time_ns)(read_double(reader, key, fallback_ms) * (double)SIM_MILLISECOND);
}

static bool read_bool(struct reader *reader, const char *key, bool fallback)
{
    if (!has(reader, key)) {
        return fallback;
    }
    return g_key_file_get_boolean(reader->file, reader->group, key, NULL);
}

static uint32_t read_name(struct reader *reader, const char *key, const char *const *names,
                          uint32_t count, const char *fallback)
{
    g_autofree char *value = NULL;

    if (has(reader, key)) {
        value = g_key_file_get_string(reader->file, reader->group, key, NULL);
    }
    for (uint32_t i = 0; i < count; i++) {
        if (g_strcmp0(value == NULL ? fallback : value, names[i]) == 0) {
            return i;
        }
    }
    fail(reader, key, "unknown name");
    return 0;
}

static void read_scenario_group(struct reader *reader, struct sim_scenario *scenario)
{
    reader->group = "scenario";
    scenario->description = g_key_file_get_string(reader->file, "scenario", "description", NULL);
    scenario->duration = read_duration(reader, "duration_ms", 15000);
    scenario->settle = read_duration(reader, "settle_ms", 15000);
    scenario->zones = read_count(reader, "zones", 3, 1, SIM_ZONES_MAX);
    scenario->daemons = read_count(reader, "daemons", 3, 1, GROUP_DATABASES_MAX);
    scenario->databases = read_count(reader, "databases", 3, 1, GROUP_DATABASES_MAX);
}

static void read_network_group(struct reader *reader, struct sim_network_options *network)
{
    reader->group = "network";
    network->latency = read_duration(reader, "latency_ms", 1.5);
    network->local_latency = read_duration(reader, "local_latency_ms", 0.2);
    network->jitter = read_duration(reader, "jitter_ms", 0.3);
    network->datagram_loss = read_double(reader, "datagram_loss", 0);
    network->stream_stall = read_double(reader, "stream_stall", 0);
    network->stall_time = read_duration(reader, "stall_ms", 200);
    network->cut_holds = read_double(reader, "cut_holds", 0.5);
}

static void read_database_group(struct reader *reader, struct sim_database_options *database)
{
    reader->group = "database";
    database->slots = read_count(reader, "slots", 5, 1, SIM_SLOTS_MAX);
    database->shared = read_count(reader, "shared", 1, 1, SIM_SHARED_MAX);
    database->service_time = read_duration(reader, "service_ms", 1);
    database->service_spread = read_double(reader, "service_spread", 0);
    database->open_time = read_duration(reader, "open_ms", 10);
    database->apply_delay = read_duration(reader, "apply_delay_ms", 2);
    database->hold_delay = read_duration(reader, "hold_delay_ms", 0);
}

static void read_clients_group(struct reader *reader, struct sim_scenario *scenario)
{
    reader->group = "clients";
    scenario->clients = read_count(reader, "count", 6, 0, 1000);
    scenario->writers = read_bool(reader, "writers", true);
    scenario->client_latency = read_duration(reader, "latency_ms", 1);
    scenario->think_time = read_duration(reader, "think_ms", 20);
    scenario->request_deadline = read_duration(reader, "deadline_ms", 5000);
    scenario->read_share = read_double(reader, "read_share", 0.4);
    scenario->unkeyed_share = read_double(reader, "unkeyed_share", 0.3);
    scenario->transaction_share = read_double(reader, "transaction_share", 0);
    scenario->transaction_time = read_duration(reader, "transaction_ms", 500);
    scenario->same_key_share = read_double(reader, "same_key_share", 0.05);
    scenario->reused_key_share = read_double(reader, "reused_key_share", 0.02);
}

static void read_expect_group(struct reader *reader, struct sim_expectations *expect)
{
    reader->group = "expect";
    expect->no_failover = read_bool(reader, "no_failover", false);
    expect->write_gap_max = read_duration(reader, "write_gap_max_ms", 0);
    expect->failovers_max = read_count(reader, "failovers_max", 0, 0, 1000);
    expect->leaving_bound = read_duration(reader, "leaving_bound_ms", 3000);
    expect->no_failed_requests = read_bool(reader, "no_failed_requests", false);
}

static void read_fault_group(struct reader *reader, struct sim_fault *fault)
{
    fault->kind =
        read_name(reader, "kind", FAULT_KIND_NAMES, SIM_FAULT_COUNT, "none: kind is needed");
    fault->trigger = read_name(reader, "trigger", TRIGGER_NAMES, SIM_TRIGGER_COUNT, "time");
    fault->target = read_name(reader, "target", TARGET_NAMES, SIM_TARGET_COUNT, "random");
    fault->index = read_count(reader, "index", 0, 0, GROUP_DATABASES_MAX);
    fault->at = read_duration(reader, "at_ms", 3000);
    fault->at_spread = read_duration(reader, "at_spread_ms", 0);
    fault->duration = read_duration(reader, "duration_ms", 0);
    fault->every = read_duration(reader, "every_ms", 0);
    fault->amount = read_duration(reader, "amount_ms", 0);
    fault->probability = read_double(reader, "probability", 0);
    fault->skip = read_count(reader, "skip", 0, 0, 1000000);
}

static void read_faults(struct reader *reader, struct sim_scenario *scenario)
{
    g_auto(GStrv) groups = g_key_file_get_groups(reader->file, NULL);

    for (uint32_t i = 0; groups[i] != NULL; i++) {
        if (!g_str_has_prefix(groups[i], "fault")) {
            continue;
        }
        reader->group = groups[i];
        if (scenario->fault_count == SIM_FAULTS_MAX) {
            fail(reader, "kind", "too many faults");
            return;
        }
        read_fault_group(reader, &scenario->faults[scenario->fault_count]);
        scenario->fault_count += 1;
    }
}

struct sim_scenario *sim_scenario_load(const char *path, GError **error)
{
    g_autoptr(GKeyFile) file = g_key_file_new();
    g_autofree char *base = g_path_get_basename(path);
    struct sim_scenario *scenario;
    struct reader reader = {.file = file, .error = error};

    if (!g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, error)) {
        return NULL;
    }
    scenario = g_new0(struct sim_scenario, 1);
    if (g_str_has_suffix(base, ".ini")) {
        base[strlen(base) - strlen(".ini")] = '\0';
    }
    scenario->name = g_strdup(base);
    read_scenario_group(&reader, scenario);
    read_network_group(&reader, &scenario->network);
    read_database_group(&reader, &scenario->database);
    read_clients_group(&reader, scenario);
    read_expect_group(&reader, &scenario->expect);
    read_faults(&reader, scenario);
    if (reader.failed) {
        sim_scenario_free(scenario);
        return NULL;
    }
    return scenario;
}

void sim_scenario_free(struct sim_scenario *scenario)
{
    g_free(scenario->name);
    g_free(scenario->description);
    g_free(scenario);
}
