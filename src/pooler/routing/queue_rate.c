/* Departure rate of queued statements; see the header. */
#include "pooler/routing/queue_rate.h"

#include <glib.h>

/* Weight of the newest interval: the average follows a change of load within about ten statements.
 */
#define INTERVAL_WEIGHT 0.1

/* A statement may wait if its answer is predicted within this part of its objective. The rest
 * covers the return of the answer, and longer waits as statements of higher priority arrive. */
#define ADMIT_SHARE 0.9

void
queue_rate_note_arrival(queue_rate_t *rate, uint32_t waiting, time_ns now)
{
    if (waiting == 0) {
        rate->moved_at = now;
    }
}

void
queue_rate_note_departure(queue_rate_t *rate, time_ns now)
{
    /* `now` may have been read before the last departure. */
    time_ns interval = now > rate->moved_at ? now - rate->moved_at : 0;
    double interval_ms = (double)interval / (double)NANOSECONDS_PER_MILLISECOND;
    rate->moved_at = MAX(rate->moved_at, now);
    rate->interval_ms += (interval_ms - rate->interval_ms) * INTERVAL_WEIGHT;
}

void
queue_rate_restart(queue_rate_t *rate, time_ns now)
{
    rate->moved_at = now;
}

double
queue_rate_wait_ms(const queue_rate_t *rate, const wait_forecast_t *forecast)
{
    if (forecast->capacity == 0) {
        return 0;
    }
    double by_capacity = forecast->each_ms * forecast->ahead / forecast->capacity;
    return MAX(by_capacity, rate->interval_ms * forecast->ahead);
}

double
queue_rate_late_by_ms(const queue_rate_t *rate, const wait_forecast_t *forecast)
{
    if (forecast->capacity == 0 || forecast->ahead == 0) {
        return 0; /* nothing is known, or no other statement would gain by a refusal */
    }
    double answered_ms =
        forecast->waited_ms + queue_rate_wait_ms(rate, forecast) + forecast->run_ms;
    return MAX(answered_ms - forecast->objective_ms * ADMIT_SHARE, 0);
}

bool
queue_rate_is_late(const queue_rate_t *rate, const wait_forecast_t *forecast)
{
    return queue_rate_late_by_ms(rate, forecast) > 0;
}
