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

/* The exit code of an error that the daemon names by kind, else by status. */
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

/* The object under "error" of an answer such as {"error":{"kind":KIND,"text":TEXT}}, or NULL. */
static JsonObject *find_error(JsonNode *node)
{
    JsonObject *object =
        node != NULL && JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : NULL;
    JsonNode *error = object != NULL ? json_object_get_member(object, "error") : NULL;

    return error != NULL && JSON_NODE_HOLDS_OBJECT(error) ? json_node_get_object(error) : NULL;
}

/* Shows the error that the daemon names, else the status alone. */
static enum exit_code write_refusal(struct invocation *invocation, JsonNode *node, long status)
{
    JsonObject *error = find_error(node);
    const char *kind =
        error != NULL ? json_object_get_string_member_with_default(error, "kind", NULL) : NULL;
    const char *message =
        error != NULL ? json_object_get_string_member_with_default(error, "text", NULL) : NULL;
    g_autofree char *fallback = g_strdup_printf("the daemon answered with status %ld", status);

    return command_fail_text(invocation, refused_exit_code(kind, status),
                             kind != NULL ? kind : "refused", message != NULL ? message : fallback);
}

static void write_answer(struct invocation *invocation, JsonNode *node)
{
    if (!invocation->json) {
        output_json_as_text(node, invocation->output);
        return;
    }
    g_autofree char *text = json_to_string(node, TRUE);
    g_string_append_printf(invocation->output, "%s\n", text);
}

static enum exit_code read_answer(struct invocation *invocation, const struct http_answer *answer)
{
    g_autoptr(JsonParser) parser = json_parser_new();
    bool is_json = json_parser_load_from_data(parser, (const char *)answer->body->data,
                                              answer->body->len, NULL);
    JsonNode *node = is_json ? json_parser_get_root(parser) : NULL;

    if (!is_done(answer->status)) {
        return write_refusal(invocation, node, answer->status);
    }
    if (node == NULL) {
        return command_fail_text(invocation, EXIT_CODE_INTERNAL, "internal",
                                 "the daemon's answer is not JSON");
    }
    write_answer(invocation, node);
    return EXIT_CODE_DONE;
}

/* A call that was sent without an answer may have taken effect, if it changes anything. */
static enum exit_code unanswered_exit_code(enum http_outcome outcome, bool is_write)
{
    return outcome == HTTP_OUTCOME_NO_ANSWER && is_write ? EXIT_CODE_UNKNOWN
                                                         : EXIT_CODE_UNAVAILABLE;
}

/* Sends one call. Where it gets no answer, says so and sets the exit code. */
static bool call_daemon(struct invocation *invocation, const char *method, const char *path,
                        const char *query, struct http_answer *answer, enum exit_code *exit_code)
{
    bool is_write = strcmp(method, "GET") != 0;
    g_autofree char *url =
        g_strconcat(command_admin_url(invocation), path, query != NULL ? "?" : "", query, NULL);
    struct platform_settings settings = platform_settings_default();
    struct http_request request = {
        .method = method,
        .url = url,
        .body = is_write ? "" : NULL,
        .answer_bytes_max = ANSWER_BYTES_MAX,
        .is_write = is_write,
    };
    g_autoptr(GError) error = NULL;

    settings.connect_timeout_ms = CONNECT_TIMEOUT_MS;
    settings.call_timeout_ms = (uint32_t)invocation->timeout_ms;
    struct http_client *client = http_client_new(&settings);
    enum http_outcome outcome = http_client_call(client, &request, answer, &error);
    http_client_free(client);
    if (outcome != HTTP_OUTCOME_ANSWERED) {
        *exit_code = unanswered_exit_code(outcome, is_write);
        const char *kind = *exit_code == EXIT_CODE_UNKNOWN ? "outcome_unknown" : "peer_unreachable";
        command_fail_text(invocation, *exit_code, kind, error->message);
    }
    return outcome == HTTP_OUTCOME_ANSWERED;
}

enum exit_code admin_client_call(struct invocation *invocation, const char *method,
                                 const char *path, const char *query)
{
    struct http_answer answer;
    enum exit_code exit_code;

    if (!call_daemon(invocation, method, path, query, &answer, &exit_code)) {
        return exit_code;
    }
    exit_code = read_answer(invocation, &answer);
    g_byte_array_unref(answer.body);
    return exit_code;
}

/* Writes the octets of an answer to a file, and tells how many there were. */
static enum exit_code save_answer(struct invocation *invocation, const struct http_answer *answer,
                                  const char *file)
{
    g_autoptr(JsonNode) node = json_node_new(JSON_NODE_OBJECT);
    JsonObject *object = json_object_new();

    json_object_set_string_member(object, "file", file);
    json_object_set_int_member(object, "octets", answer->body->len);
    json_node_take_object(node, object);
    if (!g_file_set_contents(file, (const char *)answer->body->data, (gssize)answer->body->len,
                             NULL)) {
        g_autofree char *text = g_strdup_printf("%s can't be written", file);
        return command_fail_text(invocation, EXIT_CODE_INTERNAL, "internal", text);
    }
    write_answer(invocation, node);
    return EXIT_CODE_DONE;
}

enum exit_code admin_client_save(struct invocation *invocation, const char *path, const char *query,
                                 const char *file)
{
    struct http_answer answer;
    enum exit_code exit_code;

    if (!call_daemon(invocation, "GET", path, query, &answer, &exit_code)) {
        return exit_code;
    }
    exit_code = is_done(answer.status) ? save_answer(invocation, &answer, file)
                                       : read_answer(invocation, &answer);
    g_byte_array_unref(answer.body);
    return exit_code;
}
