/**
 * @file
 * @brief The rows of the store as known here, from the store itself or from another pooler.
 *
 * Every row is kept as last seen, so that it can be relayed. Its content is taken over into the
 * configuration in force and into the directory. Belongs to the control thread.
 */
#define G_LOG_DOMAIN "store"
#include "pooler/control/control_internal.h"

#include <inttypes.h>

/* Rows of at least this many bytes are relayed as deltas; a smaller row fits into one or two
 * packets. */
#define DELTA_FROM_SIZE ((gsize)4096)

/* Earlier values kept to compute deltas. A pooler confirms rows with each heartbeat, every 250 ms,
 * and a burst of configurations brings about 12 a second. Each value takes memory, 600 KB with
 * 1,000 groups. */
#define PAST_VALUES 4

static void
free_past(gpointer data)
{
    past_value_t *past = data;
    g_clear_pointer(&past->delta, g_bytes_unref);
    g_clear_pointer(&past->compressed, g_bytes_unref);
    g_bytes_unref(past->value);
    g_free(past);
}

static void
free_row(gpointer data)
{
    struct known_row *row = data;
    g_free(row->key);
    g_queue_clear_full(&row->past, free_past);
    g_clear_pointer(&row->compressed, g_bytes_unref);
    g_clear_pointer(&row->value, g_bytes_unref);
    g_free(row);
}

void
control_feeds_start(struct control *control)
{
    for (int table = 0; table < STORE_TABLE_COUNT; table++) {
        struct feed *feed = &control->feeds[table];
        feed->control = control;
        feed->table = (enum store_table)table;
        feed->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
    }
}

static void
take_configuration(struct control *control, GBytes *value)
{
    gsize length = 0;
    const char *text = g_bytes_get_data(value, &length);
    g_autoptr(GError) error = NULL;
    struct configuration *configuration = configuration_decode(text, length, &error);
    if (configuration == NULL) {
        g_warning("Configuration could not be decoded: %s.", error->message);
        control->configuration_unread = true;
        return;
    }
    control->configuration_unread = false;
    if (control->configuration != NULL &&
        configuration->version <= control->configuration->version) {
        configuration_unref(configuration);
        return;
    }
    g_autofree char *version = g_strdup_printf("%" PRIu64, configuration->version);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_VERSION", version, "MESSAGE",
                     "Configuration %s is in force: %u routes, %u services.", version,
                     g_hash_table_size(configuration->routes), configuration->services->len);
    g_clear_pointer(&control->configuration, configuration_unref);
    control->configuration = configuration;
    control->view_dirty = true;
}

/* Decodes a database's record; NULL if it is unusable. Clients other than databases may write
 * records, too: an unusable one counts as no record, even if it replaces a usable one. */
static struct directory_entry *
read_record(struct control *control, const char *id, uint64_t version, GBytes *value)
{
    gsize length = 0;
    const char *text = g_bytes_get_data(value, &length);
    g_autoptr(GError) error = NULL;
    struct directory_entry *entry = directory_entry_decode(id, text, length, &error);
    if (entry == NULL) {
        g_autofree char *row = g_strdup_printf("%" PRIu64, version);
        control->counts.records_unusable++;
        g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_WARNING, "SW_DATABASE", id, "SW_ROW", row,
                         "SW_ERROR", error->message, "MESSAGE",
                         "Record of database %s is unusable: %s.", id, error->message);
    }
    return entry;
}

/* What has changed, for the log. */
static const char *
describe_change(const struct directory_entry *entry, GBytes *value)
{
    if (value == NULL) {
        return "was deleted";
    }
    if (entry == NULL) {
        return "is unusable";
    }
    return entry->draining ? "reports draining" : "changed";
}

static void
take_directory_row(struct control *control, const char *id, uint64_t version, GBytes *value)
{
    struct directory_entry *entry = value == NULL ? NULL : read_record(control, id, version, value);
    const char *change = describe_change(entry, value);
    if (directory_apply_row(&control->directory, id, version, entry, backend_now())) {
        g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_DATABASE", id, "MESSAGE",
                         "Database %s: record %s.", id, change);
        control->view_dirty = true;
    }
}

/* Moves the earlier values from `before`, the previous version of the row, to `row`. */
static void
keep_past_values(struct known_row *row, struct known_row *before)
{
    if (row->value == NULL || before->value == NULL ||
        g_bytes_get_size(row->value) < DELTA_FROM_SIZE) {
        return;
    }
    for (GList *link = before->past.head; link != NULL; link = link->next) {
        past_value_t *past = link->data; /* the delta leads to a value that is no longer current */
        g_clear_pointer(&past->delta, g_bytes_unref);
        g_clear_pointer(&past->compressed, g_bytes_unref);
    }
    row->past = before->past;
    g_queue_init(&before->past);
    past_value_t *past = g_new0(past_value_t, 1);
    past->version = before->version;
    past->value = g_bytes_ref(before->value);
    g_queue_push_head(&row->past, past);
    if (row->past.length > PAST_VALUES) {
        free_past(g_queue_pop_tail(&row->past));
    }
}

static void
put_row(struct feed *feed, const char *key, uint64_t version, GBytes *value)
{
    struct known_row *row = g_new0(struct known_row, 1);
    struct known_row *before = g_hash_table_lookup(feed->rows, key);
    row->key = g_strdup(key);
    row->version = version;
    row->gone = value == NULL;
    row->value = value == NULL ? NULL : g_bytes_ref(value);
    row->learned_at = backend_now();
    if (before != NULL) {
        keep_past_values(row, before);
    }
    feed->changed_version = MAX(feed->changed_version, version);
    feed->largest = MAX(feed->largest, value == NULL ? 0 : g_bytes_get_size(value));
    g_hash_table_replace(feed->rows, row->key, row);
}

/* If the known row is of an earlier era and newer than the copy in the restored store, keeps its
 * value under the copy's version and returns true. */
static bool
keep_row(struct feed *feed, const struct known_row *known, uint64_t version, GBytes *value)
{
    struct control *control = feed->control;
    bool earlier = store_era(known->version) < store_era(version);
    if (!earlier || !control_era_keeps(control, feed->table, known, value)) {
        return false;
    }
    g_autofree char *key = g_strdup(known->key);
    g_autoptr(GBytes) kept = known->value == NULL ? NULL : g_bytes_ref(known->value);
    g_autofree char *row = g_strdup_printf("%" PRIu64, store_number(version));
    put_row(feed, key, version, kept);
    if (feed->table == STORE_TABLE_DIRECTORY) {
        directory_confirm(&control->directory, key, version);
    }
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_ROW", row, "SW_KEY", key, "MESSAGE",
                     "The restored store has an earlier value of row %s; keeping the known one.",
                     key);
    return true;
}

static void
take_evacuation(struct control *control, const char *zone, bool evacuated)
{
    if (evacuations_set(&control->evacuations, zone, evacuated, backend_now())) {
        g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_ZONE", zone, "MESSAGE",
                         evacuated ? "Zone %s is evacuated: its databases get no new work."
                                   : "Evacuation of zone %s has ended.",
                         zone);
        control->view_dirty = true;
    }
}

/* Takes over a row that operators write. */
static void
take_operator_row(struct control *control, const char *key, GBytes *value)
{
    const char *zone = store_evacuated_zone(key);
    if (zone != NULL) {
        take_evacuation(control, zone, value != NULL);
    } else if (value != NULL && g_str_equal(key, store_configuration_key)) {
        take_configuration(control, value);
    }
}

void
control_take_row(struct control *control, enum store_table table, const char *key, uint64_t version,
                 GBytes *value)
{
    struct feed *feed = &control->feeds[table];
    const struct known_row *known = g_hash_table_lookup(feed->rows, key);
    /* A row of an earlier era may no longer be in the store. */
    bool earlier_era = store_era(version) < store_era(feed->version);
    if (earlier_era || (known != NULL && known->version >= version)) {
        return;
    }
    control_era_note(control, store_era(version), 0);
    if (known != NULL && keep_row(feed, known, version, value)) {
        control->rows_to_push = control->rows_to_push || table != STORE_TABLE_CONTROL;
        return;
    }
    put_row(feed, key, version, value);
    control->rows_to_push = control->rows_to_push || table != STORE_TABLE_CONTROL;
    if (table == STORE_TABLE_DIRECTORY) {
        take_directory_row(control, key, version, value);
    } else if (table == STORE_TABLE_CONFIGURATION) {
        take_operator_row(control, key, value);
    }
}

/* The version under which a row of an answer is recorded. A row that was taken as deleted and is in
 * a listing, with a version below the table's known one, gets the version of the listing: poolers
 * have confirmed the table beyond the row's own version, so that it would be relayed to none. */
static uint64_t
version_of(const struct feed *feed, const struct store_row *row, const struct store_answer *answer)
{
    const struct known_row *known = g_hash_table_lookup(feed->rows, row->key);
    bool returns = known != NULL && known->gone && !row->gone && row->version > known->version;
    return returns && row->version <= feed->version ? answer->version : row->version;
}

void
control_rows_take(struct feed *feed, const struct store_answer *answer)
{
    for (guint i = 0; i < answer->rows->len; i++) {
        const struct store_row *row = g_ptr_array_index(answer->rows, i);
        control_take_row(feed->control, feed->table, row->key, version_of(feed, row, answer),
                         row->gone ? NULL : row->value);
    }
}

/* Marks all known rows with a version below `below` as deleted, except those in `present`. */
static void
drop_below(struct feed *feed, uint64_t below, GHashTable *present, uint64_t version)
{
    g_autoptr(GPtrArray) missing = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, feed->rows);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct known_row *row = value;
        if (!row->gone && row->version < below && !g_hash_table_contains(present, row->key)) {
            g_ptr_array_add(missing, g_strdup(row->key));
        }
    }
    for (guint i = 0; i < missing->len; i++) {
        control_take_row(feed->control, feed->table, g_ptr_array_index(missing, i), version, NULL);
    }
}

void
control_rows_drop_missing(struct feed *feed, const struct store_answer *answer)
{
    g_autoptr(GHashTable) present = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < answer->rows->len; i++) {
        g_hash_table_add(present, ((struct store_row *)g_ptr_array_index(answer->rows, i))->key);
    }
    drop_below(feed, answer->version, present, answer->version);
}

void
control_rows_drop_earlier(struct feed *feed, uint64_t version)
{
    g_autoptr(GHashTable) none = g_hash_table_new(g_str_hash, g_str_equal);
    drop_below(feed, store_version(store_era(version), 0), none, version);
}
