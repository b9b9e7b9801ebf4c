/* Client of the table service: the published DynamoDB JSON protocol, with typed results. Calls
 * block for at most the settings' time-out, so none belongs on a request's thread. */
#ifndef SW_PLATFORM_TABLE_CLIENT_H
#define SW_PLATFORM_TABLE_CLIENT_H

#include "storage/http_client.h"
#include "storage/result.h"
#include "storage/table_item.h"

/* What must hold of the item now under a key for a write to take effect. */
enum table_condition_kind {
    TABLE_CONDITION_NONE,
    TABLE_CONDITION_ABSENT,        /* there is no item under the key */
    TABLE_CONDITION_NUMBER_EQUALS, /* its attribute has this number */
};

struct table_condition {
    enum table_condition_kind kind;
    const char *attribute;
    uint64_t number;
};

/* One put. Borrowed for the call. */
struct table_write {
    const char *table;
    const struct table_item *item;
    struct table_condition condition;
};

/* One page of a listing. */
struct table_query {
    const char *table;
    const char *partition;
    const char *start_after; /* sort key; NULL: from the first */
    bool descending;         /* by sort key */
    uint32_t limit;          /* most items; 0: as many as the service gives in a page */
};

struct table_client;

struct table_client *table_client_new(const struct platform_settings *settings);

void table_client_free(struct table_client *client);

/* Reads one item, strongly consistent. OK: `item` is the caller's. Otherwise NOT_FOUND, or a
 * failure with `error` set. Any thread, as for the calls below. */
enum platform_result table_client_get(struct table_client *client, const char *table,
                                      const char *partition, const char *sort,
                                      struct table_item **item, GError **error);

/* Puts one item under a condition. */
enum platform_result table_client_put(struct table_client *client, const struct table_write *write,
                                      GError **error);

/* Removes one item, if it is there. */
enum platform_result table_client_delete(struct table_client *client, const char *table,
                                         const char *partition, const char *sort, GError **error);

/* Puts all items if all conditions hold, otherwise none. */
enum platform_result table_client_transact(struct table_client *client,
                                           const struct table_write *writes, guint count,
                                           GError **error);

/* Lists a page. Adds struct table_item to `items`, an array that frees them with table_item_free.
 * `more` tells whether another page follows the last item; may be NULL. */
enum platform_result table_client_query(struct table_client *client,
                                        const struct table_query *query, GPtrArray *items,
                                        bool *more, GError **error);

#endif
