/* The body of a request: strict JSON into statements. */
#ifndef SW_FRONTEND_REQUEST_BODY_H
#define SW_FRONTEND_REQUEST_BODY_H

#include "frontend/request_path.h"
#include "generated/messages.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Longest text of one statement, in octets; the schema's bound. */
#define SQL_OCTETS_MAX 65536

/* Longest text of one parameter, in octets; the schema's bound. */
#define PARAMETER_OCTETS_MAX 1048576

struct request_body_limits {
    uint32_t statements_max;
    uint32_t parameters_max;
};

/* Reads the body of a request to `endpoint` and fills kind, statements with their declared access,
 * and read_only of a transaction that begins with "access": "read". An empty body stands for `{}`
 * where nothing must be said. Fails with ERROR_KIND_BAD_REQUEST or ERROR_KIND_TOO_LARGE and the
 * 1-based octet in `position`, 0 where no place in the body is at fault; `request` then holds
 * nothing new that needs freeing beyond request_clear. */
bool request_body_parse(const char *body, size_t length, enum endpoint endpoint,
                        const struct request_body_limits *limits, struct request *request,
                        uint32_t *position, GError **error);

#endif
