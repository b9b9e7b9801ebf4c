/* The stop of a listening socket while connections are in the making. */
#include "frontend/acceptor.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/filter.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <unistd.h>

/* Longer than the system waits before it repeats a packet of a connection in the making. */
#define PATIENCE_MS 30000

#define TAKEN_MAX 4

/* An acceptor that takes nothing before its stop. */
struct rig {
    struct acceptor *acceptor;
    atomic_bool stopping;
    int deaf; /* a caller's socket that hears nothing until the first connection is taken; or -1 */
    int taken[TAKEN_MAX];
    unsigned taken_count; /* of the acceptor's thread, until it has ended */
};

/* The socket drops what comes, or takes it again. */
static void set_deaf(int connection, bool deaf)
{
    struct sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
    struct sock_fprog program = {.len = 1, .filter = &drop_all};
    int none = 0;
    int result =
        deaf ? setsockopt(connection, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program))
             : setsockopt(connection, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof(none));
    g_assert_cmpint(result, ==, 0);
}

static bool is_ready(int connection, short events)
{
    struct pollfd entry = {.fd = connection, .events = events};
    return poll(&entry, 1, PATIENCE_MS) == 1;
}

/* The first is taken after the listener was told to let no more begin. */
static void take(int connection, const struct sockaddr *peer, socklen_t length, void *user)
{
    struct rig *rig = user;
    g_assert_cmpuint(rig->taken_count, <, TAKEN_MAX);
    rig->taken[rig->taken_count++] = connection;
    if (rig->deaf >= 0) {
        int hearing = rig->deaf;
        rig->deaf = -1;
        set_deaf(hearing, false);
        g_assert_true(is_ready(hearing, POLLOUT));
    }
}

static bool is_full(void *user)
{
    const struct rig *rig = user;
    return !atomic_load(&rig->stopping);
}

static void start(struct rig *rig)
{
    const struct acceptor_callbacks callbacks = {take, is_full, rig};
    g_autoptr(GError) error = NULL;
    rig->deaf = -1;
    rig->taken_count = 0;
    atomic_init(&rig->stopping, false);
    rig->acceptor = acceptor_start("127.0.0.1", 0, &callbacks, &error);
    g_assert_no_error(error);
}

static void stop(struct rig *rig)
{
    atomic_store(&rig->stopping, true);
    acceptor_stop(rig->acceptor);
}

/* Begins to connect; a deaf socket does not hear the answer. */
static int begin_connect(const struct rig *rig, bool deaf)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(acceptor_port(rig->acceptor)),
                                  .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
    int connection = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (deaf) {
        set_deaf(connection, true);
    }
    int result = connect(connection, (const struct sockaddr *)&address, sizeof(address));
    g_assert_true(result == 0 || errno == EINPROGRESS);
    return connection;
}

static void close_all(struct rig *rig)
{
    for (unsigned i = 0; i < rig->taken_count; i++) {
        close(rig->taken[i]);
    }
}

/* The caller takes the connection for made when it hears the listener's answer; its request, on the
 * way with its own, must not meet a closed port. */
static void test_connection_in_the_making(void)
{
    struct rig rig = {.deaf = -1};
    char byte = 'q';
    start(&rig);
    int made = begin_connect(&rig, false);
    g_assert_true(is_ready(made, POLLOUT));
    rig.deaf = begin_connect(&rig, true);
    int in_the_making = rig.deaf;
    stop(&rig);
    g_assert_cmpuint(rig.taken_count, ==, 2);
    g_assert_cmpint(send(in_the_making, &byte, 1, MSG_NOSIGNAL), ==, 1);
    byte = 0;
    g_assert_true(is_ready(rig.taken[1], POLLIN));
    g_assert_cmpint(recv(rig.taken[1], &byte, 1, 0), ==, 1);
    g_assert_true(byte == 'q');
    close_all(&rig);
    close(made);
    close(in_the_making);
}

/* After the stop nobody listens. */
static void test_no_connection_after_the_stop(void)
{
    struct rig rig = {.deaf = -1};
    start(&rig);
    uint16_t port = acceptor_port(rig.acceptor);
    stop(&rig);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port),
                                  .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
    int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(connect(connection, (const struct sockaddr *)&address, sizeof(address)), ==,
                    -1);
    g_assert_cmpint(errno, ==, ECONNREFUSED);
    g_assert_cmpuint(rig.taken_count, ==, 0);
    close(connection);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/frontend/acceptor/connection_in_the_making", test_connection_in_the_making);
    g_test_add_func("/frontend/acceptor/no_connection_after_the_stop",
                    test_no_connection_after_the_stop);
    return g_test_run();
}
