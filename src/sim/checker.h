/* Judges the history of a run: which guarantees were broken, and how often. */
#ifndef SW_SIM_CHECKER_H
#define SW_SIM_CHECKER_H

#include "sim/sim_daemon.h"
#include "sim/sim_run.h"

/* What can be broken. */
enum checker_rule {
    CHECKER_RULE_ACKNOWLEDGED_LOST, /* a write told done is not in the final log */
    CHECKER_RULE_READ_OWN_WRITES,   /* a read missed an acknowledged write of its session */
    CHECKER_RULE_MONOTONIC_READS,   /* a read missed what an earlier read of its session saw and a
                                       majority held then */
    CHECKER_RULE_DURABLE_LOST,      /* what a majority held at a read is not in the final log */
    CHECKER_RULE_AT_MOST_ONCE,      /* a write stands in the final log more than once */
    CHECKER_RULE_NOT_RUN,           /* a write told not run stands in the final log */
    CHECKER_RULE_KEY_REUSED,        /* a key was accepted with another body */
    CHECKER_RULE_ANSWERS_MIXED,     /* an answer holds another request's data */
    CHECKER_RULE_LEAVING,           /* a drained database got new work after the bound */
    CHECKER_RULE_FAILED_REQUEST,    /* a request failed where none may (expectation) */
    CHECKER_RULE_FALSE_FAILOVER,    /* a primary was replaced where none may be (expectation) */
    CHECKER_RULE_WRITE_GAP,         /* writes landed nowhere for too long (expectation) */
    CHECKER_RULE_FAILOVERS,         /* more primaries were promoted than may be (expectation) */
    CHECKER_RULE_RECOVERY,          /* the healed group has no primary that all follow */
    CHECKER_RULE_COUNT,
};

const char *checker_rule_name(enum checker_rule rule);

struct checker_result {
    uint64_t violations[CHECKER_RULE_COUNT];
    uint64_t total;
    char *first; /* description of the first violation; NULL if none */
    /* Figures that break no guarantee. */
    uint64_t writes_done;
    uint64_t writes_not_run;
    uint64_t writes_unknown;
    uint64_t reads_done;
    uint64_t reads_by_replica;
    uint64_t reads_taken_back; /* a read missed a write that an earlier one saw, but that no
                                  majority held at that time: it was never acknowledged */
};

/* Judges a finished run. Clear the result with checker_result_clear(). */
void checker_judge(struct sim_run *run, struct checker_result *result);
void checker_result_clear(struct checker_result *result);

#endif
