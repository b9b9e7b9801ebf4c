/* The headers of an answer. */
#ifndef SW_FRONTEND_REPLY_HEADERS_H
#define SW_FRONTEND_REPLY_HEADERS_H

#include "frontend/reply_json.h"
#include "generated/messages.h"
#include "session/token.h"

#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

/* Retry delay sent if the reply has none. */
#define RETRY_AFTER_DEFAULT_MS 1000

/* Input of the headers in addition to the reply. */
struct reply_context {
    const char *request_id;
    uint32_t group;
    const struct group_position *session; /* positions in the request's session token */
    size_t session_count;
    const struct token_keys *token_keys;
    const char *(*reason_name)(uint32_t reason); /* may be NULL */
    bool closes;                                 /* the connection is closed after this answer */
};

/* Adds all headers of `reply` to `response`. */
void reply_headers_add(struct MHD_Response *response, const struct reply *reply,
                       const struct reply_shape *shape, const struct reply_context *context);

#endif
