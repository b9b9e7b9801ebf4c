/* Health of a home of rate limits; see the header. */
#include "pooler/rate/home_health.h"

#include <glib.h>

/* How long a home is avoided after an answer passed its hedge delay. */
#define SLOW_NS (250 * NANOSECONDS_PER_MILLISECOND)

/* How long a home is avoided after a time-out: AVOID_MIN_NS, doubled with each further time-out. A
 * partition lasts for seconds, and each further request delays an operation by some milliseconds.
 * The maximum is AVOID_MAX_NS, because the next request may be the only way to find out that the
 * machine is back. */
#define AVOID_MIN_NS  (250 * NANOSECONDS_PER_MILLISECOND)
#define AVOID_MAX_NS  (4000 * NANOSECONDS_PER_MILLISECOND)
#define DOUBLINGS_MAX 4U

/* Weight of the newest answer in the averages of response time and deviation: 1/8 and 1/4, as in
 * TCP's retransmission timer. The averages follow about ten answers. */
#define AVERAGE_PART   8
#define DEVIATION_PART 4

/* The hedge delay is the average plus this many deviations, by which all but a few percent of the
 * answers have come. If both homes grant a token, the tenant loses one. */
#define HEDGE_DEVIATIONS 4

/* Minimum of the hedge delay, which a machine with a shared processor needs to be scheduled, and
 * its value before the first answer. */
#define HEDGE_MIN_NS     (8 * NANOSECONDS_PER_MILLISECOND)
#define HEDGE_UNKNOWN_NS (20 * NANOSECONDS_PER_MILLISECOND)

void
home_health_answered(home_health_t *health, time_ns took)
{
    time_ns error = took > health->average ? took - health->average : health->average - took;
    if (health->average == 0) {
        health->average = MAX(took, 1);
        health->deviation = took / 2;
    } else {
        health->deviation =
            health->deviation - health->deviation / DEVIATION_PART + error / DEVIATION_PART;
        health->average =
            MAX(health->average - health->average / AVERAGE_PART + took / AVERAGE_PART, 1);
    }
}

bool
home_health_message_received(home_health_t *health)
{
    bool unresponsive = health->timeouts > 0;
    health->timeouts = 0;
    health->avoid_until = 0;
    return unresponsive;
}

void
home_health_note_slow(home_health_t *health, time_ns now)
{
    health->avoid_until = MAX(health->avoid_until, now + SLOW_NS);
}

bool
home_health_note_timeout(home_health_t *health, time_ns now)
{
    if (health->timeouts > 0 && now < health->avoid_until) {
        return false; /* requested before the previous time-out: counts as the same one */
    }
    time_ns avoid = AVOID_MIN_NS << MIN(health->timeouts, DOUBLINGS_MAX);
    health->avoid_until = now + MIN(avoid, AVOID_MAX_NS);
    return health->timeouts++ == 0;
}

bool
home_health_is_avoided(const home_health_t *health, time_ns now)
{
    return now < health->avoid_until;
}

bool
home_health_is_unresponsive(const home_health_t *health, time_ns now)
{
    return health->timeouts > 0 && now < health->avoid_until;
}

time_ns
home_health_hedge_delay(const home_health_t *health)
{
    if (health->average == 0) {
        return HEDGE_UNKNOWN_NS;
    }
    return CLAMP(health->average + health->deviation * HEDGE_DEVIATIONS, HEDGE_MIN_NS,
                 HOME_TIMEOUT_NS);
}
