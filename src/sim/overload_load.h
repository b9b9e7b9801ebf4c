/* The clients of an overload run. */
#ifndef SW_SIM_OVERLOAD_LOAD_H
#define SW_SIM_OVERLOAD_LOAD_H

#include "sim/overload.h"

/* Duration of the load, and of the half load that follows. */
#define OVERLOAD_TIME      (8 * SIM_SECOND)
#define OVERLOAD_REST_TIME (10 * SIM_SECOND)

struct overload_load;

/* Prepares the clients of a run. They start to arrive when the run's load starts. */
struct overload_load *overload_load_new(struct sim_run *run,
                                        const struct overload_options *options);
void overload_load_free(struct overload_load *load);

/* Computes the clients' part of the result after the run. */
void overload_load_evaluate(struct overload_load *load, struct overload_result *result);

#endif
