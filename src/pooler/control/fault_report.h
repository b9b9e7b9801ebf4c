/**
 * @file
 * @brief Whether a pooler's report of a faulty database counts. Pure functions: the time is a
 * parameter.
 *
 * A pooler that was partitioned or frozen could not reach any database, and reports all of them as
 * unreachable when its heartbeats arrive again. Such a report says nothing about the database, and
 * must not contribute to replacing a primary that serves all other poolers. It counts only if the
 * fault began after the pooler's return, or has lasted long enough after it that the pooler has
 * checked the database again.
 */
#ifndef SW_POOLER_FAULT_REPORT_H
#define SW_POOLER_FAULT_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** @brief When a pooler's heartbeats reached the coordinator. Only for the control thread. */
typedef struct contact {
    time_ns listening_since;   /**< when this coordinator began to accept heartbeats */
    time_ns last_heartbeat_at; /**< 0: no heartbeat yet */
    time_ns returned_at;       /**< last arrival after an interruption; 0: no interruption */
} contact_t;

/** @brief Notes that a heartbeat arrived. */
void contact_note(contact_t *contact, time_ns now);

/** @return true if the last heartbeat is recent. Otherwise none of its fault reports count. */
bool contact_is_recent(const contact_t *contact, time_ns now);

/** @return true if a fault report of the last heartbeat counts. It does not if the pooler returned
 * only recently and the fault began before the return.
 *  @param age_ms how long the fault had lasted, by that heartbeat. */
bool fault_report_counts(const contact_t *contact, uint32_t age_ms, time_ns now);

#endif
