/* Calls of a daemon's admin listener. */
#include "ctl/admin_client.h"

#include <string.h>

#include "core/error.h"
#include "ctl/output.h"
#include "generated/errors.h"

#define ANSWER_BYTES_MAX   (16 * 1024 * 1024)
#define CONNECT_TIMEOUT_MS 2000
#define STATUS_OK_FIRST    200
#define STATUS_OK_LAST     299

void admin_query_add(GString *query, const char *name, const char *value)
{
    if (value == NULL) {
        return;
    }
    if (query->len > 0) {
        g_string_append_c(query, '&');
    }
    g_string_append_printf(query, "%s=", name);
    g_string_append_uri_escaped(query, value, NULL, FALSE);
}

static bool is_done(long status)
{
    return status >= STATUS_OK_FIRST && status <= STATUS_OK_LAST;
}

/* The exit code for an error: by its kind if the daemon names one, else by the HTTP status. */
static enum exit_code refused_exit_code(const char *kind_name, long status)
{
    enum error_kind kind = ERROR_KIND_INTERNAL;

    if (status == 404) {
        return EXIT_CODE_NOT_FOUND;
    }
    if (kind_name != NULL && error_kind_from_name(kind_name, &kind)) {
        g_autoptr(GError) error = g_error_new_literal(SW_ERROR, (gint)kind, "");
        enum exit_code exit_code = exit_code_of_error(error);
        return exit_code == EXIT_CODE_INTERNAL ? EXIT_CODE_REFUSED : exit_code;
    }
    return EXIT_CODE_REFUSED;
}

/* The object under "error" of a reply such as {"error":{"kind":KIND,"text":TEXT}}, or NULL. */
static JsonObject *find_error(JsonNode *node)
{
    JsonObject *object =
        node != NULL && JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : NULL;
    JsonNode *error = object != NULL ? json_object_get_member(object, "error") : NULL;

    return error != NULL && JSON_NODE_HOLDS_OBJECT(error) ? json_node_get_object(error) : NULL;
}

/* Takes the error from the reply; without one, the text names the HTTP status. */
static void set_refusal(struct admin_result *result, JsonNode *node, long status)
{
    JsonObject *error = find_error(node);
    const char *kind =
        error != NULL ? json_object_get_string_member_with_default(error, "kind", NULL) : NULL;
    const char *text =
        error != NULL ? json_object_get_string_member_with_default(error, "text", NULL) : NULL;
    result->exit_code = refused_exit_code(kind, status);
    result->kind = g_strdup(kind != NULL ? kind : "refused");
    result->text = text != NULL ? g_strdup(text)
                                : g_strdup_printf("the daemon answered with status %ld", status);
}

static void take_answer(struct admin_result *result, const struct http_answer *answer)
{
    g_autoptr(JsonParser) parser = json_parser_new();
    bool is_json = json_parser_load_from_data(parser, (const char *)answer->body->data,
                                              answer->body->len, NULL);
    JsonNode *node = is_json ? json_parser_get_root(parser) : NULL;

    if (!is_done(answer->status)) {
        set_refusal(result, node, answer->status);
    } else if (node == NULL) {
        result->exit_code = EXIT_CODE_INTERNAL;
        result->kind = g_strdup("internal");
        result->text = g_strdup("the daemon's answer is not JSON");
    } else {
        result->node = json_parser_steal_root(parser);
    }
}

/* Sets the error for a call without a reply. If the call changes anything, it may have taken
 * effect. */
static void set_no_reply(struct admin_result *result, enum http_outcome outcome, bool is_write,
                         const char *text)
{
    bool unknown = outcome == HTTP_OUTCOME_NO_ANSWER && is_write;
    result->exit_code = unknown ? EXIT_CODE_UNKNOWN : EXIT_CODE_UNAVAILABLE;
    result->kind = g_strdup(unknown ? "outcome_unknown" : "peer_unreachable");
    result->text = g_strdup(text);
}

/* Sends one call. Without a reply, sets the error in the result and returns false. */
static bool call_daemon(const struct invocation *invocation, const char *admin_url,
                        const char *method, const char *path, const char *query,
                        struct http_answer *answer, struct admin_result *result)
{
    bool is_write = strcmp(method, "GET") != 0;
    g_autofree char *url = g_strconcat(admin_url, path, query != NULL ? "?" : "", query, NULL);
    struct platform_settings settings = platform_settings_default();
    struct http_request request = {
        .method = method,
        .url = url,
        .body = is_write ? "" : NULL,
        .answer_bytes_max = ANSWER_BYTES_MAX,
        .is_write = is_write,
    };
    g_autoptr(GError) error = NULL;

    memset(result, 0, sizeof(*result));
    settings.connect_timeout_ms = CONNECT_TIMEOUT_MS;
    settings.call_timeout_ms = (uint32_t)invocation->timeout_ms;
    struct http_client *client = http_client_new(&settings);
    enum http_outcome outcome = http_client_call(client, &request, answer, &error);
    http_client_free(client);
    if (outcome != HTTP_OUTCOME_ANSWERED) {
        set_no_reply(result, outcome, is_write, error->message);
    }
    return outcome == HTTP_OUTCOME_ANSWERED;
}

void admin_client_fetch(const struct invocation *invocation, const char *admin_url,
                        const char *method, const char *path, const char *query,
                        struct admin_result *result)
{
    struct http_answer answer;

    if (call_daemon(invocation, admin_url, method, path, query, &answer, result)) {
        take_answer(result, &answer);
        g_byte_array_unref(answer.body);
    }
}

void admin_result_clear(struct admin_result *result)
{
    g_clear_pointer(&result->node, json_node_unref);
    g_clear_pointer(&result->kind, g_free);
    g_clear_pointer(&result->text, g_free);
}

void admin_client_write(struct invocation *invocation, JsonNode *node)
{
    if (!invocation->json) {
        output_json_as_text(node, invocation->output);
        return;
    }
    g_autofree char *text = json_to_string(node, TRUE);
    g_string_append_printf(invocation->output, "%s\n", text);
}

/* Writes the reply or the error, and clears the result. */
static enum exit_code write_result(struct invocation *invocation, struct admin_result *result)
{
    enum exit_code exit_code = result->exit_code;

    if (result->node != NULL) {
        admin_client_write(invocation, result->node);
    } else {
        command_fail_text(invocation, exit_code, result->kind, result->text);
    }
    admin_result_clear(result);
    return exit_code;
}

enum exit_code admin_client_call(struct invocation *invocation, const char *method,
                                 const char *path, const char *query)
{
    struct admin_result result;

    admin_client_fetch(invocation, command_admin_url(invocation, 0), method, path, query, &result);
    return write_result(invocation, &result);
}

/* Writes the body of a reply to a file; the result holds its size. */
static void save_body(struct admin_result *result, const struct http_answer *answer,
                      const char *file)
{
    JsonObject *object;

    if (!g_file_set_contents(file, (const char *)answer->body->data, (gssize)answer->body->len,
                             NULL)) {
        result->exit_code = EXIT_CODE_INTERNAL;
        result->kind = g_strdup("internal");
        result->text = g_strdup_printf("can't write %s", file);
        return;
    }
    object = json_object_new();
    json_object_set_string_member(object, "file", file);
    json_object_set_int_member(object, "octets", answer->body->len);
    result->node = json_node_new(JSON_NODE_OBJECT);
    json_node_take_object(result->node, object);
}

enum exit_code admin_client_save(struct invocation *invocation, const char *path, const char *query,
                                 const char *file)
{
    const char *admin_url = command_admin_url(invocation, 0);
    struct http_answer answer;
    struct admin_result result;

    if (call_daemon(invocation, admin_url, "GET", path, query, &answer, &result)) {
        if (is_done(answer.status)) {
            save_body(&result, &answer, file);
        } else {
            take_answer(&result, &answer);
        }
        g_byte_array_unref(answer.body);
    }
    return write_result(invocation, &result);
}
