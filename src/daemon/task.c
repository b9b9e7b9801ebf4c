/* Start, slots and answer of a task; see the header. */
#include "daemon/task.h"

#include <glib.h>
#include <string.h>
#include <urcu/compiler.h>
#include <xxhash.h>

#include "backend/clock.h"
#include "daemon/control.h"
#include "daemon/daemon.h"
#include "daemon/forward.h"
#include "daemon/task_begin.h"
#include "daemon/task_decision.h"
#include "daemon/transaction.h"
#include "daemon/daemon_metrics.h"
#include "frontend/admin.h"

/* Retry delay if the daemon itself is overloaded or not ready. */
#define DAEMON_RETRY_AFTER_MS 500

/* The Retry-After of a slot queue is extended by a random part of up to this percentage. */
#define RETRY_AFTER_JITTER_PERCENT 50

/* An attempt that can be repeated may use up to this percentage of the remaining time. */
#define ATTEMPT_TIME_PERCENT 75

static void free_task(struct task *task)
{
    execute_answer_clear(&task->run);
    execute_answer_clear(&task->failure);
    reply_clear(&task->reply);
    request_clear(task->request);
    g_free(task->request);
    g_free(task->ledger_key);
    if (task->group != NULL) {
        group_runtime_unref(task->group);
    }
    configuration_unref(task->configuration);
    g_free(task);
}

/* Rolls back a transaction whose commit was never sent. */
static void roll_back(struct task *task)
{
    transaction_rollback(task->transaction, task->deadline);
    transaction_table_end(task->daemon->transactions, task->transaction);
    task->transaction = NULL;
}

/* Lets the forwarding daemon show operators where this daemon's record is. */
static void set_admin_port(struct task *task)
{
    if (task->request->hops > 0 && task->daemon->admin != NULL) {
        task->reply.has_admin_port = true;
        task->reply.admin_port = admin_port(task->daemon->admin);
    }
}

void task_finish(struct task *task)
{
    task_release_slot(task);
    if (task->transaction != NULL) {
        roll_back(task);
    }
    if (task->in_gate) {
        tenant_gate_leave(task->group->gate, task->route->tenant);
        task->in_gate = false;
    }
    if (task->counts_as_write) {
        group_runtime_end_write(task->group);
        task->counts_as_write = false;
    }
    /* Before the answer, so that the trace is complete when the caller receives it. */
    write_trace_end(task->write_trace);
    task->state = TASK_STATE_ANSWERED;
    struct reply *reply = &task->reply;
    reply->request_id = g_strdup(task->request->request_id);
    if (reply->served_by_daemon == NULL) {
        reply->served_by_daemon = g_strdup(task->daemon->settings.daemon.name);
    }
    time_ns now = backend_now();
    daemon_metrics_count(task->daemon->metrics, task, now);
    task_record_decision(task, now);
    set_admin_port(task);
    task->answer(task->origin, reply);
    daemon_task_ended(task->daemon);
    free_task(task);
}

void task_refuse(struct task *task, enum outcome outcome, enum error_kind error, const char *text,
                 uint32_t retry_after_ms)
{
    const struct error_entry *entry = error_entry_of(error);
    task->reply.outcome = outcome;
    task->reply.error_kind = (uint32_t)error;
    g_free(task->reply.error_text);
    task->reply.error_text = g_strdup(text != NULL ? text : entry->text);
    bool may_retry = entry->retry != ERROR_RETRY_NO;
    task->reply.retry_after_ms = may_retry ? MAX(retry_after_ms, 1) : 0;
    task_finish(task);
}

/* Adds jitter, so that refused callers do not retry at the same time. */
static uint32_t add_jitter(uint32_t retry_after_ms)
{
    uint32_t width = retry_after_ms * RETRY_AFTER_JITTER_PERCENT / 100 + 1;
    return retry_after_ms + (uint32_t)g_random_int_range(0, (gint32)width);
}

static void run_task(struct worker_job *job)
{
    struct task *task = (struct task *)job;
    switch (task->state) {
    case TASK_STATE_STARTING:
        forward_or_run(task);
        break;
    case TASK_STATE_READING:
        task_run_read(task);
        break;
    case TASK_STATE_WRITING:
        task_run_write(task);
        break;
    case TASK_STATE_BEGINNING:
        task_run_begin(task);
        break;
    case TASK_STATE_ANSWERED:
        g_assert_not_reached();
    }
}

static bool has_key(const struct request *request)
{
    return request->idempotency_key != NULL && request->idempotency_key[0] != '\0';
}

/* True if the request continues earlier work, under a configuration that was in force then. */
static bool continues(const struct task *task)
{
    return task->request->transaction_id != NULL && task->request->transaction_id[0] != '\0';
}

/* Finds route and group, or sets the reason why there is none. */
static bool resolve(struct task *task, enum error_kind *error)
{
    task->configuration = daemon_take_configuration(task->daemon);
    if (task->configuration == NULL || !control_is_settled(task->daemon->control) ||
        !(continues(task) || daemon_may_serve(task->daemon))) {
        *error = ERROR_KIND_NOT_READY;
        return false;
    }
    const char *tenant = task->request->tenant;
    task->route = configuration_find_tenant(task->configuration, tenant != NULL ? tenant : "");
    if (task->route == NULL) {
        *error = ERROR_KIND_UNKNOWN_TENANT;
        return false;
    }
    /* NULL if this daemon does not own the group: the task is forwarded. */
    task->group = daemon_take_group(task->daemon, task->route->group);
    return true;
}

static void prepare(struct task *task)
{
    struct request *request = task->request;
    request->group = task->route->group;
    uint32_t budget_ms = MIN(request->budget_ms, task->route->request_timeout_ms);
    task->deadline = task->started_at + budget_ms * NANOSECONDS_PER_MILLISECOND;
    if (has_key(request)) {
        task->ledger_key = g_strdup_printf("%s/%s", request->tenant, request->idempotency_key);
    }
    task->ticket.tenant = (uint32_t)XXH3_64bits(request->tenant, strlen(request->tenant));
    task->ticket.weight = task->route->weight;
    task->ticket.deadline = task->deadline;
}

static enum worker_lane lane_of(const struct task *task)
{
    const struct request *request = task->request;
    if (request->hops > 0) {
        return WORKER_LANE_FORWARDED;
    }
    if (request->transaction_id != NULL && request->transaction_id[0] != '\0') {
        return WORKER_LANE_TRANSACTION;
    }
    return task->group != NULL ? WORKER_LANE_NEW : WORKER_LANE_FORWARDING;
}

void task_submit(struct daemon *daemon, struct request *request, task_answer_function answer,
                 void *origin)
{
    struct task *task = g_new0(struct task, 1);
    task->job.run = run_task;
    task->daemon = daemon;
    task->request = request;
    task->answer = answer;
    task->origin = origin;
    task->started_at = backend_now();
    task->slot_database = -1;
    task->run_database = -1;
    task->decision.primary = -1;
    task->decision.database = -1;
    reply_init(&task->reply);
    execute_answer_init(&task->run);
    execute_answer_init(&task->failure);
    if (!daemon_task_started(daemon, request)) {
        task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_STOPPING, NULL, DAEMON_RETRY_AFTER_MS);
        return;
    }
    enum error_kind error;
    if (!resolve(task, &error)) {
        task_refuse(task, OUTCOME_REFUSED, error, NULL, DAEMON_RETRY_AFTER_MS);
        return;
    }
    prepare(task);
    task->job.lane = lane_of(task);
    if (!worker_pool_submit(daemon->workers, &task->job)) {
        task_refuse(task, OUTCOME_REFUSED, ERROR_KIND_OVERLOADED, NULL,
                    add_jitter(DAEMON_RETRY_AFTER_MS));
    }
}

bool task_take_slot(struct task *task, uint32_t database, enum admission_class rank, bool *refused,
                    uint32_t *retry_after_ms)
{
    struct database_runtime *runtime = &task->group->databases[database];
    struct control *control = task->daemon->control;
    *refused = false;
    if (task->slot_database == (int32_t)database) {
        return true;
    }
    if (task->ticket_expired) {
        task->ticket_expired = false;
        pthread_mutex_lock(&runtime->admission_lock);
        *retry_after_ms = add_jitter(admission_drain_ms(&runtime->admission));
        pthread_mutex_unlock(&runtime->admission_lock);
        *refused = true;
        return false;
    }
    time_ns now = backend_now();
    task->ticket.rank = rank;
    pthread_mutex_lock(&runtime->admission_lock);
    enum admission_verdict verdict =
        admission_enter(&runtime->admission, &task->ticket, now, retry_after_ms);
    if (verdict == ADMISSION_ADMITTED) {
        task->slot_database = (int32_t)database;
        task->slot_since = now;
        atomic_fetch_add(&runtime->in_flight, 1);
    }
    atomic_store(&runtime->queued, runtime->admission.queued);
    pthread_mutex_unlock(&runtime->admission_lock);
    /* Once queued, the task may be run by another thread and must not be accessed here. */
    if (verdict == ADMISSION_QUEUED) {
        control_report_slot_demand(control);
    }
    if (verdict == ADMISSION_REFUSED) {
        *refused = true;
        *retry_after_ms = add_jitter(*retry_after_ms);
    }
    return verdict == ADMISSION_ADMITTED;
}

void task_start_queued(struct daemon *daemon, struct group_runtime *group, uint32_t database,
                       time_ns now)
{
    struct database_runtime *runtime = &group->databases[database];
    bool admitted = false;
    struct admission_ticket *ticket = admission_next(&runtime->admission, now, &admitted);
    while (ticket != NULL) {
        struct task *task = caa_container_of(ticket, struct task, ticket);
        task->ticket_expired = !admitted;
        if (admitted) {
            task->slot_database = (int32_t)database;
            task->slot_since = now;
            atomic_fetch_add(&runtime->in_flight, 1);
        }
        worker_pool_resume(daemon->workers, &task->job);
        ticket = admission_next(&runtime->admission, now, &admitted);
    }
    atomic_store(&runtime->queued, runtime->admission.queued);
}

void task_expire_queued(struct daemon *daemon, struct group_runtime *group, time_ns now)
{
    for (uint32_t i = 0; i < group->database_count; i++) {
        struct database_runtime *database = &group->databases[i];
        pthread_mutex_lock(&database->admission_lock);
        struct admission_ticket *ticket = admission_take_expired(&database->admission, now);
        while (ticket != NULL) {
            struct task *task = caa_container_of(ticket, struct task, ticket);
            task->ticket_expired = true;
            worker_pool_resume(daemon->workers, &task->job);
            ticket = admission_take_expired(&database->admission, now);
        }
        atomic_store(&database->queued, database->admission.queued);
        pthread_mutex_unlock(&database->admission_lock);
    }
}

void task_release_slot(struct task *task)
{
    if (task->slot_database < 0) {
        return;
    }
    uint32_t database = (uint32_t)task->slot_database;
    struct database_runtime *runtime = &task->group->databases[database];
    time_ns now = backend_now();
    task->slot_database = -1;
    pthread_mutex_lock(&runtime->admission_lock);
    atomic_fetch_sub(&runtime->in_flight, 1);
    admission_leave(&runtime->admission, now - task->slot_since);
    task_start_queued(task->daemon, task->group, database, now);
    pthread_mutex_unlock(&runtime->admission_lock);
}

time_ns task_attempt_deadline(const struct task *task)
{
    time_ns now = backend_now();
    if (now >= task->deadline) {
        return task->deadline;
    }
    return now + (task->deadline - now) / 100 * ATTEMPT_TIME_PERCENT;
}

struct log_position task_session_position(const struct task *task)
{
    struct log_position position = {0, 0};
    for (size_t i = 0; i < task->request->session_count; i++) {
        const struct group_position *seen = &task->request->session[i];
        if (seen->group == task->request->group) {
            position.term = seen->term;
            position.offset = seen->offset;
        }
    }
    return position;
}

void task_set_seen(struct task *task, struct log_position position)
{
    if (position.term == 0) {
        return;
    }
    task->reply.session = g_new0(struct group_position, 1);
    task->reply.session_count = 1;
    task->reply.session[0].group = task->request->group;
    task->reply.session[0].term = position.term;
    task->reply.session[0].offset = position.offset;
}

void task_set_served(struct task *task, int32_t database, const char *role)
{
    if (database < 0) {
        return;
    }
    g_free(task->reply.served_by_database);
    g_free(task->reply.served_by_role);
    task->reply.served_by_database = g_strdup(task->group->databases[database].configuration.name);
    task->reply.served_by_role = g_strdup(role);
}

void task_take_results(struct task *task, struct execute_answer *answer)
{
    task->reply.results = answer->results;
    task->reply.results_count = answer->results_count;
    answer->results = NULL;
    answer->results_count = 0;
}
