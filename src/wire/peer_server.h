/* Serves requests from other daemons: one thread accepts connections, and one thread per connection
 * serves its requests in order. Stopping interrupts no request: see peer_server_stop. */
#ifndef SW_WIRE_PEER_SERVER_H
#define SW_WIRE_PEER_SERVER_H

#include "core/types.h"
#include "generated/messages.h"

#include <glib.h>
#include <stdbool.h>

/* A connection without a request for this long is closed. */
#define PEER_SERVER_IDLE_NS (90 * NANOSECONDS_PER_SECOND)

/* Time-out for receiving a request once its first byte has arrived, and for sending its answer. */
#define PEER_SERVER_TRANSFER_NS (10 * NANOSECONDS_PER_SECOND)

/* After CLOSING was sent, requests that the peer had already sent are served until none arrives for
 * this long. */
#define PEER_SERVER_CLOSING_NS (500 * NANOSECONDS_PER_MILLISECOND)

/* Handles `request` and fills `reply`, which is empty at first and which the server clears. Runs on
 * many threads at once, one per connection, and may block. If `reply` remains MESSAGE_KIND_NONE,
 * the connection is closed without an answer. */
typedef void (*peer_handler)(const struct message *request, struct message *reply, void *user);

struct peer_server_options {
    peer_handler handler;
    /* Handles the requests of a connection whose peer sent another deployment identity
     * (core/deployment.h); the connection is closed after the answer. May be NULL if `deployment`
     * is 0. */
    peer_handler foreign_handler;
    uint32_t deployment; /* this side's identity */
    /* Called on each connection's thread when it starts and ends, e.g. to register it with RCU; may
     * be NULL. */
    void (*thread_started)(void *user);
    void (*thread_ending)(void *user);
    void *user;
    unsigned connections_max; /* further connections are refused before their first request */
};

struct peer_server;

/* Listens at "IP:port" (port 0 takes a free one) and serves. NULL with `error` on failure. */
struct peer_server *peer_server_start(const char *address,
                                      const struct peer_server_options *options, GError **error);

/* The bound address; valid until the server is freed. */
const char *peer_server_address(const struct peer_server *server);

/* Number of connections being served. Any thread. */
unsigned peer_server_connection_count(struct peer_server *server);

/* Refuses new connections from now on, sends CLOSING on the existing ones, completes the requests
 * in progress, and waits until all connections are closed or until `deadline`. Returns the number
 * of connections that are still open then; peer_server_free shuts these down. May be called again
 * to continue waiting; one thread at a time. */
unsigned peer_server_stop(struct peer_server *server, time_ns deadline);

/* Shuts down the connections that are still open, waits for handlers that still run, and frees the
 * server. Stops it first if that was not done. */
void peer_server_free(struct peer_server *server);

#endif
