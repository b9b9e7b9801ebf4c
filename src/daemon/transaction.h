/* Interactive transactions: each holds one connection exclusively from its begin to its end. The id
 * names the daemon and its incarnation, so that any daemon can forward the next request to the
 * owner, and so that a restarted owner is known not to have the transaction. */
#ifndef SW_DAEMON_TRANSACTION_H
#define SW_DAEMON_TRANSACTION_H

#include <glib.h>
#include <stdbool.h>

#include "backend/adapter.h"
#include "core/types.h"
#include "daemon/group_runtime.h"

struct transaction_table;

/* One open transaction. Used by the task that took it; between requests by the table. */
struct transaction {
    char *id;
    char *tenant;
    char *ledger_key;            /* or NULL */
    struct group_runtime *group; /* one reference */
    int32_t database;
    struct backend_connection *connection;
    struct adapter_transaction_options options; /* its strings are ledger_key and id */
    enum database_role role;                    /* of the database when it began */
    struct log_position seen;                   /* what its statements so far may have shown */
    bool counts_as_write;                       /* in the group's writes_running */
    bool in_use;                                /* set by the table */
    time_ns idle;                               /* longest pause between requests */
    time_ns idle_until;                         /* set by the table */
    time_ns total_until;
};

/* Whether a transaction of an id can be used. */
enum transaction_lookup {
    TRANSACTION_TAKEN,    /* the caller has it until transaction_put or transaction_end */
    TRANSACTION_BUSY,     /* another request uses it */
    TRANSACTION_NOT_OPEN, /* this daemon does not have it, or no longer */
};

/* A table for a daemon of this name and incarnation (its start in wall-clock microseconds). */
struct transaction_table *transaction_table_new(const char *daemon_name, uint64_t incarnation);

/* Frees an empty table. */
void transaction_table_free(struct transaction_table *table);

/* Daemon name in a transaction id; NULL if the id is malformed. The caller frees it. */
char *transaction_owner_of(const char *id);

/* A new id. The caller frees it. */
char *transaction_table_make_id(struct transaction_table *table);

/* Adds a begun transaction that has its id. It stays in use by the caller. */
void transaction_table_add(struct transaction_table *table, struct transaction *transaction);

/* Takes a tenant's transaction for one request. */
enum transaction_lookup transaction_table_take(struct transaction_table *table, const char *id,
                                               const char *tenant, struct transaction **out);

/* Returns a transaction to the table after a request, to wait for the next one. */
void transaction_table_put(struct transaction_table *table, struct transaction *transaction);

/* Ends a transaction in use. Its connection is returned to the pool if it is clean, otherwise
 * closed. */
void transaction_table_end(struct transaction_table *table, struct transaction *transaction);

/* Rolls back the transactions whose time has expired; with `all`, every one not in use. Returns how
 * many. */
uint32_t transaction_table_expire(struct transaction_table *table, time_ns now, bool all);

/* Number of open transactions. */
uint32_t transaction_table_count(struct transaction_table *table);

/* Role of the database that the transaction began at, as reported to callers. */
const char *transaction_role_name(const struct transaction *transaction);

/* Registers a call on the transaction's connection, see active_calls_enter. Returns false if
 * another database is now the primary: the connection was broken, so that the database rolls back,
 * and nothing may be sent. */
bool transaction_enter(struct transaction *transaction, struct active_call *call,
                       enum active_call_kind kind);

void transaction_leave(struct transaction *transaction, struct active_call *call);

/* Runs statements; see adapter_statement. NOT_PRIMARY also if another database is now the primary.
 */
enum execute_result transaction_run(struct transaction *transaction,
                                    const struct sql_statement *statements, size_t count,
                                    time_ns deadline, const struct result_limits *limits,
                                    struct execute_answer *answer);

/* Rolls back. The wait for the answer is aborted like any other call's, see active_calls.h. */
void transaction_rollback(struct transaction *transaction, time_ns deadline);

/* Commits; see adapter_commit. NOT_PRIMARY, rolled back, also if another database is now the
 * primary. */
enum execute_result transaction_commit(struct transaction *transaction, time_ns deadline,
                                       struct execute_answer *answer);

#endif
