/* Typed reading of JSON with a path for every value. */
#include "configuration/bundle_reader.h"

#include <stdio.h>
#include <string.h>

#include "configuration/problem.h"

/* json-glib parses by recursion, so depth is bounded before it starts. */
#define BUNDLE_DEPTH_MAX 16

/* Longest quotation of a value in a problem, in characters. */
#define BUNDLE_VALUE_SHOWN_MAX 60

/* Most allowed names that a problem lists. */
#define BUNDLE_NAMES_SHOWN_MAX 8

/* Counts of the members read so far of each object, to detect duplicates. */
struct duplicate_check {
    struct bundle_reader *reader;
    GHashTable *member_counts; /* JsonObject (referenced) -> count */
};

static void append_pointer(GString *text, const struct bundle_path *path)
{
    if (path == NULL || path->name == NULL) {
        return;
    }
    append_pointer(text, path->parent);
    g_string_append_c(text, '/');
    for (const char *character = path->name; *character != '\0'; character++) {
        if (*character == '~') {
            g_string_append(text, "~0");
        } else if (*character == '/') {
            g_string_append(text, "~1");
        } else {
            g_string_append_c(text, *character);
        }
    }
}

/* The JSON Pointer of a path; "/" stands for the whole document. */
static char *pointer_text(const struct bundle_path *path)
{
    GString *text = g_string_new(NULL);

    append_pointer(text, path);
    if (text->len == 0) {
        g_string_append_c(text, '/');
    }
    return g_string_free(text, FALSE);
}

/* The value as JSON, truncated to whole characters. */
static char *value_text(JsonNode *node)
{
    g_autofree char *json = json_to_string(node, FALSE);

    if (g_utf8_strlen(json, -1) <= BUNDLE_VALUE_SHOWN_MAX) {
        return g_steal_pointer(&json);
    }
    g_autofree char *start = g_utf8_substring(json, 0, BUNDLE_VALUE_SHOWN_MAX);
    return g_strconcat(start, "...", NULL);
}

void bundle_reader_fault(struct bundle_reader *reader, const struct bundle_path *path,
                         JsonNode *node, const char *fault, const char *allowed)
{
    g_autofree char *pointer = pointer_text(path);
    g_autofree char *value = node != NULL ? value_text(node) : NULL;

    configuration_problems_add(reader->problems, reader->source, pointer, value, fault, allowed);
}

/* True if brackets outside strings nest at most BUNDLE_DEPTH_MAX deep. */
static bool depth_is_bounded(const char *json, gsize length)
{
    guint depth = 0;
    bool in_string = false;

    for (gsize i = 0; i < length; i++) {
        char character = json[i];
        if (in_string && character == '\\') {
            i++;
        } else if (character == '"') {
            in_string = !in_string;
        } else if (!in_string && (character == '{' || character == '[')) {
            depth++;
        } else if (!in_string && (character == '}' || character == ']') && depth > 0) {
            depth--;
        }
        if (depth > BUNDLE_DEPTH_MAX) {
            return false;
        }
    }
    return true;
}

/* json-glib silently keeps the last of two members with one name; a bundle must not have both. The
 * object's size does not grow with a duplicate, so the count of members exceeds it then. */
static void on_object_member(JsonParser *parser, JsonObject *object, const char *name,
                             gpointer user_data)
{
    struct duplicate_check *check = user_data;
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(check->member_counts, object)) + 1;

    if (count > json_object_get_size(object)) {
        g_autofree char *line = g_strdup_printf("line %u", json_parser_get_current_line(parser));
        g_autofree char *quoted = g_strdup_printf("\"%s\"", name);
        configuration_problems_add(check->reader->problems, check->reader->source, line, quoted,
                                   "is given twice in one object", "each member once");
        count = json_object_get_size(object);
    }
    g_hash_table_insert(check->member_counts, json_object_ref(object), GUINT_TO_POINTER(count));
}

/* json-glib starts the text of a syntax error with "<data>:LINE:COLUMN: ". */
static void add_parse_fault(struct bundle_reader *reader, const GError *error)
{
    unsigned line = 0;
    unsigned column = 0;
    int prefix_length = 0;
    const char *reason = error->message;
    g_autofree char *path = NULL;

    if (sscanf(error->message, "<data>:%u:%u: %n", &line, &column, &prefix_length) == 2 &&
        prefix_length > 0) {
        reason += prefix_length;
        path = g_strdup_printf("line %u, column %u", line, column);
    }
    g_autofree char *fault = g_strdup_printf("is not JSON (%s)", reason);
    configuration_problems_add(reader->problems, reader->source, path != NULL ? path : "/",
                               "the text", fault, "JSON in UTF-8");
}

JsonNode *bundle_reader_load(struct bundle_reader *reader, const char *json, gsize length)
{
    struct bundle_path root = {NULL, NULL};

    if (!depth_is_bounded(json, length)) {
        g_autofree char *allowed = g_strdup_printf("at most %d levels", BUNDLE_DEPTH_MAX);
        bundle_reader_fault(reader, &root, NULL, "nested too deep", allowed);
        return NULL;
    }

    guint problems_before = reader->problems->len;
    struct duplicate_check check = {
        .reader = reader,
        .member_counts = g_hash_table_new_full(NULL, NULL, (GDestroyNotify)json_object_unref, NULL),
    };
    g_autoptr(JsonParser) parser = json_parser_new();
    g_autoptr(GError) error = NULL;
    g_signal_connect(parser, "object-member", G_CALLBACK(on_object_member), &check);
    if (!json_parser_load_from_data(parser, json, (gssize)length, &error)) {
        add_parse_fault(reader, error);
    }
    g_hash_table_unref(check.member_counts);
    if (reader->problems->len > problems_before) {
        return NULL;
    }
    JsonNode *node = json_parser_steal_root(parser);
    if (node == NULL) {
        bundle_reader_fault(reader, &root, NULL, "the text is empty", "an object");
    }
    return node;
}

JsonObject *bundle_reader_object(struct bundle_reader *reader, const struct bundle_path *path,
                                 JsonNode *node)
{
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        bundle_reader_fault(reader, path, node, "is not an object", "an object");
        return NULL;
    }
    return json_node_get_object(node);
}

JsonArray *bundle_reader_array(struct bundle_reader *reader, const struct bundle_path *path,
                               JsonNode *node, guint minimum, guint maximum)
{
    JsonArray *array = JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) : NULL;
    guint length = array != NULL ? json_array_get_length(array) : 0;

    if (array != NULL && length >= minimum && length <= maximum) {
        return array;
    }
    g_autofree char *allowed = g_strdup_printf("an array of %u to %u", minimum, maximum);
    g_autofree char *fault =
        array != NULL ? g_strdup_printf("has %u elements", length) : g_strdup("is not an array");
    bundle_reader_fault(reader, path, array != NULL ? NULL : node, fault, allowed);
    return NULL;
}

bool bundle_reader_integer(struct bundle_reader *reader, const struct bundle_path *path,
                           JsonNode *node, int64_t minimum, int64_t maximum, int64_t *value)
{
    bool is_integer = JSON_NODE_HOLDS_VALUE(node) && json_node_get_value_type(node) == G_TYPE_INT64;
    int64_t number = is_integer ? json_node_get_int(node) : 0;

    if (is_integer && number >= minimum && number <= maximum) {
        *value = number;
        return true;
    }
    g_autofree char *allowed = bundle_integer_allowed(minimum, maximum);
    bundle_reader_fault(reader, path, node, is_integer ? "is out of range" : "is not an integer",
                        allowed);
    return false;
}

bool bundle_reader_boolean(struct bundle_reader *reader, const struct bundle_path *path,
                           JsonNode *node, bool *value)
{
    if (!JSON_NODE_HOLDS_VALUE(node) || json_node_get_value_type(node) != G_TYPE_BOOLEAN) {
        bundle_reader_fault(reader, path, node, "is not a boolean", "true or false");
        return false;
    }
    *value = json_node_get_boolean(node);
    return true;
}

const char *bundle_reader_string(struct bundle_reader *reader, const struct bundle_path *path,
                                 JsonNode *node, const char *allowed)
{
    if (!JSON_NODE_HOLDS_VALUE(node) || json_node_get_value_type(node) != G_TYPE_STRING) {
        bundle_reader_fault(reader, path, node, "is not a string", allowed);
        return NULL;
    }
    return json_node_get_string(node);
}

JsonNode *bundle_reader_member(struct bundle_reader *reader, const struct bundle_path *path,
                               JsonObject *object, const char *name, const char *allowed)
{
    JsonNode *node = json_object_get_member(object, name);

    if (node == NULL) {
        struct bundle_path member_path = {path, name};
        bundle_reader_fault(reader, &member_path, NULL, "missing", allowed);
    }
    return node;
}

bool bundle_reader_member_integer(struct bundle_reader *reader, const struct bundle_path *path,
                                  JsonObject *object, const char *name, int64_t minimum,
                                  int64_t maximum, int64_t *value)
{
    struct bundle_path member_path = {path, name};
    JsonNode *node = json_object_get_member(object, name);

    if (node != NULL) {
        return bundle_reader_integer(reader, &member_path, node, minimum, maximum, value);
    }
    g_autofree char *allowed = bundle_integer_allowed(minimum, maximum);
    bundle_reader_fault(reader, &member_path, NULL, "missing", allowed);
    return false;
}

const char *bundle_reader_member_string(struct bundle_reader *reader,
                                        const struct bundle_path *path, JsonObject *object,
                                        const char *name, const char *allowed)
{
    struct bundle_path member_path = {path, name};
    JsonNode *node = bundle_reader_member(reader, path, object, name, allowed);

    return node != NULL ? bundle_reader_string(reader, &member_path, node, allowed) : NULL;
}

const char *bundle_reader_peek_string(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);

    if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_STRING) {
        return NULL;
    }
    return json_node_get_string(node);
}

JsonObject *bundle_reader_member_object(struct bundle_reader *reader,
                                        const struct bundle_path *path, JsonObject *object,
                                        const char *name)
{
    struct bundle_path member_path = {path, name};
    JsonNode *node = bundle_reader_member(reader, path, object, name, "an object");

    return node != NULL ? bundle_reader_object(reader, &member_path, node) : NULL;
}

void bundle_reader_refuse_unknown(struct bundle_reader *reader, const struct bundle_path *path,
                                  JsonObject *object, const char *const *known)
{
    JsonObjectIter iterator;
    const char *name = NULL;
    JsonNode *node = NULL;

    json_object_iter_init_ordered(&iterator, object);
    while (json_object_iter_next_ordered(&iterator, &name, &node)) {
        if (!g_strv_contains(known, name)) {
            struct bundle_path member_path = {path, name};
            g_autofree char *allowed = g_strjoinv(", ", (char **)known);
            bundle_reader_fault(reader, &member_path, NULL, "unknown member",
                                known[0] != NULL ? allowed : "none");
        }
    }
}

/* True if `name` consists of a-z, 0-9 and the separator, and does not start with the separator. */
static bool name_is_valid(const char *name, char separator)
{
    size_t length = strlen(name);

    if (length == 0 || length > BUNDLE_NAME_BYTES_MAX || name[0] == separator) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        bool allowed = g_ascii_islower(name[i]) || g_ascii_isdigit(name[i]) || name[i] == separator;
        if (!allowed) {
            return false;
        }
    }
    return true;
}

static bool check_name(struct bundle_reader *reader, const struct bundle_path *path,
                       const char *name, char separator, const char *allowed)
{
    if (name_is_valid(name, separator)) {
        return true;
    }
    g_autoptr(JsonNode) node = json_node_init_string(json_node_alloc(), name);
    bundle_reader_fault(reader, path, node, "is not a name", allowed);
    return false;
}

bool bundle_reader_check_name(struct bundle_reader *reader, const struct bundle_path *path,
                              const char *name)
{
    return check_name(reader, path, name, '-', BUNDLE_NAME_ALLOWED);
}

bool bundle_reader_check_identifier(struct bundle_reader *reader, const struct bundle_path *path,
                                    const char *name)
{
    return check_name(reader, path, name, '_', BUNDLE_IDENTIFIER_ALLOWED);
}

char *bundle_integer_allowed(int64_t minimum, int64_t maximum)
{
    return g_strdup_printf("integer %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, minimum, maximum);
}

char *bundle_names_allowed(const GPtrArray *names)
{
    GString *text = g_string_new(NULL);

    for (guint i = 0; i < names->len && i < BUNDLE_NAMES_SHOWN_MAX; i++) {
        g_string_append(text, i > 0 ? ", " : "");
        g_string_append(text, g_ptr_array_index(names, i));
    }
    if (names->len == 0) {
        g_string_append(text, "none");
    }
    if (names->len > BUNDLE_NAMES_SHOWN_MAX) {
        g_string_append_printf(text, ", ... (%u in all)", names->len);
    }
    return g_string_free(text, FALSE);
}
