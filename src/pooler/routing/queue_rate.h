/**
 * @file
 * @brief How fast a line of waiting statements moves, and whether a statement in it would be in
 * time. Statements that only a primary may run wait in one line, those that any database may run in
 * another. A decision without sockets or clock: values and a time in, values out.
 */
#ifndef SW_POOLER_QUEUE_RATE_H
#define SW_POOLER_QUEUE_RATE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** @brief Who may run the statements of a line. */
typedef enum queue_line {
    QUEUE_LINE_PRIMARY, /**< the primary alone */
    QUEUE_LINE_ANY,     /**< replicas as well */
    QUEUE_LINE_COUNT,
} queue_line_t;

/** @brief How fast one line moves. Start from zeros. Belongs to the group's worker. */
typedef struct pace {
    time_ns moved_at;   /**< when a statement last left it, or came while none waited */
    double interval_ms; /**< moving average of the time between two that leave it */
} queue_rate_t;

/** @brief What is known of a statement that would wait, and of the databases that may run it. */
typedef struct prospect {
    uint32_t ahead;      /**< statements of its line that go before it */
    uint32_t room;       /**< statements of this worker that they run at once; 0: not known */
    double run_ms;       /**< expected time from its sending to its answer */
    double each_ms;      /**< the same, on average, of those ahead */
    double waited_ms;    /**< since its first pooler, this or another one, read it */
    double objective_ms; /**< its route's objective, counted from the same moment */
} wait_forecast_t;

/** @brief A statement comes into the line. The time before the first one is no part of the pace.
 *  @param waiting statements in the line before it came. */
void queue_rate_note_arrival(queue_rate_t *pace, uint32_t waiting, time_ns now);

/** @brief A statement left the line for a database. */
void queue_rate_note_departure(queue_rate_t *pace, time_ns now);

/** @brief Something else than load held the line up until now, as a change of primary: that time is
 *  no part of the pace. */
void queue_rate_restart(queue_rate_t *pace, time_ns now);

/** @return for how long the statement would wait, in ms */
double queue_rate_wait_ms(const queue_rate_t *pace, const wait_forecast_t *prospect);

/** @return by how much it would be answered too late to be of use, in ms; 0: in time. */
double queue_rate_late_by_ms(const queue_rate_t *pace, const wait_forecast_t *prospect);

/** @brief True if it would be answered too late to be of use: better refused at once, so that its
 * caller may ask elsewhere and those before it are in time. */
bool queue_rate_is_late(const queue_rate_t *pace, const wait_forecast_t *prospect);

#endif
