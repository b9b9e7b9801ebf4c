/* One published version: the row that the head and the history of the table service hold. */
#ifndef SW_CONFIGURATION_VERSION_ROW_H
#define SW_CONFIGURATION_VERSION_ROW_H

#include <stdbool.h>
#include <stdint.h>

#include "storage/table_item.h"

/* Partition and sort key of the head; a version's history row is sorted by its number. */
#define VERSION_HEAD_PARTITION    "configuration"
#define VERSION_HEAD_SORT         "head"
#define VERSION_HISTORY_PARTITION "configuration-history"
#define VERSION_ATTRIBUTE_VERSION "version"

/* Owns its strings. */
struct version_row {
    uint64_t version;      /* from 1, one more than the one before */
    char *hash;            /* content hash of the bundle */
    char *request_id;      /* names one attempt to publish; resolves lost answers */
    char *author;          /* who published, as they say */
    char *message;         /* why */
    uint64_t published_at; /* seconds since 1970 by the publisher's clock; for people only */
};

void version_row_free(struct version_row *row);

/* An independent copy; NULL for NULL. */
struct version_row *version_row_copy(const struct version_row *row);

/* The row as an item under the head's key. The caller frees it. */
struct table_item *version_row_to_head(const struct version_row *row);

/* The row as an item under its history key. The caller frees it. */
struct table_item *version_row_to_history(const struct version_row *row);

/* Sort key of a version in the history: digits that sort as numbers do. The caller frees it. */
char *version_history_sort(uint64_t version);

/* The row that an item holds; NULL if an attribute is missing. The caller frees it. */
struct version_row *version_row_from_item(const struct table_item *item);

#endif
