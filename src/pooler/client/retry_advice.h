/**
 * @file
 * @brief When a client whose request was refused should retry. Pure function.
 * The advised delay is the expected time until the cause of the refusal is over: until a queue is
 * short enough for the request's latency objective, or a new primary leads. It is randomised, so
 * that clients refused together do not retry together, with shorter delays for higher priorities.
 * It is limited to a share of the route's timeout, as the client has a deadline of its own.
 */
#ifndef SW_POOLER_RETRY_ADVICE_H
#define SW_POOLER_RETRY_ADVICE_H

#include <stdint.h>

#include "core/types.h"

/** @brief What is known of a refused request. */
typedef struct retry_case {
    time_ns recovery_time; /* expected time until the cause of the refusal is over; 0: not known */
    time_ns timeout;       /* its route's timeout; 0: not known */
    uint32_t priority;     /* of its route, 0: the highest */
} retry_case_t;

/** @brief Computes the delay before a retry.
 *  @param chance random number from 0 to 1, drawn for each request.
 *  @return delay in milliseconds, above 0. */
uint32_t retry_advice_ms(const retry_case_t *refused, double chance);

#endif
