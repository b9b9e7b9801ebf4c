/* Overload in virtual time: an open loop of clients, which arrive at a fixed rate and retry, before
 * one database group with the daemon's own admission, queue, retry budget and routing. A run offers
 * one load, then half of the capacity, and reports the outcome. */
#ifndef SW_SIM_OVERLOAD_H
#define SW_SIM_OVERLOAD_H

#include "sim/sim_run.h"

/* The parameters of a run. */
struct overload_options {
    const struct sim_scenario *scenario; /* sizes, service time and faults */
    uint64_t seed;
    bool writes;   /* or reads */
    double factor; /* offered load as a multiple of the capacity, which is slots divided by service
                      time: of the replicas for reads, of the primary for writes */
    double first_share; /* share of clients that send to the first owner; the others choose any */
    double retry_after_share; /* share of clients that honour Retry-After */
};

/* The outcome. Latencies and times are in nanoseconds. */
struct overload_result {
    double capacity_per_s;
    double offered_per_s; /* first attempts */
    double goodput_per_s; /* operations done during the load, after the first second */
    time_ns done_p50;     /* latency of attempts that were done */
    time_ns done_p99;
    uint64_t attempts;
    uint64_t refused;
    time_ns refused_p50; /* latency of rejected attempts, until their final answer */
    time_ns refused_p99;
    uint64_t lost;       /* attempts without an answer in time, or with an unknown outcome */
    uint64_t given_up;   /* operations not done within their time limit */
    time_ns recovery;    /* last arrival, after the end of the load or after the first fault, of an
                            operation that failed at its first attempt */
    uint32_t slots;      /* of one database */
    uint32_t slots_peak; /* most slots in use at one database, by all owners */
    double messages_per_s; /* messages that one owner sent to share the slots of one database */
    uint32_t running_peak; /* most statements that one database ran or queued */
};

/* Runs one load. */
void overload_run(const struct overload_options *options, struct overload_result *result);

/* swiftsim overload. */
int overload_main(int argc, char **argv);

#endif
