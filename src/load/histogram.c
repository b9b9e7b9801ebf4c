/* Log-linear histogram. See histogram.h. */
#include "load/histogram.h"

#include <math.h>

static uint32_t bucket_of(uint64_t value)
{
    if (value < HISTOGRAM_SUBDIVISIONS) {
        return (uint32_t)value;
    }
    uint32_t exponent = 63U - (uint32_t)__builtin_clzll(value);
    uint32_t shift = exponent - HISTOGRAM_SUBDIVISION_BITS;
    uint32_t part = (uint32_t)(value >> shift) - HISTOGRAM_SUBDIVISIONS;
    return (shift + 1U) * HISTOGRAM_SUBDIVISIONS + part;
}

/* The largest value that belongs to a bucket. */
static uint64_t bucket_upper_bound(uint32_t bucket)
{
    if (bucket < HISTOGRAM_SUBDIVISIONS) {
        return bucket;
    }
    uint32_t shift = bucket / HISTOGRAM_SUBDIVISIONS - 1U;
    uint64_t part = bucket % HISTOGRAM_SUBDIVISIONS + HISTOGRAM_SUBDIVISIONS;
    return ((part + 1U) << shift) - 1U;
}

void histogram_record(struct histogram *histogram, uint64_t value)
{
    histogram->counts[bucket_of(value)]++;
    histogram->total++;
    if (value > histogram->maximum) {
        histogram->maximum = value;
    }
}

uint64_t histogram_quantile(const struct histogram *histogram, double fraction)
{
    uint64_t rank = (uint64_t)ceil(fraction * (double)histogram->total);
    uint64_t seen = 0;
    for (uint32_t bucket = 0; bucket < HISTOGRAM_BUCKETS; bucket++) {
        seen += histogram->counts[bucket];
        if (seen > 0 && seen >= rank) {
            uint64_t bound = bucket_upper_bound(bucket);
            return bound < histogram->maximum ? bound : histogram->maximum;
        }
    }
    return histogram->maximum;
}
