/* The directory of databases; see the header. */
#include "pooler/directory.h"

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

void
directory_init(struct directory *directory)
{
    directory->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
}

void
directory_clear(struct directory *directory)
{
    g_clear_pointer(&directory->entries, g_hash_table_unref);
}

static bool
same_content(const struct directory_entry *a, const struct directory_entry *b)
{
    return g_str_equal(a->service, b->service) && g_str_equal(a->zone, b->zone) &&
           a->address.sin_addr.s_addr == b->address.sin_addr.s_addr &&
           a->address.sin_port == b->address.sin_port && a->slots == b->slots &&
           a->draining == b->draining && a->leads == b->leads;
}

static bool
mark_gone(struct directory_entry *known, uint64_t version, time_ns now)
{
    bool changed = known->gone_at == 0;
    known->version = version;
    if (changed) {
        known->gone_at = now;
    }
    return changed;
}

bool
directory_take(struct directory *directory, const char *id, uint64_t version,
               struct directory_entry *entry, time_ns now)
{
    struct directory_entry *known = g_hash_table_lookup(directory->entries, id);
    if (known != NULL && known->version >= version) {
        directory_entry_free(entry);
        return false;
    }
    if (entry == NULL) {
        return known != NULL && mark_gone(known, version, now);
    }
    bool changed = known == NULL || known->gone_at != 0 || !same_content(known, entry);
    entry->version = version;
    g_hash_table_replace(directory->entries, entry->id, entry);
    return changed;
}

bool
directory_keep_only(struct directory *directory, GHashTable *ids, uint64_t version, time_ns now)
{
    bool changed = false;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, directory->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct directory_entry *entry = value;
        if (entry->version < version && !g_hash_table_contains(ids, entry->id)) {
            changed = mark_gone(entry, version, now) || changed;
        }
    }
    return changed;
}

bool
directory_entry_leaves(const struct directory_entry *entry, time_ns now, time_ns heartbeat)
{
    if (entry->draining) {
        return true;
    }
    return entry->gone_at != 0 &&
           now >= entry->gone_at + heartbeat * DIRECTORY_GONE_AFTER_HEARTBEATS;
}

bool
directory_forget(struct directory *directory, time_ns now, time_ns age)
{
    guint before = g_hash_table_size(directory->entries);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, directory->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct directory_entry *entry = value;
        if (entry->gone_at != 0 && now >= entry->gone_at + age) {
            g_hash_table_iter_remove(&iterator);
        }
    }
    return g_hash_table_size(directory->entries) != before;
}
