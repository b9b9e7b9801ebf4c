/* Messages over UDP. */
#include "wire/datagram.h"

#include "core/error.h"
#include "generated/errors.h"
#include "wire/address.h"
#include "wire/connection.h"

#include <errno.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

static void set_error(GError **error, const char *action, int error_number)
{
    g_set_error(error, SW_ERROR, ERROR_KIND_PEER_UNREACHABLE, "%s: %s", action,
                g_strerror(error_number));
}

int wire_datagram_open(const char *address, struct sockaddr_in *bound, GError **error)
{
    struct sockaddr_in local;
    if (!parse_address(address, &local)) {
        g_set_error(error, SW_ERROR, ERROR_KIND_PEER_UNREACHABLE,
                    "%s is not an address of the form IP:port", address);
        return -1;
    }
    int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        set_error(error, "socket", errno);
        return -1;
    }
    socklen_t length = sizeof(local);
    if (bind(descriptor, (struct sockaddr *)&local, length) < 0) {
        set_error(error, "bind", errno);
        g_prefix_error(error, "%s: ", address);
        close(descriptor);
        return -1;
    }
    if (bound != NULL) {
        getsockname(descriptor, (struct sockaddr *)bound, &length);
    }
    return descriptor;
}

bool wire_datagram_send(int socket, const struct sockaddr_in *to, const struct message *message,
                        size_t *size, GError **error)
{
    if (!message_check(message, error)) {
        return false;
    }
    g_autoptr(GByteArray) data = message_encode(message);
    if (data->len > WIRE_DATAGRAM_MAX) {
        g_set_error(error, SW_ERROR, ERROR_KIND_TOO_LARGE,
                    "datagram of %u bytes exceeds the limit of %d", data->len, WIRE_DATAGRAM_MAX);
        return false;
    }
    ssize_t sent = 0;
    do {
        sent = sendto(socket, data->data, data->len, MSG_NOSIGNAL, (const struct sockaddr *)to,
                      sizeof(*to));
    } while (sent < 0 && errno == EINTR);
    if (sent < 0) {
        set_error(error, "sendto", errno);
        return false;
    }
    if (size != NULL) {
        *size = data->len;
    }
    return true;
}

/* Receives one datagram into `buffer`, waiting for it. Returns its length or -1. */
static ssize_t receive_datagram(int socket, uint8_t *buffer, size_t size, struct sockaddr_in *from,
                                time_ns deadline, GError **error)
{
    struct pollfd entry = {.fd = socket, .events = POLLIN};
    for (;;) {
        socklen_t from_length = sizeof(*from);
        ssize_t received =
            recvfrom(socket, buffer, size, MSG_TRUNC, (struct sockaddr *)from, &from_length);
        if (received >= 0) {
            return received;
        }
        /* ECONNREFUSED reports that an earlier datagram from this socket was refused; it does not
         * concern this call. */
        if (errno == EINTR || errno == ECONNREFUSED) {
            continue;
        }
        if (errno != EAGAIN) {
            set_error(error, "recvfrom", errno);
            return -1;
        }
        if (poll(&entry, 1, wire_poll_timeout(deadline)) == 0 && wire_clock_now() >= deadline) {
            g_set_error(error, SW_ERROR, ERROR_KIND_DEADLINE, "the deadline has passed");
            return -1;
        }
    }
}

bool wire_datagram_receive(int socket, struct message *out, struct sockaddr_in *from, size_t *size,
                           time_ns deadline, GError **error)
{
    message_init(out, MESSAGE_KIND_NONE);
    uint8_t buffer[WIRE_DATAGRAM_MAX];
    ssize_t length = receive_datagram(socket, buffer, sizeof(buffer), from, deadline, error);
    if (size != NULL) {
        *size = (size_t)MAX(length, 0);
    }
    if (length < 0) {
        return false;
    }
    if (length > WIRE_DATAGRAM_MAX) {
        g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST,
                    "datagram of %zd bytes exceeds the limit of %d", length, WIRE_DATAGRAM_MAX);
        return false;
    }
    return message_decode(buffer, (size_t)length, out, error);
}
