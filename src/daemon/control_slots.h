/* The share of each database's slots that this daemon may use; a database runs one statement per
 * slot. Sets the owners in core/slot_share, carries its messages to the other owners, and starts
 * queued requests as slots become available. Control thread only, except
 * control_report_slot_demand. */
#ifndef SW_DAEMON_CONTROL_SLOTS_H
#define SW_DAEMON_CONTROL_SLOTS_H

#include "daemon/control_internal.h"

/* Sets the owners of every group that runs here and this daemon's position among them. */
void control_slots_set_owners(struct control *control);

/* Handles another owner's request or grant. */
void control_slots_receive(struct control *control, const struct slot_notice *notice);

/* Sends the requests, loans, recalls and returns of slots that are due for a group. */
void control_slots_tick(struct controlled_group *group, time_ns now);

/* Time at which control_slots_tick is next due; UINT64_MAX if only an event can change something.
 */
time_ns control_slots_next_wakeup(const struct controlled_group *group);

#endif
