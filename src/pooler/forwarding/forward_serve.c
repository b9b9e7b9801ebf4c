/**
 * @file
 * @brief Statements that other poolers forward to this one; see forward.h.
 *
 * Each channel is a session without a socket. It holds the part of the client's session that the
 * statement needs, and its answers are returned as frames. It exists until its transaction or
 * single statement has ended.
 */
#define G_LOG_DOMAIN "forward"
#include "pooler/forwarding/forward.h"

#include "generated/messages.h"
#include "pooler/shared/peer.h"
#include "pooler/client/session_internal.h"

struct caller {
    struct worker *worker;
    struct peer *peer;
    struct peer_callbacks callbacks;
    GHashTable *channels; /* number -> session */
};

static void
send_answer(caller_t *caller, struct forward_answer *answer)
{
    GByteArray *message = forward_answer_encode(answer);
    metrics_count_by(&caller->worker->metrics, METRICS_FORWARD_BYTES, message->len);
    peer_send(caller->peer, message);
    forward_answer_clear(answer);
}

static void
on_answered(struct session *session, enum answer_code code, const struct log_position *position)
{
    struct span content = buffer_content(&session->out);
    struct forward_answer answer;
    forward_answer_init(&answer);
    answer.channel = session->forwarded.channel;
    answer.stages_us = g_new0(uint32_t, STAGE_COUNT);
    answer.stages_us_count = operation_timing_report(&session->timing, answer.stages_us);
    answer.at_primary = session->request.at_primary;
    answer.code = (uint32_t)code;
    answer.state = (uint32_t)session_transaction_state(session);
    answer.output = g_memdup2(content.data, content.length);
    answer.output_length = content.length;
    if (position != NULL) {
        answer.has_position = true;
        answer.term = position->term;
        answer.offset = position->offset;
    }
    buffer_clear(&session->out);
    send_answer(session->forwarded.caller, &answer);
    if (session->transaction != SESSION_TRANSACTION_OPEN) {
        session_end(session);
    }
}

/* Forwarded statements carry their route. */
static bool
has_route(struct session *session)
{
    return true;
}

static void
leave_channel(struct session *session)
{
    g_hash_table_remove(session->forwarded.caller->channels, &session->forwarded.channel);
}

static const client_ops_t forwarded_ops = {on_answered, has_route, leave_channel};

static void
decline(caller_t *caller, uint64_t channel)
{
    struct forward_answer answer;
    forward_answer_init(&answer);
    answer.channel = channel;
    answer.declined = true;
    send_answer(caller, &answer);
}

void
caller_decline(struct session *session)
{
    session_end(session);
    decline(session->forwarded.caller, session->forwarded.channel);
}

/* Answers a statement of a transaction that is no longer known here, as it was rolled back. */
static void
answer_rolled_back(caller_t *caller, const struct forward_ask *ask)
{
    struct buffer out = {0};
    struct forward_answer answer;
    struct client_message message;
    wire_read_client((struct span){(const char *)ask->message, ask->message_length}, &message);
    bool ends = message.statement.kind == STATEMENT_COMMIT;
    enum transaction_state state = ends ? TRANSACTION_STATE_NONE : TRANSACTION_STATE_FAILED;
    forward_answer_init(&answer);
    answer.channel = ask->channel;
    answer.code = ANSWER_ABORTED;
    answer.state = (uint32_t)state;
    wire_write_error(&out, ANSWER_ABORTED, answer_meaning(ANSWER_ABORTED)->advice);
    wire_write_ready(&out, state, NULL);
    struct span content = buffer_content(&out);
    answer.output = g_memdup2(content.data, content.length);
    answer.output_length = content.length;
    buffer_clear(&out);
    send_answer(caller, &answer);
}

static time_ns
time_before(time_ns now, uint64_t age_us)
{
    time_ns age = age_us * NANOSECONDS_PER_MICROSECOND;
    return now > age ? now - age : 0;
}

/* An unknown route kind, of a newer pooler, is treated as the strictest kind. */
static enum route_kind
route_kind_of(uint32_t number)
{
    return number <= ROUTE_KIND_READ_YOUR_WRITES ? (enum route_kind)number : ROUTE_KIND_PRIMARY;
}

static void
read_opening(struct session *session, const struct forward_ask *ask, time_ns now)
{
    session->route = (struct session_route){
        g_hash_table_lookup(session->worker->groups, ask->service),
        route_kind_of(ask->route_kind),
        ask->timeout_ms,
        ask->target_ms,
        ask->priority,
        ask->staleness_ms,
        ask->is_public,
        ask->configuration,
    };
    session->key = g_strdup(ask->key == NULL ? "" : ask->key);
    session->transaction =
        ask->in_transaction ? SESSION_TRANSACTION_REQUESTED : SESSION_TRANSACTION_NONE;
    session->read_only = ask->read_only;
    session->began = time_before(now, ask->transaction_age_us);
    session->has_own_commit = ask->has_own_commit;
    session->own_commit = (struct log_position){ask->own_commit_term, ask->own_commit_offset};
    session->own_commit_at = time_before(now, ask->own_commit_age_us);
}

/* Reads the statement and the parts of the client's session that it needs. */
static void
read_statement(struct session *session, const struct forward_ask *ask, time_ns now)
{
    struct session_request *request = &session->request;
    struct client_message message;
    g_free(request->message);
    *request = (struct session_request){.arrived = time_before(now, ask->age_us)};
    request->message = g_memdup2(ask->message, ask->message_length);
    request->message_length = ask->message_length;
    wire_read_client((struct span){request->message, ask->message_length}, &message);
    request->statement = message.statement;
    operation_timing_begin(&session->timing, STAGE_OWN, now);
    g_clear_pointer(&session->values, g_hash_table_unref);
    for (size_t i = 0; i < ask->values_count; i++) {
        /* An empty text is decoded as NULL. */
        const char *value = ask->values[i].value == NULL ? "" : ask->values[i].value;
        if (ask->values[i].name != NULL) {
            session_set_value(session, ask->values[i].name, value);
        }
    }
    if (ask->prepared) {
        session_set_prepared(
            session, request->statement.name, ask->prepared_writes,
            (struct span){(const char *)ask->prepared_shape, ask->prepared_shape_length});
    }
}

/* True if this pooler serves the group and is not stopping. */
static bool
accepts(const caller_t *caller, const struct forward_ask *ask)
{
    const struct group *group =
        ask->service == NULL ? NULL : g_hash_table_lookup(caller->worker->groups, ask->service);
    return group != NULL && group->connections > 0 && !caller->worker->stopping;
}

/* False if another owner may be able to serve the session: the key may be newer than the
 * configuration here, or another owner may have proof that it is still valid. */
static bool
may_serve(struct session *session, const struct forward_ask *ask)
{
    access_verdict_t verdict = access_check(session);
    bool behind = access_configuration(session) < ask->configuration;
    return verdict == ACCESS_GRANTED || (verdict == ACCESS_UNKNOWN_KEY && !behind);
}

static void
run(caller_t *caller, const struct forward_ask *ask)
{
    time_ns now = backend_now();
    struct session *session = g_hash_table_lookup(caller->channels, &ask->channel);
    if (session == NULL && !ask->opens) {
        answer_rolled_back(caller, ask);
        return;
    }
    if (ask->opens && (session != NULL || !accepts(caller, ask))) {
        decline(caller, ask->channel);
        return;
    }
    if (session == NULL) {
        session = session_new(caller->worker, &forwarded_ops);
        session->state = SESSION_IDLE;
        session->forwarded.caller = caller;
        session->forwarded.channel = ask->channel;
        g_hash_table_insert(caller->channels, &session->forwarded.channel, session);
        read_opening(session, ask, now);
        if (!may_serve(session, ask)) {
            caller_decline(session);
            return;
        }
        metrics_count(&caller->worker->metrics, METRICS_SERVED_FOR_OTHERS);
    }
    if (session->state == SESSION_IDLE) {
        read_statement(session, ask, now);
        session_dispatch(session);
    }
}

/* Opens a database connection in advance for an announced statement. */
static void
handle_announcement(caller_t *caller, const struct forward_ask *ask)
{
    struct session session = {.worker = caller->worker, .client = &forwarded_ops};
    if (!accepts(caller, ask)) {
        return;
    }
    read_opening(&session, ask, backend_now());
    if (access_check(&session) == ACCESS_GRANTED) {
        router_announce(&session);
    }
    g_free(session.key);
}

static void
end(const caller_t *caller, uint64_t channel)
{
    struct session *session = g_hash_table_lookup(caller->channels, &channel);
    if (session != NULL) {
        session_end(session);
    }
}

static void
answer_ping(caller_t *caller)
{
    struct forward_answer answer;
    forward_answer_init(&answer);
    send_answer(caller, &answer);
}

/* Answers whether an operation of a tenant may begin. */
static void
answer_token_request(caller_t *caller, const struct forward_ask *ask)
{
    admission_answer_t token = admission_answer_request(caller->worker, ask->admits, ask->priority);
    struct forward_answer answer;
    forward_answer_init(&answer);
    answer.channel = ask->channel;
    answer.declined = token.declined;
    answer.refused = token.refused;
    answer.retry_ms = token.retry_ms;
    send_answer(caller, &answer);
}

static bool
on_frame(void *user, struct peer *peer, const uint8_t *data, size_t len)
{
    caller_t *caller = user;
    struct worker *worker = caller->worker;
    struct forward_ask ask = {0};
    g_autoptr(GError) error = NULL;
    metrics_count_by(&worker->metrics, METRICS_FORWARD_BYTES_RECEIVED, len);
    if (!forward_ask_decode(data, len, &ask, &error)) {
        g_warning("Invalid message of a forwarding pooler: %s.", error->message);
        return false;
    }
    if (ask.announces) {
        handle_announcement(caller, &ask);
    } else if (ask.channel == 0) {
        answer_ping(caller);
    } else if (ask.admits != NULL && ask.admits[0] != '\0') {
        answer_token_request(caller, &ask);
    } else if (ask.ends) {
        end(caller, ask.channel);
    } else {
        run(caller, &ask);
    }
    forward_ask_clear(&ask);
    worker_run_deferred(worker);
    return true;
}

static void
end_all(const caller_t *caller)
{
    g_autoptr(GList) sessions = g_hash_table_get_values(caller->channels);
    for (GList *item = sessions; item != NULL; item = item->next) {
        session_end(item->data);
    }
}

static void
clear_caller(caller_t *caller)
{
    g_hash_table_unref(caller->channels);
    g_free(caller);
}

static void
on_closed(void *user, struct peer *peer)
{
    caller_t *caller = user;
    struct worker *worker = caller->worker;
    end_all(caller);
    g_ptr_array_remove(worker->callers, caller);
    clear_caller(caller);
    worker_run_deferred(worker);
}

void
caller_accept(struct worker *worker, int handle)
{
    caller_t *caller = g_new0(caller_t, 1);
    caller->worker = worker;
    caller->callbacks = (struct peer_callbacks){on_frame, on_closed, caller};
    caller->channels = g_hash_table_new(g_int64_hash, g_int64_equal);
    caller->peer = peer_accept(worker->base, handle, &caller->callbacks);
    g_ptr_array_add(worker->callers, caller);
}

void
caller_free(caller_t *caller)
{
    end_all(caller);
    peer_free(caller->peer);
    clear_caller(caller);
}
