/**
 * @file
 * @brief What a refused client is told about coming back. A decision: values in, a time out.
 *
 * The time is when the cause of the refusal is likely to be over: a queue is short enough for the
 * request's objective, or another primary leads. It is spread by chance, so that clients refused
 * together don't return together, the more urgent ones first; and it is limited by how long the
 * client is likely to wait at all.
 */
#ifndef SW_POOLER_RETRY_ADVICE_H
#define SW_POOLER_RETRY_ADVICE_H

#include <stdint.h>

#include "core/types.h"

/** @brief What is known of a refused request. */
typedef struct retry_case {
    time_ns recovery_time; /* time until its cause is likely to be over; 0: not known */
    time_ns patience;      /* its route's timeout; 0: not known */
    uint32_t priority;     /* of its route, 0: the most urgent */
} retry_case_t;

/** @brief When to come back.
 *  @param chance from 0 to 1, drawn for each request.
 *  @return milliseconds, above 0. */
uint32_t retry_advice_ms(const retry_case_t *refused, double chance);

#endif
