/* The statements of a session's client. Values, prepared statements and transaction state are kept
 * here; reads and writes go through admission to the router. */
#define G_LOG_DOMAIN "session"
#include "pooler/client/session_internal.h"

#include <string.h>

static void
free_prepared(gpointer data)
{
    struct prepared *prepared = data;
    g_free(prepared->shape);
    g_free(prepared);
}

bool
session_knows_routes(const struct worker *worker)
{
    return worker->view_number != 0;
}

bool
session_bind_route(struct session *session)
{
    bool found = false;
    rcu_read_lock();
    const struct view *view = rcu_dereference(session->worker->shared->view);
    const struct route *route = view == NULL || view->configuration == NULL
                                    ? NULL
                                    : configuration_route(view->configuration, session->database);
    struct group *group =
        route == NULL ? NULL : g_hash_table_lookup(session->worker->groups, route->service);
    if (group != NULL) {
        session->route = (struct session_route){
            group,           route->kind,         route->timeout_ms, route->target_ms,
            route->priority, route->staleness_ms, route->is_public,  view->configuration->version};
        found = true;
    }
    rcu_read_unlock();
    return found;
}

void
session_set_value(struct session *session, const char *name, const char *value)
{
    if (session->values == NULL) {
        session->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    }
    g_hash_table_replace(session->values, g_strdup(name), g_strdup(value));
}

/* Limits of a session's values, and the same of its prepared statements. All values go with each
 * forwarded statement: a message between poolers has room for them. */
#define SESSION_VALUES_MAX   4096
#define SESSION_PREPARED_MAX 4096
#define SESSION_STATE_MAX    WIRE_MESSAGE_MAX

static size_t
values_size(const struct session *session, const char *without)
{
    size_t size = 0;
    GHashTableIter iterator;
    gpointer name = NULL;
    gpointer value = NULL;
    if (session->values == NULL) {
        return 0;
    }
    g_hash_table_iter_init(&iterator, session->values);
    while (g_hash_table_iter_next(&iterator, &name, &value)) {
        if (strcmp(name, without) != 0) {
            size += strlen(name) + strlen(value);
        }
    }
    return size;
}

/* True if the session may have one more value of this name. */
static bool
has_room_for_value(const struct session *session, const char *name, const char *value)
{
    bool fits = values_size(session, name) + strlen(name) + strlen(value) <= SESSION_STATE_MAX;
    bool held = session->values != NULL && g_hash_table_contains(session->values, name);
    bool full = session->values != NULL && g_hash_table_size(session->values) >= SESSION_VALUES_MAX;
    return fits && (held || !full);
}

static void
set_value(struct session *session, const struct statement *statement)
{
    g_autofree char *name = span_copy(statement->name);
    g_autofree char *value = span_copy(statement->value);
    if (!g_utf8_validate(name, -1, NULL) || !g_utf8_validate(value, -1, NULL)) {
        session_answer_error(session, ANSWER_MALFORMED, "the value is not UTF-8 text");
        return;
    }
    if (!has_room_for_value(session, name, value)) {
        session_answer_error(session, ANSWER_TOO_LARGE, "the session has too many values");
        return;
    }
    session_set_value(session, name, value);
    session_answer_locally(session);
}

void
session_set_prepared(struct session *session, struct span name, bool writes, struct span shape)
{
    if (session->prepared == NULL) {
        session->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_prepared);
    }
    struct prepared *prepared = g_new0(struct prepared, 1);
    prepared->writes = writes;
    prepared->shape = span_copy(shape);
    g_hash_table_replace(session->prepared, span_copy(name), prepared);
}

const struct prepared *
session_find_prepared(const struct session *session, struct span name)
{
    g_autofree char *text = span_copy(name);
    return session->prepared == NULL ? NULL : g_hash_table_lookup(session->prepared, text);
}

/* True if the session may have one more prepared statement of this name. */
static bool
has_room_for_prepared(const struct session *session, const struct statement *statement)
{
    size_t size = statement->name.length + statement->value.length;
    bool held = session_find_prepared(session, statement->name) != NULL;
    GHashTableIter iterator;
    gpointer name = NULL;
    gpointer prepared = NULL;
    if (session->prepared == NULL) {
        return size <= SESSION_STATE_MAX;
    }
    g_hash_table_iter_init(&iterator, session->prepared);
    while (g_hash_table_iter_next(&iterator, &name, &prepared)) {
        if (!span_equals(statement->name, name)) {
            size += strlen(name) + strlen(((const struct prepared *)prepared)->shape);
        }
    }
    bool full = g_hash_table_size(session->prepared) >= SESSION_PREPARED_MAX;
    return size <= SESSION_STATE_MAX && (held || !full);
}

static void
prepare(struct session *session, const struct statement *statement)
{
    if (!has_room_for_prepared(session, statement)) {
        session_answer_error(session, ANSWER_TOO_LARGE, "the session has too many statements");
        return;
    }
    session_set_prepared(session, statement->name, statement->writes, statement->value);
    session_answer_locally(session);
}

static void
deallocate(struct session *session, const struct statement *statement)
{
    g_autofree char *name = span_copy(statement->name);
    if (session->prepared != NULL) {
        g_hash_table_remove(session->prepared, name);
    }
    session_answer_locally(session);
}

static void
begin(struct session *session, bool read_only)
{
    if (session->transaction != SESSION_TRANSACTION_NONE) {
        session_answer_error(session, ANSWER_MALFORMED, "a transaction is open");
        return;
    }
    if (!session->client->bind_route(session)) {
        session_answer_error(session, ANSWER_NO_DATABASE, NULL);
        return;
    }
    session->transaction = SESSION_TRANSACTION_REQUESTED;
    session->read_only = read_only;
    session->statements_run = false;
    session->began = session->request.arrived;
    router_announce(session);
    session_answer_locally(session);
}

static void
rollback(struct session *session)
{
    if (session->transaction == SESSION_TRANSACTION_NONE) {
        session_answer_error(session, ANSWER_MALFORMED, "no transaction is open");
        return;
    }
    session_end_transaction(session);
    session_answer_locally(session);
}

static void
reject_in_failed_transaction(struct session *session)
{
    if (session->request.statement.kind == STATEMENT_COMMIT) {
        session_end_transaction(session);
        session_answer_error(session, ANSWER_ABORTED, NULL);
        return;
    }
    session_answer_error(session, ANSWER_MALFORMED, "the transaction failed; roll it back");
}

/* Time beyond the statement's deadline that is allowed for an owner's answer to arrive. */
#define OWNER_MARGIN_NS (20 * NANOSECONDS_PER_MILLISECOND)

static void
start_request_timer(struct session *session)
{
    time_ns timeout = session->route.timeout_ms * NANOSECONDS_PER_MILLISECOND;
    session->request.deadline = session->request.arrived + timeout;
    session_set_timer(session, session->request.arrived + (time_ns)((double)timeout * WAIT_SHARE));
}

void
session_sent(struct session *session)
{
    session->state = SESSION_RUNNING;
    session->request.sent = backend_now();
    session->timing.attempts++;
    /* At the deadline the owner ends the statement itself, and knows whether it may have run. */
    time_ns margin = forward_is_open(session) ? OWNER_MARGIN_NS : 0;
    session_set_timer(session, session->request.deadline + margin);
}

/* Sends a statement of an open transaction to where the transaction is. Any other statement begins
 * an operation and needs to be admitted. */
static void
submit(struct session *session)
{
    session->worker->busy++;
    worker_arm_tick(session->worker);
    if (session->transaction == SESSION_TRANSACTION_OPEN) {
        start_request_timer(session);
        session_sent(session);
        if (forward_is_open(session)) {
            forward_continue(session);
            return;
        }
        if (!router_may_write_on(session)) {
            session_answer_lost(session, ANSWER_ABORTED);
            return;
        }
        server_run(session->server, session, NULL);
        return;
    }
    admission_begin(session);
}

void
session_route(struct session *session)
{
    operation_timing_enter(&session->timing, STAGE_OWN, backend_now());
    start_request_timer(session);
    router_submit(session);
}

static void
run_statement(struct session *session)
{
    struct session_request *request = &session->request;
    const struct statement *statement = &request->statement;
    request->writes = statement->writes;
    if (statement->kind == STATEMENT_EXECUTE) {
        const struct prepared *prepared = session_find_prepared(session, statement->name);
        if (prepared == NULL) {
            session_answer_error(session, ANSWER_NO_STATEMENT, "no such prepared statement");
            return;
        }
        request->writes = prepared->writes;
    }
    if (statement->kind == STATEMENT_COMMIT && session->transaction == SESSION_TRANSACTION_NONE) {
        session_answer_error(session, ANSWER_MALFORMED, "no transaction is open");
        return;
    }
    if (session->transaction == SESSION_TRANSACTION_NONE && !session->client->bind_route(session)) {
        session_answer_error(session, ANSWER_NO_DATABASE, NULL);
        return;
    }
    submit(session);
}

static bool
may_end_failed(enum statement_kind kind)
{
    return kind == STATEMENT_ROLLBACK;
}

void
session_dispatch(struct session *session)
{
    const struct statement *statement = &session->request.statement;
    bool failed = session->transaction == SESSION_TRANSACTION_FAILED;
    if (statement->kind != STATEMENT_ROLLBACK) {
        access_verdict_t verdict = access_check(session);
        if (verdict != ACCESS_GRANTED) {
            access_refuse(session, verdict);
            return;
        }
    }
    if (failed && !may_end_failed(statement->kind)) {
        reject_in_failed_transaction(session);
        return;
    }
    switch (statement->kind) {
    case STATEMENT_BEGIN:
    case STATEMENT_BEGIN_READ:
        begin(session, statement->kind == STATEMENT_BEGIN_READ);
        break;
    case STATEMENT_ROLLBACK:
        rollback(session);
        break;
    case STATEMENT_SET:
        set_value(session, statement);
        break;
    case STATEMENT_PREPARE:
        prepare(session, statement);
        break;
    case STATEMENT_DEALLOCATE:
        deallocate(session, statement);
        break;
    case STATEMENT_READ:
    case STATEMENT_WRITE:
    case STATEMENT_EXECUTE:
    case STATEMENT_COMMIT:
        run_statement(session);
        break;
    default:
        session_answer_error(session, ANSWER_MALFORMED, NULL);
        break;
    }
}
