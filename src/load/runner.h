/* Runs the sessions of a load, one thread each, and records every attempt. A session sends one
 * request at a time, and each request to the next daemon of the list. */
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
    double rate;       /* operations a second of all sessions (open loop); 0: closed loop */
    uint32_t pause_ms; /* closed loop: pause between an answer and the next operation */
    double duration_s;
    uint32_t timeout_ms;           /* of one attempt */
    uint32_t operation_timeout_ms; /* of an operation with its retries, from when it is due */
    uint32_t gap_threshold_ms;
    const char *token; /* session token that every session starts with; NULL for none */
    FILE *history;     /* NULL for none; borrowed */
};

/* Runs until the end of the duration, or until runner_stop. Returns the summary, which the caller
 * frees; *ended_ns is the time at which the last session ended. */
struct summary *runner_run(const struct runner_options *options, uint64_t *ended_ns);

/* Ends a run early: sessions complete the attempt in progress. Safe in a signal handler. */
void runner_stop(void);

/* CLOCK_MONOTONIC in nanoseconds. */
uint64_t clock_now_ns(void);

#endif
