/* Metrics in the Prometheus text format 0.0.4. There is no C client library for Prometheus in
 * Debian, so this small registry stands in its place: counters, gauges and histograms whose labels
 * are fixed when they are made.
 *
 * Threads: metrics are made, updated and rendered by any thread. Updates are single atomic
 * operations; a rendering is no single moment. All metrics live as long as their registry. */
#ifndef SW_FRONTEND_METRICS_H
#define SW_FRONTEND_METRICS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* Upper bounds of one histogram, at most. */
#define METRIC_BUCKETS_MAX 32

struct metrics;
struct metric_counter;
struct metric_gauge;
struct metric_histogram;

/* A label; a list of them ends with a NULL name. */
struct metric_label {
    const char *name;
    const char *value;
};

struct metrics *metrics_new(void);

/* No thread may use the registry or its metrics any more. */
void metrics_free(struct metrics *metrics);

/* Each makes a metric, or finds the one of the same name and labels. `labels` may be NULL. All
 * metrics of one name have one type and one help text; names are those of Prometheus. */
struct metric_counter *metrics_counter(struct metrics *metrics, const char *name, const char *help,
                                       const struct metric_label *labels);
struct metric_gauge *metrics_gauge(struct metrics *metrics, const char *name, const char *help,
                                   const struct metric_label *labels);

/* `bounds` are the upper bounds of the buckets, ascending; one of +Inf is added. */
struct metric_histogram *metrics_histogram(struct metrics *metrics, const char *name,
                                           const char *help, const struct metric_label *labels,
                                           const double *bounds, size_t bound_count);

/* A gauge whose value is asked for when it is rendered, under the registry's lock. */
void metrics_gauge_function(struct metrics *metrics, const char *name, const char *help,
                            const struct metric_label *labels, double (*read)(void *user),
                            void *user);

void metric_counter_add(struct metric_counter *counter, uint64_t amount);
void metric_gauge_set(struct metric_gauge *gauge, int64_t value);
void metric_gauge_add(struct metric_gauge *gauge, int64_t amount);
void metric_histogram_observe(struct metric_histogram *histogram, double value);

uint64_t metric_counter_value(const struct metric_counter *counter);
int64_t metric_gauge_value(const struct metric_gauge *gauge);
uint64_t metric_histogram_count(const struct metric_histogram *histogram);

/* Families whose series come and go: they are made at each rendering. */
enum metric_family_type {
    METRIC_FAMILY_COUNTER,
    METRIC_FAMILY_GAUGE,
};

/* Has `collect` append whole families after all others, by the two functions below. It is called on
 * the thread that renders, without the registry's lock. One collector for each registry, set before
 * the first rendering. */
void metrics_collector(struct metrics *metrics, void (*collect)(GString *out, void *user),
                       void *user);

/* Begins a family. No other metric may have its name. */
void metrics_append_head(GString *out, const char *name, const char *help,
                         enum metric_family_type type);

/* Appends one series of the family begun last. */
void metrics_append_sample(GString *out, const char *name, const struct metric_label *labels,
                           double value);

/* Appends all metrics, in the order in which their names were first used. */
void metrics_render(struct metrics *metrics, GString *out);

#endif
