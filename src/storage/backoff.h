/* Exponential backoff with full jitter: many publishers or daemons that met the same outage must
 * not come back at the same moment. Pure: the caller supplies the random number. */
#ifndef SW_PLATFORM_BACKOFF_H
#define SW_PLATFORM_BACKOFF_H

#include <stdint.h>

/* Bounds of the wait, in milliseconds. */
struct backoff {
    uint32_t base_ms;
    uint32_t maximum_ms;
};

/* The wait before attempt `attempt` (0: the first retry), uniform in 1 .. min(maximum, base * 2^n).
 * `random` is uniform over 32 bits. */
uint32_t backoff_wait_ms(const struct backoff *backoff, uint32_t attempt, uint32_t random);

#endif
