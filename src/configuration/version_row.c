/* One published version of the configuration, as a row of the table service. */
#include "configuration/version_row.h"

#define ATTRIBUTE_HASH         "hash"
#define ATTRIBUTE_REQUEST_ID   "request_id"
#define ATTRIBUTE_AUTHOR       "author"
#define ATTRIBUTE_MESSAGE      "message"
#define ATTRIBUTE_PUBLISHED_AT "published_at"

void version_row_free(struct version_row *row)
{
    if (row == NULL) {
        return;
    }
    g_free(row->hash);
    g_free(row->request_id);
    g_free(row->author);
    g_free(row->message);
    g_free(row);
}

struct version_row *version_row_copy(const struct version_row *row)
{
    if (row == NULL) {
        return NULL;
    }
    struct version_row *copy = g_new0(struct version_row, 1);
    copy->version = row->version;
    copy->hash = g_strdup(row->hash);
    copy->request_id = g_strdup(row->request_id);
    copy->author = g_strdup(row->author);
    copy->message = g_strdup(row->message);
    copy->published_at = row->published_at;
    return copy;
}

static void set_attributes(struct table_item *item, const struct version_row *row)
{
    table_item_set_number(item, VERSION_ATTRIBUTE_VERSION, row->version);
    table_item_set_text(item, ATTRIBUTE_HASH, row->hash);
    table_item_set_text(item, ATTRIBUTE_REQUEST_ID, row->request_id);
    table_item_set_text(item, ATTRIBUTE_AUTHOR, row->author);
    table_item_set_text(item, ATTRIBUTE_MESSAGE, row->message);
    table_item_set_number(item, ATTRIBUTE_PUBLISHED_AT, row->published_at);
}

struct table_item *version_row_to_head(const struct version_row *row)
{
    struct table_item *item = table_item_new(VERSION_HEAD_PARTITION, VERSION_HEAD_SORT);

    set_attributes(item, row);
    return item;
}

struct table_item *version_row_to_history(const struct version_row *row)
{
    g_autofree char *sort = version_history_sort(row->version);
    struct table_item *item = table_item_new(VERSION_HISTORY_PARTITION, sort);

    set_attributes(item, row);
    return item;
}

char *version_history_sort(uint64_t version)
{
    return g_strdup_printf("%020" G_GUINT64_FORMAT, version);
}

struct version_row *version_row_from_item(const struct table_item *item)
{
    const char *hash = table_item_get_text(item, ATTRIBUTE_HASH);
    const char *request_id = table_item_get_text(item, ATTRIBUTE_REQUEST_ID);
    const char *author = table_item_get_text(item, ATTRIBUTE_AUTHOR);
    const char *message = table_item_get_text(item, ATTRIBUTE_MESSAGE);
    struct version_row row = {0};

    if (hash == NULL || request_id == NULL || author == NULL || message == NULL ||
        !table_item_get_number(item, VERSION_ATTRIBUTE_VERSION, &row.version) ||
        !table_item_get_number(item, ATTRIBUTE_PUBLISHED_AT, &row.published_at)) {
        return NULL;
    }
    row.hash = (char *)hash;
    row.request_id = (char *)request_id;
    row.author = (char *)author;
    row.message = (char *)message;
    return version_row_copy(&row);
}
