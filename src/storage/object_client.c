/* Client of the object store. */
#include "storage/object_client.h"

#include "core/error.h"

#define SERVICE_NAME           "s3"
#define ERROR_ANSWER_BYTES_MAX (64 * 1024)

struct object_client {
    struct http_client *http;
    char *url;
    char *bucket;
};

struct object_client *object_client_new(const struct platform_settings *settings)
{
    struct object_client *client = g_new0(struct object_client, 1);

    client->http = http_client_new(settings);
    client->url = g_strdup(settings->object_url);
    client->bucket = g_strdup(settings->bucket);
    return client;
}

void object_client_free(struct object_client *client)
{
    if (client == NULL) {
        return;
    }
    http_client_free(client->http);
    g_free(client->url);
    g_free(client->bucket);
    g_free(client);
}

/* The result of an HTTP status. The XML body of an error is ignored, as no caller acts on it. */
static enum platform_result classify_status(long status)
{
    switch (status) {
    case 200:
        return PLATFORM_RESULT_OK;
    case 404:
        return PLATFORM_RESULT_NOT_FOUND;
    case 409:
    case 429:
    case 503:
        return PLATFORM_RESULT_THROTTLED;
    case 412:
        return PLATFORM_RESULT_CONDITION_FAILED;
    default:
        return status >= 500 ? PLATFORM_RESULT_UNKNOWN : PLATFORM_RESULT_REFUSED;
    }
}

static enum platform_result call(struct object_client *client, const char *key,
                                 struct http_request *request, struct http_answer *answer,
                                 GError **error)
{
    g_autofree char *url = g_strdup_printf("%s/%s/%s", client->url, client->bucket, key);

    request->url = url;
    request->service = SERVICE_NAME;
    switch (http_client_call(client->http, request, answer, error)) {
    case HTTP_OUTCOME_NOT_SENT:
        return PLATFORM_RESULT_UNAVAILABLE;
    case HTTP_OUTCOME_NO_ANSWER:
        return PLATFORM_RESULT_UNKNOWN;
    case HTTP_OUTCOME_ANSWERED:
        break;
    }
    enum platform_result result = classify_status(answer->status);
    if (result != PLATFORM_RESULT_OK) {
        g_set_error(error, SW_ERROR, platform_result_kind(result), "object store: status %ld",
                    answer->status);
    }
    return result;
}

enum platform_result object_client_put_new(struct object_client *client, const char *key,
                                           GBytes *bytes, GError **error)
{
    const char *headers[] = {"Content-Type: application/octet-stream", "If-None-Match: *", NULL};
    struct http_request request = {
        .method = "PUT",
        .headers = headers,
        .answer_bytes_max = ERROR_ANSWER_BYTES_MAX,
        .is_write = true,
    };
    struct http_answer answer;

    request.body = g_bytes_get_data(bytes, &request.body_length);
    enum platform_result result = call(client, key, &request, &answer, error);
    g_clear_pointer(&answer.body, g_byte_array_unref);
    return result;
}

enum platform_result object_client_get(struct object_client *client, const char *key,
                                       gsize bytes_max, GBytes **bytes, GError **error)
{
    struct http_request request = {
        .method = "GET",
        .answer_bytes_max = MAX(bytes_max, ERROR_ANSWER_BYTES_MAX),
    };
    struct http_answer answer;

    *bytes = NULL;
    enum platform_result result = call(client, key, &request, &answer, error);
    if (result == PLATFORM_RESULT_OK) {
        *bytes = g_byte_array_free_to_bytes(g_steal_pointer(&answer.body));
    }
    g_clear_pointer(&answer.body, g_byte_array_unref);
    return result;
}
