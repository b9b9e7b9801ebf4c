/* Accepts TCP connections; the wait can be ended through a descriptor. */
#ifndef SW_WIRE_LISTENER_H
#define SW_WIRE_LISTENER_H

#include "wire/connection.h"

#include <glib.h>

/* A listening socket. Immutable once open, so several threads may accept from it. */
struct wire_listener {
    int socket;
    char *address; /* "IP:port" with the port that was bound */
};

/* Binds and listens at "IP:port"; port 0 takes a free one. Returns NULL with `error` (SW_ERROR,
 * ERROR_KIND_PEER_UNREACHABLE) on failure. The caller closes the result. */
struct wire_listener *wire_listener_open(const char *address, GError **error);

/* Waits for a connection. The caller owns the result and sends READY or CLOSING on it first. NULL
 * without `error` means that `stop_descriptor` (an eventfd; -1 for none) became readable. */
struct wire_connection *wire_listener_accept(struct wire_listener *listener, int stop_descriptor,
                                             GError **error);

/* Closes and frees; NULL is allowed. No thread may be accepting. */
void wire_listener_close(struct wire_listener *listener);

#endif
