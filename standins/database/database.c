/* State of one database and its transactions. See database.h. */
#include "database.h"

#include <string.h>

/* How long a write waits for the open write transaction to end. */
#define WRITER_WAIT_US (10 * G_USEC_PER_SEC)

/* The interval at which a wait checks for an interrupt. */
#define WAIT_SLICE_US 20000

#define MICROSECONDS_PER_SECOND 1000000

struct database *database_new(const char *name, enum database_role role, const char *primary)
{
    struct database *database = g_new0(struct database, 1);
    pthread_mutex_init(&database->lock, NULL);
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&database->changed, &attributes);
    pthread_condattr_destroy(&attributes);
    database->name = g_strdup(name);
    database->role = role;
    database->term = 1;
    database->promised_term = 1;
    database->promised_to = g_strdup("");
    database->primary = g_strdup(primary);
    database->log = g_ptr_array_new_with_free_func((GDestroyNotify)log_entry_free);
    sql_handle_open(&database->committed);
    sql_handle_open(&database->writer);
    return database;
}

void database_free(struct database *database)
{
    sql_handle_close(&database->committed);
    sql_handle_close(&database->writer);
    g_ptr_array_unref(database->log);
    g_free(database->name);
    g_free(database->promised_to);
    g_free(database->primary);
    pthread_cond_destroy(&database->changed);
    pthread_mutex_destroy(&database->lock);
    g_free(database);
}

void database_stop(struct database *database)
{
    pthread_mutex_lock(&database->lock);
    database->stopping = true;
    pthread_cond_broadcast(&database->changed);
    pthread_mutex_unlock(&database->lock);
}

void database_wait_slice(struct database *database, int64_t deadline_us)
{
    int64_t until = MIN(deadline_us, g_get_monotonic_time() + WAIT_SLICE_US);
    struct timespec time = {
        .tv_sec = until / MICROSECONDS_PER_SECOND,
        .tv_nsec = (until % MICROSECONDS_PER_SECOND) * NANOSECONDS_PER_MICROSECOND,
    };
    pthread_cond_timedwait(&database->changed, &database->lock, &time);
}

static struct log_position position_at(const struct database *database, uint64_t offset)
{
    if (offset == 0) {
        return (struct log_position){0, 0};
    }
    const struct log_entry *entry = g_ptr_array_index(database->log, offset - 1);
    return entry->position;
}

struct log_position database_held(const struct database *database)
{
    return position_at(database, database->log->len);
}

struct log_position database_applied(const struct database *database)
{
    return position_at(database, database->applied);
}

void database_apply_next(struct database *database)
{
    const struct log_entry *entry = g_ptr_array_index(database->log, database->applied);
    log_entry_replay(entry, &database->committed);
    database->applied++;
    database->writer_stale = true;
    pthread_cond_broadcast(&database->changed);
}

static bool may_write(const struct database *database)
{
    return database->role == DATABASE_ROLE_PRIMARY && database->promised_term == database->term;
}

static bool fail_not_primary(struct sql_error *error)
{
    return sql_error_set(error, "25006", "cannot write: this database is not the current primary");
}

static void release_writer(struct database *database, struct transaction *transaction)
{
    transaction->writing = false;
    g_clear_pointer(&transaction->entry, log_entry_free);
    database->writer_owner = NULL;
    database->writer.now_us = 0;
    pthread_cond_broadcast(&database->changed);
}

static void rollback_writer(struct database *database, struct transaction *transaction)
{
    if (!sqlite3_get_autocommit(database->writer.sqlite)) {
        sql_handle_run(&database->writer, "ROLLBACK");
    }
    release_writer(database, transaction);
}

void database_abort_writer(struct database *database)
{
    struct transaction *owner = database->writer_owner;
    if (owner != NULL) {
        rollback_writer(database, owner);
        owner->aborted = true;
    }
}

/* Waits until no other transaction writes. The caller holds the lock; the wait releases it
 * meanwhile. */
static bool wait_for_writer(struct database *database, struct transaction *transaction,
                            struct sql_error *error)
{
    int64_t deadline = g_get_monotonic_time() + WRITER_WAIT_US;
    while (may_write(database) && database->writer_owner != NULL) {
        if (interrupt_pending(transaction->interrupt)) {
            return sql_error_set(error, "57014", "canceling statement due to user request");
        }
        if (g_get_monotonic_time() >= deadline) {
            return sql_error_set(error, "40001",
                                 "could not write: timed out waiting for another transaction");
        }
        database_wait_slice(database, deadline);
    }
    return may_write(database) || fail_not_primary(error);
}

/* Makes the transaction the writer. The caller holds the lock. */
static bool acquire_writer(struct database *database, struct transaction *transaction,
                           struct sql_error *error)
{
    if (transaction->read_only) {
        return sql_error_set(error, "25006", "cannot write in a read-only transaction");
    }
    if (!wait_for_writer(database, transaction, error)) {
        return false;
    }
    bool snapshot_old =
        transaction->has_snapshot && transaction->snapshot_offset != database->applied;
    if (snapshot_old) {
        return sql_error_set(error, "40001", "could not serialize access due to concurrent update");
    }
    if (database->writer_stale) {
        sql_handle_copy(&database->writer, &database->committed);
        database->writer_stale = false;
    }
    struct log_position next = {database->term, database->log->len + 1};
    uint64_t seed = ((uint64_t)g_random_int() << 32) | g_random_int();
    transaction->entry = log_entry_new(next, g_get_real_time(), seed);
    transaction->writing = true;
    database->writer_owner = transaction;
    database->writer.now_us = transaction->entry->now_us;
    sql_handle_run(&database->writer, "BEGIN");
    return true;
}

static void take_snapshot(struct database *database, struct transaction *transaction)
{
    sql_handle_open(&transaction->snapshot);
    sql_handle_copy(&transaction->snapshot, &database->committed);
    transaction->snapshot_offset = database->applied;
    transaction->has_snapshot = true;
}

/* The SQLite handle on which the transaction's next statement runs. The caller holds the lock. */
static struct sql_handle *handle_for(struct database *database, struct transaction *transaction)
{
    if (transaction->writing) {
        return &database->writer;
    }
    if (!transaction->repeatable) {
        return &database->committed;
    }
    if (!transaction->has_snapshot) {
        take_snapshot(database, transaction);
    }
    return &transaction->snapshot;
}

static bool check_not_aborted(const struct transaction *transaction, struct sql_error *error)
{
    return !transaction->aborted || fail_not_primary(error);
}

/* Compiles the statement on the handle that will run it. A statement that writes or locks rows
 * makes the transaction the writer first. The caller holds the lock. */
static sqlite3_stmt *prepare_to_run(struct database *database, struct transaction *transaction,
                                    const struct statement *statement, struct sql_error *error)
{
    struct sql_handle *handle = handle_for(database, transaction);
    sqlite3_stmt *compiled = sql_handle_prepare(handle, statement, error);
    if (compiled == NULL || transaction->writing) {
        return compiled;
    }
    if (sqlite3_stmt_readonly(compiled) && !statement->locks_rows) {
        return compiled;
    }
    sqlite3_finalize(compiled);
    if (!acquire_writer(database, transaction, error)) {
        return NULL;
    }
    return sql_handle_prepare(&database->writer, statement, error);
}

static bool execute_locked(struct database *database, struct transaction *transaction,
                           const struct statement *statement, const struct parameters *parameters,
                           struct result *result, struct sql_error *error)
{
    if (!check_not_aborted(transaction, error)) {
        return false;
    }
    sqlite3_stmt *compiled = prepare_to_run(database, transaction, statement, error);
    if (compiled == NULL) {
        return false;
    }
    struct sql_handle *handle = handle_for(database, transaction);
    bool writes = !sqlite3_stmt_readonly(compiled);
    if (writes) {
        handle->random_state =
            log_entry_statement_seed(transaction->entry, transaction->entry->statements->len);
    }
    bool done = sql_handle_execute(handle, compiled, statement, parameters, result, error);
    sqlite3_finalize(compiled);
    if (done && writes) {
        log_entry_add(transaction->entry, statement->sql, parameters);
    }
    return done;
}

bool database_execute(struct database *database, struct transaction *transaction,
                      const struct statement *statement, const struct parameters *parameters,
                      struct result *result, struct sql_error *error)
{
    pthread_mutex_lock(&database->lock);
    bool done = execute_locked(database, transaction, statement, parameters, result, error);
    pthread_mutex_unlock(&database->lock);
    return done;
}

bool database_describe(struct database *database, struct transaction *transaction,
                       const struct statement *statement, const struct parameters *parameters,
                       struct result *result, struct sql_error *error)
{
    pthread_mutex_lock(&database->lock);
    sqlite3_stmt *compiled = NULL;
    if (check_not_aborted(transaction, error)) {
        compiled = sql_handle_prepare(handle_for(database, transaction), statement, error);
    }
    bool done = compiled != NULL && sql_handle_describe(compiled, parameters, result, error);
    sqlite3_finalize(compiled);
    pthread_mutex_unlock(&database->lock);
    return done;
}

static void append_entry(struct database *database, struct transaction *transaction)
{
    struct log_entry *entry = g_steal_pointer(&transaction->entry);
    entry->received_ns = (time_ns)g_get_monotonic_time() * NANOSECONDS_PER_MICROSECOND;
    if (entry->position.term < database->promised_term) {
        database->lower_term_writes++;
    }
    g_ptr_array_add(database->log, entry);
    log_entry_replay(entry, &database->committed);
    database->applied = entry->position.offset;
    transaction->last_commit = entry->position;
}

/* Commits the open write transaction. The caller holds the lock. */
static bool commit_writer(struct database *database, struct transaction *transaction,
                          struct sql_error *error)
{
    if (!may_write(database) || transaction->entry->position.term != database->term) {
        rollback_writer(database, transaction);
        return fail_not_primary(error);
    }
    if (sqlite3_exec(database->writer.sqlite, "COMMIT", NULL, NULL, NULL) != SQLITE_OK) {
        sql_handle_fail(&database->writer, "COMMIT", error);
        rollback_writer(database, transaction);
        return false;
    }
    if (transaction->entry->statements->len > 0) {
        append_entry(database, transaction);
    }
    release_writer(database, transaction);
    return true;
}

/* Makes the transaction idle. */
static void end_transaction(struct transaction *transaction)
{
    if (transaction->has_snapshot) {
        sql_handle_close(&transaction->snapshot);
    }
    transaction->has_snapshot = false;
    transaction->repeatable = false;
    transaction->read_only = false;
    transaction->idle_ms = 0;
    transaction->state = TRANSACTION_IDLE;
}

bool database_commit(struct database *database, struct transaction *transaction,
                     struct sql_error *error)
{
    pthread_mutex_lock(&database->lock);
    bool done = check_not_aborted(transaction, error);
    if (transaction->writing) {
        done = commit_writer(database, transaction, error);
    }
    transaction->aborted = false;
    pthread_mutex_unlock(&database->lock);
    end_transaction(transaction);
    return done;
}

void database_rollback(struct database *database, struct transaction *transaction)
{
    pthread_mutex_lock(&database->lock);
    if (transaction->writing) {
        rollback_writer(database, transaction);
    }
    transaction->aborted = false;
    pthread_mutex_unlock(&database->lock);
    end_transaction(transaction);
}
