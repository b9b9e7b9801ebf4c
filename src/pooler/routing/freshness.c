/* Samples of a primary's position; see the header. */
#include "pooler/routing/freshness.h"

static const struct freshness_sample *
sample_at(const struct freshness *freshness, size_t index)
{
    return &freshness->samples[(freshness->first + index) % FRESHNESS_SAMPLES];
}

void
freshness_clear(struct freshness *freshness)
{
    freshness->count = 0;
}

void
freshness_add(struct freshness *freshness, time_ns at, struct log_position position)
{
    if (freshness->count > 0) {
        const struct freshness_sample *newest = sample_at(freshness, freshness->count - 1);
        if (at < newest->at + FRESHNESS_SPACING_NS) {
            return;
        }
    }
    if (freshness->count == FRESHNESS_SAMPLES) {
        freshness->first = (freshness->first + 1) % FRESHNESS_SAMPLES;
        freshness->count--;
    }
    size_t index = (freshness->first + freshness->count) % FRESHNESS_SAMPLES;
    freshness->samples[index] = (struct freshness_sample){at, position};
    freshness->count++;
}

const struct freshness_sample *
freshness_find(const struct freshness *freshness, time_ns time)
{
    for (size_t i = 0; i < freshness->count; i++) {
        const struct freshness_sample *sample = sample_at(freshness, i);
        if (sample->at >= time) {
            return sample;
        }
    }
    return NULL;
}

const struct freshness_sample *
freshness_oldest(const struct freshness *freshness)
{
    return freshness->count == 0 ? NULL : sample_at(freshness, 0);
}

const struct freshness_sample *
freshness_newest_covered(const struct freshness *freshness, struct log_position position)
{
    for (size_t i = freshness->count; i > 0; i--) {
        const struct freshness_sample *sample = sample_at(freshness, i - 1);
        if (log_position_covers(position, sample->position)) {
            return sample;
        }
    }
    return NULL;
}
