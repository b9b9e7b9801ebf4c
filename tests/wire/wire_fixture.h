/* What the tests of src/wire/ share: messages with a recognizable content, and a peer that follows
 * a script instead of the protocol. */
#ifndef SW_TESTS_WIRE_FIXTURE_H
#define SW_TESTS_WIRE_FIXTURE_H

#include "wire/connection.h"
#include "wire/listener.h"

#include <pthread.h>

/* Long enough that no passing test reaches it. */
#define FIXTURE_PATIENCE_NS (30 * NANOSECONDS_PER_SECOND)

/* The deadline of calls that must end in time. */
time_ns fixture_deadline(void);

/* A deadline that is meant to pass. */
time_ns fixture_short_deadline(void);

/* A request with one statement; the caller clears it. */
void fixture_request(struct message *message, const char *request_id);

/* A reply that names the request it answers; the caller clears it. */
void fixture_reply(struct message *message, const char *request_id);

/* What a scripted peer does with one connection. */
enum scripted_step {
    SCRIPTED_REFUSE,           /* CLOSING instead of READY */
    SCRIPTED_CLOSE_UNREADY,    /* closes without a word */
    SCRIPTED_WRONG_VERSION,    /* READY of another version */
    SCRIPTED_CLOSE_UNREAD,     /* READY; closes with the request unread */
    SCRIPTED_CLOSE_AFTER_READ, /* READY; reads the request, closes */
    SCRIPTED_CLOSE_MID_ANSWER, /* READY; reads, sends half of the answer, closes */
    SCRIPTED_GARBAGE_ANSWER,   /* READY; reads, answers what is no message */
    SCRIPTED_ANSWER_CLOSE,     /* READY; reads, answers, closes */
    SCRIPTED_ANSWER_CLOSING,   /* READY; reads, CLOSING, answers, waits for the end */
    SCRIPTED_ANSWER_GARBAGE,   /* READY; reads, answers, sends what nobody asked for */
    SCRIPTED_END,
};

/* A peer that accepts one connection a step, in order, on a thread of its own. */
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

/* Waits until the peer has done so many steps. */
void scripted_peer_wait(struct scripted_peer *peer, unsigned steps);

/* Whole requests that the peer has read. */
unsigned scripted_peer_requests_read(struct scripted_peer *peer);

void scripted_peer_free(struct scripted_peer *peer);

#endif
