/* Reading a daemon's status. */
#include "ctl/daemon_status.h"

#include "core/error.h"
#include "generated/errors.h"

#define CONNECT_TIMEOUT_MS 1000
#define CALL_TIMEOUT_MS    3000
#define ANSWER_BYTES_MAX   (16 * 1024 * 1024)
#define STATUS_OK          200

struct http_client *daemon_status_client_new(void)
{
    struct platform_settings settings = platform_settings_default();

    settings.connect_timeout_ms = CONNECT_TIMEOUT_MS;
    settings.call_timeout_ms = CALL_TIMEOUT_MS;
    return http_client_new(&settings);
}

static void set_error(GError **error, const char *text)
{
    g_set_error_literal(error, SW_ERROR, ERROR_KIND_PEER_UNREACHABLE, text);
}

JsonNode *daemon_status_call(struct http_client *client, const struct http_request *request,
                             long *status, GError **error)
{
    struct http_answer answer;
    struct http_request bounded = *request;

    bounded.answer_bytes_max = ANSWER_BYTES_MAX;
    if (http_client_call(client, &bounded, &answer, error) != HTTP_OUTCOME_ANSWERED) {
        return NULL;
    }
    *status = answer.status;
    g_autoptr(JsonParser) parser = json_parser_new();
    bool parsed = json_parser_load_from_data(parser, (const char *)answer.body->data,
                                             (gssize)answer.body->len, NULL);
    g_byte_array_unref(answer.body);
    JsonNode *root = parsed ? json_parser_steal_root(parser) : NULL;
    if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
        set_error(error, "the answer is not a JSON object");
        g_clear_pointer(&root, json_node_unref);
    }
    return root;
}

JsonNode *daemon_status_read(struct http_client *client, const char *admin_url, GError **error)
{
    long status = 0;
    g_autofree char *url = g_strconcat(admin_url, "/v1/status", NULL);
    const struct http_request request = {.method = "GET", .url = url};
    JsonNode *node = daemon_status_call(client, &request, &status, error);

    if (node == NULL) {
        return NULL;
    }
    JsonNode *configuration = json_object_get_member(json_node_get_object(node), "configuration");
    if (status != STATUS_OK || configuration == NULL || !JSON_NODE_HOLDS_OBJECT(configuration)) {
        set_error(error, "the status contains no configuration");
        g_clear_pointer(&node, json_node_unref);
    }
    return node;
}

uint64_t daemon_status_version(JsonNode *status)
{
    JsonObject *configuration =
        json_object_get_object_member(json_node_get_object(status), "configuration");

    return (uint64_t)json_object_get_int_member_with_default(configuration, "version", 0);
}
