/* How fast a line moves; see the header. */
#include "pooler/routing/queue_rate.h"

#include <glib.h>

/* Weight of the newest interval: the average follows a change of load within some ten statements.
 */
#define INTERVAL_WEIGHT 0.1

/* A statement may wait if its answer is predicted within this part of its objective. The rest is
 * for the answer's way back, and for waits that grow as more urgent statements come. */
#define ADMIT_SHARE 0.9

void
queue_rate_note_arrival(queue_rate_t *pace, uint32_t waiting, time_ns now)
{
    if (waiting == 0) {
        pace->moved_at = now;
    }
}

void
queue_rate_note_departure(queue_rate_t *pace, time_ns now)
{
    /* `now` may have been read before the line last moved. */
    time_ns interval = now > pace->moved_at ? now - pace->moved_at : 0;
    double interval_ms = (double)interval / (double)NANOSECONDS_PER_MILLISECOND;
    pace->moved_at = MAX(pace->moved_at, now);
    pace->interval_ms += (interval_ms - pace->interval_ms) * INTERVAL_WEIGHT;
}

void
queue_rate_restart(queue_rate_t *pace, time_ns now)
{
    pace->moved_at = now;
}

double
queue_rate_wait_ms(const queue_rate_t *pace, const wait_forecast_t *prospect)
{
    if (prospect->room == 0) {
        return 0;
    }
    double by_room = prospect->each_ms * prospect->ahead / prospect->room;
    return MAX(by_room, pace->interval_ms * prospect->ahead);
}

double
queue_rate_late_by_ms(const queue_rate_t *pace, const wait_forecast_t *prospect)
{
    if (prospect->room == 0 || prospect->ahead == 0) {
        return 0; /* nothing is known, or nobody would gain */
    }
    double answered_ms =
        prospect->waited_ms + queue_rate_wait_ms(pace, prospect) + prospect->run_ms;
    return MAX(answered_ms - prospect->objective_ms * ADMIT_SHARE, 0);
}

bool
queue_rate_is_late(const queue_rate_t *pace, const wait_forecast_t *prospect)
{
    return queue_rate_late_by_ms(pace, prospect) > 0;
}
