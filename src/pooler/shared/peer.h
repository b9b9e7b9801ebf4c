/* Connections between poolers: frames of a length and one CBOR message over TCP. Belongs to the
 * control thread. */
#ifndef SW_POOLER_PEER_H
#define SW_POOLER_PEER_H

#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/* Longest frame that is taken. */
#define PEER_FRAME_MAX ((size_t)8 * 1024 * 1024)

struct peer;

struct peer_callbacks {
    /* One frame came; false closes the connection. */
    bool (*frame)(void *user, struct peer *peer, const uint8_t *data, size_t length);
    /* The connection is over; the peer is freed afterwards. */
    void (*closed)(void *user, struct peer *peer);
    void *user;
};

/* Connects; frames may be sent at once. NULL if no socket could be had. */
struct peer *peer_connect(struct event_base *base, const struct sockaddr_in *address,
                          const struct peer_callbacks *callbacks);

/* Takes over an accepted socket. */
struct peer *peer_accept(struct event_base *base, int handle,
                         const struct peer_callbacks *callbacks);

/* True if any byte has left: before that, the other side has nothing of what was sent. */
bool peer_has_sent(const struct peer *peer);

/* Closes without the closed callback, and frees. */
void peer_free(struct peer *peer);

/* Sends a frame; frees the message. A broken connection shows by the closed callback. */
void peer_send(struct peer *peer, GByteArray *message);

#endif
