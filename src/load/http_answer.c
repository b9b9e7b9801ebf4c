/* Parses HTTP answers. See http_answer.h. */
#include "load/http_answer.h"

#include <string.h>

static const char HEADER_SESSION[] = "Swiftworks-Session:";
static const char HEADER_SERVED_BY[] = "Swiftworks-Served-By:";
static const char HEADER_RETRY_AFTER[] = "Retry-After-Ms:";

void client_answer_clear(struct client_answer *answer)
{
    g_free(answer->error);
    g_free(answer->text);
    g_free(answer->served_by.daemon);
    g_free(answer->served_by.database);
    g_free(answer->served_by.role);
    g_free(answer->session_token);
    if (answer->rows != NULL) {
        g_ptr_array_unref(answer->rows);
    }
    memset(answer, 0, sizeof(*answer));
}

/* The value of the header `name` if the line contains it, else NULL. */
static const char *header_value(const char *line, const char *name)
{
    size_t length = strlen(name);
    if (g_ascii_strncasecmp(line, name, length) != 0) {
        return NULL;
    }
    const char *value = line + length;
    while (g_ascii_isspace(*value)) {
        value++;
    }
    return value;
}

static void replace_text(char **target, const char *text)
{
    g_free(*target);
    *target = g_strdup(text);
}

/* Parses "daemon=..; database=..; role=..; term=..; offset=..". */
static void read_served_by(struct served_by *served_by, const char *value)
{
    g_auto(GStrv) parts = g_strsplit(value, ";", -1);
    for (guint i = 0; parts[i] != NULL; i++) {
        char *name = g_strstrip(parts[i]);
        char *separator = strchr(name, '=');
        if (separator == NULL) {
            continue;
        }
        *separator = '\0';
        const char *text = separator + 1;
        if (g_str_equal(name, "daemon")) {
            replace_text(&served_by->daemon, text);
        } else if (g_str_equal(name, "database")) {
            replace_text(&served_by->database, text);
        } else if (g_str_equal(name, "role")) {
            replace_text(&served_by->role, text);
        } else if (g_str_equal(name, "term")) {
            served_by->term = g_ascii_strtoull(text, NULL, 10);
        } else if (g_str_equal(name, "offset")) {
            served_by->offset = g_ascii_strtoull(text, NULL, 10);
        }
    }
}

void http_answer_header(struct client_answer *answer, const char *line)
{
    const char *session = header_value(line, HEADER_SESSION);
    if (session != NULL) {
        replace_text(&answer->session_token, session);
    }
    const char *served_by = header_value(line, HEADER_SERVED_BY);
    if (served_by != NULL) {
        read_served_by(&answer->served_by, served_by);
    }
    const char *retry_after = header_value(line, HEADER_RETRY_AFTER);
    if (retry_after != NULL) {
        answer->retry_after_ms = (uint32_t)g_ascii_strtoull(retry_after, NULL, 10);
    }
}

static bool read_error(struct client_answer *answer, JsonObject *object)
{
    JsonNode *node = json_object_get_member(object, "error");
    if (node == NULL || !JSON_NODE_HOLDS_OBJECT(node)) {
        return false;
    }
    JsonObject *error = json_node_get_object(node);
    answer->error = g_strdup(json_object_get_string_member_with_default(error, "kind", NULL));
    answer->text = g_strdup(json_object_get_string_member_with_default(error, "text", NULL));
    const char *retry = json_object_get_string_member_with_default(object, "retry", "");
    return answer->error != NULL && error_retry_parse(retry, &answer->retry);
}

/* The first cell of each row as text. */
static bool read_rows(struct client_answer *answer, JsonObject *object)
{
    JsonNode *node = json_object_get_member(object, "rows");
    if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node)) {
        return false;
    }
    JsonArray *rows = json_node_get_array(node);
    answer->rows = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < json_array_get_length(rows); i++) {
        JsonNode *row = json_array_get_element(rows, i);
        bool has_cell =
            JSON_NODE_HOLDS_ARRAY(row) && json_array_get_length(json_node_get_array(row)) > 0;
        if (!has_cell) {
            return false;
        }
        JsonNode *cell = json_array_get_element(json_node_get_array(row), 0);
        g_ptr_array_add(answer->rows, g_strdup(json_node_get_string(cell)));
    }
    return true;
}

static bool read_body(struct client_answer *answer, JsonObject *object, bool wants_rows)
{
    const char *outcome = json_object_get_string_member_with_default(object, "outcome", "");
    if (!attempt_outcome_parse(outcome, &answer->outcome)) {
        return false;
    }
    if (answer->outcome != ATTEMPT_DONE) {
        return read_error(answer, object);
    }
    return !wants_rows || read_rows(answer, object);
}

void http_answer_body(struct client_answer *answer, const char *body, bool wants_rows)
{
    g_autoptr(JsonNode) node = json_from_string(body, NULL);
    bool is_object = node != NULL && JSON_NODE_HOLDS_OBJECT(node);
    if (!is_object || !read_body(answer, json_node_get_object(node), wants_rows)) {
        answer->outcome = ATTEMPT_LOST;
        replace_text(&answer->text, "the answer is not valid");
    }
}
