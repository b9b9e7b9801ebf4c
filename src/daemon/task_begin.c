/* The begin of an interactive transaction; see the header. */
#include "daemon/task_begin.h"

#include <glib.h>

#include "backend/clock.h"
#include "daemon/daemon.h"
#include "daemon/task_decision.h"
#include "daemon/task_ledger.h"
#include "daemon/task_transaction.h"
#include "daemon/transaction.h"

/* Pause before a database or a connection is tried again; a new view ends it earlier. */
#define BEGIN_PAUSE_MS 10

/* The database's idle time-out is longer than the daemon's by this time, so that it only ends
 * transactions of a daemon that is paused or partitioned. */
#define IDLE_MARGIN_MS 5000

/* Maximum number of attempts to begin one transaction, after a database lost or refused it. */
#define BEGIN_ATTEMPTS_MAX 4

/* Chooses the database of a new transaction; -1 with the reason if there is none. */
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
        .excluded = task->begin_excluded,
        .guard_wait_max_ms =
            MIN(task->route->read_wait_ms, task->daemon->settings.routing.guard_wait_max_ms),
        .replicas_allowed = task->route->reads_from_replicas,
        .primary_allowed = true,
        .random = g_random_int(),
    };
    return route_read(view, &route);
}

static void stop_counting(struct task *task)
{
    if (task->counts_as_write) {
        group_runtime_end_write(task->group);
        task->counts_as_write = false;
    }
}

static void pause_begin(struct task *task)
{
    time_ns until = backend_now() + BEGIN_PAUSE_MS * NANOSECONDS_PER_MILLISECOND;
    stop_counting(task);
    worker_pool_park(task->daemon->workers, &task->job, MIN(until, task->deadline));
}

static void refuse_begin(struct task *task, enum error_kind error)
{
    task_refuse(task, OUTCOME_REFUSED, error, NULL, BEGIN_RETRY_AFTER_MS);
}

/* Waits, within bounds, until a database can serve. */
static void wait_for_database(struct task *task, const struct route_decision *decision)
{
    time_ns now = backend_now();
    time_ns wait = task->daemon->settings.routing.unavailable_wait_ms * NANOSECONDS_PER_MILLISECOND;
    if (task->unavailable_since == 0) {
        task->unavailable_since = now;
    }
    if (now >= task->unavailable_since + wait) {
        task->reply.reason = (uint32_t)decision->reason;
        refuse_begin(task, task->request->read_only ? ERROR_KIND_NO_FRESH_REPLICA
                                                    : ERROR_KIND_NO_PRIMARY);
        return;
    }
    /* All databases are tried again under the next view. */
    task->begin_excluded = 0;
    pause_begin(task);
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
    transaction->options.key.fingerprint = task_fingerprint_of_transaction(transaction->id);
    transaction->options.key.request_id = transaction->id;
    transaction->options.guard = decision->guard;
    transaction->options.guard_wait_ms = decision->guard_wait_ms;
    transaction->options.idle_ms = task->route->transaction_idle_ms + IDLE_MARGIN_MS;
    transaction->idle = task->route->transaction_idle_ms * NANOSECONDS_PER_MILLISECOND;
    transaction->total_until =
        task->started_at + task->route->transaction_total_ms * NANOSECONDS_PER_MILLISECOND;
    /* From now on the transaction, not the task, is counted among the group's running writes. */
    transaction->counts_as_write = task->counts_as_write;
    task->counts_as_write = false;
    return transaction;
}

static void answer_begun(struct task *task, struct transaction *transaction,
                         const struct route_decision *decision)
{
    transaction->seen = task->run.position;
    transaction->role = task->run.status.role;
    task->reply.reason = (uint32_t)decision->reason;
    task->reply.transaction_id = g_strdup(transaction->id);
    task->reply.outcome = OUTCOME_DONE;
    task_set_served(task, transaction->database, transaction_role_name(transaction));
    if (transaction->options.read_only) {
        task_set_seen(task, transaction->seen);
    }
    transaction_table_put(task->daemon->transactions, transaction);
    task_finish(task);
}

/* Creates the ledger table if needed and begins the transaction on its connection. */
static enum execute_result prepare_and_begin(struct task *task, struct transaction *transaction)
{
    time_ns deadline = task_attempt_deadline(task);
    if (transaction->ledger_key != NULL && !transaction->options.read_only) {
        enum execute_result prepared = task_prepare_ledger(
            task, transaction->connection, (uint32_t)transaction->database, deadline);
        if (prepared != EXECUTE_DONE) {
            return prepared;
        }
    }
    return adapter_begin(transaction->connection, &transaction->options, deadline, &task->run);
}

/* The same, registered as an active call, so that it is aborted when the database is unreachable or
 * replaced. */
static enum execute_result begin_on(struct task *task, struct transaction *transaction)
{
    struct active_call call;
    bool read_only = transaction->options.read_only;
    if (!transaction_enter(transaction, &call,
                           read_only ? ACTIVE_CALL_READ : ACTIVE_CALL_KEYED_WRITE)) {
        return EXECUTE_NOT_PRIMARY;
    }
    enum execute_result result = prepare_and_begin(task, transaction);
    transaction_leave(transaction, &call);
    return result;
}

/* True if nothing of the transaction was begun and another attempt may succeed. */
static bool may_begin_again(struct task *task, enum execute_result result)
{
    bool nothing_begun = result == EXECUTE_NOT_SENT || result == EXECUTE_NOT_PRIMARY ||
                         result == EXECUTE_GUARD_SHORT;
    return nothing_begun && task->begin_attempts < BEGIN_ATTEMPTS_MAX &&
           retry_budget_spend(&task->group->retry_budget);
}

static void begin_at(struct task *task, const struct route_decision *decision,
                     struct backend_connection *connection)
{
    struct transaction *transaction = new_transaction(task, decision, connection);
    execute_answer_clear(&task->run);
    task->begin_attempts++;
    enum execute_result result = begin_on(task, transaction);
    transaction_table_add(task->daemon->transactions, transaction);
    if (result == EXECUTE_DONE) {
        answer_begun(task, transaction, decision);
        return;
    }
    transaction_table_end(task->daemon->transactions, transaction);
    if (may_begin_again(task, result)) {
        task->begin_excluded |= UINT32_C(1) << decision->database;
        pause_begin(task);
        return;
    }
    task_answer_transaction_result(task, result);
}

void task_run_begin(struct task *task)
{
    struct group_view view;
    task->state = TASK_STATE_BEGINNING;
    if (backend_now() >= task->deadline) {
        refuse_begin(task, ERROR_KIND_OVERLOADED);
        return;
    }
    if (task->request->read_only) {
        group_runtime_read_view(task->group, &view);
    } else {
        task->counts_as_write = group_runtime_begin_write(task->group, &view);
    }
    struct route_decision decision = route_begin(task, &view);
    task_record_view(task, &view, decision.refused);
    task->decision.needed = decision.guard;
    if (decision.database < 0) {
        wait_for_database(task, &decision);
        return;
    }
    task->unavailable_since = 0;
    /* Open transactions may hold all connections for a long time, so no thread waits for one here.
     */
    struct pool *pool = task->group->databases[decision.database].pool;
    struct backend_connection *connection = pool_acquire(pool, backend_now(), NULL);
    if (connection == NULL) {
        pause_begin(task);
        return;
    }
    begin_at(task, &decision, connection);
}
