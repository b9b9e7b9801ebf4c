/* A frontend on a loopback port, with a fake daemon that receives its requests, and an HTTP
 * client. */
#ifndef SW_TESTS_FRONTEND_HARNESS_H
#define SW_TESTS_FRONTEND_HARNESS_H

#include "frontend/frontend.h"
#include "http_client.h"

#include <glib.h>
#include <pthread.h>

/* Group of the tenant "hut". The tenant "early" fails with ERROR_KIND_NOT_READY; no other tenant
 * exists. */
#define HARNESS_GROUP 7

/* A frontend whose requests are queued until the test answers them. */
struct harness {
    struct token_keys *keys;
    struct frontend *frontend;
    uint16_t port;
    GQueue submitted;       /* of struct submitted */
    pthread_mutex_t lock;   /* of submitted */
    pthread_cond_t arrived; /* submitted is longer */
    pthread_mutex_t gate;   /* a test that holds it stops the frontend's threads in find_tenant */
};

/* A request that reached the fake daemon. */
struct submitted {
    struct frontend_call *call;
    struct request *request;
};

/* Starts with default limits where `adjust` is NULL. */
void harness_start(struct harness *harness, void (*adjust)(struct frontend_options *options));

/* Stops the frontend, unless the test did so and set it to NULL, and frees everything. Returns the
 * number of calls that the stop answered with ERROR_KIND_OUTCOME_UNKNOWN. */
unsigned harness_stop(struct harness *harness);

/* Waits for the next submitted request and removes it from the queue. */
struct submitted *harness_take(struct harness *harness);

/* As harness_take, with a time-out; NULL if no request arrived. */
struct submitted *harness_take_within(struct harness *harness, unsigned milliseconds);

/* Number of queued requests. */
unsigned harness_waiting(struct harness *harness);

/* Answers with `reply`, which the caller keeps, and frees `submitted`. */
void harness_answer(struct submitted *submitted, const struct reply *reply);

/* Answers with one row of one text cell, `text`, read at the log position (term, offset), and frees
 * `submitted`. */
void harness_answer_text(struct submitted *submitted, const char *text, uint64_t term,
                         uint64_t offset);

/* Posts `body` to a path with headers (a NULL-terminated list, or NULL), and waits for the answer
 * or the connection's end. */
void harness_post(struct harness *harness, const char *path, const char *body, size_t length,
                  const char *const *headers, struct exchange *exchange);

/* As harness_post, on a separate thread; harness_join waits for it. */
struct poster;
struct poster *harness_post_start(struct harness *harness, const char *path, const char *body,
                                  const char *const *headers);
/* True once the answer or the end of the connection was received. */
bool harness_has_ended(struct poster *poster);

void harness_join(struct poster *poster, struct exchange *exchange);

/* A raw connection, for behaviour that the HTTP client does not offer. */
int harness_connect(struct harness *harness);
void harness_send(int connection, const char *text);

/* Reads up to and including the bytes `end`, or to the end of the connection. */
GString *harness_receive_until(int connection, const char *end);

/* Waits until the frontend has no request in progress. */
void harness_wait_idle(struct harness *harness);

#endif
