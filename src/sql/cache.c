#include "sql/cache.h"

#include "core/error.h"

#include <pthread.h>
#include <string.h>
#include <xxhash.h>

#define CACHE_SHARDS 16

/* One statement; it stands in its shard's table and in the list of last uses. */
struct cache_entry {
    char *sql;
    struct sql_class found;
    GError *refusal; /* NULL where it is served */
    size_t octets;
    GList link; /* of the shard's uses */
};

struct cache_shard {
    pthread_mutex_t mutex; /* of all below */
    GHashTable *entries;
    GQueue uses; /* most recent first */
    size_t octets;
    uint64_t hits;
    uint64_t misses;
    uint64_t evictions;
};

struct sql_cache {
    size_t shard_entries_max;
    size_t shard_octets_max;
    struct cache_shard shards[CACHE_SHARDS];
};

static guint hash_sql(gconstpointer sql)
{
    return (guint)XXH3_64bits(sql, strlen(sql));
}

static struct cache_shard *shard_of(struct sql_cache *cache, const char *sql)
{
    /* The table uses the low bits of the same hash. */
    uint64_t hash = XXH3_64bits(sql, strlen(sql));
    return &cache->shards[(hash >> 60) % CACHE_SHARDS];
}

static void entry_free(gpointer data)
{
    struct cache_entry *entry = data;
    g_free(entry->sql);
    g_clear_error(&entry->refusal);
    g_free(entry);
}

struct sql_cache *sql_cache_new(size_t entries_max, size_t octets_max)
{
    struct sql_cache *cache = g_new0(struct sql_cache, 1);
    cache->shard_entries_max = MAX(entries_max / CACHE_SHARDS, 1);
    cache->shard_octets_max = octets_max / CACHE_SHARDS;
    for (size_t i = 0; i < CACHE_SHARDS; i++) {
        struct cache_shard *shard = &cache->shards[i];
        pthread_mutex_init(&shard->mutex, NULL);
        g_queue_init(&shard->uses);
        shard->entries = g_hash_table_new_full(hash_sql, g_str_equal, NULL, entry_free);
    }
    return cache;
}

void sql_cache_free(struct sql_cache *cache)
{
    if (cache == NULL) {
        return;
    }
    for (size_t i = 0; i < CACHE_SHARDS; i++) {
        g_hash_table_destroy(cache->shards[i].entries);
        pthread_mutex_destroy(&cache->shards[i].mutex);
    }
    g_free(cache);
}

static bool answer_from(const struct cache_entry *entry, struct sql_class *out, GError **error)
{
    *out = entry->found;
    if (entry->refusal == NULL) {
        return true;
    }
    g_propagate_error(error, g_error_copy(entry->refusal));
    return false;
}

/* Under the shard's mutex. */
static void remove_least_recent(struct cache_shard *shard)
{
    struct cache_entry *entry = g_queue_peek_tail(&shard->uses);
    g_queue_unlink(&shard->uses, &entry->link);
    shard->octets -= entry->octets;
    shard->evictions++;
    g_hash_table_remove(shard->entries, entry->sql);
}

/* Under the shard's mutex. Takes the entry over. */
static void keep_entry(const struct sql_cache *cache, struct cache_shard *shard,
                       struct cache_entry *entry)
{
    bool known = g_hash_table_contains(shard->entries, entry->sql);
    if (known || entry->octets > cache->shard_octets_max) {
        entry_free(entry);
        return;
    }
    while (g_hash_table_size(shard->entries) >= cache->shard_entries_max ||
           shard->octets + entry->octets > cache->shard_octets_max) {
        remove_least_recent(shard);
    }
    g_hash_table_insert(shard->entries, entry->sql, entry);
    g_queue_push_head_link(&shard->uses, &entry->link);
    shard->octets += entry->octets;
}

static bool find_entry(struct cache_shard *shard, const char *sql, struct sql_class *out,
                       bool *served, GError **error)
{
    pthread_mutex_lock(&shard->mutex);
    struct cache_entry *entry = g_hash_table_lookup(shard->entries, sql);
    if (entry != NULL) {
        shard->hits++;
        g_queue_unlink(&shard->uses, &entry->link);
        g_queue_push_head_link(&shard->uses, &entry->link);
        *served = answer_from(entry, out, error);
    } else {
        shard->misses++;
    }
    pthread_mutex_unlock(&shard->mutex);
    return entry != NULL;
}

static struct cache_entry *entry_new(const char *sql)
{
    struct cache_entry *entry = g_new0(struct cache_entry, 1);
    entry->sql = g_strdup(sql);
    entry->link.data = entry;
    entry->octets = strlen(sql);
    sql_classify(sql, &entry->found, &entry->refusal);
    if (entry->refusal != NULL) {
        entry->octets += strlen(entry->refusal->message);
    }
    return entry;
}

bool sql_cache_classify(struct sql_cache *cache, const char *sql, struct sql_class *out,
                        GError **error)
{
    struct cache_shard *shard = shard_of(cache, sql);
    bool served = false;
    if (find_entry(shard, sql, out, &served, error)) {
        return served;
    }
    struct cache_entry *entry = entry_new(sql);
    served = answer_from(entry, out, error);
    pthread_mutex_lock(&shard->mutex);
    keep_entry(cache, shard, entry);
    pthread_mutex_unlock(&shard->mutex);
    return served;
}

void sql_cache_count(struct sql_cache *cache, struct sql_cache_counts *counts)
{
    memset(counts, 0, sizeof(*counts));
    for (size_t i = 0; i < CACHE_SHARDS; i++) {
        struct cache_shard *shard = &cache->shards[i];
        pthread_mutex_lock(&shard->mutex);
        counts->hits += shard->hits;
        counts->misses += shard->misses;
        counts->evictions += shard->evictions;
        counts->entries += g_hash_table_size(shard->entries);
        counts->octets += shard->octets;
        pthread_mutex_unlock(&shard->mutex);
    }
}
