/* Tests of the histogram and of a run's figures. */
#include "core/types.h"
#include "load/summary.h"

#define MILLISECOND NANOSECONDS_PER_MILLISECOND
#define STARTED_NS  (UINT64_C(1000) * NANOSECONDS_PER_SECOND)

static void add(struct summary *summary, enum operation_kind kind, enum attempt_outcome outcome,
                const char *role, uint64_t sent_ms, uint64_t answered_ms)
{
    struct history_record record = {
        .kind = kind,
        .outcome = outcome,
        .served_by.role = (char *)role,
        .sent_ns = STARTED_NS + sent_ms * MILLISECOND,
        .answered_ns = STARTED_NS + answered_ms * MILLISECOND,
    };
    summary_add(summary, &record);
}

static void test_histogram_quantiles(void)
{
    struct histogram histogram = {0};
    for (uint64_t i = 1; i <= 1000; i++) {
        histogram_record(&histogram, i * MILLISECOND);
    }
    double median = (double)histogram_quantile(&histogram, 0.5) / MILLISECOND;
    double high = (double)histogram_quantile(&histogram, 0.99) / MILLISECOND;
    g_assert_cmpfloat_with_epsilon(median, 500, 500.0 / HISTOGRAM_SUBDIVISIONS);
    g_assert_cmpfloat_with_epsilon(high, 990, 990.0 / HISTOGRAM_SUBDIVISIONS);
    g_assert_cmpuint(histogram_quantile(&histogram, 1), ==, 1000 * MILLISECOND);
}

static void test_histogram_extremes(void)
{
    struct histogram histogram = {0};
    g_assert_cmpuint(histogram_quantile(&histogram, 0.5), ==, 0);
    histogram_record(&histogram, 0);
    histogram_record(&histogram, UINT64_MAX);
    g_assert_cmpuint(histogram_quantile(&histogram, 0.5), ==, 0);
    g_assert_cmpuint(histogram_quantile(&histogram, 1), ==, UINT64_MAX);
}

static void test_gaps(void)
{
    struct summary *summary = summary_new(STARTED_NS, 100 * MILLISECOND);
    add(summary, OPERATION_ENTRY, ATTEMPT_DONE, "primary", 0, 10);
    add(summary, OPERATION_ENTRY, ATTEMPT_REFUSED, NULL, 20, 400);
    add(summary, OPERATION_READ, ATTEMPT_DONE, "replica", 20, 500);
    add(summary, OPERATION_ENTRY, ATTEMPT_DONE, "primary", 900, 910);
    add(summary, OPERATION_ENTRY, ATTEMPT_DONE, "primary", 915, 1000);
    summary_end(summary, STARTED_NS + 1200 * MILLISECOND);
    g_assert_cmpuint(summary->longest_gap_ns, ==, 900 * MILLISECOND);
    g_assert_cmpuint(summary->gaps->len, ==, 2);
    const struct write_gap *gap = &g_array_index(summary->gaps, struct write_gap, 0);
    g_assert_cmpuint(gap->start_ns, ==, 10 * MILLISECOND);
    g_assert_cmpuint(gap->length_ns, ==, 900 * MILLISECOND);
    summary_free(summary);
}

/* If no write is ever acknowledged, the gap spans the whole run. */
static void test_gap_without_any_acknowledgement(void)
{
    struct summary *summary = summary_new(STARTED_NS, 100 * MILLISECOND);
    add(summary, OPERATION_ENTRY, ATTEMPT_LOST, NULL, 0, 50);
    summary_end(summary, STARTED_NS + 700 * MILLISECOND);
    g_assert_cmpuint(summary->longest_gap_ns, ==, 700 * MILLISECOND);
    summary_free(summary);
}

static void test_read_only_run_has_no_gap(void)
{
    struct summary *summary = summary_new(STARTED_NS, 100 * MILLISECOND);
    add(summary, OPERATION_READ, ATTEMPT_DONE, "replica", 0, 50);
    summary_end(summary, STARTED_NS + 700 * MILLISECOND);
    g_assert_cmpuint(summary->longest_gap_ns, ==, 0);
    g_assert_cmpuint(summary->gaps->len, ==, 0);
    summary_free(summary);
}

/* Only successful reads count, and a read without a reported role counts as served by the primary.
 */
static void test_replica_share(void)
{
    struct summary *summary = summary_new(STARTED_NS, 100 * MILLISECOND);
    add(summary, OPERATION_READ, ATTEMPT_DONE, "replica", 0, 5);
    add(summary, OPERATION_READ, ATTEMPT_DONE, "replica", 0, 5);
    add(summary, OPERATION_READ, ATTEMPT_DONE, "primary", 0, 5);
    add(summary, OPERATION_READ, ATTEMPT_DONE, NULL, 0, 5);
    add(summary, OPERATION_READ, ATTEMPT_REFUSED, "replica", 0, 5);
    add(summary, OPERATION_ENTRY, ATTEMPT_DONE, "primary", 0, 5);
    uint64_t ended_ns = STARTED_NS + NANOSECONDS_PER_SECOND;
    summary_end(summary, ended_ns);
    g_autoptr(JsonNode) node = summary_to_json(summary, ended_ns);
    JsonObject *reads = json_object_get_object_member(json_node_get_object(node), "reads");
    g_assert_cmpfloat(json_object_get_double_member(reads, "replica_share"), ==, 0.5);
    summary_free(summary);
}

int main(int count, char **arguments)
{
    g_test_init(&count, &arguments, NULL);
    g_test_add_func("/load/histogram/quantiles", test_histogram_quantiles);
    g_test_add_func("/load/histogram/extremes", test_histogram_extremes);
    g_test_add_func("/load/summary/gaps", test_gaps);
    g_test_add_func("/load/summary/gap_without_any_acknowledgement",
                    test_gap_without_any_acknowledgement);
    g_test_add_func("/load/summary/read_only_run_has_no_gap", test_read_only_run_has_no_gap);
    g_test_add_func("/load/summary/replica_share", test_replica_share);
    return g_test_run();
}
