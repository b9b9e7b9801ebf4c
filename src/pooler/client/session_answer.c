/* What a session's client is told: answers of databases, refusals, and unknown ends. */
#define G_LOG_DOMAIN "session"
#include "pooler/client/retry_advice.h"
#include "pooler/client/session_internal.h"

#include <inttypes.h>

/* A statement that has not run goes to another database this often at most. */
#define ATTEMPTS_MAX 6

/* Wait before a statement that met a busy database is sent again. */
#define BUSY_WAIT_NS (15 * NANOSECONDS_PER_MILLISECOND)

/* A client that was told when to come back, and asks within this time after, has come back. */
#define BACK_WITHIN_NS (1000 * NANOSECONDS_PER_MILLISECOND)

enum transaction_state
session_told_state(const struct session *session)
{
    switch (session->transaction) {
    case SESSION_TRANSACTION_NONE:
        return TRANSACTION_STATE_NONE;
    case SESSION_TRANSACTION_FAILED:
        return TRANSACTION_STATE_FAILED;
    default:
        return TRANSACTION_STATE_OPEN;
    }
}

bool
session_is_busy(const struct session *session)
{
    return session->state == SESSION_ADMITTING || session->state == SESSION_QUEUED ||
           session->state == SESSION_RUNNING;
}

/* The session is idle from now on, and its client gets the answer. */
static void
rest(struct session *session, enum answer_code code, const struct log_position *position)
{
    if (session_is_busy(session)) {
        session->worker->busy--;
    }
    session->state = SESSION_IDLE;
    operation_note_answer(session, code);
    g_clear_pointer(&session->request.message, g_free);
    event_del(session->timer);
    if (session->transaction == SESSION_TRANSACTION_OPEN) {
        session_set_timer(session, backend_now() + session->worker->transaction_idle);
    }
    session->client->answered(session, code, position);
}

/* Writes the end of an answer. */
static void
finish(struct session *session, enum answer_code code, const struct log_position *position)
{
    wire_write_ready(&session->out, session_told_state(session), position);
    rest(session, code, position);
}

/* Counts what became of a request whose client had been told when to come back. */
static void
count_return(struct session *session, enum answer_code code)
{
    time_ns told = session->told_back_at;
    session->told_back_at = 0;
    if (told != 0 && session->request.arrived >= told &&
        session->request.arrived < told + BACK_WITHIN_NS) {
        metrics_count(&session->worker->metrics,
                      code == ANSWER_NONE ? METRICS_BACK_SERVED : METRICS_BACK_REFUSED);
    }
}

/* Counts an answer where the client is. */
static void
count_answer(struct session *session, enum answer_code code)
{
    if (session->forwarded.caller == NULL) {
        metrics_answer(&session->worker->metrics, session->route.kind, code,
                       backend_now() - session->request.arrived);
        count_return(session, code);
    }
}

void
session_answer_own(struct session *session)
{
    wire_write_complete(&session->out, NULL);
    finish(session, ANSWER_NONE, NULL);
}

static void
log_refusal(const struct session *session, enum answer_code code, const char *text)
{
    const struct session_request *request = &session->request;
    const struct group *group = session->route.group;
    time_ns now = backend_now();
    g_autofree char *id = span_copy(request->statement.id);
    g_autofree char *waited = g_strdup_printf("%.1f", (double)(now - request->arrived) / 1e6);
    g_autofree char *epoch = g_strdup_printf("%" PRIu64, group == NULL ? 0 : group->epoch);
    g_autofree char *queue = g_strdup_printf("%u", group == NULL ? 0 : group->queue.length);
    g_autofree char *configuration = g_strdup_printf("%" PRIu64, session->route.configuration);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_REQUEST", id, "SW_TENANT",
                     session->tenant == NULL ? "" : session->tenant, "SW_KIND",
                     statement_kind_name(request->statement.kind), "SW_ROUTE",
                     session->database == NULL ? "" : session->database, "SW_CONFIGURATION",
                     configuration, "SW_SERVICE", group == NULL ? "" : group->shared->service,
                     "SW_SENT_TO", request->sent_to == NULL ? "" : request->sent_to, "SW_ANSWER",
                     answer_meaning(code)->name, "SW_MS", waited, "SW_EPOCH", epoch, "SW_PHASE",
                     group == NULL ? "none" : group_phase_name(group->phase), "SW_QUEUE", queue,
                     "SW_REASON", request->refusal == NULL ? "" : request->refusal, "SW_PERMIT",
                     group != NULL && router_has_permit(group, now) ? "yes" : "no", "SW_PRIMARY",
                     group == NULL || group->primary == NULL ? "" : group->primary->shared->id,
                     "MESSAGE", "Request %s: %s (%s) after %s ms, %u attempts.", id,
                     answer_meaning(code)->name, text, waited, request->attempts);
}

/* Tells the client when to come back, and notes that. */
static char *
write_advice(struct session *session, const struct answer_meaning *meaning)
{
    const struct session_route *route = &session->route;
    time_ns now = backend_now();
    time_ns over_in = session->request.over_in;
    if (over_in == 0 && route->group != NULL) {
        over_in = router_retry_after(session, now);
    }
    const retry_case_t refused = {over_in, route->timeout_ms * NANOSECONDS_PER_MILLISECOND,
                                  route->priority};
    uint32_t wait_ms = retry_advice_ms(&refused, g_random_double());
    session->told_back_at = now + wait_ms * NANOSECONDS_PER_MILLISECOND;
    return g_strdup_printf("%s; retry in %u ms", meaning->advice, wait_ms);
}

void
session_answer_error(struct session *session, enum answer_code code, const char *text)
{
    const struct answer_meaning *meaning = answer_meaning(code);
    g_autofree char *advice = NULL;
    if (session->request.arrived != 0) {
        count_answer(session, code);
    }
    if (text == NULL || text[0] == '\0') {
        advice = meaning->not_run && meaning->elsewhere ? write_advice(session, meaning)
                                                        : g_strdup(meaning->advice);
        text = advice;
    }
    log_refusal(session, code, text);
    wire_write_error(&session->out, code, text);
    finish(session, code, NULL);
}

/* The transaction is over at the database; the client has still to end it. */
void
session_fail_transaction(struct session *session)
{
    if (session->server != NULL) {
        server_release(session->server);
    }
    forward_drop(session);
    session->transaction = SESSION_TRANSACTION_FAILED;
}

void
session_end_transaction(struct session *session)
{
    if (session->server != NULL) {
        server_release(session->server);
    }
    forward_drop(session);
    session->transaction = SESSION_TRANSACTION_NONE;
    session->read_only = false;
}

/* A statement in doubt: a write or commit that was sent, and whose end is not known. */
static bool
in_doubt(const struct session *session)
{
    const struct session_request *request = &session->request;
    bool single = session->transaction == SESSION_TRANSACTION_NONE && request->writes;
    bool commit = request->statement.kind == STATEMENT_COMMIT;
    return request->may_have_run && (single || commit);
}

/* Answers a statement whose connection is lost and that goes nowhere else. */
void
session_answer_lost(struct session *session, enum answer_code reason)
{
    if (in_doubt(session)) {
        session_end_transaction(session);
        session_answer_error(session, ANSWER_IN_DOUBT, NULL);
        return;
    }
    if (session->transaction == SESSION_TRANSACTION_NONE) {
        session_answer_error(session, reason, NULL);
        return;
    }
    bool commit = session->request.statement.kind == STATEMENT_COMMIT;
    if (commit) {
        session_end_transaction(session);
    } else {
        session_fail_transaction(session);
    }
    session_answer_error(session, ANSWER_ABORTED, NULL);
}

static void
note_own_commit(struct session *session, const struct log_position *position)
{
    const struct session_request *request = &session->request;
    bool committed = request->statement.kind == STATEMENT_COMMIT ||
                     (request->writes && session->transaction == SESSION_TRANSACTION_NONE);
    if (committed && position != NULL && !session->read_only) {
        session->has_own_commit = true;
        session->own_commit = *position;
        session->own_commit_at = backend_now();
    }
}

/* A statement over its route's latency objective: where its time went. */
static void
log_slow(const struct session *session, const struct server *server, time_ns latency)
{
    const struct session_request *request = &session->request;
    if (latency <= session->route.target_ms * NANOSECONDS_PER_MILLISECOND) {
        return;
    }
    g_autofree char *id = span_copy(request->statement.id);
    g_autofree char *waited =
        g_strdup_printf("%.1f", (double)(request->sent - request->arrived) / 1e6);
    g_autofree char *total = g_strdup_printf("%.1f", (double)latency / 1e6);
    g_autofree char *configuration = g_strdup_printf("%" PRIu64, session->route.configuration);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_REQUEST", id, "SW_KIND",
                     statement_kind_name(request->statement.kind), "SW_CONFIGURATION",
                     configuration, "SW_SERVICE", server->database->group->shared->service,
                     "SW_SENT_TO", server->database->shared->id, "SW_MS", total, "SW_WAITED_MS",
                     waited, "MESSAGE",
                     "Request %s: slow, %s ms, of these %s before it was sent, %u attempts.", id,
                     total, waited, request->attempts);
}

static void
tell_success(struct session *session, struct server *server, const struct log_position *position)
{
    struct span rows = buffer_content(&server->rows);
    struct span signature = span_of(server->signature);
    buffer_append(&session->out, rows.data, rows.length);
    wire_write_complete(&session->out, &signature);
    time_ns latency = backend_now() - session->request.arrived;
    count_answer(session, ANSWER_NONE);
    log_slow(session, server, latency);
    finish(session, ANSWER_NONE, position);
}

/* The database answered inside a transaction, or ended it. */
static void
follow_transaction(struct session *session, enum transaction_state state)
{
    if (session->transaction != SESSION_TRANSACTION_OPEN) {
        return;
    }
    if (state == TRANSACTION_STATE_NONE) {
        session_end_transaction(session);
    } else if (state == TRANSACTION_STATE_FAILED) {
        session_fail_transaction(session);
    }
}

/* True if nothing of the transaction has run, so that it may begin anew elsewhere. */
static bool
may_begin_anew(const struct session *session, enum answer_code code)
{
    const struct answer_meaning *meaning = answer_meaning(code);
    return session->transaction == SESSION_TRANSACTION_OPEN && !session->statements_run &&
           meaning->not_run && meaning->elsewhere;
}

static void
answer_failure(struct session *session, struct server *server, enum transaction_state state)
{
    enum answer_code code = server->code;
    const struct answer_meaning *meaning = answer_meaning(code);
    /* A refusal tells the client when to come back; the database's own text does not. */
    bool advised = meaning->not_run && meaning->elsewhere;
    g_autofree char *text = advised ? NULL : g_strdup(server->error_text);
    bool alone = session->transaction == SESSION_TRANSACTION_NONE;
    if (may_begin_anew(session, code)) {
        server_release(server);
        session->transaction = SESSION_TRANSACTION_REQUESTED;
        session_try_again(session, code);
        return;
    }
    if (alone) {
        server_release(server);
        if (meaning->not_run && meaning->elsewhere) {
            session_try_again(session, code);
            return;
        }
        session_answer_error(session, code, text);
        return;
    }
    follow_transaction(session, state);
    session_answer_error(session, code, text);
}

static void
answer_success(struct session *session, struct server *server, enum transaction_state state,
               const struct log_position *position)
{
    bool over = session->transaction == SESSION_TRANSACTION_NONE || state == TRANSACTION_STATE_NONE;
    note_own_commit(session, position);
    session->statements_run = true;
    if (over) {
        session->transaction = SESSION_TRANSACTION_NONE;
        session->read_only = false;
    }
    /* The rows are taken before the connection serves another session. */
    tell_success(session, server, position);
    if (over && session->server != NULL) {
        server_release(server);
    }
}

void
session_answer(struct session *session, struct server *server, enum transaction_state state,
               const struct log_position *position)
{
    if (server->code == ANSWER_READONLY && server->database == session->route.group->primary) {
        database_set_fault(server->database, DATABASE_FAULT_REFUSING, backend_now());
    }
    if (server->code != ANSWER_NONE) {
        answer_failure(session, server, state);
    } else {
        answer_success(session, server, state, position);
    }
    if (session->state == SESSION_IDLE) {
        session_process(session);
    }
}

static void
follow_owner(struct session *session, enum transaction_state state)
{
    switch (state) {
    case TRANSACTION_STATE_OPEN:
        session->transaction = SESSION_TRANSACTION_OPEN;
        break;
    case TRANSACTION_STATE_FAILED:
        session->transaction = SESSION_TRANSACTION_FAILED;
        break;
    default:
        session->transaction = SESSION_TRANSACTION_NONE;
        session->read_only = false;
        break;
    }
}

void
session_pass_on(struct session *session, enum answer_code code, enum transaction_state state,
                struct span output, const struct log_position *position)
{
    if (code == ANSWER_NONE) {
        note_own_commit(session, position);
    } else {
        log_refusal(session, code, "by the owner");
    }
    follow_owner(session, state);
    buffer_append(&session->out, output.data, output.length);
    count_answer(session, code);
    rest(session, code, position);
    if (session->state == SESSION_IDLE) {
        session_process(session);
    }
}

void
session_server_lost(struct session *session, enum answer_code reason)
{
    if (session->state != SESSION_RUNNING) {
        if (session->transaction == SESSION_TRANSACTION_OPEN) {
            session->transaction = SESSION_TRANSACTION_FAILED;
        }
        return;
    }
    bool read_alone = session->transaction == SESSION_TRANSACTION_NONE && !session->request.writes;
    bool not_begun = session->transaction == SESSION_TRANSACTION_REQUESTED;
    if (read_alone || not_begun) {
        session_try_again(session, ANSWER_BUSY);
    } else {
        session_answer_lost(session, reason == ANSWER_NONE ? ANSWER_BUSY : reason);
    }
    if (session->state == SESSION_IDLE) {
        session_process(session);
    }
}

void
session_refuse_operation(struct session *session, enum answer_code code, uint32_t retry_ms)
{
    g_autofree char *text =
        g_strdup_printf("%s; retry in %u ms", answer_meaning(code)->advice, retry_ms);
    if (session->transaction != SESSION_TRANSACTION_NONE) {
        session_answer_lost(session, ANSWER_ABORTED);
        return;
    }
    session_answer_error(session, code, text);
    session->told_back_at = backend_now() + retry_ms * NANOSECONDS_PER_MILLISECOND;
}

void
session_refuse(struct session *session, enum metrics_refusal why)
{
    session->request.refusal = metrics_refusal_text(why);
    metrics_refuse(&session->worker->metrics, why, session->route.priority);
    session_answer_lost(session, ANSWER_BUSY);
}

void
session_end_wait(struct session *session, enum metrics_refusal why)
{
    session->request.refusal = metrics_refusal_text(why);
    metrics_refuse(&session->worker->metrics, why, session->route.priority);
    session_set_timer(session, backend_now());
}

void
session_try_again(struct session *session, enum answer_code reason)
{
    struct session_request *request = &session->request;
    time_ns now = backend_now();
    metrics_count(&session->worker->metrics, METRICS_RETRIES);
    operation_timing_retry(&session->timing, now);
    request->may_have_run = false;
    bool in_time = now < request->deadline;
    if (!in_time || request->attempts >= ATTEMPTS_MAX) {
        session->state = SESSION_RUNNING;
        session_answer_lost(session, reason);
        return;
    }
    time_ns wait = (time_ns)((double)(request->deadline - request->arrived) * WAIT_SHARE);
    session_set_timer(session,
                      MAX(request->arrived + wait, now + 20 * NANOSECONDS_PER_MILLISECOND));
    bool waits = reason == ANSWER_BUSY || reason == ANSWER_OVERLOADED;
    request->not_before = waits ? now + (BUSY_WAIT_NS << MIN(request->attempts, 3)) / 2 : now;
    router_submit(session);
}
