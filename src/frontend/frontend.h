/* The callers' side of a daemon: HTTP/1.1 requests in, answers out. It parses and checks requests,
 * hands each valid one to the daemon, suspends the connection until the daemon answers, and writes
 * the answer. It knows nothing of groups, databases or routing.
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

/* One request that was handed to the daemon and awaits its answer. Owned by the frontend; valid
 * until frontend_answer. */
struct frontend_call;

/* Bounds of one request. */
struct frontend_limits {
    uint32_t body_bytes_max;
    uint32_t statements_max; /* of one transaction sent as a whole */
    uint32_t parameters_max; /* of one statement */
    uint32_t timeout_ms_max; /* a longer one is cut to this */
    uint32_t timeout_ms;     /* where the caller does not say */
};

/* What the frontend needs to know of a tenant. */
struct frontend_tenant {
    uint32_t group;
    struct frontend_limits limits; /* set to the listener's before find_tenant is called */
};

/* Finds a tenant by name. Fails with ERROR_KIND_UNKNOWN_TENANT, or ERROR_KIND_NOT_READY while
 * there is no configuration: the caller is answered with this error. */
typedef bool (*frontend_find_tenant)(const char *name, struct frontend_tenant *tenant, void *user,
                                     GError **error);

/* Takes a valid request over. `request` and its content belong to the callee, who frees them by
 * request_clear and g_free. The callee answers `call` exactly once, now or later. */
typedef void (*frontend_submit)(struct frontend_call *call, struct request *request, void *user);

struct frontend_options {
    const char *address; /* IP number to listen at */
    uint16_t port;       /* 0: any free one, see frontend_port */
    unsigned threads;
    unsigned connections_max;
    unsigned idle_s;          /* a connection without traffic is closed after this; 0: never */
    unsigned receive_s;       /* the same while a request arrives */
    size_t sql_cache_entries; /* classes of statements kept */
    size_t sql_cache_octets;  /* of their text */
    struct frontend_limits limits;
    const struct token_keys *token_keys;         /* outlives the frontend */
    struct metrics *metrics;                     /* outlives the frontend; NULL: none are shown */
    const char *(*reason_name)(uint32_t reason); /* may be NULL */
    frontend_find_tenant find_tenant;
    frontend_submit submit;
    void *user; /* for both */
};

/* Sensible bounds and sizes; the caller sets address, port, keys and callbacks. */
void frontend_options_init(struct frontend_options *options);

/* Starts to listen. NULL with SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION, where it can't. */
struct frontend *frontend_start(const struct frontend_options *options, GError **error);

/* The port bound. */
uint16_t frontend_port(const struct frontend *frontend);

/* Answers a call; any thread, exactly once per call. `reply` stays the caller's. The call must not
 * be used afterwards. An answer to a caller that went away, or after frontend_stop, is dropped. */
void frontend_answer(struct frontend_call *call, const struct reply *reply);

/* Planned stop: takes no new connection; connections that stand are served on and closed after
 * their next answer. May be called again, by the same thread. */
void frontend_stop_accepting(struct frontend *frontend);

/* Requests that have begun to arrive and whose answers are not yet written. */
unsigned frontend_in_flight(const struct frontend *frontend);

/* Connections that stand, idle ones among them. */
unsigned frontend_connections(const struct frontend *frontend);

/* Closes all connections and frees the frontend. Calls still open are answered with
 * ERROR_KIND_OUTCOME_UNKNOWN first; their later answers are dropped. Returns the number of requests
 * that were cut so. No answer may be in the making of a call handed out by a submit that still
 * runs. */
unsigned frontend_stop(struct frontend *frontend);

#endif
