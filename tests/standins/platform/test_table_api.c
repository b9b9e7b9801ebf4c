/* The stand-in's table service: conditions, transactions, pages and delayed listings. */
#include "standins/platform/table_api.h"

#include <string.h>

#include <json-glib/json-glib.h>

#include "standins/platform/table.h"

#define LAG_US 5000

static GHashTable *tables_new(void)
{
    GHashTable *tables =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)table_free);

    g_hash_table_insert(tables, (char *)"t", table_new(0));
    g_hash_table_insert(tables, (char *)"lagging", table_new(LAG_US));
    return tables;
}

/* Runs a call at a given time and checks its status and a part of the body. */
static void assert_call_at(GHashTable *tables, const char *operation, const char *body,
                           int64_t now_us, unsigned status, const char *piece)
{
    g_autofree char *target = g_strconcat(TABLE_API_TARGET_PREFIX, operation, NULL);
    struct table_api_answer answer = table_api_call(tables, target, body, strlen(body), now_us);

    g_assert_cmpuint(answer.status, ==, status);
    if (strstr(answer.body, piece) == NULL) {
        g_assert_cmpstr(answer.body, ==, piece);
    }
    g_free(answer.body);
}

static void assert_call(GHashTable *tables, const char *operation, const char *body,
                        unsigned status, const char *piece)
{
    assert_call_at(tables, operation, body, 0, status, piece);
}

#define KEY(sort)  "\"pk\":{\"S\":\"p\"},\"sk\":{\"S\":\"" sort "\"}"
#define ITEM(sort) "\"TableName\":\"t\",\"Item\":{" KEY(sort) ",\"v\":{\"N\":\"1\"}}"
#define GET(sort)  "{\"TableName\":\"t\",\"Key\":{" KEY(sort) "}}"
#define ABSENT     "\"ConditionExpression\":\"attribute_not_exists(pk)\""
#define VERSION(number)                                                                            \
    "\"ConditionExpression\":\"#v = :v\",\"ExpressionAttributeNames\":{\"#v\":\"v\"},"             \
    "\"ExpressionAttributeValues\":{\":v\":{\"N\":\"" number "\"}}"

static void test_get_and_put(void)
{
    g_autoptr(GHashTable) tables = tables_new();

    assert_call(tables, "GetItem", GET("a"), 200, "{}");
    assert_call(tables, "PutItem", "{" ITEM("a") "}", 200, "{}");
    assert_call(tables, "GetItem", GET("a"), 200, "\"v\":{\"N\":\"1\"}");
    assert_call(tables, "DeleteItem", GET("a"), 200, "{}");
    assert_call(tables, "GetItem", GET("a"), 200, "{}");
}

static void test_conditions(void)
{
    g_autoptr(GHashTable) tables = tables_new();
    static const char failed[] = "#ConditionalCheckFailedException\"";

    assert_call(tables, "PutItem", "{" ITEM("a") "," VERSION("1") "}", 400, failed);
    assert_call(tables, "PutItem", "{" ITEM("a") "," ABSENT "}", 200, "{}");
    assert_call(tables, "PutItem", "{" ITEM("a") "," ABSENT "}", 400, failed);
    assert_call(tables, "PutItem", "{" ITEM("a") "," VERSION("2") "}", 400, failed);
    assert_call(tables, "PutItem", "{" ITEM("a") "," VERSION("1") "}", 200, "{}");
}

static void test_malformed_calls(void)
{
    g_autoptr(GHashTable) tables = tables_new();

    assert_call(tables, "Scan", "{}", 400, "#UnknownOperationException");
    assert_call(tables, "GetItem", "[", 400, "#SerializationException");
    assert_call(tables, "GetItem", "{\"TableName\":\"x\"}", 400, "#ResourceNotFoundException");
    assert_call(tables, "GetItem", "{\"TableName\":\"t\"}", 400, "#ValidationException");
    assert_call(tables, "PutItem", "{" ITEM("a") ",\"ConditionExpression\":\"size(v) > :v\"}", 400,
                "#ValidationException");
    assert_call(tables, "TransactWriteItems", "{\"TransactItems\":[]}", 400,
                "#ValidationException");
}

static void test_transaction_is_all_or_nothing(void)
{
    g_autoptr(GHashTable) tables = tables_new();

    assert_call(tables, "PutItem", "{" ITEM("a") "}", 200, "{}");
    assert_call(tables, "TransactWriteItems",
                "{\"TransactItems\":[{\"Put\":{" ITEM("b") "," ABSENT "}},"
                                                           "{\"Put\":{" ITEM("a") "," ABSENT "}}]}",
                400, "[None, ConditionalCheckFailed]");
    assert_call(tables, "GetItem", GET("b"), 200, "{}");
    assert_call(tables, "TransactWriteItems",
                "{\"TransactItems\":[{\"Put\":{" ITEM(
                    "b") "," ABSENT "}},"
                         "{\"ConditionCheck\":{\"TableName\":\"t\",\"Key\":{" KEY("a") "}," VERSION(
                             "1") "}}]}",
                200, "{}");
    assert_call(tables, "GetItem", GET("b"), 200, "\"Item\"");
    assert_call(tables, "GetItem", GET("a"), 200, "\"Item\"");
}

#define QUERY(rest)                                                                                \
    "{\"TableName\":\"t\",\"KeyConditionExpression\":\"pk = :pk\","                                \
    "\"ExpressionAttributeValues\":{\":pk\":{\"S\":\"p\"}}" rest "}"

static void test_query_pages(void)
{
    g_autoptr(GHashTable) tables = tables_new();

    assert_call(tables, "PutItem", "{" ITEM("a") "}", 200, "{}");
    assert_call(tables, "PutItem", "{" ITEM("b") "}", 200, "{}");
    assert_call(tables, "PutItem", "{" ITEM("c") "}", 200, "{}");
    assert_call(tables, "PutItem",
                "{\"TableName\":\"t\",\"Item\":{\"pk\":{\"S\":\"p2\"},\"sk\":{\"S\":\"a\"}}}", 200,
                "{}");
    assert_call(tables, "Query", QUERY(""), 200, "\"Count\":3");
    assert_call(tables, "Query", QUERY(",\"Limit\":2"), 200,
                "\"LastEvaluatedKey\":{\"pk\":{\"S\":\"p\"},\"sk\":{\"S\":\"b\"}}");
    assert_call(tables, "Query", QUERY(",\"ExclusiveStartKey\":{" KEY("b") "}"), 200,
                "{\"Items\":[{\"pk\":{\"S\":\"p\"},\"sk\":{\"S\":\"c\"}");
    assert_call(tables, "Query", QUERY(",\"ScanIndexForward\":false,\"Limit\":1"), 200,
                "{\"Items\":[{\"pk\":{\"S\":\"p\"},\"sk\":{\"S\":\"c\"}");
    assert_call(tables, "Query",
                QUERY(",\"ScanIndexForward\":false,\"ExclusiveStartKey\":{" KEY("b") "}"), 200,
                "{\"Items\":[{\"pk\":{\"S\":\"p\"},\"sk\":{\"S\":\"a\"}");
}

static void test_listing_lags(void)
{
    g_autoptr(GHashTable) tables = tables_new();
    static const char put[] = "{\"TableName\":\"lagging\",\"Item\":{" KEY("a") "}}";
    static const char query[] =
        "{\"TableName\":\"lagging\",\"KeyConditionExpression\":\"pk = :pk\","
        "\"ExpressionAttributeValues\":{\":pk\":{\"S\":\"p\"}}}";
    static const char removal[] = "{\"TableName\":\"lagging\",\"Key\":{" KEY("a") "}}";

    assert_call_at(tables, "PutItem", put, 1000, 200, "{}");
    assert_call_at(tables, "Query", query, 1000 + LAG_US - 1, 200, "\"Count\":0");
    assert_call_at(tables, "Query", query, 1000 + LAG_US, 200, "\"Count\":1");
    assert_call_at(tables, "DeleteItem", removal, 20000, 200, "{}");
    assert_call_at(tables, "Query", query, 20000, 200, "\"Count\":1");
    assert_call_at(tables, "Query", query, 20000 + LAG_US, 200, "\"Count\":0");
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/standin/table/get-and-put", test_get_and_put);
    g_test_add_func("/standin/table/conditions", test_conditions);
    g_test_add_func("/standin/table/malformed", test_malformed_calls);
    g_test_add_func("/standin/table/transaction", test_transaction_is_all_or_nothing);
    g_test_add_func("/standin/table/pages", test_query_pages);
    g_test_add_func("/standin/table/listing-lags", test_listing_lags);
    return g_test_run();
}
