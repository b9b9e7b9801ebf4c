/* One published version of the configuration, as a row of the table service. The head is the row of
 * the newest version; the history has one row for each version. */
#ifndef SW_CONFIGURATION_VERSION_ROW_H
#define SW_CONFIGURATION_VERSION_ROW_H

#include <stdbool.h>
#include <stdint.h>

#include "storage/table_item.h"

/* Keys of the rows. The sort key of a history row is version_history_sort. */
#define VERSION_HEAD_PARTITION    "configuration"
#define VERSION_HEAD_SORT         "head"
#define VERSION_HISTORY_PARTITION "configuration-history"
#define VERSION_ATTRIBUTE_VERSION "version"

/* Owns its strings. */
struct version_row {
    uint64_t version;      /* from 1; the predecessor's plus one */
    char *hash;            /* content hash of the bundle */
    char *request_id;      /* identifies one publication, if its answer was lost */
    char *author;          /* publisher's name, self-reported */
    char *message;         /* reason for the change */
    uint64_t published_at; /* Unix time in s by the publisher's clock; for display only */
};

void version_row_free(struct version_row *row);

/* An independent copy; NULL for NULL. */
struct version_row *version_row_copy(const struct version_row *row);

/* The row as an item under the head's key. The caller frees it. */
struct table_item *version_row_to_head(const struct version_row *row);

/* The row as an item under its history key. The caller frees it. */
struct table_item *version_row_to_history(const struct version_row *row);

/* Sort key of a version in the history: zero-padded, so that text order is numeric order. The
 * caller frees it. */
char *version_history_sort(uint64_t version);

/* The row of an item; NULL if an attribute is missing. The caller frees it. */
struct version_row *version_row_from_item(const struct table_item *item);

#endif
