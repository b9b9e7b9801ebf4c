/* Framing over a non-blocking socket: every wait is a poll bounded by the deadline. */
#include "wire/connection.h"

#include "core/error.h"
#include "generated/errors.h"
#include "wire/address.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CONTROL_BIT             UINT32_C(0x80000000)
#define CONTROL_READY           (CONTROL_BIT | UINT32_C(0x10000))
#define CONTROL_CLOSING         (CONTROL_BIT | UINT32_C(0x20000))
#define CONTROL_DEPLOYMENT_HIGH (CONTROL_BIT | UINT32_C(0x30000))
#define CONTROL_DEPLOYMENT_LOW  (CONTROL_BIT | UINT32_C(0x40000))
#define CONTROL_CODE_MASK       UINT32_C(0xffff0000)
#define CONTROL_VALUE_MASK      UINT32_C(0x0000ffff)
#define CONTROL_VALUE_BITS      16

#define HEADER_LENGTH 4

time_ns wire_clock_now(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (time_ns)now.tv_sec * NANOSECONDS_PER_SECOND + (time_ns)now.tv_nsec;
}

int wire_poll_timeout(time_ns deadline)
{
    if (deadline == WIRE_NO_DEADLINE) {
        return -1;
    }
    time_ns now = wire_clock_now();
    if (deadline <= now) {
        return 0;
    }
    time_ns left = deadline - now;
    time_ns left_ms = left / NANOSECONDS_PER_MILLISECOND + 1;
    return left_ms > G_MAXINT ? G_MAXINT : (int)left_ms;
}

static void set_unreachable(GError **error, const char *action, int error_number)
{
    g_set_error(error, SW_ERROR, ERROR_KIND_PEER_UNREACHABLE, "%s: %s", action,
                g_strerror(error_number));
}

/* Waits until the socket is ready for `events` or has failed. */
static bool wait_socket(int socket, short events, time_ns deadline, GError **error)
{
    struct pollfd entry = {.fd = socket, .events = events};
    for (;;) {
        int ready = poll(&entry, 1, wire_poll_timeout(deadline));
        if (ready > 0) {
            return true;
        }
        if (ready < 0 && errno != EINTR) {
            set_unreachable(error, "poll", errno);
            return false;
        }
        if (ready == 0 && wire_clock_now() >= deadline) {
            g_set_error(error, SW_ERROR, ERROR_KIND_DEADLINE, "the deadline has passed");
            return false;
        }
    }
}

static bool send_bytes(struct wire_connection *connection, const uint8_t *data, size_t length,
                       time_ns deadline, GError **error)
{
    size_t offset = 0;
    while (offset < length) {
        ssize_t sent = send(connection->socket, data + offset, length - offset, MSG_NOSIGNAL);
        if (sent > 0) {
            offset += (size_t)sent;
            connection->bytes_sent += (uint64_t)sent;
            continue;
        }
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0 && errno != EAGAIN) {
            set_unreachable(error, "send", errno);
            return false;
        }
        if (!wait_socket(connection->socket, POLLOUT, deadline, error)) {
            return false;
        }
    }
    return true;
}

static bool receive_bytes(struct wire_connection *connection, uint8_t *data, size_t length,
                          time_ns deadline, GError **error)
{
    size_t offset = 0;
    while (offset < length) {
        ssize_t received = recv(connection->socket, data + offset, length - offset, 0);
        if (received > 0) {
            offset += (size_t)received;
            continue;
        }
        if (received == 0) {
            g_set_error(error, SW_ERROR, ERROR_KIND_PEER_UNREACHABLE,
                        "the peer closed the connection");
            return false;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno != EAGAIN) {
            set_unreachable(error, "recv", errno);
            return false;
        }
        if (!wait_socket(connection->socket, POLLIN, deadline, error)) {
            return false;
        }
    }
    return true;
}

static bool send_control(struct wire_connection *connection, uint32_t word, time_ns deadline,
                         GError **error)
{
    uint32_t header = GUINT32_TO_BE(word);
    return send_bytes(connection, (const uint8_t *)&header, sizeof(header), deadline, error);
}

static bool receive_word(struct wire_connection *connection, uint32_t *word, time_ns deadline,
                         GError **error)
{
    uint32_t header = 0;
    if (!receive_bytes(connection, (uint8_t *)&header, sizeof(header), deadline, error)) {
        return false;
    }
    *word = GUINT32_FROM_BE(header);
    return true;
}

/* Receives the first word of a new connection, which must be READY. */
static bool receive_ready(struct wire_connection *connection, time_ns deadline, GError **error)
{
    uint32_t word = 0;
    if (!receive_word(connection, &word, deadline, error)) {
        return false;
    }
    if ((word & CONTROL_CODE_MASK) == CONTROL_CLOSING) {
        g_set_error(error, SW_ERROR, ERROR_KIND_PEER_UNREACHABLE, "the peer accepts no connection");
        return false;
    }
    if (word != (CONTROL_READY | WIRE_PROTOCOL_VERSION)) {
        g_set_error(error, SW_ERROR, ERROR_KIND_PEER_UNREACHABLE,
                    "the peer uses another protocol or protocol version");
        return false;
    }
    return true;
}

static bool connect_socket(int descriptor, const struct sockaddr_in *address, time_ns deadline,
                           GError **error)
{
    if (connect(descriptor, (const struct sockaddr *)address, sizeof(*address)) == 0) {
        return true;
    }
    if (errno != EINPROGRESS && errno != EINTR) {
        set_unreachable(error, "connect", errno);
        return false;
    }
    if (!wait_socket(descriptor, POLLOUT, deadline, error)) {
        return false;
    }
    int outcome = 0;
    socklen_t length = sizeof(outcome);
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &outcome, &length);
    if (outcome != 0) {
        set_unreachable(error, "connect", outcome);
        return false;
    }
    return true;
}

/* Connects and waits for READY, within the deadline and WIRE_CONNECT_NS. */
static bool open_connection(struct wire_connection *connection, const struct sockaddr_in *peer,
                            time_ns deadline, GError **error)
{
    GError *failure = NULL;
    time_ns connect_deadline = MIN(deadline, wire_clock_now() + WIRE_CONNECT_NS);
    if (connect_socket(connection->socket, peer, connect_deadline, &failure) &&
        receive_ready(connection, connect_deadline, &failure)) {
        return true;
    }
    bool in_time = connect_deadline < deadline;
    if (in_time && g_error_matches(failure, SW_ERROR, ERROR_KIND_DEADLINE)) {
        g_clear_error(&failure);
        g_set_error(&failure, SW_ERROR, ERROR_KIND_PEER_UNREACHABLE,
                    "no READY from the peer within the connect time-out");
    }
    g_propagate_error(error, failure);
    return false;
}

struct wire_connection *wire_connect(const char *address, time_ns deadline, GError **error)
{
    struct sockaddr_in peer;
    if (!parse_address(address, &peer)) {
        g_set_error(error, SW_ERROR, ERROR_KIND_PEER_UNREACHABLE,
                    "%s is not an address of the form IP:port", address);
        return NULL;
    }
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        set_unreachable(error, "socket", errno);
        return NULL;
    }
    struct wire_connection *connection = wire_connection_new(descriptor);
    if (!open_connection(connection, &peer, deadline, error)) {
        g_prefix_error(error, "%s: ", address);
        wire_close(connection);
        return NULL;
    }
    return connection;
}

struct wire_connection *wire_connection_new(int socket)
{
    struct wire_connection *connection = g_new0(struct wire_connection, 1);
    int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
    connection->socket = socket;
    return connection;
}

bool wire_send_ready(struct wire_connection *connection, time_ns deadline, GError **error)
{
    return send_control(connection, CONTROL_READY | WIRE_PROTOCOL_VERSION, deadline, error);
}

bool wire_send_closing(struct wire_connection *connection, time_ns deadline, GError **error)
{
    return send_control(connection, CONTROL_CLOSING, deadline, error);
}

bool wire_send_deployment(struct wire_connection *connection, uint32_t deployment, time_ns deadline,
                          GError **error)
{
    uint32_t high = CONTROL_DEPLOYMENT_HIGH | (deployment >> CONTROL_VALUE_BITS);
    uint32_t low = CONTROL_DEPLOYMENT_LOW | (deployment & CONTROL_VALUE_MASK);
    return send_control(connection, high, deadline, error) &&
           send_control(connection, low, deadline, error);
}

GByteArray *wire_frame_new(const struct message *message, GError **error)
{
    if (!message_check(message, error)) {
        return NULL;
    }
    GByteArray *frame = message_encode(message);
    if (frame->len > WIRE_FRAME_MAX) {
        g_set_error(error, SW_ERROR, ERROR_KIND_TOO_LARGE,
                    "message of %u bytes exceeds the limit of %u", frame->len, WIRE_FRAME_MAX);
        g_byte_array_unref(frame);
        return NULL;
    }
    uint32_t header = GUINT32_TO_BE(frame->len);
    return g_byte_array_prepend(frame, (const guint8 *)&header, HEADER_LENGTH);
}

bool wire_send_frame(struct wire_connection *connection, const GByteArray *frame, time_ns deadline,
                     GError **error)
{
    return send_bytes(connection, frame->data, frame->len, deadline, error);
}

bool wire_send(struct wire_connection *connection, const struct message *message, time_ns deadline,
               GError **error)
{
    g_autoptr(GByteArray) frame = wire_frame_new(message, error);
    if (frame == NULL) {
        return false;
    }
    return wire_send_frame(connection, frame, deadline, error);
}

/* Handles a control word; unknown ones are skipped. */
static void handle_control_word(struct wire_connection *connection, uint32_t word)
{
    uint32_t value = word & CONTROL_VALUE_MASK;
    switch (word & CONTROL_CODE_MASK) {
    case CONTROL_CLOSING:
        connection->peer_closing = true;
        break;
    case CONTROL_DEPLOYMENT_HIGH:
        connection->peer_deployment = value << CONTROL_VALUE_BITS;
        break;
    case CONTROL_DEPLOYMENT_LOW:
        connection->peer_deployment |= value;
        break;
    default:
        break;
    }
}

/* Reads words until one is a frame's length. */
static bool receive_length(struct wire_connection *connection, uint32_t *length, time_ns deadline,
                           GError **error)
{
    for (;;) {
        if (!receive_word(connection, length, deadline, error)) {
            return false;
        }
        if ((*length & CONTROL_BIT) == 0) {
            break;
        }
        handle_control_word(connection, *length);
    }
    if (*length > WIRE_FRAME_MAX) {
        g_set_error(error, SW_ERROR, ERROR_KIND_TOO_LARGE,
                    "frame of %u bytes exceeds the limit of %u", *length, WIRE_FRAME_MAX);
        return false;
    }
    return true;
}

bool wire_receive(struct wire_connection *connection, struct message *out, time_ns deadline,
                  GError **error)
{
    message_init(out, MESSAGE_KIND_NONE);
    uint32_t length = 0;
    if (!receive_length(connection, &length, deadline, error)) {
        return false;
    }
    g_autofree uint8_t *body = g_malloc(length);
    if (!receive_bytes(connection, body, length, deadline, error)) {
        return false;
    }
    return message_decode(body, length, out, error);
}

enum wire_wait wire_wait_input(const struct wire_connection *connection, int stop_descriptor,
                               time_ns deadline)
{
    struct pollfd entries[] = {
        {.fd = connection->socket, .events = POLLIN},
        {.fd = stop_descriptor, .events = POLLIN},
    };
    for (;;) {
        int ready = poll(entries, G_N_ELEMENTS(entries), wire_poll_timeout(deadline));
        if (ready < 0 && errno != EINTR) {
            return WIRE_WAIT_FAILED;
        }
        if (ready > 0 && entries[1].revents != 0) {
            return WIRE_WAIT_STOPPED;
        }
        if (ready > 0) {
            return WIRE_WAIT_READABLE;
        }
        if (ready == 0 && wire_clock_now() >= deadline) {
            return WIRE_WAIT_DEADLINE;
        }
    }
}

bool wire_is_idle(const struct wire_connection *connection)
{
    struct pollfd entry = {.fd = connection->socket, .events = POLLIN | POLLRDHUP};
    return poll(&entry, 1, 0) == 0;
}

void wire_close(struct wire_connection *connection)
{
    if (connection == NULL) {
        return;
    }
    close(connection->socket);
    g_free(connection);
}
