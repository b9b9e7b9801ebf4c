/* Figures of failovers and planned changes in a run: how long no write was acknowledged, and how
 * that time divides into phases. */
#ifndef SW_SIM_MEASURE_H
#define SW_SIM_MEASURE_H

#include "sim/sim_run.h"

/* The gap around one replacement of the primary. All times are in nanoseconds. */
struct measure_gap {
    bool found;
    time_ns detect;  /* from the fault to the first fence; of a planned change: from the drain
                        request to the pause */
    time_ns promote; /* from there to the promotion of the new primary */
    time_ns learn;   /* from there to the next acknowledged write */
    time_ns gap;     /* longest time without an acknowledged write, around the replacement */
};

/* Measures the first replacement after the first fault. */
struct measure_gap measure_first_gap(const struct sim_run *run);

/* The longest time without an acknowledged write while the clients send. */
time_ns measure_longest_gap(const struct sim_run *run);

/* Prints median, 99th percentile and worst of the gaps, in milliseconds. `gaps` is sorted. */
void measure_print(GArray *gaps, const char *title);

#endif
