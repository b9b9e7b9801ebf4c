/**
 * @file
 * @brief The relay: passes rows of the store from pooler to pooler.
 *
 * Calls at the store are limited, so only the coordinator and a few followers read its tables. The
 * coordinator sends changes to all other poolers as it learns of them. A pooler that has no
 * coordinator, or one that the store does not answer, reads the store itself.
 *
 * A relay message names two versions for each table: it contains all changes above the first (the
 * base) and up to the second. A receiver that knew the table up to the base knows it up to the
 * second version afterwards.
 */
#define G_LOG_DOMAIN "relay"
#include "pooler/control/control_internal.h"
#include "core/error.h"
#include "generated/errors.h"
#include "pooler/control/delta.h"
#include "pooler/control/compression.h"

#include <inttypes.h>

/** Largest sum of row bytes of one table in a message. Receivers read more than this at the store:
 * traffic between zones is expensive, and a coordinator that sends half a megabyte to each of 300
 * poolers has its link full for ten seconds, in which no pooler gets a permit. */
#define RELAYED_MAX ((gsize)24 * 1024)

/** Share of its link that a pooler uses for rows to others, and the length of a burst in seconds.
 * The rest is for permits and statements. */
#define ROWS_LINK_SHARE 0.5
#define ROWS_BURST_S    0.1

/** Rows that have waited this long for the link are left for the receiver to read at the store: a
 * quarter of 6 s, the shortest bound within which a configuration must be in force on fleets of
 * such size. */
#define ROWS_WAIT_NS (1500 * MS)

/** Rows that a pooler has not confirmed for this long are logged: eight heartbeats. */
#define UNCONFIRMED_LONG_NS (2000 * MS)

/** Largest sum of row bytes of one table that is offered to a coordinator. All poolers that know
 * more than a new coordinator send their offers at once, and it reads the store itself. */
#define OFFERED_MAX ((gsize)4 * 1024)

/** An offer that the coordinator has not confirmed is repeated after this time. */
#define OFFER_AGAIN_NS (2000 * MS)

/** Limit in place of RELAYED_MAX for a receiver that the store does not answer. */
#define RELAYED_MAX_NO_STORE ((gsize)4 * 1024 * 1024)

/* Appends a row. The capacity doubles, from 0, as most messages contain no rows. */
static struct pooler_row *
append_row(struct pooler_relay *relay)
{
    size_t count = relay->rows_count++;
    if ((count & (count - 1)) == 0) {
        relay->rows = g_renew(struct pooler_row, relay->rows, count == 0 ? 1 : count * 2);
    }
    relay->rows[count] = (struct pooler_row){0};
    return &relay->rows[count];
}

/* The encoding in which a row is sent. */
typedef struct content {
    GBytes *bytes;             /* not owned; NULL: the row is deleted */
    gsize uncompressed_length; /* length before compression; 0: not compressed */
    uint64_t delta_base;       /* version that the delta applies to; 0: a complete value */
} content_t;

/* The complete value, compressed once for all receivers. */
static content_t
full_content(struct known_row *known)
{
    if (known->value != NULL && !known->compression_tried) {
        known->compression_tried = true;
        known->compressed = g_bytes_get_size(known->value) < COMPRESSION_MIN
                                ? NULL
                                : compression_compress(known->value);
    }
    if (known->compressed == NULL) {
        return (content_t){.bytes = known->value};
    }
    return (content_t){.bytes = known->compressed,
                       .uncompressed_length = g_bytes_get_size(known->value)};
}

/* The newest value of a receiver that knows the table up to `base`; NULL if it is no longer kept
 * here. */
static past_value_t *
find_past_value(struct known_row *known, uint64_t base)
{
    for (GList *link = known->past.head; link != NULL; link = link->next) {
        past_value_t *past = link->data;
        if (past->version <= base) {
            return past;
        }
    }
    return NULL;
}

/* The delta, computed once for all receivers that have the same value. */
static content_t
delta_content(struct known_row *known, past_value_t *past)
{
    if (past->delta == NULL) {
        past->delta = delta_make(past->value, known->value);
        past->compressed = g_bytes_get_size(past->delta) < COMPRESSION_MIN
                               ? NULL
                               : compression_compress(past->delta);
    }
    if (known->hash == 0) {
        known->hash = delta_hash(known->value);
    }
    content_t content = {.bytes = past->delta, .delta_base = past->version};
    if (past->compressed != NULL) {
        content.bytes = past->compressed;
        content.uncompressed_length = g_bytes_get_size(past->delta);
    }
    return content;
}

static content_t
row_content(struct known_row *known, uint64_t base, bool deltas)
{
    past_value_t *past = known->value == NULL || !deltas ? NULL : find_past_value(known, base);
    return past == NULL ? full_content(known) : delta_content(known, past);
}

static void
add_row(struct pooler_relay *relay, enum store_table table, const struct known_row *known,
        const content_t *content)
{
    struct pooler_row *row = append_row(relay);
    row->table = (uint32_t)table;
    row->key = g_strdup(known->key);
    row->version = known->version;
    row->gone = known->gone;
    if (content->bytes != NULL) {
        gsize len = 0;
        gconstpointer data = g_bytes_get_data(content->bytes, &len);
        row->value = g_memdup2(data, len);
        row->value_length = len;
        row->unpacked_length = (uint32_t)content->uncompressed_length;
        row->delta_base = content->delta_base;
        row->hash = content->delta_base == 0 ? 0 : known->hash;
    }
}

/* Appends the table's changes above the base. If they exceed `max_bytes`, appends none and returns
 * false. */
static bool
add_changes(const struct feed *feed, uint64_t base, gsize max_bytes, bool deltas,
            struct pooler_relay *relay)
{
    size_t before = relay->rows_count;
    gsize size = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, feed->rows);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct known_row *row = value;
        if (row->version <= base) {
            continue;
        }
        content_t content = row_content(row, base, deltas);
        size += content.bytes == NULL ? 0 : g_bytes_get_size(content.bytes);
        if (size > max_bytes) {
            while (relay->rows_count > before) {
                pooler_row_clear(&relay->rows[--relay->rows_count]);
            }
            return false;
        }
        add_row(relay, feed->table, row, &content);
    }
    return true;
}

static uint64_t
fill_table(const struct feed *feed, uint64_t base, gsize max_bytes, bool deltas, bool *incomplete,
           struct pooler_relay *relay)
{
    if (feed->version <= base) {
        return base;
    }
    if (feed->changed_version <= base) {
        return feed->version; /* the store's version also rises with changes of other tables */
    }
    if (add_changes(feed, base, max_bytes, deltas, relay)) {
        return feed->version;
    }
    *incomplete = true;
    return base;
}

/* Age of what the receiver knows after this message; 0: it is still missing rows that are known
 * here, the age is unknown, or the receiver knows the table in another era. */
static uint32_t
age_to_report(const struct feed *feed, uint64_t version, time_ns now)
{
    bool comparable =
        feed->changed_version <= version && store_era(version) == store_era(feed->version);
    return comparable ? proof_age_ms(feed->as_of, now) : 0;
}

static void
fill_era(const struct control *control, time_ns now, struct pooler_relay *relay)
{
    if (control->store_era != 0) {
        relay->store_era = control->store_era;
        relay->store_era_age_ms = (uint32_t)MIN(control_era_age(control, now) / MS, UINT32_MAX);
    }
}

static void
fill_ages(const struct control *control, time_ns now, struct pooler_relay *relay)
{
    const struct feed *feeds = control->feeds;
    relay->configuration_age_ms =
        age_to_report(&feeds[STORE_TABLE_CONFIGURATION], relay->configuration_row, now);
    relay->directory_age_ms =
        age_to_report(&feeds[STORE_TABLE_DIRECTORY], relay->directory_row, now);
    bool known = relay->configuration_age_ms != 0 && relay->directory_age_ms != 0;
    fill_era(control, now, relay);
    relay->store_age_ms =
        known ? MAX(relay->configuration_age_ms, relay->directory_age_ms) : UINT32_MAX;
}

void
control_relay_fill_versions(const struct control *control, const row_versions_t *known, time_ns now,
                            struct pooler_relay *relay)
{
    relay->configuration_base = relay->configuration_row = known->configuration;
    relay->directory_base = relay->directory_row = known->directory;
    fill_ages(control, now, relay);
}

static void
fill_within(const struct control *control, const row_versions_t *known, gsize max_bytes,
            bool deltas, time_ns now, struct pooler_relay *relay)
{
    const struct feed *configuration = &control->feeds[STORE_TABLE_CONFIGURATION];
    const struct feed *directory = &control->feeds[STORE_TABLE_DIRECTORY];
    relay->configuration_base = known->configuration;
    relay->directory_base = known->directory;
    relay->configuration_row = fill_table(configuration, known->configuration, max_bytes, deltas,
                                          &relay->configuration_incomplete, relay);
    relay->directory_row = fill_table(directory, known->directory, max_bytes, deltas,
                                      &relay->directory_incomplete, relay);
    fill_ages(control, now, relay);
}

void
control_relay_fill(const struct control *control, const relay_receiver_t *to, time_ns now,
                   struct pooler_relay *relay)
{
    gsize max_bytes = to->lacks_store ? RELAYED_MAX_NO_STORE : RELAYED_MAX;
    fill_within(control, &to->known, max_bytes, to->takes_deltas, now, relay);
}

/* Deleted rows are left out, as the receiver has no rows. */
static void
add_table(const struct feed *feed, struct pooler_relay *relay)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, feed->rows);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct known_row *row = value;
        if (!row->gone) {
            add_row(relay, feed->table, row, &(content_t){.bytes = row->value});
        }
    }
}

void
control_relay_fill_full(const struct control *control, struct pooler_relay *relay)
{
    add_table(&control->feeds[STORE_TABLE_CONFIGURATION], relay);
    add_table(&control->feeds[STORE_TABLE_DIRECTORY], relay);
    relay->configuration_row = control->feeds[STORE_TABLE_CONFIGURATION].version;
    relay->directory_row = control->feeds[STORE_TABLE_DIRECTORY].version;
}

bool
control_relay_is_confirmed(const struct pooler_peer *pooler)
{
    return pooler->confirmed.configuration >= pooler->known.configuration &&
           pooler->confirmed.directory >= pooler->known.directory;
}

void
control_relay_confirm(struct pooler_peer *pooler, const struct pooler_relay *relay)
{
    pooler->confirmed = (row_versions_t){relay->configuration_row, relay->directory_row};
    pooler->known.configuration = MAX(pooler->known.configuration, relay->configuration_row);
    pooler->known.directory = MAX(pooler->known.directory, relay->directory_row);
}

/* Refills the token bucket of rows.
 * @return the bytes of rows that may be sent now. */
static double
refill_row_budget(struct control *control, time_ns now)
{
    double per_s = control->settings->pooler.link_mbps * BYTES_PER_MEGABIT * ROWS_LINK_SHARE;
    double max_bytes = MAX(per_s * ROWS_BURST_S, (double)RELAYED_MAX);
    double passed_s = (double)(now - control->row_budget_at) / (double)NANOSECONDS_PER_SECOND;
    control->row_budget_at = now;
    control->row_budget = MIN(control->row_budget + passed_s * per_s, max_bytes);
    return control->row_budget;
}

bool
control_relay_has_budget(struct control *control, time_ns now)
{
    return refill_row_budget(control, now) > 0;
}

void
control_relay_consume_budget(struct control *control, size_t bytes)
{
    control->row_budget -= (double)bytes;
}

static void
consume_for_rows(struct control *control, const struct pooler_relay *relay)
{
    for (size_t i = 0; i < relay->rows_count; i++) {
        control_relay_consume_budget(control, relay->rows[i].value_length);
    }
}

/* Rows that have waited too long for the link are reported as incomplete, so that the receiver
 * reads them at the store. */
static void
wait_for_link(const struct control *control, struct pooler_peer *pooler, time_ns now,
              struct pooler_relay *relay)
{
    row_versions_t here = control_relay_versions(control);
    control_relay_fill_versions(control, &pooler->known, now, relay);
    if (here.configuration <= pooler->known.configuration &&
        here.directory <= pooler->known.directory) {
        pooler->rows_wait_since = 0;
        return;
    }
    if (pooler->rows_wait_since == 0) {
        pooler->rows_wait_since = now;
    }
    bool late = now > pooler->rows_wait_since + ROWS_WAIT_NS;
    relay->configuration_incomplete = late && here.configuration > pooler->known.configuration;
    relay->directory_incomplete = late && here.directory > pooler->known.directory;
}

/* Logs once per period in which rows stay unconfirmed for long. */
static void
note_unconfirmed(struct pooler_peer *pooler, time_ns now)
{
    if (pooler->unconfirmed_since == 0) {
        pooler->unconfirmed_since = now;
    }
    if (pooler->unconfirmed_logged || now < pooler->unconfirmed_since + UNCONFIRMED_LONG_NS) {
        return;
    }
    pooler->unconfirmed_logged = true;
    g_autofree char *sent = g_strdup_printf("%" PRIu64, pooler->known.configuration);
    g_autofree char *confirmed = g_strdup_printf("%" PRIu64, pooler->confirmed.configuration);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_POOLER", pooler->name, "SW_SENT_TO", sent,
                     "SW_CONFIRMED_TO", confirmed, "MESSAGE",
                     "Pooler %s has not confirmed rows up to version %s; confirmed up to %s.",
                     pooler->name, sent, confirmed);
}

void
control_relay_fill_pooler(struct control *control, struct pooler_peer *pooler, time_ns now,
                          struct pooler_relay *relay)
{
    if (!control_relay_is_confirmed(pooler)) {
        control_relay_fill_versions(control, &pooler->known, now, relay);
        note_unconfirmed(pooler, now);
        return;
    }
    pooler->unconfirmed_since = 0;
    pooler->unconfirmed_logged = false;
    if (refill_row_budget(control, now) <= 0) {
        wait_for_link(control, pooler, now, relay);
        return;
    }
    const relay_receiver_t to = {pooler->known, pooler->lacks_store, pooler->takes_deltas};
    control_relay_fill(control, &to, now, relay);
    consume_for_rows(control, relay);
    pooler->rows_wait_since = 0;
    pooler->known = (row_versions_t){relay->configuration_row, relay->directory_row};
}

void
control_relay_fill_nonauthoritative(struct control *control, struct peer *peer,
                                    const struct pooler_heartbeat *heartbeat, time_ns now,
                                    struct pooler_relay *relay)
{
    const row_versions_t known = {heartbeat->relay.configuration_row,
                                  heartbeat->relay.directory_row};
    const row_versions_t *sent = g_hash_table_lookup(control->unconfirmed_rows, peer);
    bool confirmed = sent == NULL || (known.configuration >= sent->configuration &&
                                      known.directory >= sent->directory);
    if (!confirmed || refill_row_budget(control, now) <= 0) {
        control_relay_fill_versions(control, &known, now, relay);
        return;
    }
    const relay_receiver_t to = {known, heartbeat->lacks_store, heartbeat->takes_deltas};
    control_relay_fill(control, &to, now, relay);
    consume_for_rows(control, relay);
    row_versions_t *noted = g_new(row_versions_t, 1);
    *noted = (row_versions_t){relay->configuration_row, relay->directory_row};
    g_hash_table_replace(control->unconfirmed_rows, peer, noted);
}

/* Fills in the versions known here also for tables whose rows were too large to offer; a
 * coordinator that is missing those rows reads them at the store. Without this, the coordinator
 * would keep reporting incomplete rows to this pooler, and the pooler would list the full table at
 * the store each time. */
static void
confirm_unoffered(const struct control *control, time_ns now, struct pooler_relay *relay)
{
    row_versions_t here = control_relay_versions(control);
    if (relay->configuration_incomplete) {
        relay->configuration_base = relay->configuration_row = here.configuration;
    }
    if (relay->directory_incomplete) {
        relay->directory_base = relay->directory_row = here.directory;
    }
    fill_ages(control, now, relay);
}

void
control_relay_fill_offer(struct control *control, time_ns now, struct pooler_relay *relay)
{
    row_versions_t known = control->coordinator_rows;
    if (now < control->offered_at + OFFER_AGAIN_NS) {
        known.configuration = MAX(known.configuration, control->offered.configuration);
        known.directory = MAX(known.directory, control->offered.directory);
    }
    fill_within(control, &known, OFFERED_MAX, false, now, relay);
    confirm_unoffered(control, now, relay);
    if (relay->rows_count > 0) {
        control->offered = (row_versions_t){relay->configuration_row, relay->directory_row};
        control->offered_at = now;
    }
}

/* Applies a delta to the value known here. */
static GBytes *
value_by_delta(const struct feed *feed, const struct pooler_row *row, GBytes *delta, GError **error)
{
    const struct known_row *known = g_hash_table_lookup(feed->rows, row->key);
    if (known == NULL || known->value == NULL || known->version != row->delta_base) {
        g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST,
                    "delta from version %" PRIu64 ", known version is %" PRIu64, row->delta_base,
                    known == NULL ? 0 : known->version);
        return NULL;
    }
    return delta_apply(known->value, delta, row->hash, error);
}

/* The row's value, decompressed and with its delta applied; NULL if the row is deleted, or with
 * `error`. */
static GBytes *
decode_value(const struct feed *feed, const struct pooler_row *row, GError **error)
{
    if (row->gone) {
        return NULL;
    }
    g_autoptr(GBytes) content =
        row->unpacked_length == 0
            ? g_bytes_new(row->value, row->value_length)
            : compression_decompress(row->value, row->value_length, row->unpacked_length, error);
    if (content == NULL || row->delta_base == 0) {
        return g_steal_pointer(&content);
    }
    return value_by_delta(feed, row, content, error);
}

/* True if the row is known here in this version or a newer one, because the store's answer was
 * faster. */
static bool
is_known(const struct feed *feed, const struct pooler_row *row)
{
    const struct known_row *known = g_hash_table_lookup(feed->rows, row->key);
    return known != NULL && known->version >= row->version;
}

/* Takes over the rows.
 * @return false if one can't be read. The tables' versions are not taken over then, and the row's
 * table is read at the store. */
static bool
take_rows(struct control *control, const struct pooler_relay *relay)
{
    bool complete = true;
    for (size_t i = 0; i < relay->rows_count; i++) {
        const struct pooler_row *row = &relay->rows[i];
        g_autoptr(GError) error = NULL;
        struct feed *feed = &control->feeds[MIN(row->table, STORE_TABLE_CONTROL)];
        if (row->table >= STORE_TABLE_CONTROL || is_known(feed, row)) {
            continue;
        }
        g_autoptr(GBytes) value = decode_value(feed, row, &error);
        if (error != NULL) {
            g_warning("Relayed row %s could not be decoded: %s.", row->key, error->message);
            feed->missing = true;
            complete = false;
            continue;
        }
        control_take_row(control, (enum store_table)row->table, row->key, row->version, value);
    }
    return complete;
}

static void
take_version(struct feed *feed, uint64_t base, uint64_t version)
{
    if (base <= feed->version && version > feed->version) {
        if (store_era(version) > store_era(feed->version)) {
            control_rows_drop_earlier(feed, version);
        }
        feed->version = version;
        feed->history_gone = false; /* the store may have the history after this version */
    }
}

void
control_relay_take(struct control *control, const struct pooler_relay *relay)
{
    control_era_note(control, relay->store_era, relay->store_era_age_ms * MS);
    if (!take_rows(control, relay)) {
        return;
    }
    take_version(&control->feeds[STORE_TABLE_CONFIGURATION], relay->configuration_base,
                 relay->configuration_row);
    take_version(&control->feeds[STORE_TABLE_DIRECTORY], relay->directory_base,
                 relay->directory_row);
}

row_versions_t
control_relay_versions(const struct control *control)
{
    return (row_versions_t){control->feeds[STORE_TABLE_CONFIGURATION].version,
                            control->feeds[STORE_TABLE_DIRECTORY].version};
}
