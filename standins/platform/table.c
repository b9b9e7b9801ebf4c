/* The stand-in's tables. */
#include "standins/platform/table.h"

#include <string.h>

/* Separates partition and sort key; sorts before all characters of either. */
#define KEY_SEPARATOR '\x01'

/* A change that listings do not show yet. */
struct pending_change {
    int64_t visible_at_us;
    char *key;
    JsonObject *item; /* NULL: removed */
};

struct table {
    GTree *items;   /* key -> JsonObject, as reads by key return them */
    GTree *listing; /* key -> JsonObject, as listings show them */
    GQueue *pending;
    int64_t listing_lag_us;
};

static gint compare_keys(gconstpointer left, gconstpointer right, gpointer user_data)
{
    return strcmp(left, right);
}

static GTree *item_tree_new(void)
{
    return g_tree_new_full(compare_keys, NULL, g_free, (GDestroyNotify)json_object_unref);
}

static void pending_change_free(gpointer data)
{
    struct pending_change *change = data;

    g_clear_pointer(&change->item, json_object_unref);
    g_free(change->key);
    g_free(change);
}

struct table *table_new(int64_t listing_lag_us)
{
    struct table *table = g_new0(struct table, 1);

    table->items = item_tree_new();
    table->listing = item_tree_new();
    table->pending = g_queue_new();
    table->listing_lag_us = listing_lag_us;
    return table;
}

void table_free(struct table *table)
{
    g_queue_free_full(table->pending, pending_change_free);
    g_tree_unref(table->items);
    g_tree_unref(table->listing);
    g_free(table);
}

static char *make_key(const char *partition, const char *sort)
{
    return g_strdup_printf("%s%c%s", partition, KEY_SEPARATOR, sort);
}

static void tree_set(GTree *tree, const char *key, JsonObject *item)
{
    if (item == NULL) {
        g_tree_remove(tree, key);
        return;
    }
    g_tree_replace(tree, g_strdup(key), json_object_ref(item));
}

JsonObject *table_get(struct table *table, const char *partition, const char *sort)
{
    g_autofree char *key = make_key(partition, sort);

    return g_tree_lookup(table->items, key);
}

static void show_due_changes(struct table *table, int64_t now_us)
{
    struct pending_change *change = g_queue_peek_head(table->pending);

    while (change != NULL && change->visible_at_us <= now_us) {
        tree_set(table->listing, change->key, change->item);
        pending_change_free(g_queue_pop_head(table->pending));
        change = g_queue_peek_head(table->pending);
    }
}

void table_set(struct table *table, const char *partition, const char *sort, JsonObject *item,
               int64_t now_us)
{
    struct pending_change *change = g_new0(struct pending_change, 1);

    change->key = make_key(partition, sort);
    change->item = item != NULL ? json_object_ref(item) : NULL;
    change->visible_at_us = now_us + table->listing_lag_us;
    tree_set(table->items, change->key, item);
    g_queue_push_tail(table->pending, change);
    show_due_changes(table, now_us);
}

/* The node to start from: the first or last of the partition, or the node next to `start`. */
static GTreeNode *first_node(struct table *table, const char *partition, const char *start,
                             bool descending)
{
    g_autofree char *low = make_key(partition, start != NULL ? start : "");
    g_autofree char *high = g_strdup_printf("%s%c", partition, KEY_SEPARATOR + 1);

    if (!descending) {
        return start != NULL ? g_tree_upper_bound(table->listing, low)
                             : g_tree_lower_bound(table->listing, low);
    }
    GTreeNode *above = g_tree_lower_bound(table->listing, start != NULL ? low : high);
    return above != NULL ? g_tree_node_previous(above) : g_tree_node_last(table->listing);
}

GPtrArray *table_list(struct table *table, const char *partition, const char *start,
                      bool descending, guint limit, int64_t now_us)
{
    GPtrArray *items = g_ptr_array_new();
    g_autofree char *prefix = make_key(partition, "");

    show_due_changes(table, now_us);
    GTreeNode *node = first_node(table, partition, start, descending);
    while (node != NULL && g_str_has_prefix(g_tree_node_key(node), prefix)) {
        if (limit > 0 && items->len == limit) {
            break;
        }
        g_ptr_array_add(items, g_tree_node_value(node));
        node = descending ? g_tree_node_previous(node) : g_tree_node_next(node);
    }
    return items;
}

const char *table_item_text(JsonObject *item, const char *attribute)
{
    JsonNode *node = json_object_get_member(item, attribute);

    if (node == NULL || !JSON_NODE_HOLDS_OBJECT(node)) {
        return NULL;
    }
    return json_object_get_string_member_with_default(json_node_get_object(node), "S", NULL);
}
