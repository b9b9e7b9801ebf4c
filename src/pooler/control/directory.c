/* The directory of databases. See directory.h. */
#include "pooler/control/directory.h"

#include <string.h>

static void
free_entry(gpointer data)
{
    directory_entry_free(data);
}

void
directory_entry_free(struct directory_entry *entry)
{
    if (entry == NULL) {
        return;
    }
    g_free(entry->id);
    g_free(entry->service);
    g_free(entry->zone);
    g_free(entry);
}

static void
free_group(gpointer data)
{
    g_ptr_array_unref(data);
}

void
directory_init(struct directory *directory)
{
    directory->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    directory->groups = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_group);
}

void
directory_clear(struct directory *directory)
{
    g_clear_pointer(&directory->groups, g_hash_table_unref);
    g_clear_pointer(&directory->entries, g_hash_table_unref);
}

const GPtrArray *
directory_group(const struct directory *directory, const char *service)
{
    static const GPtrArray none = {NULL, 0};
    const GPtrArray *group = g_hash_table_lookup(directory->groups, service);
    return group == NULL ? &none : group;
}

const char *
directory_leader(const struct directory *directory, const char *service)
{
    const char *found = NULL;
    const GPtrArray *entries = directory_group(directory, service);
    for (guint i = 0; i < entries->len; i++) {
        const struct directory_entry *entry = g_ptr_array_index(entries, i);
        if (!entry->leads || entry->deleted_at != 0) {
            continue;
        }
        if (found != NULL) {
            return NULL;
        }
        found = entry->id;
    }
    return found;
}

static void
join_group(struct directory *directory, struct directory_entry *entry)
{
    GPtrArray *group = g_hash_table_lookup(directory->groups, entry->service);
    if (group == NULL) {
        group = g_ptr_array_new();
        g_hash_table_insert(directory->groups, g_strdup(entry->service), group);
    }
    g_ptr_array_add(group, entry);
}

static void
leave_group(struct directory *directory, struct directory_entry *entry)
{
    GPtrArray *group = g_hash_table_lookup(directory->groups, entry->service);
    g_ptr_array_remove(group, entry);
    if (group->len == 0) {
        g_hash_table_remove(directory->groups, entry->service);
    }
    directory->deleted -= entry->deleted_at != 0;
}

static bool
same_content(const struct directory_entry *a, const struct directory_entry *b)
{
    return g_str_equal(a->service, b->service) && g_str_equal(a->zone, b->zone) &&
           a->address.sin_addr.s_addr == b->address.sin_addr.s_addr &&
           a->address.sin_port == b->address.sin_port && a->slots == b->slots &&
           a->draining == b->draining && a->leads == b->leads && a->born_ms == b->born_ms;
}

static bool
mark_deleted(struct directory *directory, struct directory_entry *known, uint64_t version,
             time_ns now)
{
    bool changed = known->deleted_at == 0;
    known->version = version;
    if (changed) {
        known->deleted_at = now;
        directory->deleted++;
    }
    return changed;
}

/* True if the database wrote the entry before the restart that the known entry is from. The store
 * applied the write late. */
static bool
is_of_earlier_start(const struct directory_entry *known, const struct directory_entry *entry)
{
    return entry->born_ms != 0 && entry->born_ms < known->born_ms;
}

bool
directory_apply_row(struct directory *directory, const char *id, uint64_t version,
                    struct directory_entry *entry, time_ns now)
{
    struct directory_entry *known = g_hash_table_lookup(directory->entries, id);
    if (known != NULL && known->version >= version) {
        directory_entry_free(entry);
        return false;
    }
    if (entry == NULL) {
        return known != NULL && mark_deleted(directory, known, version, now);
    }
    if (known != NULL && is_of_earlier_start(known, entry)) {
        known->version = version;
        directory_entry_free(entry);
        return false;
    }
    bool changed = known == NULL || known->deleted_at != 0 || !same_content(known, entry);
    bool reappears = known == NULL || known->deleted_at != 0 || known->born_ms != entry->born_ms;
    entry->version = version;
    entry->present_since = reappears ? now : known->present_since;
    if (known != NULL) {
        leave_group(directory, known);
    }
    join_group(directory, entry);
    g_hash_table_replace(directory->entries, entry->id, entry);
    return changed;
}

bool
directory_knows_newer(const struct directory *directory, const struct directory_entry *entry)
{
    const struct directory_entry *known = g_hash_table_lookup(directory->entries, entry->id);
    if (known == NULL) {
        return false;
    }
    if (known->born_ms != entry->born_ms) {
        return is_of_earlier_start(known, entry);
    }
    return known->deleted_at != 0 || known->sequence >= entry->sequence;
}

void
directory_confirm(struct directory *directory, const char *id, uint64_t version)
{
    struct directory_entry *known = g_hash_table_lookup(directory->entries, id);
    if (known != NULL) {
        known->version = MAX(known->version, version);
    }
}

bool
directory_entry_leaves(const struct directory_entry *entry, time_ns now, time_ns heartbeat)
{
    if (entry->draining) {
        return true;
    }
    return entry->deleted_at != 0 &&
           now >= entry->deleted_at + heartbeat * DIRECTORY_LEAVING_AFTER_HEARTBEATS;
}

/* True if another database of the zone has had a row for the time `wait` until `as_of`, which shows
 * that the zone reached the store. */
static bool
zone_reached_store(const struct directory *directory, const struct directory_entry *deleted,
                   time_ns as_of, time_ns wait)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, directory->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct directory_entry *entry = value;
        bool present = entry->deleted_at == 0 && as_of >= entry->present_since + wait;
        if (present && g_str_equal(entry->zone, deleted->zone)) {
            return true;
        }
    }
    return false;
}

void
directory_note_departed(struct directory *directory, time_ns as_of, time_ns heartbeat)
{
    time_ns wait = heartbeat * DIRECTORY_SETTLED_HEARTBEATS;
    GHashTableIter iterator;
    gpointer value = NULL;
    if (directory->deleted == 0) {
        return;
    }
    g_hash_table_iter_init(&iterator, directory->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct directory_entry *entry = value;
        bool departing = entry->draining && !entry->leads && entry->deleted_at != 0 &&
                         as_of >= entry->deleted_at + wait;
        if (departing && !entry->departed) {
            entry->departed = zone_reached_store(directory, entry, as_of, wait);
        }
    }
}

bool
directory_forget(struct directory *directory, time_ns now, time_ns age)
{
    guint before = g_hash_table_size(directory->entries);
    GHashTableIter iterator;
    gpointer value = NULL;
    if (directory->deleted == 0) {
        return false;
    }
    g_hash_table_iter_init(&iterator, directory->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct directory_entry *entry = value;
        if (entry->deleted_at != 0 && now >= entry->deleted_at + age) {
            leave_group(directory, entry);
            g_hash_table_iter_remove(&iterator);
        }
    }
    return g_hash_table_size(directory->entries) != before;
}
