/* Sockets of the pooler: non-blocking TCP over IPv4. No state; any thread. */
#ifndef SW_POOLER_SOCKET_H
#define SW_POOLER_SOCKET_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

/* Listens at an address. `shared` sets SO_REUSEPORT, so that several sockets of the process may
 * listen there. -1 with `error` (SW_ERROR, ERROR_KIND_INTERNAL) on failure. */
int socket_listen(const struct sockaddr_in *address, int backlog, bool shared, GError **error);

/* Accepts one connection; -1 if none is pending. */
int socket_accept(int listener);

/* Starts to connect, with socket_set_user_timeout() unless `user_timeout_ms` is 0. -1 if no socket
 * could be created or the address was refused at once. */
int socket_connect(const struct sockaddr_in *address, unsigned user_timeout_ms);

/* Sets TCP_USER_TIMEOUT: the kernel closes the connection after sent bytes were not acknowledged
 * for this time. */
void socket_set_user_timeout(int handle, unsigned user_timeout_ms);

/** @brief Enables TCP keep-alive probes on a connection that is idle for `idle_ms`: its peer may
 * have become unreachable without a reset. The kernel closes the connection after twice that time.
 */
void socket_keep_alive(int handle, unsigned idle_ms);

/** @brief Makes close() reset the connection, so that bytes that are still in the send queue are
 * not sent. */
void socket_reset_on_close(int handle);

/** @return true if the send queue holds bytes that the peer's host has not acknowledged. */
bool socket_has_unacknowledged(int handle);

#endif
