/* The HTTP/1.1 server of a daemon for callers. It parses and checks requests, submits each valid
 * one to the daemon, suspends the connection until the daemon answers, and writes the answer. It is
 * independent of databases and routing.
 *
 * Threads: connections belong to a pool of libmicrohttpd threads; `find_tenant` and `submit` are
 * called on them and must not block. Answers may come from any thread and in any order. */
#ifndef SW_FRONTEND_FRONTEND_H
#define SW_FRONTEND_FRONTEND_H

#include "frontend/metrics.h"
#include "generated/messages.h"
#include "session/token.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct frontend;

/* One request that was submitted to the daemon and awaits its answer. Owned by the frontend; valid
 * until frontend_answer. */
struct frontend_call;

/* Bounds of one request. */
struct frontend_limits {
    uint32_t body_bytes_max;
    uint32_t statements_max; /* of one batch transaction */
    uint32_t parameters_max; /* of one statement */
    uint32_t timeout_ms_max; /* a longer one is reduced to this */
    uint32_t timeout_ms;     /* default if the caller does not set one */
};

/* The group and limits of a tenant. */
struct frontend_tenant {
    uint32_t group;
    struct frontend_limits limits; /* set to the frontend's before find_tenant is called */
};

/* Finds a tenant by name. Fails with ERROR_KIND_UNKNOWN_TENANT, or with ERROR_KIND_NOT_READY while
 * there is no configuration. The error is sent to the caller. */
typedef bool (*frontend_find_tenant)(const char *name, struct frontend_tenant *tenant, void *user,
                                     GError **error);

/* Processes a valid request. The callee takes ownership of `request` and its content, and frees
 * them by request_clear and g_free. It answers `call` exactly once, during the call or later. */
typedef void (*frontend_submit)(struct frontend_call *call, struct request *request, void *user);

struct frontend_options {
    const char *address; /* numeric IP address to listen at */
    uint16_t port;       /* 0: any free port, see frontend_port */
    unsigned threads;
    unsigned connections_max;
    unsigned idle_s;          /* a connection without traffic is closed after this; 0: never */
    unsigned receive_s;       /* the same while a request arrives */
    size_t sql_cache_entries; /* maximum number of cached statement classes */
    size_t sql_cache_bytes;   /* maximum size of their statements' text */
    struct frontend_limits limits;
    const struct token_keys *token_keys; /* must outlive the frontend */
    struct metrics *metrics;             /* must outlive the frontend; NULL: none exported */
    const char *(*reason_name)(uint32_t reason); /* may be NULL */
    frontend_find_tenant find_tenant;
    frontend_submit submit;
    void *user; /* for both */
};

/* Sets default limits and sizes; the caller sets address, port, keys and callbacks. */
void frontend_options_init(struct frontend_options *options);

/* Starts to listen. Returns NULL and sets SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION, if it can't
 * listen. */
struct frontend *frontend_start(const struct frontend_options *options, GError **error);

/* Returns the bound port. */
uint16_t frontend_port(const struct frontend *frontend);

/* Answers a call; from any thread, exactly once per call. `reply` remains owned by the caller of
 * this function. The call must not be used afterwards. The answer is dropped if the HTTP caller has
 * disconnected, or after frontend_stop. */
void frontend_answer(struct frontend_call *call, const struct reply *reply);

/* Planned stop: accepts no new connections. Open connections are served and closed after their next
 * answer. May be called again by the same thread. */
void frontend_stop_accepting(struct frontend *frontend);

/* Returns the number of requests that have begun to arrive and whose answers are not yet written.
 */
unsigned frontend_in_flight(const struct frontend *frontend);

/* Returns the number of open connections, including idle ones. */
unsigned frontend_connections(const struct frontend *frontend);

/* Closes all connections and frees the frontend. Calls still open are first answered with
 * ERROR_KIND_OUTCOME_UNKNOWN; their later answers are dropped. Returns the number of calls answered
 * in this way. No thread may be in frontend_answer for a call whose submit callback has not
 * returned. */
unsigned frontend_stop(struct frontend *frontend);

#endif
