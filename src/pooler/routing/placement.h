/**
 * @file
 * @brief When a statement would be answered, if it were sent to one database or another. A decision
 * without sockets or clock: what is known of a database comes in, a time goes out.
 */
#ifndef SW_POOLER_PLACEMENT_H
#define SW_POOLER_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** @brief What is known of one database that could run a statement; times in ms. */
typedef struct place {
    double rtt_ms;      /**< network time there and back */
    double service_ms;  /**< from a statement's arrival at the database to its answer's sending */
    double opening_ms;  /**< until a connection is open; 0: one is idle */
    double fresh_in_ms; /**< until it has applied what the statement must see; 0: it has */
    uint32_t running;   /**< statements of this worker that it runs */
    uint32_t slots;     /**< statements that it runs at once; 0: not known */
    bool far;           /**< in another zone */
    bool leads;         /**< it is the primary */
    double primary_only_share; /**< part of the primary's statements that no replica could run: 0 to
                                  1 */
} place_t;

/** @return when a statement would be answered there, in ms from now. */
double placement_finish_ms(const place_t *place);

/** @return the same, in ms, with surcharges for what it costs others: room at the primary, which
 * some statements need; a slot that an opening holds; traffic between zones. The statement goes to
 * the database with the least. */
double placement_cost_ms(const place_t *place);

/** @brief Learns the network time from the first round trip of a connection's opening, in which the
 * database does no work. The estimate falls quickly and rises slowly, as only delays lengthen a
 * round trip.
 * @param known_ms the estimate so far; 0: none
 * @return the new estimate, in ms */
double placement_update_rtt(double known_ms, double seen_ms);

/**
 * @brief What a database takes usually, after it has not been used for a while.
 *
 * @param own_ms moving average of its answers
 * @param group_ms the same of all databases of its group
 * @param unused time since its last answer
 */
double placement_decayed_ms(double own_ms, double group_ms, time_ns unused);

#endif
