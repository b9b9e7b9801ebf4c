/* Tests of peer_call's result, with peers that fail at each point of a call: a request that was not
 * sent, and one that was sent without an answer, must never be confused. */
#include "core/error.h"
#include "generated/errors.h"
#include "wire/peer_pool.h"
#include "wire_fixture.h"

#include <pthread.h>

/* Makes one call and checks its result; `code` is checked unless the result is ANSWERED. */
static void expect_call(struct peer_pool *pool, const char *address, time_ns deadline,
                        enum peer_call_result expected, int code)
{
    struct message request;
    struct message reply;
    g_autoptr(GError) error = NULL;
    fixture_request(&request, "r1");
    enum peer_call_result result = peer_call(pool, address, &request, &reply, deadline, &error);
    g_assert_cmpint(result, ==, expected);
    if (expected == PEER_CALL_ANSWERED) {
        g_assert_no_error(error);
        g_assert_cmpstr(reply.reply.request_id, ==, "r1");
        message_clear(&reply);
    } else {
        g_assert_error(error, SW_ERROR, code);
        g_assert_cmpint(reply.kind, ==, MESSAGE_KIND_NONE);
    }
    message_clear(&request);
}

/* Makes one call to a peer that follows one step. */
static void expect_step(enum scripted_step step, enum peer_call_result expected, int code,
                        unsigned requests_read)
{
    const enum scripted_step steps[] = {step, SCRIPTED_END};
    struct scripted_peer *peer = scripted_peer_start(steps);
    struct peer_pool *pool = peer_pool_new(PEER_POOL_IDLE_MAX_DEFAULT);
    time_ns deadline = code == ERROR_KIND_DEADLINE ? fixture_short_deadline() : fixture_deadline();
    expect_call(pool, peer->listener->address, deadline, expected, code);
    if (expected != PEER_CALL_ANSWERED) {
        g_assert_cmpuint(peer_pool_idle_count(pool, peer->listener->address), ==, 0);
    }
    peer_pool_free(pool);
    scripted_peer_wait(peer, 1);
    g_assert_cmpuint(scripted_peer_requests_read(peer), ==, requests_read);
    scripted_peer_free(peer);
}

static void test_not_sent(void)
{
    expect_step(SCRIPTED_REFUSE, PEER_CALL_NOT_SENT, ERROR_KIND_PEER_UNREACHABLE, 0);
    expect_step(SCRIPTED_CLOSE_UNREADY, PEER_CALL_NOT_SENT, ERROR_KIND_PEER_UNREACHABLE, 0);
    expect_step(SCRIPTED_WRONG_VERSION, PEER_CALL_NOT_SENT, ERROR_KIND_PEER_UNREACHABLE, 0);
}

static void test_sent_no_answer(void)
{
    expect_step(SCRIPTED_CLOSE_UNREAD, PEER_CALL_SENT_NO_ANSWER, ERROR_KIND_PEER_UNREACHABLE, 0);
    expect_step(SCRIPTED_CLOSE_AFTER_READ, PEER_CALL_SENT_NO_ANSWER, ERROR_KIND_PEER_UNREACHABLE,
                1);
    expect_step(SCRIPTED_CLOSE_MID_ANSWER, PEER_CALL_SENT_NO_ANSWER, ERROR_KIND_PEER_UNREACHABLE,
                1);
    expect_step(SCRIPTED_INVALID_ANSWER, PEER_CALL_SENT_NO_ANSWER, ERROR_KIND_BAD_REQUEST, 1);
}

static void test_answered(void)
{
    expect_step(SCRIPTED_ANSWER_CLOSE, PEER_CALL_ANSWERED, 0, 1);
    expect_step(SCRIPTED_ANSWER_CLOSING, PEER_CALL_ANSWERED, 0, 1);
}

/* A peer that answers one request and then reads a second one without answering. */
static void *answer_once(void *data)
{
    struct wire_connection *connection = wire_listener_accept(data, -1, NULL);
    struct message message;
    g_assert_true(wire_send_ready(connection, fixture_deadline(), NULL));
    g_assert_true(wire_receive(connection, &message, fixture_deadline(), NULL));
    message_clear(&message);
    fixture_reply(&message, "r1");
    g_assert_true(wire_send(connection, &message, fixture_deadline(), NULL));
    message_clear(&message);
    g_assert_true(wire_receive(connection, &message, fixture_deadline(), NULL));
    message_clear(&message);
    g_assert_false(wire_receive(connection, &message, fixture_deadline(), NULL));
    wire_close(connection);
    return NULL;
}

static void test_no_answer_after_read(void)
{
    struct wire_listener *listener = wire_listener_open("127.0.0.1:0", NULL);
    struct peer_pool *pool = peer_pool_new(PEER_POOL_IDLE_MAX_DEFAULT);
    pthread_t thread;
    g_assert_cmpint(pthread_create(&thread, NULL, answer_once, listener), ==, 0);
    expect_call(pool, listener->address, fixture_deadline(), PEER_CALL_ANSWERED, 0);
    time_ns deadline = wire_clock_now() + NANOSECONDS_PER_SECOND / 2;
    expect_call(pool, listener->address, deadline, PEER_CALL_SENT_NO_ANSWER, ERROR_KIND_DEADLINE);
    g_assert_cmpuint(peer_pool_idle_count(pool, listener->address), ==, 0);
    pthread_join(thread, NULL);
    peer_pool_free(pool);
    wire_listener_close(listener);
}

/* The kernel accepts connections for a paused process, but READY is never sent. */
static void test_paused_peer(void)
{
    struct wire_listener *listener = wire_listener_open("127.0.0.1:0", NULL);
    struct peer_pool *pool = peer_pool_new(PEER_POOL_IDLE_MAX_DEFAULT);
    expect_call(pool, listener->address, fixture_short_deadline(), PEER_CALL_NOT_SENT,
                ERROR_KIND_DEADLINE);
    peer_pool_free(pool);
    wire_listener_close(listener);
}

/* A peer that never sends READY is given up after WIRE_CONNECT_NS, also with a later deadline. */
static void test_no_ready(void)
{
    struct wire_listener *listener = wire_listener_open("127.0.0.1:0", NULL);
    struct peer_pool *pool = peer_pool_new(PEER_POOL_IDLE_MAX_DEFAULT);
    expect_call(pool, listener->address, fixture_deadline(), PEER_CALL_NOT_SENT,
                ERROR_KIND_PEER_UNREACHABLE);
    peer_pool_free(pool);
    wire_listener_close(listener);
}

static void test_no_listener(void)
{
    struct wire_listener *listener = wire_listener_open("127.0.0.1:0", NULL);
    g_autofree char *address = g_strdup(listener->address);
    struct peer_pool *pool = peer_pool_new(PEER_POOL_IDLE_MAX_DEFAULT);
    wire_listener_close(listener);
    expect_call(pool, address, fixture_deadline(), PEER_CALL_NOT_SENT, ERROR_KIND_PEER_UNREACHABLE);
    expect_call(pool, "nowhere", fixture_deadline(), PEER_CALL_NOT_SENT,
                ERROR_KIND_PEER_UNREACHABLE);
    peer_pool_free(pool);
}

static void test_deadline_passed(void)
{
    const enum scripted_step steps[] = {SCRIPTED_ANSWER_CLOSE, SCRIPTED_END};
    struct scripted_peer *peer = scripted_peer_start(steps);
    struct peer_pool *pool = peer_pool_new(PEER_POOL_IDLE_MAX_DEFAULT);
    expect_call(pool, peer->listener->address, wire_clock_now(), PEER_CALL_NOT_SENT,
                ERROR_KIND_DEADLINE);
    g_assert_cmpuint(scripted_peer_requests_read(peer), ==, 0);
    peer_pool_free(pool);
    scripted_peer_free(peer);
}

static void test_bad_request(void)
{
    struct peer_pool *pool = peer_pool_new(PEER_POOL_IDLE_MAX_DEFAULT);
    struct message request;
    struct message reply;
    g_autoptr(GError) error = NULL;
    fixture_request(&request,
                    "an id of more than sixty-four bytes exceeds the schema's limit !!!!");
    enum peer_call_result result =
        peer_call(pool, "127.0.0.1:1", &request, &reply, fixture_deadline(), &error);
    g_assert_cmpint(result, ==, PEER_CALL_NOT_SENT);
    g_assert_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST);
    message_clear(&request);
    peer_pool_free(pool);
}

/* A pooled connection that the peer has closed, or announced to close, is replaced, and each
 * request runs once. */
static void expect_replaced(enum scripted_step first)
{
    const enum scripted_step steps[] = {first, SCRIPTED_ANSWER_CLOSE, SCRIPTED_END};
    struct scripted_peer *peer = scripted_peer_start(steps);
    struct peer_pool *pool = peer_pool_new(PEER_POOL_IDLE_MAX_DEFAULT);
    const char *address = peer->listener->address;
    expect_call(pool, address, fixture_deadline(), PEER_CALL_ANSWERED, 0);
    if (first == SCRIPTED_ANSWER_CLOSE) {
        scripted_peer_wait(peer, 1);
        g_assert_cmpuint(peer_pool_idle_count(pool, address), ==, 1);
    }
    expect_call(pool, address, fixture_deadline(), PEER_CALL_ANSWERED, 0);
    scripted_peer_wait(peer, 2);
    g_assert_cmpuint(scripted_peer_requests_read(peer), ==, 2);
    peer_pool_free(pool);
    scripted_peer_free(peer);
}

static void test_stale(void)
{
    expect_replaced(SCRIPTED_ANSWER_CLOSE);
    expect_replaced(SCRIPTED_ANSWER_CLOSING);
}

/* A request with an unknown outcome is never sent again, also if its connection came from the pool.
 * The listener here accepts one connection only. */
static void *close_after_second_read(void *data)
{
    struct wire_listener *listener = data;
    struct wire_connection *connection = wire_listener_accept(listener, -1, NULL);
    struct message request;
    struct message reply;
    g_assert_true(wire_send_ready(connection, fixture_deadline(), NULL));
    g_assert_true(wire_receive(connection, &request, fixture_deadline(), NULL));
    fixture_reply(&reply, request.request.request_id);
    g_assert_true(wire_send(connection, &reply, fixture_deadline(), NULL));
    message_clear(&reply);
    message_clear(&request);
    g_assert_true(wire_receive(connection, &request, fixture_deadline(), NULL));
    message_clear(&request);
    wire_close(connection);
    return NULL;
}

static void test_pooled_unknown(void)
{
    struct wire_listener *listener = wire_listener_open("127.0.0.1:0", NULL);
    struct peer_pool *pool = peer_pool_new(PEER_POOL_IDLE_MAX_DEFAULT);
    pthread_t thread;
    g_assert_cmpint(pthread_create(&thread, NULL, close_after_second_read, listener), ==, 0);
    expect_call(pool, listener->address, fixture_deadline(), PEER_CALL_ANSWERED, 0);
    expect_call(pool, listener->address, fixture_deadline(), PEER_CALL_SENT_NO_ANSWER,
                ERROR_KIND_PEER_UNREACHABLE);
    g_assert_cmpuint(peer_pool_idle_count(pool, listener->address), ==, 0);
    pthread_join(thread, NULL);
    peer_pool_free(pool);
    wire_listener_close(listener);
}

/* Bytes that no request asked for make a connection unusable, so that no caller receives the answer
 * to another request. */
static void test_unsolicited_bytes(void)
{
    const enum scripted_step steps[] = {SCRIPTED_ANSWER_EXTRA_BYTES, SCRIPTED_ANSWER_CLOSE,
                                        SCRIPTED_END};
    struct scripted_peer *peer = scripted_peer_start(steps);
    struct peer_pool *pool = peer_pool_new(PEER_POOL_IDLE_MAX_DEFAULT);
    const char *address = peer->listener->address;
    expect_call(pool, address, fixture_deadline(), PEER_CALL_ANSWERED, 0);
    while (peer_pool_idle_count(pool, address) > 0) {
        peer_pool_close_idle(pool, 0);
    }
    expect_call(pool, address, fixture_deadline(), PEER_CALL_ANSWERED, 0);
    scripted_peer_wait(peer, 2);
    peer_pool_free(pool);
    scripted_peer_free(peer);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/wire/peer-call/not-sent", test_not_sent);
    g_test_add_func("/wire/peer-call/sent-no-answer", test_sent_no_answer);
    g_test_add_func("/wire/peer-call/answered", test_answered);
    g_test_add_func("/wire/peer-call/no-answer-after-read", test_no_answer_after_read);
    g_test_add_func("/wire/peer-call/paused-peer", test_paused_peer);
    g_test_add_func("/wire/peer-call/no-ready", test_no_ready);
    g_test_add_func("/wire/peer-call/no-listener", test_no_listener);
    g_test_add_func("/wire/peer-call/deadline-passed", test_deadline_passed);
    g_test_add_func("/wire/peer-call/bad-request", test_bad_request);
    g_test_add_func("/wire/peer-call/stale", test_stale);
    g_test_add_func("/wire/peer-call/pooled-unknown", test_pooled_unknown);
    g_test_add_func("/wire/peer-call/unsolicited-bytes", test_unsolicited_bytes);
    return g_test_run();
}
