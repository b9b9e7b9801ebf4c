/* When a refused client should retry; see the header. */
#include "pooler/client/retry_advice.h"

#include <glib.h>

/* Assumed recovery time where it is not known. Slightly less than the coordinator's 250 ms reply
 * interval; most changes of primary take no longer than that. */
#define DEFAULT_RECOVERY_NS (200 * NANOSECONDS_PER_MILLISECOND)

/* Lower bound of the recovery time: shorter than a round trip to most clients. */
#define RECOVERY_MIN_NS (10 * NANOSECONDS_PER_MILLISECOND)

/* Retries are spread at random over multiples of the recovery time: 1 to 1.25 for priority 0, 1.25
 * to 1.5 for priority 1, 1.5 to 1.75 for lower priorities. */
#define SPREAD              0.25
#define SPREAD_PRIORITY_MAX 2U

/* Upper bound of the delay as a share of the route's timeout. A client has a deadline of its own,
 * at most a few times that timeout, and should be able to try more than once. */
#define TIMEOUT_SHARE 0.5

uint32_t
retry_advice_ms(const retry_case_t *refused, double chance)
{
    double base = SPREAD * MIN(refused->priority, SPREAD_PRIORITY_MAX);
    double factor = 1 + base + SPREAD * chance;
    double recovery_time =
        (double)(refused->recovery_time == 0 ? DEFAULT_RECOVERY_NS : refused->recovery_time);
    double longest =
        (double)refused->timeout * TIMEOUT_SHARE / (1 + SPREAD * (SPREAD_PRIORITY_MAX + 1));
    if (refused->timeout != 0) {
        recovery_time = MIN(recovery_time, longest);
    }
    double wait = MAX(recovery_time, (double)RECOVERY_MIN_NS) * factor;
    return (uint32_t)(wait / (double)NANOSECONDS_PER_MILLISECOND) + 1;
}
