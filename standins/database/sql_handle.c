/* One in-memory SQLite database. See sql_handle.h. */
#include "sql_handle.h"

#include <stdlib.h>
#include <string.h>

/* now() and CURRENT_TIMESTAMP, in PostgreSQL's text form. */
static void function_now(sqlite3_context *context, int count, sqlite3_value **values)
{
    const struct sql_handle *handle = sqlite3_user_data(context);
    int64_t now_us = handle->now_us != 0 ? handle->now_us : g_get_real_time();
    g_autoptr(GDateTime) time = g_date_time_new_from_unix_utc(now_us / G_USEC_PER_SEC);
    g_autofree char *seconds = g_date_time_format(time, "%Y-%m-%d %H:%M:%S");
    g_autofree char *text = g_strdup_printf("%s.%06d+00", seconds, (int)(now_us % G_USEC_PER_SEC));
    sqlite3_result_text(context, text, -1, SQLITE_TRANSIENT);
}

/* PostgreSQL's random(): a float from 0 to 1, by the splitmix64 generator. */
static void function_random(sqlite3_context *context, int count, sqlite3_value **values)
{
    struct sql_handle *handle = sqlite3_user_data(context);
    handle->random_state += UINT64_C(0x9e3779b97f4a7c15);
    uint64_t mixed = handle->random_state;
    mixed = (mixed ^ (mixed >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    mixed = (mixed ^ (mixed >> 27)) * UINT64_C(0x94d049bb133111eb);
    mixed ^= mixed >> 31;
    sqlite3_result_double(context, (double)(mixed >> 11) / (double)(UINT64_C(1) << 53));
}

void sql_handle_open(struct sql_handle *handle)
{
    memset(handle, 0, sizeof *handle);
    if (sqlite3_open_v2(":memory:", &handle->sqlite,
                        SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX,
                        NULL) != SQLITE_OK) {
        g_error("database: can't open SQLite.");
    }
    sqlite3_extended_result_codes(handle->sqlite, 1);
    sqlite3_create_function(handle->sqlite, "now", 0, SQLITE_UTF8, handle, function_now, NULL,
                            NULL);
    sqlite3_create_function(handle->sqlite, "current_timestamp", 0, SQLITE_UTF8, handle,
                            function_now, NULL, NULL);
    sqlite3_create_function(handle->sqlite, "random", 0, SQLITE_UTF8, handle, function_random, NULL,
                            NULL);
    sql_handle_run(handle, "PRAGMA foreign_keys = ON");
}

void sql_handle_close(struct sql_handle *handle)
{
    sqlite3_close(handle->sqlite);
    handle->sqlite = NULL;
}

void sql_handle_copy(struct sql_handle *target, struct sql_handle *source)
{
    sqlite3_backup *backup = sqlite3_backup_init(target->sqlite, "main", source->sqlite, "main");
    if (backup == NULL || sqlite3_backup_step(backup, -1) != SQLITE_DONE) {
        g_error("database: copy failed: %s.", sqlite3_errmsg(target->sqlite));
    }
    sqlite3_backup_finish(backup);
}

void sql_handle_run(struct sql_handle *handle, const char *sql)
{
    if (sqlite3_exec(handle->sqlite, sql, NULL, NULL, NULL) != SQLITE_OK) {
        g_error("database: %s failed: %s.", sql, sqlite3_errmsg(handle->sqlite));
    }
}

/* The SQLSTATE of an error that SQLite distinguishes only by its message. */
static const char *sqlstate_of_message(const char *message)
{
    static const struct {
        const char *part;
        const char *sqlstate;
    } STATES[] = {
        {"no such table", "42P01"},
        {"no such column", "42703"},
        {"no such function", "42883"},
        {"syntax error", "42601"},
        {"incomplete input", "42601"},
        {"unrecognized token", "42601"},
        {"already exists", "42P07"},
        {"duplicate column", "42701"},
        {"has no column named", "42703"},
        {"ambiguous column", "42702"},
        {"wrong number of arguments", "42883"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(STATES); i++) {
        if (strstr(message, STATES[i].part) != NULL) {
            return STATES[i].sqlstate;
        }
    }
    return "42000";
}

static const char *sqlstate_of_code(int extended_code, const char *message)
{
    switch (extended_code) {
    case SQLITE_CONSTRAINT_UNIQUE:
    case SQLITE_CONSTRAINT_PRIMARYKEY:
    case SQLITE_CONSTRAINT_ROWID:
        return "23505";
    case SQLITE_CONSTRAINT_NOTNULL:
        return "23502";
    case SQLITE_CONSTRAINT_FOREIGNKEY:
        return "23503";
    case SQLITE_CONSTRAINT_CHECK:
        return "23514";
    default:
        break;
    }
    switch (extended_code & 0xff) {
    case SQLITE_ERROR:
        return sqlstate_of_message(message);
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
        return "40001";
    case SQLITE_CONSTRAINT:
        return "23000";
    case SQLITE_MISMATCH:
        return "22P02";
    case SQLITE_INTERRUPT:
        return "57014";
    default:
        return "XX000";
    }
}

bool sql_handle_fail(struct sql_handle *handle, const char *sql, struct sql_error *error)
{
    int code = sqlite3_extended_errcode(handle->sqlite);
    const char *message = sqlite3_errmsg(handle->sqlite);
    int offset = sqlite3_error_offset(handle->sqlite);
    sql_error_set(error, sqlstate_of_code(code, message), "%s", message);
    if (strstr(message, "incomplete input") != NULL) {
        offset = (int)strlen(sql);
    }
    if (offset >= 0 && (size_t)offset <= strlen(sql)) {
        error->position = (int)g_utf8_strlen(sql, offset) + 1;
    }
    return false;
}

sqlite3_stmt *sql_handle_prepare(struct sql_handle *handle, const struct statement *statement,
                                 struct sql_error *error)
{
    sqlite3_stmt *compiled = NULL;
    if (sqlite3_prepare_v2(handle->sqlite, statement->sql, -1, &compiled, NULL) != SQLITE_OK) {
        sql_handle_fail(handle, statement->sql, error);
        return NULL;
    }
    return compiled;
}

static void bind_value(sqlite3_stmt *compiled, int index, const char *value, guint oid)
{
    if (value == NULL) {
        sqlite3_bind_null(compiled, index);
        return;
    }
    switch (oid) {
    case OID_INT2:
    case OID_INT4:
    case OID_INT8:
        sqlite3_bind_int64(compiled, index, g_ascii_strtoll(value, NULL, 10));
        return;
    case OID_FLOAT4:
    case OID_FLOAT8:
        sqlite3_bind_double(compiled, index, g_ascii_strtod(value, NULL));
        return;
    case OID_BOOL:
        sqlite3_bind_int(compiled, index, strchr("tTyY1", value[0]) != NULL);
        return;
    default:
        sqlite3_bind_text(compiled, index, value, -1, SQLITE_TRANSIENT);
    }
}

/* Binds $1, $2, ... by name, because SQLite numbers parameters by their first appearance. */
static bool bind_parameters(sqlite3_stmt *compiled, const struct parameters *parameters,
                            struct sql_error *error)
{
    int count = sqlite3_bind_parameter_count(compiled);
    for (int index = 1; index <= count; index++) {
        const char *name = sqlite3_bind_parameter_name(compiled, index);
        unsigned long number = name != NULL ? strtoul(name + 1, NULL, 10) : 0;
        if (number == 0 || number > parameters->values->len) {
            return sql_error_set(error, "42P02", "there is no parameter %s",
                                 name != NULL ? name : "?");
        }
        guint oid = g_array_index(parameters->oids, guint, number - 1);
        bind_value(compiled, index, g_ptr_array_index(parameters->values, number - 1), oid);
    }
    return true;
}

static guint oid_of_declaration(const char *declaration)
{
    g_autofree char *upper = g_ascii_strup(declaration, -1);
    if (strstr(upper, "BOOL") != NULL) {
        return OID_BOOL;
    }
    if (strstr(upper, "INT") != NULL) {
        return OID_INT8;
    }
    bool is_float = strstr(upper, "REAL") != NULL || strstr(upper, "FLOA") != NULL ||
                    strstr(upper, "DOUB") != NULL;
    return is_float ? OID_FLOAT8 : OID_TEXT;
}

static guint column_oid(sqlite3_stmt *compiled, int column, bool has_row)
{
    const char *declaration = sqlite3_column_decltype(compiled, column);
    if (declaration != NULL) {
        return oid_of_declaration(declaration);
    }
    int type = has_row ? sqlite3_column_type(compiled, column) : SQLITE_NULL;
    if (type == SQLITE_INTEGER) {
        return OID_INT8;
    }
    return type == SQLITE_FLOAT ? OID_FLOAT8 : OID_TEXT;
}

static void add_columns(sqlite3_stmt *compiled, bool has_row, struct result *result)
{
    for (int column = 0; column < sqlite3_column_count(compiled); column++) {
        result_add_column(result, sqlite3_column_name(compiled, column),
                          column_oid(compiled, column, has_row));
    }
}

static void add_row(sqlite3_stmt *compiled, struct result *result)
{
    for (int column = 0; column < sqlite3_column_count(compiled); column++) {
        bool is_bool = g_array_index(result->oids, guint, column) == OID_BOOL &&
                       sqlite3_column_type(compiled, column) == SQLITE_INTEGER;
        if (is_bool) {
            result_add_bool(result, sqlite3_column_int(compiled, column) != 0);
        } else {
            result_add_text(result, (const char *)sqlite3_column_text(compiled, column));
        }
    }
    result->rows++;
}

bool sql_handle_execute(struct sql_handle *handle, sqlite3_stmt *compiled,
                        const struct statement *statement, const struct parameters *parameters,
                        struct result *result, struct sql_error *error)
{
    if (!bind_parameters(compiled, parameters, error)) {
        return false;
    }
    int changes_before = sqlite3_total_changes(handle->sqlite);
    int code = sqlite3_step(compiled);
    add_columns(compiled, code == SQLITE_ROW, result);
    while (code == SQLITE_ROW) {
        add_row(compiled, result);
        code = sqlite3_step(compiled);
    }
    if (code != SQLITE_DONE) {
        return sql_handle_fail(handle, statement->sql, error);
    }
    if (sqlite3_total_changes(handle->sqlite) != changes_before) {
        result->changes = (uint64_t)sqlite3_changes64(handle->sqlite);
    }
    return true;
}

bool sql_handle_describe(sqlite3_stmt *compiled, const struct parameters *parameters,
                         struct result *result, struct sql_error *error)
{
    bool has_row = false;
    if (parameters != NULL && sqlite3_stmt_readonly(compiled)) {
        if (!bind_parameters(compiled, parameters, error)) {
            return false;
        }
        has_row = sqlite3_step(compiled) == SQLITE_ROW;
    }
    add_columns(compiled, has_row, result);
    return true;
}
