/* The stop of a listening socket while TCP handshakes are in progress. */
#include "frontend/acceptor.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/filter.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <unistd.h>

/* Longer than the kernel's retransmission interval of the handshake. */
#define POLL_TIMEOUT_MS 30000

#define TAKEN_MAX 4

/* An acceptor that accepts no connection before its stop. */
struct fixture {
    struct acceptor *acceptor;
    atomic_bool stopping;
    int filtered; /* a caller's socket that drops all packets until the first accept; or -1 */
    int taken[TAKEN_MAX];
    unsigned taken_count; /* used by the acceptor's thread only, until the thread has ended */
};

/* Makes the socket drop all received packets, or receive them again. */
static void set_filtered(int connection, bool filtered)
{
    struct sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
    struct sock_fprog program = {.len = 1, .filter = &drop_all};
    int none = 0;
    int result =
        filtered ? setsockopt(connection, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program))
                 : setsockopt(connection, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof(none));
    g_assert_cmpint(result, ==, 0);
}

static bool is_ready(int connection, short events)
{
    struct pollfd entry = {.fd = connection, .events = events};
    return poll(&entry, 1, POLL_TIMEOUT_MS) == 1;
}

/* The first connection is accepted after the listener has stopped accepting new handshakes. Only
 * then does the filtered socket receive packets and complete its handshake. */
static void take(int connection, const struct sockaddr *peer, socklen_t length, void *user)
{
    struct fixture *fixture = user;
    g_assert_cmpuint(fixture->taken_count, <, TAKEN_MAX);
    fixture->taken[fixture->taken_count++] = connection;
    if (fixture->filtered >= 0) {
        int unfiltered = fixture->filtered;
        fixture->filtered = -1;
        set_filtered(unfiltered, false);
        g_assert_true(is_ready(unfiltered, POLLOUT));
    }
}

static bool is_full(void *user)
{
    const struct fixture *fixture = user;
    return !atomic_load(&fixture->stopping);
}

static void start(struct fixture *fixture)
{
    const struct acceptor_callbacks callbacks = {take, is_full, fixture};
    g_autoptr(GError) error = NULL;
    fixture->filtered = -1;
    fixture->taken_count = 0;
    atomic_init(&fixture->stopping, false);
    fixture->acceptor = acceptor_start("127.0.0.1", 0, &callbacks, &error);
    g_assert_no_error(error);
}

static void stop(struct fixture *fixture)
{
    atomic_store(&fixture->stopping, true);
    acceptor_stop(fixture->acceptor);
}

/* Begins to connect. A filtered socket does not receive the listener's answer. */
static int begin_connect(const struct fixture *fixture, bool filtered)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(acceptor_port(fixture->acceptor)),
                                  .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
    int connection = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (filtered) {
        set_filtered(connection, true);
    }
    int result = connect(connection, (const struct sockaddr *)&address, sizeof(address));
    g_assert_true(result == 0 || errno == EINPROGRESS);
    return connection;
}

static void close_all(struct fixture *fixture)
{
    for (unsigned i = 0; i < fixture->taken_count; i++) {
        close(fixture->taken[i]);
    }
}

/* For the caller the connection is established when it receives the listener's SYN-ACK. The request
 * that it then sends must not reach a closed port. */
static void test_handshake_in_progress(void)
{
    struct fixture fixture = {.filtered = -1};
    char byte = 'q';
    start(&fixture);
    int established = begin_connect(&fixture, false);
    g_assert_true(is_ready(established, POLLOUT));
    fixture.filtered = begin_connect(&fixture, true);
    int connecting = fixture.filtered;
    stop(&fixture);
    g_assert_cmpuint(fixture.taken_count, ==, 2);
    g_assert_cmpint(send(connecting, &byte, 1, MSG_NOSIGNAL), ==, 1);
    byte = 0;
    g_assert_true(is_ready(fixture.taken[1], POLLIN));
    g_assert_cmpint(recv(fixture.taken[1], &byte, 1, 0), ==, 1);
    g_assert_true(byte == 'q');
    close_all(&fixture);
    close(established);
    close(connecting);
}

/* After the stop the port is closed. */
static void test_no_connection_after_stop(void)
{
    struct fixture fixture = {.filtered = -1};
    start(&fixture);
    uint16_t port = acceptor_port(fixture.acceptor);
    stop(&fixture);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port),
                                  .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
    int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(connect(connection, (const struct sockaddr *)&address, sizeof(address)), ==,
                    -1);
    g_assert_cmpint(errno, ==, ECONNREFUSED);
    g_assert_cmpuint(fixture.taken_count, ==, 0);
    close(connection);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/frontend/acceptor/handshake_in_progress", test_handshake_in_progress);
    g_test_add_func("/frontend/acceptor/no_connection_after_stop", test_no_connection_after_stop);
    return g_test_run();
}
