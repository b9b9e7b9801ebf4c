/* The metrics registry and its text format. */
#include "frontend/metrics.h"

#include <pthread.h>
#include <string.h>

#define THREADS          4
#define UPDATES_A_THREAD 10000

static void assert_rendered(struct metrics *metrics, const char *expected)
{
    g_autoptr(GString) out = g_string_new(NULL);
    metrics_render(metrics, out);
    g_assert_cmpstr(out->str, ==, expected);
}

static double read_value(void *user)
{
    return *(const double *)user;
}

static void test_text(void)
{
    struct metrics *metrics = metrics_new();
    const struct metric_label read[] = {{"access", "read"}, {"zone", "a\"\\\n"}, {NULL, NULL}};
    const struct metric_label write[] = {{"access", "write"}, {NULL, NULL}};
    struct metric_counter *reads = metrics_counter(metrics, "requests_total", "All.\nOr \\", read);
    struct metric_gauge *depth = metrics_gauge(metrics, "queue_depth", "Depth.", NULL);
    metrics_counter(metrics, "requests_total", "All.\nOr \\", write);
    double lag = 0.25;
    metrics_gauge_function(metrics, "lag_seconds", "Lag.", NULL, read_value, &lag);
    metric_counter_add(reads, 3);
    metric_gauge_set(depth, 5);
    metric_gauge_add(depth, -7);
    assert_rendered(metrics, "# HELP requests_total All.\\nOr \\\\\n"
                             "# TYPE requests_total counter\n"
                             "requests_total{access=\"read\",zone=\"a\\\"\\\\\\n\"} 3\n"
                             "requests_total{access=\"write\"} 0\n"
                             "# HELP queue_depth Depth.\n"
                             "# TYPE queue_depth gauge\n"
                             "queue_depth -2\n"
                             "# HELP lag_seconds Lag.\n"
                             "# TYPE lag_seconds gauge\n"
                             "lag_seconds 0.25\n");
    metrics_free(metrics);
}

/* A collector that appends two series of one family. */
static void append_series(GString *out, void *user)
{
    const struct metric_label labels[] = {{"database", "a\""}, {NULL, NULL}};
    metrics_append_head(out, "opened_total", "Opened.", METRIC_FAMILY_COUNTER);
    metrics_append_sample(out, "opened_total", labels, *(const double *)user);
    metrics_append_head(out, "limit", "Limit.", METRIC_FAMILY_GAUGE);
    metrics_append_sample(out, "limit", NULL, 0.5);
}

static void test_collector(void)
{
    struct metrics *metrics = metrics_new();
    double opened = 3;
    metrics_gauge(metrics, "depth", "Depth.", NULL);
    metrics_collector(metrics, append_series, &opened);
    assert_rendered(metrics, "# HELP depth Depth.\n"
                             "# TYPE depth gauge\n"
                             "depth 0\n"
                             "# HELP opened_total Opened.\n"
                             "# TYPE opened_total counter\n"
                             "opened_total{database=\"a\\\"\"} 3\n"
                             "# HELP limit Limit.\n"
                             "# TYPE limit gauge\n"
                             "limit 0.5\n");
    metrics_free(metrics);
}

static void test_histogram(void)
{
    struct metrics *metrics = metrics_new();
    const double bounds[] = {0.1, 1, 2.5};
    const struct metric_label labels[] = {{"kind", "x"}, {NULL, NULL}};
    struct metric_histogram *plain =
        metrics_histogram(metrics, "plain_seconds", "Plain.", NULL, bounds, 3);
    struct metric_histogram *labelled =
        metrics_histogram(metrics, "labelled_seconds", "Labelled.", labels, bounds, 2);
    const double values[] = {0.05, 0.1, 0.5, 2.5, 3};
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        metric_histogram_observe(plain, values[i]);
    }
    metric_histogram_observe(labelled, 1);
    g_assert_cmpuint(metric_histogram_count(plain), ==, 5);
    assert_rendered(metrics, "# HELP plain_seconds Plain.\n"
                             "# TYPE plain_seconds histogram\n"
                             "plain_seconds_bucket{le=\"0.1\"} 2\n"
                             "plain_seconds_bucket{le=\"1\"} 3\n"
                             "plain_seconds_bucket{le=\"2.5\"} 4\n"
                             "plain_seconds_bucket{le=\"+Inf\"} 5\n"
                             "plain_seconds_sum 6.15\n"
                             "plain_seconds_count 5\n"
                             "# HELP labelled_seconds Labelled.\n"
                             "# TYPE labelled_seconds histogram\n"
                             "labelled_seconds_bucket{kind=\"x\",le=\"0.1\"} 0\n"
                             "labelled_seconds_bucket{kind=\"x\",le=\"1\"} 1\n"
                             "labelled_seconds_bucket{kind=\"x\",le=\"+Inf\"} 1\n"
                             "labelled_seconds_sum{kind=\"x\"} 1\n"
                             "labelled_seconds_count{kind=\"x\"} 1\n");
    metrics_free(metrics);
}

static void test_existing_metric(void)
{
    struct metrics *metrics = metrics_new();
    const struct metric_label labels[] = {{"a", "b"}, {NULL, NULL}};
    struct metric_counter *counter = metrics_counter(metrics, "x_total", "X.", labels);
    g_assert_true(metrics_counter(metrics, "x_total", "X.", labels) == counter);
    g_assert_true(metrics_counter(metrics, "x_total", "X.", NULL) != counter);
    metrics_free(metrics);
}

struct updates {
    struct metrics *metrics;
    struct metric_counter *counter;
    struct metric_gauge *gauge;
    struct metric_histogram *histogram;
};

static void *update(void *data)
{
    const struct updates *updates = data;
    for (size_t i = 0; i < UPDATES_A_THREAD; i++) {
        metric_counter_add(updates->counter, 1);
        metric_gauge_add(updates->gauge, i % 2 == 0 ? 1 : -1);
        metric_histogram_observe(updates->histogram, 0.5);
        if (i % 1000 == 0) {
            g_autoptr(GString) out = g_string_new(NULL);
            metrics_render(updates->metrics, out);
        }
    }
    return NULL;
}

static void test_threads(void)
{
    struct metrics *metrics = metrics_new();
    const double bounds[] = {1};
    struct updates updates = {metrics, metrics_counter(metrics, "c_total", "C.", NULL),
                              metrics_gauge(metrics, "g", "G.", NULL),
                              metrics_histogram(metrics, "h", "H.", NULL, bounds, 1)};
    pthread_t threads[THREADS];
    for (size_t i = 0; i < THREADS; i++) {
        pthread_create(&threads[i], NULL, update, &updates);
    }
    for (size_t i = 0; i < THREADS; i++) {
        pthread_join(threads[i], NULL);
    }
    g_assert_cmpuint(metric_counter_value(updates.counter), ==, THREADS * UPDATES_A_THREAD);
    g_assert_cmpint(metric_gauge_value(updates.gauge), ==, 0);
    g_assert_cmpuint(metric_histogram_count(updates.histogram), ==, THREADS * UPDATES_A_THREAD);
    g_autoptr(GString) out = g_string_new(NULL);
    metrics_render(metrics, out);
    g_assert_nonnull(strstr(out->str, "h_sum 20000\n"));
    metrics_free(metrics);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/metrics/text", test_text);
    g_test_add_func("/metrics/collector", test_collector);
    g_test_add_func("/metrics/histogram", test_histogram);
    g_test_add_func("/metrics/existing-metric", test_existing_metric);
    g_test_add_func("/metrics/threads", test_threads);
    return g_test_run();
}
