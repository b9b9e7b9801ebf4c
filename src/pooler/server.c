/* A connection to a database. It serves any session between transactions: before a session's
 * statement runs, the connection gets the session's values and the prepared name that the statement
 * uses. Prepared names at the database are our own, one for each mode and shape, so that sessions
 * share them and their names never clash. */
#define G_LOG_DOMAIN "server"
#include "pooler/socket.h"
#include "pooler/worker_internal.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECT_TIMEOUT_MS 800
#define CLEAN_TIMEOUT_MS   2000

/* A connection whose far end is dark is dropped by the kernel after this. */
#define DARK_TIMEOUT_MS 2500

/* Prepared names held by one connection before all are dropped. */
#define PREPARED_MAX 256

#define LATENCY_WEIGHT 0.1

static void process(struct server *server);

static void
set_timer(struct server *server, uint32_t ms)
{
    struct timeval wait = {ms / 1000, (ms % 1000) * 1000};
    evtimer_add(server->timer, &wait);
}

static void
expect(struct server *server, enum expected what)
{
    guint8 octet = (guint8)what;
    g_byte_array_append(server->expected, &octet, 1);
}

static void
flush(struct server *server)
{
    if (server->state == SERVER_CONNECTING) {
        return;
    }
    switch (buffer_send(&server->out, server->socket)) {
    case TRANSFER_DONE:
        break;
    case TRANSFER_BLOCKED:
        event_add(server->writable, NULL);
        break;
    case TRANSFER_ENDED:
        server_close(server, ANSWER_BUSY);
        break;
    }
}

static void
on_readable(evutil_socket_t socket, short events, void *user)
{
    struct server *server = user;
    struct worker *worker = server->database->group->worker;
    switch (buffer_receive(&server->in, server->socket)) {
    case TRANSFER_DONE:
        process(server);
        break;
    case TRANSFER_BLOCKED:
        break;
    case TRANSFER_ENDED:
        server_close(server, ANSWER_BUSY);
        break;
    }
    worker_settle(worker);
}

static void
on_connected(struct server *server)
{
    int error = 0;
    socklen_t length = sizeof error;
    getsockopt(server->socket, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        server_close(server, ANSWER_BUSY);
        return;
    }
    server->state = SERVER_STARTING;
    event_add(server->readable, NULL);
    flush(server);
}

static void
on_writable(evutil_socket_t socket, short events, void *user)
{
    struct server *server = user;
    struct worker *worker = server->database->group->worker;
    if (server->state == SERVER_CONNECTING) {
        on_connected(server);
    } else {
        flush(server);
    }
    worker_settle(worker);
}

static void
on_timer(evutil_socket_t socket, short events, void *user)
{
    struct server *server = user;
    struct worker *worker = server->database->group->worker;
    server_close(server, ANSWER_BUSY);
    worker_settle(worker);
}

struct server *
server_open(struct database *database)
{
    struct worker *worker = database->group->worker;
    int handle = socket_connect(&database->address, DARK_TIMEOUT_MS);
    if (handle < 0) {
        database_open_failed(database, ANSWER_NONE);
        return NULL;
    }
    struct server *server = g_new0(struct server, 1);
    server->database = database;
    server->socket = handle;
    server->state = SERVER_CONNECTING;
    server->expected = g_byte_array_new();
    server->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    server->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    server->readable = event_new(worker->base, handle, EV_READ | EV_PERSIST, on_readable, server);
    server->writable = event_new(worker->base, handle, EV_WRITE, on_writable, server);
    server->timer = evtimer_new(worker->base, on_timer, server);
    wire_write_start(&server->out, database->group->shared->service, database->shared->id);
    expect(server, EXPECT_START);
    event_add(server->writable, NULL);
    set_timer(server, CONNECT_TIMEOUT_MS);
    g_ptr_array_add(database->servers, server);
    metrics_count(&worker->metrics, METRICS_CONNECTIONS_OPENED);
    return server;
}

static void
clear_answer(struct server *server)
{
    buffer_clear(&server->rows);
    g_clear_pointer(&server->signature, g_free);
    g_clear_pointer(&server->error_text, g_free);
    server->code = ANSWER_NONE;
}

void
server_free(struct server *server)
{
    event_free(server->readable);
    event_free(server->writable);
    event_free(server->timer);
    buffer_clear(&server->in);
    buffer_clear(&server->out);
    clear_answer(server);
    g_byte_array_unref(server->expected);
    g_hash_table_unref(server->values);
    g_hash_table_unref(server->prepared);
    g_free(server);
}

static void
count_in_flight(struct server *server, bool begins)
{
    server->database->in_flight += begins ? 1 : -1;
    group_note_in_flight(server->database->group);
}

static bool
holds_work(const struct server *server)
{
    return server->state == SERVER_RESERVED || server->state == SERVER_RUNNING;
}

void
server_close(struct server *server, enum answer_code reason)
{
    enum server_state former = server->state;
    struct database *database = server->database;
    struct worker *worker = database->group->worker;
    if (former == SERVER_CLOSED) {
        return;
    }
    if (holds_work(server)) {
        count_in_flight(server, false);
    }
    server->state = SERVER_CLOSED;
    event_del(server->readable);
    event_del(server->writable);
    event_del(server->timer);
    close(server->socket);
    g_ptr_array_remove(database->servers, server);
    g_ptr_array_add(worker->closed, server);
    g_ptr_array_add(worker->groups_to_run, database->group);
    if (former == SERVER_CONNECTING || former == SERVER_STARTING) {
        database_open_failed(database, server->code);
    } else if (reason != ANSWER_NONE) {
        metrics_count(&worker->metrics, METRICS_CONNECTIONS_BROKEN);
    }
    if (server->checking) {
        server->checking = false;
        leadership_check_answer(database->group, database, NULL);
    }
    struct session *session = server->session;
    server->session = NULL;
    if (session != NULL) {
        session->server = NULL;
        session_server_lost(session, reason);
    }
}

/* True if the connection holds a value that the session lacks: only a reset removes it. */
static bool
needs_reset(const struct server *server, const struct session *session)
{
    if (g_hash_table_size(server->prepared) > PREPARED_MAX) {
        return true;
    }
    GHashTableIter iterator;
    gpointer name = NULL;
    g_hash_table_iter_init(&iterator, server->values);
    while (g_hash_table_iter_next(&iterator, &name, NULL)) {
        if (session->values == NULL || !g_hash_table_contains(session->values, name)) {
            return true;
        }
    }
    return false;
}

static void
bring_values(struct server *server, const struct session *session)
{
    if (session->values == NULL) {
        return;
    }
    GHashTableIter iterator;
    gpointer name = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, session->values);
    while (g_hash_table_iter_next(&iterator, &name, &value)) {
        const char *held = g_hash_table_lookup(server->values, name);
        if (held != NULL && strcmp(held, value) == 0) {
            continue;
        }
        wire_write_set(&server->out, name, value);
        expect(server, EXPECT_SETUP);
        g_hash_table_insert(server->values, g_strdup(name), g_strdup(value));
    }
}

static void
bring_setup(struct server *server, const struct session *session)
{
    if (!server->in_transaction && needs_reset(server, session)) {
        wire_write_reset(&server->out);
        expect(server, EXPECT_SETUP);
        g_hash_table_remove_all(server->values);
        g_hash_table_remove_all(server->prepared);
    }
    bring_values(server, session);
}

/* The database's name for what the session prepared; prepares it there first if need be. */
static const char *
bring_prepared(struct server *server, const struct prepared *prepared)
{
    g_autofree char *key = g_strconcat(prepared->writes ? "w " : "r ", prepared->shape, NULL);
    const char *name = g_hash_table_lookup(server->prepared, key);
    if (name != NULL) {
        return name;
    }
    char *given = g_strdup_printf("p%u", ++server->names_given);
    wire_write_prepare(&server->out, given, prepared->writes, span_of(prepared->shape));
    expect(server, EXPECT_SETUP);
    g_hash_table_insert(server->prepared, g_steal_pointer(&key), given);
    return given;
}

static void
write_statement(struct server *server, struct session *session, const struct log_position *after)
{
    const struct statement *statement = &session->request.statement;
    if (statement->kind == STATEMENT_EXECUTE) {
        g_autofree char *name = span_copy(statement->name);
        const struct prepared *prepared = g_hash_table_lookup(session->prepared, name);
        const char *given = bring_prepared(server, prepared);
        wire_write_execute(&server->out, statement->id, after, given, statement->value);
    } else {
        wire_write_statement(&server->out, statement->id, after, statement->text);
    }
    expect(server, EXPECT_STATEMENT);
    session->request.may_have_run = true;
    server->running_writes = session->request.writes || statement->kind == STATEMENT_COMMIT;
    server->writes = session->request.writes;
    server->wrote = server->in_transaction && server->wrote;
}

static void
note_sending(struct server *server)
{
    struct group *group = server->database->group;
    server->sent_at = backend_now();
    server->epoch = group->epoch;
    server->permitted =
        server->database == group->primary && router_has_permit(group, server->sent_at);
}

static struct log_position
position_or_none(const struct log_position *position)
{
    struct log_position none = {0};
    return position == NULL ? none : *position;
}

void
server_run(struct server *server, struct session *session, const struct log_position *after)
{
    if (!holds_work(server)) {
        server->state = SERVER_RUNNING;
        count_in_flight(server, true);
    }
    server->state = SERVER_RUNNING;
    server->session = session;
    session->server = server;
    session->request.sent_to = server->database->shared->id;
    clear_answer(server);
    note_sending(server);
    server->after = position_or_none(after);
    bring_setup(server, session);
    server->running_writes = false;
    if (session->transaction == SESSION_TRANSACTION_REQUESTED) {
        /* The statement waits for the answer: behind a failed beginning it would run alone. */
        wire_write_begin(&server->out, session->read_only, after);
        expect(server, EXPECT_BEGIN);
    } else {
        write_statement(server, session, after);
    }
    flush(server);
}

void
server_ask_status(struct server *server)
{
    server->state = SERVER_RUNNING;
    count_in_flight(server, true);
    clear_answer(server);
    note_sending(server);
    server->running_writes = false;
    server->wrote = false;
    server->checking = true;
    server->has_report = false;
    wire_write_status(&server->out);
    expect(server, EXPECT_STATUS);
    flush(server);
}

static void
on_status(struct server *server)
{
    struct group *group = server->database->group;
    bool good = server->has_report && server->code == ANSWER_NONE;
    server->checking = false;
    server->state = SERVER_RESERVED;
    leadership_check_answer(group, server->database, good ? &server->report : NULL);
    server_release(server);
}

static void
become_idle(struct server *server)
{
    struct database *database = server->database;
    server->idle_since = backend_now();
    server->state = SERVER_IDLE;
    server->in_transaction = false;
    if (!database->takes_work || database->servers->len > database->group->connections) {
        server_close(server, ANSWER_NONE);
        return;
    }
    g_ptr_array_add(database->group->worker->groups_to_run, database->group);
}

void
server_release(struct server *server)
{
    if (server->session != NULL) {
        server->session->server = NULL;
        server->session = NULL;
    }
    if (server->state == SERVER_CLOSED || server->state == SERVER_RUNNING) {
        return; /* a running one is released when its answer has come */
    }
    if (holds_work(server)) {
        count_in_flight(server, false);
    }
    if (!server->in_transaction) {
        become_idle(server);
        return;
    }
    server->state = SERVER_CLEANING;
    wire_write_rollback(&server->out);
    expect(server, EXPECT_ROLLBACK);
    set_timer(server, CLEAN_TIMEOUT_MS);
    flush(server);
}

static void
on_started(struct server *server)
{
    event_del(server->timer);
    if (server->code != ANSWER_NONE) {
        server_close(server, ANSWER_NONE);
        return;
    }
    become_idle(server);
}

static void
on_begun(struct server *server, enum transaction_state state)
{
    struct session *session = server->session;
    server->in_transaction = state != TRANSACTION_STATE_NONE;
    if (server->code == ANSWER_LAGGING) {
        server->database->lacking = server->after;
        server->database->lacking_at = backend_now();
    }
    if (session == NULL) {
        server->state = SERVER_RESERVED;
        server_release(server);
        return;
    }
    if (server->code != ANSWER_NONE || !server->in_transaction) {
        enum answer_code code = server->code == ANSWER_NONE ? ANSWER_BUSY : server->code;
        server->state = SERVER_RESERVED;
        server_release(server);
        session_try_again(session, code);
        return;
    }
    session->transaction = SESSION_TRANSACTION_OPEN;
    session->statements_run = false;
    server->wrote = false;
    clear_answer(server);
    note_sending(server);
    write_statement(server, session, NULL);
    flush(server);
}

/* How far a replica is behind, by when the primary stood where the replica stands now. */
static void
note_lag(struct database *database, time_ns now)
{
    const struct freshness_sample *sample =
        freshness_reached(&database->group->freshness, database->position);
    if (database != database->group->primary && sample != NULL) {
        /* Samples are sparse: the true lag is up to one spacing less. */
        time_ns behind = now - sample->at;
        database->lag = behind > FRESHNESS_SPACING_NS ? behind - FRESHNESS_SPACING_NS : 0;
        database->lag_at = now;
    }
}

/* What an answer tells of the database and of the group's log. */
static void
learn(struct server *server, const struct database_reply *ready)
{
    struct database *database = server->database;
    struct group *group = database->group;
    time_ns now = backend_now();
    double latency = (double)(now - server->sent_at) / (double)NANOSECONDS_PER_MILLISECOND;
    database->latency_ms += LATENCY_WEIGHT * (latency - database->latency_ms);
    server->wrote = server->wrote || (server->writes && server->code == ANSWER_NONE);
    if (!ready->has_position) {
        return;
    }
    database->position = ready->position;
    if (server->code == ANSWER_LAGGING) {
        metrics_count(&group->worker->metrics, METRICS_LAGGING);
        database->lacking = server->after;
        database->lacking_at = now;
    }
    note_lag(database, now);
    bool leads = database == group->primary && server->epoch == group->epoch;
    /* A commit that a replica received shows that nobody else could lead. One that wrote nothing
     * asked no replica, and shows nothing. */
    bool committed = server->code == ANSWER_NONE && server->running_writes && server->wrote &&
                     ready->state == TRANSACTION_STATE_NONE && group->sync_replicas > 0;
    if (leads && (server->permitted || committed) && ready->position.term >= group->term) {
        freshness_add(&group->freshness, server->sent_at, ready->position);
    }
    if (leads && committed) {
        leadership_note(group, server->sent_at);
        database->written_at = now;
    }
}

static void
on_statement_done(struct server *server, const struct database_reply *ready)
{
    struct session *session = server->session;
    learn(server, ready);
    server->in_transaction = ready->state != TRANSACTION_STATE_NONE;
    server->state = SERVER_RESERVED;
    server->running_writes = false;
    if (session == NULL) {
        server_release(server);
        return;
    }
    session_answer(session, server, ready->state, ready->has_position ? &ready->position : NULL);
}

static void
on_ready(struct server *server, const struct database_reply *ready)
{
    if (server->expected->len == 0) {
        server_close(server, ANSWER_BUSY);
        return;
    }
    enum expected what = (enum expected)server->expected->data[0];
    g_byte_array_remove_index(server->expected, 0);
    switch (what) {
    case EXPECT_START:
        on_started(server);
        break;
    case EXPECT_SETUP:
        if (server->code != ANSWER_NONE) {
            server_close(server, ANSWER_IN_DOUBT);
        }
        break;
    case EXPECT_BEGIN:
        on_begun(server, ready->state);
        break;
    case EXPECT_STATEMENT:
        on_statement_done(server, ready);
        break;
    case EXPECT_ROLLBACK:
        event_del(server->timer);
        become_idle(server);
        break;
    case EXPECT_STATUS:
        on_status(server);
        break;
    }
}

static void
on_reply(struct server *server, struct span message)
{
    struct database_reply reply;
    wire_read_reply(message, &reply);
    switch (reply.kind) {
    case REPLY_ROW:
        if (server->checking) {
            server->has_report = wire_read_report(reply.content, &server->report);
        } else {
            buffer_append(&server->rows, message.data, message.length);
        }
        break;
    case REPLY_COMPLETE:
        g_free(server->signature);
        server->signature = span_copy(reply.content);
        break;
    case REPLY_ERROR:
        server->code = reply.code;
        g_free(server->error_text);
        server->error_text = span_copy(reply.content);
        if (server->state == SERVER_STARTING) {
            on_started(server);
        }
        break;
    case REPLY_READY:
        on_ready(server, &reply);
        break;
    case REPLY_MALFORMED:
        g_warning("Database %s sent what is no message; the connection is closed.",
                  server->database->shared->id);
        server_close(server, ANSWER_IN_DOUBT);
        break;
    }
}

static void
process(struct server *server)
{
    database_answered(server->database, backend_now());
    while (server->state != SERVER_CLOSED) {
        struct span content = buffer_content(&server->in);
        size_t length = wire_message_length(content);
        if (length == 0) {
            if (content.length > WIRE_MESSAGE_MAX) {
                server_close(server, ANSWER_IN_DOUBT);
            }
            return;
        }
        on_reply(server, (struct span){content.data, length});
        buffer_consume(&server->in, length);
    }
}
