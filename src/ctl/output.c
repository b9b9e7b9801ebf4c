/* Output of swiftctl. */
#include "ctl/output.h"

#include <inttypes.h>

#define COLUMN_GAP  2
#define ABSENT_TEXT "-"

struct output_table *output_table_new(const char *const *columns)
{
    struct output_table *table = g_new0(struct output_table, 1);

    table->columns = columns;
    while (columns[table->column_count] != NULL) {
        table->column_count++;
    }
    table->cells = g_ptr_array_new_with_free_func(g_free);
    return table;
}

void output_table_free(struct output_table *table)
{
    g_ptr_array_unref(table->cells);
    g_free(table);
}

void output_table_add(struct output_table *table, const char *text)
{
    g_ptr_array_add(table->cells, g_strdup(text != NULL ? text : ABSENT_TEXT));
}

void output_table_add_number(struct output_table *table, uint64_t number)
{
    g_ptr_array_add(table->cells, g_strdup_printf("%" PRIu64, number));
}

/* Width of each column in characters. The caller frees it. */
static glong *column_widths(const struct output_table *table)
{
    glong *widths = g_new0(glong, table->column_count);

    for (guint column = 0; column < table->column_count; column++) {
        widths[column] = g_utf8_strlen(table->columns[column], -1);
    }
    for (guint i = 0; i < table->cells->len; i++) {
        guint column = i % table->column_count;
        const char *text = g_ptr_array_index(table->cells, i);
        widths[column] = MAX(widths[column], g_utf8_strlen(text, -1));
    }
    return widths;
}

/* Writes a cell, padded unless it is in the last column. */
static void write_cell(const struct output_table *table, const glong *widths, guint column,
                       const char *text, GString *output)
{
    g_string_append(output, text);
    if (column + 1 == table->column_count) {
        g_string_append_c(output, '\n');
        return;
    }
    glong padding = widths[column] + COLUMN_GAP - g_utf8_strlen(text, -1);
    for (glong i = 0; i < padding; i++) {
        g_string_append_c(output, ' ');
    }
}

void output_table_write(const struct output_table *table, GString *output)
{
    if (table->column_count == 0) {
        return;
    }
    glong *widths = column_widths(table);
    for (guint column = 0; column < table->column_count; column++) {
        g_autofree char *heading = g_ascii_strup(table->columns[column], -1);
        write_cell(table, widths, column, heading, output);
    }
    for (guint i = 0; i < table->cells->len; i++) {
        write_cell(table, widths, i % table->column_count, g_ptr_array_index(table->cells, i),
                   output);
    }
    g_free(widths);
}

void output_json(JsonObject *object, GString *output)
{
    g_autoptr(JsonNode) node = json_node_new(JSON_NODE_OBJECT);

    json_node_take_object(node, object);
    g_autofree char *text = json_to_string(node, TRUE);
    g_string_append(output, text);
    g_string_append_c(output, '\n');
}

/* True for a log position: an object of exactly "term" and "offset". */
static bool is_position(JsonNode *node)
{
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        return false;
    }
    JsonObject *object = json_node_get_object(node);
    return json_object_get_size(object) == 2 && json_object_has_member(object, "term") &&
           json_object_has_member(object, "offset");
}

/* A value on one line: a string without quotes, a position as TERM/OFFSET, anything else as JSON.
 */
static char *value_text(JsonNode *node)
{
    if (is_position(node)) {
        JsonObject *position = json_node_get_object(node);
        return g_strdup_printf("%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT,
                               json_object_get_int_member(position, "term"),
                               json_object_get_int_member(position, "offset"));
    }
    if (JSON_NODE_HOLDS_VALUE(node) && json_node_get_value_type(node) == G_TYPE_STRING) {
        return json_node_dup_string(node);
    }
    return json_to_string(node, FALSE);
}

static bool is_table(JsonNode *node)
{
    if (!JSON_NODE_HOLDS_ARRAY(node)) {
        return false;
    }
    JsonArray *array = json_node_get_array(node);
    return json_array_get_length(array) > 0 &&
           JSON_NODE_HOLDS_OBJECT(json_array_get_element(array, 0));
}

/* Names of the first row's members that are (or are not) tables themselves, NULL-terminated. The
 * row's object owns the names; the caller frees the array. */
static GPtrArray *member_names(JsonArray *array, bool of_tables)
{
    JsonObject *first = json_array_get_object_element(array, 0);
    g_autoptr(GList) members = json_object_get_members(first);
    GPtrArray *names = g_ptr_array_new();

    for (GList *member = members; member != NULL; member = member->next) {
        if (is_table(json_object_get_member(first, member->data)) == of_tables) {
            g_ptr_array_add(names, member->data);
        }
    }
    g_ptr_array_add(names, NULL);
    return names;
}

/* A row's member; NULL if it is missing. */
static JsonNode *row_member(JsonArray *array, guint row, const char *name)
{
    JsonNode *node = json_array_get_element(array, row);

    return JSON_NODE_HOLDS_OBJECT(node) ? json_object_get_member(json_node_get_object(node), name)
                                        : NULL;
}

static void write_rows(JsonArray *array, const char *const *columns, GString *output)
{
    struct output_table *table = output_table_new(columns);

    for (guint row = 0; row < json_array_get_length(array); row++) {
        for (guint column = 0; column < table->column_count; column++) {
            JsonNode *value = row_member(array, row, columns[column]);
            g_autofree char *text = value != NULL ? value_text(value) : NULL;
            output_table_add(table, text);
        }
    }
    output_table_write(table, output);
    output_table_free(table);
}

/* Writes an array of objects as a table whose columns are the members of the first row. Members
 * that are tables themselves are written after all rows, headed by their name and the first value
 * of their row. */
static void write_array(JsonArray *array, GString *output)
{
    g_autoptr(GPtrArray) columns = member_names(array, false);
    g_autoptr(GPtrArray) tables = member_names(array, true);

    write_rows(array, (const char *const *)columns->pdata, output);
    for (guint row = 0; row < json_array_get_length(array); row++) {
        for (guint i = 0; i + 1 < tables->len; i++) {
            const char *name = g_ptr_array_index(tables, i);
            JsonNode *table = row_member(array, row, name);
            if (table == NULL || !is_table(table)) {
                continue;
            }
            JsonNode *key =
                columns->len > 1 ? row_member(array, row, g_ptr_array_index(columns, 0)) : NULL;
            g_autofree char *key_text = key != NULL ? value_text(key) : g_strdup_printf("%u", row);
            g_string_append_printf(output, "\n%s of %s:\n", name, key_text);
            write_array(json_node_get_array(table), output);
        }
    }
}

/* Adds an object's values as rows, and its tables after them. Members of a nested object get its
 * name and a dot as prefix. */
static void add_object(JsonObject *object, const char *prefix, struct output_table *table,
                       GString *tables)
{
    JsonObjectIter iterator;
    const char *name = NULL;
    JsonNode *value = NULL;

    json_object_iter_init_ordered(&iterator, object);
    while (json_object_iter_next_ordered(&iterator, &name, &value)) {
        g_autofree char *path = g_strconcat(prefix, name, NULL);
        if (is_table(value)) {
            g_string_append_printf(tables, "\n%s:\n", path);
            write_array(json_node_get_array(value), tables);
        } else if (JSON_NODE_HOLDS_OBJECT(value) && !is_position(value)) {
            g_autofree char *inner = g_strconcat(path, ".", NULL);
            add_object(json_node_get_object(value), inner, table, tables);
        } else {
            g_autofree char *text = value_text(value);
            output_table_add(table, path);
            output_table_add(table, text);
        }
    }
}

static void write_object(JsonObject *object, GString *output)
{
    static const char *const columns[] = {"key", "value", NULL};
    struct output_table *table = output_table_new(columns);
    g_autoptr(GString) tables = g_string_new(NULL);

    add_object(object, "", table, tables);
    if (table->cells->len > 0) {
        output_table_write(table, output);
    }
    g_string_append(output, tables->str);
    output_table_free(table);
}

void output_json_as_text(JsonNode *node, GString *output)
{
    if (JSON_NODE_HOLDS_OBJECT(node)) {
        write_object(json_node_get_object(node), output);
        return;
    }
    if (is_table(node)) {
        write_array(json_node_get_array(node), output);
        return;
    }
    g_autofree char *text = value_text(node);
    g_string_append_printf(output, "%s\n", text);
}
