#include "sql/cache.h"

#include "core/error.h"

#include <pthread.h>
#include <string.h>
#include <xxhash.h>

#define CACHE_SHARDS 16

/* One statement, in the hash table and the LRU list of its shard. */
struct cache_entry {
    char *sql;
    struct sql_class found;
    GError *refusal; /* NULL if the statement is served */
    size_t bytes;
    GList link; /* in the shard's list lru */
};

struct cache_shard {
    pthread_mutex_t mutex; /* guards all fields below */
    GHashTable *entries;
    GQueue lru; /* most recent first */
    size_t bytes;
    uint64_t hits;
    uint64_t misses;
    uint64_t evictions;
};

struct sql_cache {
    size_t shard_entries_max;
    size_t shard_bytes_max;
    struct cache_shard shards[CACHE_SHARDS];
};

static guint hash_sql(gconstpointer sql)
{
    return (guint)XXH3_64bits(sql, strlen(sql));
}

static struct cache_shard *shard_of(struct sql_cache *cache, const char *sql)
{
    /* The high bits, because the hash table of the shard uses the low bits of the same hash. */
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

struct sql_cache *sql_cache_new(size_t entries_max, size_t bytes_max)
{
    struct sql_cache *cache = g_new0(struct sql_cache, 1);
    cache->shard_entries_max = MAX(entries_max / CACHE_SHARDS, 1);
    cache->shard_bytes_max = bytes_max / CACHE_SHARDS;
    for (size_t i = 0; i < CACHE_SHARDS; i++) {
        struct cache_shard *shard = &cache->shards[i];
        pthread_mutex_init(&shard->mutex, NULL);
        g_queue_init(&shard->lru);
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

static bool copy_result(const struct cache_entry *entry, struct sql_class *out, GError **error)
{
    *out = entry->found;
    if (entry->refusal == NULL) {
        return true;
    }
    g_propagate_error(error, g_error_copy(entry->refusal));
    return false;
}

/* Evicts the least recently used entry. Called with the shard's mutex held. */
static void remove_least_recent(struct cache_shard *shard)
{
    struct cache_entry *entry = g_queue_peek_tail(&shard->lru);
    g_queue_unlink(&shard->lru, &entry->link);
    shard->bytes -= entry->bytes;
    shard->evictions++;
    g_hash_table_remove(shard->entries, entry->sql);
}

/* Inserts an entry, which the shard then owns. Called with the shard's mutex held. */
static void insert_entry(const struct sql_cache *cache, struct cache_shard *shard,
                         struct cache_entry *entry)
{
    bool known = g_hash_table_contains(shard->entries, entry->sql);
    if (known || entry->bytes > cache->shard_bytes_max) {
        entry_free(entry);
        return;
    }
    while (g_hash_table_size(shard->entries) >= cache->shard_entries_max ||
           shard->bytes + entry->bytes > cache->shard_bytes_max) {
        remove_least_recent(shard);
    }
    g_hash_table_insert(shard->entries, entry->sql, entry);
    g_queue_push_head_link(&shard->lru, &entry->link);
    shard->bytes += entry->bytes;
}

static bool find_entry(struct cache_shard *shard, const char *sql, struct sql_class *out,
                       bool *served, GError **error)
{
    pthread_mutex_lock(&shard->mutex);
    struct cache_entry *entry = g_hash_table_lookup(shard->entries, sql);
    if (entry != NULL) {
        shard->hits++;
        g_queue_unlink(&shard->lru, &entry->link);
        g_queue_push_head_link(&shard->lru, &entry->link);
        *served = copy_result(entry, out, error);
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
    entry->bytes = strlen(sql);
    sql_classify(sql, &entry->found, &entry->refusal);
    if (entry->refusal != NULL) {
        entry->bytes += strlen(entry->refusal->message);
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
    served = copy_result(entry, out, error);
    pthread_mutex_lock(&shard->mutex);
    insert_entry(cache, shard, entry);
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
        counts->bytes += shard->bytes;
        pthread_mutex_unlock(&shard->mutex);
    }
}
