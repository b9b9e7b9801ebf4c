/* The read path: drives read_flow with one guarded round trip per step. */
#include "daemon/task.h"

#include <glib.h>

#include "backend/clock.h"
#include "daemon/control.h"
#include "daemon/daemon.h"
#include "daemon/task_decision.h"

/* Maximum number of databases that one read tries. */
#define READ_ATTEMPTS_MAX 4

/* The counters of reads form a decaying window: both are halved at this count. */
#define READ_COUNT_WINDOW 10000

/* True while the tenant's reads at the primary are within its limit. */
static bool primary_read_allowed(const struct task *task)
{
    uint32_t percent = task->route->read_primary_share_percent;
    uint64_t reads = atomic_load(&task->group->reads);
    uint64_t primary_reads = atomic_load(&task->group->primary_reads);
    return percent >= 100 || primary_reads * 100 <= reads * percent;
}

static void count_read(struct task *task, enum route_reason reason)
{
    struct group_runtime *group = task->group;
    uint64_t reads = atomic_fetch_add(&group->reads, 1) + 1;
    if (reason == ROUTE_REASON_PRIMARY_READ) {
        atomic_fetch_add(&group->primary_reads, 1);
    }
    if (reads == READ_COUNT_WINDOW) {
        atomic_store(&group->reads, reads / 2);
        atomic_store(&group->primary_reads, atomic_load(&group->primary_reads) / 2);
    }
}

/* Fills in the current inputs of routing. */
static void refresh_route(struct task *task)
{
    struct route_read_request *route = &task->read_flow.options.route;
    for (uint32_t i = 0; i < task->group->database_count; i++) {
        const struct database_runtime *database = &task->group->databases[i];
        route->in_flight[i] = database_runtime_load(database);
        route->slots[i] = database_runtime_slots(database);
    }
    route->primary_allowed = primary_read_allowed(task);
    route->random = g_random_int();
}

/* Records a step routed under the view: where to read, or why no database is eligible. */
static void record_decision(struct task *task, const struct group_view *view)
{
    const struct read_step *step = &task->read_step;
    bool refused = step->kind == READ_STEP_ANSWER && step->outcome == OUTCOME_REFUSED;
    if (step->kind == READ_STEP_READ || refused) {
        task_record_view(task, view, task->read_flow.refused);
        task_record_needed(task, view, &task->read_flow.options.route);
    }
}

static void next_step(struct task *task, const struct read_event *event)
{
    struct group_view view;
    group_runtime_read_view(task->group, &view);
    refresh_route(task);
    task->read_step = read_flow_next(&task->read_flow, event, &view);
    record_decision(task, &view);
}

static enum read_event_kind event_of(enum execute_result result)
{
    switch (result) {
    case EXECUTE_DONE:
    case EXECUTE_GUARD_SHORT:
        return READ_EVENT_ANSWERED;
    case EXECUTE_NOT_SENT:
        return READ_EVENT_NOT_SENT;
    case EXECUTE_FAILED:
    case EXECUTE_ANSWER_TOO_LARGE:
        return READ_EVENT_FAILED;
    default:
        return READ_EVENT_LOST;
    }
}

/* Performs a READ step on a connection of its database. Requires that the slot is held. */
static enum execute_result read_at(struct task *task)
{
    const struct read_step *step = &task->read_step;
    struct pool *pool = task->group->databases[step->database].pool;
    time_ns deadline = task_attempt_deadline(task);
    struct backend_connection *connection = pool_acquire(pool, deadline, NULL);
    if (connection == NULL) {
        return EXECUTE_NOT_SENT;
    }
    struct active_call call;
    execute_answer_clear(&task->run);
    active_calls_enter(&task->group->calls, &call, ACTIVE_CALL_READ, (uint32_t)step->database,
                       connection);
    enum execute_result result =
        adapter_read(connection, step->guard, 0, task->request->statements,
                     task->request->statements_count, deadline, daemon_result_limits(), &task->run);
    active_calls_leave(&task->group->calls, &call);
    pool_release(pool, connection, backend_connection_is_clean(connection));
    return result;
}

/* Takes a slot of the database. Returns false if the task was queued, or if *event is GIVE_UP. */
static bool take_read_slot(struct task *task, struct read_event *event)
{
    bool refused = false;
    uint32_t retry_after_ms = 0;
    if (task_take_slot(task, (uint32_t)task->read_step.database, ADMISSION_CLASS_READ, &refused,
                       &retry_after_ms)) {
        return true;
    }
    if (refused) {
        event->kind = READ_EVENT_GIVE_UP;
        event->error = ERROR_KIND_OVERLOADED;
        event->retry_after_ms = retry_after_ms;
    }
    return false;
}

/* Performs the READ step. Returns false if the task was queued for a slot and must not be accessed.
 */
static bool perform_read(struct task *task)
{
    struct read_event event = {.kind = READ_EVENT_START};
    if (!take_read_slot(task, &event)) {
        if (event.kind != READ_EVENT_GIVE_UP) {
            return false;
        }
        event.now = backend_now();
        next_step(task, &event);
        return true;
    }
    enum execute_result result = read_at(task);
    task_release_slot(task);
    event.kind = event_of(result);
    event.now = backend_now();
    event.status = task->run.status;
    if (result == EXECUTE_ANSWER_TOO_LARGE) {
        g_free(task->run.error_text);
        task->run.error_text = g_strdup(error_entry_of(ERROR_KIND_ANSWER_TOO_LARGE)->text);
    }
    next_step(task, &event);
    return true;
}

static void answer_read(struct task *task)
{
    const struct read_step *step = &task->read_step;
    task->reply.reason = (uint32_t)step->reason;
    task_copy_refused(task);
    if (step->outcome == OUTCOME_REFUSED) {
        /* A read that found no fresh replica counts too. The primary's share is relative to the
         * requested reads; if only reads served by replicas counted, it could never be earned
         * again. */
        if (step->error == ERROR_KIND_NO_FRESH_REPLICA) {
            count_read(task, step->reason);
        }
        task_refuse(task, step->outcome, step->error, NULL, step->retry_after_ms);
        return;
    }
    bool primary = task->run.status.role == DATABASE_ROLE_PRIMARY;
    task_set_served(task, step->database, primary ? "primary" : "replica");
    if (step->outcome == OUTCOME_FAILED) {
        task->reply.error_position = task->run.error_position;
        task->reply.sqlstate = g_strdup(task->run.sqlstate);
        task_refuse(task, step->outcome, step->error, task->run.error_text, 0);
        return;
    }
    count_read(task, step->reason);
    task_set_seen(task, task->run.position);
    task_take_results(task, &task->run);
    task->reply.outcome = OUTCOME_DONE;
    task_finish(task);
}

static void start_read(struct task *task)
{
    struct read_options options = {
        .deadline = task->deadline,
        .unavailable_wait_ms = task->daemon->settings.routing.unavailable_wait_ms,
        .attempts_max = READ_ATTEMPTS_MAX,
    };
    options.route.session = task_session_position(task);
    options.route.max_staleness_ms = task->route->max_staleness_ms;
    options.route.zone = task->daemon->zone;
    options.guard_wait_max_ms =
        MIN(task->route->read_wait_ms, task->daemon->settings.routing.guard_wait_max_ms);
    options.route.replicas_allowed = task->route->reads_from_replicas;
    read_flow_init(&task->read_flow, &options);
    struct read_event event = {.kind = READ_EVENT_START, .now = backend_now()};
    next_step(task, &event);
    task->state = TASK_STATE_READING;
}

void task_run_read(struct task *task)
{
    if (task->state == TASK_STATE_STARTING) {
        start_read(task);
    } else if (task->read_step.kind != READ_STEP_READ) {
        struct read_event event = {.kind = READ_EVENT_TIMER, .now = backend_now()};
        next_step(task, &event);
    }
    while (task->read_step.kind == READ_STEP_READ) {
        if (!perform_read(task)) {
            return;
        }
    }
    if (task->read_step.kind == READ_STEP_PROBE) {
        control_probe_now(task->daemon->control, task->group, (uint32_t)task->read_step.database);
    }
    if (task->read_step.kind != READ_STEP_ANSWER) {
        worker_pool_park(task->daemon->workers, &task->job, task->read_step.until);
        return;
    }
    answer_read(task);
}
