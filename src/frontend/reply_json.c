#include "frontend/reply_json.h"

#include "frontend/json_write.h"

#include <string.h>

/* JSON type in which a column's cells are written. */
enum cell_form {
    CELL_FORM_STRING,
    CELL_FORM_NUMBER,
    CELL_FORM_BOOLEAN,
};

/* Built-in types of PostgreSQL by oid (catalog pg_type). The names of all other types are written
 * as "oid:N". */
struct type_entry {
    uint32_t oid;
    const char *name;
    enum cell_form form;
};

static const struct type_entry types[] = {
    {16, "bool", CELL_FORM_BOOLEAN},         {17, "bytea", CELL_FORM_STRING},
    {18, "char", CELL_FORM_STRING},          {19, "name", CELL_FORM_STRING},
    {20, "int8", CELL_FORM_NUMBER},          {21, "int2", CELL_FORM_NUMBER},
    {23, "int4", CELL_FORM_NUMBER},          {25, "text", CELL_FORM_STRING},
    {26, "oid", CELL_FORM_STRING},           {114, "json", CELL_FORM_STRING},
    {700, "float4", CELL_FORM_NUMBER},       {701, "float8", CELL_FORM_NUMBER},
    {705, "unknown", CELL_FORM_STRING},      {1042, "bpchar", CELL_FORM_STRING},
    {1043, "varchar", CELL_FORM_STRING},     {1082, "date", CELL_FORM_STRING},
    {1083, "time", CELL_FORM_STRING},        {1114, "timestamp", CELL_FORM_STRING},
    {1184, "timestamptz", CELL_FORM_STRING}, {1186, "interval", CELL_FORM_STRING},
    {1700, "numeric", CELL_FORM_STRING},     {2950, "uuid", CELL_FORM_STRING},
    {3802, "jsonb", CELL_FORM_STRING},
};

static const struct type_entry *find_type(uint32_t oid)
{
    for (size_t i = 0; i < G_N_ELEMENTS(types); i++) {
        if (types[i].oid == oid) {
            return &types[i];
        }
    }
    return NULL;
}

static enum cell_form form_of(const struct sql_column *column)
{
    const struct type_entry *type = find_type(column->type_oid);
    return type == NULL ? CELL_FORM_STRING : type->form;
}

/* True for the text of a JSON number; false for NaN, Infinity and the like. */
static bool is_json_number(const char *text)
{
    if (text == NULL) {
        return false;
    }
    const char *next = text[0] == '-' ? text + 1 : text;
    size_t whole = strspn(next, "0123456789");
    if (whole == 0 || (whole > 1 && next[0] == '0')) {
        return false;
    }
    next += whole;
    if (next[0] == '.') {
        size_t fraction = strspn(next + 1, "0123456789");
        if (fraction == 0) {
            return false;
        }
        next += 1 + fraction;
    }
    if (next[0] == 'e' || next[0] == 'E') {
        next++;
        if (next[0] == '+' || next[0] == '-') {
            next++;
        }
        size_t exponent = strspn(next, "0123456789");
        if (exponent == 0) {
            return false;
        }
        next += exponent;
    }
    return next[0] == '\0';
}

static void write_cell(GString *out, const struct sql_value *cell, enum cell_form form)
{
    if (cell->is_null) {
        g_string_append(out, "null");
        return;
    }
    if (form == CELL_FORM_NUMBER && is_json_number(cell->text)) {
        g_string_append(out, cell->text);
        return;
    }
    if (form == CELL_FORM_BOOLEAN && cell->text != NULL) {
        if (cell->text[0] == 't') {
            g_string_append(out, "true");
            return;
        }
        if (cell->text[0] == 'f') {
            g_string_append(out, "false");
            return;
        }
    }
    json_write_string(out, cell->text);
}

static void write_column(GString *out, const struct sql_column *column)
{
    g_string_append_c(out, '{');
    json_write_name(out, "name");
    json_write_string(out, column->name);
    g_string_append_c(out, ',');
    json_write_name(out, "type");
    const struct type_entry *type = find_type(column->type_oid);
    if (type != NULL) {
        json_write_string(out, type->name);
    } else {
        g_string_append_printf(out, "\"oid:%u\"", column->type_oid);
    }
    g_string_append_c(out, '}');
}

static void write_row(GString *out, const struct sql_row *row, const struct sql_result *result)
{
    g_string_append_c(out, '[');
    for (size_t i = 0; i < row->cells_count; i++) {
        if (i > 0) {
            g_string_append_c(out, ',');
        }
        enum cell_form form =
            i < result->columns_count ? form_of(&result->columns[i]) : CELL_FORM_STRING;
        write_cell(out, &row->cells[i], form);
    }
    g_string_append_c(out, ']');
}

/* Appends the members of a result, without braces. */
static void write_result_members(GString *out, const struct sql_result *result)
{
    json_write_name(out, "command");
    json_write_string(out, result->command);
    g_string_append_c(out, ',');
    json_write_name(out, "columns");
    g_string_append_c(out, '[');
    for (size_t i = 0; i < result->columns_count; i++) {
        if (i > 0) {
            g_string_append_c(out, ',');
        }
        write_column(out, &result->columns[i]);
    }
    g_string_append(out, "],");
    json_write_name(out, "rows");
    g_string_append_c(out, '[');
    for (size_t i = 0; i < result->rows_count; i++) {
        if (i > 0) {
            g_string_append_c(out, ',');
        }
        write_row(out, &result->rows[i], result);
    }
    g_string_append_c(out, ']');
}

static void write_results(GString *out, const struct reply *reply)
{
    g_string_append_c(out, ',');
    json_write_name(out, "results");
    g_string_append_c(out, '[');
    for (size_t i = 0; i < reply->results_count; i++) {
        g_string_append(out, i > 0 ? ",{" : "{");
        write_result_members(out, &reply->results[i]);
        g_string_append_c(out, '}');
    }
    g_string_append_c(out, ']');
}

static void write_text_member(GString *out, const char *name, const char *text)
{
    g_string_append_c(out, ',');
    json_write_name(out, name);
    json_write_string(out, text);
}

static void write_error(GString *out, const struct reply *reply, const struct reply_shape *shape)
{
    const struct error_entry *entry = error_entry_of(reply->error_kind);
    bool has_text = reply->error_text != NULL && reply->error_text[0] != '\0';
    g_string_append(out, ",\"error\":{");
    json_write_name(out, "kind");
    json_write_string(out, entry->name);
    write_text_member(out, "text", has_text ? reply->error_text : entry->text);
    if (reply->error_position > 0) {
        g_string_append_printf(out, ",\"position\":%u", reply->error_position);
    }
    if (reply->sqlstate != NULL && reply->sqlstate[0] != '\0') {
        write_text_member(out, "sqlstate", reply->sqlstate);
    }
    g_string_append_c(out, '}');
    write_text_member(out, "retry", error_retry_name(reply_retry(reply, shape)));
}

enum error_retry reply_retry(const struct reply *reply, const struct reply_shape *shape)
{
    if (reply->outcome == OUTCOME_DONE) {
        return ERROR_RETRY_NO;
    }
    enum error_retry retry = error_entry_of(reply->error_kind)->retry;
    return retry == ERROR_RETRY_SAME_KEY && !shape->keyed ? ERROR_RETRY_NO : retry;
}

const char *error_retry_name(enum error_retry retry)
{
    switch (retry) {
    case ERROR_RETRY_YES:
        return "yes";
    case ERROR_RETRY_NEW_KEY:
        return "new_key";
    case ERROR_RETRY_SAME_KEY:
        return "same_key";
    case ERROR_RETRY_NO:
    default:
        return "no";
    }
}

GString *reply_to_json(const struct reply *reply, const struct reply_shape *shape)
{
    GString *out = g_string_new("{");
    json_write_name(out, "outcome");
    json_write_string(out, outcome_name(reply->outcome));
    if (reply->transaction_id != NULL && reply->transaction_id[0] != '\0') {
        write_text_member(out, "transaction", reply->transaction_id);
    }
    if (reply->outcome != OUTCOME_DONE) {
        write_error(out, reply, shape);
    } else if (shape->kind == REQUEST_KIND_BATCH) {
        write_results(out, reply);
    } else if (reply->results_count > 0) {
        g_string_append_c(out, ',');
        write_result_members(out, &reply->results[0]);
    }
    g_string_append(out, "}\n");
    return out;
}
