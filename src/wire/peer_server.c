/* The accept loop and the threads of the connections.
 *
 * `stop_descriptor` is an eventfd that stays readable once the server stops; the connections'
 * threads poll it. The accept thread runs until peer_server_free, to refuse connections with
 * CLOSING: when a listening socket is closed, the kernel may drop a connection that is just being
 * established without notifying its peer. Connections are registered under `mutex`, so that
 * peer_server_free can shut down their sockets. */
#include "wire/peer_server.h"

#include "core/deployment.h"
#include "core/error.h"
#include "generated/errors.h"
#include "wire/connection.h"
#include "wire/listener.h"

#include <poll.h>
#include <pthread.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

/* Delay after a failed accept, for example if no file descriptor is free. */
#define ACCEPT_PAUSE_NS (100 * NANOSECONDS_PER_MILLISECOND)

/* Time-out for sending one control word. */
#define CONTROL_TIMEOUT_NS (1 * NANOSECONDS_PER_SECOND)

struct peer_server {
    struct peer_server_options options;
    struct wire_listener *listener;
    pthread_t accept_thread;
    int stop_descriptor; /* stops the connections' threads */
    int end_descriptor;  /* an eventfd that stops the accept thread */
    pthread_mutex_t mutex;
    bool stopping;           /* no connection is registered any more; under mutex */
    pthread_cond_t finished; /* a connection has ended */
    GHashTable *connections; /* set of struct served_connection; under mutex */
};

/* One accepted connection; owned by its thread. */
struct served_connection {
    struct peer_server *server;
    struct wire_connection *connection;
};

static time_ns deadline_after(time_ns duration)
{
    return wire_clock_now() + duration;
}

static bool is_foreign(const struct peer_server *server, const struct wire_connection *connection)
{
    return deployment_differs(server->options.deployment, connection->peer_deployment);
}

/* Receives, handles and answers one request. False if the connection must be closed. */
static bool serve_request(struct peer_server *server, struct wire_connection *connection)
{
    struct message request;
    g_autoptr(GError) error = NULL;
    time_ns deadline = deadline_after(PEER_SERVER_TRANSFER_NS);
    if (!wire_receive(connection, &request, deadline, &error)) {
        g_debug("wire: request not received: %s", error->message);
        return false;
    }
    struct message reply;
    bool foreign = is_foreign(server, connection);
    message_init(&reply, MESSAGE_KIND_NONE);
    peer_handler handler = foreign ? server->options.foreign_handler : server->options.handler;
    handler(&request, &reply, server->options.user);
    message_clear(&request);
    bool answered = false;
    if (reply.kind != MESSAGE_KIND_NONE) {
        deadline = deadline_after(PEER_SERVER_TRANSFER_NS);
        answered = (!foreign || wire_send_closing(connection, deadline, &error)) &&
                   wire_send(connection, &reply, deadline, &error);
    }
    if (error != NULL) {
        g_info("wire: answer not sent: %s", error->message);
    }
    message_clear(&reply);
    return answered && !foreign;
}

/* Serves requests until the connection fails or is to be closed; true in the latter case. */
static bool serve_until_stop(struct peer_server *server, struct wire_connection *connection)
{
    for (;;) {
        enum wire_wait wait = wire_wait_input(connection, server->stop_descriptor,
                                              deadline_after(PEER_SERVER_IDLE_NS));
        if (wait == WIRE_WAIT_STOPPED || wait == WIRE_WAIT_DEADLINE) {
            return true;
        }
        if (wait == WIRE_WAIT_FAILED || !serve_request(server, connection)) {
            return false;
        }
    }
}

/* Sends CLOSING, then serves the requests that the peer sent before it received CLOSING. */
static void serve_closing(struct peer_server *server, struct wire_connection *connection)
{
    if (!wire_send_closing(connection, deadline_after(CONTROL_TIMEOUT_NS), NULL)) {
        return;
    }
    while (wire_wait_input(connection, -1, deadline_after(PEER_SERVER_CLOSING_NS)) ==
           WIRE_WAIT_READABLE) {
        if (!serve_request(server, connection)) {
            return;
        }
    }
}

/* Unregisters and closes a connection. This happens under the mutex, so that shutdown_connections
 * never shuts down a descriptor that was closed and reused. */
static void finish_connection(struct served_connection *served)
{
    struct peer_server *server = served->server;
    pthread_mutex_lock(&server->mutex);
    g_hash_table_remove(server->connections, served);
    wire_close(served->connection);
    pthread_cond_broadcast(&server->finished);
    pthread_mutex_unlock(&server->mutex);
    g_free(served);
}

static void *connection_thread(void *data)
{
    struct served_connection *served = data;
    struct peer_server *server = served->server;
    pthread_setname_np(pthread_self(), "peer");
    if (server->options.thread_started != NULL) {
        server->options.thread_started(server->options.user);
    }
    bool ready = wire_send_ready(served->connection, deadline_after(CONTROL_TIMEOUT_NS), NULL);
    if (ready && serve_until_stop(server, served->connection)) {
        serve_closing(server, served->connection);
    }
    if (server->options.thread_ending != NULL) {
        server->options.thread_ending(server->options.user);
    }
    finish_connection(served);
    return NULL;
}

/* Refuses a connection before its first request. */
static void refuse_connection(struct wire_connection *connection)
{
    wire_send_closing(connection, deadline_after(CONTROL_TIMEOUT_NS), NULL);
    wire_close(connection);
}

/* Registers a connection; NULL if the server is stopping or has its maximum of connections. */
static struct served_connection *register_connection(struct peer_server *server,
                                                     struct wire_connection *connection)
{
    struct served_connection *served = NULL;
    pthread_mutex_lock(&server->mutex);
    unsigned count = g_hash_table_size(server->connections);
    if (!server->stopping && count < server->options.connections_max) {
        served = g_new0(struct served_connection, 1);
        served->server = server;
        served->connection = connection;
        g_hash_table_add(server->connections, served);
    }
    pthread_mutex_unlock(&server->mutex);
    return served;
}

/* Starts a detached thread; returns an error number. */
static int start_detached(void *(*function)(void *), void *data)
{
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    int failure = pthread_create(&thread, &attributes, function, data);
    pthread_attr_destroy(&attributes);
    return failure;
}

static void start_connection(struct peer_server *server, struct wire_connection *connection)
{
    struct served_connection *served = register_connection(server, connection);
    if (served == NULL) {
        g_info(
            "wire: connection refused: the server is stopping or has its limit of %u connections",
            server->options.connections_max);
        refuse_connection(connection);
        return;
    }
    int failure = start_detached(connection_thread, served);
    if (failure != 0) {
        g_info("wire: connection refused: %s", g_strerror(failure));
        finish_connection(served);
    }
}

/* Waits for ACCEPT_PAUSE_NS, or until the server ends. */
static void pause_accepting(struct peer_server *server)
{
    struct pollfd entry = {.fd = server->end_descriptor, .events = POLLIN};
    poll(&entry, 1, wire_poll_timeout(deadline_after(ACCEPT_PAUSE_NS)));
}

static void *accept_thread(void *data)
{
    struct peer_server *server = data;
    pthread_setname_np(pthread_self(), "peer-accept");
    for (;;) {
        g_autoptr(GError) error = NULL;
        struct wire_connection *connection =
            wire_listener_accept(server->listener, server->end_descriptor, &error);
        if (connection != NULL) {
            start_connection(server, connection);
        } else if (error != NULL) {
            g_info("wire: accept failed: %s", error->message);
            pause_accepting(server);
        } else {
            return NULL;
        }
    }
}

/* Initialises a condition variable whose timed waits use CLOCK_MONOTONIC. */
static void init_condition(pthread_cond_t *condition)
{
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(condition, &attributes);
    pthread_condattr_destroy(&attributes);
}

/* Frees a server whose threads have ended. */
static void destroy_server(struct peer_server *server)
{
    wire_listener_close(server->listener);
    g_hash_table_unref(server->connections);
    close(server->stop_descriptor);
    close(server->end_descriptor);
    pthread_cond_destroy(&server->finished);
    pthread_mutex_destroy(&server->mutex);
    g_free(server);
}

struct peer_server *peer_server_start(const char *address,
                                      const struct peer_server_options *options, GError **error)
{
    struct wire_listener *listener = wire_listener_open(address, error);
    if (listener == NULL) {
        return NULL;
    }
    struct peer_server *server = g_new0(struct peer_server, 1);
    server->options = *options;
    server->listener = listener;
    server->stop_descriptor = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    server->end_descriptor = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    pthread_mutex_init(&server->mutex, NULL);
    init_condition(&server->finished);
    server->connections = g_hash_table_new(NULL, NULL);
    int failure = pthread_create(&server->accept_thread, NULL, accept_thread, server);
    if (failure != 0) {
        g_set_error(error, SW_ERROR, ERROR_KIND_INTERNAL, "can't start the accept thread: %s",
                    g_strerror(failure));
        destroy_server(server);
        return NULL;
    }
    return server;
}

const char *peer_server_address(const struct peer_server *server)
{
    return server->listener->address;
}

unsigned peer_server_connection_count(struct peer_server *server)
{
    pthread_mutex_lock(&server->mutex);
    unsigned count = g_hash_table_size(server->connections);
    pthread_mutex_unlock(&server->mutex);
    return count;
}

/* Waits until no connection is left or until the deadline; returns the number that is left. */
static unsigned wait_connections(struct peer_server *server, time_ns deadline)
{
    struct timespec until = {
        .tv_sec = (time_t)(deadline / NANOSECONDS_PER_SECOND),
        .tv_nsec = (long)(deadline % NANOSECONDS_PER_SECOND),
    };
    int failure = 0;
    pthread_mutex_lock(&server->mutex);
    while (failure == 0 && g_hash_table_size(server->connections) > 0) {
        if (deadline == WIRE_NO_DEADLINE) {
            failure = pthread_cond_wait(&server->finished, &server->mutex);
        } else {
            failure = pthread_cond_timedwait(&server->finished, &server->mutex, &until);
        }
    }
    unsigned left = g_hash_table_size(server->connections);
    pthread_mutex_unlock(&server->mutex);
    return left;
}

unsigned peer_server_stop(struct peer_server *server, time_ns deadline)
{
    pthread_mutex_lock(&server->mutex);
    server->stopping = true;
    pthread_mutex_unlock(&server->mutex);
    eventfd_write(server->stop_descriptor, 1);
    return wait_connections(server, deadline);
}

/* Shuts down the sockets of all connections; their threads then end. */
static void shutdown_connections(struct peer_server *server)
{
    GHashTableIter iterator;
    void *served = NULL;
    pthread_mutex_lock(&server->mutex);
    g_hash_table_iter_init(&iterator, server->connections);
    while (g_hash_table_iter_next(&iterator, &served, NULL)) {
        shutdown(((struct served_connection *)served)->connection->socket, SHUT_RDWR);
    }
    pthread_mutex_unlock(&server->mutex);
}

void peer_server_free(struct peer_server *server)
{
    peer_server_stop(server, 0);
    shutdown_connections(server);
    wait_connections(server, WIRE_NO_DEADLINE);
    eventfd_write(server->end_descriptor, 1);
    pthread_join(server->accept_thread, NULL);
    destroy_server(server);
}
