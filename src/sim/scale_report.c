/* Formats the measures of a run as one line of JSON. Rates are per daemon and virtual second that
 * the daemon ran. Byte counts are of encoded messages, without UDP, TCP and IP headers. */
#include "sim/scale_report.h"

#include <json-glib/json-glib.h>
#include <sys/resource.h>

/* Bytes of a probe and its reply, without TCP and IP headers, as a real daemon sends them
 * (bench/capacity.py, docs/CAPACITY.md); and the IPv4 and UDP headers of a datagram. */
#define PROBE_BYTES  189
#define HEADER_BYTES 28

/* One figure over all daemons. */
struct spread {
    double sum;
    double most;
    uint32_t count;
};

static void spread_add(struct spread *spread, double value)
{
    spread->sum += value;
    spread->most = MAX(spread->most, value);
    spread->count++;
}

static void add_number(JsonBuilder *builder, const char *name, double value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_double_value(builder, value);
}

static void add_count(JsonBuilder *builder, const char *name, uint64_t value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_int_value(builder, (gint64)value);
}

static void add_text(JsonBuilder *builder, const char *name, const char *value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_string_value(builder, value);
}

static void begin_object(JsonBuilder *builder, const char *name)
{
    json_builder_set_member_name(builder, name);
    json_builder_begin_object(builder);
}

static void add_spread(JsonBuilder *builder, const char *name, const struct spread *spread)
{
    begin_object(builder, name);
    add_number(builder, "mean", spread->count == 0 ? 0 : spread->sum / spread->count);
    add_number(builder, "max", spread->most);
    json_builder_end_object(builder);
}

/* Percentiles in milliseconds. */
static void add_samples(JsonBuilder *builder, const char *name, struct scale_samples *samples)
{
    const double to_ms = 1.0 / (double)NANOSECONDS_PER_MILLISECOND;
    begin_object(builder, name);
    add_count(builder, "samples", samples->values->len);
    add_number(builder, "p50_ms", (double)scale_samples_percentile(samples, 0.50) * to_ms);
    add_number(builder, "p99_ms", (double)scale_samples_percentile(samples, 0.99) * to_ms);
    add_number(builder, "worst_ms", (double)scale_samples_percentile(samples, 1.00) * to_ms);
    json_builder_end_object(builder);
}

static void add_run(JsonBuilder *builder, struct scale_fleet *fleet,
                    const struct scale_day_options *day, const struct scale_report_run *run)
{
    add_text(builder, "commit", run->commit);
    add_text(builder, "command", run->command);
    add_count(builder, "daemons", scale_fleet_daemons(fleet));
    add_count(builder, "databases", run->databases);
    add_count(builder, "groups", scale_fleet_groups(fleet));
    add_count(builder, "seed", run->seed);
    add_number(builder, "virtual_seconds", (double)day->length / (double)NANOSECONDS_PER_SECOND);
    add_count(builder, "failures", day->failures);
    add_count(builder, "restarts", day->restarts);
    add_count(builder, "primary_changes", day->primary_changes);
    add_count(builder, "configuration_changes", day->configuration_changes);
}

/* Rates of traffic, by class and in all. */
static void add_traffic(JsonBuilder *builder, const struct scale_fleet *fleet)
{
    struct spread messages[SCALE_TRAFFIC_COUNT + 1] = {0};
    struct spread bytes[SCALE_TRAFFIC_COUNT + 1] = {0};
    struct spread received = {0};
    struct spread received_bytes = {0};
    struct spread store_reads = {0};
    struct spread probes = {0};
    struct spread control = {0};
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i++) {
        struct scale_counters counters = scale_fleet_counters(fleet, i);
        if (counters.running == 0) {
            continue;
        }
        double seconds = (double)counters.running / (double)NANOSECONDS_PER_SECOND;
        double all_messages = 0;
        double all_bytes = 0;
        for (int traffic = 0; traffic < SCALE_TRAFFIC_COUNT; traffic++) {
            spread_add(&messages[traffic], (double)counters.sent[traffic] / seconds);
            spread_add(&bytes[traffic], (double)counters.sent_bytes[traffic] / seconds);
            all_messages += (double)counters.sent[traffic] / seconds;
            all_bytes += (double)counters.sent_bytes[traffic] / seconds;
        }
        spread_add(&messages[SCALE_TRAFFIC_COUNT], all_messages);
        spread_add(&bytes[SCALE_TRAFFIC_COUNT], all_bytes);
        spread_add(&received, (double)counters.received / seconds);
        spread_add(&received_bytes, (double)counters.received_bytes / seconds);
        spread_add(&store_reads, (double)counters.store_reads / seconds);
        spread_add(&probes, (double)counters.probes / seconds);
        spread_add(&control, all_bytes + HEADER_BYTES * all_messages +
                                 PROBE_BYTES * (double)counters.probes / seconds);
    }
    for (int traffic = 0; traffic <= SCALE_TRAFFIC_COUNT; traffic++) {
        bool all = traffic == SCALE_TRAFFIC_COUNT;
        begin_object(builder, all ? "all" : scale_traffic_name((enum scale_traffic)traffic));
        add_spread(builder, "messages_per_s", &messages[traffic]);
        add_spread(builder, "octets_per_s", &bytes[traffic]);
        json_builder_end_object(builder);
    }
    add_spread(builder, "received_per_s", &received);
    add_spread(builder, "received_octets_per_s", &received_bytes);
    add_spread(builder, "store_reads_per_s", &store_reads);
    add_spread(builder, "probes_per_s", &probes);
    add_spread(builder, "control_octets_per_s", &control);
}

static void add_processor(JsonBuilder *builder, const struct scale_fleet *fleet)
{
    struct spread core = {0};
    struct spread codec = {0};
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i++) {
        struct scale_counters counters = scale_fleet_counters(fleet, i);
        if (counters.running == 0) {
            continue;
        }
        double running = (double)counters.running;
        spread_add(&core, 100.0 * (double)counters.core_ns / running);
        spread_add(&codec, 100.0 * (double)counters.codec_ns / running);
    }
    add_spread(builder, "core_percent_of_a_core", &core);
    add_spread(builder, "codec_percent_of_a_core", &codec);
}

static void add_state(JsonBuilder *builder, const struct scale_fleet *fleet)
{
    struct spread parts[SCALE_PART_COUNT + 1] = {0};
    struct spread owned = {0};
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i++) {
        size_t bytes[SCALE_PART_COUNT] = {0};
        if (!scale_fleet_state(fleet, i, bytes)) {
            continue;
        }
        double all = 0;
        for (int part = 0; part < SCALE_PART_COUNT; part++) {
            spread_add(&parts[part], (double)bytes[part]);
            all += (double)bytes[part];
        }
        spread_add(&parts[SCALE_PART_COUNT], all);
        spread_add(&owned, scale_fleet_groups_owned(fleet, i));
    }
    for (int part = 0; part <= SCALE_PART_COUNT; part++) {
        bool all = part == SCALE_PART_COUNT;
        add_spread(builder, all ? "all" : scale_part_name((enum scale_part)part), &parts[part]);
    }
    add_spread(builder, "groups_owned", &owned);
}

static void add_measures(JsonBuilder *builder, struct scale_fleet *fleet)
{
    struct scale_measures *measures = scale_fleet_measures(fleet);
    add_samples(builder, "configuration", &measures->configuration);
    add_samples(builder, "configuration_everywhere", &measures->configuration_all);
    add_samples(builder, "configuration_after_heal", &measures->configuration_healed);
    add_samples(builder, "primary", &measures->status);
    add_samples(builder, "primary_everywhere", &measures->status_all);
    add_samples(builder, "primary_after_heal", &measures->status_healed);
    add_samples(builder, "change_detect", &measures->change_detect);
    add_samples(builder, "change_fence", &measures->change_fence);
    add_samples(builder, "change_promote", &measures->change_promote);
    add_samples(builder, "change_learn", &measures->change_learn);
    add_samples(builder, "change_whole", &measures->change_whole);
    add_count(builder, "changes_blocked", measures->changes_blocked);
    add_count(builder, "primaries_suspected", measures->primaries_suspected);
    add_count(builder, "changes_unfinished", measures->changes_unfinished);
    add_count(builder, "changes_unlearned", measures->changes_uninformed);
    add_count(builder, "changes_unneeded", measures->changes_unneeded);
    add_samples(builder, "death_noticed", &measures->death_detected);
    add_samples(builder, "leave_noticed", &measures->leave_detected);
    add_count(builder, "suspicions", measures->suspicions);
    add_count(builder, "false_suspicions", measures->false_suspicions);
    add_count(builder, "false_deaths", measures->false_deaths);
    add_count(builder, "stopped_serving", measures->stops);
    add_count(builder, "budget_violations", measures->budget_violations);
    add_count(builder, "connections_most", measures->connections_max);
    add_count(builder, "numbers_refused", measures->numbers_refused);
}

static void add_outcome(JsonBuilder *builder, const struct scale_day_outcome *outcome,
                        const struct scale_report_run *run)
{
    add_count(builder, "running_at_end", outcome->running);
    add_count(builder, "configuration_stragglers", outcome->outdated_daemons);
    add_count(builder, "not_serving_at_end", outcome->not_serving);
    add_count(builder, "views_differing_at_end", outcome->views_differing);
    struct rusage usage;
    getrusage(RUSAGE_SELF, &usage);
    add_count(builder, "process_peak_kb", (uint64_t)usage.ru_maxrss);
    add_number(builder, "wall_seconds", run->wall_seconds);
}

static void add_fault(JsonBuilder *builder, const struct scale_fault_outcome *fault)
{
    begin_object(builder, "fault");
    add_text(builder, "kind", scale_fault_name(fault->kind));
    add_count(builder, "repeats", fault->repeats);
    add_number(builder, "outage_s", (double)fault->outage / (double)NANOSECONDS_PER_SECOND);
    add_count(builder, "settled", fault->settled);
    add_number(builder, "settle_ms",
               (double)fault->settle_time / (double)NANOSECONDS_PER_MILLISECOND);
    add_count(builder, "daemons_hit", fault->daemons_affected);
    add_count(builder, "daemons_hit_serving", fault->affected_serving);
    add_count(builder, "daemons_others_serving", fault->others_serving);
    add_count(builder, "groups_hit_led", fault->affected_led);
    add_count(builder, "groups_others_led", fault->others_led);
    add_count(builder, "groups_hit", fault->groups_affected);
    add_count(builder, "state_octets_most", fault->state_bytes_max);
    add_count(builder, "store_reads", fault->store_reads);
    add_count(builder, "store_refused", fault->store_refused);
    json_builder_end_object(builder);
}

char *scale_report_line(struct scale_fleet *fleet, const struct scale_day_options *day,
                        const struct scale_day_outcome *outcome, const struct scale_report_run *run)
{
    g_autoptr(JsonBuilder) builder = json_builder_new();
    json_builder_begin_object(builder);
    add_run(builder, fleet, day, run);
    begin_object(builder, "sent");
    add_traffic(builder, fleet);
    json_builder_end_object(builder);
    begin_object(builder, "processor");
    add_processor(builder, fleet);
    json_builder_end_object(builder);
    begin_object(builder, "state_octets");
    add_state(builder, fleet);
    json_builder_end_object(builder);
    add_measures(builder, fleet);
    add_outcome(builder, outcome, run);
    if (run->fault != NULL) {
        add_fault(builder, run->fault);
    }
    json_builder_end_object(builder);
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    return json_to_string(root, FALSE);
}

char *scale_report_watch_line(const struct scale_watch_options *options,
                              const struct scale_watch_measures *measures,
                              const struct scale_report_run *run)
{
    g_autoptr(JsonBuilder) builder = json_builder_new();
    json_builder_begin_object(builder);
    add_text(builder, "role", "watcher");
    add_text(builder, "commit", run->commit);
    add_text(builder, "command", run->command);
    add_count(builder, "groups", options->groups);
    add_number(builder, "virtual_seconds",
               (double)options->length / (double)NANOSECONDS_PER_SECOND);
    add_number(builder, "probes_per_s", measures->probes);
    add_number(builder, "opinions_per_s", measures->opinions);
    add_number(builder, "opinion_octets_per_s", measures->opinion_bytes);
    add_number(builder, "core_percent_of_a_core", measures->core_percent);
    add_number(builder, "codec_percent_of_a_core", measures->codec_percent);
    add_number(builder, "state_octets", measures->state_bytes);
    add_number(builder, "wall_seconds", run->wall_seconds);
    json_builder_end_object(builder);
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    return json_to_string(root, FALSE);
}
