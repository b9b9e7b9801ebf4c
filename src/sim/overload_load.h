/* The clients of an overload run. */
#ifndef SW_SIM_OVERLOAD_LOAD_H
#define SW_SIM_OVERLOAD_LOAD_H

#include "sim/overload.h"

/* The time of the load, and of the half load that follows. */
#define OVERLOAD_TIME      (8 * SIM_SECOND)
#define OVERLOAD_REST_TIME (10 * SIM_SECOND)

struct overload_load;

/* Prepares the clients of a run; they begin to come at the run's start of load. */
struct overload_load *overload_load_new(struct sim_run *run,
                                        const struct overload_options *options);
void overload_load_free(struct overload_load *load);

/* Works out what the clients saw, once the run is over. */
void overload_load_judge(struct overload_load *load, struct overload_result *result);

#endif
