/* Where a group's log stood when: samples of the primary's position, by which a read with a
 * staleness bound learns the position that it must see. Pure; owned by one worker. */
#ifndef SW_POOLER_FRESHNESS_H
#define SW_POOLER_FRESHNESS_H

#include <stdbool.h>
#include <stddef.h>

#include "core/types.h"

/* Samples kept, and the least time between two of them: together they reach back 6.4 s. */
#define FRESHNESS_SAMPLES    128
#define FRESHNESS_SPACING_NS (50 * NANOSECONDS_PER_MILLISECOND)

/* Every commit that was acknowledged before `at` stands at or below `position`. */
struct freshness_sample {
    time_ns at;
    struct log_position position;
};

struct freshness {
    struct freshness_sample samples[FRESHNESS_SAMPLES]; /* a ring */
    size_t first;
    size_t count;
};

/* Takes a sample; one too close behind the newest is left out. */
void freshness_add(struct freshness *freshness, time_ns at, struct log_position position);

/* Forgets all samples, as after a change of primary. */
void freshness_clear(struct freshness *freshness);

/* The sample with the least position that holds every commit acknowledged before `moment`; NULL if
 * none is as young as that. */
const struct freshness_sample *freshness_find(const struct freshness *freshness, time_ns moment);

/* The oldest sample; NULL if there is none. */
const struct freshness_sample *freshness_oldest(const struct freshness *freshness);

/* The newest sample at or below a position: the primary had got there by then. NULL if none is. */
const struct freshness_sample *freshness_newest_covered(const struct freshness *freshness,
                                                        struct log_position position);

#endif
