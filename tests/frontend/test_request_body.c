/* The body parser: valid bodies, and the kind, text and position of each error. */
#include "core/error.h"
#include "frontend/request_body.h"
#include "generated/errors.h"

#include <string.h>

#define NOT_JSON "the body is not valid JSON: "

static const struct request_body_limits limits = {.statements_max = 3, .parameters_max = 4};

struct fault_case {
    enum endpoint endpoint;
    const char *body;
    enum error_kind kind;
    const char *text;
    uint32_t position;
};

static const struct fault_case faults[] = {
    /* Characters and tokens. */
    {ENDPOINT_STATEMENTS, " ", ERROR_KIND_BAD_REQUEST, NOT_JSON "the text ends too early", 2},
    {ENDPOINT_STATEMENTS, "{", ERROR_KIND_BAD_REQUEST, NOT_JSON "the text ends too early", 2},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\"", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "the text ends too early", 11},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\"}}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "something follows the value", 12},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\"} {}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "something follows the value", 13},
    {ENDPOINT_STATEMENTS, "[1}", ERROR_KIND_BAD_REQUEST, NOT_JSON "a bracket does not match", 3},
    {ENDPOINT_STATEMENTS, "]", ERROR_KIND_BAD_REQUEST, NOT_JSON "a bracket does not match", 1},
    {ENDPOINT_STATEMENTS, "{'sql':1}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "a character is not part of JSON", 2},
    {ENDPOINT_STATEMENTS, "{} // end", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "something follows the value", 4},
    {ENDPOINT_STATEMENTS, "/* start */ {}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "a character is not part of JSON", 1},
    {ENDPOINT_STATEMENTS, "var x = {\"sql\":\"y\"};", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "a word is none of true, false and null", 1},
    {ENDPOINT_STATEMENTS, "{\"sql\":True}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "a word is none of true, false and null", 8},
    {ENDPOINT_STATEMENTS, "{\"sql\":nullx}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "a word is none of true, false and null", 8},
    {ENDPOINT_STATEMENTS, "{\"sql\":NaN}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "a word is none of true, false and null", 8},
    {ENDPOINT_STATEMENTS, "{\"sql\":01}", ERROR_KIND_BAD_REQUEST, NOT_JSON "a number is not valid",
     8},
    {ENDPOINT_STATEMENTS, "{\"sql\":+1}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "a character is not part of JSON", 8},
    {ENDPOINT_STATEMENTS, "{\"sql\":-}", ERROR_KIND_BAD_REQUEST, NOT_JSON "a number is not valid",
     8},
    {ENDPOINT_STATEMENTS, "{\"sql\":1.}", ERROR_KIND_BAD_REQUEST, NOT_JSON "a number is not valid",
     8},
    {ENDPOINT_STATEMENTS, "{\"sql\":.5}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "a character is not part of JSON", 8},
    {ENDPOINT_STATEMENTS, "{\"sql\":1e}", ERROR_KIND_BAD_REQUEST, NOT_JSON "a number is not valid",
     8},
    {ENDPOINT_STATEMENTS, "{\"sql\":0x10}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "a number is not valid", 8},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\",\"parameters\":[1234567890123456789]}",
     ERROR_KIND_BAD_REQUEST, NOT_JSON "a number has more digits than are kept: send a string", 26},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\",\"parameters\":[1.234567890123456]}",
     ERROR_KIND_BAD_REQUEST, NOT_JSON "a number has more digits than are kept: send a string", 26},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x", ERROR_KIND_BAD_REQUEST, NOT_JSON "a string does not end",
     8},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"a\nb\"}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "a string holds a control character", 10},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"a\\qb\"}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "an escape in a string is not valid", 10},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"a\\u12g4\"}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "an escape in a string is not valid", 10},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"a\\u0000b\"}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "a string holds U+0000", 10},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"\\ud800\"}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "a surrogate in a string stands alone", 9},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"\\udc00\\ud800\"}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "a surrogate in a string stands alone", 9},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"\\ud800\\u0041\"}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "a surrogate in a string stands alone", 9},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"\xff\"}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "the text is not UTF-8", 9},
    {ENDPOINT_STATEMENTS, "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "the text is nested too deeply", 33},
    /* Grammar. */
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\",}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "a comma is followed by nothing", 11},
    {ENDPOINT_STATEMENTS, "{\"sql\" \"x\"}", ERROR_KIND_BAD_REQUEST, NOT_JSON "a colon is missing",
     6},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\"\n \"access\":\"read\"}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "a comma is missing", 10},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\",\n\"parameters\":[1 2]}", ERROR_KIND_BAD_REQUEST,
     NOT_JSON "a comma is missing", 27},
    {ENDPOINT_STATEMENTS, "{\"sql\":}", ERROR_KIND_BAD_REQUEST, NOT_JSON "it can not be parsed", 8},
    {ENDPOINT_STATEMENTS, "{1:2}", ERROR_KIND_BAD_REQUEST, NOT_JSON "it can not be parsed", 1},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\",\"sql\":\"y\"}", ERROR_KIND_BAD_REQUEST,
     "a member of an object is given twice", 0},
    /* Structure. */
    {ENDPOINT_STATEMENTS, "[]", ERROR_KIND_BAD_REQUEST, "the body is not a JSON object", 0},
    {ENDPOINT_STATEMENTS, "null", ERROR_KIND_BAD_REQUEST, "the body is not a JSON object", 0},
    {ENDPOINT_STATEMENTS, "", ERROR_KIND_BAD_REQUEST, "\"sql\" is missing", 0},
    {ENDPOINT_STATEMENTS, "{}", ERROR_KIND_BAD_REQUEST, "\"sql\" is missing", 0},
    {ENDPOINT_STATEMENTS, "{\"sql\":5}", ERROR_KIND_BAD_REQUEST, "\"sql\" is not a string", 0},
    {ENDPOINT_STATEMENTS, "{\"sql\":null}", ERROR_KIND_BAD_REQUEST, "\"sql\" is not a string", 0},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"\"}", ERROR_KIND_BAD_REQUEST, "\"sql\" is empty", 0},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\",\"Access\":\"read\"}", ERROR_KIND_BAD_REQUEST,
     "unknown member \"Access\"", 0},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\",\"access\":\"reed\"}", ERROR_KIND_BAD_REQUEST,
     "\"access\" is neither \"read\" nor \"write\"", 0},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\",\"access\":null}", ERROR_KIND_BAD_REQUEST,
     "\"access\" is neither \"read\" nor \"write\"", 0},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\",\"parameters\":{}}", ERROR_KIND_BAD_REQUEST,
     "\"parameters\" is not an array", 0},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\",\"parameters\":null}", ERROR_KIND_BAD_REQUEST,
     "\"parameters\" is not an array", 0},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\",\"parameters\":[1,[2]]}", ERROR_KIND_BAD_REQUEST,
     "parameters[1] is not a string, number, boolean or null", 0},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\",\"parameters\":[{}]}", ERROR_KIND_BAD_REQUEST,
     "parameters[0] is not a string, number, boolean or null", 0},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\",\"parameters\":[1e999]}", ERROR_KIND_BAD_REQUEST,
     "parameters[0] is out of range", 0},
    {ENDPOINT_STATEMENTS, "{\"sql\":\"x\",\"parameters\":[1,2,3,4,5]}", ERROR_KIND_TOO_LARGE,
     "more than 4 parameters", 0},
    {ENDPOINT_STATEMENTS, "{\"statements\":[]}", ERROR_KIND_BAD_REQUEST,
     "unknown member \"statements\"", 0},
    {ENDPOINT_TRANSACTIONS, "", ERROR_KIND_BAD_REQUEST,
     "neither \"statements\" nor \"begin\" is given", 0},
    {ENDPOINT_TRANSACTIONS, "{\"sql\":\"x\"}", ERROR_KIND_BAD_REQUEST,
     "neither \"statements\" nor \"begin\" is given", 0},
    {ENDPOINT_TRANSACTIONS, "{\"statements\":\"x\"}", ERROR_KIND_BAD_REQUEST,
     "\"statements\" is not an array", 0},
    {ENDPOINT_TRANSACTIONS, "{\"statements\":[]}", ERROR_KIND_BAD_REQUEST,
     "\"statements\" is empty", 0},
    {ENDPOINT_TRANSACTIONS, "{\"statements\":[{\"sql\":\"x\"},7]}", ERROR_KIND_BAD_REQUEST,
     "statements[1]: not an object", 0},
    {ENDPOINT_TRANSACTIONS, "{\"statements\":[{\"sql\":\"x\"},{\"sq\":\"x\"}]}",
     ERROR_KIND_BAD_REQUEST, "statements[1]: unknown member \"sq\"", 0},
    {ENDPOINT_TRANSACTIONS, "{\"statements\":[{\"sql\":\"x\",\"parameters\":[[]]}]}",
     ERROR_KIND_BAD_REQUEST,
     "statements[0]: parameters[0] is not a string, number, boolean or null", 0},
    {ENDPOINT_TRANSACTIONS, "{\"statements\":[{\"sql\":\"x\",\"sql\":\"y\"}]}",
     ERROR_KIND_BAD_REQUEST, "a member of an object is given twice", 0},
    {ENDPOINT_TRANSACTIONS,
     "{\"statements\":[{\"sql\":\"x\"},{\"sql\":\"x\"},{\"sql\":\"x\"},{\"sql\":\"x\"}]}",
     ERROR_KIND_TOO_LARGE, "more than 3 statements", 0},
    {ENDPOINT_TRANSACTIONS, "{\"statements\":[{\"sql\":\"x\"}],\"begin\":true}",
     ERROR_KIND_BAD_REQUEST, "unknown member \"begin\"", 0},
    {ENDPOINT_TRANSACTIONS, "{\"begin\":false}", ERROR_KIND_BAD_REQUEST, "\"begin\" is not true",
     0},
    {ENDPOINT_TRANSACTIONS, "{\"begin\":1}", ERROR_KIND_BAD_REQUEST, "\"begin\" is not true", 0},
    {ENDPOINT_TRANSACTIONS, "{\"begin\":true,\"access\":\"\"}", ERROR_KIND_BAD_REQUEST,
     "\"access\" is neither \"read\" nor \"write\"", 0},
    {ENDPOINT_TRANSACTIONS, "{\"begin\":true,\"isolation\":\"x\"}", ERROR_KIND_BAD_REQUEST,
     "unknown member \"isolation\"", 0},
    {ENDPOINT_TRANSACTION_STATEMENTS, "{\"access\":\"read\"}", ERROR_KIND_BAD_REQUEST,
     "\"sql\" is missing", 0},
    {ENDPOINT_TRANSACTION_COMMIT, "{\"force\":true}", ERROR_KIND_BAD_REQUEST,
     "unknown member \"force\"", 0},
    {ENDPOINT_TRANSACTION_ROLLBACK, "7", ERROR_KIND_BAD_REQUEST, "the body is not a JSON object",
     0},
};

static bool parse(enum endpoint endpoint, const char *body, size_t length, struct request *request,
                  uint32_t *position, GError **error)
{
    request_init(request);
    return request_body_parse(body, length, endpoint, &limits, request, position, error);
}

static void assert_fault(enum endpoint endpoint, const char *body, size_t length,
                         enum error_kind kind, const char *text, uint32_t expected_position)
{
    struct request request;
    uint32_t position = 0;
    GError *error = NULL;
    g_assert_false(parse(endpoint, body, length, &request, &position, &error));
    g_assert_nonnull(error);
    g_assert_cmpstr(error->message, ==, text);
    g_assert_error(error, SW_ERROR, (int)kind);
    g_assert_cmpuint(position, ==, expected_position);
    g_clear_error(&error);
    request_clear(&request);
}

static void test_faults(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
        const struct fault_case *fault = &faults[i];
        g_test_message("case %zu", i);
        assert_fault(fault->endpoint, fault->body, strlen(fault->body), fault->kind, fault->text,
                     fault->position);
    }
}

static void test_embedded_nul(void)
{
    static const char body[] = "{\"sql\":\"x\0y\"}";
    assert_fault(ENDPOINT_STATEMENTS, body, sizeof(body) - 1, ERROR_KIND_BAD_REQUEST,
                 NOT_JSON "the text is not UTF-8", 10);
}

static void test_large_texts(void)
{
    g_autofree char *sql = g_strnfill(SQL_BYTES_MAX + 1, 'x');
    g_autofree char *with_sql = g_strdup_printf("{\"sql\":\"%s\"}", sql);
    assert_fault(ENDPOINT_STATEMENTS, with_sql, strlen(with_sql), ERROR_KIND_TOO_LARGE,
                 "\"sql\" is over 65536 bytes", 0);
    g_autofree char *value = g_strnfill(PARAMETER_BYTES_MAX + 1, 'x');
    g_autofree char *with_value =
        g_strdup_printf("{\"sql\":\"x\",\"parameters\":[\"\",\"%s\"]}", value);
    assert_fault(ENDPOINT_STATEMENTS, with_value, strlen(with_value), ERROR_KIND_TOO_LARGE,
                 "parameters[1] is over 1048576 bytes", 0);
}

/* A million open brackets must be rejected without recursion, which would overflow the stack. */
static void test_deep_nesting(void)
{
    g_autofree char *body = g_strnfill(1000000, '[');
    assert_fault(ENDPOINT_STATEMENTS, body, strlen(body), ERROR_KIND_BAD_REQUEST,
                 NOT_JSON "the text is nested too deeply", 33);
}

static void parse_valid(enum endpoint endpoint, const char *body, struct request *request)
{
    uint32_t position = 0;
    GError *error = NULL;
    g_assert_true(parse(endpoint, body, strlen(body), request, &position, &error));
    g_assert_no_error(error);
    g_assert_cmpuint(position, ==, 0);
}

static void test_single(void)
{
    struct request request;
    parse_valid(ENDPOINT_STATEMENTS, " {\"sql\" : \"SELECT 1\"}\r\n", &request);
    g_assert_cmpint(request.kind, ==, REQUEST_KIND_STATEMENT);
    g_assert_cmpuint(request.statements_count, ==, 1);
    g_assert_cmpstr(request.statements[0].sql, ==, "SELECT 1");
    g_assert_cmpint(request.statements[0].access, ==, ACCESS_MODE_UNSPECIFIED);
    g_assert_cmpuint(request.statements[0].parameters_count, ==, 0);
    request_clear(&request);
    parse_valid(ENDPOINT_TRANSACTION_STATEMENTS, "{\"access\":\"write\",\"sql\":\"\\u00e9\\n\"}",
                &request);
    g_assert_cmpint(request.kind, ==, REQUEST_KIND_CONTINUE);
    g_assert_cmpstr(request.statements[0].sql, ==, "é\n");
    g_assert_cmpint(request.statements[0].access, ==, ACCESS_MODE_WRITE);
    request_clear(&request);
}

static void test_transactions(void)
{
    struct request request;
    parse_valid(ENDPOINT_TRANSACTIONS,
                "{\"statements\":[{\"sql\":\"a\",\"access\":\"read\"},{\"sql\":\"b\"}]}", &request);
    g_assert_cmpint(request.kind, ==, REQUEST_KIND_BATCH);
    g_assert_cmpuint(request.statements_count, ==, 2);
    g_assert_cmpint(request.statements[0].access, ==, ACCESS_MODE_READ);
    g_assert_cmpstr(request.statements[1].sql, ==, "b");
    request_clear(&request);
    parse_valid(ENDPOINT_TRANSACTIONS, "{\"begin\":true}", &request);
    g_assert_cmpint(request.kind, ==, REQUEST_KIND_BEGIN);
    g_assert_false(request.read_only);
    request_clear(&request);
    parse_valid(ENDPOINT_TRANSACTIONS, "{\"begin\":true,\"access\":\"read\"}", &request);
    g_assert_true(request.read_only);
    request_clear(&request);
    parse_valid(ENDPOINT_TRANSACTION_COMMIT, "", &request);
    g_assert_cmpint(request.kind, ==, REQUEST_KIND_COMMIT);
    request_clear(&request);
    parse_valid(ENDPOINT_TRANSACTION_ROLLBACK, "{}", &request);
    g_assert_cmpint(request.kind, ==, REQUEST_KIND_ROLLBACK);
    request_clear(&request);
}

/* Numbers are passed to the database as the caller wrote them, or as a text of equal value. */
static void test_parameters(void)
{
    static const struct {
        const char *json;
        const char *text; /* NULL: the NULL value */
    } table[] = {
        {"null", NULL},
        {"true", "true"},
        {"false", "false"},
        {"0", "0"},
        {"-5", "-5"},
        {"999999999999999999", "999999999999999999"},
        {"-999999999999999999", "-999999999999999999"},
        {"19.99", "19.99"},
        {"0.1", "0.1"},
        {"-123456789.123456", "-123456789.123456"},
        {"0.000001", "1e-06"},
        {"1.5e3", "1500"},
        {"1E2", "100"},
        {"2.50", "2.5"},
        {"\"\"", ""},
        {"\"NULL\"", "NULL"},
        {"\"19.990\"", "19.990"},
        {"\"\\\"\\\\\\/\\b\\f\\n\\r\\t\"", "\"\\/\b\f\n\r\t"},
        {"\"\\ud83c\\udfd4 \\u00e9 é\"", "🏔 é é"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
        g_autofree char *body =
            g_strdup_printf("{\"sql\":\"x\",\"parameters\":[%s]}", table[i].json);
        struct request request;
        parse_valid(ENDPOINT_STATEMENTS, body, &request);
        const struct sql_value *value = &request.statements[0].parameters[0];
        g_assert_cmpint(value->is_null, ==, table[i].text == NULL);
        g_assert_cmpstr(value->text, ==, table[i].text);
        request_clear(&request);
    }
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/request-body/faults", test_faults);
    g_test_add_func("/request-body/embedded-nul", test_embedded_nul);
    g_test_add_func("/request-body/large-texts", test_large_texts);
    g_test_add_func("/request-body/deep-nesting", test_deep_nesting);
    g_test_add_func("/request-body/single", test_single);
    g_test_add_func("/request-body/transactions", test_transactions);
    g_test_add_func("/request-body/parameters", test_parameters);
    return g_test_run();
}
