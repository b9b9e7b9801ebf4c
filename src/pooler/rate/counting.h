/**
 * @file
 * @brief Token buckets of the shares of tenants' limits for which this pooler is the home
 * (roster.h). One instance serves all workers of the process; the functions lock, and may be called
 * from any thread.
 */
#ifndef SW_POOLER_RATE_COUNTING_H
#define SW_POOLER_RATE_COUNTING_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"
#include "pooler/shared/configuration.h"
#include "pooler/rate/roster.h"
#include "pooler/rate/share.h"

/** @brief By how much all poolers together may exceed a limit, from the settings: in any window of
 * `window_s`, by the part `overage` of what the limit allows in it, plus `slack` operations. */
typedef struct rate_bounds {
    double window_s;
    double overage; /* as a fraction of the limit over the window */
    double slack;   /* in operations */
} rate_bounds_t;

/** @brief Result of a token request. */
typedef enum token_answer {
    TOKEN_GRANTED,
    TOKEN_REFUSED,  /* no token is left in the shares counted here */
    TOKEN_DECLINED, /* this pooler counts no share of the tenant's limit at present */
} token_answer_t;

typedef struct counting counting_t;

/** @brief Creates an instance without a roster, which declines all requests.
 *  @param now start time of the process; it must not have granted a token before. */
counting_t *counting_new(const rate_bounds_t *bounds, time_ns now);
/** @brief Frees an instance that no thread uses any more. */
void counting_free(counting_t *counting);

/** @brief Replaces the roster. Buckets of shares that are no longer counted here are discarded. */
void counting_set_roster(counting_t *counting, const roster_t *roster, time_ns now);

/** @brief Extends the validity of the roster to `until`, after which all requests are declined. */
void counting_set_valid_until(counting_t *counting, time_ns until);

/** @brief Takes one token from any of the tenant's shares that are counted here.
 *  @param priority of the operation's route; 0 is the highest.
 *  @param wait if refused: time until one of the shares has a token for it; 0 if never. */
token_answer_t counting_take(counting_t *counting, const tenant_t *tenant, uint32_t priority,
                             time_ns now, time_ns *wait);

/** @return the initial level of a share's bucket.
 *
 *  All buckets together may start three times within a window. The tokens of these starts, plus the
 *  capacity that the buckets have beyond the tenant's burst, stay within the permitted overage. */
double rate_start_tokens(const rate_bounds_t *bounds, const tenant_t *tenant);

/** @return rate and capacity of one share's bucket. The capacity exceeds the share's part of the
 * burst by up to one token: tokens are granted whole, so that without it up to one token of each
 * share would be lost to fractions. The excess is part of the permitted overage. */
bucket_limit_t rate_share(const rate_bounds_t *bounds, const tenant_t *tenant);

#endif
