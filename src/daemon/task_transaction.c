/* Requests of interactive transactions; see the header. */
#include "daemon/task_transaction.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "backend/clock.h"
#include "daemon/daemon.h"
#include "daemon/task_ledger.h"
#include "daemon/transaction.h"

/* When a caller should come back after the transaction could not begin. */
#define BEGIN_RETRY_AFTER_MS 200

/* Tells a result other than DONE of a step inside a transaction, and finishes. */
static void answer_result(struct task *task, enum execute_result result)
{
    switch (result) {
    case EXECUTE_CONFLICT:
        task_refuse(task, OUTCOME_FAILED, ERROR_KIND_CONFLICT, task->run.error_text,
                    BEGIN_RETRY_AFTER_MS);
        return;
    case EXECUTE_FAILED:
        task->reply.error_position = task->run.error_position;
        task->reply.sqlstate = g_strdup(task->run.sqlstate);
        task_refuse(task, OUTCOME_FAILED, ERROR_KIND_DATABASE_ERROR, task->run.error_text, 0);
        return;
    case EXECUTE_ANSWER_TOO_LARGE:
        task_refuse(task, OUTCOME_FAILED, ERROR_KIND_ANSWER_TOO_LARGE, NULL, 0);
        return;
    case EXECUTE_KEY_REUSED:
        task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_KEY_REUSED, NULL, 0);
        return;
    case EXECUTE_KEY_CLOSED:
    case EXECUTE_ALREADY_DONE:
        /* The key's transaction has ended; its outcome is asked for by a commit with the key. */
        task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_KEY_CLOSED,
                    "The key's transaction has ended.", BEGIN_RETRY_AFTER_MS);
        return;
    default:
        task_refuse(task, OUTCOME_FAILED, ERROR_KIND_TRANSACTION_ABORTED, NULL,
                    BEGIN_RETRY_AFTER_MS);
    }
}

/* Chooses the database of a new transaction; -1 with the reason. */
static struct route_decision route_begin(struct task *task, const struct group_view *view)
{
    if (!task->request->read_only) {
        return route_write(view);
    }
    struct route_read_request route = {
        .session = task_session_position(task),
        .max_staleness_ms = task->route->max_staleness_ms,
        .zone = task->daemon->zone,
        .now = backend_now(),
        .guard_wait_max_ms =
            MIN(task->route->read_wait_ms, task->daemon->settings.routing.guard_wait_max_ms),
        .replicas_allowed = task->route->reads_from_replicas,
        .primary_allowed = true,
        .random = g_random_int(),
    };
    return route_read(view, &route);
}

/* A transaction's key stands for its id, which the commit names wherever it is resolved. */
static uint64_t fingerprint_of(const char *transaction_id)
{
    return XXH3_64bits(transaction_id, strlen(transaction_id));
}

static struct transaction *new_transaction(struct task *task, const struct route_decision *decision,
                                           struct backend_connection *connection)
{
    struct transaction *transaction = g_new0(struct transaction, 1);
    transaction->tenant = g_strdup(task->request->tenant);
    transaction->ledger_key = g_strdup(task->ledger_key);
    transaction->group = group_runtime_ref(task->group);
    transaction->database = decision->database;
    transaction->connection = connection;
    transaction->options.read_only = task->request->read_only;
    transaction->options.key.key = transaction->ledger_key;
    transaction->id = transaction_table_make_id(task->daemon->transactions);
    transaction->options.key.fingerprint = fingerprint_of(transaction->id);
    transaction->options.key.request_id = transaction->id;
    transaction->options.guard = decision->guard;
    transaction->options.guard_wait_ms = decision->guard_wait_ms;
    transaction->idle = task->route->transaction_idle_ms * NANOSECONDS_PER_MILLISECOND;
    transaction->total_until =
        task->started_at + task->route->transaction_total_ms * NANOSECONDS_PER_MILLISECOND;
    /* From now on the transaction keeps the group's writes counted, not the task. */
    transaction->counts_as_write = task->counts_as_write;
    task->counts_as_write = false;
    return transaction;
}

static void refuse_begin(struct task *task, const struct route_decision *decision)
{
    enum error_kind error =
        task->request->read_only ? ERROR_KIND_NO_FRESH_REPLICA : ERROR_KIND_NO_PRIMARY;
    task->reply.reason = (uint32_t)decision->reason;
    task_refuse(task, OUTCOME_REFUSED, error, NULL, BEGIN_RETRY_AFTER_MS);
}

static void answer_begun(struct task *task, struct transaction *transaction,
                         const struct route_decision *decision)
{
    transaction->seen = task->run.position;
    task->reply.reason = (uint32_t)decision->reason;
    task->reply.transaction_id = g_strdup(transaction->id);
    task->reply.outcome = OUTCOME_DONE;
    task_note_served(task, transaction->database,
                     transaction->options.read_only ? "replica" : "primary");
    if (transaction->options.read_only) {
        task_note_seen(task, transaction->seen);
    }
    transaction_table_put(task->daemon->transactions, transaction);
    task_finish(task);
}

/* Starts the transaction on its connection. */
static enum execute_result begin_on(struct task *task, struct transaction *transaction)
{
    if (transaction->ledger_key != NULL && !transaction->options.read_only) {
        enum execute_result prepared = task_prepare_ledger(
            task, transaction->connection, (uint32_t)transaction->database, task->deadline);
        if (prepared != EXECUTE_DONE) {
            return prepared;
        }
    }
    return adapter_begin(transaction->connection, &transaction->options, task->deadline,
                         &task->run);
}

static void run_begin(struct task *task)
{
    struct group_view view;
    if (task->request->read_only) {
        group_runtime_read_view(task->group, &view);
    } else {
        task->counts_as_write = group_runtime_begin_write(task->group, &view);
    }
    struct route_decision decision = route_begin(task, &view);
    if (decision.database < 0) {
        refuse_begin(task, &decision);
        return;
    }
    struct pool *pool = task->group->databases[decision.database].pool;
    struct backend_connection *connection = pool_acquire(pool, task->deadline, NULL);
    if (connection == NULL) {
        task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_OVERLOADED, NULL, BEGIN_RETRY_AFTER_MS);
        return;
    }
    struct transaction *transaction = new_transaction(task, &decision, connection);
    enum execute_result result = begin_on(task, transaction);
    transaction_table_add(task->daemon->transactions, transaction);
    if (result != EXECUTE_DONE) {
        transaction_table_end(task->daemon->transactions, transaction);
        answer_result(task, result);
        return;
    }
    answer_begun(task, transaction, &decision);
}

static void run_statements(struct task *task, struct transaction *transaction)
{
    enum execute_result result = adapter_statement(
        transaction->connection, task->request->statements, task->request->statements_count,
        task->deadline, daemon_result_limits(), &task->run);
    task_note_served(task, transaction->database,
                     transaction->options.read_only ? "replica" : "primary");
    if (result == EXECUTE_DONE) {
        transaction->seen = task->run.position;
        task_note_seen(task, transaction->seen);
        transaction_table_put(task->daemon->transactions, transaction);
        task_take_results(task, &task->run);
        task->reply.outcome = OUTCOME_DONE;
        task_finish(task);
        return;
    }
    adapter_rollback(transaction->connection, task->deadline);
    bool writes_in_read = transaction->options.read_only && result == EXECUTE_NOT_PRIMARY;
    transaction_table_end(task->daemon->transactions, transaction);
    /* In a read-only transaction the error tells of the statement, not of the database's role. */
    answer_result(task, writes_in_read ? EXECUTE_FAILED : result);
}

static void run_rollback(struct task *task, struct transaction *transaction)
{
    adapter_rollback(transaction->connection, task->deadline);
    transaction_table_end(task->daemon->transactions, transaction);
    task->reply.outcome = OUTCOME_DONE;
    task_finish(task);
}

/* A read-only transaction has nothing to confirm. */
static void run_read_commit(struct task *task, struct transaction *transaction)
{
    struct log_position seen = transaction->seen;
    adapter_rollback(transaction->connection, task->deadline);
    transaction_table_end(task->daemon->transactions, transaction);
    task_note_seen(task, seen);
    task->reply.outcome = OUTCOME_DONE;
    task_finish(task);
}

/* The commit's key is that of the begin: the caller need not repeat it. */
static void run_write_commit(struct task *task, struct transaction *transaction)
{
    g_free(task->ledger_key);
    task->ledger_key = g_strdup(transaction->ledger_key);
    task->request->fingerprint = transaction->options.key.fingerprint;
    task->transaction = transaction;
    task->counts_as_write = transaction->counts_as_write;
    transaction->counts_as_write = false;
    task_run_write(task);
}

void task_resolve_commit(struct task *task)
{
    if (task->ledger_key == NULL || task->group == NULL) {
        task_refuse(task, OUTCOME_UNKNOWN, ERROR_KIND_OUTCOME_UNKNOWN, NULL, BEGIN_RETRY_AFTER_MS);
        return;
    }
    task->resolve_only = true;
    task->request->fingerprint = fingerprint_of(task->request->transaction_id);
    task_run_write(task);
}

/* A transaction stays with the run time of its group that it began with. */
static void use_group_of(struct task *task, const struct transaction *transaction)
{
    struct group_runtime *group = group_runtime_ref(transaction->group);
    if (task->group != NULL) {
        group_runtime_unref(task->group);
    }
    task->group = group;
}

void task_run_transaction(struct task *task)
{
    struct request *request = task->request;
    if (request->kind == REQUEST_KIND_BEGIN) {
        run_begin(task);
        return;
    }
    struct transaction *transaction = NULL;
    enum transaction_lookup lookup = transaction_table_take(
        task->daemon->transactions, request->transaction_id, request->tenant, &transaction);
    if (lookup == TRANSACTION_BUSY) {
        task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_BAD_REQUEST,
                    "The transaction runs another request.", 0);
        return;
    }
    if (lookup == TRANSACTION_NOT_OPEN) {
        if (request->kind == REQUEST_KIND_COMMIT) {
            task_resolve_commit(task);
        } else {
            task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_UNKNOWN_TRANSACTION, NULL, 0);
        }
        return;
    }
    use_group_of(task, transaction);
    if (request->kind == REQUEST_KIND_CONTINUE) {
        run_statements(task, transaction);
    } else if (request->kind == REQUEST_KIND_ROLLBACK) {
        run_rollback(task, transaction);
    } else if (transaction->options.read_only) {
        run_read_commit(task, transaction);
    } else {
        run_write_commit(task, transaction);
    }
}
