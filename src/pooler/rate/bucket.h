/**
 * @file
 * @brief A token bucket. Pure functions of the time that is passed in.
 */
#ifndef SW_POOLER_RATE_BUCKET_H
#define SW_POOLER_RATE_BUCKET_H

#include <stdbool.h>

#include "core/types.h"

/** @brief A token bucket. */
typedef struct bucket {
    double tokens;     /* level at filled_at */
    time_ns filled_at; /* last refill */
} bucket_t;

/** @brief Refill rate and capacity of a bucket. */
typedef struct bucket_limit {
    double rate_per_s;
    double capacity; /* in tokens */
} bucket_limit_t;

/** @brief Takes one token. Over any interval, the number of tokens taken is at most the level at
 * its start (at most `capacity`) plus `rate_per_s` for each second.
 *  @param reserve number of tokens that must remain in the bucket afterwards.
 *  @param wait set if no token was taken: time until one can be; 0 if the rate is 0.
 *  @return true if a token was taken. */
bool bucket_take(bucket_t *bucket, const bucket_limit_t *limit, double reserve, time_ns now,
                 time_ns *wait);

#endif
