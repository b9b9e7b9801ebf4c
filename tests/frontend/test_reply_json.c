/* The JSON of answers: cells by type, text that needs escapes, and errors. */
#include "frontend/reply_json.h"

#include <json-glib/json-glib.h>
#include <string.h>

static const struct reply_shape statement = {.kind = REQUEST_KIND_STATEMENT};

/* The JSON of a one-cell result. */
static char *cell_json(uint32_t type_oid, const char *text)
{
    struct sql_value cell = {.is_null = text == NULL, .text = (char *)text};
    struct sql_row row = {.cells = &cell, .cells_count = 1};
    char name[] = "c";
    struct sql_column column = {.name = name, .type_oid = type_oid};
    char command[] = "SELECT 1";
    struct sql_result result = {command, &column, 1, &row, 1};
    struct reply reply;
    reply_init(&reply);
    reply.results = &result;
    reply.results_count = 1;
    return g_string_free(reply_to_json(&reply, &statement), FALSE);
}

static void test_cells(void)
{
    static const struct {
        uint32_t type_oid;
        const char *type;
        const char *text;
        const char *json;
    } table[] = {
        {23, "int4", "42", "42"},
        {21, "int2", "-7", "-7"},
        {20, "int8", "9223372036854775807", "9223372036854775807"},
        {701, "float8", "0.1", "0.1"},
        {701, "float8", "1e+22", "1e+22"},
        {701, "float8", "NaN", "\"NaN\""},
        {701, "float8", "-Infinity", "\"-Infinity\""},
        {700, "float4", "1.5", "1.5"},
        {23, "int4", "", "\"\""},
        {23, "int4", "01", "\"01\""},
        {23, "int4", "1,\"x\":2", "\"1,\\\"x\\\":2\""},
        {23, "int4", "1e", "\"1e\""},
        {23, "int4", "1.", "\"1.\""},
        {23, "int4", "-", "\"-\""},
        {16, "bool", "t", "true"},
        {16, "bool", "f", "false"},
        {16, "bool", "", "\"\""},
        {1700, "numeric", "19.990", "\"19.990\""},
        {25, "text", "12", "\"12\""},
        {25, "text", "a\"b\\c\n\r\t\x01/", "\"a\\\"b\\\\c\\n\\r\\t\\u0001/\""},
        {25, "text", "é🏔", "\"é🏔\""},
        {25, "text", "\xff", "\"\xef\xbf\xbd\""},
        {25, "text", NULL, "null"},
        {23, "int4", NULL, "null"},
        {99999, "oid:99999", "x", "\"x\""},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
        g_autofree char *json = cell_json(table[i].type_oid, table[i].text);
        g_autofree char *expected = g_strdup_printf(
            "{\"outcome\":\"done\",\"command\":\"SELECT 1\",\"columns\":[{\"name\":\"c\","
            "\"type\":\"%s\"}],\"rows\":[[%s]]}\n",
            table[i].type, table[i].json);
        g_assert_cmpstr(json, ==, expected);
        g_autoptr(JsonParser) parser = json_parser_new();
        g_assert_true(json_parser_load_from_data(parser, json, -1, NULL));
    }
}

static void test_rows(void)
{
    char one[] = "1";
    char two[] = "2";
    struct sql_value first[] = {{.text = one}, {.text = two}};
    struct sql_value second[] = {{.is_null = true}, {.text = one}, {.text = two}};
    struct sql_row rows[] = {{first, 2}, {second, 3}};
    char a[] = "a";
    struct sql_column columns[] = {{a, 23}, {NULL, 25}};
    struct sql_result result = {NULL, columns, 2, rows, 2};
    struct reply reply;
    reply_init(&reply);
    reply.results = &result;
    reply.results_count = 1;
    g_autoptr(GString) json = reply_to_json(&reply, &statement);
    g_assert_cmpstr(json->str, ==,
                    "{\"outcome\":\"done\",\"command\":\"\",\"columns\":[{\"name\":\"a\",\"type\":"
                    "\"int4\"},{\"name\":\"\",\"type\":\"text\"}],\"rows\":[[1,\"2\"],[null,\"1\","
                    "\"2\"]]}\n");
}

static void test_empty_batch(void)
{
    struct reply reply;
    reply_init(&reply);
    const struct reply_shape batch = {.kind = REQUEST_KIND_BATCH};
    g_autoptr(GString) json = reply_to_json(&reply, &batch);
    g_assert_cmpstr(json->str, ==, "{\"outcome\":\"done\",\"results\":[]}\n");
}

static void test_error(void)
{
    char text[] = "no \"such\" table";
    char sqlstate[] = "42P01";
    char transaction[] = "t1";
    struct reply reply;
    reply_init(&reply);
    reply.outcome = OUTCOME_FAILED;
    reply.error_kind = ERROR_KIND_DATABASE_ERROR;
    reply.error_text = text;
    reply.error_position = 15;
    reply.sqlstate = sqlstate;
    reply.transaction_id = transaction;
    g_autoptr(GString) json = reply_to_json(&reply, &statement);
    g_assert_cmpstr(json->str, ==,
                    "{\"outcome\":\"failed\",\"transaction\":\"t1\",\"error\":{\"kind\":"
                    "\"database_error\",\"text\":\"no \\\"such\\\" table\",\"position\":15,"
                    "\"sqlstate\":\"42P01\"},\"retry\":\"no\"}\n");
}

/* An error kind unknown to this release, as from a newer daemon, is reported as internal. */
static void test_unknown_kind(void)
{
    struct reply reply;
    reply_init(&reply);
    reply.outcome = OUTCOME_UNKNOWN;
    reply.error_kind = ERROR_KIND_COUNT + 5;
    g_autoptr(GString) json = reply_to_json(&reply, &statement);
    g_assert_nonnull(strstr(json->str, "\"kind\":\"internal\""));
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/reply-json/cells", test_cells);
    g_test_add_func("/reply-json/rows", test_rows);
    g_test_add_func("/reply-json/empty-batch", test_empty_batch);
    g_test_add_func("/reply-json/error", test_error);
    g_test_add_func("/reply-json/unknown-kind", test_unknown_kind);
    return g_test_run();
}
