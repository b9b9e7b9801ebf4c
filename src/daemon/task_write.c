/* The write path: drives write_flow. A write holds a slot while it runs at the primary, but not
 * while evidence is gathered or while it waits. */
#include "daemon/task.h"

#include <glib.h>

#include "backend/clock.h"
#include "daemon/daemon.h"
#include "daemon/task_decision.h"
#include "daemon/task_ledger.h"
#include "daemon/transaction.h"

/* Maximum number of runs of one write under its key. */
#define WRITE_ATTEMPTS_MAX 4

/* Retry delay if the retry budget is exhausted. */
#define RETRY_BUDGET_RETRY_AFTER_MS 500

/* Records a step routed under the view: where to run, or why no database is eligible now or at all.
 */
static void record_decision(struct task *task, const struct group_view *view)
{
    const struct write_step *step = &task->write_step;
    bool refused = step->kind == WRITE_STEP_ANSWER && step->outcome == OUTCOME_REFUSED;
    bool routed = step->kind == WRITE_STEP_EXECUTE || step->kind == WRITE_STEP_CLOSE_KEY ||
                  step->kind == WRITE_STEP_WAIT;
    if (routed || refused) {
        task_record_write_view(task, view);
    }
}

/* Feeds an event under the newest view, and counts the write as running while it may run. */
static void next_step(struct task *task, const struct write_event *event)
{
    struct group_view view;
    if (task->counts_as_write) {
        group_runtime_read_view(task->group, &view);
    } else {
        task->counts_as_write = group_runtime_begin_write(task->group, &view);
    }
    task->write_step = write_flow_next(&task->write_flow, event, &view);
    write_trace_note(task->write_trace, event, &view, &task->write_step);
    record_decision(task, &view);
    if (task->write_step.kind == WRITE_STEP_WAIT && task->counts_as_write) {
        group_runtime_end_write(task->group);
        task->counts_as_write = false;
    }
}

static void feed(struct task *task, enum write_event_kind kind)
{
    struct write_event event = {
        .kind = kind,
        .now = backend_now(),
        .database = task->write_step.database,
        .position = task->run.position,
        .status = task->run.status,
    };
    next_step(task, &event);
}

static void feed_give_up(struct task *task, enum error_kind error, uint32_t retry_after_ms)
{
    struct write_event event = {
        .kind = WRITE_EVENT_GIVE_UP,
        .now = backend_now(),
        .error = error,
        .retry_after_ms = retry_after_ms,
    };
    next_step(task, &event);
}

static enum write_event_kind event_of(enum execute_result result)
{
    switch (result) {
    case EXECUTE_DONE:
        return WRITE_EVENT_COMMITTED;
    case EXECUTE_NOT_SENT:
        return WRITE_EVENT_NOT_SENT;
    case EXECUTE_FAILED:
    case EXECUTE_ANSWER_TOO_LARGE:
        return WRITE_EVENT_FAILED;
    case EXECUTE_CONFLICT:
        return WRITE_EVENT_CONFLICT;
    case EXECUTE_NOT_PRIMARY:
        return WRITE_EVENT_NOT_PRIMARY;
    case EXECUTE_ALREADY_DONE:
        return WRITE_EVENT_ALREADY_DONE;
    case EXECUTE_KEY_CLOSED:
        return WRITE_EVENT_KEY_CLOSED;
    case EXECUTE_KEY_REUSED:
        return WRITE_EVENT_KEY_REUSED;
    case EXECUTE_GUARD_SHORT:
    case EXECUTE_LOST:
        break;
    }
    return WRITE_EVENT_LOST;
}

static struct adapter_key key_of(const struct task *task)
{
    struct adapter_key key = {
        .key = task->ledger_key,
        .fingerprint = task->request->fingerprint,
        .request_id = task->request->request_id,
    };
    return key;
}

/* Runs the transaction, or closes its key, on a connection. An attempt with a key ends while there
 * is time left to query the ledger. Without a key there is nothing to query, so that the answer is
 * awaited until the deadline. */
static enum execute_result run_on(struct task *task, struct backend_connection *connection)
{
    struct adapter_key key = key_of(task);
    time_ns deadline = key.key != NULL ? task_attempt_deadline(task) : task->deadline;
    if (key.key != NULL) {
        enum execute_result prepared =
            task_prepare_ledger(task, connection, (uint32_t)task->write_step.database, deadline);
        if (prepared != EXECUTE_DONE) {
            return prepared;
        }
    }
    if (task->write_step.kind == WRITE_STEP_CLOSE_KEY) {
        return adapter_close_key(connection, &key, deadline, &task->run);
    }
    return adapter_write(connection, &key, task->request->statements,
                         task->request->statements_count, deadline, daemon_result_limits(),
                         &task->run);
}

static enum active_call_kind call_kind_of(const struct task *task)
{
    return task->ledger_key != NULL ? ACTIVE_CALL_KEYED_WRITE : ACTIVE_CALL_WRITE;
}

/* The same at the step's database. Requires that the slot is held. */
static enum execute_result run_at(struct task *task)
{
    struct active_call call;
    struct pool *pool = task->group->databases[task->write_step.database].pool;
    struct backend_connection *connection = pool_acquire(pool, task->deadline, NULL);
    if (connection == NULL) {
        return EXECUTE_NOT_SENT;
    }
    execute_answer_clear(&task->run);
    task->run_database = task->write_step.database;
    enum execute_result result = EXECUTE_NOT_PRIMARY;
    if (active_calls_enter(&task->group->calls, &call, call_kind_of(task),
                           (uint32_t)task->run_database, connection)) {
        result = run_on(task, connection);
        active_calls_leave(&task->group->calls, &call);
    }
    pool_release(pool, connection, backend_connection_is_clean(connection));
    return result;
}

/* Keeps the database's error for the answer after the key is closed. */
static void keep_failure(struct task *task, enum execute_result result)
{
    if (result != EXECUTE_FAILED && result != EXECUTE_CONFLICT &&
        result != EXECUTE_ANSWER_TOO_LARGE) {
        return;
    }
    execute_answer_clear(&task->failure);
    task->failure = task->run;
    execute_answer_init(&task->run);
    if (result == EXECUTE_ANSWER_TOO_LARGE && task->failure.error_text == NULL) {
        task->failure.error_text = g_strdup(error_entry_of(ERROR_KIND_ANSWER_TOO_LARGE)->text);
    }
}

static bool retry_allowed(struct task *task)
{
    if (task->slot_database >= 0) {
        return true; /* checked before the task was queued for the slot */
    }
    if (task->write_flow.attempts <= 1) {
        retry_budget_earn(&task->group->retry_budget);
        return true;
    }
    return retry_budget_spend(&task->group->retry_budget);
}

/* The commit of an interactive transaction runs on the transaction's own connection. */
static void perform_commit(struct task *task)
{
    execute_answer_clear(&task->run);
    task->run_database = task->transaction->database;
    time_ns deadline = task->ledger_key != NULL ? task_attempt_deadline(task) : task->deadline;
    enum execute_result result = transaction_commit(task->transaction, deadline, &task->run);
    /* The transaction has ended with any result; only its key can be queried now. */
    transaction_table_end(task->daemon->transactions, task->transaction);
    task->transaction = NULL;
    keep_failure(task, result);
    feed(task, event_of(result));
}

/* Performs EXECUTE or CLOSE_KEY. Returns false if the task was queued and must not be accessed. */
static bool perform_run(struct task *task)
{
    bool refused = false;
    uint32_t retry_after_ms = 0;
    bool closing = task->write_step.kind == WRITE_STEP_CLOSE_KEY;
    if (!closing && !retry_allowed(task)) {
        feed_give_up(task, ERROR_KIND_OVERLOADED, RETRY_BUDGET_RETRY_AFTER_MS);
        return true;
    }
    enum admission_class rank = task->ledger_key == NULL || closing ? ADMISSION_CLASS_UNREPEATABLE
                                                                    : ADMISSION_CLASS_KEYED_WRITE;
    if (!task_take_slot(task, (uint32_t)task->write_step.database, rank, &refused,
                        &retry_after_ms)) {
        if (refused) {
            feed_give_up(task, ERROR_KIND_OVERLOADED, retry_after_ms);
        }
        return refused;
    }
    enum execute_result result = run_at(task);
    task_release_slot(task);
    keep_failure(task, result);
    feed(task, event_of(result));
    return true;
}

/* Feeds one member's evidence. */
static void feed_member(struct task *task, uint32_t database, bool holds)
{
    struct log_position position = task->write_step.position;
    struct write_event event = {
        .kind = WRITE_EVENT_EVIDENCE,
        .now = backend_now(),
        .database = (int32_t)database,
    };
    event.status.held = position;
    event.status.promised_term = holds ? position.term : position.term + 1;
    next_step(task, &event);
}

static void perform_evidence(struct task *task)
{
    struct acknowledge_evidence evidence;
    bool known = task->run_database >= 0 && task->run.status.held.term != 0;
    evidence_gather(task->group->evidence, task->group->evidence_group, task->write_step.position,
                    (uint32_t)MAX(task->run_database, 0), known ? &task->run.status : NULL,
                    task->write_step.until, &evidence);
    for (uint32_t i = 0; i < task->group->database_count; i++) {
        uint32_t bit = UINT32_C(1) << i;
        if (task->write_step.kind != WRITE_STEP_EVIDENCE) {
            return;
        }
        if ((evidence.held_mask | evidence.fenced_mask) & bit) {
            feed_member(task, i, (evidence.held_mask & bit) != 0);
        }
    }
    if (task->write_step.kind == WRITE_STEP_EVIDENCE) {
        feed(task, WRITE_EVENT_EVIDENCE_END);
    }
}

static void answer_failed(struct task *task)
{
    const char *text = NULL;
    if (task->write_step.outcome == OUTCOME_FAILED && task->failure.error_text != NULL) {
        text = task->failure.error_text;
        task->reply.error_position = task->failure.error_position;
        task->reply.sqlstate = g_strdup(task->failure.sqlstate);
    }
    task_refuse(task, task->write_step.outcome, task->write_step.error, text,
                task->write_step.retry_after_ms);
}

static void answer_write(struct task *task)
{
    const struct write_step *step = &task->write_step;
    task->reply.reason = (uint32_t)step->reason;
    task_copy_refused(task);
    if (step->outcome != OUTCOME_DONE) {
        answer_failed(task);
        return;
    }
    task_set_served(task, task->run_database, "primary");
    task_set_seen(task, step->position);
    task_take_results(task, &task->run);
    task->reply.replayed = task->write_flow.replayed;
    task->reply.outcome = OUTCOME_DONE;
    task_finish(task);
}

static void start_write(struct task *task)
{
    struct write_options options = {
        .deadline = task->deadline,
        .unavailable_wait_ms = task->daemon->settings.routing.unavailable_wait_ms,
        .keyed = task->ledger_key != NULL,
        .commit_only = task->transaction != NULL || task->resolve_only,
        .resolve_only = task->resolve_only,
        .attempts_max = WRITE_ATTEMPTS_MAX,
    };
    write_flow_init(&task->write_flow, &options);
    task->write_trace =
        write_trace_begin(task->daemon->traces, task->group->group->id, task->ledger_key, &options);
    task->state = TASK_STATE_WRITING;
    feed(task, WRITE_EVENT_START);
}

/* Performs steps until the task waits or is to be answered. Returns false if it was queued. */
static bool perform_steps(struct task *task)
{
    for (;;) {
        switch (task->write_step.kind) {
        case WRITE_STEP_EXECUTE:
            if (task->transaction != NULL) {
                perform_commit(task);
            } else if (!perform_run(task)) {
                return false;
            }
            break;
        case WRITE_STEP_CLOSE_KEY:
            if (!perform_run(task)) {
                return false;
            }
            break;
        case WRITE_STEP_EVIDENCE:
            perform_evidence(task);
            break;
        case WRITE_STEP_WAIT:
        case WRITE_STEP_ANSWER:
            return true;
        }
    }
}

void task_run_write(struct task *task)
{
    if (task->state == TASK_STATE_STARTING) {
        start_write(task);
    } else if (task->write_step.kind == WRITE_STEP_WAIT) {
        feed(task, WRITE_EVENT_TIMER);
    }
    if (!perform_steps(task)) {
        return;
    }
    if (task->write_step.kind == WRITE_STEP_WAIT) {
        worker_pool_park(task->daemon->workers, &task->job, task->write_step.until);
        return;
    }
    answer_write(task);
}
