/* Tests of messages over UDP. */
#include "core/error.h"
#include "generated/errors.h"
#include "wire/datagram.h"
#include "wire_fixture.h"

#include <sys/socket.h>
#include <unistd.h>

struct sockets {
    int left;
    int right;
    struct sockaddr_in left_address;
    struct sockaddr_in right_address;
};

static void sockets_open(struct sockets *sockets)
{
    g_autoptr(GError) error = NULL;
    sockets->left = wire_datagram_open("127.0.0.1:0", &sockets->left_address, &error);
    g_assert_no_error(error);
    sockets->right = wire_datagram_open("127.0.0.1:0", &sockets->right_address, &error);
    g_assert_no_error(error);
}

static void sockets_close(struct sockets *sockets)
{
    close(sockets->left);
    close(sockets->right);
}

static void test_round_trip(void)
{
    struct sockets sockets;
    struct message message;
    struct sockaddr_in from = {0};
    size_t sent = 0;
    size_t received = 0;
    g_autoptr(GError) error = NULL;
    sockets_open(&sockets);
    fixture_request(&message, "r1");
    g_autoptr(GByteArray) encoded = message_encode(&message);
    g_assert_true(
        wire_datagram_send(sockets.left, &sockets.right_address, &message, &sent, &error));
    g_assert_no_error(error);
    message_clear(&message);
    wire_datagram_receive(sockets.right, &message, &from, &received, fixture_deadline(), &error);
    g_assert_no_error(error);
    g_assert_cmpuint(sent, ==, encoded->len);
    g_assert_cmpuint(received, ==, encoded->len);
    g_assert_cmpstr(message.request.request_id, ==, "r1");
    g_assert_cmpint(from.sin_port, ==, sockets.left_address.sin_port);
    message_clear(&message);
    sockets_close(&sockets);
}

static void test_bounds(void)
{
    struct sockets sockets;
    struct message message;
    g_autoptr(GError) error = NULL;
    sockets_open(&sockets);
    fixture_request(&message, "r1");
    g_free(message.request.statements[0].sql);
    message.request.statements[0].sql = g_strnfill(WIRE_DATAGRAM_MAX, 'x');
    g_assert_false(
        wire_datagram_send(sockets.left, &sockets.right_address, &message, NULL, &error));
    g_assert_error(error, SW_ERROR, ERROR_KIND_TOO_LARGE);
    g_clear_error(&error);
    g_free(message.request.tenant);
    message.request.tenant = g_strnfill(129, 'x');
    g_assert_false(
        wire_datagram_send(sockets.left, &sockets.right_address, &message, NULL, &error));
    g_assert_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST);
    message_clear(&message);
    sockets_close(&sockets);
}

static void expect_refused(struct sockets *sockets, const void *data, size_t length)
{
    struct message message;
    struct sockaddr_in from;
    g_autoptr(GError) error = NULL;
    const struct sockaddr *to = (const struct sockaddr *)&sockets->right_address;
    gssize sent = sendto(sockets->left, data, length, 0, to, sizeof(sockets->right_address));
    g_assert_cmpint(sent, ==, (gssize)length);
    size_t received = G_MAXSIZE;
    g_assert_false(wire_datagram_receive(sockets->right, &message, &from, &received,
                                         fixture_deadline(), &error));
    g_assert_cmpuint(received, ==, length);
    g_assert_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST);
    g_assert_cmpint(message.kind, ==, MESSAGE_KIND_NONE);
}

/* A datagram that can't be decoded is rejected; the next one is received. */
static void test_bad_datagrams(void)
{
    struct sockets sockets;
    struct message message;
    struct sockaddr_in from;
    uint8_t oversize[WIRE_DATAGRAM_MAX + 1] = {0};
    g_autoptr(GError) error = NULL;
    sockets_open(&sockets);
    expect_refused(&sockets, "\xff", 1);
    expect_refused(&sockets, "", 0);
    expect_refused(&sockets, oversize, sizeof(oversize));
    fixture_reply(&message, "r2");
    g_assert_true(wire_datagram_send(sockets.left, &sockets.right_address, &message, NULL, &error));
    message_clear(&message);
    wire_datagram_receive(sockets.right, &message, &from, NULL, fixture_deadline(), &error);
    g_assert_no_error(error);
    g_assert_cmpstr(message.reply.request_id, ==, "r2");
    message_clear(&message);
    sockets_close(&sockets);
}

static void test_deadline(void)
{
    struct sockets sockets;
    struct message message;
    struct sockaddr_in from;
    g_autoptr(GError) error = NULL;
    size_t received = G_MAXSIZE;
    sockets_open(&sockets);
    g_assert_false(wire_datagram_receive(sockets.right, &message, &from, &received,
                                         fixture_short_deadline(), &error));
    g_assert_error(error, SW_ERROR, ERROR_KIND_DEADLINE);
    g_assert_cmpuint(received, ==, 0);
    sockets_close(&sockets);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/wire/datagram/round-trip", test_round_trip);
    g_test_add_func("/wire/datagram/bounds", test_bounds);
    g_test_add_func("/wire/datagram/bad-datagrams", test_bad_datagrams);
    g_test_add_func("/wire/datagram/deadline", test_deadline);
    return g_test_run();
}
