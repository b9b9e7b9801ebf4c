/**
 * @file
 * @brief Departure rate of queued statements, and the forecast whether a statement in the queue
 * would be answered in time. The queue of a group has two lines: statements that only the primary
 * may run, and those that any database may run. Pure functions of the values and times passed in.
 */
#ifndef SW_POOLER_QUEUE_RATE_H
#define SW_POOLER_QUEUE_RATE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** @brief Lines of a queue, by the databases that may run their statements. */
typedef enum queue_line {
    QUEUE_LINE_PRIMARY, /**< only the primary */
    QUEUE_LINE_ANY,     /**< the primary and replicas */
    QUEUE_LINE_COUNT,
} queue_line_t;

/** @brief Departure rate of one line. Initialize with zeros. Belongs to the group's worker. */
typedef struct queue_rate {
    time_ns moved_at;   /**< last departure, or last arrival into an empty line */
    double interval_ms; /**< moving average of the time between departures */
} queue_rate_t;

/** @brief Input of a forecast: a statement that would wait, and the databases that may run it. */
typedef struct wait_forecast {
    uint32_t ahead;    /**< number of statements of its line in front of it */
    uint32_t capacity; /**< statements of this worker that the databases run at once; 0: unknown */
    double run_ms;     /**< expected time from sending the statement to its answer */
    double each_ms;    /**< the same, on average, for the statements ahead */
    double waited_ms;  /**< time since the first pooler, this or another one, received it */
    double objective_ms; /**< latency objective of its route, from the same time on */
} wait_forecast_t;

/** @brief Records an arrival. The time during which the line was empty is not part of the rate.
 *  @param waiting number of statements in the line before the arrival. */
void queue_rate_note_arrival(queue_rate_t *rate, uint32_t waiting, time_ns now);

/** @brief Records that a statement of the line was sent to a database. */
void queue_rate_note_departure(queue_rate_t *rate, time_ns now);

/** @brief Excludes the time up to now from the rate, because the line was stalled by another cause
 *  than load, such as a change of primary. */
void queue_rate_restart(queue_rate_t *rate, time_ns now);

/** @return how long the statement would wait, in ms. */
double queue_rate_wait_ms(const queue_rate_t *rate, const wait_forecast_t *forecast);

/** @return by how much the answer would miss the objective, in ms; 0: in time. */
double queue_rate_late_by_ms(const queue_rate_t *rate, const wait_forecast_t *forecast);

/** @return true if the answer would miss the objective. The statement is then refused at once, so
 * that its client can retry elsewhere and the statements ahead of it are answered in time. */
bool queue_rate_is_late(const queue_rate_t *rate, const wait_forecast_t *forecast);

#endif
