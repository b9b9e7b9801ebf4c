#include "frontend/request_body.h"

#include "core/error.h"
#include "frontend/json_check.h"
#include "generated/errors.h"

#include <json-glib/json-glib.h>
#include <math.h>
#include <string.h>

/* State of the parser: the limits, and where errors are stored. */
struct body_reader {
    const struct request_body_limits *limits;
    uint32_t *position;
    GError **error;
};

__attribute__((format(printf, 3, 4))) static bool
fail(struct body_reader *reader, enum error_kind kind, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    g_set_error_literal(reader->error, SW_ERROR, (int)kind, text);
    return false;
}

static bool is_string(JsonNode *node)
{
    return JSON_NODE_HOLDS_VALUE(node) && json_node_get_value_type(node) == G_TYPE_STRING;
}

/* Rejects members that are not in `known`, a NULL-terminated list. */
static bool check_members(struct body_reader *reader, JsonObject *object, const char *where,
                          const char *const *known)
{
    g_autoptr(GList) names = json_object_get_members(object);
    for (GList *name = names; name != NULL; name = name->next) {
        if (!g_strv_contains(known, name->data)) {
            return fail(reader, ERROR_KIND_BAD_REQUEST, "%sunknown member \"%s\"", where,
                        (const char *)name->data);
        }
    }
    return true;
}

/* The text with the fewest digits, from 15 to 17, that reads back as the same number. */
static char *number_text(double number)
{
    char text[G_ASCII_DTOSTR_BUF_SIZE];
    for (int digits = 15; digits <= 17; digits++) {
        char format[8];
        g_snprintf(format, sizeof(format), "%%.%dg", digits);
        g_ascii_formatd(text, sizeof(text), format, number);
        if (g_ascii_strtod(text, NULL) == number) {
            break;
        }
    }
    return g_strdup(text);
}

static bool read_parameter(struct body_reader *reader, const char *where, unsigned index,
                           JsonNode *node, struct sql_value *out)
{
    if (JSON_NODE_HOLDS_NULL(node)) {
        out->is_null = true;
        return true;
    }
    if (!JSON_NODE_HOLDS_VALUE(node)) {
        return fail(reader, ERROR_KIND_BAD_REQUEST,
                    "%sparameters[%u] is not a string, number, boolean or null", where, index);
    }
    switch (json_node_get_value_type(node)) {
    case G_TYPE_STRING:
        out->text = g_strdup(json_node_get_string(node));
        break;
    case G_TYPE_BOOLEAN:
        out->text = g_strdup(json_node_get_boolean(node) ? "true" : "false");
        break;
    case G_TYPE_INT64:
        out->text = g_strdup_printf("%" G_GINT64_FORMAT, json_node_get_int(node));
        break;
    default:
        if (!isfinite(json_node_get_double(node))) {
            return fail(reader, ERROR_KIND_BAD_REQUEST, "%sparameters[%u] is out of range", where,
                        index);
        }
        out->text = number_text(json_node_get_double(node));
        break;
    }
    if (strlen(out->text) > PARAMETER_BYTES_MAX) {
        return fail(reader, ERROR_KIND_TOO_LARGE, "%sparameters[%u] is over %u bytes", where, index,
                    PARAMETER_BYTES_MAX);
    }
    return true;
}

static bool read_parameters(struct body_reader *reader, const char *where, JsonNode *node,
                            struct sql_statement *out)
{
    if (!JSON_NODE_HOLDS_ARRAY(node)) {
        return fail(reader, ERROR_KIND_BAD_REQUEST, "%s\"parameters\" is not an array", where);
    }
    JsonArray *array = json_node_get_array(node);
    unsigned count = json_array_get_length(array);
    if (count > reader->limits->parameters_max) {
        return fail(reader, ERROR_KIND_TOO_LARGE, "%smore than %u parameters", where,
                    reader->limits->parameters_max);
    }
    out->parameters = g_new0(struct sql_value, count);
    out->parameters_count = count;
    for (unsigned i = 0; i < count; i++) {
        if (!read_parameter(reader, where, i, json_array_get_element(array, i),
                            &out->parameters[i])) {
            return false;
        }
    }
    return true;
}

static bool read_access(struct body_reader *reader, const char *where, JsonNode *node,
                        enum access_mode *out)
{
    const char *name = is_string(node) ? json_node_get_string(node) : "";
    if (strcmp(name, "read") == 0) {
        *out = ACCESS_MODE_READ;
        return true;
    }
    if (strcmp(name, "write") == 0) {
        *out = ACCESS_MODE_WRITE;
        return true;
    }
    return fail(reader, ERROR_KIND_BAD_REQUEST, "%s\"access\" is neither \"read\" nor \"write\"",
                where);
}

static bool read_sql(struct body_reader *reader, const char *where, JsonNode *node, char **out)
{
    if (node == NULL) {
        return fail(reader, ERROR_KIND_BAD_REQUEST, "%s\"sql\" is missing", where);
    }
    if (!is_string(node)) {
        return fail(reader, ERROR_KIND_BAD_REQUEST, "%s\"sql\" is not a string", where);
    }
    const char *sql = json_node_get_string(node);
    if (sql[0] == '\0') {
        return fail(reader, ERROR_KIND_BAD_REQUEST, "%s\"sql\" is empty", where);
    }
    if (strlen(sql) > SQL_BYTES_MAX) {
        return fail(reader, ERROR_KIND_TOO_LARGE, "%s\"sql\" is over %u bytes", where,
                    SQL_BYTES_MAX);
    }
    *out = g_strdup(sql);
    return true;
}

/* Reads one statement; `where` is the prefix of its error messages. */
static bool read_statement(struct body_reader *reader, const char *where, JsonObject *object,
                           struct sql_statement *out)
{
    static const char *const known[] = {"sql", "parameters", "access", NULL};
    if (!check_members(reader, object, where, known) ||
        !read_sql(reader, where, json_object_get_member(object, "sql"), &out->sql)) {
        return false;
    }
    JsonNode *parameters = json_object_get_member(object, "parameters");
    if (parameters != NULL && !read_parameters(reader, where, parameters, out)) {
        return false;
    }
    JsonNode *access = json_object_get_member(object, "access");
    return access == NULL || read_access(reader, where, access, &out->access);
}

static bool read_single(struct body_reader *reader, JsonObject *object, struct request *request)
{
    request->statements = g_new0(struct sql_statement, 1);
    request->statements_count = 1;
    return read_statement(reader, "", object, &request->statements[0]);
}

static bool read_batch_statements(struct body_reader *reader, JsonNode *node,
                                  struct request *request)
{
    if (!JSON_NODE_HOLDS_ARRAY(node)) {
        return fail(reader, ERROR_KIND_BAD_REQUEST, "\"statements\" is not an array");
    }
    JsonArray *array = json_node_get_array(node);
    unsigned count = json_array_get_length(array);
    if (count == 0) {
        return fail(reader, ERROR_KIND_BAD_REQUEST, "\"statements\" is empty");
    }
    if (count > reader->limits->statements_max) {
        return fail(reader, ERROR_KIND_TOO_LARGE, "more than %u statements",
                    reader->limits->statements_max);
    }
    request->statements = g_new0(struct sql_statement, count);
    request->statements_count = count;
    for (unsigned i = 0; i < count; i++) {
        g_autofree char *where = g_strdup_printf("statements[%u]: ", i);
        JsonNode *element = json_array_get_element(array, i);
        if (!JSON_NODE_HOLDS_OBJECT(element)) {
            return fail(reader, ERROR_KIND_BAD_REQUEST, "%snot an object", where);
        }
        if (!read_statement(reader, where, json_node_get_object(element),
                            &request->statements[i])) {
            return false;
        }
    }
    return true;
}

static bool read_batch(struct body_reader *reader, JsonObject *object, struct request *request)
{
    static const char *const known[] = {"statements", NULL};
    request->kind = REQUEST_KIND_BATCH;
    return check_members(reader, object, "", known) &&
           read_batch_statements(reader, json_object_get_member(object, "statements"), request);
}

static bool read_begin(struct body_reader *reader, JsonObject *object, struct request *request)
{
    static const char *const known[] = {"begin", "access", NULL};
    request->kind = REQUEST_KIND_BEGIN;
    if (!check_members(reader, object, "", known)) {
        return false;
    }
    JsonNode *begin = json_object_get_member(object, "begin");
    if (!JSON_NODE_HOLDS_VALUE(begin) || json_node_get_value_type(begin) != G_TYPE_BOOLEAN ||
        !json_node_get_boolean(begin)) {
        return fail(reader, ERROR_KIND_BAD_REQUEST, "\"begin\" is not true");
    }
    enum access_mode access = ACCESS_MODE_WRITE;
    JsonNode *declared = json_object_get_member(object, "access");
    if (declared != NULL && !read_access(reader, "", declared, &access)) {
        return false;
    }
    request->read_only = access == ACCESS_MODE_READ;
    return true;
}

static bool read_transaction(struct body_reader *reader, JsonObject *object,
                             struct request *request)
{
    if (json_object_has_member(object, "statements")) {
        return read_batch(reader, object, request);
    }
    if (json_object_has_member(object, "begin")) {
        return read_begin(reader, object, request);
    }
    return fail(reader, ERROR_KIND_BAD_REQUEST, "neither \"statements\" nor \"begin\" is given");
}

static bool read_end(struct body_reader *reader, JsonObject *object)
{
    static const char *const known[] = {NULL};
    return check_members(reader, object, "", known);
}

static bool read_object(struct body_reader *reader, JsonObject *object, enum endpoint endpoint,
                        struct request *request)
{
    switch (endpoint) {
    case ENDPOINT_STATEMENTS:
        request->kind = REQUEST_KIND_STATEMENT;
        return read_single(reader, object, request);
    case ENDPOINT_TRANSACTIONS:
        return read_transaction(reader, object, request);
    case ENDPOINT_TRANSACTION_STATEMENTS:
        request->kind = REQUEST_KIND_CONTINUE;
        return read_single(reader, object, request);
    case ENDPOINT_TRANSACTION_COMMIT:
        request->kind = REQUEST_KIND_COMMIT;
        return read_end(reader, object);
    case ENDPOINT_TRANSACTION_ROLLBACK:
        request->kind = REQUEST_KIND_ROLLBACK;
        return read_end(reader, object);
    }
    return false;
}

/* Describes a syntax error of json-glib. Its own messages are not used, because they contain
 * positions in another form. */
static const char *syntax_error_text(const GError *cause)
{
    if (!g_error_matches(cause, JSON_PARSER_ERROR, cause->code)) {
        return "it can not be parsed";
    }
    switch (cause->code) {
    case JSON_PARSER_ERROR_TRAILING_COMMA:
        return "a comma is followed by nothing";
    case JSON_PARSER_ERROR_MISSING_COMMA:
        return "a comma is missing";
    case JSON_PARSER_ERROR_MISSING_COLON:
        return "a colon is missing";
    case JSON_PARSER_ERROR_EMPTY_MEMBER_NAME:
        return "a member's name is empty";
    case JSON_PARSER_ERROR_INVALID_BAREWORD:
    case JSON_PARSER_ERROR_PARSE:
    default:
        return "it can not be parsed";
    }
}

/* Position at which json-glib stopped: the line, from 1, and the byte in that line. */
struct parse_position {
    unsigned line;
    unsigned column;
};

/* Called by json-glib on an error, while the parser's position is still available. */
static void save_parse_position(JsonParser *parser, gpointer error, gpointer user)
{
    struct parse_position *place = user;
    place->line = json_parser_get_current_line(parser);
    place->column = json_parser_get_current_pos(parser);
}

/* Converts a position to the 1-based byte in the body. */
static uint32_t position_of(const char *body, size_t length, const struct parse_position *place)
{
    size_t begin = 0;
    for (unsigned line = 1; line < place->line; line++) {
        const char *end = memchr(body + begin, '\n', length - begin);
        if (end == NULL) {
            break;
        }
        begin = (size_t)(end - body) + 1;
    }
    return (uint32_t)MIN(MAX(begin + place->column, 1), length);
}

/* Counts members, to detect duplicate names: json-glib emits a signal for each member, but keeps
 * only the last of several members with the same name. */
static void count_member(JsonParser *parser, JsonObject *object, const char *name, gpointer user)
{
    unsigned *count = user;
    (*count)++;
}

/* Number of members of all objects in the tree. */
static unsigned tree_members(JsonNode *node)
{
    unsigned count = 0;
    if (JSON_NODE_HOLDS_OBJECT(node)) {
        JsonObjectIter iterator;
        JsonNode *value = NULL;
        json_object_iter_init(&iterator, json_node_get_object(node));
        while (json_object_iter_next(&iterator, NULL, &value)) {
            count += 1 + tree_members(value);
        }
    } else if (JSON_NODE_HOLDS_ARRAY(node)) {
        JsonArray *array = json_node_get_array(node);
        for (guint i = 0; i < json_array_get_length(array); i++) {
            count += tree_members(json_array_get_element(array, i));
        }
    }
    return count;
}

/* Parses the text into an object; the caller frees the node. */
static JsonNode *parse_object(struct body_reader *reader, const char *body, size_t length)
{
    struct json_fault fault;
    if (!json_check(body, length, &fault)) {
        *reader->position = (uint32_t)fault.offset + 1;
        fail(reader, ERROR_KIND_BAD_REQUEST, "the body is not valid JSON: %s", fault.text);
        return NULL;
    }
    g_autoptr(JsonParser) parser = json_parser_new();
    unsigned members = 0;
    g_signal_connect(parser, "object-member", G_CALLBACK(count_member), &members);
    struct parse_position place = {0, 0};
    g_signal_connect(parser, "error", G_CALLBACK(save_parse_position), &place);
    g_autoptr(GError) cause = NULL;
    if (!json_parser_load_from_data(parser, body, (gssize)length, &cause)) {
        *reader->position = position_of(body, length, &place);
        fail(reader, ERROR_KIND_BAD_REQUEST, "the body is not valid JSON: %s",
             syntax_error_text(cause));
        return NULL;
    }
    JsonNode *root = json_parser_get_root(parser);
    if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
        fail(reader, ERROR_KIND_BAD_REQUEST, "the body is not a JSON object");
        return NULL;
    }
    if (tree_members(root) != members) {
        fail(reader, ERROR_KIND_BAD_REQUEST, "a member of an object is given twice");
        return NULL;
    }
    return json_parser_steal_root(parser);
}

bool request_body_parse(const char *body, size_t length, enum endpoint endpoint,
                        const struct request_body_limits *limits, struct request *request,
                        uint32_t *position, GError **error)
{
    struct body_reader reader = {.limits = limits, .position = position, .error = error};
    *position = 0;
    if (length == 0) {
        body = "{}";
        length = strlen(body);
    }
    g_autoptr(JsonNode) root = parse_object(&reader, body, length);
    return root != NULL && read_object(&reader, json_node_get_object(root), endpoint, request);
}
