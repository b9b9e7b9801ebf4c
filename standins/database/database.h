/* One database of a replicated group: role, terms, log, and the SQL state that results from them. A
 * single lock guards all of it, so that no commit can overlap a promise to a coordinator. */
#ifndef STANDIN_DATABASE_DATABASE_H
#define STANDIN_DATABASE_DATABASE_H

#include <pthread.h>

#include "interrupt.h"
#include "log_entry.h"

enum transaction_state {
    TRANSACTION_IDLE,
    TRANSACTION_IMPLICIT, /* ends with the query string or at Sync */
    TRANSACTION_OPEN,     /* by BEGIN */
    TRANSACTION_FAILED,   /* only COMMIT or ROLLBACK is accepted */
};

/* The transaction of one session. `writing`, `aborted` and `entry` are guarded by the database's
 * lock, because a fence may abort the transaction; the rest belongs to the session's thread. */
struct transaction {
    enum transaction_state state;
    bool read_only;
    bool repeatable; /* reads one snapshot */
    bool has_snapshot;
    struct sql_handle snapshot;
    uint64_t snapshot_offset;
    bool writing;    /* the database's writer belongs to it */
    int64_t idle_ms; /* longest idle time, set by SET LOCAL; 0: the session's limit applies */
    bool aborted;    /* by a fence or by the loss of the primary role */
    struct log_entry *entry; /* statements written so far */
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
    char *promised_to; /* the coordinator that the term is promised to */
    bool leaving;
    uint64_t leaving_order; /* order number of the request that set `leaving` */
    bool stopping;
    char *primary;         /* HOST:PORT of the primary to pull from, or NULL */
    uint64_t follow_count; /* incremented at each change of role, term or primary */
    GPtrArray *log;        /* owned struct log_entry *; offset n is at index n - 1 */
    uint64_t applied;      /* offset of the last entry visible to reads */
    int64_t replication_lag_ms;
    struct sql_handle committed; /* state that reads see: the log up to `applied` */
    struct sql_handle writer;    /* that state plus the open write transaction */
    bool writer_stale; /* the writer must be copied from `committed` before its next use */
    struct transaction *writer_owner;
    uint64_t lower_term_writes; /* violations: commits of a term below the promised one */
};

/* A new, empty database of term 1. `primary` is HOST:PORT for a replica. Free with database_free.
 */
struct database *database_new(const char *name, enum database_role role, const char *primary);
void database_free(struct database *database);

/* Ends all waits and the threads of the replication. */
void database_stop(struct database *database);

/* Waits for a change, until `deadline_us` (monotonic) but no longer than one check interval. The
 * caller holds the lock. */
void database_wait_slice(struct database *database, int64_t deadline_us);

/* Positions of the last entry held and of the last one applied. The caller holds the lock. */
struct log_position database_held(const struct database *database);
struct log_position database_applied(const struct database *database);

/* Applies the next held entry. The caller holds the lock. */
void database_apply_next(struct database *database);

/* Runs one statement within the session's transaction. */
bool database_execute(struct database *database, struct transaction *transaction,
                      const struct statement *statement, const struct parameters *parameters,
                      struct result *result, struct sql_error *error);

/* Adds the columns that the statement's result will have. `parameters` may be NULL. */
bool database_describe(struct database *database, struct transaction *transaction,
                       const struct statement *statement, const struct parameters *parameters,
                       struct result *result, struct sql_error *error);

/* Ends the transaction. If the commit fails it is rolled back. The transaction is idle afterwards
 * either way. */
bool database_commit(struct database *database, struct transaction *transaction,
                     struct sql_error *error);
void database_rollback(struct database *database, struct transaction *transaction);

/* Rolls back the open write transaction; its session gets an error at its next statement. The
 * caller holds the lock. */
void database_abort_writer(struct database *database);

#endif
