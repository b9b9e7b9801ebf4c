/* Figures of a run. See summary.h. */
#include "load/summary.h"

#include <string.h>

#include "core/types.h"

struct summary *summary_new(uint64_t started_ns, uint64_t gap_threshold_ns)
{
    struct summary *summary = g_new0(struct summary, 1);
    summary->started_ns = started_ns;
    summary->gap_threshold_ns = gap_threshold_ns;
    summary->last_acknowledged_ns = started_ns;
    summary->by_error = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    summary->gaps = g_array_new(FALSE, TRUE, sizeof(struct write_gap));
    summary->seconds = g_array_new(FALSE, TRUE, sizeof(struct summary_second));
    return summary;
}

void summary_free(struct summary *summary)
{
    if (summary == NULL) {
        return;
    }
    g_hash_table_unref(summary->by_error);
    g_array_unref(summary->gaps);
    g_array_unref(summary->seconds);
    g_free(summary);
}

static uint64_t elapsed(uint64_t from_ns, uint64_t to_ns)
{
    return to_ns > from_ns ? to_ns - from_ns : 0;
}

static void count_error(struct summary *summary, const char *error)
{
    uint64_t *count = g_hash_table_lookup(summary->by_error, error);
    if (count == NULL) {
        count = g_new0(uint64_t, 1);
        g_hash_table_insert(summary->by_error, g_strdup(error), count);
    }
    (*count)++;
}

static void end_gap(struct summary *summary, uint64_t now_ns)
{
    uint64_t length = elapsed(summary->last_acknowledged_ns, now_ns);
    summary->longest_gap_ns = MAX(summary->longest_gap_ns, length);
    if (length > summary->gap_threshold_ns) {
        struct write_gap gap = {
            .start_ns = elapsed(summary->started_ns, summary->last_acknowledged_ns),
            .length_ns = length,
        };
        g_array_append_val(summary->gaps, gap);
    }
    summary->last_acknowledged_ns = MAX(summary->last_acknowledged_ns, now_ns);
}

static void add_done(struct summary *summary, const struct history_record *record)
{
    uint64_t latency = elapsed(record->sent_ns, record->answered_ns);
    if (operation_is_write(record->kind)) {
        histogram_record(&summary->write_latency, latency);
        end_gap(summary, record->answered_ns);
    } else {
        histogram_record(&summary->read_latency, latency);
        bool by_replica = g_strcmp0(record->served_by.role, "replica") == 0;
        summary->reads_by_replica += by_replica;
        summary->reads_by_primary += !by_replica;
    }
    if (record->due_ns != 0) {
        histogram_record(&summary->due_latency, elapsed(record->due_ns, record->answered_ns));
    }
}

static struct summary_second *second_of(struct summary *summary, uint64_t now_ns)
{
    guint index = (guint)(elapsed(summary->started_ns, now_ns) / NANOSECONDS_PER_SECOND);
    if (index >= summary->seconds->len) {
        g_array_set_size(summary->seconds, index + 1);
    }
    return &g_array_index(summary->seconds, struct summary_second, index);
}

void summary_add(struct summary *summary, const struct history_record *record)
{
    summary->attempts++;
    summary->writes += operation_is_write(record->kind);
    summary->by_outcome[record->outcome]++;
    if (record->error != NULL) {
        count_error(summary, record->error);
    }
    struct summary_second *second = second_of(summary, record->answered_ns);
    if (record->outcome == ATTEMPT_DONE) {
        second->done++;
        add_done(summary, record);
    } else {
        second->not_done++;
    }
}

void summary_end(struct summary *summary, uint64_t ended_ns)
{
    if (summary->writes > 0) {
        end_gap(summary, ended_ns);
    }
}

static void add_integer(JsonBuilder *builder, const char *name, uint64_t value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_int_value(builder, (gint64)value);
}

static void add_milliseconds(JsonBuilder *builder, const char *name, uint64_t value_ns)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_double_value(builder, (double)value_ns / (double)NANOSECONDS_PER_MILLISECOND);
}

static void add_histogram(JsonBuilder *builder, const char *name, const struct histogram *histogram)
{
    json_builder_set_member_name(builder, name);
    json_builder_begin_object(builder);
    add_integer(builder, "count", histogram->total);
    add_milliseconds(builder, "p50_ms", histogram_quantile(histogram, 0.50));
    add_milliseconds(builder, "p90_ms", histogram_quantile(histogram, 0.90));
    add_milliseconds(builder, "p99_ms", histogram_quantile(histogram, 0.99));
    add_milliseconds(builder, "max_ms", histogram->maximum);
    json_builder_end_object(builder);
}

static void add_counts(JsonBuilder *builder, const struct summary *summary)
{
    add_integer(builder, "requests", summary->attempts);
    json_builder_set_member_name(builder, "by_outcome");
    json_builder_begin_object(builder);
    for (int outcome = 0; outcome < ATTEMPT_OUTCOME_COUNT; outcome++) {
        add_integer(builder, attempt_outcome_name((enum attempt_outcome)outcome),
                    summary->by_outcome[outcome]);
    }
    json_builder_end_object(builder);
    json_builder_set_member_name(builder, "by_error");
    json_builder_begin_object(builder);
    GHashTableIter iterator;
    gpointer error;
    gpointer count;
    g_hash_table_iter_init(&iterator, summary->by_error);
    while (g_hash_table_iter_next(&iterator, &error, &count)) {
        add_integer(builder, error, *(uint64_t *)count);
    }
    json_builder_end_object(builder);
    add_integer(builder, "abandoned_operations", summary->abandoned);
}

static void add_replica_share(JsonBuilder *builder, const struct summary *summary)
{
    uint64_t reads = summary->reads_by_replica + summary->reads_by_primary;
    json_builder_set_member_name(builder, "reads");
    json_builder_begin_object(builder);
    add_integer(builder, "by_replica", summary->reads_by_replica);
    add_integer(builder, "by_primary", summary->reads_by_primary);
    json_builder_set_member_name(builder, "replica_share");
    if (reads > 0) {
        json_builder_add_double_value(builder, (double)summary->reads_by_replica / (double)reads);
    } else {
        json_builder_add_null_value(builder);
    }
    json_builder_end_object(builder);
}

static void add_gaps(JsonBuilder *builder, const struct summary *summary)
{
    json_builder_set_member_name(builder, "write_gaps");
    json_builder_begin_object(builder);
    add_milliseconds(builder, "longest_ms", summary->longest_gap_ns);
    add_milliseconds(builder, "threshold_ms", summary->gap_threshold_ns);
    json_builder_set_member_name(builder, "over_threshold");
    json_builder_begin_array(builder);
    for (guint i = 0; i < summary->gaps->len; i++) {
        const struct write_gap *gap = &g_array_index(summary->gaps, struct write_gap, i);
        json_builder_begin_object(builder);
        add_milliseconds(builder, "start_ms", gap->start_ns);
        add_milliseconds(builder, "length_ms", gap->length_ns);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
}

static void add_seconds(JsonBuilder *builder, const struct summary *summary)
{
    json_builder_set_member_name(builder, "seconds");
    json_builder_begin_array(builder);
    for (guint i = 0; i < summary->seconds->len; i++) {
        const struct summary_second *second =
            &g_array_index(summary->seconds, struct summary_second, i);
        json_builder_begin_object(builder);
        add_integer(builder, "done", second->done);
        add_integer(builder, "not_done", second->not_done);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
}

JsonNode *summary_to_json(const struct summary *summary, uint64_t ended_ns)
{
    double seconds =
        (double)elapsed(summary->started_ns, ended_ns) / (double)NANOSECONDS_PER_SECOND;
    g_autoptr(JsonBuilder) builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "duration_s");
    json_builder_add_double_value(builder, seconds);
    json_builder_set_member_name(builder, "done_per_s");
    double done = (double)summary->by_outcome[ATTEMPT_DONE];
    json_builder_add_double_value(builder, seconds > 0 ? done / seconds : 0);
    add_counts(builder, summary);
    add_replica_share(builder, summary);
    add_histogram(builder, "read_latency", &summary->read_latency);
    add_histogram(builder, "write_latency", &summary->write_latency);
    add_histogram(builder, "due_latency", &summary->due_latency);
    add_gaps(builder, summary);
    add_seconds(builder, summary);
    json_builder_end_object(builder);
    return json_builder_get_root(builder);
}
