/**
 * @file
 * @brief Time that an operation spends in each stage of its processing.
 *
 * An operation is a single statement or a whole transaction. It is in one stage at a time. Between
 * two messages of a transaction it is in STAGE_PAUSE, which is the client's time and not part of
 * the total. An owner's answer to a forwarded statement carries the owner's times by stage; the
 * rest of the time since the statement was forwarded is the network's round trip, STAGE_HOP. Pure
 * functions: times are arguments.
 */
#ifndef SW_POOLER_OPERATION_TIMING_H
#define SW_POOLER_OPERATION_TIMING_H

#include <stddef.h>
#include <stdint.h>

#include "core/types.h"

/** @brief The numbers are sent between poolers, so they are never reused. Stages in which owners
 * usually spend time have the lowest numbers, as trailing zeros are not sent. */
typedef enum operation_stage {
    STAGE_OWN = 0,      /* processing in the pooler: parsing, key check, routing, answer */
    STAGE_QUEUE = 1,    /* queued at the client's pooler for a connection, a slot or an owner */
    STAGE_DATABASE = 2, /* its statements run at a database */
    STAGE_BEGIN = 3,    /* its transaction begins at a database */
    STAGE_OPENING = 4,  /* queued while a connection is opened for it */
    STAGE_PROOF = 5,    /* waits for a check that the primary still leads */
    STAGE_RETRY = 6,    /* attempts that did not run, and the backoff after them */
    STAGE_START = 7, /* of a session's first operation: from accepting the connection to the answer
                        to its start message */
    STAGE_TOKEN = 8, /* waits for a token of the tenant's rate limit */
    STAGE_HOP = 9,   /* network round trip to the owner */
    STAGE_OWNER_QUEUE = 10, /* queued at the owner */
    STAGE_COUNT = 11,
    STAGE_PAUSE = STAGE_COUNT, /* waits for the client's next message */
} operation_stage_t;

/** @brief Times of an operation so far. */
typedef struct operation_timing {
    operation_stage_t stage;
    time_ns since;                  /* when the stage was entered, or last accounted for */
    time_ns spent[STAGE_COUNT + 1]; /* by stage */
    uint32_t statements;            /* statements of the client, ends of transactions included */
    uint32_t attempts;              /* times that a statement was sent to an owner or database */
    uint32_t at_primary; /* statements that ran at a primary, as far as this pooler knows */
    uint32_t at_replica; /* statements that ran at a replica, as far as this pooler knows */
} operation_timing_t;

/** @brief Resets all times and enters a stage. */
void operation_timing_begin(operation_timing_t *timing, operation_stage_t stage, time_ns now);

/** @brief Accounts for the current stage and enters another one. */
void operation_timing_enter(operation_timing_t *timing, operation_stage_t stage, time_ns now);

/** @brief The current attempt did not run: accounts for its time as STAGE_RETRY, and enters that
 * stage. */
void operation_timing_retry(operation_timing_t *timing, time_ns now);

/** @brief Accounts for the current stage, STAGE_HOP, with the times that the owner reported, and
 * enters STAGE_OWN.
 *  @param spent_us the owner's times by stage, `count` of them; times of stages that this pooler
 * does not know count as STAGE_HOP. */
void operation_timing_merge(operation_timing_t *timing, const uint32_t *spent_us, size_t count,
                            time_ns now);

/** @brief Writes the times by stage, for the pooler that forwarded the statement.
 *  @param spent_us array of STAGE_COUNT.
 *  @return number of times to send: up to the last that is not 0. */
size_t operation_timing_report(const operation_timing_t *timing, uint32_t *spent_us);

/** @return the time of all stages except STAGE_PAUSE. */
time_ns operation_timing_total(const operation_timing_t *timing);

/** @return the stage's name for logs and metrics. */
const char *operation_stage_name(operation_stage_t stage);

#endif
