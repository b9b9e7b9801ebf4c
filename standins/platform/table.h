/* The stand-in's tables: items of DynamoDB attribute values under a partition key "pk" and a sort
 * key "sk", both strings. Not thread-safe: the caller holds the server's lock. */
#ifndef SW_STANDINS_PLATFORM_TABLE_H
#define SW_STANDINS_PLATFORM_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <json-glib/json-glib.h>

#define TABLE_PARTITION_KEY "pk"
#define TABLE_SORT_KEY      "sk"

struct table;

/* A table whose listings show changes `listing_lag_us` microseconds late; 0 shows them at once. */
struct table *table_new(int64_t listing_lag_us);

void table_free(struct table *table);

/* The current item under the key, or NULL. The table owns it. */
JsonObject *table_get(struct table *table, const char *partition, const char *sort);

/* Replaces the item under its key, or removes it if `item` is NULL. Takes a reference. `now_us` is
 * monotonic time in microseconds. */
void table_set(struct table *table, const char *partition, const char *sort, JsonObject *item,
               int64_t now_us);

/* Items of a partition in the order of their sort keys, as listings show them: at most `limit`
 * (0: all), after sort key `start` (NULL: from the first). The caller frees the array. */
GPtrArray *table_list(struct table *table, const char *partition, const char *start,
                      bool descending, guint limit, int64_t now_us);

/* The string attribute of an item, or NULL. */
const char *table_item_text(JsonObject *item, const char *attribute);

#endif
