/* Chooses a session's next operation, and whether a request is sent again. Deterministic: the same
 * seed gives the same operations. */
#ifndef SW_LOAD_WORKLOAD_H
#define SW_LOAD_WORKLOAD_H

#include <stdatomic.h>

#include "load/operation.h"

/* Writes of a session in one range, before it starts the next range. Bounds the number of rows that
 * a read returns. */
#define WORKLOAD_RANGE_WRITES 20

/* The mix of operations, the same for all sessions. Shares are from 0 to 1. */
struct workload_options {
    const char *run; /* name of the run; makes its ids different from those of other runs */
    uint32_t sessions;
    double read_share;     /* of the operations */
    double batch_share;    /* of the writes: sent as a transaction of two statements */
    double unkeyed_share;  /* of the writes: sent without an idempotency key */
    double own_read_share; /* of the reads: of the session's own writes */
    uint32_t seed;
};

/* One session's operations. Used by one thread, except that others may read `generation`. */
struct workload {
    const struct workload_options *options;
    struct workload *const *all; /* every session of the run, by index */
    uint32_t index;
    char *session; /* name of the session */
    GRand *random;
    uint64_t operations;
    uint64_t writes;
    _Atomic uint32_t generation; /* number of its current range */
};

/* `all` has options->sessions entries and must be complete before the first workload_next. */
struct workload *workload_new(const struct workload_options *options, struct workload *const *all,
                              uint32_t index);
void workload_free(struct workload *workload);

/* The next operation; the caller frees it. */
struct operation *workload_next(struct workload *workload);

/* A unique key; the caller frees it. */
char *workload_new_key(struct workload *workload);

enum retry_action {
    RETRY_ACTION_STOP,
    RETRY_ACTION_SAME_KEY, /* retry it unchanged */
    RETRY_ACTION_NEW_KEY,  /* retry it under a new key */
};

/* Decides on a retry from the answer's error; `keyed` if the attempt had a key. */
enum retry_action retry_decide(enum operation_kind kind, bool keyed, enum attempt_outcome outcome,
                               enum error_retry advice);

/* The delay before attempt number `attempt` (from 1), in milliseconds: the one that the answer
 * names, or a back-off. `random` is from 0 to 1. */
uint32_t retry_delay_ms(uint32_t attempt, uint32_t retry_after_ms, double random);

#endif
