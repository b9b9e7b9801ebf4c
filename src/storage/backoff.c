/* Exponential backoff with full jitter. */
#include "storage/backoff.h"

uint32_t backoff_wait_ms(const struct backoff *backoff, uint32_t attempt, uint32_t random)
{
    uint64_t ceiling = backoff->base_ms;

    for (uint32_t i = 0; i < attempt && ceiling < backoff->maximum_ms; i++) {
        ceiling *= 2;
    }
    if (ceiling > backoff->maximum_ms) {
        ceiling = backoff->maximum_ms;
    }
    if (ceiling == 0) {
        return 0;
    }
    return 1 + (uint32_t)(random % ceiling);
}
