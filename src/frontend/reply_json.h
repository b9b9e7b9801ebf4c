/* The body of an answer: a reply as JSON. */
#ifndef SW_FRONTEND_REPLY_JSON_H
#define SW_FRONTEND_REPLY_JSON_H

#include "generated/errors.h"
#include "generated/messages.h"

#include <glib.h>

/* Properties of the request that determine the form of its answer. */
struct reply_shape {
    enum request_kind kind;
    bool keyed; /* the request has an idempotency key */
};

/* Returns whether and how the caller may send the request again. Without an idempotency key, a
 * request of unknown outcome must not be sent again, because it could run twice. */
enum error_retry reply_retry(const struct reply *reply, const struct reply_shape *shape);

/* Returns the name of a retry rule, as sent to callers. */
const char *error_retry_name(enum error_retry retry);

/* Returns the JSON text of a reply, an object on one line. The caller frees it. */
GString *reply_to_json(const struct reply *reply, const struct reply_shape *shape);

#endif
