/* A client's session: its values, prepared names and transaction, kept here while any connection to
 * a database serves its statements. One statement is asked at a time; what the client sends ahead
 * stays in its buffer. */
#define G_LOG_DOMAIN "session"
#include "pooler/worker_internal.h"

#include <inttypes.h>
#include <string.h>
#include <unistd.h>

/* A statement that has not run goes to another database this often at most. */
#define ATTEMPTS_MAX 6

/* Share of the route's timeout that a statement may wait for a connection. */
#define WAIT_SHARE 0.45

/* How long after a planned stop began a new session may sit without asking anything. */
#define STOP_IDLE_NS (400 * NANOSECONDS_PER_MILLISECOND)

/* Wait before a statement that met a busy database is sent again. */
#define BUSY_WAIT_NS (15 * NANOSECONDS_PER_MILLISECOND)

/* What a client is told about coming back, in milliseconds. */
#define RETRY_AFTER_MS 200U

static void process(struct session *session);

static void free_prepared(gpointer data)
{
    struct prepared *prepared = data;
    g_free(prepared->shape);
    g_free(prepared);
}

static void flush(struct session *session)
{
    switch (buffer_send(&session->out, session->socket)) {
    case TRANSFER_DONE:
        break;
    case TRANSFER_BLOCKED:
        event_add(session->writable, NULL);
        break;
    case TRANSFER_ENDED:
        session_end(session);
        break;
    }
}

static void on_readable(evutil_socket_t socket, short events, void *user)
{
    struct session *session = user;
    struct worker *worker = session->worker;
    switch (buffer_receive(&session->in, session->socket)) {
    case TRANSFER_DONE:
        process(session);
        break;
    case TRANSFER_BLOCKED:
        break;
    case TRANSFER_ENDED:
        session_end(session);
        break;
    }
    worker_settle(worker);
}

static void on_writable(evutil_socket_t socket, short events, void *user)
{
    struct session *session = user;
    struct worker *worker = session->worker;
    flush(session);
    worker_settle(worker);
}

static void set_timer(struct session *session, time_ns at)
{
    time_ns now = backend_now();
    time_ns wait = at > now ? at - now : 0;
    struct timeval value = {(time_t)(wait / NANOSECONDS_PER_SECOND),
                            (suseconds_t)(wait % NANOSECONDS_PER_SECOND / 1000)};
    evtimer_add(session->timer, &value);
}

static enum transaction_state told_state(const struct session *session)
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

static bool is_busy(const struct session *session)
{
    return session->state == SESSION_QUEUED || session->state == SESSION_RUNNING;
}

/* Writes the end of an answer; the session is idle from then on. */
static void finish(struct session *session, const struct log_position *position)
{
    wire_write_ready(&session->out, told_state(session), position);
    if (is_busy(session)) {
        session->worker->busy--;
    }
    session->state = SESSION_IDLE;
    g_clear_pointer(&session->request.message, g_free);
    event_del(session->timer);
    if (session->transaction == SESSION_TRANSACTION_OPEN) {
        set_timer(session, backend_now() + session->worker->transaction_idle);
    }
    flush(session);
}

static void answer_own(struct session *session)
{
    wire_write_complete(&session->out, NULL);
    finish(session, NULL);
}

static void log_refusal(const struct session *session, enum answer_code code, const char *text)
{
    const struct session_request *request = &session->request;
    const struct group *group = session->route.group;
    time_ns now = backend_now();
    g_autofree char *id = span_copy(request->statement.id);
    g_autofree char *waited = g_strdup_printf("%.1f", (double)(now - request->arrived) / 1e6);
    g_autofree char *epoch = g_strdup_printf("%" PRIu64, group == NULL ? 0 : group->epoch);
    g_autofree char *queue = g_strdup_printf("%u", group == NULL ? 0 : group->queue.length);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_REQUEST", id, "SW_KIND",
                     statement_kind_name(request->statement.kind), "SW_ROUTE",
                     session->database == NULL ? "" : session->database, "SW_SERVICE",
                     group == NULL ? "" : group->shared->service, "SW_SENT_TO",
                     request->sent_to == NULL ? "" : request->sent_to, "SW_ANSWER",
                     answer_meaning(code)->name, "SW_MS", waited, "SW_EPOCH", epoch, "SW_PHASE",
                     group == NULL ? "none" : group_phase_name(group->phase), "SW_QUEUE", queue,
                     "SW_PERMIT", group != NULL && router_has_permit(group, now) ? "yes" : "no",
                     "SW_PRIMARY",
                     group == NULL || group->primary == NULL ? "" : group->primary->shared->id,
                     "MESSAGE", "Request %s: %s (%s) after %s ms, %u attempts.", id,
                     answer_meaning(code)->name, text, waited, request->attempts);
}

static void answer_error(struct session *session, enum answer_code code, const char *text)
{
    const struct answer_meaning *meaning = answer_meaning(code);
    g_autofree char *advice = NULL;
    if (text == NULL || text[0] == '\0') {
        advice = meaning->not_run && meaning->elsewhere
                     ? g_strdup_printf("%s; retry in %u ms", meaning->advice, RETRY_AFTER_MS)
                     : g_strdup(meaning->advice);
        text = advice;
    }
    log_refusal(session, code, text);
    if (session->request.arrived != 0) {
        metrics_answer(&session->worker->metrics, session->route.kind, code,
                       backend_now() - session->request.arrived);
    }
    wire_write_error(&session->out, code, text);
    finish(session, NULL);
}

/* The transaction is over at the database; the client has still to end it. */
static void fail_transaction(struct session *session)
{
    if (session->server != NULL) {
        server_release(session->server);
    }
    session->transaction = SESSION_TRANSACTION_FAILED;
}

static void end_transaction(struct session *session)
{
    if (session->server != NULL) {
        server_release(session->server);
    }
    session->transaction = SESSION_TRANSACTION_NONE;
    session->read_only = false;
}

/* A statement in doubt: a write or commit that was sent, and whose end is not known. */
static bool in_doubt(const struct session *session)
{
    const struct session_request *request = &session->request;
    bool single = session->transaction == SESSION_TRANSACTION_NONE && request->writes;
    bool commit = request->statement.kind == STATEMENT_COMMIT;
    return request->may_have_run && (single || commit);
}

/* Answers a statement whose connection is lost and that goes nowhere else. */
static void answer_lost(struct session *session, enum answer_code reason)
{
    if (in_doubt(session)) {
        end_transaction(session);
        answer_error(session, ANSWER_IN_DOUBT, NULL);
        return;
    }
    if (session->transaction == SESSION_TRANSACTION_NONE) {
        answer_error(session, reason, NULL);
        return;
    }
    bool commit = session->request.statement.kind == STATEMENT_COMMIT;
    if (commit) {
        end_transaction(session);
    } else {
        fail_transaction(session);
    }
    answer_error(session, ANSWER_ABORTED, NULL);
}

static void on_timer(evutil_socket_t socket, short events, void *user)
{
    struct session *session = user;
    struct worker *worker = session->worker;
    if (session->state == SESSION_QUEUED) {
        router_leave_queue(session);
        answer_lost(session, ANSWER_BUSY);
    } else if (session->state == SESSION_RUNNING) {
        struct server *server = session->server;
        server->session = NULL;
        session->server = NULL;
        server_close(server, ANSWER_TIMEOUT);
        answer_lost(session, ANSWER_TIMEOUT);
    } else if (session->transaction == SESSION_TRANSACTION_OPEN) {
        g_info("A transaction rested for too long and was rolled back.");
        fail_transaction(session);
    }
    worker_settle(worker);
}

void session_open(struct worker *worker, int socket)
{
    struct session *session = g_new0(struct session, 1);
    session->worker = worker;
    session->socket = socket;
    session->opened = backend_now();
    session->readable = event_new(worker->base, socket, EV_READ | EV_PERSIST, on_readable, session);
    session->writable = event_new(worker->base, socket, EV_WRITE, on_writable, session);
    session->timer = evtimer_new(worker->base, on_timer, session);
    event_add(session->readable, NULL);
    g_queue_push_tail(&worker->sessions, session);
    session->worker_link = worker->sessions.tail;
    atomic_fetch_add(&worker->session_count, 1);
    metrics_count(&worker->metrics, METRICS_SESSIONS_OPENED);
}

void session_end(struct session *session)
{
    struct worker *worker = session->worker;
    if (session->state == SESSION_ENDED) {
        return;
    }
    if (is_busy(session)) {
        worker->busy--;
    }
    router_leave_queue(session);
    session->state = SESSION_ENDED;
    event_del(session->readable);
    event_del(session->writable);
    event_del(session->timer);
    close(session->socket);
    if (session->server != NULL) {
        server_release(session->server);
    }
    g_queue_delete_link(&worker->sessions, session->worker_link);
    g_ptr_array_add(worker->ended, session);
    atomic_fetch_sub(&worker->session_count, 1);
    metrics_count(&worker->metrics, METRICS_SESSIONS_CLOSED);
}

void session_free(struct session *session)
{
    event_free(session->readable);
    event_free(session->writable);
    event_free(session->timer);
    buffer_clear(&session->in);
    buffer_clear(&session->out);
    g_free(session->request.message);
    g_free(session->database);
    g_clear_pointer(&session->values, g_hash_table_unref);
    g_clear_pointer(&session->prepared, g_hash_table_unref);
    g_free(session);
}

/* True once a configuration and the group orders are known, so that "no such database" is true. */
static bool knows_routes(const struct worker *worker)
{
    return worker->applied != NULL;
}

/* Takes the session's route from the newest view. False if there is none. */
static bool bind_route(struct session *session)
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
            group,           route->kind,        route->timeout_ms, route->target_ms,
            route->priority, route->staleness_ms};
        found = true;
    }
    rcu_read_unlock();
    return found;
}

static void start_session(struct session *session, const struct client_message *message)
{
    if (message->kind != CLIENT_MESSAGE_START) {
        wire_write_error(&session->out, ANSWER_MALFORMED, "a start is expected");
        flush(session);
        session_end(session);
        return;
    }
    session->database = span_copy(message->database);
    if (!bind_route(session)) {
        g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_DATABASE", session->database,
                         "MESSAGE", "A start for %s: no such database.", session->database);
        wire_write_error(&session->out, ANSWER_NO_DATABASE, session->database);
        flush(session);
        session_end(session);
        return;
    }
    session->state = SESSION_IDLE;
    wire_write_ready(&session->out, TRANSACTION_STATE_NONE, NULL);
    flush(session);
}

static void set_value(struct session *session, const struct statement *statement)
{
    if (session->values == NULL) {
        session->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    }
    g_hash_table_replace(session->values, span_copy(statement->name), span_copy(statement->value));
    answer_own(session);
}

static void prepare(struct session *session, const struct statement *statement)
{
    if (session->prepared == NULL) {
        session->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_prepared);
    }
    struct prepared *prepared = g_new0(struct prepared, 1);
    prepared->writes = statement->writes;
    prepared->shape = span_copy(statement->value);
    g_hash_table_replace(session->prepared, span_copy(statement->name), prepared);
    answer_own(session);
}

static const struct prepared *find_prepared(const struct session *session, struct span name)
{
    g_autofree char *text = span_copy(name);
    return session->prepared == NULL ? NULL : g_hash_table_lookup(session->prepared, text);
}

static void deallocate(struct session *session, const struct statement *statement)
{
    g_autofree char *name = span_copy(statement->name);
    if (session->prepared != NULL) {
        g_hash_table_remove(session->prepared, name);
    }
    answer_own(session);
}

static void begin(struct session *session, bool read_only)
{
    if (session->transaction != SESSION_TRANSACTION_NONE) {
        answer_error(session, ANSWER_MALFORMED, "a transaction is open");
        return;
    }
    if (!bind_route(session)) {
        answer_error(session, ANSWER_NO_DATABASE, NULL);
        return;
    }
    session->transaction = SESSION_TRANSACTION_REQUESTED;
    session->read_only = read_only;
    session->statements_run = false;
    session->began = session->request.arrived;
    answer_own(session);
}

static void rollback(struct session *session)
{
    if (session->transaction == SESSION_TRANSACTION_NONE) {
        answer_error(session, ANSWER_MALFORMED, "no transaction is open");
        return;
    }
    end_transaction(session);
    answer_own(session);
}

static void refuse_in_failed(struct session *session)
{
    if (session->request.statement.kind == STATEMENT_COMMIT) {
        end_transaction(session);
        answer_error(session, ANSWER_ABORTED, NULL);
        return;
    }
    answer_error(session, ANSWER_MALFORMED, "the transaction failed; roll it back");
}

static void start_request_timer(struct session *session)
{
    time_ns timeout = session->route.timeout_ms * NANOSECONDS_PER_MILLISECOND;
    session->request.deadline = session->request.arrived + timeout;
    set_timer(session, session->request.arrived + (time_ns)((double)timeout * WAIT_SHARE));
}

void session_sent(struct session *session)
{
    session->state = SESSION_RUNNING;
    session->request.sent = backend_now();
    set_timer(session, session->request.deadline);
}

/* Sends a statement of the open transaction on, or finds a connection for the first one. */
static void submit(struct session *session)
{
    session->worker->busy++;
    worker_arm_tick(session->worker);
    if (session->transaction == SESSION_TRANSACTION_OPEN) {
        start_request_timer(session);
        session_sent(session);
        if (!router_may_write_on(session)) {
            answer_lost(session, ANSWER_ABORTED);
            return;
        }
        server_run(session->server, session, NULL);
        return;
    }
    start_request_timer(session);
    router_submit(session);
}

static void ask_database(struct session *session)
{
    struct session_request *request = &session->request;
    const struct statement *statement = &request->statement;
    request->writes = statement->writes;
    if (statement->kind == STATEMENT_EXECUTE) {
        const struct prepared *prepared = find_prepared(session, statement->name);
        if (prepared == NULL) {
            answer_error(session, ANSWER_NO_STATEMENT, "no such prepared statement");
            return;
        }
        request->writes = prepared->writes;
    }
    if (statement->kind == STATEMENT_COMMIT && session->transaction == SESSION_TRANSACTION_NONE) {
        answer_error(session, ANSWER_MALFORMED, "no transaction is open");
        return;
    }
    if (session->transaction == SESSION_TRANSACTION_NONE && !bind_route(session)) {
        answer_error(session, ANSWER_NO_DATABASE, NULL);
        return;
    }
    submit(session);
}

static bool may_end_failed(enum statement_kind kind)
{
    return kind == STATEMENT_ROLLBACK;
}

static void ask(struct session *session)
{
    const struct statement *statement = &session->request.statement;
    bool failed = session->transaction == SESSION_TRANSACTION_FAILED;
    if (failed && !may_end_failed(statement->kind)) {
        refuse_in_failed(session);
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
        ask_database(session);
        break;
    default:
        answer_error(session, ANSWER_MALFORMED, NULL);
        break;
    }
}

/* Takes one message off the buffer. The statement's spans point into a copy of it. */
static void take_message(struct session *session, size_t length)
{
    session->waits_for_view = false;
    struct session_request *request = &session->request;
    struct client_message message;
    g_free(request->message);
    *request = (struct session_request){.arrived = backend_now()};
    request->message = g_strndup(buffer_content(&session->in).data, length);
    buffer_consume(&session->in, length);
    wire_read_client((struct span){request->message, length}, &message);
    request->statement = message.statement;
    if (session->state == SESSION_STARTING) {
        start_session(session, &message);
    } else if (message.kind == CLIENT_MESSAGE_STATEMENT) {
        ask(session);
    } else if (message.kind == CLIENT_MESSAGE_END) {
        session_end(session);
    } else {
        answer_error(session, ANSWER_MALFORMED, NULL);
    }
}

static void process(struct session *session)
{
    while (session->state == SESSION_STARTING || session->state == SESSION_IDLE) {
        struct span content = buffer_content(&session->in);
        size_t length = wire_message_length(content);
        if (length > WIRE_MESSAGE_MAX || (length == 0 && content.length > WIRE_MESSAGE_MAX)) {
            wire_write_error(&session->out, ANSWER_TOO_LARGE, "the message is too large");
            flush(session);
            session_end(session);
            return;
        }
        if (length == 0) {
            break;
        }
        if (!knows_routes(session->worker)) {
            session->waits_for_view = true;
            break;
        }
        take_message(session, length);
    }
    if (session->worker->stopping) {
        session_check_stop(session, backend_now());
    }
}

void session_continue(struct session *session)
{
    if (session->waits_for_view) {
        process(session);
    }
}

static void note_own_commit(struct session *session, const struct log_position *position)
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
static void log_slow(const struct session *session, const struct server *server, time_ns latency)
{
    const struct session_request *request = &session->request;
    if (latency <= session->route.target_ms * NANOSECONDS_PER_MILLISECOND) {
        return;
    }
    g_autofree char *id = span_copy(request->statement.id);
    g_autofree char *waited =
        g_strdup_printf("%.1f", (double)(request->sent - request->arrived) / 1e6);
    g_autofree char *total = g_strdup_printf("%.1f", (double)latency / 1e6);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_REQUEST", id, "SW_KIND",
                     statement_kind_name(request->statement.kind), "SW_SERVICE",
                     server->database->group->shared->service, "SW_SENT_TO",
                     server->database->shared->id, "SW_MS", total, "SW_WAITED_MS", waited,
                     "MESSAGE",
                     "Request %s: slow, %s ms, of these %s before it was sent, %u attempts.", id,
                     total, waited, request->attempts);
}

static void tell_success(struct session *session, struct server *server,
                         const struct log_position *position)
{
    struct span rows = buffer_content(&server->rows);
    struct span signature = span_of(server->signature);
    buffer_append(&session->out, rows.data, rows.length);
    wire_write_complete(&session->out, &signature);
    time_ns latency = backend_now() - session->request.arrived;
    metrics_answer(&session->worker->metrics, session->route.kind, ANSWER_NONE, latency);
    log_slow(session, server, latency);
    finish(session, position);
}

/* The database answered inside a transaction, or ended it. */
static void follow_transaction(struct session *session, enum transaction_state state)
{
    if (session->transaction != SESSION_TRANSACTION_OPEN) {
        return;
    }
    if (state == TRANSACTION_STATE_NONE) {
        end_transaction(session);
    } else if (state == TRANSACTION_STATE_FAILED) {
        fail_transaction(session);
    }
}

/* True if nothing of the transaction has run, so that it may begin anew elsewhere. */
static bool may_begin_anew(const struct session *session, enum answer_code code)
{
    const struct answer_meaning *meaning = answer_meaning(code);
    return session->transaction == SESSION_TRANSACTION_OPEN && !session->statements_run &&
           meaning->not_run && meaning->elsewhere;
}

static void answer_failure(struct session *session, struct server *server,
                           enum transaction_state state)
{
    enum answer_code code = server->code;
    const struct answer_meaning *meaning = answer_meaning(code);
    g_autofree char *text = g_strdup(server->error_text);
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
        answer_error(session, code, text);
        return;
    }
    follow_transaction(session, state);
    answer_error(session, code, text);
}

static void answer_success(struct session *session, struct server *server,
                           enum transaction_state state, const struct log_position *position)
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

void session_answer(struct session *session, struct server *server, enum transaction_state state,
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
        process(session);
    }
}

void session_server_lost(struct session *session, enum answer_code reason)
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
        answer_lost(session, reason == ANSWER_NONE ? ANSWER_BUSY : reason);
    }
    if (session->state == SESSION_IDLE) {
        process(session);
    }
}

void session_try_again(struct session *session, enum answer_code reason)
{
    struct session_request *request = &session->request;
    time_ns now = backend_now();
    metrics_count(&session->worker->metrics, METRICS_RETRIES);
    request->may_have_run = false;
    bool in_time = now < request->deadline;
    if (!in_time || request->attempts >= ATTEMPTS_MAX) {
        session->state = SESSION_RUNNING;
        answer_lost(session, reason);
        return;
    }
    time_ns wait = (time_ns)((double)(request->deadline - request->arrived) * WAIT_SHARE);
    set_timer(session, MAX(request->arrived + wait, now + 20 * NANOSECONDS_PER_MILLISECOND));
    bool waits = reason == ANSWER_BUSY || reason == ANSWER_OVERLOADED;
    request->not_before = waits ? now + (BUSY_WAIT_NS << MIN(request->attempts, 3)) / 2 : now;
    router_submit(session);
}

void session_check_stop(struct session *session, time_ns now)
{
    bool at_rest = session->state == SESSION_IDLE &&
                   session->transaction == SESSION_TRANSACTION_NONE &&
                   buffer_length(&session->in) == 0 && buffer_length(&session->out) == 0;
    bool used = session->request.arrived != 0 && session->database != NULL &&
                now > session->request.arrived + STOP_IDLE_NS;
    bool young = now < session->opened + STOP_IDLE_NS;
    if ((at_rest && (used || !young)) || (session->state == SESSION_STARTING && !young)) {
        session_end(session);
    }
}
