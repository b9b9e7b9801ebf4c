/* A log-linear histogram of durations, like HdrHistogram (whose C library Debian 12 does not have):
 * each power of two is divided into equal parts, which bounds the relative error. */
#ifndef SW_LOAD_HISTOGRAM_H
#define SW_LOAD_HISTOGRAM_H

#include <stdint.h>

/* Binary logarithm of the parts per power of two: a value is off by at most 1 part in 64. */
#define HISTOGRAM_SUBDIVISION_BITS 6
#define HISTOGRAM_SUBDIVISIONS     (1U << HISTOGRAM_SUBDIVISION_BITS)
#define HISTOGRAM_BUCKETS          ((64U - HISTOGRAM_SUBDIVISION_BITS + 1U) * HISTOGRAM_SUBDIVISIONS)

/* Counts of durations in nanoseconds. Zeroed memory is an empty histogram. Not synchronised. */
struct histogram {
    uint64_t counts[HISTOGRAM_BUCKETS];
    uint64_t total;
    uint64_t maximum;
};

void histogram_record(struct histogram *histogram, uint64_t value);

/* The smallest bucket bound that `fraction` (0 to 1) of the values do not exceed; 0 if empty. */
uint64_t histogram_quantile(const struct histogram *histogram, double fraction);

#endif
