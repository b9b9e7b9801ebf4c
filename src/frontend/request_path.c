#include "frontend/request_path.h"

#include "core/error.h"
#include "generated/errors.h"

#include <string.h>

/* Segments of a path: "", "v1", "tenants", T, ... */
enum path_segment {
    PATH_SEGMENT_ROOT,
    PATH_SEGMENT_VERSION,
    PATH_SEGMENT_TENANTS,
    PATH_SEGMENT_TENANT,
    PATH_SEGMENT_COLLECTION,
    PATH_SEGMENT_TRANSACTION,
    PATH_SEGMENT_ACTION,
    PATH_SEGMENTS_MAX,
};

#define PATH_SEGMENTS_OF_COLLECTION (PATH_SEGMENT_COLLECTION + 1)
#define PATH_SEGMENTS_OF_ACTION     (PATH_SEGMENT_ACTION + 1)

static bool is_name(const char *text, size_t length_max)
{
    size_t length = strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                                 "0123456789._-");
    return length > 0 && length <= length_max && text[length] == '\0';
}

static bool set_path_error(GError **error, const char *reason)
{
    g_set_error_literal(error, SW_ERROR, ERROR_KIND_BAD_REQUEST, reason);
    return false;
}

static bool find_collection(const char *name, enum endpoint *endpoint)
{
    if (strcmp(name, "statements") == 0) {
        *endpoint = ENDPOINT_STATEMENTS;
        return true;
    }
    if (strcmp(name, "transactions") == 0) {
        *endpoint = ENDPOINT_TRANSACTIONS;
        return true;
    }
    return false;
}

static bool find_action(const char *name, enum endpoint *endpoint)
{
    if (strcmp(name, "statements") == 0) {
        *endpoint = ENDPOINT_TRANSACTION_STATEMENTS;
        return true;
    }
    if (strcmp(name, "commit") == 0) {
        *endpoint = ENDPOINT_TRANSACTION_COMMIT;
        return true;
    }
    if (strcmp(name, "rollback") == 0) {
        *endpoint = ENDPOINT_TRANSACTION_ROLLBACK;
        return true;
    }
    return false;
}

static bool find_endpoint(char **segments, enum endpoint *endpoint)
{
    unsigned count = g_strv_length(segments);
    if (count != PATH_SEGMENTS_OF_COLLECTION && count != PATH_SEGMENTS_OF_ACTION) {
        return false;
    }
    if (segments[PATH_SEGMENT_ROOT][0] != '\0' ||
        strcmp(segments[PATH_SEGMENT_VERSION], "v1") != 0 ||
        strcmp(segments[PATH_SEGMENT_TENANTS], "tenants") != 0) {
        return false;
    }
    if (!find_collection(segments[PATH_SEGMENT_COLLECTION], endpoint)) {
        return false;
    }
    if (count == PATH_SEGMENTS_OF_COLLECTION) {
        return true;
    }
    return *endpoint == ENDPOINT_TRANSACTIONS &&
           find_action(segments[PATH_SEGMENT_ACTION], endpoint);
}

bool request_path_parse(const char *text, struct request_path *path, GError **error)
{
    memset(path, 0, sizeof(*path));
    g_auto(GStrv) segments = g_strsplit(text, "/", PATH_SEGMENTS_MAX + 1);
    enum endpoint endpoint = ENDPOINT_STATEMENTS;
    if (!find_endpoint(segments, &endpoint)) {
        return set_path_error(error, "The path is not that of an endpoint.");
    }
    if (!is_name(segments[PATH_SEGMENT_TENANT], TENANT_NAME_MAX)) {
        return set_path_error(error, "The tenant's name in the path is not valid.");
    }
    bool has_transaction = g_strv_length(segments) == PATH_SEGMENTS_OF_ACTION;
    if (has_transaction && !is_name(segments[PATH_SEGMENT_TRANSACTION], TRANSACTION_ID_MAX)) {
        return set_path_error(error, "The transaction id in the path is not valid.");
    }
    path->endpoint = endpoint;
    path->tenant = g_strdup(segments[PATH_SEGMENT_TENANT]);
    if (has_transaction) {
        path->transaction_id = g_strdup(segments[PATH_SEGMENT_TRANSACTION]);
    }
    return true;
}

void request_path_clear(struct request_path *path)
{
    g_free(path->tenant);
    g_free(path->transaction_id);
    memset(path, 0, sizeof(*path));
}
