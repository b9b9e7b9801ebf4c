/* The object store's calls. */
#include "standins/platform/object_api.h"

#include <string.h>

struct object_api_answer object_api_error(unsigned status, const char *code, const char *message)
{
    char *xml = g_strdup_printf("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n"
                                "<Error><Code>%s</Code><Message>%s</Message></Error>",
                                code, message);

    return (struct object_api_answer){status, "application/xml",
                                      g_bytes_new_take(xml, strlen(xml))};
}

static struct object_api_answer get_object(GHashTable *objects, const char *path)
{
    GBytes *object = g_hash_table_lookup(objects, path);

    if (object == NULL) {
        return object_api_error(404, "NoSuchKey", "The specified key does not exist.");
    }
    return (struct object_api_answer){200, "application/octet-stream", g_bytes_ref(object)};
}

static struct object_api_answer put_object(GHashTable *objects, const char *path,
                                           const char *if_none_match, const GByteArray *body)
{
    if (g_strcmp0(if_none_match, "*") == 0 && g_hash_table_contains(objects, path)) {
        return object_api_error(412, "PreconditionFailed",
                                "At least one of the pre-conditions you specified did not hold");
    }
    g_hash_table_replace(objects, g_strdup(path), g_bytes_new(body->data, body->len));
    return (struct object_api_answer){200, "application/xml", g_bytes_new_static("", 0)};
}

struct object_api_answer object_api_call(GHashTable *objects, const char *method, const char *path,
                                         const char *if_none_match, const GByteArray *body)
{
    const char *key = strchr(path + 1, '/');

    if (key == NULL || key[1] == '\0') {
        return object_api_error(400, "InvalidRequest", "The path is not /BUCKET/KEY.");
    }
    if (strcmp(method, "PUT") == 0) {
        return put_object(objects, path, if_none_match, body);
    }
    if (strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0) {
        return get_object(objects, path);
    }
    return object_api_error(405, "MethodNotAllowed", "The method is not allowed.");
}
