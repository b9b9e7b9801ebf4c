#include "frontend/acceptor.h"

#include "frontend/listen.h"

#include <errno.h>
#include <linux/filter.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* How often a full acceptor looks again, and a wait after accept failed, e.g. for want of file
 * descriptors. */
#define PAUSE_MS 10

struct acceptor {
    struct acceptor_callbacks callbacks;
    int listener;
    int wake; /* an eventfd: readable once the acceptor must stop */
    uint16_t port;
    atomic_bool stopping;
    pthread_t thread;
};

/* Accepts what the system has ready; false where accept failed for another reason. */
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

/* Waits for connections, or, where none may be taken, for a pause; and for the stop. */
static void wait_for_events(struct acceptor *acceptor, bool pause)
{
    struct pollfd events[] = {
        {.fd = acceptor->wake, .events = POLLIN},
        {.fd = pause ? -1 : acceptor->listener, .events = POLLIN},
    };
    poll(events, G_N_ELEMENTS(events), pause ? PAUSE_MS : -1);
}

/* From now on the system drops what would make another connection: a caller that tries is told,
 * when it tries again, that nobody listens. Closing at once would reset connections made in
 * between. */
static void stop_listening(int listener)
{
    struct sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
    struct sock_fprog program = {.len = 1, .filter = &drop_all};
    setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
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
    accept_ready(acceptor);
    return NULL;
}

/* Opens a listening socket; negative with errno. */
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
