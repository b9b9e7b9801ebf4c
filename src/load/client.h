/* One connection of a caller: sends an operation and returns its outcome. There are two
 * implementations: through a daemon over HTTP, and directly to a database over libpq as the
 * baseline. */
#ifndef SW_LOAD_CLIENT_H
#define SW_LOAD_CLIENT_H

#include "load/operation.h"

/* An attempt to send. Borrowed for the call. */
struct client_request {
    const char *address; /* "HOST:PORT" */
    const char *tenant;
    const struct operation *operation;
    const char *session_token; /* NULL in a new session */
    uint32_t timeout_ms;
};

/* The answer to an attempt. Owns its content. */
struct client_answer {
    enum attempt_outcome outcome;
    char *error; /* error kind, or NULL */
    char *text;  /* readable description of the error, or NULL */
    enum error_retry retry;
    uint32_t retry_after_ms;
    struct served_by served_by;
    char *session_token; /* NULL if the answer contained none */
    GPtrArray *rows;     /* char *: first cells of the rows; NULL unless a read succeeded */
};

void client_answer_clear(struct client_answer *answer);

/* The interface of a client. Each client belongs to one thread. */
struct client {
    /* Fills `answer`, which the caller clears. */
    void (*call)(struct client *client, const struct client_request *request,
                 struct client_answer *answer);
    void (*free)(struct client *client);
};

/* Through a daemon's HTTP API. */
struct client *http_client_new(void);

/* Directly to a database. */
struct client *direct_client_new(void);

#endif
