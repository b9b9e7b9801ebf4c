/* A log-linear histogram of durations, in the manner of HdrHistogram (whose C library is not in
 * Debian 12): each power of two is split into equal parts, so the relative error is bounded. */
#ifndef SW_LOAD_HISTOGRAM_H
#define SW_LOAD_HISTOGRAM_H

#include <stdint.h>

/* Parts per power of two: a value is off by at most 1 part in 64. */
#define HISTOGRAM_SUBDIVISION_BITS 6
#define HISTOGRAM_SUBDIVISIONS     (1U << HISTOGRAM_SUBDIVISION_BITS)
#define HISTOGRAM_BUCKETS          ((64U - HISTOGRAM_SUBDIVISION_BITS + 1U) * HISTOGRAM_SUBDIVISIONS)

/* Counts of durations in nanoseconds. Zeroed memory is an empty histogram. No locks. */
struct histogram {
    uint64_t counts[HISTOGRAM_BUCKETS];
    uint64_t total;
    uint64_t maximum;
};

void histogram_record(struct histogram *histogram, uint64_t value);

/* The smallest recorded bound that `fraction` (0 to 1) of the values don't exceed; 0 if empty. */
uint64_t histogram_quantile(const struct histogram *histogram, double fraction);

#endif
