/* A connection to a database. Between transactions it can serve any session of its tenant: before a
 * session's statement is sent, the session's values are set and the statement is prepared if
 * necessary. The names of prepared statements at the database are generated here, one for each mode
 * and shape, so that sessions share them and their own names can't collide. */
#define G_LOG_DOMAIN "server"
#include "pooler/databases/server_internal.h"
#include "pooler/shared/socket.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECT_TIMEOUT_MS 800
#define CLEAN_TIMEOUT_MS   2000

/* The kernel drops a connection whose data the peer has not acknowledged within this time. */
#define UNACKNOWLEDGED_TIMEOUT_MS 2500

void
server_set_timer(struct server *server, uint32_t ms)
{
    struct timeval wait = {ms / 1000, (ms % 1000) * 1000};
    evtimer_add(server->timer, &wait);
}

void
server_expect(struct server *server, enum expected what)
{
    guint8 byte = (guint8)what;
    g_byte_array_append(server->expected, &byte, 1);
}

void
server_flush(struct server *server)
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
        server_process(server);
        break;
    case TRANSFER_BLOCKED:
        break;
    case TRANSFER_ENDED:
        server_close(server, ANSWER_BUSY);
        break;
    }
    worker_run_deferred(worker);
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
    database_note_rtt(server->database, backend_now() - server->sent_at);
    event_add(server->readable, NULL);
    server_flush(server);
}

static void
on_writable(evutil_socket_t socket, short events, void *user)
{
    struct server *server = user;
    struct worker *worker = server->database->group->worker;
    if (server->state == SERVER_CONNECTING) {
        on_connected(server);
    } else {
        server_flush(server);
    }
    worker_run_deferred(worker);
}

static void
on_timer(evutil_socket_t socket, short events, void *user)
{
    struct server *server = user;
    struct worker *worker = server->database->group->worker;
    server_close(server, ANSWER_BUSY);
    worker_run_deferred(worker);
}

struct server *
server_open(struct database *database, const char *tenant, enum metrics_counter why)
{
    struct worker *worker = database->group->worker;
    if (!database_free_connection(database)) {
        return NULL;
    }
    int handle = socket_connect(&database->address, UNACKNOWLEDGED_TIMEOUT_MS);
    if (handle < 0) {
        database_note_open_failure(database, ANSWER_NONE);
        return NULL;
    }
    struct server *server = g_new0(struct server, 1);
    server->database = database;
    server->tenant = tenant;
    server->opened_ahead = why == METRICS_OPENED_AHEAD;
    server->socket = handle;
    server->state = SERVER_CONNECTING;
    server->sent_at = backend_now();
    server->min_position = database->position; /* a lower one shows that it lost its log */
    server->expected = g_byte_array_new();
    server->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    server->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    server->readable = event_new(worker->base, handle, EV_READ | EV_PERSIST, on_readable, server);
    server->writable = event_new(worker->base, handle, EV_WRITE, on_writable, server);
    server->timer = evtimer_new(worker->base, on_timer, server);
    wire_write_start(&server->out, database->group->shared->service, tenant, database->shared->id);
    server_expect(server, EXPECT_START);
    event_add(server->writable, NULL);
    server_set_timer(server, CONNECT_TIMEOUT_MS);
    g_ptr_array_add(database->servers, server);
    metrics_count(&worker->metrics, METRICS_CONNECTIONS_OPENED);
    metrics_count(&worker->metrics, why);
    return server;
}

void
server_clear_answer(struct server *server)
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
    server_clear_answer(server);
    g_byte_array_unref(server->expected);
    g_hash_table_unref(server->values);
    g_hash_table_unref(server->prepared);
    g_free(server);
}

void
server_count_in_flight(struct server *server, bool begins)
{
    server->database->in_flight += begins ? 1 : -1;
    group_note_in_flight(server->database->group);
}

bool
server_holds_work(const struct server *server)
{
    return server->state == SERVER_RESERVED || server->state == SERVER_RUNNING;
}

void
server_close(struct server *server, enum answer_code reason)
{
    enum server_state previous = server->state;
    struct database *database = server->database;
    struct worker *worker = database->group->worker;
    if (previous == SERVER_CLOSED) {
        return;
    }
    if (server_holds_work(server)) {
        server_count_in_flight(server, false);
    }
    if (server->opened_ahead) {
        metrics_count(&worker->metrics, METRICS_AHEAD_UNUSED);
    }
    server->state = SERVER_CLOSED;
    event_del(server->readable);
    event_del(server->writable);
    event_del(server->timer);
    if (previous == SERVER_RUNNING && socket_has_unacknowledged(server->socket)) {
        socket_reset_on_close(server->socket); /* unsent data must not arrive later */
    }
    close(server->socket);
    g_ptr_array_remove(database->servers, server);
    g_ptr_array_add(worker->closed, server);
    g_ptr_array_add(worker->groups_to_run, database->group);
    if (previous == SERVER_CONNECTING || previous == SERVER_STARTING) {
        database_note_open_failure(database, server->code);
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

void
server_become_idle(struct server *server)
{
    struct database *database = server->database;
    server->idle_since = backend_now();
    server->state = SERVER_IDLE;
    server->in_transaction = false;
    uint32_t max = MAX(database_connections(database), database->group->fallback_connections);
    if (!database->takes_work || database->servers->len > max) {
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
        return; /* a running one is released after its answer */
    }
    if (server_holds_work(server)) {
        server_count_in_flight(server, false);
    }
    if (!server->in_transaction) {
        server_become_idle(server);
        return;
    }
    server->state = SERVER_CLEANING;
    wire_write_rollback(&server->out);
    server_expect(server, EXPECT_ROLLBACK);
    server_set_timer(server, CLEAN_TIMEOUT_MS);
    server_flush(server);
}
