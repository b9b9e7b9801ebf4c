/* Recording of core events. */
#include "sim/sim_trace.h"

void sim_trace_start(struct sim_run *run, const struct sim_daemon *daemon,
                     const struct group_control_options *options)
{
}

void sim_trace_event(struct sim_run *run, const struct sim_daemon *daemon,
                     const struct group_event *event)
{
}
