/* One item of the table service: a partition key, a sort key and typed attributes. */
#ifndef SW_STORAGE_TABLE_ITEM_H
#define SW_STORAGE_TABLE_ITEM_H

#include <stdbool.h>
#include <stdint.h>

#include <json-glib/json-glib.h>

#define TABLE_ITEM_PARTITION "pk"
#define TABLE_ITEM_SORT      "sk"

/* Owns its attributes; used by one thread at a time. */
struct table_item {
    JsonObject *attributes; /* name -> {"S": text} or {"N": digits} */
};

/* An item with its two keys. */
struct table_item *table_item_new(const char *partition, const char *sort);

/* An item with attributes in the form of the service's JSON. Takes a reference to them. */
struct table_item *table_item_from_json(JsonObject *attributes);

void table_item_free(struct table_item *item);

void table_item_set_text(struct table_item *item, const char *name, const char *text);

void table_item_set_number(struct table_item *item, const char *name, uint64_t number);

/* The text attribute, owned by the item; NULL if it is absent or of another type. */
const char *table_item_get_text(const struct table_item *item, const char *name);

/* The number attribute; false if it is absent, of another type or not an unsigned 64-bit integer.
 */
bool table_item_get_number(const struct table_item *item, const char *name, uint64_t *number);

#endif
