/**
 * @file
 * @brief The shares of tenants' limits that this pooler counts (roster.h). One for all workers of
 * the process; any thread.
 */
#ifndef SW_POOLER_RATE_COUNTING_H
#define SW_POOLER_RATE_COUNTING_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"
#include "pooler/shared/configuration.h"
#include "pooler/rate/roster.h"
#include "pooler/rate/share.h"

/** @brief By how much a limit may be exceeded by all machines together, as the settings say. */
typedef struct rate_bounds {
    double window_s; /* any span of so many seconds */
    double overage;  /* share of the limit over the window */
    double slack;    /* operations beyond that */
} rate_bounds_t;

/** @brief What came of asking a home. */
typedef enum token_answer {
    TOKEN_GRANTED,
    TOKEN_REFUSED,  /* the share is used up */
    TOKEN_DECLINED, /* this pooler does not count any share of the tenant now */
} token_answer_t;

typedef struct counting counting_t;

/** @brief Begins without a list of members, so that it declines all.
 *  @param now when the process began to run; no token may have been given before. */
counting_t *counting_new(const rate_bounds_t *bounds, time_ns now);
/** @brief Frees it; no thread may use it any more. */
void counting_free(counting_t *counting);

/** @brief Takes over which shares are this pooler's; what it no longer counts is forgotten. */
void counting_set_roster(counting_t *counting, const roster_t *roster, time_ns now);

/** @brief The list of members is relied on until then. */
void counting_set_valid_until(counting_t *counting, time_ns until);

/** @brief Asks for a token to begin one operation, of all shares that this pooler counts.
 *  @param priority of its route, 0: the most urgent.
 *  @param wait if refused: until one of them has a token for it; 0 if never. */
token_answer_t counting_take(counting_t *counting, const tenant_t *tenant, uint32_t priority,
                             time_ns now, time_ns *wait);

/** @return tokens that a share's bucket begins with.
 *
 *  What all buckets together begin with, three times in a window, is no more than what the limit
 *  may be exceeded by, after what each bucket may hold more than its share as it has to hold one.
 */
double rate_start_tokens(const rate_bounds_t *bounds, const tenant_t *tenant);

/** @return how one share of the tenant's limit fills. A share holds up to one operation more than
 * its part of the burst: only whole tokens are given, so that up to one for each
 * share would be lost to fractions. It is taken from what the limit may be exceeded by. */
bucket_limit_t rate_share(const rate_bounds_t *bounds, const tenant_t *tenant);

#endif
