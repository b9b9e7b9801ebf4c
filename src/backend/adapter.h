/* The one place that knows what a database of the group calls its functions, and the one that runs
 * requests on a connection: reads under a guard, writes under an idempotency key, and the commands
 * of a failover. Each call drives one connection to a known state or marks it BROKEN; the caller
 * then releases it as reusable, and the pool checks it. No call outlives its deadline. */
#ifndef SW_BACKEND_ADAPTER_H
#define SW_BACKEND_ADAPTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "backend/connection.h"
#include "backend/pipeline.h"
#include "core/types.h"
#include "generated/messages.h"

/* What came of a call. */
enum execute_result {
    EXECUTE_DONE,
    /* The database had not applied the guard; no rows are passed on. */
    EXECUTE_GUARD_SHORT,
    /* Certainly not run, now or later: the connection was lost or the deadline passed before COMMIT
     * was sent, so the database rolls back; the database had ended the session before COMMIT came;
     * or it had no room. */
    EXECUTE_NOT_SENT,
    /* A read without a whole answer, or a write whose COMMIT was sent and not answered. */
    EXECUTE_LOST,
    EXECUTE_FAILED,           /* the database reported an error; rolled back */
    EXECUTE_CONFLICT,         /* serialization failure, deadlock or lock time-out; rolled back */
    EXECUTE_NOT_PRIMARY,      /* the database takes no writes; rolled back */
    EXECUTE_ALREADY_DONE,     /* the ledger has the key: committed before, with these results */
    EXECUTE_KEY_CLOSED,       /* the ledger has the key: never run, and never will be */
    EXECUTE_KEY_REUSED,       /* the ledger has the key with another fingerprint */
    EXECUTE_ANSWER_TOO_LARGE, /* over the limits; rolled back */
};

/* Lower-case name, as in logs. */
const char *execute_result_name(enum execute_result result);

/* What a call brought back. Owns its content. Start with execute_answer_init; each call clears what
 * an earlier one left. */
struct execute_answer {
    struct sql_result *results; /* one for each statement, with DONE and ALREADY_DONE */
    size_t results_count;
    /* ALREADY_DONE: the results were too large to be kept in the ledger. */
    bool results_not_kept;
    /* Read: as of before the statements. Write: as of after its commit. */
    struct database_status status;
    /* Write: where it was committed, or, for what the ledger had, a place at or after it. Read, and
     * statements of a transaction: what they may have seen at the most; the session has then seen
     * it. */
    struct log_position position;
    char *error_text; /* NULL if none */
    char sqlstate[SQLSTATE_SIZE];
    uint32_t error_position; /* in characters from 1; 0 = none */
};

void execute_answer_init(struct execute_answer *answer);
void execute_answer_clear(struct execute_answer *answer);

/* The identity of a write that may be asked for again. Strings belong to the caller. */
struct adapter_key {
    const char *key; /* with the tenant in it; NULL = a write without a key */
    uint64_t fingerprint;
    const char *request_id; /* kept in the ledger for operators; may be NULL */
};

/* Runs statements that only read, in one round trip: waits up to `guard_wait_ms` until `guard` is
 * applied, then runs them in one read-only transaction, also when there is one statement, so that
 * a function which writes can't be run twice by a read that is tried again. */
enum execute_result adapter_read(struct backend_connection *connection, struct log_position guard,
                                 uint32_t guard_wait_ms, const struct sql_statement *statements,
                                 size_t count, time_ns deadline, const struct result_limits *limits,
                                 struct execute_answer *answer);

/* Runs statements in one transaction and commits, in two round trips: statements, then COMMIT. A
 * loss during the first proves that the write was not run, since COMMIT was never sent: that is
 * why they are not one. With a key, the key's ledger row is part of the transaction. No statement
 * may end the transaction itself: the frontend refuses those. */
enum execute_result adapter_write(struct backend_connection *connection,
                                  const struct adapter_key *key,
                                  const struct sql_statement *statements, size_t count,
                                  time_ns deadline, const struct result_limits *limits,
                                  struct execute_answer *answer);

/* Claims a key so that its write can never run. KEY_CLOSED: it is closed, by this call or an
 * earlier one, at or before answer->position. ALREADY_DONE: the write had been committed. */
enum execute_result adapter_close_key(struct backend_connection *connection,
                                      const struct adapter_key *key, time_ns deadline,
                                      struct execute_answer *answer);

/* Creates the ledger table if it is missing; needs the primary. */
enum execute_result adapter_create_ledger(struct backend_connection *connection, time_ns deadline,
                                          struct execute_answer *answer);

/* Removes at most `limit` ledger rows older than `days`. A key that comes back later would run
 * again, so `days` must exceed how long callers ask again. `removed` may be NULL. */
enum execute_result adapter_expire_ledger(struct backend_connection *connection, uint32_t days,
                                          uint32_t limit, time_ns deadline, uint64_t *removed,
                                          struct execute_answer *answer);

/* How a transaction of several requests starts. */
struct adapter_transaction_options {
    bool read_only;
    struct adapter_key key;    /* a write's; claimed by the commit */
    struct log_position guard; /* a read's; as in adapter_read */
    uint32_t guard_wait_ms;
    uint32_t idle_ms; /* the database ends it after such a pause; 0: the connection's bound */
};

/* Starts a transaction. Unless DONE, none is open after. A key that is taken already gives
 * ALREADY_DONE, KEY_CLOSED or KEY_REUSED; none of them is certain before the commit, which claims
 * the key. */
enum execute_result adapter_begin(struct backend_connection *connection,
                                  const struct adapter_transaction_options *options,
                                  time_ns deadline, struct execute_answer *answer);

/* Runs statements in the open transaction. After DONE it goes on, and answer->position is what the
 * statements may have seen at the most; after FAILED, CONFLICT and
 * ANSWER_TOO_LARGE only adapter_rollback is of use; after LOST or NOT_SENT it is rolled back. */
enum execute_result adapter_statement(struct backend_connection *connection,
                                      const struct sql_statement *statements, size_t count,
                                      time_ns deadline, const struct result_limits *limits,
                                      struct execute_answer *answer);

/* Commits. DONE: committed at answer->position. LOST: may have committed. Any other: rolled back.
 */
enum execute_result adapter_commit(struct backend_connection *connection,
                                   const struct adapter_transaction_options *options,
                                   time_ns deadline, struct execute_answer *answer);

/* Rolls back; whatever the result, nothing of the transaction is ever committed. */
enum execute_result adapter_rollback(struct backend_connection *connection, time_ns deadline);

/* What came of asking for the lock of a number. */
enum number_result {
    NUMBER_HELD,
    NUMBER_TAKEN,  /* another connection holds it */
    NUMBER_FAILED, /* not known: the connection is of no use */
};

/* Takes the lock of one of the database's numbered connections (core/budget.h). It is held until
 * the connection has ended at the database. */
enum number_result adapter_take_number(struct backend_connection *connection, uint32_t number,
                                       time_ns deadline, GError **error);

/* Commands that answer with the database's status. */
enum adapter_command {
    ADAPTER_COMMAND_STATUS,
    ADAPTER_COMMAND_FENCE,   /* promise to refuse anything of a term below `term` */
    ADAPTER_COMMAND_PROMOTE, /* lead in `term` */
    ADAPTER_COMMAND_FOLLOW,  /* follow the primary at `address` in `term` */
    ADAPTER_COMMAND_SET_LEAVING,
    ADAPTER_COMMAND_WAIT_HELD,    /* wait up to `wait_ms` until `position` is in the log */
    ADAPTER_COMMAND_WAIT_APPLIED, /* the same, until reads see it */
};

/* A command with the fields it uses. Strings belong to the caller. */
struct adapter_call {
    enum adapter_command command;
    uint64_t term;
    const char *coordinator; /* FENCE, PROMOTE, FOLLOW: who asks, for the database's log */
    const char *address;     /* FOLLOW: "host:port" */
    bool leaving;            /* SET_LEAVING */
    uint64_t order;          /* SET_LEAVING */
    struct log_position position;
    uint32_t wait_ms;
};

/* Runs a command. DONE, with answer->status; FAILED, with sqlstate 55000 where a fence, promotion
 * or follow was refused for its term; LOST. */
enum execute_result adapter_run(struct backend_connection *connection,
                                const struct adapter_call *call, time_ns deadline,
                                struct execute_answer *answer);

/* Queues the command without waiting, for callers that multiplex connections; its answer is then
 * read by adapter_parse_status. False if the connection is broken. */
bool adapter_send(struct backend_connection *connection, const struct adapter_call *call);

/* Reads a status row out of a result, in columns or as the text form of a row in the only column;
 * false if it is none. */
bool adapter_parse_status(const struct sql_result *result, struct database_status *status);

#endif
