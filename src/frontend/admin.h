/* The HTTP listener for operators: metrics, health and the daemon's administrative calls, on one
 * thread and, by default, on loopback only. The daemon registers its calls as routes before it
 * starts the listener.
 *
 * Threads: handlers run on the listener's thread, one at a time. */
#ifndef SW_FRONTEND_ADMIN_H
#define SW_FRONTEND_ADMIN_H

#include "frontend/metrics.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ADMIN_TYPE_JSON "application/json"
#define ADMIN_TYPE_TEXT "text/plain; charset=utf-8"

struct admin;

/* The request that a handler answers; valid during the call. */
struct admin_request;

/* The answer that a handler fills. */
struct admin_answer {
    unsigned status;          /* preset to 200 */
    GString *body;            /* initially empty */
    const char *content_type; /* preset to ADMIN_TYPE_JSON; static text */
};

typedef void (*admin_handler)(const struct admin_request *request, struct admin_answer *answer,
                              void *user);

struct admin_options {
    const char *address; /* numeric IP address; default 127.0.0.1 */
    uint16_t port;       /* 0: any free port, see admin_port */
    bool remote_control; /* callers from other machines may use methods other than GET */
    uint32_t body_bytes_max;
    struct metrics *metrics; /* for /metrics; must outlive the listener */

    /* For /readyz: returns whether the daemon accepts requests; if not, appends the reason. NULL:
     * the daemon always accepts requests. */
    bool (*ready)(GString *reason, void *user);
    void *user;
};

/* Sets the defaults: the loopback address and a body limit of 4 MiB. */
void admin_options_init(struct admin_options *options);

/* Makes a listener with /metrics, /healthz and /readyz that does not listen yet. */
struct admin *admin_new(const struct admin_options *options);

/* Adds a route; only before admin_start. A segment `*` of the path matches any text, see
 * admin_request_segment. `method` is not copied and must outlive the listener. */
void admin_route(struct admin *admin, const char *method, const char *path, admin_handler handler,
                 void *user);

/* Starts to listen. Returns false and sets ERROR_KIND_INVALID_CONFIGURATION if it can't listen. */
bool admin_start(struct admin *admin, GError **error);

/* Returns the bound port; only after admin_start. */
uint16_t admin_port(const struct admin *admin);

/* Waits for running handlers, closes all connections and frees the listener. */
void admin_stop(struct admin *admin);

/* Returns the text that matched the route's `*` number `index`, from 0. */
const char *admin_request_segment(const struct admin_request *request, size_t index);

/* Returns the request's body. */
const char *admin_request_body(const struct admin_request *request, size_t *length);

/* Returns a query parameter, or NULL. */
const char *admin_query_text(const struct admin_request *request, const char *name);

/* Reads a query parameter as a number from 0 to `max`. Leaves `value` unchanged if the parameter is
 * absent. Fails with ERROR_KIND_BAD_REQUEST. */
bool admin_query_number(const struct admin_request *request, const char *name, uint64_t max,
                        uint64_t *value, GError **error);

/* As admin_query_number, for `true` and `false`. */
bool admin_query_flag(const struct admin_request *request, const char *name, bool *value,
                      GError **error);

/* Fills the answer with an error of SW_ERROR as {"error":{"kind","text"}} and with the HTTP status
 * of its kind. An error of another domain is reported as ERROR_KIND_INTERNAL. */
void admin_answer_error(struct admin_answer *answer, const GError *error);

#endif
