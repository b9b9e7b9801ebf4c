/* Connections between poolers over TCP. A frame is a length, 32 bits in network byte order, and one
 * CBOR message. A connection belongs to the thread of its event loop. */
#ifndef SW_POOLER_PEER_H
#define SW_POOLER_PEER_H

#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/* Longest accepted frame, in bytes. */
#define PEER_FRAME_MAX ((size_t)8 * 1024 * 1024)

struct peer;

struct peer_callbacks {
    /* A frame was received. Returning false closes the connection. */
    bool (*frame)(void *user, struct peer *peer, const uint8_t *data, size_t length);
    /* The connection was closed or broke. The peer is freed afterwards. */
    void (*closed)(void *user, struct peer *peer);
    void *user;
};

/* Starts to connect. Frames may be sent at once. NULL if no socket could be created or the address
 * was refused at once. */
struct peer *peer_connect(struct event_base *base, const struct sockaddr_in *address,
                          const struct peer_callbacks *callbacks);

/* Takes over an accepted socket. */
struct peer *peer_accept(struct event_base *base, int handle,
                         const struct peer_callbacks *callbacks);

/* True if any byte was written to the socket. Until then the other pooler can have received
 * nothing. */
bool peer_has_sent(const struct peer *peer);

/* Closes the connection without the closed callback, and frees the peer. */
void peer_free(struct peer *peer);

/* Sends a frame and frees the message. A broken connection is reported by the closed callback,
 * after this call. */
void peer_send(struct peer *peer, GByteArray *message);

#endif
