/* Client of the table service: a subset of the DynamoDB JSON protocol, with typed results. A call
 * blocks for up to the settings' time-out, so threads that serve requests must not make one. */
#ifndef SW_STORAGE_TABLE_CLIENT_H
#define SW_STORAGE_TABLE_CLIENT_H

#include "storage/http_client.h"
#include "storage/result.h"
#include "storage/table_item.h"

/* Condition on the present item of a key; a write takes effect only if it is true. */
enum table_condition_kind {
    TABLE_CONDITION_NONE,
    TABLE_CONDITION_ABSENT,        /* the key has no item */
    TABLE_CONDITION_NUMBER_EQUALS, /* the item's attribute has this number */
};

struct table_condition {
    enum table_condition_kind kind;
    const char *attribute;
    uint64_t number;
};

/* One put. Its members are borrowed for the call. */
struct table_write {
    const char *table;
    const struct table_item *item;
    struct table_condition condition;
};

/* One page of the items of a partition. */
struct table_query {
    const char *table;
    const char *partition;
    const char *start_after; /* sort key; NULL: from the first */
    bool descending;         /* by sort key */
    uint32_t limit;          /* most items; 0: the service's limit of a page */
};

struct table_client;

struct table_client *table_client_new(const struct platform_settings *settings);

void table_client_free(struct table_client *client);

/* Reads one item, strongly consistent. OK: the caller frees `item`. Otherwise NOT_FOUND, or a
 * failure with `error` set. Any thread, as for the calls below. */
enum platform_result table_client_get(struct table_client *client, const char *table,
                                      const char *partition, const char *sort,
                                      struct table_item **item, GError **error);

/* Puts one item under a condition. */
enum platform_result table_client_put(struct table_client *client, const struct table_write *write,
                                      GError **error);

/* Deletes one item if it exists. */
enum platform_result table_client_delete(struct table_client *client, const char *table,
                                         const char *partition, const char *sort, GError **error);

/* Puts all items in one transaction; none if any condition is false. */
enum platform_result table_client_transact(struct table_client *client,
                                           const struct table_write *writes, guint count,
                                           GError **error);

/* Reads a page. Appends struct table_item to `items`, an array that frees them with
 * table_item_free. `more`, which may be NULL, is set to whether another page follows. */
enum platform_result table_client_query(struct table_client *client,
                                        const struct table_query *query, GPtrArray *items,
                                        bool *more, GError **error);

#endif
