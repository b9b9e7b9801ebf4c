/* Requests of interactive transactions; see the header. */
#include "daemon/task_transaction.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "backend/clock.h"
#include "daemon/daemon.h"
#include "daemon/transaction.h"

void task_answer_transaction_result(struct task *task, enum execute_result result)
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
        /* The transaction with this key has ended. Its outcome is found by a commit with the key.
         */
        task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_KEY_CLOSED,
                    "The transaction with this idempotency key has ended.", BEGIN_RETRY_AFTER_MS);
        return;
    default:
        task_refuse(task, OUTCOME_FAILED, ERROR_KIND_TRANSACTION_ABORTED, NULL,
                    BEGIN_RETRY_AFTER_MS);
    }
}

uint64_t task_fingerprint_of_transaction(const char *transaction_id)
{
    return XXH3_64bits(transaction_id, strlen(transaction_id));
}

static void run_statements(struct task *task, struct transaction *transaction)
{
    enum execute_result result =
        transaction_run(transaction, task->request->statements, task->request->statements_count,
                        task->deadline, daemon_result_limits(), &task->run);
    task_set_served(task, transaction->database, transaction_role_name(transaction));
    if (result == EXECUTE_DONE) {
        transaction->seen = task->run.position;
        task_set_seen(task, transaction->seen);
        transaction_table_put(task->daemon->transactions, transaction);
        task_take_results(task, &task->run);
        task->reply.outcome = OUTCOME_DONE;
        task_finish(task);
        return;
    }
    transaction_rollback(transaction, task->deadline);
    bool writes_in_read = transaction->options.read_only && result == EXECUTE_NOT_PRIMARY;
    transaction_table_end(task->daemon->transactions, transaction);
    /* In a read-only transaction this error is about the statement, not about the database's role.
     */
    task_answer_transaction_result(task, writes_in_read ? EXECUTE_FAILED : result);
}

static void run_rollback(struct task *task, struct transaction *transaction)
{
    transaction_rollback(transaction, task->deadline);
    transaction_table_end(task->daemon->transactions, transaction);
    task->reply.outcome = OUTCOME_DONE;
    task_finish(task);
}

/* A read-only transaction has nothing to acknowledge. */
static void run_read_commit(struct task *task, struct transaction *transaction)
{
    struct log_position seen = transaction->seen;
    transaction_rollback(transaction, task->deadline);
    transaction_table_end(task->daemon->transactions, transaction);
    task_set_seen(task, seen);
    task->reply.outcome = OUTCOME_DONE;
    task_finish(task);
}

/* The commit uses the key of the begin, so that the caller need not repeat it. */
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
    task->request->fingerprint = task_fingerprint_of_transaction(task->request->transaction_id);
    task_run_write(task);
}

/* A transaction stays with the run time that it began with, even if the group has a successor or
 * other owners now: that run time has its connection and counts it among its writes. */
static void adopt_group(struct task *task, struct transaction *transaction)
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
    struct transaction *transaction = NULL;
    enum transaction_lookup lookup = transaction_table_take(
        task->daemon->transactions, request->transaction_id, request->tenant, &transaction);
    if (lookup == TRANSACTION_BUSY) {
        task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_BAD_REQUEST,
                    "The transaction is already running another request.", 0);
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
    adopt_group(task, transaction);
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
