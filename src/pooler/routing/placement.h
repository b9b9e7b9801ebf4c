/**
 * @file
 * @brief Cost model for the choice of a database: the expected time of a statement's answer, with
 * surcharges. Pure functions of the values passed in.
 */
#ifndef SW_POOLER_PLACEMENT_H
#define SW_POOLER_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** @brief A database that could run a statement; times in ms. */
typedef struct place {
    double rtt_ms;      /**< network round-trip time */
    double service_ms;  /**< from the arrival of a statement at the database to its answer */
    double opening_ms;  /**< time to open a connection; 0: one is idle */
    double fresh_in_ms; /**< time until it has applied the required position; 0: it has */
    uint32_t running;   /**< number of statements of this worker that it runs */
    uint32_t slots;     /**< number of statements that it can run at once; 0: not known */
    bool other_zone;
    bool is_primary;
    double primary_only_share; /**< part of the primary's statements that no replica could run */
} place_t;

/** @return expected time until the answer, in ms. */
double placement_finish_ms(const place_t *place);

/** @return the same with surcharges for the effects on other statements, in ms: use of the primary,
 * which some statements need; the slot that an opening takes; traffic between zones. The statement
 * is sent to the database with the lowest cost. */
double placement_cost_ms(const place_t *place);

/** @brief Updates the estimate of the round-trip time from the first round trip of a connection's
 * opening, in which the database does no work. The estimate falls quickly and rises slowly, because
 * a longer sample mostly is the result of a delay.
 * @param known_ms the estimate so far; 0: none
 * @param seen_ms the new sample
 * @return the new estimate, in ms */
double placement_update_rtt(double known_ms, double seen_ms);

/**
 * @brief Latency of a database that has not been used for a while: its own average, which decays
 * towards the average of its group.
 *
 * @param own_ms moving average of the database's latency
 * @param group_ms the same for all databases of its group
 * @param unused time since its last answer
 */
double placement_decayed_ms(double own_ms, double group_ms, time_ns unused);

#endif
