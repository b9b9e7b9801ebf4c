/* Injects the faults of a scenario. */
#ifndef SW_SIM_FAULT_H
#define SW_SIM_FAULT_H

#include "sim/sim_run.h"

/* Schedules the faults that start at a time. */
void sim_fault_start(struct sim_run *run);

/* Ends all faults in progress. */
void sim_fault_end_all(struct sim_run *run);

#endif
