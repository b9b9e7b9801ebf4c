/* Entries of the replicated log. See log_entry.h. */
#include "log_entry.h"

#include <json-glib/json-glib.h>

static void log_statement_free(struct log_statement *statement)
{
    g_free(statement->sql);
    parameters_free(statement->parameters);
    g_free(statement);
}

struct log_entry *log_entry_new(struct log_position position, int64_t now_us, uint64_t random_seed)
{
    struct log_entry *entry = g_new0(struct log_entry, 1);
    entry->position = position;
    entry->now_us = now_us;
    entry->random_seed = random_seed;
    entry->statements = g_ptr_array_new_with_free_func((GDestroyNotify)log_statement_free);
    return entry;
}

void log_entry_free(struct log_entry *entry)
{
    if (entry == NULL) {
        return;
    }
    g_ptr_array_unref(entry->statements);
    g_free(entry);
}

void log_entry_add(struct log_entry *entry, const char *sql, const struct parameters *parameters)
{
    struct log_statement *statement = g_new0(struct log_statement, 1);
    statement->sql = g_strdup(sql);
    statement->parameters = parameters_copy(parameters);
    g_ptr_array_add(entry->statements, statement);
}

uint64_t log_entry_statement_seed(const struct log_entry *entry, guint index)
{
    return entry->random_seed + index;
}

static void encode_statement(JsonBuilder *builder, const struct log_statement *statement)
{
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "sql");
    json_builder_add_string_value(builder, statement->sql);
    json_builder_set_member_name(builder, "values");
    json_builder_begin_array(builder);
    for (guint i = 0; i < statement->parameters->values->len; i++) {
        const char *value = g_ptr_array_index(statement->parameters->values, i);
        if (value == NULL) {
            json_builder_add_null_value(builder);
        } else {
            json_builder_add_string_value(builder, value);
        }
    }
    json_builder_end_array(builder);
    json_builder_set_member_name(builder, "oids");
    json_builder_begin_array(builder);
    for (guint i = 0; i < statement->parameters->oids->len; i++) {
        json_builder_add_int_value(builder, g_array_index(statement->parameters->oids, guint, i));
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
}

char *log_entry_encode(const struct log_entry *entry)
{
    g_autoptr(JsonBuilder) builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "now_us");
    json_builder_add_int_value(builder, entry->now_us);
    json_builder_set_member_name(builder, "random_seed");
    json_builder_add_int_value(builder, (gint64)entry->random_seed);
    json_builder_set_member_name(builder, "statements");
    json_builder_begin_array(builder);
    for (guint i = 0; i < entry->statements->len; i++) {
        encode_statement(builder, g_ptr_array_index(entry->statements, i));
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    return json_to_string(root, FALSE);
}

static void decode_statement(struct log_entry *entry, JsonObject *object)
{
    JsonArray *values = json_object_get_array_member(object, "values");
    JsonArray *oids = json_object_get_array_member(object, "oids");
    struct parameters *parameters = parameters_new();
    for (guint i = 0; i < json_array_get_length(values); i++) {
        const char *value = json_array_get_null_element(values, i)
                                ? NULL
                                : json_array_get_string_element(values, i);
        parameters_add(parameters, value, (guint)json_array_get_int_element(oids, i));
    }
    log_entry_add(entry, json_object_get_string_member(object, "sql"), parameters);
    parameters_free(parameters);
}

struct log_entry *log_entry_decode(struct log_position position, const char *payload)
{
    g_autoptr(JsonNode) root = json_from_string(payload, NULL);
    if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
        return NULL;
    }
    JsonObject *object = json_node_get_object(root);
    struct log_entry *entry =
        log_entry_new(position, json_object_get_int_member(object, "now_us"),
                      (uint64_t)json_object_get_int_member(object, "random_seed"));
    JsonArray *statements = json_object_get_array_member(object, "statements");
    for (guint i = 0; i < json_array_get_length(statements); i++) {
        decode_statement(entry, json_array_get_object_element(statements, i));
    }
    return entry;
}

static void replay_statement(const struct log_statement *source, struct sql_handle *handle)
{
    g_autoptr(GPtrArray) statements = statement_split(source->sql);
    const struct statement *statement = g_ptr_array_index(statements, 0);
    struct sql_error error = {0};
    struct result result;
    result_init(&result);
    sqlite3_stmt *compiled = sql_handle_prepare(handle, statement, &error);
    bool done = compiled != NULL && sql_handle_execute(handle, compiled, statement,
                                                       source->parameters, &result, &error);
    if (!done) {
        g_error("database: replay of \"%s\" failed: %s.", source->sql, error.message);
    }
    sqlite3_finalize(compiled);
    result_clear(&result);
}

void log_entry_replay(const struct log_entry *entry, struct sql_handle *handle)
{
    handle->now_us = entry->now_us;
    sql_handle_run(handle, "BEGIN");
    for (guint i = 0; i < entry->statements->len; i++) {
        handle->random_state = log_entry_statement_seed(entry, i);
        replay_statement(g_ptr_array_index(entry->statements, i), handle);
    }
    sql_handle_run(handle, "COMMIT");
    handle->now_us = 0;
}
