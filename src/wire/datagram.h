/* One encoded message a UDP datagram. Datagrams may be lost, doubled or out of order; receivers
 * must bear all of it. A socket may be used by several threads. Failures raise SW_ERROR. */
#ifndef SW_WIRE_DATAGRAM_H
#define SW_WIRE_DATAGRAM_H

#include "core/types.h"
#include "generated/messages.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

/* Octets of one datagram, at most, so that it fits the usual path unfragmented. */
#define WIRE_DATAGRAM_MAX 1400

/* Binds a UDP socket at "IP:port"; port 0 takes a free one. `bound` (may be NULL) receives the
 * address. Returns a descriptor that the caller closes, or -1 with `error`. */
int wire_datagram_open(const char *address, struct sockaddr_in *bound, GError **error);

/* Sends one message; never waits. `octets` (may be NULL) receives the length of the datagram,
 * without the headers of UDP and IP. Codes: ERROR_KIND_TOO_LARGE over WIRE_DATAGRAM_MAX,
 * ERROR_KIND_BAD_REQUEST over a bound of the schema, ERROR_KIND_PEER_UNREACHABLE if the kernel
 * refuses it. */
bool wire_datagram_send(int socket, const struct sockaddr_in *to, const struct message *message,
                        size_t *octets, GError **error);

/* Waits for one datagram. `out` is overwritten; the caller clears it on success. `from` receives
 * the sender's address, `octets` (may be NULL) the length of the datagram, also of one that does
 * not decode; 0 if there is none. Codes: ERROR_KIND_DEADLINE; ERROR_KIND_BAD_REQUEST for a datagram
 * that does not decode (drop it and go on); ERROR_KIND_PEER_UNREACHABLE if the socket fails. */
bool wire_datagram_receive(int socket, struct message *out, struct sockaddr_in *from,
                           size_t *octets, time_ns deadline, GError **error);

#endif
