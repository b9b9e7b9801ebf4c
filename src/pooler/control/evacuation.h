/**
 * @file
 * @brief Zones whose evacuation operators have requested: no work is to be sent to their databases.
 * Pure functions: the time is a parameter.
 *
 * When the request becomes known, the zone's databases take no new work, and for groups with a
 * primary in the zone a database elsewhere is made the primary, as if the primary were draining.
 * After half of the bound, work that is still open there is ended, and requests that only a
 * database in the zone could serve are refused. So nothing reaches these databases after the bound.
 * Replicas in the zone continue to replicate.
 */
#ifndef SW_POOLER_EVACUATION_H
#define SW_POOLER_EVACUATION_H

#include <glib.h>
#include <stdbool.h>

#include "core/types.h"

/** @brief Progress of a zone's evacuation. */
typedef enum evacuation_phase {
    EVACUATION_NONE,
    EVACUATION_DRAINING, /* no new work; open work may finish */
    EVACUATION_CLOSED,   /* nothing is sent to the zone */
} evacuation_phase_t;

/** @brief All zones that operators evacuate. Only for the control thread. */
typedef struct evacuations {
    GHashTable *zones; /* of struct evacuation (evacuation.c), by name; NULL: none yet */
    time_ns bound;     /* time from the request after which nothing reaches the zone's databases */
} evacuations_t;

/** @brief Initialises without any zone. */
void evacuations_init(evacuations_t *evacuations, time_ns bound);
void evacuations_clear(evacuations_t *evacuations);

/** @brief Applies the request to evacuate a zone, or its withdrawal.
 *  @return true if that is a change. */
bool evacuations_set(evacuations_t *evacuations, const char *zone, bool evacuated, time_ns now);

/** @return the phase of the zone's evacuation. */
evacuation_phase_t evacuations_phase(const evacuations_t *evacuations, const char *zone,
                                     time_ns now);

#endif
