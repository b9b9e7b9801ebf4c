/* Samples of the log position of a group's primary over time. A read with a staleness bound finds
 * in them the position that a replica must have applied to serve it. Pure functions of times and
 * positions; the samples belong to one worker. */
#ifndef SW_POOLER_FRESHNESS_H
#define SW_POOLER_FRESHNESS_H

#include <stdbool.h>
#include <stddef.h>

#include "core/types.h"

/* Number of samples and minimum time between two of them: together they cover 6.4 s. */
#define FRESHNESS_SAMPLES    128
#define FRESHNESS_SPACING_NS (50 * NANOSECONDS_PER_MILLISECOND)

/* Every commit that was acknowledged before `at` has a position of at most `position`. */
struct freshness_sample {
    time_ns at;
    struct log_position position;
};

struct freshness {
    struct freshness_sample samples[FRESHNESS_SAMPLES]; /* a ring buffer */
    size_t first;
    size_t count;
};

/* Adds a sample, unless it is less than FRESHNESS_SPACING_NS after the newest. */
void freshness_add(struct freshness *freshness, time_ns at, struct log_position position);

/* Discards all samples, for use after a change of primary. */
void freshness_clear(struct freshness *freshness);

/* The sample with the lowest position that covers every commit acknowledged before `time`: the
 * oldest one taken at `time` or later. NULL if all samples are older. */
const struct freshness_sample *freshness_find(const struct freshness *freshness, time_ns time);

/* The oldest sample; NULL if there is none. */
const struct freshness_sample *freshness_oldest(const struct freshness *freshness);

/* The newest sample whose position is covered by the given one; NULL if there is none. */
const struct freshness_sample *freshness_newest_covered(const struct freshness *freshness,
                                                        struct log_position position);

#endif
