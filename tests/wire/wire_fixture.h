/* Common parts of the tests of src/wire/: messages with recognizable content, and a peer that
 * follows a script instead of the protocol. */
#ifndef SW_TESTS_WIRE_FIXTURE_H
#define SW_TESTS_WIRE_FIXTURE_H

#include "wire/connection.h"
#include "wire/listener.h"

#include <pthread.h>

/* Time-out that no passing test reaches. */
#define FIXTURE_TIMEOUT_NS (30 * NANOSECONDS_PER_SECOND)

/* Deadline of calls that must complete. */
time_ns fixture_deadline(void);

/* Deadline of calls that are expected to time out. */
time_ns fixture_short_deadline(void);

/* A request with one statement; the caller clears it. */
void fixture_request(struct message *message, const char *request_id);

/* A reply with the id of the request that it answers; the caller clears it. */
void fixture_reply(struct message *message, const char *request_id);

/* What a scripted peer does with one connection. */
enum scripted_step {
    SCRIPTED_REFUSE,           /* CLOSING instead of READY */
    SCRIPTED_CLOSE_UNREADY,    /* closes without sending anything */
    SCRIPTED_WRONG_VERSION,    /* sends READY of another protocol version */
    SCRIPTED_CLOSE_UNREAD,     /* READY; closes without reading the request */
    SCRIPTED_CLOSE_AFTER_READ, /* READY; reads the request, closes */
    SCRIPTED_CLOSE_MID_ANSWER, /* READY; reads the request, sends half of the answer, closes */
    SCRIPTED_INVALID_ANSWER,   /* READY; reads the request, sends a frame that is no message */
    SCRIPTED_ANSWER_CLOSE,     /* READY; reads the request, answers, closes */
    SCRIPTED_ANSWER_CLOSING, /* READY; reads the request, sends CLOSING, answers, waits for the end
                              */
    SCRIPTED_ANSWER_EXTRA_BYTES, /* READY; reads the request, answers, sends further bytes */
    SCRIPTED_END,
};

/* A peer that accepts one connection per step, in order, on its own thread. */
struct scripted_peer {
    struct wire_listener *listener;
    const enum scripted_step *steps;
    pthread_t thread;
    int stop_descriptor;
    pthread_mutex_t mutex;
    pthread_cond_t stepped;
    unsigned steps_done;    /* under mutex; a step is done once its connection is closed */
    unsigned requests_read; /* under mutex */
};

struct scripted_peer *scripted_peer_start(const enum scripted_step *steps);

/* Waits until the peer has completed `steps` steps. */
void scripted_peer_wait(struct scripted_peer *peer, unsigned steps);

/* Number of complete requests that the peer has read. */
unsigned scripted_peer_requests_read(struct scripted_peer *peer);

void scripted_peer_free(struct scripted_peer *peer);

#endif
