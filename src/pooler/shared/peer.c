/* Connections between poolers; see the header. */
#include "pooler/shared/peer.h"

#include "pooler/shared/buffer.h"
#include "pooler/shared/socket.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A connection with data that the peer's host has not acknowledged for this time is closed. */
#define USER_TIMEOUT_MS 1500

/* An idle connection whose peer's host no longer responds is closed after twice this time. On the
 * accepting side nothing else detects this, and sessions that are open on the connection would keep
 * their database connections. */
#define KEEP_ALIVE_IDLE_MS 8000

struct peer {
    int socket;
    struct event_base *base;
    struct event *readable;
    struct event *writable;
    struct buffer in;
    struct buffer out;
    const struct peer_callbacks *callbacks;
    bool failed; /* closes at the next iteration of the event loop */
    bool has_sent;
};

bool
peer_has_sent(const struct peer *peer)
{
    return peer->has_sent;
}

void
peer_free(struct peer *peer)
{
    event_free(peer->readable);
    event_free(peer->writable);
    close(peer->socket);
    buffer_clear(&peer->in);
    buffer_clear(&peer->out);
    g_free(peer);
}

static void
close_peer(struct peer *peer)
{
    peer->callbacks->closed(peer->callbacks->user, peer);
    peer_free(peer);
}

/* Sends buffered bytes. False if the connection is closed. */
static bool
flush(struct peer *peer)
{
    size_t before = buffer_length(&peer->out);
    enum transfer transfer = buffer_send(&peer->out, peer->socket);
    peer->has_sent = peer->has_sent || buffer_length(&peer->out) < before;
    switch (transfer) {
    case TRANSFER_DONE:
        return true;
    case TRANSFER_BLOCKED:
        event_add(peer->writable, NULL);
        return true;
    case TRANSFER_ENDED:
        break;
    }
    return false;
}

/* Passes complete frames to the callback. False if the connection is to be closed. */
static bool
process_frames(struct peer *peer)
{
    for (;;) {
        struct span content = buffer_content(&peer->in);
        uint32_t header = 0;
        if (content.length < sizeof header) {
            return true;
        }
        memcpy(&header, content.data, sizeof header);
        size_t length = ntohl(header);
        if (length > PEER_FRAME_MAX) {
            return false;
        }
        if (content.length < sizeof header + length) {
            return true;
        }
        const uint8_t *data = (const uint8_t *)content.data + sizeof header;
        if (!peer->callbacks->frame(peer->callbacks->user, peer, data, length)) {
            return false;
        }
        buffer_consume(&peer->in, sizeof header + length);
    }
}

static void
on_readable(evutil_socket_t socket, short events, void *user)
{
    struct peer *peer = user;
    enum transfer transfer = buffer_receive(&peer->in, peer->socket);
    bool ok = transfer != TRANSFER_ENDED && !peer->failed;
    ok = ok && (transfer == TRANSFER_BLOCKED || process_frames(peer));
    if (!ok) {
        close_peer(peer);
    }
}

static void
on_writable(evutil_socket_t socket, short events, void *user)
{
    struct peer *peer = user;
    if (peer->failed || !flush(peer)) {
        close_peer(peer);
    }
}

static struct peer *
peer_new(struct event_base *base, int handle, const struct peer_callbacks *callbacks)
{
    socket_set_user_timeout(handle, USER_TIMEOUT_MS);
    socket_keep_alive(handle, KEEP_ALIVE_IDLE_MS);
    struct peer *peer = g_new0(struct peer, 1);
    peer->socket = handle;
    peer->base = base;
    peer->callbacks = callbacks;
    peer->readable = event_new(base, handle, EV_READ | EV_PERSIST, on_readable, peer);
    peer->writable = event_new(base, handle, EV_WRITE, on_writable, peer);
    event_add(peer->readable, NULL);
    return peer;
}

struct peer *
peer_accept(struct event_base *base, int handle, const struct peer_callbacks *callbacks)
{
    return peer_new(base, handle, callbacks);
}

struct peer *
peer_connect(struct event_base *base, const struct sockaddr_in *address,
             const struct peer_callbacks *callbacks)
{
    int handle = socket_connect(address, USER_TIMEOUT_MS);
    if (handle < 0) {
        return NULL;
    }
    struct peer *peer = peer_new(base, handle, callbacks);
    event_add(peer->writable, NULL);
    return peer;
}

void
peer_send(struct peer *peer, GByteArray *message)
{
    uint32_t header = htonl(message->len);
    bool idle = buffer_length(&peer->out) == 0;
    buffer_append(&peer->out, &header, sizeof header);
    buffer_append(&peer->out, message->data, message->len);
    g_byte_array_unref(message);
    if (idle && !event_pending(peer->writable, EV_WRITE, NULL) && !flush(peer)) {
        /* The caller may still use the peer, so it is closed at the next iteration of the event
         * loop. */
        peer->failed = true;
        event_active(peer->writable, EV_WRITE, 0);
    }
}
