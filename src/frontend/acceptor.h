/* A listening socket with a thread that accepts connections and passes them to a callback. The
 * listener of libmicrohttpd 0.9.75 is not used because it can't be stopped safely:
 * MHD_quiesce_daemon races with the worker threads over the epoll sets, and a lost race aborts the
 * process. */
#ifndef SW_FRONTEND_ACCEPTOR_H
#define SW_FRONTEND_ACCEPTOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

struct acceptor;

/* Called on the acceptor's thread. */
struct acceptor_callbacks {
    /* Takes ownership of a connected, non-blocking socket. */
    void (*take)(int connection, const struct sockaddr *peer, socklen_t length, void *user);

    /* True while no more connections can be accepted; new ones wait in the listen backlog. */
    bool (*full)(void *user);
    void *user;
};

/* Listens at a numeric IP address; port 0 selects a free port. Returns NULL and sets
 * ERROR_KIND_INVALID_CONFIGURATION if it can't listen. */
struct acceptor *acceptor_start(const char *address, uint16_t port,
                                const struct acceptor_callbacks *callbacks, GError **error);

/* Returns the bound port. */
uint16_t acceptor_port(const struct acceptor *acceptor);

/* Accepts the connections that are already established or in the handshake, which closing the
 * listener would reset. Then closes the listener, ends the thread and frees the acceptor. Takes
 * 100 ms. */
void acceptor_stop(struct acceptor *acceptor);

#endif
