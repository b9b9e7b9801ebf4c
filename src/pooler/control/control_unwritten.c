/* Records that the store has not taken as rows of their own. It may refuse them, or be so slow that
 * each of their writes meets a renewal of the lease and fails. The lease row takes them along: it
 * is written as long as there is a coordinator, so the successor knows them. The successor carries
 * them on until it has applied them.
 *
 * Which of the two is newer, such a record or the row of its own, is told by the store's versions.
 * A row is written on the condition that the lease row has not changed. So a row that is older than
 * the lease row with the record was written before it, and a newer one with the record known. */
#define G_LOG_DOMAIN "failover"
#include "pooler/control/control_internal.h"

#include <string.h>

/* Limits of what the lease row takes along. The fleet, which is in the row too, needs the rest. */
#define UNWRITTEN_BYTES_MAX ((gsize)16 * 1024)
#define UNWRITTEN_MAX       256
#define KEY_BYTES_MAX       200

/* Appends a record. False if the lease row has no room for it. */
static bool
append(struct lease_record *out, const char *key, GBytes *value, uint64_t version, gsize *used)
{
    gsize length = 0;
    gconstpointer data = g_bytes_get_data(value, &length);
    gsize size = strlen(key) + length;
    bool fits = out->unwritten_count < UNWRITTEN_MAX && strlen(key) <= KEY_BYTES_MAX &&
                *used + size <= UNWRITTEN_BYTES_MAX;
    if (!fits) {
        return false;
    }
    *used += size;
    out->unwritten[out->unwritten_count++] = (struct unwritten_record){
        .key = g_strdup(key),
        .value = g_memdup2(data, length),
        .value_length = length,
        .version = version,
    };
    return true;
}

/* True if the record's group has applied it: what the group would record now replaces it. */
static bool
is_applied(const struct control *control, const struct unwritten_record *record)
{
    const char *service = control_membership_service(record->key);
    const struct controlled_group *group = control->controlled == NULL || service == NULL
                                               ? NULL
                                               : g_hash_table_lookup(control->controlled, service);
    return group != NULL && group->membership_applied;
}

static bool
carry_inherited(const struct control *control, struct lease_record *out, gsize *used)
{
    const struct lease_record *inherited = &control->lease.record;
    bool all = true;
    for (size_t i = 0; i < inherited->unwritten_count; i++) {
        const struct unwritten_record *record = &inherited->unwritten[i];
        if (record->key != NULL && !is_applied(control, record)) {
            g_autoptr(GBytes) value = g_bytes_new(record->value, record->value_length);
            all = append(out, record->key, value, record->version, used) && all;
        }
    }
    return all;
}

/* A group that has not applied its record yet knows less than that. */
static bool
add_pending(const struct control *control, struct lease_record *out, gsize *used)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    bool all = true;
    if (!control->lease.held || control->controlled == NULL) {
        return true;
    }
    g_hash_table_iter_init(&iterator, control->controlled);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controlled_group *group = value;
        g_autoptr(GBytes) pending =
            group->membership_applied ? control_membership_pending(group) : NULL;
        if (pending != NULL) {
            g_autofree char *key = control_membership_key(group);
            all = append(out, key, pending, 0, used) && all;
        }
    }
    return all;
}

/* True if each group has applied its record, and has taken an omission into account. */
static bool
all_applied(const struct control *control)
{
    if (control->configuration == NULL || control->controlled == NULL) {
        return false;
    }
    const GPtrArray *services = control->configuration->services;
    for (guint i = 0; i < services->len; i++) {
        const struct service *service = g_ptr_array_index(services, i);
        const struct controlled_group *group =
            g_hash_table_lookup(control->controlled, service->name);
        if (group == NULL || !group->membership_applied) {
            return false;
        }
    }
    return true;
}

void
control_unwritten_fill(const struct control *control, struct lease_record *out)
{
    gsize used = 0;
    out->unwritten = g_new0(struct unwritten_record, UNWRITTEN_MAX);
    bool carried = carry_inherited(control, out, &used);
    bool added = add_pending(control, out, &used);
    bool inherits_omission = control->lease.record.unwritten_omitted && !all_applied(control);
    out->unwritten_omitted = !carried || !added || inherits_omission;
}

void
control_unwritten_note_version(struct lease_record *record, uint64_t row_version)
{
    for (size_t i = 0; i < record->unwritten_count; i++) {
        if (record->unwritten[i].version == 0) {
            record->unwritten[i].version = row_version;
        }
    }
}

GBytes *
control_unwritten_find(const struct control *control, const char *key, uint64_t row_version)
{
    const struct lease_record *inherited = &control->lease.record;
    for (size_t i = 0; i < inherited->unwritten_count; i++) {
        const struct unwritten_record *record = &inherited->unwritten[i];
        if (g_strcmp0(record->key, key) == 0 && record->version > row_version) {
            return g_bytes_new(record->value, record->value_length);
        }
    }
    return NULL;
}
