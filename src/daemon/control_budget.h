/* Moves of groups between owners: tells the pools this daemon's place, keeps a lost group served
 * until its new owners are warm, then gives up its connections as its requests end. Control thread
 * only, unless told otherwise. See docs/design/ownership.md. */
#ifndef SW_DAEMON_CONTROL_BUDGET_H
#define SW_DAEMON_CONTROL_BUDGET_H

#include "daemon/control_internal.h"
#include "generated/messages.h"

struct control_budget;

struct control_budget *control_budget_new(struct control *control);

/* Lets go of all groups being released, whatever their connections do. */
void control_budget_free(struct control_budget *budget);

/* This daemon's place among the owners of a group that runs here. Takes back a release. */
void control_budget_place(struct control_budget *budget, uint32_t group, int32_t position);

/* This daemon owns the group no more. It goes on until the new owners are warm, if there are any;
 * then it is ended by control_groups_end, and its connections are closed as they come free. */
void control_budget_release(struct control_budget *budget, uint32_t group);

/* A new configuration gave the group, which runs here, another run time. */
void control_budget_succeed(struct control_budget *budget, uint32_t group);

/* What another daemon tells, or asks. */
void control_budget_receive(struct control_budget *budget, const struct budget_notice *notice,
                            const struct sockaddr_in *from);

void control_budget_tick(struct control_budget *budget, time_ns now);
time_ns control_budget_next_wakeup(const struct control_budget *budget);

#endif
