/* Overload on virtual time: clients that come at a rate whatever the answers (open loop) and retry,
 * before one database group with the program's own admission, queue, retry budget and routing. A
 * run offers one load, then half of the capacity, and tells what became of it. */
#ifndef SW_SIM_OVERLOAD_H
#define SW_SIM_OVERLOAD_H

#include "sim/sim_run.h"

/* One load. */
struct overload_options {
    const struct sim_scenario *scenario; /* sizes and service time; its faults are run, too */
    uint64_t seed;
    bool writes;          /* or reads */
    double factor;        /* load, as a part of the capacity: slots by service time, of the replicas
                             for reads, of the primary for writes */
    double first_share;   /* of the clients that come to the first owner; the others, to any */
    double patient_share; /* of the clients that honour Retry-After */
};

/* What became of it. Latencies and times in nanoseconds. */
struct overload_result {
    double capacity_per_s;
    double offered_per_s; /* first attempts */
    double goodput_per_s; /* operations done in the load's time, after the first second */
    time_ns done_p50;     /* of attempts that were done */
    time_ns done_p99;
    uint64_t attempts;
    uint64_t refused;
    time_ns refused_p50; /* of attempts that were refused, to their final answer */
    time_ns refused_p99;
    uint64_t lost;         /* attempts without an answer in time, or with an unknown outcome */
    uint64_t given_up;     /* operations not done within their time */
    time_ns recovery;      /* last arrival after the load's end, or after the first fault, of an
                              operation that was not done at its first attempt */
    uint32_t slots;        /* of one database */
    uint32_t slots_peak;   /* taken at one database, by all owners */
    double messages_per_s; /* that one owner sent for one database, to share its slots */
    uint32_t running_peak; /* statements that one database had begun or queued */
};

/* Runs one load. */
void overload_run(const struct overload_options *options, struct overload_result *result);

/* swiftsim overload. */
int overload_main(int argc, char **argv);

#endif
