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

/* Headers that a request may carry once; NULL where it does not. Borrowed from the connection. */
struct request_head {
    const char *idempotency_key;
    const char *session;
    const char *timeout;
    const char *request_id;
    const char *repeated; /* name of a header that stands twice, or NULL */
};

/* Collects the headers of a connection's current request. */
void request_head_collect(struct MHD_Connection *connection, struct request_head *head);

/* The caller's request id, or a random one where it gave none or one that is not valid. The caller
 * frees it. */
char *request_head_id(const struct request_head *head);

/* Checks the headers and fills idempotency_key, session and budget_ms, which is `timeout_ms` where
 * the caller does not say and cut to `timeout_ms_max`. Fails with ERROR_KIND_BAD_REQUEST or
 * ERROR_KIND_BAD_SESSION. */
bool request_head_parse(const struct request_head *head, const struct token_keys *keys,
                        uint32_t timeout_ms, uint32_t timeout_ms_max, struct request *request,
                        GError **error);

#endif
