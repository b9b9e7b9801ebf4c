/* A client's session: its connection, its timer and its end during a planned stop. One statement is
 * processed at a time; messages that the client pipelines wait in the input buffer. */
#define G_LOG_DOMAIN "session"
#include "pooler/client/session_internal.h"

#include <unistd.h>

/* During a planned stop, a session is ended once it has been idle for this long since its start or
 * its last message. */
#define STOP_IDLE_NS (400 * NANOSECONDS_PER_MILLISECOND)

void
session_flush(struct session *session)
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

static void
on_readable(evutil_socket_t socket, short events, void *user)
{
    struct session *session = user;
    struct worker *worker = session->worker;
    switch (buffer_receive(&session->in, session->socket)) {
    case TRANSFER_DONE:
        session_process(session);
        break;
    case TRANSFER_BLOCKED:
        break;
    case TRANSFER_ENDED:
        session_end(session);
        break;
    }
    worker_run_deferred(worker);
}

static void
on_writable(evutil_socket_t socket, short events, void *user)
{
    struct session *session = user;
    struct worker *worker = session->worker;
    session_flush(session);
    worker_run_deferred(worker);
}

void
session_set_timer(struct session *session, time_ns at)
{
    time_ns now = backend_now();
    time_ns wait = at > now ? at - now : 0;
    struct timeval value = {(time_t)(wait / NANOSECONDS_PER_SECOND),
                            (suseconds_t)(wait % NANOSECONDS_PER_SECOND / 1000)};
    evtimer_add(session->timer, &value);
}

static void
close_server(struct session *session)
{
    struct server *server = session->server;
    if (server != NULL) {
        server->session = NULL;
        session->server = NULL;
        server_close(server, ANSWER_TIMEOUT);
    }
}

static void
on_timer(evutil_socket_t socket, short events, void *user)
{
    struct session *session = user;
    struct worker *worker = session->worker;
    if (session->state == SESSION_ADMITTING) {
        admission_timer_expired(session);
    } else if (session->state == SESSION_QUEUED) {
        router_leave_queue(session);
        if (session->request.refusal == NULL) {
            session_refuse(session, METRICS_REFUSAL_WAITED);
        } else {
            session_answer_lost(session, ANSWER_BUSY);
        }
    } else if (session->state == SESSION_RUNNING) {
        close_server(session);
        forward_cancel(session);
        session_answer_lost(session, ANSWER_TIMEOUT);
    } else if (session->transaction == SESSION_TRANSACTION_OPEN) {
        g_info("A transaction exceeded the idle limit and was rolled back.");
        session_fail_transaction(session);
    }
    worker_run_deferred(worker);
}

struct session *
session_new(struct worker *worker, const client_ops_t *client)
{
    struct session *session = g_new0(struct session, 1);
    session->worker = worker;
    session->client = client;
    session->opened = backend_now();
    session->timer = evtimer_new(worker->base, on_timer, session);
    g_queue_push_tail(&worker->sessions, session);
    session->worker_link = worker->sessions.tail;
    return session;
}

static void
on_answered(struct session *session, enum answer_code code, const struct log_position *position)
{
    session_flush(session);
}

static void
close_connection(struct session *session)
{
    event_del(session->readable);
    event_del(session->writable);
    close(session->socket);
    atomic_fetch_sub(&session->worker->session_count, 1);
    metrics_count(&session->worker->metrics, METRICS_SESSIONS_CLOSED);
}

static const client_ops_t own_client = {on_answered, session_bind_route, close_connection};

void
session_open(struct worker *worker, int socket)
{
    struct session *session = session_new(worker, &own_client);
    session->socket = socket;
    session->readable = event_new(worker->base, socket, EV_READ | EV_PERSIST, on_readable, session);
    session->writable = event_new(worker->base, socket, EV_WRITE, on_writable, session);
    event_add(session->readable, NULL);
    atomic_fetch_add(&worker->session_count, 1);
    metrics_count(&worker->metrics, METRICS_SESSIONS_OPENED);
}

void
session_end(struct session *session)
{
    struct worker *worker = session->worker;
    if (session->state == SESSION_ENDED) {
        return;
    }
    if (session_is_busy(session)) {
        worker->busy--;
    }
    router_leave_queue(session);
    admission_abandon(session);
    session->state = SESSION_ENDED;
    event_del(session->timer);
    session->client->close(session);
    if (session->server != NULL) {
        server_release(session->server);
    }
    forward_cancel(session);
    g_queue_delete_link(&worker->sessions, session->worker_link);
    g_ptr_array_add(worker->ended, session);
}

void
session_free(struct session *session)
{
    g_clear_pointer(&session->readable, event_free);
    g_clear_pointer(&session->writable, event_free);
    event_free(session->timer);
    buffer_clear(&session->in);
    buffer_clear(&session->out);
    g_free(session->request.message);
    g_free(session->database);
    g_free(session->key);
    g_clear_pointer(&session->values, g_hash_table_unref);
    g_clear_pointer(&session->prepared, g_hash_table_unref);
    g_free(session);
}

static void
refuse_start(struct session *session, access_verdict_t verdict)
{
    bool unproven = verdict == ACCESS_UNPROVEN;
    enum answer_code code = unproven ? ANSWER_BUSY : ANSWER_UNAUTHORIZED;
    g_autofree char *tag = access_key_tag(session->key);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_DATABASE", session->database, "SW_KEY",
                     tag, "SW_REASON", access_verdict_name(verdict), "MESSAGE",
                     "Session start for database %s refused: %s.", session->database,
                     access_verdict_name(verdict));
    metrics_count(&session->worker->metrics,
                  unproven ? METRICS_REFUSED_UNPROVEN : METRICS_REFUSED_KEYS);
    wire_write_error(&session->out, code, answer_meaning(code)->advice);
    session_flush(session);
    session_end(session);
}

static void
start_session(struct session *session, const struct client_message *message)
{
    if (message->kind != CLIENT_MESSAGE_START) {
        wire_write_error(&session->out, ANSWER_MALFORMED, "a start is expected");
        session_flush(session);
        session_end(session);
        return;
    }
    session->database = span_copy(message->database);
    if (!session_bind_route(session)) {
        g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_DATABASE", session->database,
                         "MESSAGE", "Session start for database %s refused: no such database.",
                         session->database);
        wire_write_error(&session->out, ANSWER_NO_DATABASE, session->database);
        session_flush(session);
        session_end(session);
        return;
    }
    session->key = span_copy(message->key);
    if (!g_utf8_validate(session->key, -1, NULL)) {
        wire_write_error(&session->out, ANSWER_MALFORMED, "the start is not UTF-8 text");
        session_flush(session);
        session_end(session);
        return;
    }
    access_verdict_t verdict = access_check(session);
    if (verdict != ACCESS_GRANTED) {
        refuse_start(session, verdict);
        return;
    }
    session->state = SESSION_IDLE;
    wire_write_ready(&session->out, TRANSACTION_STATE_NONE, NULL);
    router_announce(session);
    session_flush(session);
    session->start_took = backend_now() - session->opened;
}

/* Removes one message from the input buffer and executes it. The statement's spans point into a
 * copy. */
static void
process_message(struct session *session, size_t length)
{
    session->waits_for_view = false;
    struct session_request *request = &session->request;
    struct client_message message;
    g_free(request->message);
    *request = (struct session_request){.arrived = backend_now()};
    request->message = g_memdup2(buffer_content(&session->in).data, length);
    request->message_length = length;
    buffer_consume(&session->in, length);
    wire_read_client((struct span){request->message, length}, &message);
    request->statement = message.statement;
    if (session->state == SESSION_STARTING) {
        start_session(session, &message);
    } else if (message.kind == CLIENT_MESSAGE_STATEMENT) {
        operation_note_message(session);
        session_dispatch(session);
    } else if (message.kind == CLIENT_MESSAGE_END) {
        session_end(session);
    } else {
        session_answer_error(session, ANSWER_MALFORMED, NULL);
    }
}

void
session_process(struct session *session)
{
    while (session->state == SESSION_STARTING || session->state == SESSION_IDLE) {
        struct span content = buffer_content(&session->in);
        size_t length = wire_message_length(content);
        if (length > WIRE_MESSAGE_MAX || (length == 0 && content.length > WIRE_MESSAGE_MAX)) {
            wire_write_error(&session->out, ANSWER_TOO_LARGE, "the message is too large");
            session_flush(session);
            session_end(session);
            return;
        }
        if (length == 0) {
            break;
        }
        if (!session_knows_routes(session->worker)) {
            session->waits_for_view = true;
            break;
        }
        process_message(session, length);
    }
    if (session->worker->stopping) {
        session_check_stop(session, backend_now());
    }
}

void
session_continue(struct session *session)
{
    if (session->waits_for_view) {
        session_process(session);
    }
}

bool
session_is_idle(const struct session *session)
{
    return session->state == SESSION_IDLE && session->transaction == SESSION_TRANSACTION_NONE &&
           buffer_length(&session->in) == 0 && buffer_length(&session->out) == 0;
}

void
session_check_stop(struct session *session, time_ns now)
{
    bool idle = session_is_idle(session);
    bool used = session->request.arrived != 0 && session->database != NULL &&
                now > session->request.arrived + STOP_IDLE_NS;
    bool new = now < session->opened + STOP_IDLE_NS;
    if ((idle && (used || !new)) || (session->state == SESSION_STARTING && !new)) {
        session_end(session);
    }
}
