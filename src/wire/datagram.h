/* One encoded message per UDP datagram. Datagrams may be lost, duplicated or reordered, and
 * receivers must tolerate that. A socket may be used by several threads. Failures raise SW_ERROR.
 */
#ifndef SW_WIRE_DATAGRAM_H
#define SW_WIRE_DATAGRAM_H

#include "core/types.h"
#include "generated/messages.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

/* Maximum size of one datagram in bytes, so that it usually fits the path MTU unfragmented. */
#define WIRE_DATAGRAM_MAX 1400

/* Binds a UDP socket at "IP:port"; port 0 takes a free one. `bound` (may be NULL) receives the
 * address. Returns a descriptor that the caller closes, or -1 with `error`. */
int wire_datagram_open(const char *address, struct sockaddr_in *bound, GError **error);

/* Sends one message; never waits. `size` (may be NULL) receives the length of the datagram in
 * bytes, without the UDP and IP headers. Codes: ERROR_KIND_TOO_LARGE over WIRE_DATAGRAM_MAX,
 * ERROR_KIND_BAD_REQUEST over a limit of the schema, ERROR_KIND_PEER_UNREACHABLE if the kernel
 * refuses it. */
bool wire_datagram_send(int socket, const struct sockaddr_in *to, const struct message *message,
                        size_t *size, GError **error);

/* Waits for one datagram. `out` is overwritten; the caller clears it on success. `from` receives
 * the sender's address, `size` (may be NULL) the length of the datagram in bytes, even if it can't
 * be decoded; 0 if there is none. Codes: ERROR_KIND_DEADLINE; ERROR_KIND_BAD_REQUEST for a datagram
 * that can't be decoded (the caller ignores it and receives the next); ERROR_KIND_PEER_UNREACHABLE
 * if the socket fails. */
bool wire_datagram_receive(int socket, struct message *out, struct sockaddr_in *from, size_t *size,
                           time_ns deadline, GError **error);

#endif
