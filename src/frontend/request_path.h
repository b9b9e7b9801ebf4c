/* Parser of the paths of the HTTP API: the endpoint, the tenant and the transaction. */
#ifndef SW_FRONTEND_REQUEST_PATH_H
#define SW_FRONTEND_REQUEST_PATH_H

#include <glib.h>
#include <stdbool.h>

#define TENANT_NAME_MAX    128
#define TRANSACTION_ID_MAX 96

enum endpoint {
    ENDPOINT_STATEMENTS,             /* /v1/tenants/T/statements */
    ENDPOINT_TRANSACTIONS,           /* /v1/tenants/T/transactions */
    ENDPOINT_TRANSACTION_STATEMENTS, /* /v1/tenants/T/transactions/ID/statements */
    ENDPOINT_TRANSACTION_COMMIT,     /* /v1/tenants/T/transactions/ID/commit */
    ENDPOINT_TRANSACTION_ROLLBACK,   /* /v1/tenants/T/transactions/ID/rollback */
};

struct request_path {
    enum endpoint endpoint;
    char *tenant;
    char *transaction_id; /* NULL if the endpoint has none */
};

/* Parses a path. Fails with ERROR_KIND_BAD_REQUEST; `path` is then empty. */
bool request_path_parse(const char *text, struct request_path *path, GError **error);

/* Frees the content and leaves `path` empty. */
void request_path_clear(struct request_path *path);

#endif
