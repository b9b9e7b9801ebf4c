/**
 * @file
 * @brief Shortages of database capacity, as reported to operators: periods in which statements of
 * one line (queue_rate.h) of a group are refused because they would be answered too late. Each
 * shortage is logged once at its start and once at its end. Pure functions of the time passed in.
 */
#ifndef SW_POOLER_SHORTAGE_H
#define SW_POOLER_SHORTAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** @brief Number of distinct priorities; the last one includes all lower ones. */
#define SHORTAGE_PRIORITIES 4

/** @brief Shortage of one line. Initialize with zeros. Belongs to the group's worker. */
typedef struct shortage {
    time_ns since;                         /**< start of the shortage; 0: there is none */
    time_ns refused_at;                    /**< time of the last refusal */
    uint32_t refused[SHORTAGE_PRIORITIES]; /**< refusals since its start, by priority */
} shortage_t;

/** @brief Records a refusal.
 *  @return true if it starts a shortage. */
bool shortage_refused(shortage_t *shortage, uint32_t priority, time_ns now);

/** @brief Ends the shortage after a time without refusals. `refused` is kept until the next start.
 *  @return true if the shortage ended with this call. */
bool shortage_over(shortage_t *shortage, time_ns now);

#endif
