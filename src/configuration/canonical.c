/* Canonical JSON and its hash. */
#include "configuration/canonical.h"

#include <string.h>

static gint compare_names(gconstpointer left, gconstpointer right)
{
    return strcmp(left, right);
}

static void sort_node(JsonNode *node);

/* An object keeps its members in order of insertion, and removing one is linear. So the node gets a
 * new object with the same member nodes, inserted in sorted order. */
static void sort_object(JsonNode *node)
{
    JsonObject *object = json_node_get_object(node);
    JsonObject *sorted = json_object_new();
    g_autoptr(GList) names = json_object_get_members(object);

    names = g_list_sort(names, compare_names);
    for (GList *name = names; name != NULL; name = name->next) {
        JsonNode *member = json_object_get_member(object, name->data);
        sort_node(member);
        json_object_set_member(sorted, name->data, json_node_ref(member));
    }
    json_node_take_object(node, sorted);
}

static void sort_node(JsonNode *node)
{
    if (JSON_NODE_HOLDS_OBJECT(node)) {
        sort_object(node);
        return;
    }
    if (!JSON_NODE_HOLDS_ARRAY(node)) {
        return;
    }
    JsonArray *array = json_node_get_array(node);
    for (guint i = 0; i < json_array_get_length(array); i++) {
        sort_node(json_array_get_element(array, i));
    }
}

GBytes *canonical_json(JsonNode *root)
{
    sort_node(root);
    char *text = json_to_string(root, FALSE);
    return g_bytes_new_take(text, strlen(text));
}

char *canonical_hash(GBytes *canonical)
{
    return g_compute_checksum_for_bytes(G_CHECKSUM_SHA256, canonical);
}
