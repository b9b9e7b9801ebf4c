/* One item of the table service. */
#include "storage/table_item.h"

#define TYPE_TEXT   "S"
#define TYPE_NUMBER "N"

static void set_value(struct table_item *item, const char *name, const char *type,
                      const char *value)
{
    JsonObject *object = json_object_new();

    json_object_set_string_member(object, type, value);
    json_object_set_object_member(item->attributes, name, object);
}

static const char *get_value(const struct table_item *item, const char *name, const char *type)
{
    JsonNode *node = json_object_get_member(item->attributes, name);

    if (node == NULL || !JSON_NODE_HOLDS_OBJECT(node)) {
        return NULL;
    }
    JsonNode *value = json_object_get_member(json_node_get_object(node), type);
    return value != NULL ? json_node_get_string(value) : NULL;
}

struct table_item *table_item_new(const char *partition, const char *sort)
{
    struct table_item *item = g_new0(struct table_item, 1);

    item->attributes = json_object_new();
    table_item_set_text(item, TABLE_ITEM_PARTITION, partition);
    table_item_set_text(item, TABLE_ITEM_SORT, sort);
    return item;
}

struct table_item *table_item_from_json(JsonObject *attributes)
{
    struct table_item *item = g_new0(struct table_item, 1);

    item->attributes = json_object_ref(attributes);
    return item;
}

void table_item_free(struct table_item *item)
{
    if (item == NULL) {
        return;
    }
    json_object_unref(item->attributes);
    g_free(item);
}

void table_item_set_text(struct table_item *item, const char *name, const char *text)
{
    set_value(item, name, TYPE_TEXT, text);
}

void table_item_set_number(struct table_item *item, const char *name, uint64_t number)
{
    g_autofree char *digits = g_strdup_printf("%" G_GUINT64_FORMAT, number);

    set_value(item, name, TYPE_NUMBER, digits);
}

const char *table_item_get_text(const struct table_item *item, const char *name)
{
    return get_value(item, name, TYPE_TEXT);
}

bool table_item_get_number(const struct table_item *item, const char *name, uint64_t *number)
{
    const char *digits = get_value(item, name, TYPE_NUMBER);
    guint64 value = 0;

    if (digits == NULL || !g_ascii_string_to_unsigned(digits, 10, 0, G_MAXUINT64, &value, NULL)) {
        return false;
    }
    *number = value;
    return true;
}
