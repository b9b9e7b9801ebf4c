/* A registry of metrics in the Prometheus text format 0.0.4, used because Debian has no C client
 * library for Prometheus. It has counters, gauges and histograms; their labels are fixed when they
 * are created.
 *
 * Threads: any thread may create, update and render metrics. Updates are single atomic operations,
 * so a rendering is not a consistent snapshot. All metrics live as long as their registry. */
#ifndef SW_FRONTEND_METRICS_H
#define SW_FRONTEND_METRICS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* Maximum number of upper bounds of one histogram. */
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

/* Frees the registry and its metrics, which no thread may use any more. */
void metrics_free(struct metrics *metrics);

/* Each creates a metric, or returns the existing one with the same name and labels. `labels` may be
 * NULL. All metrics of one name must have the same type and help text. Names must be valid in
 * Prometheus. */
struct metric_counter *metrics_counter(struct metrics *metrics, const char *name, const char *help,
                                       const struct metric_label *labels);
struct metric_gauge *metrics_gauge(struct metrics *metrics, const char *name, const char *help,
                                   const struct metric_label *labels);

/* `bounds` are the upper bounds of the buckets, ascending; a bucket for +Inf is added. */
struct metric_histogram *metrics_histogram(struct metrics *metrics, const char *name,
                                           const char *help, const struct metric_label *labels,
                                           const double *bounds, size_t bound_count);

/* A gauge whose value is obtained by `read` at each rendering, under the registry's lock. */
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

/* Types of families that a collector renders, because their series change over time. */
enum metric_family_type {
    METRIC_FAMILY_COUNTER,
    METRIC_FAMILY_GAUGE,
};

/* Sets a function that appends complete families after all others, with the two functions below. It
 * is called on the rendering thread, without the registry's lock. A registry has at most one
 * collector, set before the first rendering. */
void metrics_collector(struct metrics *metrics, void (*collect)(GString *out, void *user),
                       void *user);

/* Begins a family. Its name must not be used by another metric. */
void metrics_append_head(GString *out, const char *name, const char *help,
                         enum metric_family_type type);

/* Appends one sample of the family begun last. */
void metrics_append_sample(GString *out, const char *name, const struct metric_label *labels,
                           double value);

/* Appends all metrics, in the order in which their names were first used. */
void metrics_render(struct metrics *metrics, GString *out);

#endif
