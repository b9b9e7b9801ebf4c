/* One connection's worth of a caller: sends an operation, tells what came of it. Two forms: through
 * a daemon over HTTP, and straight to a database over libpq as the baseline. */
#ifndef SW_LOAD_CLIENT_H
#define SW_LOAD_CLIENT_H

#include "load/operation.h"

/* An attempt to make. Borrowed for the call. */
struct client_request {
    const char *address; /* "HOST:PORT" */
    const char *tenant;
    const struct operation *operation;
    const char *session_token; /* NULL in a new session */
    uint32_t timeout_ms;
};

/* What came of it. Owns its content. */
struct client_answer {
    enum attempt_outcome outcome;
    char *error; /* error kind, or NULL */
    char *text;  /* what went wrong, for people; or NULL */
    enum error_retry retry;
    uint32_t retry_after_ms;
    struct served_by served_by;
    char *session_token; /* NULL if the answer had none */
    GPtrArray *rows;     /* char *: first cells of the rows; NULL unless a read was done */
};

void client_answer_clear(struct client_answer *answer);

/* The form of a client. Each client belongs to one thread. */
struct client {
    /* Fills `answer`, which the caller clears. */
    void (*call)(struct client *client, const struct client_request *request,
                 struct client_answer *answer);
    void (*free)(struct client *client);
};

/* Through a daemon's HTTP API. */
struct client *http_client_new(void);

/* Straight to a database. */
struct client *direct_client_new(void);

#endif
