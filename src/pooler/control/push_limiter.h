/**
 * @file
 * @brief Rate limit of the coordinator's pushes: updates that it sends to all poolers, beside its
 * answers to their heartbeats.
 *
 * Each push costs a message to every pooler, the heartbeat with which each confirms it, and the
 * answer to that heartbeat. While a thousand groups are opened one after the other, or the
 * databases' rows come in, there are updates in every run of the coordinator's periodic work, 100
 * times a second. At 300 poolers, pushing each time exceeds a link of 100 Mbit/s, even with a few
 * bytes each. Pushes are therefore limited to a share of the link. A burst, such as that of a
 * change of primary, is pushed without waiting; other updates wait and are pushed together. They do
 * not wait long, as the answer to each pooler's next heartbeat carries pending updates as well.
 *
 * Pure functions: the time is a parameter.
 */
#ifndef SW_POOLER_PUSH_LIMITER_H
#define SW_POOLER_PUSH_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** @brief State of the limiter. Initialise with zeros. Only for the control thread. */
typedef struct push_limiter {
    double bytes;   /* of the last push, its confirmations and the answers to them */
    time_ns at;     /* when the last push was sent; 0: none was */
    uint32_t burst; /* pushes that may still be sent without waiting */
} push_limiter_t;

/** @return true if a push to all poolers may be sent now.
 *  @param link_bytes_per_s capacity of the machine's link. */
bool push_limiter_allows(push_limiter_t *limiter, double link_bytes_per_s, time_ns now);

/** @brief Consumes capacity for a push that was sent.
 *  @param receivers number of poolers that it was sent to.
 *  @param bytes of all its messages. */
void push_limiter_consume(push_limiter_t *limiter, uint32_t receivers, uint64_t bytes, time_ns now);

#endif
