/* A listening socket whose accept can be stopped. */
#include "wire/listener.h"

#include "core/error.h"
#include "generated/errors.h"
#include "wire/address.h"

#include <errno.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

static void set_error(GError **error, const char *action, int error_number)
{
    g_set_error(error, SW_ERROR, ERROR_KIND_PEER_UNREACHABLE, "%s: %s", action,
                g_strerror(error_number));
}

static bool bind_and_listen(int descriptor, struct sockaddr_in *address, GError **error)
{
    int enabled = 1;
    socklen_t length = sizeof(*address);
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (bind(descriptor, (struct sockaddr *)address, length) < 0) {
        set_error(error, "bind", errno);
        return false;
    }
    if (listen(descriptor, SOMAXCONN) < 0) {
        set_error(error, "listen", errno);
        return false;
    }
    getsockname(descriptor, (struct sockaddr *)address, &length);
    return true;
}

struct wire_listener *wire_listener_open(const char *address, GError **error)
{
    struct sockaddr_in local;
    if (!parse_address(address, &local)) {
        g_set_error(error, SW_ERROR, ERROR_KIND_PEER_UNREACHABLE,
                    "%s is not an address of the form IP:port", address);
        return NULL;
    }
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        set_error(error, "socket", errno);
        return NULL;
    }
    if (!bind_and_listen(descriptor, &local, error)) {
        g_prefix_error(error, "%s: ", address);
        close(descriptor);
        return NULL;
    }
    struct wire_listener *listener = g_new0(struct wire_listener, 1);
    listener->socket = descriptor;
    listener->address = format_address(&local);
    return listener;
}

/* True for errors of accept that concern a single connection or are transient. */
static bool is_transient(int error_number)
{
    return error_number == EAGAIN || error_number == EINTR || error_number == ECONNABORTED ||
           error_number == EPROTO;
}

struct wire_connection *wire_listener_accept(struct wire_listener *listener, int stop_descriptor,
                                             GError **error)
{
    struct pollfd entries[] = {
        {.fd = listener->socket, .events = POLLIN},
        {.fd = stop_descriptor, .events = POLLIN},
    };
    for (;;) {
        if (poll(entries, G_N_ELEMENTS(entries), -1) < 0) {
            if (errno == EINTR) {
                continue;
            }
            set_error(error, "poll", errno);
            return NULL;
        }
        if (entries[1].revents != 0) {
            return NULL;
        }
        int accepted = accept4(listener->socket, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted >= 0) {
            return wire_connection_new(accepted);
        }
        if (!is_transient(errno)) {
            set_error(error, "accept", errno);
            return NULL;
        }
    }
}

void wire_listener_close(struct wire_listener *listener)
{
    if (listener == NULL) {
        return;
    }
    close(listener->socket);
    g_free(listener->address);
    g_free(listener);
}
