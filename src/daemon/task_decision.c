/* The record of a task's decisions; see the header. */
#define G_LOG_DOMAIN "requests"
#include "daemon/task_decision.h"

#include <glib.h>

#include "core/position_samples.h"
#include "daemon/daemon.h"
#include "daemon/decision_log.h"
#include "daemon/log.h"
#include "daemon/task.h"

/* Replication lag of a database in milliseconds. */
static uint32_t lag_of(const struct group_view *view, const struct database_view *database)
{
    time_ns lag = position_samples_lag(view, database);
    return (uint32_t)MIN(lag / NANOSECONDS_PER_MILLISECOND, G_MAXUINT32);
}

void task_record_view(struct task *task, const struct group_view *view,
                      const enum route_reason *refused)
{
    struct decision_record *record = &task->decision;
    record->view_term = view->term;
    record->primary = (int16_t)view->primary;
    record->database_count = (uint8_t)view->database_count;
    for (uint32_t i = 0; i < view->database_count; i++) {
        const struct database_view *database = &view->databases[i];
        record->databases[i] = (struct decision_database){
            .applied = database->status.applied,
            .term = database->status.term,
            .lag_ms = lag_of(view, database),
            .reason = (uint8_t)refused[i],
            .role = (uint8_t)database->status.role,
            .reachable = database->reachable,
            .leaving = database->status.leaving,
        };
    }
}

void task_record_write_view(struct task *task, const struct group_view *view)
{
    struct route_decision decision = route_write(view);
    task_record_view(task, view, decision.refused);
}

void task_record_needed(struct task *task, const struct group_view *view,
                        const struct route_read_request *route)
{
    route_needed_position(view, route, &task->decision.needed);
}

void task_copy_refused(struct task *task)
{
    const struct decision_record *record = &task->decision;
    struct reply *reply = &task->reply;
    g_assert(reply->refused == NULL);
    reply->refused = g_new0(struct refused_database, GROUP_DATABASES_MAX);
    for (uint32_t i = 0; i < record->database_count; i++) {
        const struct decision_database *database = &record->databases[i];
        if (database->reason != ROUTE_REASON_NONE) {
            reply->refused[reply->refused_count++] = (struct refused_database){
                .database = i,
                .reason = database->reason,
                .term = database->applied.term,
                .offset = database->applied.offset,
            };
        }
    }
}

void task_record_forward(struct task *task, const char *address)
{
    struct decision_record *record = &task->decision;
    g_strlcpy(record->forwarded_to, address, sizeof(record->forwarded_to));
    record->attempts++;
}

/* Copies what the daemon that ran the request reported about the databases. */
static void take_refused(struct decision_record *record, const struct reply *reply,
                         const struct group_configuration *group)
{
    record->database_count = (uint8_t)group->database_count;
    for (size_t i = 0; i < reply->refused_count; i++) {
        const struct refused_database *refused = &reply->refused[i];
        if (refused->database < group->database_count) {
            struct decision_database *database = &record->databases[refused->database];
            database->reason = (uint8_t)refused->reason;
            database->applied.term = refused->term;
            database->applied.offset = refused->offset;
        }
    }
}

static int16_t index_of(const struct group_configuration *group, const char *database)
{
    for (uint32_t i = 0; i < group->database_count; i++) {
        if (g_strcmp0(group->databases[i].name, database) == 0) {
            return (int16_t)i;
        }
    }
    return -1;
}

/* The group as known to the task, or NULL. */
static const struct group_configuration *group_of(const struct task *task)
{
    if (task->group != NULL) {
        return task->group->group;
    }
    return task->configuration != NULL && task->route != NULL
               ? configuration_find_group(task->configuration, task->route->group)
               : NULL;
}

static void record_group(struct task *task, struct decision_record *record)
{
    const struct group_configuration *group = group_of(task);
    if (group == NULL) {
        return;
    }
    record->group = group->id;
    record->databases_mark = decision_databases_mark(group);
    record->session = task_session_position(task);
    if (record->forwarded_to[0] != '\0') {
        take_refused(record, &task->reply, group);
    }
    record->database = index_of(group, task->reply.served_by_database);
}

static void record_request(const struct request *request, struct decision_record *record)
{
    g_strlcpy(record->request_id, request->request_id != NULL ? request->request_id : "",
              sizeof(record->request_id));
    g_strlcpy(record->tenant, request->tenant != NULL ? request->tenant : "",
              sizeof(record->tenant));
    record->kind = (uint8_t)request->kind;
    record->hops = (uint8_t)MIN(request->hops, UINT8_MAX);
    record->read_only = request->read_only;
}

static void record_reply(const struct reply *reply, struct decision_record *record)
{
    record->outcome = (uint8_t)reply->outcome;
    record->error = (uint8_t)reply->error_kind;
    record->reason = (uint8_t)reply->reason;
    record->replayed = reply->replayed;
    if (reply->session_count > 0) {
        record->shown.term = reply->session[0].term;
        record->shown.offset = reply->session[0].offset;
    }
    g_strlcpy(record->served_by, reply->served_by_daemon, sizeof(record->served_by));
    if (record->forwarded_to[0] != '\0' && reply->has_admin_port) {
        record->served_by_admin_port = (uint16_t)reply->admin_port;
    }
}

/* Runs at databases; for a forwarded request, the number of daemons tried. */
static uint32_t attempts_of(const struct task *task)
{
    if (task->decision.forwarded_to[0] != '\0') {
        return task->decision.attempts;
    }
    return task->read_flow.attempts + task->write_flow.attempts + task->begin_attempts;
}

static void log_not_done(const struct decision_record *record)
{
    if (record->outcome == OUTCOME_DONE || !log_is_enabled("requests", LOG_LEVEL_INFO)) {
        return;
    }
    g_info("%s of %s: %s, %s, route %s.", record->request_id, record->tenant,
           outcome_name((enum outcome)record->outcome),
           error_entry_of((enum error_kind)record->error)->name,
           route_reason_name((enum route_reason)record->reason));
}

void task_record_decision(struct task *task, time_ns now)
{
    struct decision_record *record = &task->decision;
    record_request(task->request, record);
    record_reply(&task->reply, record);
    record_group(task, record);
    record->attempts = attempts_of(task);
    record->at_us = g_get_real_time();
    record->took_us = (now - task->started_at) / (NANOSECONDS_PER_MILLISECOND / 1000);
    decision_log_add(task->daemon->decisions, record);
    if (record->outcome == OUTCOME_REFUSED) {
        refusal_watch_count(&task->daemon->refusals, record->error);
    }
    log_not_done(record);
}
