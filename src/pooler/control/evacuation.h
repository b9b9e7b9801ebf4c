/**
 * @file
 * @brief Zones whose databases operators have asked to send nothing to. Pure: moments come in.
 *
 * As such a zone becomes known, its databases take no new work and another one is made primary, as
 * where a database is about to leave. What is still open there after half of the bound is ended,
 * and what only a database in the zone could serve is refused, so that nothing reaches them once
 * the bound is over. Replicas in the zone go on receiving.
 */
#ifndef SW_POOLER_EVACUATION_H
#define SW_POOLER_EVACUATION_H

#include <glib.h>
#include <stdbool.h>

#include "core/types.h"

/** @brief How far the evacuation of a zone has come. */
typedef enum evacuation_phase {
    EVACUATION_NONE,
    EVACUATION_DRAINING, /* no new work; what is open may end */
    EVACUATION_CLOSED,   /* nothing is sent there */
} evacuation_phase_t;

/** @brief All zones that operators evacuate. Owned by the control thread. */
typedef struct evacuations {
    GHashTable *zones; /* of struct evacuation (evacuation.c), by name; NULL: none yet */
    time_ns bound;     /* nothing may reach a zone's databases so long after the request */
} evacuations_t;

/** @brief Starts without any zone. */
void evacuations_init(evacuations_t *evacuations, time_ns bound);
void evacuations_clear(evacuations_t *evacuations);

/** @brief Takes over that a zone is to be evacuated, or no more.
 *  @return true if that is news. */
bool evacuations_set(evacuations_t *evacuations, const char *zone, bool evacuated, time_ns now);

/** @return the phase of the zone's evacuation. */
evacuation_phase_t evacuations_phase(const evacuations_t *evacuations, const char *zone,
                                     time_ns now);

#endif
