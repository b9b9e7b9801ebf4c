/* The part of each database's slots that this daemon may use: tells core/slot_share who the owners
 * are, carries its messages to the other owners, and lets queued requests in as slots come. Control
 * thread only, but for control_slots_wanted. */
#ifndef SW_DAEMON_CONTROL_SLOTS_H
#define SW_DAEMON_CONTROL_SLOTS_H

#include "daemon/control_internal.h"

/* Tells every group that runs here its owners, and this daemon's place among them. */
void control_slots_place(struct control *control);

/* What another owner asks or grants. */
void control_slots_receive(struct control *control, const struct slot_notice *notice);

/* Asks for slots, lends, calls back and gives back, as is due for a group. */
void control_slots_tick(struct controlled_group *group, time_ns now);

/* When that is next to be called; UINT64_MAX if only an event can change something. */
time_ns control_slots_next_wakeup(const struct controlled_group *group);

#endif
