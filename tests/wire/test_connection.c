/* Tests of addresses as text and of framed messages over a connection. */
#include "core/error.h"
#include "generated/errors.h"
#include "wire/address.h"
#include "wire_fixture.h"

#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct pair {
    struct wire_connection *left;
    struct wire_connection *right;
};

static struct pair pair_new(void)
{
    int sockets[2];
    int failed = socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, sockets);
    g_assert_cmpint(failed, ==, 0);
    return (struct pair){wire_connection_new(sockets[0]), wire_connection_new(sockets[1])};
}

static void pair_close(struct pair *pair)
{
    wire_close(pair->left);
    wire_close(pair->right);
}

static void test_address(void)
{
    static const char *const bad[] = {"",
                                      ":",
                                      "127.0.0.1",
                                      "127.0.0.1:",
                                      "127.0.0.1:65536",
                                      "127.0.0.1:-1",
                                      "127.0.0.1:80 ",
                                      " 127.0.0.1:80",
                                      "127.0.0:80",
                                      "localhost:80",
                                      "[::1]:80",
                                      "127.0.0.1:80:80",
                                      "127.0.0.1:0x50"};
    struct sockaddr_in address;
    g_assert_true(parse_address("127.0.0.1:80", &address));
    g_autofree char *text = format_address(&address);
    g_assert_cmpstr(text, ==, "127.0.0.1:80");
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_assert_false(parse_address(bad[i], &address));
    }
}

static void test_order(void)
{
    struct pair pair = pair_new();
    struct message message;
    for (int i = 0; i < 3; i++) {
        g_autofree char *request_id = g_strdup_printf("r%d", i);
        fixture_request(&message, request_id);
        g_assert_true(wire_send(pair.left, &message, fixture_deadline(), NULL));
        message_clear(&message);
    }
    for (int i = 0; i < 3; i++) {
        g_autofree char *request_id = g_strdup_printf("r%d", i);
        g_assert_true(wire_receive(pair.right, &message, fixture_deadline(), NULL));
        g_assert_cmpstr(message.request.request_id, ==, request_id);
        message_clear(&message);
    }
    pair_close(&pair);
}

static void *receive_thread(void *data)
{
    struct message *message = g_new0(struct message, 1);
    g_assert_true(wire_receive(data, message, fixture_deadline(), NULL));
    return message;
}

/* A frame that is larger than the socket's buffer is sent in parts. */
static void test_large_frame(void)
{
    struct pair pair = pair_new();
    struct message message;
    fixture_request(&message, "large");
    struct sql_statement *statement = &message.request.statements[0];
    statement->parameters_count = 4;
    statement->parameters = g_new0(struct sql_value, statement->parameters_count);
    for (size_t i = 0; i < statement->parameters_count; i++) {
        statement->parameters[i].text = g_strnfill(1048576, (char)('a' + i));
    }
    pthread_t thread;
    g_assert_cmpint(pthread_create(&thread, NULL, receive_thread, pair.right), ==, 0);
    g_assert_true(wire_send(pair.left, &message, fixture_deadline(), NULL));
    struct message *received = NULL;
    pthread_join(thread, (void **)&received);
    for (size_t i = 0; i < statement->parameters_count; i++) {
        g_assert_cmpstr(received->request.statements[0].parameters[i].text, ==,
                        statement->parameters[i].text);
    }
    message_clear(received);
    g_free(received);
    message_clear(&message);
    pair_close(&pair);
}

static void test_frame_bounds(void)
{
    struct message message;
    g_autoptr(GError) error = NULL;
    fixture_request(&message, "large");
    struct sql_statement *statement = &message.request.statements[0];
    statement->parameters_count = 9;
    statement->parameters = g_new0(struct sql_value, statement->parameters_count);
    for (size_t i = 0; i < statement->parameters_count; i++) {
        statement->parameters[i].text = g_strnfill(1048576, 'x');
    }
    g_assert_null(wire_frame_new(&message, &error));
    g_assert_error(error, SW_ERROR, ERROR_KIND_TOO_LARGE);
    g_clear_error(&error);
    g_free(statement->parameters[0].text);
    statement->parameters[0].text = g_strnfill(1048577, 'x');
    g_assert_null(wire_frame_new(&message, &error));
    g_assert_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST);
    g_assert_cmpstr(error->message, ==, "sql_value.text: over its limit");
    message_clear(&message);
}

static void expect_receive_error(const void *data, size_t length, bool then_close, int code)
{
    struct pair pair = pair_new();
    struct message message;
    g_autoptr(GError) error = NULL;
    g_assert_cmpint(send(pair.left->socket, data, length, 0), ==, (gssize)length);
    if (then_close) {
        shutdown(pair.left->socket, SHUT_WR);
    }
    time_ns deadline = code == ERROR_KIND_DEADLINE ? fixture_short_deadline() : fixture_deadline();
    g_assert_false(wire_receive(pair.right, &message, deadline, &error));
    g_assert_error(error, SW_ERROR, code);
    g_assert_cmpint(message.kind, ==, MESSAGE_KIND_NONE);
    pair_close(&pair);
}

static void test_bad_frames(void)
{
    expect_receive_error("\x00\x80\x00\x01", 4, false, ERROR_KIND_TOO_LARGE);
    expect_receive_error("\x7f\xff\xff\xff", 4, false, ERROR_KIND_TOO_LARGE);
    expect_receive_error("\x00\x00\x00\x00", 4, false, ERROR_KIND_BAD_REQUEST);
    expect_receive_error("\x00\x00\x00\x01\xff", 5, false, ERROR_KIND_BAD_REQUEST);
    expect_receive_error("\x00\x00\x00\x02\x82", 5, false, ERROR_KIND_DEADLINE);
    expect_receive_error("\x00\x00\x00\x02\x82", 5, true, ERROR_KIND_PEER_UNREACHABLE);
    expect_receive_error("\x00\x00", 2, true, ERROR_KIND_PEER_UNREACHABLE);
    expect_receive_error("", 0, true, ERROR_KIND_PEER_UNREACHABLE);
    expect_receive_error("", 0, false, ERROR_KIND_DEADLINE);
}

/* Control words before a message are handled and skipped. */
static void test_closing(void)
{
    struct pair pair = pair_new();
    struct message message;
    g_assert_true(wire_is_idle(pair.right));
    g_assert_true(wire_send_closing(pair.left, fixture_deadline(), NULL));
    g_assert_false(wire_is_idle(pair.right));
    fixture_reply(&message, "r1");
    g_assert_true(wire_send(pair.left, &message, fixture_deadline(), NULL));
    message_clear(&message);
    g_assert_true(wire_receive(pair.right, &message, fixture_deadline(), NULL));
    g_assert_cmpstr(message.reply.request_id, ==, "r1");
    g_assert_true(pair.right->peer_closing);
    message_clear(&message);
    pair_close(&pair);
}

/* The peer's deployment after receiving control words and a message. */
static uint32_t deployment_after(const void *words, size_t length)
{
    struct pair pair = pair_new();
    struct message message;
    g_assert_cmpint(send(pair.left->socket, words, length, 0), ==, (gssize)length);
    fixture_reply(&message, "r1");
    g_assert_true(wire_send(pair.left, &message, fixture_deadline(), NULL));
    message_clear(&message);
    g_assert_true(wire_receive(pair.right, &message, fixture_deadline(), NULL));
    g_assert_cmpstr(message.reply.request_id, ==, "r1");
    g_assert_false(pair.right->peer_closing);
    message_clear(&message);
    uint32_t deployment = pair.right->peer_deployment;
    pair_close(&pair);
    return deployment;
}

/* Unknown control words are skipped, as older versions skip those of the deployment. */
static void test_deployment_words(void)
{
    uint32_t none = deployment_after("", 0);
    uint32_t unknown = deployment_after("\x80\x7f\xab\xcd", 4);
    uint32_t both = deployment_after("\x80\x03\xab\xcd\x80\x04\x12\x34", 8);
    uint32_t low = deployment_after("\x80\x04\x12\x34", 4);
    g_assert_cmphex(none, ==, 0);
    g_assert_cmphex(unknown, ==, 0);
    g_assert_cmphex(both, ==, 0xabcd1234);
    g_assert_cmphex(low, ==, 0x1234);
}

static void test_deployment_sent(void)
{
    struct pair pair = pair_new();
    uint8_t bytes[8];
    g_assert_true(wire_send_deployment(pair.left, 0xabcd1234, fixture_deadline(), NULL));
    ssize_t received = recv(pair.right->socket, bytes, sizeof(bytes), MSG_PEEK);
    g_assert_cmpmem(bytes, (gsize)MAX(received, 0), "\x80\x03\xab\xcd\x80\x04\x12\x34", 8);
    pair_close(&pair);
}

static void test_send_deadline(void)
{
    struct pair pair = pair_new();
    struct message message;
    g_autoptr(GError) error = NULL;
    fixture_request(&message, "r1");
    g_free(message.request.statements[0].sql);
    message.request.statements[0].sql = g_strnfill(65536, 'x');
    time_ns deadline = fixture_short_deadline();
    while (wire_send(pair.left, &message, deadline, &error)) {
        g_assert_no_error(error);
    }
    g_assert_error(error, SW_ERROR, ERROR_KIND_DEADLINE);
    message_clear(&message);
    pair_close(&pair);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/wire/address", test_address);
    g_test_add_func("/wire/connection/order", test_order);
    g_test_add_func("/wire/connection/large-frame", test_large_frame);
    g_test_add_func("/wire/connection/frame-bounds", test_frame_bounds);
    g_test_add_func("/wire/connection/bad-frames", test_bad_frames);
    g_test_add_func("/wire/connection/closing", test_closing);
    g_test_add_func("/wire/connection/deployment-words", test_deployment_words);
    g_test_add_func("/wire/connection/deployment-sent", test_deployment_sent);
    g_test_add_func("/wire/connection/send-deadline", test_send_deadline);
    return g_test_run();
}
