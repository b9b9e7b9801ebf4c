/* The body of an answer: a reply as JSON. */
#ifndef SW_FRONTEND_REPLY_JSON_H
#define SW_FRONTEND_REPLY_JSON_H

#include "generated/errors.h"
#include "generated/messages.h"

#include <glib.h>

/* What of the request shapes its answer. */
struct reply_shape {
    enum request_kind kind;
    bool keyed; /* the request carried an idempotency key */
};

/* Whether and how the caller may send the request again. Without a key, a request of unknown
 * outcome must not be sent again. */
enum error_retry reply_retry(const struct reply *reply, const struct reply_shape *shape);

/* The name of a retry answer, as callers see it. */
const char *error_retry_name(enum error_retry retry);

/* The JSON text of a reply, an object on one line. */
GString *reply_to_json(const struct reply *reply, const struct reply_shape *shape);

#endif
