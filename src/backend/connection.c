#include "backend/connection.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "backend/clock.h"
#include "core/error.h"
#include "generated/errors.h"

#define PORT_TEXT_SIZE 8
#define DROPPED_SIZE   65536

void connection_settings_copy(struct connection_settings *to,
                              const struct connection_settings *from)
{
    to->host = g_strdup(from->host);
    to->port = from->port;
    to->database_name = g_strdup(from->database_name);
    to->user = g_strdup(from->user);
    to->password = g_strdup(from->password);
    to->application_name = g_strdup(from->application_name);
    to->idle_transaction_ms = from->idle_transaction_ms;
}

void connection_settings_clear(struct connection_settings *settings)
{
    g_free((char *)settings->host);
    g_free((char *)settings->database_name);
    g_free((char *)settings->user);
    g_free((char *)settings->password);
    g_free((char *)settings->application_name);
    memset(settings, 0, sizeof *settings);
}

/* Returns the session parameters for the startup message. The caller frees the text. */
static char *session_options(const struct connection_settings *settings)
{
    uint32_t idle_ms = settings->idle_transaction_ms > 0 ? settings->idle_transaction_ms
                                                         : CONNECTION_IDLE_TRANSACTION_MS;
    return g_strdup_printf("-c idle_in_transaction_session_timeout=%u", (unsigned)idle_ms);
}

struct backend_connection *backend_connection_start(const struct connection_settings *settings)
{
    struct backend_connection *connection = g_new0(struct backend_connection, 1);
    char port[PORT_TEXT_SIZE];
    g_autofree char *options = session_options(settings);
    g_snprintf(port, sizeof port, "%u", (unsigned)settings->port);
    const char *const keywords[] = {
        "hostaddr", "port",       "dbname",          "user",    "password", "application_name",
        "sslmode",  "gssencmode", "client_encoding", "options", NULL};
    const char *const values[] = {settings->host,
                                  port,
                                  settings->database_name,
                                  settings->user,
                                  settings->password != NULL ? settings->password : "",
                                  settings->application_name,
                                  "disable",
                                  "disable",
                                  "UTF8",
                                  options,
                                  NULL};
    connection->state = CONNECTION_STATE_OPENING;
    connection->number = -1;
    connection->pg = PQconnectStartParams(keywords, values, 0);
    if (connection->pg == NULL || PQstatus(connection->pg) == CONNECTION_BAD) {
        connection->state = CONNECTION_STATE_BROKEN;
    }
    return connection;
}

/* Completes opening: from here on the connection is in non-blocking pipeline mode. */
static void finish_opening(struct backend_connection *connection)
{
    bool ready = PQsetnonblocking(connection->pg, 1) == 0;
    ready = ready && PQenterPipelineMode(connection->pg) == 1;
    connection->state = ready ? CONNECTION_STATE_IDLE : CONNECTION_STATE_BROKEN;
}

short backend_connection_continue(struct backend_connection *connection)
{
    if (connection->state != CONNECTION_STATE_OPENING) {
        return 0;
    }
    switch (PQconnectPoll(connection->pg)) {
    case PGRES_POLLING_READING:
        return POLLIN;
    case PGRES_POLLING_WRITING:
        return POLLOUT;
    case PGRES_POLLING_OK:
        finish_opening(connection);
        return 0;
    default:
        connection->state = CONNECTION_STATE_BROKEN;
        return 0;
    }
}

bool backend_connection_await_open(struct backend_connection *connection, time_ns deadline,
                                   GError **error)
{
    short events = POLLOUT;
    while (connection->state == CONNECTION_STATE_OPENING) {
        if (backend_connection_wait(connection, events, deadline) == 0) {
            break;
        }
        events = backend_connection_continue(connection);
    }
    if (connection->state == CONNECTION_STATE_IDLE) {
        return true;
    }
    g_autofree char *text = backend_connection_error(connection);
    const char *cause = connection->state == CONNECTION_STATE_OPENING ? "timed out" : text;
    g_set_error(error, SW_ERROR, ERROR_KIND_OVERLOADED, "connection not opened: %s", cause);
    backend_connection_break(connection);
    return false;
}

struct backend_connection *backend_connection_open(const struct connection_settings *settings,
                                                   time_ns deadline, GError **error)
{
    struct backend_connection *connection = backend_connection_start(settings);
    if (!backend_connection_await_open(connection, deadline, error)) {
        backend_connection_close(connection);
        return NULL;
    }
    return connection;
}

void backend_connection_close(struct backend_connection *connection)
{
    if (connection == NULL) {
        return;
    }
    PQfinish(connection->pg);
    g_free(connection);
}

int backend_connection_close_watched(struct backend_connection *connection)
{
    int socket_fd = connection->pg != NULL ? PQsocket(connection->pg) : -1;
    int copy = socket_fd >= 0 ? fcntl(socket_fd, F_DUPFD_CLOEXEC, 0) : -1;
    backend_connection_close(connection);
    if (copy >= 0 && shutdown(copy, SHUT_WR) != 0) {
        /* The socket was not connected yet, and never will be: there is no end to watch. */
        close(copy);
        return -1;
    }
    return copy;
}

bool backend_connection_has_ended(int socket_fd)
{
    char dropped[DROPPED_SIZE];
    ssize_t received = recv(socket_fd, dropped, sizeof dropped, MSG_DONTWAIT);
    if (received >= 0) {
        return received == 0;
    }
    return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

bool backend_connection_close_is_acked(int socket_fd)
{
    struct tcp_info info;
    socklen_t length = sizeof info;
    if (getsockopt(socket_fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
        return false;
    }
    return info.tcpi_state == TCP_FIN_WAIT2;
}

void backend_connection_break(struct backend_connection *connection)
{
    connection->state = CONNECTION_STATE_BROKEN;
}

bool backend_connection_is_clean(const struct backend_connection *connection)
{
    if (connection->state == CONNECTION_STATE_BROKEN ||
        connection->state == CONNECTION_STATE_OPENING) {
        return false;
    }
    if (connection->unread_answers > 0 || PQstatus(connection->pg) != CONNECTION_OK) {
        return false;
    }
    return PQtransactionStatus(connection->pg) == PQTRANS_IDLE &&
           PQpipelineStatus(connection->pg) == PQ_PIPELINE_ON;
}

/* True if there is input or end of file, without consuming it. */
static bool has_input(const struct backend_connection *connection)
{
    char byte;
    ssize_t received = recv(PQsocket(connection->pg), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool backend_connection_is_healthy(const struct backend_connection *connection)
{
    return backend_connection_is_clean(connection) && !has_input(connection);
}

bool backend_connection_was_terminated(struct backend_connection *connection)
{
    bool ended = connection->state == CONNECTION_STATE_BROKEN;
    while (!ended && has_input(connection)) {
        ended = PQconsumeInput(connection->pg) != 1;
    }
    if (ended) {
        backend_connection_break(connection);
    }
    return ended;
}

short backend_connection_wait(const struct backend_connection *connection, short events,
                              time_ns deadline)
{
    for (;;) {
        struct pollfd poll_fd = {.fd = PQsocket(connection->pg), .events = events};
        int ready = poll(&poll_fd, 1, backend_poll_ms(deadline, backend_now()));
        if (ready > 0) {
            return poll_fd.revents;
        }
        if (ready == 0 || errno != EINTR) {
            return 0;
        }
    }
}

char *backend_connection_error(const struct backend_connection *connection)
{
    const char *text = connection->pg != NULL ? PQerrorMessage(connection->pg) : "out of memory";
    return g_strchomp(g_strdup(text));
}
