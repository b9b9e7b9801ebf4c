/* Canonical JSON and its hash. */
#include "configuration/canonical.h"

#include <string.h>

static JsonNode *sorted_copy(JsonNode *node);

static gint compare_names(gconstpointer left, gconstpointer right)
{
    return strcmp(left, right);
}

static JsonNode *sorted_object(JsonObject *object)
{
    JsonObject *copy = json_object_new();
    g_autoptr(GList) names = json_object_get_members(object);

    names = g_list_sort(names, compare_names);
    for (GList *name = names; name != NULL; name = name->next) {
        JsonNode *member = json_object_get_member(object, name->data);
        json_object_set_member(copy, name->data, sorted_copy(member));
    }
    JsonNode *node = json_node_new(JSON_NODE_OBJECT);
    json_node_take_object(node, copy);
    return node;
}

static JsonNode *sorted_array(JsonArray *array)
{
    JsonArray *copy = json_array_new();
    guint length = json_array_get_length(array);

    for (guint i = 0; i < length; i++) {
        json_array_add_element(copy, sorted_copy(json_array_get_element(array, i)));
    }
    JsonNode *node = json_node_new(JSON_NODE_ARRAY);
    json_node_take_array(node, copy);
    return node;
}

static JsonNode *sorted_copy(JsonNode *node)
{
    if (JSON_NODE_HOLDS_OBJECT(node)) {
        return sorted_object(json_node_get_object(node));
    }
    if (JSON_NODE_HOLDS_ARRAY(node)) {
        return sorted_array(json_node_get_array(node));
    }
    return json_node_copy(node);
}

GBytes *canonical_json(JsonNode *root)
{
    g_autoptr(JsonNode) sorted = sorted_copy(root);
    char *text = json_to_string(sorted, FALSE);

    return g_bytes_new_take(text, strlen(text));
}

char *canonical_hash(GBytes *canonical)
{
    return g_compute_checksum_for_bytes(G_CHECKSUM_SHA256, canonical);
}
