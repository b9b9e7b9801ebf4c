/* Runs the sessions of a load, one thread each, and records every attempt. A session sends one
 * request at a time, and each to another daemon than the one before. */
#ifndef SW_LOAD_RUNNER_H
#define SW_LOAD_RUNNER_H

#include <stdio.h>

#include "load/client.h"
#include "load/summary.h"
#include "load/workload.h"

struct runner_options {
    GStrv addresses; /* "HOST:PORT" of the daemons, or of databases */
    GStrv tenants;   /* session i belongs to tenant i modulo their number */
    struct client *(*client_new)(void);
    struct workload_options workload;
    double rate;       /* operations a second in all (open loop); 0 = closed loop */
    uint32_t pause_ms; /* closed loop: between an answer and the next operation */
    double duration_s;
    uint32_t timeout_ms;           /* of one attempt */
    uint32_t operation_timeout_ms; /* of an operation with its retries, from when it is due */
    uint32_t gap_threshold_ms;
    const char *token; /* session token that every session starts with; NULL for none */
    FILE *history;     /* NULL for none; borrowed */
};

/* Runs to the end of the duration, or until runner_stop. Returns the figures, which the caller
 * frees; *ended_ns is when the last session ended. */
struct summary *runner_run(const struct runner_options *options, uint64_t *ended_ns);

/* Ends a run early: sessions finish the attempt at hand. May be called in a signal handler. */
void runner_stop(void);

/* CLOCK_MONOTONIC in nanoseconds. */
uint64_t clock_now_ns(void);

#endif
