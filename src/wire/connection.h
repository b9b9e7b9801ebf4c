/* Framed messages over one TCP connection, with a deadline on every call.
 *
 * A frame is a length, 32 bits big endian, and that many octets of one encoded message. A length
 * with its top bit set is a control word without a body: READY, with the protocol's version, which
 * an accepting side sends first; and CLOSING, after which it will close soon and wants no further
 * request. A connection is usable once READY came, so a peer that is paused, full or stopping is
 * known to be so before any request has left this process.
 *
 * A connecting side that has a deployment's identity says it before its first request, by the two
 * control words DEPLOYMENT_HIGH and DEPLOYMENT_LOW with 16 bits each. Unknown control words are
 * skipped, as by daemons from before there were these.
 *
 * Deadlines are monotonic (wire_clock_now). Failures raise SW_ERROR: ERROR_KIND_PEER_UNREACHABLE
 * for a broken or closed connection, ERROR_KIND_DEADLINE, ERROR_KIND_TOO_LARGE and
 * ERROR_KIND_BAD_REQUEST for what can't be encoded or decoded. After a failure a connection is only
 * good for wire_close. */
#ifndef SW_WIRE_CONNECTION_H
#define SW_WIRE_CONNECTION_H

#include "core/types.h"
#include "generated/messages.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Octets of one encoded message, at most. */
#define WIRE_FRAME_MAX (8u * 1024 * 1024)

/* Peers of another version don't talk to each other. */
#define WIRE_PROTOCOL_VERSION 1u

#define WIRE_NO_DEADLINE UINT64_MAX

/* A peer that has not sent READY by then counts as unreachable, also if the deadline is later: it
 * may be paused, or its kernel may have dropped the connection without a word. */
#define WIRE_CONNECT_NS (1 * NANOSECONDS_PER_SECOND)

/* One end of a connection. Owned and used by one thread at a time. */
struct wire_connection {
    int socket;               /* non-blocking; owned */
    uint64_t octets_sent;     /* octets that the kernel took, control words included */
    bool peer_closing;        /* CLOSING came: no further request may be sent */
    uint32_t peer_deployment; /* identity that the connecting side said; 0: none */
};

enum wire_wait {
    WIRE_WAIT_READABLE,
    WIRE_WAIT_STOPPED, /* the stop descriptor is readable; goes before READABLE */
    WIRE_WAIT_DEADLINE,
    WIRE_WAIT_FAILED,
};

/* Monotonic time in nanoseconds. */
time_ns wire_clock_now(void);

/* Connects to "IP:port" and waits for READY, for WIRE_CONNECT_NS at most. Returns NULL with `error`
 * on failure; no request has left then. The caller closes the result. */
struct wire_connection *wire_connect(const char *address, time_ns deadline, GError **error);

/* Takes over an accepted socket; READY is not sent yet. */
struct wire_connection *wire_connection_new(int socket);

/* Sends READY: the accepting side will serve this connection. */
bool wire_send_ready(struct wire_connection *connection, time_ns deadline, GError **error);

/* Sends CLOSING: the accepting side wants no further request. */
bool wire_send_closing(struct wire_connection *connection, time_ns deadline, GError **error);

/* Says the identity of this side's deployment (core/deployment.h); the connecting side, once. */
bool wire_send_deployment(struct wire_connection *connection, uint32_t deployment, time_ns deadline,
                          GError **error);

/* Encodes a message into a whole frame that the caller owns; NULL with `error` if it is over
 * WIRE_FRAME_MAX or breaks a bound of the schema, so that its receiver would refuse it. */
GByteArray *wire_frame_new(const struct message *message, GError **error);

/* Sends a frame. On failure octets_sent tells whether any octet left this process. */
bool wire_send_frame(struct wire_connection *connection, const GByteArray *frame, time_ns deadline,
                     GError **error);

/* Encodes and sends a message. */
bool wire_send(struct wire_connection *connection, const struct message *message, time_ns deadline,
               GError **error);

/* Receives the next message; control words are noted and skipped. `out` is overwritten; the caller
 * clears it on success, and on failure it is empty. */
bool wire_receive(struct wire_connection *connection, struct message *out, time_ns deadline,
                  GError **error);

/* Waits for input, the end of the connection (also READABLE) or the stop descriptor; -1 for none.
 */
enum wire_wait wire_wait_input(const struct wire_connection *connection, int stop_descriptor,
                               time_ns deadline);

/* True if nothing has come in, not even the connection's end. Never blocks. */
bool wire_is_quiet(const struct wire_connection *connection);

/* Closes and frees; NULL is allowed. */
void wire_close(struct wire_connection *connection);

/* Poll timeout in milliseconds until a deadline, rounded up; -1 for WIRE_NO_DEADLINE. */
int wire_poll_timeout(time_ns deadline);

#endif
