/* When a statement would be answered; see the header. */
#include "pooler/routing/placement.h"

#include <glib.h>

/* Assumed for a database that doesn't tell its slots: few, so that statements spread over several
 * such databases. */
#define SLOTS_UNKNOWN 2

/* Other poolers load the database too, most likely as this one does. So running statements cost
 * something even while slots are free: this part of the usual time once this worker's fill all of
 * them. It spreads statements over equal databases. */
#define SHARED_WEIGHT 0.5

/* Surcharge for a statement at the primary, as a part of the usual time: it takes room from those
 * that can run nowhere else. It doubles as their part (led_share) rises from 0 to 1. */
#define LEAD_WEIGHT 0.7

/* Surcharge for another zone, as a part of the usual time. Traffic between zones is paid for, and
 * moving averages of equal databases differ by a third by chance: less is no reason to leave. */
#define FAR_WEIGHT 0.5

/* Surcharge for an opening, as a part of its time: it holds a slot that statements could use. */
#define OPENING_WEIGHT 1.0

/* Weight of a newly seen round trip that is shorter, or longer, than the estimate. */
#define WAY_FALLS 0.5
#define WAY_RISES 0.05

/* After so long without an answer, a database's own average counts half and the group's the other
 * half. A slow database is not chosen and so not measured; this way it is tried again seconds
 * later, when the cause is mostly over. */
#define FADED_HALF_NS (2 * NANOSECONDS_PER_SECOND)

static double
wait_ms(const place_t *place)
{
    double slots = place->slots == 0 ? SLOTS_UNKNOWN : place->slots;
    double beyond = place->running + 1 > slots ? place->running + 1 - slots : 0;
    return place->service_ms * (beyond / slots + SHARED_WEIGHT * place->running / slots);
}

double
placement_finish_ms(const place_t *place)
{
    double ready_ms = MAX(place->opening_ms, place->fresh_in_ms);
    return ready_ms + place->rtt_ms + place->service_ms + wait_ms(place);
}

double
placement_cost_ms(const place_t *place)
{
    double cost = placement_finish_ms(place) + place->opening_ms * OPENING_WEIGHT;
    cost += place->far ? place->service_ms * FAR_WEIGHT : 0;
    return place->leads ? cost + place->service_ms * LEAD_WEIGHT * (1 + place->primary_only_share)
                        : cost;
}

double
placement_update_rtt(double known_ms, double seen_ms)
{
    if (known_ms == 0) {
        return seen_ms;
    }
    return known_ms + (seen_ms - known_ms) * (seen_ms < known_ms ? WAY_FALLS : WAY_RISES);
}

double
placement_decayed_ms(double own_ms, double group_ms, time_ns unused)
{
    double halves = (double)unused / (double)FADED_HALF_NS;
    double weight = 1 / (1 + halves);
    return group_ms + (own_ms - group_ms) * weight;
}
