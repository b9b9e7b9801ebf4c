/* What a refused client is told about coming back; see the header. */
#include "pooler/client/retry_advice.h"

#include <glib.h>

/* Assumed where it is not known when the cause is over: a little less than the 250 ms between two
 * answers of the coordinator, which most changes of primary don't outlast. */
#define UNKNOWN_NS (200 * NANOSECONDS_PER_MILLISECOND)

/* The least time until the cause is over that is reckoned with: shorter than a round trip to most
 * clients. */
#define LEAST_NS (10 * NANOSECONDS_PER_MILLISECOND)

/* Returns are spread by chance, as parts of the time until the cause is over: priority 0 from 1 to
 * 1.25 of it, 1 up to 1.5, and 2 and less urgent ones up to 1.75. */
#define SPREAD       0.25
#define SPREADS_MOST 2U

/* The longest wait, as a part of the route's timeout: a client has a deadline of its own, at most
 * some times that timeout, and is to be able to try more than once. */
#define PATIENCE_PART 0.5

uint32_t
retry_advice_ms(const retry_case_t *refused, double chance)
{
    double later = SPREAD * MIN(refused->priority, SPREADS_MOST);
    double factor = 1 + later + SPREAD * chance;
    double recovery_time =
        (double)(refused->recovery_time == 0 ? UNKNOWN_NS : refused->recovery_time);
    double most = (double)refused->patience * PATIENCE_PART / (1 + SPREAD * (SPREADS_MOST + 1));
    if (refused->patience != 0) {
        recovery_time = MIN(recovery_time, most);
    }
    double wait = MAX(recovery_time, (double)LEAST_NS) * factor;
    return (uint32_t)(wait / (double)NANOSECONDS_PER_MILLISECOND) + 1;
}
