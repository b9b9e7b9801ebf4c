/* Runs reads, writes and failover commands on a connection to a database of a group. This is the
 * only module that knows the names of the SQL functions (swiftworks_*) that the databases provide.
 * Reads run under a guard (a log position that must be applied first), writes under an idempotency
 * key. Each call leaves its connection in a known state or marks it BROKEN; the caller then returns
 * it to the pool as reusable, and the pool checks it. No call runs past its deadline. */
#ifndef SW_BACKEND_ADAPTER_H
#define SW_BACKEND_ADAPTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "backend/connection.h"
#include "backend/pipeline.h"
#include "core/types.h"
#include "generated/messages.h"

/* Result of a call. */
enum execute_result {
    EXECUTE_DONE,
    /* The database had not applied the guard position within the wait; no rows are returned. */
    EXECUTE_GUARD_SHORT,
    /* Not run, and never will be. The connection broke or the deadline passed before COMMIT was
     * sent, so the database rolls back; or the database had ended the session before COMMIT
     * arrived; or it had no free connection slot (SQLSTATE 53300). */
    EXECUTE_NOT_SENT,
    /* Outcome unknown: a read without a complete answer, or a write whose COMMIT was sent and not
     * answered. */
    EXECUTE_LOST,
    EXECUTE_FAILED,           /* the database reported an error; rolled back */
    EXECUTE_CONFLICT,         /* serialization failure, deadlock or lock time-out; rolled back */
    EXECUTE_NOT_PRIMARY,      /* the database accepts no writes (read-only); rolled back */
    EXECUTE_ALREADY_DONE,     /* the key is in the ledger: committed earlier, with these results */
    EXECUTE_KEY_CLOSED,       /* the key is in the ledger as closed: never run, and never will be */
    EXECUTE_KEY_REUSED,       /* the key is in the ledger with another fingerprint */
    EXECUTE_ANSWER_TOO_LARGE, /* larger than the limits; rolled back */
};

/* Lower-case name, as in logs. */
const char *execute_result_name(enum execute_result result);

/* Answer of a call. It owns its content. Initialise it with execute_answer_init; each call clears
 * the previous content. */
struct execute_answer {
    struct sql_result *results; /* one per statement; set with DONE and ALREADY_DONE */
    size_t results_count;
    /* ALREADY_DONE: the results exceeded the size that the ledger stores. */
    bool results_not_kept;
    /* Read: status before the statements ran. Write: status after the commit. */
    struct database_status status;
    /* Write: its commit position; for a key found in the ledger, a position at or after the commit.
     * Read, and statements of a transaction: upper bound of what they may have seen, which becomes
     * the session's guard. */
    struct log_position position;
    char *error_text; /* NULL if none */
    char sqlstate[SQLSTATE_SIZE];
    uint32_t error_position; /* in characters from 1; 0 = none */
};

void execute_answer_init(struct execute_answer *answer);
void execute_answer_clear(struct execute_answer *answer);

/* Identity of a write that the client may retry. The caller owns the strings. */
struct adapter_key {
    const char *key; /* prefixed with the tenant; NULL for a write without a key */
    uint64_t fingerprint;
    const char *request_id; /* stored in the ledger for operators; may be NULL */
};

/* Runs read-only statements in one round trip. Waits up to `guard_wait_ms` until the position
 * `guard` is applied, then runs the statements in one READ ONLY transaction. A single statement
 * gets a transaction too, so that a function which writes can't run twice when a read is retried.
 */
enum execute_result adapter_read(struct backend_connection *connection, struct log_position guard,
                                 uint32_t guard_wait_ms, const struct sql_statement *statements,
                                 size_t count, time_ns deadline, const struct result_limits *limits,
                                 struct execute_answer *answer);

/* Runs statements in one transaction and commits, in two round trips: statements, then COMMIT. They
 * are separate so that a connection lost during the first proves that the write was not run, since
 * COMMIT was never sent. With a key, the key's ledger row is part of the transaction. The
 * statements must not end the transaction themselves; the frontend rejects such statements. */
enum execute_result adapter_write(struct backend_connection *connection,
                                  const struct adapter_key *key,
                                  const struct sql_statement *statements, size_t count,
                                  time_ns deadline, const struct result_limits *limits,
                                  struct execute_answer *answer);

/* Claims a key so that its write can never run. KEY_CLOSED: closed by this call or an earlier one,
 * at or before answer->position. ALREADY_DONE: the write had been committed. */
enum execute_result adapter_close_key(struct backend_connection *connection,
                                      const struct adapter_key *key, time_ns deadline,
                                      struct execute_answer *answer);

/* Creates the ledger table if it does not exist; must run at the primary. */
enum execute_result adapter_create_ledger(struct backend_connection *connection, time_ns deadline,
                                          struct execute_answer *answer);

/* Deletes at most `limit` ledger rows older than `days`. A write retried after its row was deleted
 * would run again, so `days` must exceed the period in which clients retry. `removed` may be NULL.
 */
enum execute_result adapter_expire_ledger(struct backend_connection *connection, uint32_t days,
                                          uint32_t limit, time_ns deadline, uint64_t *removed,
                                          struct execute_answer *answer);

/* How to start a transaction that spans several requests. */
struct adapter_transaction_options {
    bool read_only;
    struct adapter_key key;    /* writes only; claimed at commit */
    struct log_position guard; /* reads only; as in adapter_read */
    uint32_t guard_wait_ms;
    uint32_t idle_ms; /* idle time-out in the database; 0: that of the connection */
};

/* Starts a transaction. With any result but DONE no transaction is open afterwards. A key that is
 * already in the ledger gives ALREADY_DONE, KEY_CLOSED or KEY_REUSED. A key that is not there yet
 * may still be claimed by another write until adapter_commit claims it. */
enum execute_result adapter_begin(struct backend_connection *connection,
                                  const struct adapter_transaction_options *options,
                                  time_ns deadline, struct execute_answer *answer);

/* Runs statements in the open transaction. After DONE the transaction stays open, and
 * answer->position is an upper bound of what the statements may have seen. After FAILED, CONFLICT
 * and ANSWER_TOO_LARGE only adapter_rollback is allowed. After LOST or NOT_SENT it is rolled back.
 */
enum execute_result adapter_statement(struct backend_connection *connection,
                                      const struct sql_statement *statements, size_t count,
                                      time_ns deadline, const struct result_limits *limits,
                                      struct execute_answer *answer);

/* Commits. DONE: committed at answer->position. LOST: may have committed. Any other: rolled back.
 */
enum execute_result adapter_commit(struct backend_connection *connection,
                                   const struct adapter_transaction_options *options,
                                   time_ns deadline, struct execute_answer *answer);

/* Rolls back. Whatever the result, nothing of the transaction is ever committed. */
enum execute_result adapter_rollback(struct backend_connection *connection, time_ns deadline);

/* Result of a request for a numbered lock. */
enum number_result {
    NUMBER_HELD,
    NUMBER_TAKEN,  /* another connection holds it */
    NUMBER_FAILED, /* unknown: the connection must be closed */
};

/* Takes the advisory lock of one of the database's connection numbers, which limit the connections
 * of all owners together (core/budget.h). It is held until the database has ended the connection.
 */
enum number_result adapter_take_number(struct backend_connection *connection, uint32_t number,
                                       time_ns deadline, GError **error);

/* Commands that answer with the database's status. */
enum adapter_command {
    ADAPTER_COMMAND_STATUS,
    ADAPTER_COMMAND_FENCE,   /* refuse requests of any term below `term` from now on */
    ADAPTER_COMMAND_PROMOTE, /* become primary in `term` */
    ADAPTER_COMMAND_FOLLOW,  /* replicate from the primary at `address` in `term` */
    ADAPTER_COMMAND_SET_LEAVING,
    ADAPTER_COMMAND_WAIT_HELD,    /* wait up to `wait_ms` until `position` is in the log */
    ADAPTER_COMMAND_WAIT_APPLIED, /* wait up to `wait_ms` until `position` is visible to reads */
};

/* A command and its arguments. The caller owns the strings. */
struct adapter_call {
    enum adapter_command command;
    uint64_t term;
    const char *coordinator; /* FENCE, PROMOTE, FOLLOW: requester's name, for the database's log */
    const char *address;     /* FOLLOW: "host:port" */
    bool leaving;            /* SET_LEAVING */
    uint64_t order;          /* SET_LEAVING */
    struct log_position position;
    uint32_t wait_ms;
};

/* Runs a command and waits for its answer. DONE: answer->status is set. FAILED: the database
 * reported an error; sqlstate is 55000 if it refused a fence, promotion or follow because of its
 * term. LOST: outcome unknown. */
enum execute_result adapter_run(struct backend_connection *connection,
                                const struct adapter_call *call, time_ns deadline,
                                struct execute_answer *answer);

/* Queues the command without waiting, for callers that multiplex connections; they read the answer
 * with adapter_parse_status. False if the connection is broken. */
bool adapter_send(struct backend_connection *connection, const struct adapter_call *call);

/* Parses a status row, either as columns or as the text form of a composite value in a single
 * column. False if the result is not a status row. */
bool adapter_parse_status(const struct sql_result *result, struct database_status *status);

#endif
