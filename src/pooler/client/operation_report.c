/* Reports how long a client's operations took: tracks the begin, pauses and end of each operation,
 * updates the histograms, and logs operations over their route's latency objective. An operation is
 * a single statement or a whole transaction. Forwarded statements are reported only by the client's
 * pooler. */
#define G_LOG_DOMAIN "operation"
#include "pooler/client/session_internal.h"

/* Rate limit of each worker's log lines about late operations. Enough to see which stage takes the
 * time, and few compared with the lines about state changes, which share the log's budget. */
static const bucket_limit_t late_log_limit = {.rate_per_s = 2, .capacity = 4};

/* True if the client's message is part of an operation. SET, PREPARE and DEALLOCATE outside a
 * transaction are not. */
static bool
is_part_of_operation(const struct session *session)
{
    enum statement_kind kind = session->request.statement.kind;
    return session->timing.statements > 0 || kind == STATEMENT_BEGIN ||
           kind == STATEMENT_BEGIN_READ || kind == STATEMENT_READ || kind == STATEMENT_WRITE ||
           kind == STATEMENT_EXECUTE;
}

void
operation_note_message(struct session *session)
{
    operation_timing_t *timing = &session->timing;
    if (session->transaction != SESSION_TRANSACTION_NONE) {
        operation_timing_enter(timing, STAGE_OWN, session->request.arrived);
    } else {
        operation_timing_begin(timing, STAGE_OWN, session->request.arrived);
    }
    if (is_part_of_operation(session)) {
        timing->statements++;
    }
}

static char *
describe_stages(const operation_timing_t *timing)
{
    GString *out = g_string_new(NULL);
    for (int stage = 0; stage < STAGE_COUNT; stage++) {
        if (timing->spent[stage] >= NANOSECONDS_PER_MILLISECOND / 10) {
            g_string_append_printf(out, "%s%s %.1f", out->len > 0 ? ", " : "",
                                   operation_stage_name((operation_stage_t)stage),
                                   (double)timing->spent[stage] / 1e6);
        }
    }
    return g_string_free(out, FALSE);
}

static void
log_late_operation(const struct session *session, enum answer_code code, time_ns total)
{
    const operation_timing_t *timing = &session->timing;
    const struct session_request *request = &session->request;
    const struct session_route *route = &session->route;
    g_autofree char *id = span_copy(request->statement.id);
    g_autofree char *stages = describe_stages(timing);
    g_autofree char *total_ms = g_strdup_printf("%.1f", (double)total / 1e6);
    g_autofree char *paused = g_strdup_printf("%.1f", (double)timing->spent[STAGE_PAUSE] / 1e6);
    time_ns duration = total - timing->spent[STAGE_START] + timing->spent[STAGE_PAUSE];
    g_autofree char *session_age =
        g_strdup_printf("%.1f", (double)(backend_now() - session->opened - duration) / 1e6);
    g_autofree char *priority = g_strdup_printf("%u", route->priority);
    g_autofree char *statements = g_strdup_printf("%u", timing->statements);
    g_autofree char *attempts = g_strdup_printf("%u", timing->attempts);
    g_autofree char *at_primary = g_strdup_printf("%u", timing->at_primary);
    g_autofree char *at_replica = g_strdup_printf("%u", timing->at_replica);
    g_log_structured(
        G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_REQUEST", id, "SW_TENANT",
        session->tenant == NULL ? "" : session->tenant, "SW_ROUTE",
        session->database == NULL ? "" : session->database, "SW_ROUTE_KIND",
        metrics_route_name(route->kind), "SW_PRIORITY", priority, "SW_SERVICE",
        route->group == NULL ? "" : route->group->shared->service, "SW_ANSWER",
        answer_meaning(code)->name, "SW_MS", total_ms, "SW_STAGES_MS", stages, "SW_PAUSED_MS",
        paused, "SW_SESSION_MS", session_age, "SW_STATEMENTS", statements, "SW_ATTEMPTS", attempts,
        "SW_AT_PRIMARY", at_primary, "SW_AT_REPLICA", at_replica, "SW_SENT_TO",
        request->sent_to == NULL ? "" : request->sent_to, "MESSAGE",
        "Operation %s took %s ms, objective %u ms: %s.", id, total_ms, route->target_ms, stages);
}

/* Updates the metrics of a finished operation, and logs it if it was late. */
static void
end_operation(struct session *session, enum answer_code code, time_ns now)
{
    operation_timing_t *timing = &session->timing;
    struct worker *worker = session->worker;
    time_ns wait = 0;
    timing->spent[STAGE_START] = session->start_took;
    session->start_took = 0;
    time_ns total = operation_timing_total(timing);
    metrics_operation(&worker->metrics, session->route.kind, session->route.priority, timing);
    if (total <= session->route.target_ms * NANOSECONDS_PER_MILLISECOND) {
        return;
    }
    metrics_count(&worker->metrics, METRICS_OPERATIONS_LATE);
    if (bucket_take(&worker->late_log_bucket, &late_log_limit, 0, now, &wait)) {
        log_late_operation(session, code, total);
    }
}

/* Counts whether the statement ran at a primary or at a replica. */
static void
count_database_role(operation_timing_t *timing, const struct session_request *request,
                    enum answer_code code)
{
    if (code == ANSWER_NONE && request->sent_to != NULL) {
        timing->at_primary += request->at_primary;
        timing->at_replica += !request->at_primary;
    }
}

void
operation_note_answer(struct session *session, enum answer_code code)
{
    operation_timing_t *timing = &session->timing;
    time_ns now = backend_now();
    operation_timing_enter(timing, STAGE_PAUSE, now);
    if (session->forwarded.caller != NULL || timing->statements == 0) {
        return;
    }
    count_database_role(timing, &session->request, code);
    if (session->transaction == SESSION_TRANSACTION_NONE) {
        end_operation(session, code, now);
        timing->statements = 0;
    }
}
