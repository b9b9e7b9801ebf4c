/* Shortages of database capacity; see the header. */
#include "pooler/routing/shortage.h"

#include <glib.h>

/* A shortage ends after this time without a refusal. Longer than the time between bursts of load,
 * about a second, so that a series of bursts is one shortage with two log lines. */
#define OVER_AFTER_NS (2 * NANOSECONDS_PER_SECOND)

bool
shortage_refused(shortage_t *shortage, uint32_t priority, time_ns now)
{
    bool starts = shortage->since == 0;
    if (starts) {
        *shortage = (shortage_t){.since = now};
    }
    shortage->refused_at = now;
    shortage->refused[MIN(priority, SHORTAGE_PRIORITIES - 1)]++;
    return starts;
}

bool
shortage_over(shortage_t *shortage, time_ns now)
{
    bool over = shortage->since != 0 && now >= shortage->refused_at + OVER_AFTER_NS;
    if (over) {
        shortage->since = 0;
    }
    return over;
}
