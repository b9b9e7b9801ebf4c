/* The frontend end to end over a loopback socket, with a fake daemon behind it. */
#include "harness.h"

#include <curl/curl.h>
#include <string.h>

#define STATEMENTS "/v1/tenants/hut/statements"

static void assert_header(const struct exchange *exchange, const char *name, const char *expected)
{
    g_autofree char *value = exchange_header(exchange, name);
    g_assert_cmpstr(value, ==, expected);
}

static void test_statement(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    const char *const headers[] = {"Idempotency-Key: k1", "Request-Id: r1",
                                   "Request-Timeout-Ms: 5000", NULL};
    struct poster *poster = harness_post_start(
        &harness, STATEMENTS, "{\"sql\":\"SELECT $1\",\"parameters\":[12.5,null,\"x\",true]}",
        headers);
    struct submitted *submitted = harness_take(&harness);
    const struct request *request = submitted->request;
    g_assert_cmpstr(request->request_id, ==, "r1");
    g_assert_cmpstr(request->tenant, ==, "hut");
    g_assert_cmpstr(request->idempotency_key, ==, "k1");
    g_assert_cmpuint(request->group, ==, HARNESS_GROUP);
    g_assert_cmpuint(request->budget_ms, <=, 5000);
    g_assert_cmpuint(request->statements_count, ==, 1);
    g_assert_cmpstr(request->statements[0].sql, ==, "SELECT $1");
    g_assert_cmpuint(request->statements[0].parameters_count, ==, 4);
    g_assert_cmpstr(request->statements[0].parameters[0].text, ==, "12.5");
    g_assert_true(request->statements[0].parameters[1].is_null);
    harness_answer_text(submitted, "fr\"ee", 3, 44);
    struct exchange exchange;
    harness_join(poster, &exchange);
    g_assert_cmpint(exchange.status, ==, 200);
    g_assert_cmpstr(
        exchange.body->str, ==,
        "{\"outcome\":\"done\",\"command\":\"SELECT 1\",\"columns\":[{\"name\":\"note\","
        "\"type\":\"text\"}],\"rows\":[[\"fr\\\"ee\"]]}\n");
    assert_header(&exchange, "Request-Id", "r1");
    assert_header(&exchange, "Swiftworks-Outcome", "done");
    assert_header(&exchange, "Swiftworks-Served-By",
                  "daemon=d1; database=g7-b; role=replica; term=3; offset=44");
    g_autofree char *token = exchange_header(&exchange, "Swiftworks-Session");
    struct group_position *positions = NULL;
    size_t count = 0;
    g_assert_true(token_decode(harness.keys, token, &positions, &count, NULL));
    g_assert_cmpuint(count, ==, 1);
    g_assert_cmpuint(positions[0].offset, ==, 44);
    g_free(positions);
    exchange_clear(&exchange);
    g_assert_cmpuint(harness_stop(&harness), ==, 0);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    g_test_add_func("/frontend/statement", test_statement);
    int result = g_test_run();
    curl_global_cleanup();
    return result;
}
