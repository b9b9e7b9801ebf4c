/* Sockets of the pooler: TCP over IPv4, never blocking. No state; any thread. */
#ifndef SW_POOLER_SOCKET_H
#define SW_POOLER_SOCKET_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

/* Listens at an address; `shared` lets other sockets of the process listen there as well. -1 with
 * `error` (SW_ERROR, ERROR_KIND_INTERNAL) if that can't be had. */
int socket_listen(const struct sockaddr_in *address, int backlog, bool shared, GError **error);

/* Takes one connection off a listening socket; -1 if there is none. */
int socket_accept(int listener);

/* Begins to connect. The kernel gives a connection up whose far end is dark for `dark_ms` (0: its
 * own time). -1 if no socket could be had, or the address is refused at once. */
int socket_connect(const struct sockaddr_in *address, unsigned dark_ms);

/* Sets how long the kernel waits for a far end that is dark. */
void socket_set_dark(int handle, unsigned dark_ms);

/** @brief Has the kernel ask, on a connection at rest, whether the far end is still there: it may
 * have gone silent without a reset. Given up after twice the time. */
void socket_keep_alive(int handle, unsigned rest_ms);

/** @brief Lets the connection be reset as it is closed: what it still holds is not sent. */
void socket_reset_on_close(int handle);

/** @return true if bytes that were sent have not been acknowledged by the far end's machine. */
bool socket_has_unacknowledged(int handle);

#endif
