#include "sql/classify.h"

#include "core/error.h"
#include "generated/errors.h"
#include "sql/functions.h"
#include "sql/statements.h"

#include <json-glib/json-glib.h>
#include <pg_query.h>
#include <string.h>

/* Maximum depth of the parse tree's JSON; one level of an expression takes about two. */
#define TREE_DEPTH_MAX 1000

/* Names with this prefix, in upper or lower case, are reserved for the proxy and its databases. */
#define RESERVED_PREFIX        "swiftworks_"
#define TEMPORARY_SCHEMA       "pg_temp"
#define CATALOG_SCHEMA         "pg_catalog"
#define TEMPORARY_PERSISTENCE  "t"
#define SETTINGS_VIEW          "pg_settings"
#define PARSER_STACK_EXHAUSTED "memory exhausted"

/* State of the search of one parse tree. */
struct tree_search {
    const char *sql;
    struct sql_class *found;
    bool in_definition; /* inside DDL: names in lists are those of objects defined or dropped */
    GError **error;
};

static bool search_node(struct tree_search *search, JsonNode *node);

/* Converts a byte offset in the statement to the 1-based position of its character; 0 if the offset
 * is out of range. */
static uint32_t character_at(const char *sql, gint64 offset)
{
    if (offset < 0 || (size_t)offset > strlen(sql)) {
        return 0;
    }
    return (uint32_t)g_utf8_strlen(sql, (gssize)offset) + 1;
}

__attribute__((format(printf, 3, 4))) static bool refuse(struct tree_search *search, gint64 offset,
                                                         const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    search->found->error_position = character_at(search->sql, offset);
    g_set_error_literal(search->error, SW_ERROR, ERROR_KIND_STATEMENT_REFUSED, text);
    return false;
}

static void set_write(struct tree_search *search)
{
    search->found->access = ACCESS_MODE_WRITE;
    search->found->assumed = false;
}

static void assume_write(struct tree_search *search)
{
    if (search->found->access == ACCESS_MODE_READ) {
        search->found->access = ACCESS_MODE_WRITE;
        search->found->assumed = true;
    }
}

static const char *text_member(JsonObject *object, const char *name)
{
    return json_object_get_string_member_with_default(object, name, "");
}

static gint64 location_of(JsonObject *object)
{
    return json_object_get_int_member_with_default(object, "location", 0);
}

static bool is_reserved(const char *name)
{
    return g_ascii_strncasecmp(name, RESERVED_PREFIX, strlen(RESERVED_PREFIX)) == 0;
}

/* The text of item `index` of a list of String nodes, or "". */
static const char *name_at(JsonArray *names, guint index)
{
    JsonNode *item = json_array_get_element(names, index);
    if (!JSON_NODE_HOLDS_OBJECT(item)) {
        return "";
    }
    JsonNode *string = json_object_get_member(json_node_get_object(item), "String");
    if (string == NULL || !JSON_NODE_HOLDS_OBJECT(string)) {
        return "";
    }
    return text_member(json_node_get_object(string), "sval");
}

static bool check_function_effect(struct tree_search *search, const char *name, gint64 location)
{
    switch (function_effect_of(name)) {
    case FUNCTION_EFFECT_READ:
        return true;
    case FUNCTION_EFFECT_WRITE:
        set_write(search);
        return true;
    case FUNCTION_EFFECT_SESSION:
        return refuse(search, location, "function %s is refused: it uses the state of a session",
                      name);
    case FUNCTION_EFFECT_CONTROL:
        return refuse(search, location, "function %s is refused: it is not served", name);
    case FUNCTION_EFFECT_UNKNOWN:
    default:
        assume_write(search);
        return true;
    }
}

static bool check_function(struct tree_search *search, JsonObject *call)
{
    JsonArray *names = json_object_get_array_member(call, "funcname");
    guint count = json_array_get_length(names);
    const char *name = name_at(names, count - 1);
    const char *schema = count > 1 ? name_at(names, count - 2) : CATALOG_SCHEMA;
    gint64 location = location_of(call);
    if (is_reserved(name) || is_reserved(schema)) {
        return refuse(search, location, "function %s is refused: names with %s are reserved", name,
                      RESERVED_PREFIX);
    }
    if (g_str_has_prefix(schema, TEMPORARY_SCHEMA)) {
        return refuse(search, location, "function %s is refused: it exists in one session only",
                      name);
    }
    if (strcmp(schema, CATALOG_SCHEMA) == 0) {
        return check_function_effect(search, name, location);
    }
    assume_write(search);
    return true;
}

static bool check_relation(struct tree_search *search, JsonObject *relation)
{
    const char *name = text_member(relation, "relname");
    const char *schema = text_member(relation, "schemaname");
    gint64 location = location_of(relation);
    if (is_reserved(name) || is_reserved(schema)) {
        return refuse(search, location, "table %s is refused: names with %s are reserved", name,
                      RESERVED_PREFIX);
    }
    if (strcmp(text_member(relation, "relpersistence"), TEMPORARY_PERSISTENCE) == 0 ||
        g_str_has_prefix(schema, TEMPORARY_SCHEMA)) {
        return refuse(search, location,
                      "table %s is refused: a temporary table belongs to a session", name);
    }
    return true;
}

/* Rejects updates of pg_settings, because they change settings of the session. */
static bool check_update_target(struct tree_search *search, JsonObject *update)
{
    JsonObject *relation = json_object_get_object_member(update, "relation");
    if (relation != NULL && strcmp(text_member(relation, "relname"), SETTINGS_VIEW) == 0) {
        return refuse(search, location_of(relation),
                      "table %s is refused: writing it changes the state of a session",
                      SETTINGS_VIEW);
    }
    return true;
}

/* Whether an option of EXPLAIN is on, as in `ANALYZE`, `ANALYZE true` or `ANALYZE 1`. */
static bool option_is_on(JsonObject *option)
{
    JsonNode *argument = json_object_get_member(option, "arg");
    if (argument == NULL) {
        return true;
    }
    g_autofree char *text = json_to_string(argument, FALSE);
    g_autofree char *folded = g_ascii_strdown(text, -1);
    return strstr(folded, "\"off\"") == NULL && strstr(folded, "\"false\"") == NULL &&
           strstr(folded, "\"integer\":{}") == NULL;
}

static bool explain_runs_statement(JsonObject *explain)
{
    if (!json_object_has_member(explain, "options")) {
        return false;
    }
    JsonArray *options = json_object_get_array_member(explain, "options");
    bool runs = false;
    for (guint i = 0; i < json_array_get_length(options); i++) {
        JsonObject *item = json_array_get_object_element(options, i);
        JsonObject *option = json_object_get_object_member(item, "DefElem");
        if (option != NULL && strcmp(text_member(option, "defname"), "analyze") == 0) {
            runs = option_is_on(option);
        }
    }
    return runs;
}

/* EXPLAIN without ANALYZE is a read, also for a statement that writes, because it is not run. */
static bool search_explain(struct tree_search *search, JsonObject *explain)
{
    struct sql_class before = *search->found;
    if (!search_node(search, json_object_get_member(explain, "query"))) {
        return false;
    }
    if (!explain_runs_statement(explain)) {
        *search->found = before;
    }
    return true;
}

static bool search_members(struct tree_search *search, JsonObject *object);

static bool search_definition(struct tree_search *search, const char *node, JsonObject *statement)
{
    bool concurrent = json_object_get_boolean_member_with_default(statement, "concurrent", FALSE);
    if (concurrent) {
        return refuse(search, 0, "CONCURRENTLY is refused: it can not run in a transaction");
    }
    const char *dropped = text_member(statement, "removeType");
    if (strcmp(node, "DropStmt") == 0 && strcmp(dropped, "OBJECT_SCHEMA") == 0) {
        return refuse(search, 0, "DROP SCHEMA is refused: the schema may hold reserved tables");
    }
    bool outer = search->in_definition;
    search->in_definition = true;
    set_write(search);
    bool served = search_members(search, statement);
    search->in_definition = outer;
    return served;
}

static bool search_statement(struct tree_search *search, const char *node, JsonObject *statement)
{
    const struct statement_entry *entry = statement_entry_of(node);
    switch (entry->rule) {
    case STATEMENT_RULE_READ:
        return search_members(search, statement);
    case STATEMENT_RULE_WRITE:
        set_write(search);
        return check_update_target(search, statement) && search_members(search, statement);
    case STATEMENT_RULE_DEFINITION:
        return search_definition(search, node, statement);
    case STATEMENT_RULE_EXPLAIN:
        return search_explain(search, statement);
    case STATEMENT_RULE_REFUSED:
    default:
        return refuse(search, 0, "%s is refused: %s", entry->name, entry->reason);
    }
}

/* Rejects reserved names of objects that a definition creates, renames or drops. */
static bool check_defined_name(struct tree_search *search, const char *member, const char *value)
{
    static const char *const names[] = {"sval",    "newname",    "newschema", "schemaname",
                                        "idxname", "indexspace", NULL};
    if (search->in_definition && g_strv_contains(names, member) && is_reserved(value)) {
        return refuse(search, 0, "%s is refused: names with %s are reserved", value,
                      RESERVED_PREFIX);
    }
    return true;
}

static bool search_member(struct tree_search *search, const char *name, JsonNode *value)
{
    if (strcmp(name, "A_Const") == 0) {
        return true;
    }
    if (JSON_NODE_HOLDS_OBJECT(value)) {
        JsonObject *object = json_node_get_object(value);
        if (statement_is_node(name)) {
            return search_statement(search, name, object);
        }
        if (strcmp(name, "CurrentOfExpr") == 0) {
            return refuse(search, 0, "CURRENT OF is refused: a cursor belongs to a session");
        }
        return search_members(search, object);
    }
    if (strcmp(name, "lockingClause") == 0) {
        set_write(search);
    }
    if (JSON_NODE_HOLDS_VALUE(value) && json_node_get_value_type(value) == G_TYPE_STRING) {
        return check_defined_name(search, name, json_node_get_string(value));
    }
    return search_node(search, value);
}

static bool search_members(struct tree_search *search, JsonObject *object)
{
    if (json_object_has_member(object, "relpersistence") && !check_relation(search, object)) {
        return false;
    }
    if (json_object_has_member(object, "funcname") && !check_function(search, object)) {
        return false;
    }
    if (json_object_has_member(object, "intoClause")) {
        set_write(search);
    }
    JsonObjectIter iterator;
    const char *name = NULL;
    JsonNode *value = NULL;
    json_object_iter_init(&iterator, object);
    while (json_object_iter_next(&iterator, &name, &value)) {
        if (!search_member(search, name, value)) {
            return false;
        }
    }
    return true;
}

static bool search_node(struct tree_search *search, JsonNode *node)
{
    if (node == NULL) {
        return true;
    }
    if (JSON_NODE_HOLDS_OBJECT(node)) {
        return search_members(search, json_node_get_object(node));
    }
    if (!JSON_NODE_HOLDS_ARRAY(node)) {
        return true;
    }
    JsonArray *array = json_node_get_array(node);
    for (guint i = 0; i < json_array_get_length(array); i++) {
        if (!search_node(search, json_array_get_element(array, i))) {
            return false;
        }
    }
    return true;
}

/* Depth of nested objects and arrays in the parser's JSON. Computed before json-glib parses the
 * text, which recurses. */
static unsigned tree_depth(const char *json)
{
    unsigned depth = 0;
    unsigned deepest = 0;
    bool in_string = false;
    for (const char *next = json; *next != '\0'; next++) {
        if (in_string && *next == '\\') {
            next++;
        } else if (*next == '"') {
            in_string = !in_string;
        } else if (!in_string && (*next == '{' || *next == '[')) {
            depth++;
            deepest = MAX(deepest, depth);
        } else if (!in_string && (*next == '}' || *next == ']')) {
            depth--;
        }
    }
    return deepest;
}

static bool fail(GError **error, enum error_kind kind, const char *text)
{
    g_set_error_literal(error, SW_ERROR, (int)kind, text);
    return false;
}

/* Skips the white space before a statement that begins at `offset`. */
static gint64 skip_space(const char *sql, gint64 offset)
{
    while (g_ascii_isspace(sql[offset])) {
        offset++;
    }
    return offset;
}

static bool search_statements(struct tree_search *search, JsonArray *statements)
{
    if (json_array_get_length(statements) == 0) {
        return fail(search->error, ERROR_KIND_BAD_REQUEST, "the statement is empty");
    }
    if (json_array_get_length(statements) > 1) {
        JsonObject *second = json_array_get_object_element(statements, 1);
        gint64 offset = json_object_get_int_member_with_default(second, "stmt_location", 0);
        return refuse(
            search, skip_space(search->sql, offset),
            "several statements are refused: send one, or a transaction with all of them");
    }
    JsonObject *statement = json_array_get_object_element(statements, 0);
    bool served = search_node(search, json_object_get_member(statement, "stmt"));
    if (!served && search->found->error_position <= 1) {
        search->found->error_position = character_at(search->sql, skip_space(search->sql, 0));
    }
    return served;
}

static bool search_tree(const char *sql, const char *json, struct sql_class *out, GError **error)
{
    if (tree_depth(json) > TREE_DEPTH_MAX) {
        return fail(error, ERROR_KIND_TOO_LARGE, "the statement is nested too deeply");
    }
    g_autoptr(JsonParser) parser = json_parser_new();
    if (!json_parser_load_from_data(parser, json, -1, NULL)) {
        return fail(error, ERROR_KIND_STATEMENT_REFUSED,
                    "the parse tree of the statement can not be read");
    }
    JsonObject *root = json_node_get_object(json_parser_get_root(parser));
    struct tree_search search = {.sql = sql, .found = out, .error = error};
    return search_statements(&search, json_object_get_array_member(root, "stmts"));
}

static bool fail_parse(const PgQueryError *cause, struct sql_class *out, GError **error)
{
    if (g_str_has_prefix(cause->message, PARSER_STACK_EXHAUSTED)) {
        return fail(error, ERROR_KIND_TOO_LARGE, "the statement is nested too deeply");
    }
    out->error_position = cause->cursorpos > 0 ? (uint32_t)cause->cursorpos : 0;
    return fail(error, ERROR_KIND_BAD_REQUEST, cause->message);
}

bool sql_classify(const char *sql, struct sql_class *out, GError **error)
{
    *out = (struct sql_class){.access = ACCESS_MODE_READ};
    if (strlen(sql) > SQL_CLASSIFY_BYTES_MAX) {
        return fail(error, ERROR_KIND_TOO_LARGE, "the statement is too long");
    }
    PgQueryParseResult parsed = pg_query_parse(sql);
    bool served = false;
    if (parsed.error != NULL) {
        served = fail_parse(parsed.error, out, error);
    } else {
        served = search_tree(sql, parsed.parse_tree, out, error);
    }
    pg_query_free_parse_result(parsed);
    return served;
}

bool sql_access_resolve(const struct sql_class *found, enum access_mode declared,
                        enum access_mode *access, GError **error)
{
    *access = found->access;
    if (declared == ACCESS_MODE_WRITE) {
        *access = ACCESS_MODE_WRITE;
        return true;
    }
    if (declared == ACCESS_MODE_READ && found->access == ACCESS_MODE_WRITE) {
        if (!found->assumed) {
            return fail(error, ERROR_KIND_STATEMENT_REFUSED,
                        "the statement writes but is declared a read");
        }
        *access = ACCESS_MODE_READ;
    }
    return true;
}
