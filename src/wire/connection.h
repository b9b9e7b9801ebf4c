/* Framed messages over one TCP connection, with a deadline on every call.
 *
 * A frame is a length, 32 bits big endian, and that many bytes of one encoded message. A length
 * with its top bit set is a control word without a body: READY, with the protocol's version, which
 * an accepting side sends first; and CLOSING, after which it will close soon and accepts no further
 * request. A connection is usable once READY was received, so a peer that is paused, at its
 * connection limit or stopping is detected before any request has been sent.
 *
 * A connecting side that has a deployment identity (core/deployment.h) sends it before its first
 * request, in the two control words DEPLOYMENT_HIGH and DEPLOYMENT_LOW with 16 bits each. Unknown
 * control words are skipped, so older daemons accept these two as well.
 *
 * Deadlines are monotonic (wire_clock_now). Failures raise SW_ERROR: ERROR_KIND_PEER_UNREACHABLE
 * for a broken or closed connection, ERROR_KIND_DEADLINE, ERROR_KIND_TOO_LARGE, and
 * ERROR_KIND_BAD_REQUEST for a message that can't be encoded or decoded. After a failure a
 * connection may only be closed. */
#ifndef SW_WIRE_CONNECTION_H
#define SW_WIRE_CONNECTION_H

#include "core/types.h"
#include "generated/messages.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Maximum size of one encoded message, in bytes. */
#define WIRE_FRAME_MAX (8u * 1024 * 1024)

/* Peers with different versions refuse each other's connections. */
#define WIRE_PROTOCOL_VERSION 1u

#define WIRE_NO_DEADLINE UINT64_MAX

/* Connect time-out: a peer that has not sent READY within it counts as unreachable, even if the
 * deadline is later. It may be paused, or its kernel may have dropped the connection without a
 * reset. */
#define WIRE_CONNECT_NS (1 * NANOSECONDS_PER_SECOND)

/* One end of a connection. Owned and used by one thread at a time. */
struct wire_connection {
    int socket;               /* non-blocking; owned */
    uint64_t bytes_sent;      /* bytes that the kernel accepted, control words included */
    bool peer_closing;        /* CLOSING was received: no */
    uint32_t peer_deployment; /* identity sent by the connecting side; 0: none */
};

enum wire_wait {
    WIRE_WAIT_READABLE,
    WIRE_WAIT_STOPPED, /* the stop descriptor is readable; takes precedence over READABLE */
    WIRE_WAIT_DEADLINE,
    WIRE_WAIT_FAILED,
};

/* Monotonic time in nanoseconds. */
time_ns wire_clock_now(void);

/* Connects to "IP:port" and waits for READY, for WIRE_CONNECT_NS at most. Returns NULL with `error`
 * on failure; no request has been sent then. The caller closes the result. */
struct wire_connection *wire_connect(const char *address, time_ns deadline, GError **error);

/* Takes ownership of an accepted socket; READY is not sent yet. */
struct wire_connection *wire_connection_new(int socket);

/* Sends READY: the accepting side will serve this connection. */
bool wire_send_ready(struct wire_connection *connection, time_ns deadline, GError **error);

/* Sends CLOSING: the accepting side accepts no further request. */
bool wire_send_closing(struct wire_connection *connection, time_ns deadline, GError **error);

/* Sends the identity of this side's deployment (core/deployment.h); called once, by the connecting
 * side. */
bool wire_send_deployment(struct wire_connection *connection, uint32_t deployment, time_ns deadline,
                          GError **error);

/* Encodes a message into a frame that the caller owns; NULL with `error` if it exceeds
 * WIRE_FRAME_MAX or a limit of the schema, so that its receiver would reject it. */
GByteArray *wire_frame_new(const struct message *message, GError **error);

/* Sends a frame. On failure bytes_sent shows whether any byte left this process. */
bool wire_send_frame(struct wire_connection *connection, const GByteArray *frame, time_ns deadline,
                     GError **error);

/* Encodes and sends a message. */
bool wire_send(struct wire_connection *connection, const struct message *message, time_ns deadline,
               GError **error);

/* Receives the next message; control words are handled and skipped. `out` is overwritten; the
 * caller clears it on success, and on failure it is empty. */
bool wire_receive(struct wire_connection *connection, struct message *out, time_ns deadline,
                  GError **error);

/* Waits for input or end of file on the connection (both READABLE), or for the stop descriptor; -1
 * for none. */
enum wire_wait wire_wait_input(const struct wire_connection *connection, int stop_descriptor,
                               time_ns deadline);

/* True if there is no input to read, not even the end of file. Never blocks. */
bool wire_is_idle(const struct wire_connection *connection);

/* Closes and frees; NULL is allowed. */
void wire_close(struct wire_connection *connection);

/* Poll timeout in milliseconds until a deadline, rounded up; -1 for WIRE_NO_DEADLINE. */
int wire_poll_timeout(time_ns deadline);

#endif
