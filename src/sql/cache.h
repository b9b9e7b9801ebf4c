/* A bounded LRU cache of statement classes by the statement's text. Callers send the same
 * statements with different parameters, and a lookup takes far less processor time than parsing.
 * Refusals are cached too. Any thread may use the cache; the entries are spread over shards with a
 * lock each, to keep lock contention low. */
#ifndef SW_SQL_CACHE_H
#define SW_SQL_CACHE_H

#include "sql/classify.h"

#include <stddef.h>
#include <stdint.h>

struct sql_cache;

/* Statistics of the cache. */
struct sql_cache_counts {
    uint64_t hits;
    uint64_t misses;
    uint64_t evictions;
    size_t entries;
    size_t bytes; /* of statements and error texts */
};

/* Makes a cache of at most about `entries_max` statements with `bytes_max` bytes of text. Each
 * shard has an equal part of both limits and evicts its least recently used entries. */
struct sql_cache *sql_cache_new(size_t entries_max, size_t bytes_max);

/* Frees the cache, which no thread may use any more. */
void sql_cache_free(struct sql_cache *cache);

/* As sql_classify, with the result taken from the cache if it is there. */
bool sql_cache_classify(struct sql_cache *cache, const char *sql, struct sql_class *out,
                        GError **error);

/* Sums the statistics of all shards. Not a consistent snapshot while other threads use the cache.
 */
void sql_cache_count(struct sql_cache *cache, struct sql_cache_counts *counts);

#endif
