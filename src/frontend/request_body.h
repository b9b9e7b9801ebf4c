/* Parser of request bodies: strict JSON to statements. */
#ifndef SW_FRONTEND_REQUEST_BODY_H
#define SW_FRONTEND_REQUEST_BODY_H

#include "frontend/request_path.h"
#include "generated/messages.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Maximum size of one statement's text, in bytes; equal to the bound in schema/messages.json. */
#define SQL_BYTES_MAX 65536

/* Maximum size of one parameter's text, in bytes; equal to the bound in schema/messages.json. */
#define PARAMETER_BYTES_MAX 1048576

struct request_body_limits {
    uint32_t statements_max;
    uint32_t parameters_max;
};

/* Parses the body of a request to `endpoint`. Sets kind, the statements with their declared access,
 * and read_only for a transaction that begins with "access": "read". An empty body is equivalent to
 * `{}`. Fails with ERROR_KIND_BAD_REQUEST or ERROR_KIND_TOO_LARGE; `position` is then the 1-based
 * byte of the error in the body, or 0 if it has no position. The caller frees the content of
 * `request` by request_clear, also on failure. */
bool request_body_parse(const char *body, size_t length, enum endpoint endpoint,
                        const struct request_body_limits *limits, struct request *request,
                        uint32_t *position, GError **error);

#endif
