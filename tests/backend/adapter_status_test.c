/* Tests of parsing the text form of a status row, which probes query. */
#include "backend/adapter.h"

/* Parses a status in a result of one row and one column; false if it is not valid. */
static bool parse(const char *text, struct database_status *status)
{
    struct sql_column column = {.name = (char *)"swiftworks_status"};
    struct sql_value cell = {.text = (char *)text, .is_null = text == NULL};
    struct sql_row row = {.cells = &cell, .cells_count = 1};
    struct sql_result result = {
        .columns = &column, .columns_count = 1, .rows = &row, .rows_count = 1};
    return adapter_parse_status(&result, status);
}

static void test_fields(void)
{
    struct database_status status;
    g_assert_true(parse("(replica,7,8,6,41,5,40,t,toubkal-2)", &status));
    g_assert_cmpint(status.role, ==, DATABASE_ROLE_REPLICA);
    g_assert_cmpuint(status.term, ==, 7);
    g_assert_cmpuint(status.promised_term, ==, 8);
    g_assert_cmpuint(status.held.term, ==, 6);
    g_assert_cmpuint(status.held.offset, ==, 41);
    g_assert_cmpuint(status.applied.term, ==, 5);
    g_assert_cmpuint(status.applied.offset, ==, 40);
    g_assert_true(status.leaving);
    g_assert_cmpuint(status.leaving_order, ==, 0);
    g_assert_true(parse("(primary,1,1,1,2,1,2,f,1700000000000000,toubkal-1)", &status));
    g_assert_cmpuint(status.leaving_order, ==, 1700000000000000);
    g_assert_true(parse("(primary,1,1,1,2,1,2,f)", &status));
    g_assert_cmpint(status.role, ==, DATABASE_ROLE_PRIMARY);
    g_assert_false(status.leaving);
}

/* A database may add further fields after the known ones, in any format. */
static void test_further_fields(void)
{
    struct database_status status;
    g_assert_true(parse("(primary,1,1,1,9,1,9,f,\"a (b), \"\"c\"\"\",,9)", &status));
    g_assert_cmpuint(status.applied.offset, ==, 9);
    g_assert_false(status.leaving);
}

static void test_no_status(void)
{
    static const char *const texts[] = {
        NULL,
        "",
        "(",
        ")",
        "()",
        "primary,1,1,1,2,1,2,f",
        "(primary,1,1,1,2,1,2,f",
        "(primary,1,1,1,2,1,2)",
        "(primary,,1,1,2,1,2,f)",
        "(primary,-1,1,1,2,1,2,f)",
        "(primary,1,1,1,2,1,two,f)",
        "(primary,1,1,1,2,1,9223372036854775808,f)",
    };
    struct database_status status;
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        g_assert_false(parse(texts[i], &status));
    }
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/adapter/status/fields", test_fields);
    g_test_add_func("/adapter/status/further-fields", test_further_fields);
    g_test_add_func("/adapter/status/no-status", test_no_status);
    return g_test_run();
}
