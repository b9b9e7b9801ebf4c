/* The operators' HTTP listener: metrics, health and the daemon's own calls, on one thread and, by
 * default, on loopback only. The daemon registers its calls as routes before it starts.
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

/* An answer in the making. */
struct admin_answer {
    unsigned status;          /* preset to 200 */
    GString *body;            /* empty */
    const char *content_type; /* preset to ADMIN_TYPE_JSON; static text */
};

typedef void (*admin_handler)(const struct admin_request *request, struct admin_answer *answer,
                              void *user);

struct admin_options {
    const char *address; /* IP number; default 127.0.0.1 */
    uint16_t port;       /* 0: any free one, see admin_port */
    bool remote_control; /* callers from other machines may use methods beside GET */
    uint32_t body_bytes_max;
    struct metrics *metrics; /* for /metrics; outlives the listener */

    /* For /readyz: whether the daemon takes requests; if not, appends the reason. NULL: always. */
    bool (*ready)(GString *reason, void *user);
    void *user;
};

/* Loopback, and sensible bounds. */
void admin_options_init(struct admin_options *options);

/* A listener that does not listen yet, with /metrics, /healthz and /readyz. */
struct admin *admin_new(const struct admin_options *options);

/* Adds a route before admin_start. A segment `*` of the path stands for any text, see
 * admin_request_segment. Texts are kept, not copied. */
void admin_route(struct admin *admin, const char *method, const char *path, admin_handler handler,
                 void *user);

/* Starts to listen. False with ERROR_KIND_INVALID_CONFIGURATION where it can't. */
bool admin_start(struct admin *admin, GError **error);

/* The port bound, once started. */
uint16_t admin_port(const struct admin *admin);

/* Ends the answers under way, closes and frees all. */
void admin_stop(struct admin *admin);

/* The text of the path's `*` number `index`, from 0. */
const char *admin_request_segment(const struct admin_request *request, size_t index);

/* The request's body. */
const char *admin_request_body(const struct admin_request *request, size_t *length);

/* A query parameter, or NULL. */
const char *admin_query_text(const struct admin_request *request, const char *name);

/* A query parameter as a number of 0 to `max`; `value` stays as it is where there is none. Fails
 * with ERROR_KIND_BAD_REQUEST. */
bool admin_query_number(const struct admin_request *request, const char *name, uint64_t max,
                        uint64_t *value, GError **error);

/* The same for `true` and `false`. */
bool admin_query_flag(const struct admin_request *request, const char *name, bool *value,
                      GError **error);

/* Answers with an error of SW_ERROR as {"error":{"kind","text"}} and the table's status. */
void admin_answer_error(struct admin_answer *answer, const GError *error);

#endif
