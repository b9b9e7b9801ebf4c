/* Cost model for the choice of a database; see the header. */
#include "pooler/routing/placement.h"

#include <glib.h>

/* Number of slots assumed for a database that does not report it: low, so that statements are
 * spread over several such databases. */
#define SLOTS_UNKNOWN 2

/* Other poolers use the database as well, probably about as much as this one. Running statements
 * therefore have a cost even while slots are free: this part of the service time once the
 * statements of this worker fill all slots. It spreads statements over equal databases. */
#define SHARED_WEIGHT 0.5

/* Surcharge for the primary, as a part of the service time: a statement there takes capacity from
 * statements that can run nowhere else. It doubles as their part (primary_only_share) rises from 0
 * to 1. */
#define PRIMARY_WEIGHT 0.7

/* Surcharge for another zone, as a part of the service time. Traffic between zones is charged for,
 * and moving averages of equal databases differ by a third by chance: a smaller difference does not
 * justify the other zone. */
#define ZONE_WEIGHT 0.5

/* Surcharge for an opening, as a part of its time: it takes a slot that statements could use. */
#define OPENING_WEIGHT 1.0

/* Weight of a new round-trip sample below, and above, the estimate. */
#define RTT_FALL_WEIGHT 0.5
#define RTT_RISE_WEIGHT 0.05

/* After this time without an answer, a database's own average has a weight of one half, and its
 * group's average the other half. A slow database is not chosen, so that its average is not
 * updated; by the decay it is tried again seconds later, when the cause usually has passed. */
#define DECAY_HALF_NS (2 * NANOSECONDS_PER_SECOND)

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
    cost += place->other_zone ? place->service_ms * ZONE_WEIGHT : 0;
    return place->is_primary
               ? cost + place->service_ms * PRIMARY_WEIGHT * (1 + place->primary_only_share)
               : cost;
}

double
placement_update_rtt(double known_ms, double seen_ms)
{
    if (known_ms == 0) {
        return seen_ms;
    }
    return known_ms +
           (seen_ms - known_ms) * (seen_ms < known_ms ? RTT_FALL_WEIGHT : RTT_RISE_WEIGHT);
}

double
placement_decayed_ms(double own_ms, double group_ms, time_ns unused)
{
    double halves = (double)unused / (double)DECAY_HALF_NS;
    double weight = 1 / (1 + halves);
    return group_ms + (own_ms - group_ms) * weight;
}
