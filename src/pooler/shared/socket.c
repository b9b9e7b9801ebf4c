/* Sockets of the pooler; see the header. */
#include "pooler/shared/socket.h"

#include "core/error.h"
#include "generated/errors.h"
#include "wire/address.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

static int
new_socket(void)
{
    return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

static bool
set_option(int handle, int level, int option, int value)
{
    return setsockopt(handle, level, option, &value, sizeof value) == 0;
}

int
socket_listen(const struct sockaddr_in *address, int backlog, bool shared, GError **error)
{
    int handle = new_socket();
    bool ok = handle >= 0;
    ok = ok && set_option(handle, SOL_SOCKET, SO_REUSEADDR, 1);
    ok = ok && (!shared || set_option(handle, SOL_SOCKET, SO_REUSEPORT, 1));
    ok = ok && bind(handle, (const struct sockaddr *)address, sizeof *address) == 0;
    ok = ok && listen(handle, backlog) == 0;
    if (ok) {
        return handle;
    }
    g_autofree char *text = format_address(address);
    g_set_error(error, SW_ERROR, ERROR_KIND_INTERNAL, "can't listen at %s: %s", text,
                g_strerror(errno));
    if (handle >= 0) {
        close(handle);
    }
    return -1;
}

int
socket_accept(int listener)
{
    int handle = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (handle >= 0) {
        set_option(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    }
    return handle;
}

void
socket_set_user_timeout(int handle, unsigned user_timeout_ms)
{
    set_option(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, (int)user_timeout_ms);
}

void
socket_keep_alive(int handle, unsigned idle_ms)
{
    int idle_s = (int)MAX(idle_ms / 1000, 1U);
    set_option(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(handle, IPPROTO_TCP, TCP_KEEPIDLE, idle_s);
    set_option(handle, IPPROTO_TCP, TCP_KEEPINTVL, MAX(idle_s / 4, 1));
    set_option(handle, IPPROTO_TCP, TCP_KEEPCNT, 4);
}

void
socket_reset_on_close(int handle)
{
    const struct linger none = {1, 0};
    setsockopt(handle, SOL_SOCKET, SO_LINGER, &none, sizeof none);
}

bool
socket_has_unacknowledged(int handle)
{
    int unacknowledged = 0;
    return ioctl(handle, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0;
}

int
socket_connect(const struct sockaddr_in *address, unsigned user_timeout_ms)
{
    int handle = new_socket();
    if (handle < 0) {
        return -1;
    }
    set_option(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    if (user_timeout_ms != 0) {
        socket_set_user_timeout(handle, user_timeout_ms);
    }
    int result = connect(handle, (const struct sockaddr *)address, sizeof *address);
    if (result != 0 && errno != EINPROGRESS) {
        close(handle);
        return -1;
    }
    return handle;
}
