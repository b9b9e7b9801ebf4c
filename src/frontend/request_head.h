/* The headers of a request. */
#ifndef SW_FRONTEND_REQUEST_HEAD_H
#define SW_FRONTEND_REQUEST_HEAD_H

#include "generated/messages.h"
#include "session/token.h"

#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#define HEADER_IDEMPOTENCY_KEY "Idempotency-Key"
#define HEADER_SESSION         "Swiftworks-Session"
#define HEADER_TIMEOUT         "Request-Timeout-Ms"
#define HEADER_REQUEST_ID      "Request-Id"

#define IDEMPOTENCY_KEY_MAX 128
#define REQUEST_ID_MAX      64

/* Headers that a request may have once; NULL if absent. The texts belong to the connection. */
struct request_head {
    const char *idempotency_key;
    const char *session;
    const char *timeout;
    const char *request_id;
    const char *repeated; /* name of a header that occurs more than once, or NULL */
};

/* Collects the headers of a connection's current request. */
void request_head_collect(struct MHD_Connection *connection, struct request_head *head);

/* Returns the request id in the header, or a random one if the header is absent or not valid. The
 * caller frees it. */
char *request_head_id(const struct request_head *head);

/* Checks the headers and sets idempotency_key, session and budget_ms. budget_ms is `timeout_ms` if
 * the request has no time-out, and at most `timeout_ms_max` if it has one. Fails with
 * ERROR_KIND_BAD_REQUEST or ERROR_KIND_BAD_SESSION. */
bool request_head_parse(const struct request_head *head, const struct token_keys *keys,
                        uint32_t timeout_ms, uint32_t timeout_ms_max, struct request *request,
                        GError **error);

#endif
