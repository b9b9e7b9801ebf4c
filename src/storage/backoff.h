/* Exponential backoff with full jitter, so that publishers and daemons that failed in the same
 * outage do not all retry at the same time. Has no state: the caller supplies the random number. */
#ifndef SW_STORAGE_BACKOFF_H
#define SW_STORAGE_BACKOFF_H

#include <stdint.h>

/* Bounds of the wait, in milliseconds. */
struct backoff {
    uint32_t base_ms;
    uint32_t maximum_ms;
};

/* The wait before attempt `attempt` (0: the first retry), uniform in 1 ..
 * min(maximum_ms, base_ms * 2^attempt). `random` is uniform over 32 bits. */
uint32_t backoff_wait_ms(const struct backoff *backoff, uint32_t attempt, uint32_t random);

#endif
