/* A caller's request to a daemon over HTTP, and its answer. */
#ifndef SW_TESTS_DAEMON_HTTP_CALL_H
#define SW_TESTS_DAEMON_HTTP_CALL_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>

/* One request; members that are not set have their defaults. Strings belong to the caller. */
struct http_call {
    const char *tenant;           /* "refuge" */
    const char *transaction;      /* id; the path is then relative to it */
    const char *path;             /* last segment: "statements" */
    const char *sql;              /* one statement as the body */
    const char *body;             /* complete body, instead of `sql` */
    const char *key;              /* Idempotency-Key */
    const char *session;          /* Swiftworks-Session */
    const char *request_id;       /* Request-Id */
    unsigned timeout_ms;          /* Request-Timeout-Ms; 0: none given */
    unsigned disconnect_after_ms; /* the client disconnects after this; 0: never */
};

/* The answer. Cleared by http_answer_clear. */
struct http_answer {
    long status;        /* 0 if no complete answer was received */
    char *failure;      /* why no answer was received, or NULL */
    bool not_connected; /* connection refused: nothing was sent */
    char *outcome;
    char *error_kind;  /* NULL if the outcome is done */
    char *sqlstate;    /* or NULL */
    char *session;     /* new token, or NULL */
    char *transaction; /* id, or NULL */
    char *retry_after; /* Retry-After, or NULL */
    char *served_by;   /* Swiftworks-Served-By, or NULL */
    char *request_id;  /* Request-Id, or NULL */
    bool replayed;     /* Swiftworks-Replayed */
    JsonNode *body;    /* NULL if the body was not JSON */
};

/* Loopback address of this process's daemons. Programs that run at the same time have different
 * addresses. A daemon that still has the address of a stopped one can therefore not reach a daemon
 * of another program that was given the same port. */
const char *http_loopback(void);

/* Sends a request to a daemon's port on a new connection and waits for the answer. */
void http_post(unsigned port, const struct http_call *call, struct http_answer *answer);

/* The same on a separate thread; http_join waits for it. The call's strings are copied. */
struct http_poster;
struct http_poster *http_post_start(unsigned port, const struct http_call *call);
void http_join(struct http_poster *poster, struct http_answer *answer);

/* True once the answer was received. */
bool http_has_ended(struct http_poster *poster);

void http_answer_clear(struct http_answer *answer);

/* Number of rows of the result, or of result `index` in a batch. */
guint http_rows(const struct http_answer *answer);
guint http_batch_rows(const struct http_answer *answer, guint index);

/* A cell as text; fails the test if it does not exist. The caller frees it. */
char *http_cell(const struct http_answer *answer, guint row, guint column);

/* Fails the test, with the complete answer in the message, unless it has the given outcome. */
#define http_assert_done(answer)                 http_check_outcome(answer, "done", NULL, G_STRLOC)
#define http_assert_error(answer, outcome, kind) http_check_outcome(answer, outcome, kind, G_STRLOC)
void http_check_outcome(const struct http_answer *answer, const char *outcome, const char *kind,
                        const char *place);

#endif
