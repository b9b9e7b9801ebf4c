/**
 * @file
 * @brief One share of a tenant's limit at its home: a token bucket that serves the tenant's
 * high-priority operations first. Pure functions of the time that is passed in.
 *
 * When a tenant sends more operations than its limit allows, some are refused. First come, first
 * served would spend most tokens on low-priority operations. An operation therefore gets a token
 * only if enough tokens remain for the operations of higher priority that are expected within the
 * next RESERVE_S (share.c). Their number is estimated from recent requests; without such requests
 * nothing is reserved. The total number of tokens granted is that of a plain bucket. See
 * docs/design/urgency.md for the effect.
 */
#ifndef SW_POOLER_RATE_SHARE_H
#define SW_POOLER_RATE_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"
#include "pooler/rate/bucket.h"

/** Number of distinct priorities, 0 to 3, where 0 is the highest; larger values count as 3. */
#define SHARE_PRIORITIES 4

/** @brief One share. Guarded by the lock of the counting_t that has it. */
typedef struct share {
    bucket_t bucket;
    double
        demand_per_s[SHARE_PRIORITIES]; /* requests by priority, exponentially decaying average */
    time_ns demand_at;                  /* last update of demand_per_s */
    unsigned passed_over[SHARE_PRIORITIES]; /* 1 + tokens granted to higher priorities since an
                                               operation of this priority was refused; 0: none
                                               was refused since the last grant */
    time_ns retry_at[SHARE_PRIORITIES];     /* retry time sent with the last refusal */
} share_t;

/** @brief Initializes a share with a number of tokens. */
void share_start(share_t *share, double tokens, time_ns now);

/** @return the priority's index into the arrays of a share, below SHARE_PRIORITIES. */
unsigned share_priority(uint32_t priority);

/** @brief Takes one token, for one operation.
 *  @param wait set if refused: time until a token is available that no earlier refusal was sent as
 *         its retry time; 0 if there never will be one.
 *  @return true if a token was taken. */
bool share_take(share_t *share, const bucket_limit_t *limit, uint32_t priority, time_ns now,
                time_ns *wait);

#endif
