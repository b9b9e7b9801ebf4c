/* Moves of groups between owners. Sets this daemon's position in the pools, keeps serving a group
 * that it no longer owns until the new owners' pools are warm, then gives up its connections as
 * their requests end. Control thread only, unless said otherwise. See docs/design/ownership.md. */
#ifndef SW_DAEMON_CONTROL_BUDGET_H
#define SW_DAEMON_CONTROL_BUDGET_H

#include "daemon/control_internal.h"
#include "generated/messages.h"

struct control_budget;

struct control_budget *control_budget_new(struct control *control);

/* Ends the release of all groups, whatever the state of their connections. */
void control_budget_free(struct control_budget *budget);

/* Sets this daemon's position among the owners of a group that runs here. Cancels a release in
 * progress. */
void control_budget_set_position(struct control_budget *budget, uint32_t group, int32_t position);

/* Starts the release of a group that this daemon no longer owns. The group is served until the new
 * owners, if there are any, are warm; then control_groups_end ends it, and its connections are
 * closed as they become free. */
void control_budget_release(struct control_budget *budget, uint32_t group);

/* A new configuration has replaced the run time of a group that runs here. */
void control_budget_replace_runtime(struct control_budget *budget, uint32_t group);

/* Handles a notice or request from another daemon. */
void control_budget_receive(struct control_budget *budget, const struct budget_notice *notice,
                            const struct sockaddr_in *from);

void control_budget_tick(struct control_budget *budget, time_ns now);
time_ns control_budget_next_wakeup(const struct control_budget *budget);

#endif
