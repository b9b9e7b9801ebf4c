/* Listener, sessions and the connection limit. See server.h. */
#include "server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "admin.h"
#include "core/error.h"
#include "session.h"

#define LISTEN_BACKLOG 256

/* How long a new connection waits at the limit for sessions whose client has disconnected to end,
 * before it is rejected. */
#define HANG_UP_GRACE_US 100000
#define GRACE_SLICE_US   1000

#define ACCEPT_POLL_MS 50

static void *run_session(void *data)
{
    struct session *session = data;
    struct server *server = session->server;
    session_run(session);
    pthread_mutex_lock(&server->lock);
    g_hash_table_remove(server->sessions, session);
    /* Released under the same lock as the connection count, so that no client sees a free lock with
     * the connection still counted, or the reverse. */
    advisory_release_all(&server->advisory_locks, session);
    if (session->counted) {
        server->connections--;
    }
    close(session->interrupt.socket);
    session_free(session);
    pthread_cond_broadcast(&server->session_ended);
    pthread_mutex_unlock(&server->lock);
    return NULL;
}

static void start_session(struct server *server, int socket)
{
    int enable = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
    struct session *session = session_new(server, socket);
    pthread_mutex_lock(&server->lock);
    session->process = ++server->next_process;
    g_hash_table_add(server->sessions, session);
    pthread_mutex_unlock(&server->lock);
    pthread_t thread;
    if (pthread_create(&thread, NULL, run_session, session) != 0) {
        g_error("database: can't start a session's thread.");
    }
    pthread_detach(thread);
}

static void *run_acceptor(void *data)
{
    struct server *server = data;
    while (!atomic_load(&server->stopping)) {
        struct pollfd watch = {.fd = server->listener, .events = POLLIN};
        if (poll(&watch, 1, ACCEPT_POLL_MS) <= 0) {
            continue;
        }
        int socket = accept4(server->listener, NULL, NULL, SOCK_CLOEXEC);
        if (socket >= 0) {
            start_session(server, socket);
        }
    }
    return NULL;
}

/* True if the client of a counted session has disconnected. The caller holds the lock. */
static bool has_hung_up_session(struct server *server)
{
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, server->sessions);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const struct session *session = key;
        if (session->counted && interrupt_hung_up(&session->interrupt)) {
            return true;
        }
    }
    return false;
}

bool server_admit(struct server *server, struct session *session)
{
    int64_t deadline = g_get_monotonic_time() + HANG_UP_GRACE_US;
    pthread_mutex_lock(&server->lock);
    while (server->connections >= server->options.connections && has_hung_up_session(server) &&
           g_get_monotonic_time() < deadline) {
        pthread_mutex_unlock(&server->lock);
        g_usleep(GRACE_SLICE_US);
        pthread_mutex_lock(&server->lock);
    }
    bool admitted = server->connections < server->options.connections;
    if (admitted) {
        session->counted = true;
        server->connections++;
        server->counters.peak_connections =
            MAX(server->counters.peak_connections, server->connections);
    } else {
        server->counters.over_connection_limit++;
    }
    pthread_mutex_unlock(&server->lock);
    return admitted;
}

void server_cancel(struct server *server, guint32 process, guint32 secret)
{
    GHashTableIter iterator;
    gpointer key;
    pthread_mutex_lock(&server->lock);
    g_hash_table_iter_init(&iterator, server->sessions);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        struct session *session = key;
        if (session->process == process && session->secret == secret) {
            atomic_store(&session->interrupt.cancelled, true);
        }
    }
    pthread_mutex_unlock(&server->lock);
}

bool server_parse_address(const char *text, struct sockaddr_in *address)
{
    g_auto(GStrv) parts = g_strsplit(text, ":", 2);
    guint64 port = 0;
    memset(address, 0, sizeof *address);
    address->sin_family = AF_INET;
    bool valid = parts[0] != NULL && parts[1] != NULL &&
                 inet_pton(AF_INET, parts[0], &address->sin_addr) == 1 &&
                 g_ascii_string_to_unsigned(parts[1], 10, 0, G_MAXUINT16, &port, NULL);
    address->sin_port = htons((guint16)port);
    return valid;
}

static bool open_listener(struct server *server, GError **error)
{
    struct sockaddr_in address;
    socklen_t length = sizeof address;
    int enable = 1;
    if (!server_parse_address(server->options.listen, &address)) {
        g_set_error(error, SW_ERROR, 0, "%s is not HOST:PORT", server->options.listen);
        return false;
    }
    server->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(server->listener, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
    bool listening = bind(server->listener, (struct sockaddr *)&address, sizeof address) == 0 &&
                     listen(server->listener, LISTEN_BACKLOG) == 0 &&
                     getsockname(server->listener, (struct sockaddr *)&address, &length) == 0;
    if (!listening) {
        g_set_error(error, SW_ERROR, 0, "%s: %s", server->options.listen, g_strerror(errno));
        close(server->listener);
        return false;
    }
    server->port = ntohs(address.sin_port);
    return true;
}

static void copy_options(struct server *server, const struct server_options *options)
{
    server->options = *options;
    server->options.listen = g_strdup(options->listen);
    server->options.admin = g_strdup(options->admin);
    server->options.name = g_strdup(options->name);
    server->options.zone = g_strdup(options->zone);
    server->options.primary = g_strdup(options->primary);
}

static void free_server(struct server *server)
{
    g_free((char *)server->options.listen);
    g_free((char *)server->options.admin);
    g_free((char *)server->options.name);
    g_free((char *)server->options.zone);
    g_free((char *)server->options.primary);
    g_free(server);
}

struct server *server_start(const struct server_options *options, GError **error)
{
    struct server *server = g_new0(struct server, 1);
    copy_options(server, options);
    if (!open_listener(server, error)) {
        free_server(server);
        return NULL;
    }
    pthread_mutex_init(&server->lock, NULL);
    pthread_cond_init(&server->session_ended, NULL);
    server->sessions = g_hash_table_new(NULL, NULL);
    advisory_init(&server->advisory_locks);
    faults_init(&server->faults);
    slots_init(&server->slots, options->slots, options->service_time_us);
    server->database = database_new(options->name, options->role, options->primary);
    server->database->replication_lag_ms = options->replication_lag_ms;
    server->replication = replication_start(server->database, &server->faults, options->zone);
    pthread_create(&server->acceptor, NULL, run_acceptor, server);
    if (options->admin != NULL) {
        server->admin = admin_start(server, error);
    }
    if (options->admin != NULL && server->admin == NULL) {
        server_stop(server);
        return NULL;
    }
    return server;
}

guint16 server_port(const struct server *server)
{
    return server->port;
}

guint16 server_admin_port(const struct server *server)
{
    return server->admin != NULL ? admin_port(server->admin) : 0;
}

struct server_counters server_counters(struct server *server)
{
    pthread_mutex_lock(&server->lock);
    struct server_counters counters = server->counters;
    pthread_mutex_unlock(&server->lock);
    return counters;
}

static void end_sessions(struct server *server)
{
    GHashTableIter iterator;
    gpointer key;
    pthread_mutex_lock(&server->lock);
    g_hash_table_iter_init(&iterator, server->sessions);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        struct session *session = key;
        atomic_store(&session->interrupt.stopping, true);
        shutdown(session->interrupt.socket, SHUT_RDWR);
    }
    while (g_hash_table_size(server->sessions) > 0) {
        pthread_cond_wait(&server->session_ended, &server->lock);
    }
    pthread_mutex_unlock(&server->lock);
}

void server_stop(struct server *server)
{
    admin_stop(server->admin);
    atomic_store(&server->stopping, true);
    pthread_join(server->acceptor, NULL);
    close(server->listener);
    database_stop(server->database);
    end_sessions(server);
    replication_join(server->replication);
    database_free(server->database);
    faults_clear(&server->faults);
    slots_clear(&server->slots);
    advisory_clear(&server->advisory_locks);
    g_hash_table_unref(server->sessions);
    pthread_cond_destroy(&server->session_ended);
    pthread_mutex_destroy(&server->lock);
    free_server(server);
}
