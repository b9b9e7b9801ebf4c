/* Counters and histograms; see the header. */
#include "pooler/shared/metrics.h"

#include <inttypes.h>

const uint32_t metrics_bucket_ms[METRICS_BUCKETS - 1] = {2,   5,   10,  20,   50,  100,
                                                         150, 250, 500, 1000, 2000};

static const char *const counter_names[METRICS_COUNTER_COUNT] = {
    [METRICS_SESSIONS_OPENED] = "sessions_opened",
    [METRICS_SESSIONS_CLOSED] = "sessions_closed",
    [METRICS_CONNECTIONS_OPENED] = "database_connections_opened",
    [METRICS_CONNECTIONS_FAILED] = "database_connections_failed",
    [METRICS_CONNECTIONS_BROKEN] = "database_connections_broken",
    [METRICS_READS_AT_PRIMARY] = "reads_at_primary",
    [METRICS_READS_AT_REPLICA] = "reads_at_replica",
    [METRICS_RETRIES] = "statements_moved",
    [METRICS_LAGGING] = "replicas_lagging",
    [METRICS_PERMIT_MISSING] = "read_permits_missing",
    [METRICS_QUEUED] = "statements_queued",
    [METRICS_FORWARDED] = "forwarded",
    [METRICS_SERVED_FOR_OTHERS] = "served_for_others",
    [METRICS_FORWARD_BYTES] = "forward_bytes_sent",
    [METRICS_FORWARD_BYTES_RECEIVED] = "forward_bytes_received",
    [METRICS_TOKEN_BYTES] = "token_bytes_sent",
    [METRICS_PING_BYTES] = "sign_bytes_sent",
    [METRICS_OPENED_READY] = "database_connections_opened_ready",
    [METRICS_OPENED_STATEMENT] = "database_connections_opened_statement",
    [METRICS_OPENED_AHEAD] = "database_connections_opened_ahead",
    [METRICS_AHEAD_USED] = "database_connections_ahead_used",
    [METRICS_AHEAD_UNUSED] = "database_connections_ahead_unused",
    [METRICS_OPENED_PROOF] = "database_connections_opened_proof",
    [METRICS_OPENED_PROBE] = "database_connections_opened_probe",
    [METRICS_CONNECTIONS_REPLACED] = "database_connections_replaced",
    [METRICS_CONNECTIONS_REUSED] = "database_connections_found_open",
    [METRICS_REFUSED_KEYS] = "refused_unknown_key",
    [METRICS_REFUSED_RATE] = "refused_above_limit",
    [METRICS_REFUSED_NO_HOME] = "refused_without_home",
    [METRICS_READS_HELD] = "reads_held",
    [METRICS_WINDOWS_NARROWED] = "database_windows_narrowed",
    [METRICS_TOKENS_REQUESTED] = "tokens_asked",
    [METRICS_TOKENS_UNANSWERED] = "tokens_unanswered",
    [METRICS_TOKENS_HEDGED] = "tokens_hedged",
    [METRICS_TOKENS_LATE] = "tokens_late",
    [METRICS_REFUSED_UNPROVEN] = "refused_without_proof",
    [METRICS_OPERATIONS_LATE] = "operations_late",
    [METRICS_SESSIONS_CLOSED_PARTITIONED] = "clients_let_go",
    [METRICS_RETURNS_SERVED] = "returns_served",
    [METRICS_RETURNS_REFUSED] = "returns_refused",
};

static const char *const refusal_names[METRICS_REFUSAL_COUNT] = {
    [METRICS_REFUSAL_LATE] = "late",
    [METRICS_REFUSAL_DISPLACED] = "displaced",
    [METRICS_REFUSAL_PRIMARY_LOST] = "primary_lost",
    [METRICS_REFUSAL_WAITED] = "waited",
};

static const char *const refusal_texts[METRICS_REFUSAL_COUNT] = {
    [METRICS_REFUSAL_LATE] = "it would be late",
    [METRICS_REFUSAL_DISPLACED] = "more urgent ones came",
    [METRICS_REFUSAL_PRIMARY_LOST] = "the primary is out of reach",
    [METRICS_REFUSAL_WAITED] = "it has waited too long",
};

static const char *const route_names[METRICS_ROUTE_KINDS] = {
    [ROUTE_KIND_PRIMARY] = "primary",
    [ROUTE_KIND_BOUNDED_STALENESS] = "bounded_staleness",
    [ROUTE_KIND_READ_YOUR_WRITES] = "read_your_writes",
};

const char *
metrics_route_name(enum route_kind kind)
{
    return route_names[kind];
}

static void
increase(_Atomic uint64_t *counter, uint64_t by)
{
    atomic_fetch_add_explicit(counter, by, memory_order_relaxed);
}

static uint64_t
value_of(const _Atomic uint64_t *counter)
{
    return atomic_load_explicit(counter, memory_order_relaxed);
}

void
metrics_count(struct metrics *metrics, enum metrics_counter counter)
{
    increase(&metrics->counters[counter], 1);
}

void
metrics_count_by(struct metrics *metrics, enum metrics_counter counter, uint64_t by)
{
    increase(&metrics->counters[counter], by);
}

void
metrics_refuse(struct metrics *metrics, enum metrics_refusal why, uint32_t priority)
{
    increase(&metrics->refusals[why][MIN(priority, METRICS_PRIORITIES - 1)], 1);
}

const char *
metrics_refusal_text(enum metrics_refusal why)
{
    return refusal_texts[why];
}

static size_t
bucket_of(time_ns latency)
{
    size_t bucket = 0;
    while (bucket < METRICS_BUCKETS - 1 &&
           latency > metrics_bucket_ms[bucket] * NANOSECONDS_PER_MILLISECOND) {
        bucket++;
    }
    return bucket;
}

void
metrics_answer(struct metrics *metrics, enum route_kind kind, enum answer_code code,
               time_ns latency)
{
    increase(&metrics->answers[kind][code], 1);
    increase(&metrics->latency[kind][bucket_of(latency)], 1);
    increase(&metrics->latency_sum_us[kind], latency / NANOSECONDS_PER_MICROSECOND);
}

static void
count_stage(stage_metrics_t *stage, time_ns spent)
{
    increase(&stage->buckets[bucket_of(spent)], 1);
    increase(&stage->sum_us, spent / NANOSECONDS_PER_MICROSECOND);
}

void
metrics_operation(struct metrics *metrics, enum route_kind kind, uint32_t priority,
                  const operation_timing_t *timing)
{
    stage_metrics_t *stages = metrics->stages[kind][MIN(priority, METRICS_PRIORITIES - 1)];
    for (int stage = 0; stage < STAGE_COUNT; stage++) {
        count_stage(&stages[stage], timing->spent[stage]);
    }
    count_stage(&stages[STAGE_COUNT], operation_timing_total(timing));
}

static void
add_all(_Atomic uint64_t *sum, const _Atomic uint64_t *from, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        increase(&sum[i], value_of(&from[i]));
    }
}

static void
add_stages(struct metrics *sum, const struct metrics *metrics, int kind, int priority)
{
    for (int stage = 0; stage <= STAGE_COUNT; stage++) {
        stage_metrics_t *to = &sum->stages[kind][priority][stage];
        const stage_metrics_t *from = &metrics->stages[kind][priority][stage];
        add_all(to->buckets, from->buckets, METRICS_BUCKETS);
        increase(&to->sum_us, value_of(&from->sum_us));
    }
}

void
metrics_add(struct metrics *sum, const struct metrics *metrics)
{
    add_all(sum->counters, metrics->counters, METRICS_COUNTER_COUNT);
    for (int why = 0; why < METRICS_REFUSAL_COUNT; why++) {
        add_all(sum->refusals[why], metrics->refusals[why], METRICS_PRIORITIES);
    }
    for (int kind = 0; kind < METRICS_ROUTE_KINDS; kind++) {
        add_all(sum->answers[kind], metrics->answers[kind], ANSWER_CODE_COUNT);
        add_all(sum->latency[kind], metrics->latency[kind], METRICS_BUCKETS);
        increase(&sum->latency_sum_us[kind], value_of(&metrics->latency_sum_us[kind]));
        for (int priority = 0; priority < METRICS_PRIORITIES; priority++) {
            add_stages(sum, metrics, kind, priority);
        }
    }
}

/* Writes a histogram in seconds in Prometheus' text format. */
static void
print_histogram(const char *name, const char *labels, const _Atomic uint64_t *buckets,
                uint64_t sum_us, GString *out)
{
    uint64_t count = 0;
    for (int bucket = 0; bucket < METRICS_BUCKETS; bucket++) {
        count += value_of(&buckets[bucket]);
        g_autofree char *bound = bucket == METRICS_BUCKETS - 1
                                     ? g_strdup("+Inf")
                                     : g_strdup_printf("%g", metrics_bucket_ms[bucket] / 1000.0);
        g_string_append_printf(out, "swiftworks_%s_seconds_bucket{%s,le=\"%s\"} %" PRIu64 "\n",
                               name, labels, bound, count);
    }
    g_string_append_printf(out, "swiftworks_%s_seconds_count{%s} %" PRIu64 "\n", name, labels,
                           count);
    g_string_append_printf(out, "swiftworks_%s_seconds_sum{%s} %g\n", name, labels,
                           (double)sum_us / 1e6);
}

static void
print_latency(const struct metrics *metrics, int kind, GString *out)
{
    g_autofree char *labels = g_strdup_printf("route=\"%s\"", route_names[kind]);
    print_histogram("statement", labels, metrics->latency[kind],
                    value_of(&metrics->latency_sum_us[kind]), out);
}

/* Operations of one route kind and priority: total time, and time by stage where it is not zero. */
static void
print_operations(const struct metrics *metrics, int kind, int priority, GString *out)
{
    const stage_metrics_t *stages = metrics->stages[kind][priority];
    if (value_of(&stages[STAGE_COUNT].sum_us) == 0) {
        return;
    }
    g_autofree char *labels =
        g_strdup_printf("route=\"%s\",priority=\"%d\"", route_names[kind], priority);
    print_histogram("operation", labels, stages[STAGE_COUNT].buckets,
                    value_of(&stages[STAGE_COUNT].sum_us), out);
    for (int stage = 0; stage < STAGE_COUNT; stage++) {
        g_autofree char *with_stage = g_strdup_printf(
            "%s,stage=\"%s\"", labels, operation_stage_name((operation_stage_t)stage));
        if (value_of(&stages[stage].sum_us) > 0) {
            print_histogram("operation_stage", with_stage, stages[stage].buckets,
                            value_of(&stages[stage].sum_us), out);
        }
    }
}

static void
print_answers(const struct metrics *metrics, int kind, GString *out)
{
    for (int code = 0; code < ANSWER_CODE_COUNT; code++) {
        uint64_t count = value_of(&metrics->answers[kind][code]);
        if (count > 0) {
            g_string_append_printf(
                out, "swiftworks_answers_total{route=\"%s\",answer=\"%s\"} %" PRIu64 "\n",
                route_names[kind], answer_meaning((enum answer_code)code)->name, count);
        }
    }
}

static void
print_refusals(const struct metrics *metrics, GString *out)
{
    for (int why = 0; why < METRICS_REFUSAL_COUNT; why++) {
        for (int priority = 0; priority < METRICS_PRIORITIES; priority++) {
            uint64_t count = value_of(&metrics->refusals[why][priority]);
            if (count > 0) {
                g_string_append_printf(
                    out,
                    "swiftworks_refused_statements_total{reason=\"%s\",priority=\"%d\"} %" PRIu64
                    "\n",
                    refusal_names[why], priority, count);
            }
        }
    }
}

void
metrics_print(const struct metrics *metrics, GString *out)
{
    for (int counter = 0; counter < METRICS_COUNTER_COUNT; counter++) {
        g_string_append_printf(out, "swiftworks_%s_total %" PRIu64 "\n", counter_names[counter],
                               value_of(&metrics->counters[counter]));
    }
    print_refusals(metrics, out);
    for (int kind = 0; kind < METRICS_ROUTE_KINDS; kind++) {
        print_answers(metrics, kind, out);
        print_latency(metrics, kind, out);
        for (int priority = 0; priority < METRICS_PRIORITIES; priority++) {
            print_operations(metrics, kind, priority, out);
        }
    }
}
