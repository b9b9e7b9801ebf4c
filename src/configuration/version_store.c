/* Published versions in the object store and the table service. */
#include "configuration/version_store.h"

#include <string.h>

#include "configuration/canonical.h"
#include "configuration/configuration.h"
#include "core/error.h"
#include "storage/object_client.h"
#include "storage/table_client.h"

#define BUNDLE_KEY_PREFIX "bundles/"

struct version_store {
    struct table_client *table_client;
    struct object_client *object_client;
    char *table;
};

struct version_store *version_store_new(const struct platform_settings *settings)
{
    struct version_store *store = g_new0(struct version_store, 1);

    store->table_client = table_client_new(settings);
    store->object_client = object_client_new(settings);
    store->table = g_strdup(settings->table);
    return store;
}

void version_store_free(struct version_store *store)
{
    if (store == NULL) {
        return;
    }
    table_client_free(store->table_client);
    object_client_free(store->object_client);
    g_free(store->table);
    g_free(store);
}

/* Decodes an item. A row that does not decode means that the stored data is invalid, which no retry
 * can cure; so the result is REFUSED. */
static enum platform_result read_row(const struct table_item *item, struct version_row **row,
                                     GError **error)
{
    *row = version_row_from_item(item);
    if (*row == NULL) {
        g_set_error(error, SW_ERROR, ERROR_KIND_INTERNAL,
                    "table service: row of a configuration version is missing an attribute");
        return PLATFORM_RESULT_REFUSED;
    }
    return PLATFORM_RESULT_OK;
}

static enum platform_result get_row(struct version_store *store, const char *partition,
                                    const char *sort, struct version_row **row, GError **error)
{
    struct table_item *item = NULL;

    *row = NULL;
    enum platform_result result =
        table_client_get(store->table_client, store->table, partition, sort, &item, error);
    if (result == PLATFORM_RESULT_OK) {
        result = read_row(item, row, error);
    }
    table_item_free(item);
    return result;
}

enum platform_result version_store_read_head(struct version_store *store, struct version_row **row,
                                             GError **error)
{
    return get_row(store, VERSION_HEAD_PARTITION, VERSION_HEAD_SORT, row, error);
}

enum platform_result version_store_read_version(struct version_store *store, uint64_t version,
                                                struct version_row **row, GError **error)
{
    g_autofree char *sort = version_history_sort(version);

    return get_row(store, VERSION_HISTORY_PARTITION, sort, row, error);
}

enum platform_result version_store_list(struct version_store *store, uint64_t before,
                                        uint32_t limit, GPtrArray *rows, GError **error)
{
    g_autofree char *start = before > 0 ? version_history_sort(before) : NULL;
    g_autoptr(GPtrArray) items = g_ptr_array_new_with_free_func((GDestroyNotify)table_item_free);
    const struct table_query query = {
        .table = store->table,
        .partition = VERSION_HISTORY_PARTITION,
        .start_after = start,
        .descending = true,
        .limit = limit,
    };
    enum platform_result result =
        table_client_query(store->table_client, &query, items, NULL, error);

    for (guint i = 0; result == PLATFORM_RESULT_OK && i < items->len; i++) {
        struct version_row *row = NULL;
        result = read_row(g_ptr_array_index(items, i), &row, error);
        if (row != NULL) {
            g_ptr_array_add(rows, row);
        }
    }
    return result;
}

enum platform_result version_store_put_bundle(struct version_store *store, const char *hash,
                                              GBytes *canonical, GError **error)
{
    g_autofree char *key = g_strconcat(BUNDLE_KEY_PREFIX, hash, NULL);

    return object_client_put_new(store->object_client, key, canonical, error);
}

enum platform_result version_store_get_bundle(struct version_store *store, const char *hash,
                                              GBytes **canonical, GError **error)
{
    g_autofree char *key = g_strconcat(BUNDLE_KEY_PREFIX, hash, NULL);
    enum platform_result result =
        object_client_get(store->object_client, key, CONFIGURATION_BYTES_MAX, canonical, error);

    if (result != PLATFORM_RESULT_OK) {
        return result;
    }
    g_autofree char *found = canonical_hash(*canonical);
    if (strcmp(found, hash) != 0) {
        g_clear_pointer(canonical, g_bytes_unref);
        g_set_error(error, SW_ERROR, ERROR_KIND_INTERNAL,
                    "object store: content of bundle %s has hash %s", hash, found);
        return PLATFORM_RESULT_REFUSED;
    }
    return PLATFORM_RESULT_OK;
}

enum platform_result version_store_move_head(struct version_store *store,
                                             const struct version_row *row, GError **error)
{
    struct table_item *head = version_row_to_head(row);
    struct table_item *history = version_row_to_history(row);
    struct table_condition head_is_previous = {
        .kind = row->version == 1 ? TABLE_CONDITION_ABSENT : TABLE_CONDITION_NUMBER_EQUALS,
        .attribute = VERSION_ATTRIBUTE_VERSION,
        .number = row->version - 1,
    };
    const struct table_write writes[] = {
        {store->table, head, head_is_previous},
        {store->table, history, {.kind = TABLE_CONDITION_ABSENT}},
    };
    enum platform_result result =
        table_client_transact(store->table_client, writes, G_N_ELEMENTS(writes), error);

    table_item_free(head);
    table_item_free(history);
    return result;
}
