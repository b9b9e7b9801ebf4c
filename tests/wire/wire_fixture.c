/* A scripted peer, and messages for tests. */
#include "wire_fixture.h"

#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define SHORT_DEADLINE_NS (20 * NANOSECONDS_PER_MILLISECOND)

time_ns fixture_deadline(void)
{
    return wire_clock_now() + FIXTURE_TIMEOUT_NS;
}

time_ns fixture_short_deadline(void)
{
    return wire_clock_now() + SHORT_DEADLINE_NS;
}

void fixture_request(struct message *message, const char *request_id)
{
    message_init(message, MESSAGE_KIND_REQUEST);
    struct request *request = &message->request;
    request->request_id = g_strdup(request_id);
    request->tenant = g_strdup("toubkal");
    request->statements = g_new0(struct sql_statement, 1);
    request->statements_count = 1;
    request->statements[0].sql = g_strdup("SELECT 1");
}

void fixture_reply(struct message *message, const char *request_id)
{
    message_init(message, MESSAGE_KIND_REPLY);
    message->reply.request_id = g_strdup(request_id);
}

static void send_raw(struct wire_connection *connection, const void *data, size_t length)
{
    g_assert_cmpint(send(connection->socket, data, length, MSG_NOSIGNAL), ==, (gssize)length);
}

static void wait_end(struct wire_connection *connection)
{
    struct message message;
    while (wire_receive(connection, &message, fixture_deadline(), NULL)) {
        message_clear(&message);
    }
}

static void send_half_answer(struct wire_connection *connection, const struct message *reply)
{
    g_autoptr(GByteArray) frame = wire_frame_new(reply, NULL);
    send_raw(connection, frame->data, frame->len / 2);
}

static void answer(struct wire_connection *connection, const struct message *reply,
                   enum scripted_step step)
{
    static const uint8_t invalid_frame[] = {0, 0, 0, 2, 0xff, 0xff};
    switch (step) {
    case SCRIPTED_CLOSE_MID_ANSWER:
        send_half_answer(connection, reply);
        break;
    case SCRIPTED_INVALID_ANSWER:
        send_raw(connection, invalid_frame, sizeof(invalid_frame));
        break;
    case SCRIPTED_ANSWER_CLOSE:
        g_assert_true(wire_send(connection, reply, fixture_deadline(), NULL));
        break;
    case SCRIPTED_ANSWER_CLOSING:
        g_assert_true(wire_send_closing(connection, fixture_deadline(), NULL));
        g_assert_true(wire_send(connection, reply, fixture_deadline(), NULL));
        wait_end(connection);
        break;
    case SCRIPTED_ANSWER_EXTRA_BYTES:
        g_assert_true(wire_send(connection, reply, fixture_deadline(), NULL));
        send_raw(connection, invalid_frame, sizeof(invalid_frame));
        wait_end(connection);
        break;
    default:
        break;
    }
}

static void serve(struct scripted_peer *peer, struct wire_connection *connection,
                  enum scripted_step step)
{
    struct message request;
    struct message reply;
    g_assert_true(wire_send_ready(connection, fixture_deadline(), NULL));
    if (step == SCRIPTED_CLOSE_UNREAD) {
        g_assert_cmpint(wire_wait_input(connection, -1, fixture_deadline()), ==,
                        WIRE_WAIT_READABLE);
        return;
    }
    if (!wire_receive(connection, &request, fixture_deadline(), NULL)) {
        return;
    }
    pthread_mutex_lock(&peer->mutex);
    peer->requests_read++;
    pthread_mutex_unlock(&peer->mutex);
    fixture_reply(&reply, request.request.request_id);
    answer(connection, &reply, step);
    message_clear(&reply);
    message_clear(&request);
}

static void run_step(struct scripted_peer *peer, struct wire_connection *connection,
                     enum scripted_step step)
{
    static const uint8_t wrong_version[] = {0x80, 0x01, 0xff, 0xff};
    switch (step) {
    case SCRIPTED_CLOSE_UNREADY:
        break;
    case SCRIPTED_REFUSE:
        g_assert_true(wire_send_closing(connection, fixture_deadline(), NULL));
        break;
    case SCRIPTED_WRONG_VERSION:
        send_raw(connection, wrong_version, sizeof(wrong_version));
        break;
    default:
        serve(peer, connection, step);
        break;
    }
    wire_close(connection);
    pthread_mutex_lock(&peer->mutex);
    peer->steps_done++;
    pthread_cond_broadcast(&peer->stepped);
    pthread_mutex_unlock(&peer->mutex);
}

static void *scripted_thread(void *data)
{
    struct scripted_peer *peer = data;
    for (size_t i = 0; peer->steps[i] != SCRIPTED_END; i++) {
        struct wire_connection *connection =
            wire_listener_accept(peer->listener, peer->stop_descriptor, NULL);
        if (connection == NULL) {
            return NULL;
        }
        run_step(peer, connection, peer->steps[i]);
    }
    return NULL;
}

struct scripted_peer *scripted_peer_start(const enum scripted_step *steps)
{
    struct scripted_peer *peer = g_new0(struct scripted_peer, 1);
    g_autoptr(GError) error = NULL;
    peer->listener = wire_listener_open("127.0.0.1:0", &error);
    g_assert_no_error(error);
    peer->steps = steps;
    peer->stop_descriptor = eventfd(0, EFD_CLOEXEC);
    pthread_mutex_init(&peer->mutex, NULL);
    pthread_cond_init(&peer->stepped, NULL);
    g_assert_cmpint(pthread_create(&peer->thread, NULL, scripted_thread, peer), ==, 0);
    return peer;
}

void scripted_peer_wait(struct scripted_peer *peer, unsigned steps)
{
    pthread_mutex_lock(&peer->mutex);
    while (peer->steps_done < steps) {
        pthread_cond_wait(&peer->stepped, &peer->mutex);
    }
    pthread_mutex_unlock(&peer->mutex);
}

unsigned scripted_peer_requests_read(struct scripted_peer *peer)
{
    pthread_mutex_lock(&peer->mutex);
    unsigned count = peer->requests_read;
    pthread_mutex_unlock(&peer->mutex);
    return count;
}

void scripted_peer_free(struct scripted_peer *peer)
{
    eventfd_write(peer->stop_descriptor, 1);
    pthread_join(peer->thread, NULL);
    wire_listener_close(peer->listener);
    close(peer->stop_descriptor);
    pthread_mutex_destroy(&peer->mutex);
    pthread_cond_destroy(&peer->stepped);
    g_free(peer);
}
