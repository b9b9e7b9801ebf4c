/* Tests of the peer server: order of requests, limits, and a stop that interrupts no request. */
#include "core/error.h"
#include "generated/errors.h"
#include "wire/peer_pool.h"
#include "wire/peer_server.h"
#include "wire_fixture.h"

#include <pthread.h>
#include <string.h>
#include <sys/socket.h>

#define CALLER_COUNT 8

/* Deployment identity of the server. */
#define OWN_DEPLOYMENT UINT32_C(0xFFFF0007)

/* A server that echoes request ids and can block its handlers at a gate. */
struct echo {
    struct peer_server *server;
    pthread_mutex_t mutex;
    pthread_cond_t changed;
    bool gate_closed; /* under mutex */
    unsigned arrived; /* requests that reached the gate; under mutex */
    unsigned handled; /* under mutex */
    int threads;      /* started minus ended; atomic */
};

static void echo_handler(const struct message *request, struct message *reply, void *user)
{
    struct echo *echo = user;
    if (g_strcmp0(request->request.request_id, "no answer") == 0) {
        return;
    }
    pthread_mutex_lock(&echo->mutex);
    echo->arrived++;
    pthread_cond_broadcast(&echo->changed);
    while (echo->gate_closed) {
        pthread_cond_wait(&echo->changed, &echo->mutex);
    }
    echo->handled++;
    pthread_mutex_unlock(&echo->mutex);
    fixture_reply(reply, request->request.request_id);
}

static void refuse_handler(const struct message *request, struct message *reply, void *user)
{
    (void)request;
    (void)user;
    fixture_reply(reply, "foreign");
}

static void echo_thread_started(void *user)
{
    struct echo *echo = user;
    g_atomic_int_inc(&echo->threads);
}

static void echo_thread_ending(void *user)
{
    struct echo *echo = user;
    g_atomic_int_add(&echo->threads, -1);
}

static void echo_start(struct echo *echo, unsigned connections_max)
{
    struct peer_server_options options = {
        .handler = echo_handler,
        .foreign_handler = refuse_handler,
        .deployment = OWN_DEPLOYMENT,
        .thread_started = echo_thread_started,
        .thread_ending = echo_thread_ending,
        .user = echo,
        .connections_max = connections_max,
    };
    g_autoptr(GError) error = NULL;
    memset(echo, 0, sizeof(*echo));
    pthread_mutex_init(&echo->mutex, NULL);
    pthread_cond_init(&echo->changed, NULL);
    echo->server = peer_server_start("127.0.0.1:0", &options, &error);
    g_assert_no_error(error);
}

static void echo_set_gate(struct echo *echo, bool closed)
{
    pthread_mutex_lock(&echo->mutex);
    echo->gate_closed = closed;
    pthread_cond_broadcast(&echo->changed);
    pthread_mutex_unlock(&echo->mutex);
}

static void echo_await_arrived(struct echo *echo, unsigned count)
{
    pthread_mutex_lock(&echo->mutex);
    while (echo->arrived < count) {
        pthread_cond_wait(&echo->changed, &echo->mutex);
    }
    pthread_mutex_unlock(&echo->mutex);
}

static void echo_free(struct echo *echo)
{
    peer_server_free(echo->server);
    g_assert_cmpint(g_atomic_int_get(&echo->threads), ==, 0);
    pthread_mutex_destroy(&echo->mutex);
    pthread_cond_destroy(&echo->changed);
}

/* A thread that makes one call, or repeats calls until one is not answered. */
struct caller {
    struct peer_pool *pool;
    const char *address;
    unsigned index;
    bool repeat;
    unsigned results[3]; /* by enum peer_call_result */
};

static enum peer_call_result call_once(struct caller *caller, unsigned number)
{
    struct message request;
    struct message reply;
    g_autofree char *request_id = g_strdup_printf("%u-%u", caller->index, number);
    fixture_request(&request, request_id);
    enum peer_call_result result =
        peer_call(caller->pool, caller->address, &request, &reply, fixture_deadline(), NULL);
    caller->results[result]++;
    if (result == PEER_CALL_ANSWERED) {
        g_assert_cmpstr(reply.reply.request_id, ==, request_id);
        message_clear(&reply);
    }
    message_clear(&request);
    return result;
}

static void *caller_thread(void *data)
{
    struct caller *caller = data;
    unsigned number = 0;
    while (call_once(caller, number) == PEER_CALL_ANSWERED && caller->repeat) {
        number++;
    }
    return NULL;
}

struct callers {
    struct caller callers[CALLER_COUNT];
    pthread_t threads[CALLER_COUNT];
};

static void callers_start(struct callers *callers, struct peer_pool *pool, const char *address,
                          bool repeat)
{
    memset(callers, 0, sizeof(*callers));
    for (unsigned i = 0; i < CALLER_COUNT; i++) {
        struct caller *caller = &callers->callers[i];
        *caller = (struct caller){.pool = pool, .address = address, .index = i, .repeat = repeat};
        int failure = pthread_create(&callers->threads[i], NULL, caller_thread, caller);
        g_assert_cmpint(failure, ==, 0);
    }
}

static void callers_join(struct callers *callers)
{
    for (unsigned i = 0; i < CALLER_COUNT; i++) {
        pthread_join(callers->threads[i], NULL);
    }
}

/* Number of all callers' calls with the given result. */
static unsigned callers_count(const struct callers *callers, enum peer_call_result result)
{
    unsigned count = 0;
    for (unsigned i = 0; i < CALLER_COUNT; i++) {
        count += callers->callers[i].results[result];
    }
    return count;
}

/* Requests of one connection are answered in order, also when sent without waiting for answers. */
static void test_order(void)
{
    struct echo echo;
    struct message message;
    echo_start(&echo, 4);
    struct wire_connection *connection =
        wire_connect(peer_server_address(echo.server), fixture_deadline(), NULL);
    for (int i = 0; i < 5; i++) {
        g_autofree char *request_id = g_strdup_printf("r%d", i);
        fixture_request(&message, request_id);
        g_assert_true(wire_send(connection, &message, fixture_deadline(), NULL));
        message_clear(&message);
    }
    for (int i = 0; i < 5; i++) {
        g_autofree char *request_id = g_strdup_printf("r%d", i);
        g_assert_true(wire_receive(connection, &message, fixture_deadline(), NULL));
        g_assert_cmpstr(message.reply.request_id, ==, request_id);
        message_clear(&message);
    }
    wire_close(connection);
    echo_free(&echo);
}

/* Concurrent calls use one connection each; the pool keeps at most idle_max of them. */
static void test_idle_bound(void)
{
    struct echo echo;
    struct callers callers;
    echo_start(&echo, CALLER_COUNT);
    const char *address = peer_server_address(echo.server);
    struct peer_pool *pool = peer_pool_new(3);
    echo_set_gate(&echo, true);
    callers_start(&callers, pool, address, false);
    echo_await_arrived(&echo, CALLER_COUNT);
    g_assert_cmpuint(peer_server_connection_count(echo.server), ==, CALLER_COUNT);
    echo_set_gate(&echo, false);
    callers_join(&callers);
    g_assert_cmpuint(callers_count(&callers, PEER_CALL_ANSWERED), ==, CALLER_COUNT);
    g_assert_cmpuint(peer_pool_idle_count(pool, address), ==, 3);
    peer_pool_close_idle(pool, 0);
    g_assert_cmpuint(peer_pool_idle_count(pool, address), ==, 3);
    peer_pool_close_idle(pool, wire_clock_now() + 1);
    g_assert_cmpuint(peer_pool_idle_count(pool, address), ==, 0);
    peer_pool_free(pool);
    echo_free(&echo);
}

static void test_close_peer(void)
{
    struct echo echo;
    echo_start(&echo, 4);
    const char *address = peer_server_address(echo.server);
    struct peer_pool *pool = peer_pool_new(4);
    struct caller caller = {.pool = pool, .address = address};
    g_assert_cmpint(call_once(&caller, 0), ==, PEER_CALL_ANSWERED);
    g_assert_cmpuint(peer_pool_idle_count(pool, address), ==, 1);
    peer_pool_close_peer(pool, address);
    g_assert_cmpuint(peer_pool_idle_count(pool, address), ==, 0);
    peer_pool_free(pool);
    echo_free(&echo);
}

/* A connection over the server's limit is refused before its request is sent. */
static void test_connection_bound(void)
{
    struct echo echo;
    struct message request;
    struct message reply;
    echo_start(&echo, 1);
    const char *address = peer_server_address(echo.server);
    struct peer_pool *pool = peer_pool_new(4);
    struct wire_connection *first = wire_connect(address, fixture_deadline(), NULL);
    g_assert_nonnull(first);
    fixture_request(&request, "r1");
    g_assert_cmpint(peer_call(pool, address, &request, &reply, fixture_deadline(), NULL), ==,
                    PEER_CALL_NOT_SENT);
    message_clear(&request);
    wire_close(first);
    peer_pool_free(pool);
    echo_free(&echo);
}

/* A handler that gives no answer closes the connection; other connections are still served. */
static void test_no_answer(void)
{
    struct echo echo;
    struct message request;
    struct message reply;
    echo_start(&echo, 4);
    const char *address = peer_server_address(echo.server);
    struct peer_pool *pool = peer_pool_new(4);
    struct caller caller = {.pool = pool, .address = address};
    fixture_request(&request, "no answer");
    g_assert_cmpint(peer_call(pool, address, &request, &reply, fixture_deadline(), NULL), ==,
                    PEER_CALL_SENT_NO_ANSWER);
    message_clear(&request);
    g_assert_cmpint(call_once(&caller, 0), ==, PEER_CALL_ANSWERED);
    peer_pool_free(pool);
    echo_free(&echo);
}

/* Input that is not a message closes its connection and affects no other. */
static void test_invalid_input(void)
{
    struct echo echo;
    struct message reply;
    static const uint8_t invalid_frame[] = {0, 0, 0, 3, 0x82, 0x01, 0xff};
    echo_start(&echo, 4);
    const char *address = peer_server_address(echo.server);
    struct peer_pool *pool = peer_pool_new(4);
    struct caller caller = {.pool = pool, .address = address};
    struct wire_connection *connection = wire_connect(address, fixture_deadline(), NULL);
    send(connection->socket, invalid_frame, sizeof(invalid_frame), MSG_NOSIGNAL);
    g_assert_false(wire_receive(connection, &reply, fixture_deadline(), NULL));
    wire_close(connection);
    g_assert_cmpint(call_once(&caller, 0), ==, PEER_CALL_ANSWERED);
    peer_pool_free(pool);
    echo_free(&echo);
}

/* Stop under load: each call is either answered or was not sent, and every handled request was
 * answered. */
static void test_stop_under_load(void)
{
    struct echo echo;
    struct callers callers;
    echo_start(&echo, CALLER_COUNT * 2);
    struct peer_pool *pool = peer_pool_new(CALLER_COUNT);
    callers_start(&callers, pool, peer_server_address(echo.server), true);
    echo_await_arrived(&echo, 1);
    g_assert_cmpuint(peer_server_stop(echo.server, fixture_deadline()), ==, 0);
    callers_join(&callers);
    g_assert_cmpuint(callers_count(&callers, PEER_CALL_SENT_NO_ANSWER), ==, 0);
    g_assert_cmpuint(callers_count(&callers, PEER_CALL_NOT_SENT), ==, CALLER_COUNT);
    g_assert_cmpuint(callers_count(&callers, PEER_CALL_ANSWERED), ==, echo.handled);
    peer_pool_free(pool);
    echo_free(&echo);
}

/* A stopping server refuses connections with CLOSING, so that the peer need not wait for a
 * time-out. */
static void test_refuse_stopping(void)
{
    struct echo echo;
    g_autoptr(GError) error = NULL;
    echo_start(&echo, 4);
    g_assert_cmpuint(peer_server_stop(echo.server, fixture_deadline()), ==, 0);
    g_assert_null(wire_connect(peer_server_address(echo.server), fixture_deadline(), &error));
    g_assert_error(error, SW_ERROR, ERROR_KIND_PEER_UNREACHABLE);
    g_assert_true(g_str_has_suffix(error->message, ": the peer accepts no connection"));
    echo_free(&echo);
}

/* The request id in the server's answer to a caller of the given deployment. */
static char *answer_to(struct echo *echo, uint32_t deployment, unsigned idle_after)
{
    struct peer_pool *pool = peer_pool_new(1);
    const char *address = peer_server_address(echo->server);
    struct message request;
    struct message reply;
    peer_pool_set_deployment(pool, deployment);
    fixture_request(&request, "own");
    enum peer_call_result result =
        peer_call(pool, address, &request, &reply, fixture_deadline(), NULL);
    g_assert_cmpint(result, ==, PEER_CALL_ANSWERED);
    g_assert_cmpuint(peer_pool_idle_count(pool, address), ==, idle_after);
    char *id = g_strdup(reply.reply.request_id);
    message_clear(&reply);
    message_clear(&request);
    peer_pool_free(pool);
    return id;
}

/* A peer that sends another deployment identity gets the foreign handler's answer, and its
 * connection is closed. A peer that sends none, as older daemons do, is served. */
static void test_other_deployment(void)
{
    struct echo echo;
    echo_start(&echo, 4);
    g_autofree char *own = answer_to(&echo, OWN_DEPLOYMENT, 1);
    g_autofree char *unnamed = answer_to(&echo, 0, 1);
    g_assert_cmpuint(echo.handled, ==, 2);
    g_autofree char *other = answer_to(&echo, OWN_DEPLOYMENT + 1, 0);
    g_autofree char *other_high = answer_to(&echo, OWN_DEPLOYMENT ^ 0x10000, 0);
    g_assert_cmpstr(own, ==, "own");
    g_assert_cmpstr(unnamed, ==, "own");
    g_assert_cmpstr(other, ==, "foreign");
    g_assert_cmpstr(other_high, ==, "foreign");
    g_assert_cmpuint(echo.handled, ==, 2);
    echo_free(&echo);
}

static void *open_gate(void *data)
{
    echo_set_gate(data, false);
    return NULL;
}

/* A stop that reaches its deadline returns the number of open connections, and can be repeated. */
static void test_stop_deadline(void)
{
    struct echo echo;
    struct callers callers;
    echo_start(&echo, CALLER_COUNT);
    struct peer_pool *pool = peer_pool_new(CALLER_COUNT);
    echo_set_gate(&echo, true);
    callers_start(&callers, pool, peer_server_address(echo.server), false);
    echo_await_arrived(&echo, CALLER_COUNT);
    g_assert_cmpuint(peer_server_stop(echo.server, fixture_short_deadline()), ==, CALLER_COUNT);
    pthread_t opener;
    g_assert_cmpint(pthread_create(&opener, NULL, open_gate, &echo), ==, 0);
    g_assert_cmpuint(peer_server_stop(echo.server, fixture_deadline()), ==, 0);
    pthread_join(opener, NULL);
    callers_join(&callers);
    g_assert_cmpuint(callers_count(&callers, PEER_CALL_ANSWERED), ==, CALLER_COUNT);
    peer_pool_free(pool);
    echo_free(&echo);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/wire/peer-server/order", test_order);
    g_test_add_func("/wire/peer-server/idle-bound", test_idle_bound);
    g_test_add_func("/wire/peer-server/close-peer", test_close_peer);
    g_test_add_func("/wire/peer-server/connection-bound", test_connection_bound);
    g_test_add_func("/wire/peer-server/no-answer", test_no_answer);
    g_test_add_func("/wire/peer-server/invalid_frame", test_invalid_input);
    g_test_add_func("/wire/peer-server/stop-under-load", test_stop_under_load);
    g_test_add_func("/wire/peer-server/refuse-stopping", test_refuse_stopping);
    g_test_add_func("/wire/peer-server/other-deployment", test_other_deployment);
    g_test_add_func("/wire/peer-server/stop-deadline", test_stop_deadline);
    return g_test_run();
}
