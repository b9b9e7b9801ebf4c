/* Performs the faults of a scenario. */
#ifndef SW_SIM_FAULT_H
#define SW_SIM_FAULT_H

#include "sim/sim_run.h"

/* Schedules the faults that are set off by time. */
void sim_fault_start(struct sim_run *run);

/* Ends every fault that still lasts. */
void sim_fault_heal(struct sim_run *run);

#endif
