#include "frontend/acceptor.h"

#include "frontend/listen.h"

#include <errno.h>
#include <linux/filter.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* Interval at which a full acceptor checks for capacity, and the wait after a failed accept, e.g.
 * when file descriptors are exhausted. */
#define PAUSE_MS 10

/* Time that a stop waits for handshakes to complete: a round trip to the caller and a delay in the
 * caller's processing. */
#define PENDING_CONNECTIONS_MS 100

/* Fields of the TCP header. */
#define TCP_FLAGS_OFFSET 13
#define TCP_FLAG_SYN     0x02
#define TCP_FLAG_ACK     0x10

#define BPF_WHOLE_PACKET 0xffffffff

struct acceptor {
    struct acceptor_callbacks callbacks;
    int listener;
    int wake; /* an eventfd, readable once the acceptor must stop */
    uint16_t port;
    atomic_bool stopping;
    pthread_t thread;
};

/* Accepts all connections that are ready. False if accept failed for another reason than that there
 * are no more. */
static bool accept_ready(struct acceptor *acceptor)
{
    const struct acceptor_callbacks *callbacks = &acceptor->callbacks;
    while (atomic_load(&acceptor->stopping) || !callbacks->full(callbacks->user)) {
        union listen_address peer;
        socklen_t length = sizeof(peer);
        int connection =
            accept4(acceptor->listener, &peer.any, &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (connection >= 0) {
            callbacks->take(connection, &peer.any, length, callbacks->user);
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            return true;
        } else if (errno != EINTR && errno != ECONNABORTED) {
            return false;
        }
    }
    return true;
}

/* Waits for the stop and for a connection or, with `pause`, for PAUSE_MS in place of a
 * connection. */
static void wait_for_events(struct acceptor *acceptor, bool pause)
{
    struct pollfd events[] = {
        {.fd = acceptor->wake, .events = POLLIN},
        {.fd = pause ? -1 : acceptor->listener, .events = POLLIN},
    };
    poll(events, G_N_ELEMENTS(events), pause ? PAUSE_MS : -1);
}

/* Makes the kernel drop the SYN packets of new connections. A caller repeats the SYN and is then
 * refused, as the listener is closed by that time. Closing the listener at once would reset
 * connections established in the meantime. Packets that complete a handshake pass, because the
 * caller may already consider the connection established and have sent its request. */
static void stop_listening(int listener)
{
    struct sock_filter drop_syn[] = {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TCP_FLAG_SYN | TCP_FLAG_ACK),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TCP_FLAG_SYN, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, BPF_WHOLE_PACKET),
    };
    struct sock_fprog program = {.len = G_N_ELEMENTS(drop_syn), .filter = drop_syn};
    setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

/* Accepts the connections whose handshake began before stop_listening, as they complete. */
static void accept_pending(struct acceptor *acceptor)
{
    struct pollfd listener = {.fd = acceptor->listener, .events = POLLIN};
    accept_ready(acceptor);
    /* The time is counted from here, so that passing on the connections above does not shorten the
     * wait for the last ones. */
    gint64 until_us = g_get_monotonic_time() + PENDING_CONNECTIONS_MS * 1000;
    for (gint64 left_us = until_us - g_get_monotonic_time(); left_us > 0;
         left_us = until_us - g_get_monotonic_time()) {
        if (poll(&listener, 1, (int)(left_us / 1000) + 1) > 0 && !accept_ready(acceptor)) {
            return;
        }
    }
}

static void *run(void *data)
{
    struct acceptor *acceptor = data;
    pthread_setname_np(pthread_self(), "acceptor");
    while (!atomic_load(&acceptor->stopping)) {
        bool full = acceptor->callbacks.full(acceptor->callbacks.user);
        wait_for_events(acceptor, full);
        if (!full && !accept_ready(acceptor)) {
            wait_for_events(acceptor, true);
        }
    }
    stop_listening(acceptor->listener);
    accept_pending(acceptor);
    return NULL;
}

/* Opens a listening socket. Returns a negative number and sets errno on failure. */
static int open_listener(union listen_address *address)
{
    socklen_t length =
        address->any.sa_family == AF_INET6 ? sizeof(address->v6) : sizeof(address->v4);
    int listener = socket(address->any.sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (listener < 0) {
        return -1;
    }
    int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(listener, &address->any, length) != 0 || listen(listener, SOMAXCONN) != 0 ||
        getsockname(listener, &address->any, &length) != 0) {
        int cause = errno;
        close(listener);
        errno = cause;
        return -1;
    }
    return listener;
}

struct acceptor *acceptor_start(const char *address, uint16_t port,
                                const struct acceptor_callbacks *callbacks, GError **error)
{
    union listen_address bound;
    if (!listen_address_parse(address, port, &bound, error)) {
        return NULL;
    }
    int listener = open_listener(&bound);
    if (listener < 0) {
        listen_set_error(address, port, error);
        return NULL;
    }
    struct acceptor *acceptor = g_new0(struct acceptor, 1);
    acceptor->callbacks = *callbacks;
    acceptor->listener = listener;
    acceptor->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    acceptor->port = listen_address_port(&bound);
    atomic_init(&acceptor->stopping, false);
    errno = acceptor->wake < 0 ? errno : pthread_create(&acceptor->thread, NULL, run, acceptor);
    if (errno != 0) {
        listen_set_error(address, port, error);
        close(listener);
        close(acceptor->wake);
        g_free(acceptor);
        return NULL;
    }
    return acceptor;
}

uint16_t acceptor_port(const struct acceptor *acceptor)
{
    return acceptor->port;
}

void acceptor_stop(struct acceptor *acceptor)
{
    if (acceptor == NULL) {
        return;
    }
    atomic_store(&acceptor->stopping, true);
    eventfd_write(acceptor->wake, 1);
    pthread_join(acceptor->thread, NULL);
    close(acceptor->listener);
    close(acceptor->wake);
    g_free(acceptor);
}
