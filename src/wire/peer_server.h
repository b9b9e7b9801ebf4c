/* Serves messages from other daemons: one thread accepts, one thread serves each connection, its
 * requests in order. Stopping cuts no request: see peer_server_stop. */
#ifndef SW_WIRE_PEER_SERVER_H
#define SW_WIRE_PEER_SERVER_H

#include "core/types.h"
#include "generated/messages.h"

#include <glib.h>
#include <stdbool.h>

/* A connection that brings no request for this long is closed. */
#define PEER_SERVER_IDLE_NS (90 * NANOSECONDS_PER_SECOND)

/* A request whose first octet came must be whole, and an answer taken, within this. */
#define PEER_SERVER_TRANSFER_NS (10 * NANOSECONDS_PER_SECOND)

/* After CLOSING was sent, requests that were already under way are still served until the
 * connection has been quiet for this long. */
#define PEER_SERVER_CLOSING_NS (500 * NANOSECONDS_PER_MILLISECOND)

/* Fills `reply`, which it gets empty and the server clears. Runs on many threads at once, one a
 * connection, and may block. A reply left of no kind closes the connection without an answer. */
typedef void (*peer_handler)(const struct message *request, struct message *reply, void *user);

struct peer_server_options {
    peer_handler handler;
    /* Requests of a connection that said another deployment (core/deployment.h) go here instead;
     * the connection is closed after the answer. May be NULL where `deployment` is 0. */
    peer_handler foreign_handler;
    uint32_t deployment; /* identity of this side's */
    /* Called on each connection's thread as it starts and ends, e.g. to register it with RCU; may
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

/* The address that was bound; valid until the server is freed. */
const char *peer_server_address(const struct peer_server *server);

/* Connections being served now. Any thread. */
unsigned peer_server_connection_count(struct peer_server *server);

/* Refuses new connections from now on, tells the peers that the others close, serves what is under
 * way, and waits for all of it until `deadline`. Returns the number of connections left unfinished
 * then; peer_server_free cuts these. May be called again to wait on; one thread. */
unsigned peer_server_stop(struct peer_server *server, time_ns deadline);

/* Cuts what peer_server_stop has left, waits for handlers that still run, and frees. Stops the
 * server first if that was not done. */
void peer_server_free(struct peer_server *server);

#endif
