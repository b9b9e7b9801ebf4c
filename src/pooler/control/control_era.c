/**
 * @file
 * @brief What changes here as the store turns out to have been restored from an older copy of
 * itself.
 *
 * The store then tells the next era, and its own version numbers are given out again. Versions here
 * are the era above the number (store.h), so that they rise all the same: every comparison of
 * versions, here and between poolers, holds over a restore. What the store held last is not what it
 * holds now, so each table is read whole, or told whole by another pooler, before changes of it are
 * followed again. Operators and databases write again what was lost; until then, nothing that is
 * known here is taken back for what the copy says: no configuration, and no record of a database
 * that has written a later one.
 *
 * Nor does the copy prove that a key still stands: it may have been revoked by a configuration that
 * is lost, and not known here.
 *
 * A database that recorded itself just before may be known nowhere, so the members of groups settle
 * anew. One whose record was gone, and that the copy has, may live. It renews its record without a
 * change then, which the store does not tell, or the store drops it after some heartbeats. So the
 * directory is read whole once more after these.
 */
#define G_LOG_DOMAIN "store"
#include "pooler/control/control_internal.h"

#include <inttypes.h>

/* Operators have written again what a restored store lost, so long after it answers again. */
#define WRITTEN_AGAIN_NS (1000 * MS)

static void
log_era(const struct control *control, uint64_t before)
{
    const struct feed *feeds = control->feeds;
    g_autofree char *era = g_strdup_printf("%" PRIu64, control->store_era);
    g_autofree char *earlier = g_strdup_printf("%" PRIu64, before);
    g_autofree char *configuration =
        g_strdup_printf("%" PRIu64, store_number(feeds[STORE_TABLE_CONFIGURATION].version));
    g_autofree char *directory =
        g_strdup_printf("%" PRIu64, store_number(feeds[STORE_TABLE_DIRECTORY].version));
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_ERA", era, "SW_ERA_BEFORE", earlier,
                     "SW_CONFIGURATION_TO", configuration, "SW_DIRECTORY_TO", directory, "MESSAGE",
                     "The store was restored: era %s, before %s, known to %s and %s.", era, earlier,
                     configuration, directory);
}

void
control_era_note(struct control *control, uint64_t era, time_ns age)
{
    uint64_t before = control->store_era;
    time_ns now = backend_now();
    time_ns since = now > age ? now - age : 0;
    if (era == before) {
        control->era_since = MIN(control->era_since, since);
    }
    if (era <= before) {
        return;
    }
    control->store_era = era;
    control->era_since = since;
    control->store_clock = (store_clock_t){0};
    control->directory_settled = false;
    control->directory_known_since = 0;
    control_fleet_forget_stored(control);
    time_ns lapsed = control->settings->store.heartbeat_ms * MS * DIRECTORY_SETTLED_HEARTBEATS;
    control->feeds[STORE_TABLE_DIRECTORY].list_at = now + lapsed;
    log_era(control, before);
}

time_ns
control_era_age(const struct control *control, time_ns now)
{
    return now - MIN(now, control->era_since);
}

bool
control_era_proves(const struct control *control, time_ns moment)
{
    return control->store_era == 0 || moment >= control->era_since + WRITTEN_AGAIN_NS;
}

bool
control_era_is_over(const struct control *control, uint64_t version)
{
    return store_era(version) < control->store_era;
}

/* True as well if it can't be read. */
static bool
is_older_configuration(const struct control *control, GBytes *value)
{
    gsize length = 0;
    const char *text = g_bytes_get_data(value, &length);
    struct configuration *told = configuration_decode(text, length, NULL);
    bool older = told == NULL || (control->configuration != NULL &&
                                  told->version < control->configuration->version);
    g_clear_pointer(&told, configuration_unref);
    return older;
}

static bool
is_older_record(const struct control *control, const char *id, GBytes *value)
{
    gsize length = 0;
    const char *text = g_bytes_get_data(value, &length);
    struct directory_entry *told = directory_entry_decode(id, text, length, NULL);
    bool older = told != NULL && directory_knows_newer(&control->directory, told);
    directory_entry_free(told);
    return older;
}

bool
control_era_keeps(const struct control *control, enum store_table table,
                  const struct known_row *known, GBytes *value)
{
    if (table == STORE_TABLE_CONFIGURATION && g_str_equal(known->key, store_configuration_key)) {
        return value == NULL || is_older_configuration(control, value);
    }
    return table == STORE_TABLE_DIRECTORY && value != NULL &&
           is_older_record(control, known->key, value);
}
