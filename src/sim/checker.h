/* Checks the history of a run: which guarantees were violated, and how often. */
#ifndef SW_SIM_CHECKER_H
#define SW_SIM_CHECKER_H

#include "sim/sim_daemon.h"
#include "sim/sim_run.h"

/* The guarantees and expectations that are checked. */
enum checker_rule {
    CHECKER_RULE_ACKNOWLEDGED_LOST, /* a write reported as done is missing from the final log */
    CHECKER_RULE_READ_OWN_WRITES,   /* a read missed an acknowledged write of its session */
    CHECKER_RULE_MONOTONIC_READS, /* a read missed an entry that an earlier read of its session saw
                                     and a majority held at that time */
    CHECKER_RULE_DURABLE_LOST,  /* an entry that a majority held at a read is missing from the final
                                   log */
    CHECKER_RULE_AT_MOST_ONCE,  /* a write is in the final log more than once */
    CHECKER_RULE_NOT_RUN,       /* a write reported as not run is in the final log */
    CHECKER_RULE_KEY_REUSED,    /* a key was accepted again with another body */
    CHECKER_RULE_ANSWERS_MIXED, /* an answer contains another request's data */
    CHECKER_RULE_LEAVING,       /* a drained database got new work after the limit */
    CHECKER_RULE_FAILED_REQUEST, /* a request failed though none may (expectation) */
    CHECKER_RULE_FALSE_FAILOVER, /* a primary was replaced though none may be (expectation) */
    CHECKER_RULE_WRITE_GAP,      /* no write was acknowledged for too long (expectation) */
    CHECKER_RULE_FAILOVERS,      /* more primaries were promoted than allowed (expectation) */
    CHECKER_RULE_RECOVERY,       /* after the faults the group has no primary that all databases and
                                    daemons follow */
    CHECKER_RULE_COUNT,
};

const char *checker_rule_name(enum checker_rule rule);

struct checker_result {
    uint64_t violations[CHECKER_RULE_COUNT];
    uint64_t total;
    char *first; /* description of the first violation; NULL if none */
    /* Figures that violate no guarantee. */
    uint64_t writes_done;
    uint64_t writes_not_run;
    uint64_t writes_unknown;
    uint64_t reads_done;
    uint64_t reads_by_replica;
    uint64_t
        reads_reverted; /* reads that missed a write which an earlier read of the session saw, but
                           which no majority held at that time: it was never acknowledged */
};

/* Checks a finished run. Clear the result with checker_result_clear(). */
void checker_evaluate(struct sim_run *run, struct checker_result *result);
void checker_result_clear(struct checker_result *result);

#endif
