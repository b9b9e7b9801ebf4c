/* A listening socket with a thread that accepts connections and hands them on. libmicrohttpd 0.9.75
 * has a listener of its own, but can't be told to stop listening safely: MHD_quiesce_daemon races
 * its worker threads over the epoll sets and aborts the process when it loses. */
#ifndef SW_FRONTEND_ACCEPTOR_H
#define SW_FRONTEND_ACCEPTOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

struct acceptor;

/* What is done with connections; both on the acceptor's thread. */
struct acceptor_callbacks {
    /* Takes over a connected, non-blocking socket. */
    void (*take)(int connection, const struct sockaddr *peer, socklen_t length, void *user);

    /* True while no more can be taken: connections wait in the system's queue. */
    bool (*full)(void *user);
    void *user;
};

/* Listens at an IP number; port 0 is any free one. NULL with ERROR_KIND_INVALID_CONFIGURATION where
 * it can't. */
struct acceptor *acceptor_start(const char *address, uint16_t port,
                                const struct acceptor_callbacks *callbacks, GError **error);

/* The port bound. */
uint16_t acceptor_port(const struct acceptor *acceptor);

/* Takes the connections that the system has made already or is making, which would be reset
 * otherwise, then closes the listener, ends the thread and frees the acceptor. Takes 100 ms. */
void acceptor_stop(struct acceptor *acceptor);

#endif
