/* Records the events that daemons feed to the group's control, for replay. */
#ifndef SW_SIM_TRACE_H
#define SW_SIM_TRACE_H

#include "sim/sim_daemon.h"

/* A daemon's control begins with these options. */
void sim_trace_start(struct sim_run *run, const struct sim_daemon *daemon,
                     const struct group_control_options *options);

/* It was fed this event. */
void sim_trace_event(struct sim_run *run, const struct sim_daemon *daemon,
                     const struct group_event *event);

#endif
