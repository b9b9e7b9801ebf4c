/* Client of the table service. */
#include "storage/table_client.h"

#include <string.h>

#include "core/error.h"

#define TARGET_PREFIX    "DynamoDB_20120810."
#define SERVICE_NAME     "dynamodb"
#define ANSWER_BYTES_MAX (4 * 1024 * 1024)

struct table_client {
    struct http_client *http;
    char *url;
};

struct table_client *table_client_new(const struct platform_settings *settings)
{
    struct table_client *client = g_new0(struct table_client, 1);

    client->http = http_client_new(settings);
    client->url = g_strdup(settings->table_url);
    return client;
}

void table_client_free(struct table_client *client)
{
    if (client == NULL) {
        return;
    }
    http_client_free(client->http);
    g_free(client->url);
    g_free(client);
}

static enum platform_result fail(GError **error, enum platform_result result, const char *text)
{
    g_set_error(error, SW_ERROR, platform_result_kind(result), "table service: %s", text);
    return result;
}

/* A cancelled transaction had no effect. It is CONDITION_FAILED if any of its reasons is a failed
 * condition; other reasons, such as a conflicting transaction or a rate limit, allow a retry. */
static enum platform_result classify_cancellation(JsonObject *answer)
{
    JsonNode *node = json_object_get_member(answer, "CancellationReasons");

    if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node)) {
        return PLATFORM_RESULT_THROTTLED;
    }
    JsonArray *reasons = json_node_get_array(node);
    for (guint i = 0; i < json_array_get_length(reasons); i++) {
        JsonNode *reason = json_array_get_element(reasons, i);
        if (JSON_NODE_HOLDS_OBJECT(reason) &&
            g_strcmp0(json_object_get_string_member_with_default(json_node_get_object(reason),
                                                                 "Code", NULL),
                      "ConditionalCheckFailed") == 0) {
            return PLATFORM_RESULT_CONDITION_FAILED;
        }
    }
    return PLATFORM_RESULT_THROTTLED;
}

/* The result of an error answer below status 500, by the short name of its type. */
static enum platform_result classify_error(const char *type, JsonObject *answer)
{
    static const struct {
        const char *type;
        enum platform_result result;
    } results[] = {
        {"ConditionalCheckFailedException", PLATFORM_RESULT_CONDITION_FAILED},
        {"ProvisionedThroughputExceededException", PLATFORM_RESULT_THROTTLED},
        {"RequestLimitExceeded", PLATFORM_RESULT_THROTTLED},
        {"ThrottlingException", PLATFORM_RESULT_THROTTLED},
        {"TransactionConflictException", PLATFORM_RESULT_THROTTLED},
    };

    if (strcmp(type, "TransactionCanceledException") == 0) {
        return classify_cancellation(answer);
    }
    for (guint i = 0; i < G_N_ELEMENTS(results); i++) {
        if (strcmp(results[i].type, type) == 0) {
            return results[i].result;
        }
    }
    return PLATFORM_RESULT_REFUSED;
}

static enum platform_result read_error(const struct http_answer *http, JsonObject *answer,
                                       GError **error)
{
    if (http->status >= 500) {
        g_autofree char *text = g_strdup_printf("status %ld", http->status);
        return fail(error, PLATFORM_RESULT_UNKNOWN, text);
    }
    const char *type = json_object_get_string_member_with_default(answer, "__type", "");
    const char *message = json_object_get_string_member_with_default(answer, "message", "");
    const char *separator = strrchr(type, '#');
    const char *short_type = separator != NULL ? separator + 1 : type;
    g_autofree char *text = g_strdup_printf("%s: %s", short_type, message);
    return fail(error, classify_error(short_type, answer), text);
}

/* Parses an answer. OK: the caller owns the object in `answer`; otherwise returns the failure that
 * the answer reports, or UNKNOWN if it is not a JSON object. */
static enum platform_result read_answer(const struct http_answer *http, JsonObject **answer,
                                        GError **error)
{
    g_autoptr(JsonParser) parser = json_parser_new();

    if (!json_parser_load_from_data(parser, (const char *)http->body->data, http->body->len,
                                    NULL) ||
        json_parser_get_root(parser) == NULL ||
        !JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser))) {
        return fail(error, PLATFORM_RESULT_UNKNOWN, "the answer is not a JSON object");
    }
    JsonObject *object = json_node_get_object(json_parser_get_root(parser));
    if (http->status != 200) {
        return read_error(http, object, error);
    }
    *answer = json_object_ref(object);
    return PLATFORM_RESULT_OK;
}

/* Makes one call; takes ownership of `request`. */
static enum platform_result call(struct table_client *client, const char *operation,
                                 JsonObject *request, bool is_write, JsonObject **answer,
                                 GError **error)
{
    g_autoptr(JsonNode) node = json_node_new(JSON_NODE_OBJECT);
    json_node_take_object(node, request);
    g_autofree char *body = json_to_string(node, FALSE);
    g_autofree char *target = g_strconcat("X-Amz-Target: " TARGET_PREFIX, operation, NULL);
    const char *headers[] = {"Content-Type: application/x-amz-json-1.0", target, NULL};
    struct http_request http_request = {
        .method = "POST",
        .url = client->url,
        .service = SERVICE_NAME,
        .headers = headers,
        .body = body,
        .body_length = strlen(body),
        .answer_bytes_max = ANSWER_BYTES_MAX,
        .is_write = is_write,
    };
    struct http_answer http_answer;

    switch (http_client_call(client->http, &http_request, &http_answer, error)) {
    case HTTP_OUTCOME_NOT_SENT:
        return PLATFORM_RESULT_UNAVAILABLE;
    case HTTP_OUTCOME_NO_ANSWER:
        return PLATFORM_RESULT_UNKNOWN;
    case HTTP_OUTCOME_ANSWERED:
        break;
    }
    enum platform_result result = read_answer(&http_answer, answer, error);
    g_byte_array_unref(http_answer.body);
    return result;
}

/* Makes the call of a write, whose answer's content is not needed. */
static enum platform_result call_write(struct table_client *client, const char *operation,
                                       JsonObject *request, GError **error)
{
    JsonObject *answer = NULL;
    enum platform_result result = call(client, operation, request, true, &answer, error);

    g_clear_pointer(&answer, json_object_unref);
    return result;
}

static JsonObject *make_key(const char *partition, const char *sort)
{
    struct table_item *key = table_item_new(partition, sort);
    JsonObject *object = json_object_ref(key->attributes);

    table_item_free(key);
    return object;
}

static JsonObject *make_keyed_request(const char *table, const char *partition, const char *sort)
{
    JsonObject *request = json_object_new();

    json_object_set_string_member(request, "TableName", table);
    json_object_set_object_member(request, "Key", make_key(partition, sort));
    return request;
}

static JsonObject *single_member_object(const char *name, const char *text)
{
    JsonObject *object = json_object_new();

    json_object_set_string_member(object, name, text);
    return object;
}

static void add_condition(JsonObject *request, const struct table_condition *condition)
{
    switch (condition->kind) {
    case TABLE_CONDITION_NONE:
        return;
    case TABLE_CONDITION_ABSENT:
        json_object_set_string_member(request, "ConditionExpression",
                                      "attribute_not_exists(" TABLE_ITEM_PARTITION ")");
        return;
    case TABLE_CONDITION_NUMBER_EQUALS:
        break;
    }
    g_autofree char *digits = g_strdup_printf("%" G_GUINT64_FORMAT, condition->number);
    JsonObject *values = json_object_new();
    json_object_set_object_member(values, ":v", single_member_object("N", digits));
    json_object_set_string_member(request, "ConditionExpression", "#v = :v");
    json_object_set_object_member(request, "ExpressionAttributeNames",
                                  single_member_object("#v", condition->attribute));
    json_object_set_object_member(request, "ExpressionAttributeValues", values);
}

static JsonObject *make_put(const struct table_write *write)
{
    JsonObject *request = json_object_new();

    json_object_set_string_member(request, "TableName", write->table);
    json_object_set_object_member(request, "Item", json_object_ref(write->item->attributes));
    add_condition(request, &write->condition);
    return request;
}

enum platform_result table_client_get(struct table_client *client, const char *table,
                                      const char *partition, const char *sort,
                                      struct table_item **item, GError **error)
{
    JsonObject *request = make_keyed_request(table, partition, sort);
    JsonObject *answer = NULL;

    *item = NULL;
    json_object_set_boolean_member(request, "ConsistentRead", TRUE);
    enum platform_result result = call(client, "GetItem", request, false, &answer, error);
    if (result != PLATFORM_RESULT_OK) {
        return result;
    }
    JsonNode *node = json_object_get_member(answer, "Item");
    if (node != NULL && JSON_NODE_HOLDS_OBJECT(node)) {
        *item = table_item_from_json(json_node_get_object(node));
    }
    json_object_unref(answer);
    return *item != NULL ? PLATFORM_RESULT_OK : PLATFORM_RESULT_NOT_FOUND;
}

enum platform_result table_client_put(struct table_client *client, const struct table_write *write,
                                      GError **error)
{
    return call_write(client, "PutItem", make_put(write), error);
}

enum platform_result table_client_delete(struct table_client *client, const char *table,
                                         const char *partition, const char *sort, GError **error)
{
    return call_write(client, "DeleteItem", make_keyed_request(table, partition, sort), error);
}

enum platform_result table_client_transact(struct table_client *client,
                                           const struct table_write *writes, guint count,
                                           GError **error)
{
    JsonObject *request = json_object_new();
    JsonArray *items = json_array_new();

    for (guint i = 0; i < count; i++) {
        JsonObject *element = json_object_new();
        json_object_set_object_member(element, "Put", make_put(&writes[i]));
        json_array_add_object_element(items, element);
    }
    json_object_set_array_member(request, "TransactItems", items);
    return call_write(client, "TransactWriteItems", request, error);
}

static JsonObject *make_query(const struct table_query *query)
{
    JsonObject *request = json_object_new();
    JsonObject *values = json_object_new();

    json_object_set_object_member(values, ":p", single_member_object("S", query->partition));
    json_object_set_string_member(request, "TableName", query->table);
    json_object_set_string_member(request, "KeyConditionExpression", TABLE_ITEM_PARTITION " = :p");
    json_object_set_object_member(request, "ExpressionAttributeValues", values);
    json_object_set_boolean_member(request, "ScanIndexForward", !query->descending);
    json_object_set_boolean_member(request, "ConsistentRead", TRUE);
    if (query->limit > 0) {
        json_object_set_int_member(request, "Limit", query->limit);
    }
    if (query->start_after != NULL) {
        json_object_set_object_member(request, "ExclusiveStartKey",
                                      make_key(query->partition, query->start_after));
    }
    return request;
}

static void add_items(JsonObject *answer, GPtrArray *items)
{
    JsonNode *node = json_object_get_member(answer, "Items");
    JsonArray *array =
        node != NULL && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) : NULL;

    for (guint i = 0; array != NULL && i < json_array_get_length(array); i++) {
        JsonNode *element = json_array_get_element(array, i);
        if (JSON_NODE_HOLDS_OBJECT(element)) {
            g_ptr_array_add(items, table_item_from_json(json_node_get_object(element)));
        }
    }
}

enum platform_result table_client_query(struct table_client *client,
                                        const struct table_query *query, GPtrArray *items,
                                        bool *more, GError **error)
{
    JsonObject *answer = NULL;
    enum platform_result result = call(client, "Query", make_query(query), false, &answer, error);

    if (result != PLATFORM_RESULT_OK) {
        return result;
    }
    add_items(answer, items);
    if (more != NULL) {
        *more = json_object_has_member(answer, "LastEvaluatedKey");
    }
    json_object_unref(answer);
    return PLATFORM_RESULT_OK;
}
