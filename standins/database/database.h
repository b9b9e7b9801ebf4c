/* One database of a replicated group: role, terms, log, and the SQL state they lead to. A single
 * lock guards all of it, so that a promise to a coordinator and a commit can never cross. */
#ifndef STANDIN_DATABASE_DATABASE_H
#define STANDIN_DATABASE_DATABASE_H

#include <pthread.h>

#include "interrupt.h"
#include "log_entry.h"

enum transaction_state {
    TRANSACTION_IDLE,
    TRANSACTION_IMPLICIT, /* ends at the end of the query string or at Sync */
    TRANSACTION_OPEN,     /* by BEGIN */
    TRANSACTION_FAILED,   /* only its end is accepted */
};

/* The transaction of one session. `writing`, `aborted` and `entry` are guarded by the database's
 * lock, as a fence may abort the transaction; the rest belongs to the session's thread. */
struct transaction {
    enum transaction_state state;
    bool read_only;
    bool repeatable; /* reads one snapshot */
    bool has_snapshot;
    struct sql_handle snapshot;
    uint64_t snapshot_offset;
    bool writing;            /* owns the database's writer */
    int64_t idle_ms;         /* longest idle time, by SET LOCAL; 0: as the session has it */
    bool aborted;            /* by a fence or the loss of the primary's role */
    struct log_entry *entry; /* what it has written so far */
    struct log_position last_commit;
    const struct interrupt *interrupt;
};

struct database {
    pthread_mutex_t lock;
    pthread_cond_t changed; /* broadcast at each change of the fields below */
    char *name;
    enum database_role role;
    uint64_t term;
    uint64_t promised_term;
    char *promised_to; /* coordinator */
    bool leaving;
    uint64_t leaving_order; /* of the request that set `leaving` */
    bool stopping;
    char *primary;         /* HOST:PORT to pull from, or NULL */
    uint64_t follow_count; /* rises with each change of what to pull from */
    GPtrArray *log;        /* owned struct log_entry *; offset n stands at index n - 1 */
    uint64_t applied;      /* offset of the last entry visible to reads */
    int64_t replication_lag_ms;
    struct sql_handle committed; /* what reads see: the log up to `applied` */
    struct sql_handle writer;    /* the same, plus the open write transaction */
    bool writer_stale;           /* the writer must be copied anew before its next use */
    struct transaction *writer_owner;
    uint64_t lower_term_writes; /* violations: commits below the promised term */
};

/* A new, empty database of term 1. `primary` is HOST:PORT for a replica. Free with database_free.
 */
struct database *database_new(const char *name, enum database_role role, const char *primary);
void database_free(struct database *database);

/* Ends all waits. */
void database_stop(struct database *database);

/* Waits for a change; at most until `deadline_us` (monotonic) and at most a short slice. Lock held.
 */
void database_wait_slice(struct database *database, int64_t deadline_us);

/* Positions of the last entry held and applied. Lock held. */
struct log_position database_held(const struct database *database);
struct log_position database_applied(const struct database *database);

/* Applies the next held entry. Lock held. */
void database_apply_next(struct database *database);

/* Runs one statement within the session's transaction. */
bool database_execute(struct database *database, struct transaction *transaction,
                      const struct statement *statement, const struct parameters *parameters,
                      struct result *result, struct sql_error *error);

/* The columns a statement will give. `parameters` may be NULL. */
bool database_describe(struct database *database, struct transaction *transaction,
                       const struct statement *statement, const struct parameters *parameters,
                       struct result *result, struct sql_error *error);

/* Ends the transaction. After a failed commit it is rolled back. Either way it is idle. */
bool database_commit(struct database *database, struct transaction *transaction,
                     struct sql_error *error);
void database_rollback(struct database *database, struct transaction *transaction);

/* Rolls back the open write transaction, whose session learns by an error. Lock held. */
void database_abort_writer(struct database *database);

#endif
