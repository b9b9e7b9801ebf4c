/**
 * @file
 * @brief What changes in this pooler when the store turns out to have been restored from an older
 * copy of itself.
 *
 * A restored store reports the next era, and assigns version numbers again that it had assigned
 * before. Versions here have the era in their high bits (store.h), so they still rise, and every
 * comparison of versions, here and between poolers, stays valid over a restore. The state of a
 * table before the restore is not the base of its changes after it. Each table is therefore listed
 * in full, from the store or from another pooler, before its changes are followed again. Operators
 * and databases write again what the restore lost. Until then the copy does not replace newer state
 * that is known here: no configuration, and no row of a database that has written a later one.
 *
 * Nor does the copy prove that a key is still valid: a configuration that the restore lost, and
 * that is not known here, may have revoked it.
 *
 * The row of a database that started just before the restore may be lost and known to no pooler, so
 * the members of groups have to settle again. A database whose row was deleted, and is in the copy
 * again, may be running. If it is, it renews its row without a change, which the store does not
 * report as one. If it is not, the store drops its row after some heartbeats. The directory is
 * therefore listed in full once more after these heartbeats.
 */
#define G_LOG_DOMAIN "store"
#include "pooler/control/control_internal.h"

#include <inttypes.h>

/* Operators have written again what a restore lost by this time after the store answers again. */
#define REWRITTEN_AFTER_NS (1000 * MS)

static void
log_era(const struct control *control, uint64_t earlier_era)
{
    const struct feed *feeds = control->feeds;
    g_autofree char *era = g_strdup_printf("%" PRIu64, control->store_era);
    g_autofree char *earlier = g_strdup_printf("%" PRIu64, earlier_era);
    g_autofree char *configuration =
        g_strdup_printf("%" PRIu64, store_number(feeds[STORE_TABLE_CONFIGURATION].version));
    g_autofree char *directory =
        g_strdup_printf("%" PRIu64, store_number(feeds[STORE_TABLE_DIRECTORY].version));
    g_log_structured(
        G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "SW_ERA", era, "SW_ERA_BEFORE", earlier,
        "SW_CONFIGURATION_TO", configuration, "SW_DIRECTORY_TO", directory, "MESSAGE",
        "The store was restored: era %s, previously %s; configuration known to version "
        "%s, directory to %s.",
        era, earlier, configuration, directory);
}

void
control_era_note(struct control *control, uint64_t era, time_ns age)
{
    uint64_t earlier_era = control->store_era;
    time_ns now = backend_now();
    time_ns since = now > age ? now - age : 0;
    if (era == earlier_era) {
        control->era_since = MIN(control->era_since, since);
    }
    if (era <= earlier_era) {
        return;
    }
    control->store_era = era;
    control->era_since = since;
    control->store_clock = (store_clock_t){0};
    control->directory_settled = false;
    control->directory_known_since = 0;
    control_fleet_forget_stored(control);
    time_ns settling = control->settings->store.heartbeat_ms * MS * DIRECTORY_SETTLED_HEARTBEATS;
    control->feeds[STORE_TABLE_DIRECTORY].list_at = now + settling;
    log_era(control, earlier_era);
}

time_ns
control_era_age(const struct control *control, time_ns now)
{
    return now - MIN(now, control->era_since);
}

bool
control_era_proves(const struct control *control, time_ns moment)
{
    return control->store_era == 0 || moment >= control->era_since + REWRITTEN_AFTER_NS;
}

bool
control_era_is_over(const struct control *control, uint64_t version)
{
    return store_era(version) < control->store_era;
}

/* True for a malformed configuration as well. */
static bool
is_older_configuration(const struct control *control, GBytes *value)
{
    gsize length = 0;
    const char *text = g_bytes_get_data(value, &length);
    struct configuration *decoded = configuration_decode(text, length, NULL);
    bool older = decoded == NULL || (control->configuration != NULL &&
                                     decoded->version < control->configuration->version);
    g_clear_pointer(&decoded, configuration_unref);
    return older;
}

static bool
is_older_record(const struct control *control, const char *id, GBytes *value)
{
    gsize length = 0;
    const char *text = g_bytes_get_data(value, &length);
    struct directory_entry *decoded = directory_entry_decode(id, text, length, NULL);
    bool older = decoded != NULL && directory_knows_newer(&control->directory, decoded);
    directory_entry_free(decoded);
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
