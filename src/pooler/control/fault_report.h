/**
 * @file
 * @brief Whether a fault that a pooler reports of a database counts. A decision without sockets or
 * clock: values and a time in, values out.
 *
 * A pooler that was cut off or frozen could not reach any database, and reports them as dark once
 * it is heard again. Such a report says nothing of the database, and must not help to replace a
 * primary that serves all others: it counts only if the fault began after the pooler's return, or
 * stands long enough after it that the pooler has looked again.
 */
#ifndef SW_POOLER_OPINION_H
#define SW_POOLER_OPINION_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/** @brief When the coordinator heard a pooler. Belongs to the control thread. */
typedef struct contact {
    time_ns listening_since;   /**< when this coordinator began to listen to poolers */
    time_ns last_heartbeat_at; /**< when the last heartbeat came; 0: none has */
    time_ns returned_at; /**< when a heartbeat last came after a silence; 0: it never was silent */
} contact_t;

/** @brief A heartbeat came. */
void contact_note(contact_t *contact, time_ns now);

/** @return true if a heartbeat came lately: its opinions count at all. */
bool contact_is_recent(const contact_t *contact, time_ns now);

/** @return true if a fault that the last heartbeat reported counts; false if it began before the
 *  pooler's return, and the return was only just now.
 *  @param age_ms how long the fault had lasted, as that heartbeat told. */
bool fault_report_counts(const contact_t *contact, uint32_t age_ms, time_ns now);

#endif
