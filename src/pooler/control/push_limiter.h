/**
 * @file
 * @brief When the coordinator may tell all poolers what is new, beside answering their heartbeats.
 *
 * Each push is a message to every pooler, the heartbeat by which each confirms it, and the answer
 * to that. While a thousand groups are opened one after the other, or the databases' records come
 * in, there is something new at each look, 100 times a second: at 300 poolers that is more than a
 * link of 100 Mbit/s carries, of a few bytes each time. So pushes keep to a share of the link. Some
 * go at once, as those of a change of primary; the rest waits, and goes together. It does not wait
 * for long: the answer to a pooler's next heartbeat tells it what is new all the same.
 *
 * Pure; time comes in.
 */
#ifndef SW_POOLER_PUSH_PACE_H
#define SW_POOLER_PUSH_PACE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** @brief What is known of the last push. Start from zeros. Belongs to the control thread. */
typedef struct push_limiter {
    double bytes;   /* of the last push, its confirmations and their answers */
    time_ns at;     /* when it went; 0: none has */
    uint32_t burst; /* pushes that may still go without waiting */
} push_limiter_t;

/** @return true if what is new may go to all poolers now.
 *  @param link_bytes_per_s what the machine's link carries. */
bool push_limiter_allows(push_limiter_t *limiter, double link_bytes_per_s, time_ns now);

/** @brief A push has gone out.
 *  @param receivers poolers that it went to.
 *  @param bytes of all its messages. */
void push_limiter_consume(push_limiter_t *limiter, uint32_t receivers, uint64_t bytes, time_ns now);

#endif
