/**
 * @file
 * @brief Health of a home of rate limits, as estimated by a pooler that requests tokens from it:
 * its baseline response time, and whether other homes are preferred. Pure functions of the time
 * that is passed in.
 *
 * Without this estimate, each operation would wait HOME_TIMEOUT_NS for an unreachable machine, and
 * further operations again every 250 ms. See docs/design/tenants.md for the effect.
 */
#ifndef SW_POOLER_RATE_HOME_HEALTH_H
#define SW_POOLER_RATE_HOME_HEALTH_H

#include <stdbool.h>

#include "core/types.h"

/** @brief Health of one home at one link to it. Initialize with zeros. Belongs to the thread of the
 * link's worker. */
typedef struct home_health {
    time_ns average;     /* moving average of the response time; 0: not known */
    time_ns deviation;   /* moving average of its absolute deviation */
    unsigned timeouts;   /* consecutive time-outs without a message in between */
    time_ns avoid_until; /* other homes are preferred until then */
} home_health_t;

/** @brief Records an answer to a token request, whether or not it came in time. */
void home_health_answered(home_health_t *health, time_ns took);

/** @brief Records a message of any kind from the home, which ends its avoidance.
 *  @return true if it was considered unresponsive until now. */
bool home_health_message_received(home_health_t *health);

/** @brief Records that a request has passed its hedge delay: other homes are preferred for a while,
 * or until the next message from this one. */
void home_health_note_slow(home_health_t *health, time_ns now);

/** @brief Records that a request had no answer within HOME_TIMEOUT_NS.
 *  @return true if the home was not considered unresponsive before. */
bool home_health_note_timeout(home_health_t *health, time_ns now);

/** @return true if other homes are preferred at present. */
bool home_health_is_avoided(const home_health_t *health, time_ns now);

/** @return true if other homes are preferred because of time-outs, not only of a slow answer. */
bool home_health_is_unresponsive(const home_health_t *health, time_ns now);

/** @return the hedge delay: how long to wait for an answer before a token is requested from another
 * home as well. */
time_ns home_health_hedge_delay(const home_health_t *health);

/** Time-out of a token request: several round trips to another zone (4 ms each), for a machine that
 *  has used up its processor quota of a 100 ms period. */
#define HOME_TIMEOUT_NS (60 * NANOSECONDS_PER_MILLISECOND)

#endif
