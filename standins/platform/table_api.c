/* The table service's calls. */
#include "standins/platform/table_api.h"

#include <string.h>

#include <json-glib/json-glib.h>

#include "standins/platform/condition.h"
#include "standins/platform/table.h"

#define ERROR_TYPE_PREFIX      "com.amazonaws.dynamodb.v20120810#"
#define TRANSACTION_ITEMS_MAX  100
#define CONDITION_FAILED_TEXT  "The conditional request failed"
#define CONDITION_INVALID_TEXT "Invalid ConditionExpression"

/* One table's item named by a request. Borrowed from the request. */
struct item_key {
    struct table *table;
    const char *partition;
    const char *sort;
};

typedef struct table_api_answer (*table_api_function)(GHashTable *tables, JsonObject *request,
                                                      int64_t now_us);

static struct table_api_answer answer_object(unsigned status, JsonObject *object)
{
    g_autoptr(JsonNode) node = json_node_new(JSON_NODE_OBJECT);

    json_node_take_object(node, object);
    return (struct table_api_answer){status, json_to_string(node, FALSE)};
}

static JsonObject *error_object(const char *type, const char *message)
{
    JsonObject *object = json_object_new();
    g_autofree char *full_type = g_strconcat(ERROR_TYPE_PREFIX, type, NULL);

    json_object_set_string_member(object, "__type", full_type);
    json_object_set_string_member(object, "message", message);
    return object;
}

struct table_api_answer table_api_error(const char *type, const char *message)
{
    return answer_object(400, error_object(type, message));
}

static struct table_api_answer validation_error(const char *message)
{
    return table_api_error("ValidationException", message);
}

static JsonObject *object_member(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);

    return node != NULL && JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : NULL;
}

/* Finds the table and reads the key attributes of `member`. On failure fills `answer`. */
static bool find_item(GHashTable *tables, JsonObject *request, const char *member,
                      struct item_key *key, struct table_api_answer *answer)
{
    const char *name = json_object_get_string_member_with_default(request, "TableName", "");
    JsonObject *attributes = object_member(request, member);

    key->table = g_hash_table_lookup(tables, name);
    if (key->table == NULL) {
        *answer = table_api_error("ResourceNotFoundException", "Requested resource not found");
        return false;
    }
    key->partition = attributes != NULL ? table_item_text(attributes, TABLE_PARTITION_KEY) : NULL;
    key->sort = attributes != NULL ? table_item_text(attributes, TABLE_SORT_KEY) : NULL;
    if (key->partition == NULL || key->sort == NULL) {
        *answer = validation_error("The provided key element does not match the schema");
        return false;
    }
    return true;
}

static struct table_api_answer get_item(GHashTable *tables, JsonObject *request, int64_t now_us)
{
    struct item_key key;
    struct table_api_answer answer;

    if (!find_item(tables, request, "Key", &key, &answer)) {
        return answer;
    }
    JsonObject *object = json_object_new();
    JsonObject *item = table_get(key.table, key.partition, key.sort);
    if (item != NULL) {
        json_object_set_object_member(object, "Item", json_object_ref(item));
    }
    return answer_object(200, object);
}

/* Checks a write's condition; fills `answer` unless it holds. */
static bool check_condition(JsonObject *request, const struct item_key *key,
                            struct table_api_answer *answer)
{
    JsonObject *item = table_get(key->table, key->partition, key->sort);

    switch (condition_evaluate(request, item)) {
    case CONDITION_HOLDS:
        return true;
    case CONDITION_FAILS:
        *answer = table_api_error("ConditionalCheckFailedException", CONDITION_FAILED_TEXT);
        return false;
    case CONDITION_INVALID:
        *answer = validation_error(CONDITION_INVALID_TEXT);
        return false;
    }
    g_assert_not_reached();
}

static struct table_api_answer put_item(GHashTable *tables, JsonObject *request, int64_t now_us)
{
    struct item_key key;
    struct table_api_answer answer;

    if (!find_item(tables, request, "Item", &key, &answer) ||
        !check_condition(request, &key, &answer)) {
        return answer;
    }
    table_set(key.table, key.partition, key.sort, object_member(request, "Item"), now_us);
    return answer_object(200, json_object_new());
}

static struct table_api_answer delete_item(GHashTable *tables, JsonObject *request, int64_t now_us)
{
    struct item_key key;
    struct table_api_answer answer;

    if (!find_item(tables, request, "Key", &key, &answer) ||
        !check_condition(request, &key, &answer)) {
        return answer;
    }
    table_set(key.table, key.partition, key.sort, NULL, now_us);
    return answer_object(200, json_object_new());
}

/* The sort key that a page starts after, or NULL. */
static const char *page_start(JsonObject *request)
{
    JsonObject *start = object_member(request, "ExclusiveStartKey");

    return start != NULL ? table_item_text(start, TABLE_SORT_KEY) : NULL;
}

static void add_last_key(JsonObject *answer, JsonObject *item)
{
    JsonObject *key = json_object_new();
    static const char *const names[] = {TABLE_PARTITION_KEY, TABLE_SORT_KEY};

    for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
        json_object_set_member(key, names[i],
                               json_node_copy(json_object_get_member(item, names[i])));
    }
    json_object_set_object_member(answer, "LastEvaluatedKey", key);
}

static struct table_api_answer answer_page(GPtrArray *items, guint limit)
{
    JsonObject *object = json_object_new();
    JsonArray *array = json_array_new();

    for (guint i = 0; i < items->len; i++) {
        json_array_add_object_element(array, json_object_ref(g_ptr_array_index(items, i)));
    }
    json_object_set_array_member(object, "Items", array);
    json_object_set_int_member(object, "Count", items->len);
    json_object_set_int_member(object, "ScannedCount", items->len);
    if (limit > 0 && items->len == limit) {
        add_last_key(object, g_ptr_array_index(items, items->len - 1));
    }
    return answer_object(200, object);
}

static struct table_api_answer query(GHashTable *tables, JsonObject *request, int64_t now_us)
{
    const char *name = json_object_get_string_member_with_default(request, "TableName", "");
    const char *expression =
        json_object_get_string_member_with_default(request, "KeyConditionExpression", "");
    struct table *table = g_hash_table_lookup(tables, name);
    gint64 limit = json_object_get_int_member_with_default(request, "Limit", 0);
    bool descending =
        !json_object_get_boolean_member_with_default(request, "ScanIndexForward", TRUE);
    g_autofree char *attribute = NULL;
    JsonNode *value = NULL;

    if (table == NULL) {
        return table_api_error("ResourceNotFoundException", "Requested resource not found");
    }
    if (!condition_parse_equality(request, expression, &attribute, &value) ||
        strcmp(attribute, TABLE_PARTITION_KEY) != 0 || !JSON_NODE_HOLDS_OBJECT(value) ||
        limit < 0) {
        return validation_error("Invalid KeyConditionExpression");
    }
    const char *partition =
        json_object_get_string_member_with_default(json_node_get_object(value), "S", "");
    g_autoptr(GPtrArray) items =
        table_list(table, partition, page_start(request), descending, (guint)limit, now_us);
    return answer_page(items, (guint)limit);
}

/* One write of a transaction. Borrowed from the request. */
struct transaction_write {
    JsonObject *request;
    struct item_key key;
    JsonObject *item; /* NULL: deletes the item, unless `only_checks` */
    bool only_checks;
};

static bool parse_transaction_write(GHashTable *tables, JsonNode *node,
                                    struct transaction_write *write,
                                    struct table_api_answer *answer)
{
    JsonObject *object = JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : NULL;
    JsonObject *put = object != NULL ? object_member(object, "Put") : NULL;
    JsonObject *removal = object != NULL ? object_member(object, "Delete") : NULL;
    JsonObject *check = object != NULL ? object_member(object, "ConditionCheck") : NULL;

    if (put != NULL) {
        write->request = put;
        write->item = object_member(put, "Item");
        return find_item(tables, put, "Item", &write->key, answer);
    }
    write->request = removal != NULL ? removal : check;
    write->only_checks = removal == NULL;
    if (write->request == NULL) {
        *answer = validation_error("TransactItems can only contain Put, Delete, ConditionCheck");
        return false;
    }
    return find_item(tables, write->request, "Key", &write->key, answer);
}

static JsonObject *cancellation_reason(bool failed)
{
    JsonObject *reason = json_object_new();

    json_object_set_string_member(reason, "Code", failed ? "ConditionalCheckFailed" : "None");
    if (failed) {
        json_object_set_string_member(reason, "Message", CONDITION_FAILED_TEXT);
    }
    return reason;
}

/* Checks all conditions; fills `answer` unless all hold. */
static bool check_transaction(GArray *writes, struct table_api_answer *answer)
{
    JsonArray *reasons = json_array_new();
    GString *codes = g_string_new(NULL);
    bool holds = true;
    bool valid = true;

    for (guint i = 0; i < writes->len; i++) {
        struct transaction_write *write = &g_array_index(writes, struct transaction_write, i);
        JsonObject *item = table_get(write->key.table, write->key.partition, write->key.sort);
        enum condition_result result = condition_evaluate(write->request, item);
        holds = holds && result == CONDITION_HOLDS;
        valid = valid && result != CONDITION_INVALID;
        json_array_add_object_element(reasons, cancellation_reason(result == CONDITION_FAILS));
        g_string_append_printf(codes, "%s%s", i > 0 ? ", " : "",
                               result == CONDITION_FAILS ? "ConditionalCheckFailed" : "None");
    }
    if (!valid) {
        *answer = validation_error(CONDITION_INVALID_TEXT);
    } else if (!holds) {
        g_autofree char *message =
            g_strdup_printf("Transaction cancelled, please refer cancellation reasons for "
                            "specific reasons [%s]",
                            codes->str);
        JsonObject *error = error_object("TransactionCanceledException", message);
        json_object_set_array_member(error, "CancellationReasons", json_array_ref(reasons));
        *answer = answer_object(400, error);
    }
    json_array_unref(reasons);
    g_string_free(codes, TRUE);
    return valid && holds;
}

static struct table_api_answer transact_write_items(GHashTable *tables, JsonObject *request,
                                                    int64_t now_us)
{
    JsonNode *node = json_object_get_member(request, "TransactItems");
    JsonArray *items =
        node != NULL && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) : NULL;
    g_autoptr(GArray) writes = g_array_new(FALSE, TRUE, sizeof(struct transaction_write));
    struct table_api_answer answer;

    if (items == NULL || json_array_get_length(items) == 0 ||
        json_array_get_length(items) > TRANSACTION_ITEMS_MAX) {
        return validation_error("TransactItems must have 1 to 100 members");
    }
    for (guint i = 0; i < json_array_get_length(items); i++) {
        struct transaction_write write = {0};
        if (!parse_transaction_write(tables, json_array_get_element(items, i), &write, &answer)) {
            return answer;
        }
        g_array_append_val(writes, write);
    }
    if (!check_transaction(writes, &answer)) {
        return answer;
    }
    for (guint i = 0; i < writes->len; i++) {
        struct transaction_write *write = &g_array_index(writes, struct transaction_write, i);
        if (!write->only_checks) {
            table_set(write->key.table, write->key.partition, write->key.sort, write->item, now_us);
        }
    }
    return answer_object(200, json_object_new());
}

static table_api_function find_function(const char *target)
{
    static const struct {
        const char *name;
        table_api_function function;
    } functions[] = {
        {"GetItem", get_item},
        {"PutItem", put_item},
        {"Query", query},
        {"TransactWriteItems", transact_write_items},
        {"DeleteItem", delete_item},
    };

    if (target == NULL || !g_str_has_prefix(target, TABLE_API_TARGET_PREFIX)) {
        return NULL;
    }
    for (guint i = 0; i < G_N_ELEMENTS(functions); i++) {
        if (strcmp(functions[i].name, target + strlen(TABLE_API_TARGET_PREFIX)) == 0) {
            return functions[i].function;
        }
    }
    return NULL;
}

struct table_api_answer table_api_call(GHashTable *tables, const char *target, const char *body,
                                       gsize length, int64_t now_us)
{
    table_api_function function = find_function(target);
    g_autoptr(JsonParser) parser = json_parser_new();

    if (function == NULL) {
        return table_api_error("UnknownOperationException", "Unknown operation");
    }
    if (!json_parser_load_from_data(parser, body, (gssize)length, NULL) ||
        !JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser))) {
        return table_api_error("SerializationException", "The body is not a JSON object");
    }
    return function(tables, json_node_get_object(json_parser_get_root(parser)), now_us);
}
