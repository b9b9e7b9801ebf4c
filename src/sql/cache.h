/* A bounded cache of statement classes by the statement's text: callers send the same statements
 * with other parameters, and parsing one costs far more than finding it again. Refusals are kept
 * as well. Threads: any; the entries are spread over shards with a lock each, so that two threads
 * seldom meet. */
#ifndef SW_SQL_CACHE_H
#define SW_SQL_CACHE_H

#include "sql/classify.h"

#include <stddef.h>
#include <stdint.h>

struct sql_cache;

/* What the cache has done and holds. */
struct sql_cache_counts {
    uint64_t hits;
    uint64_t misses;
    uint64_t evictions;
    size_t entries;
    size_t octets; /* of statements and error texts */
};

/* A cache of at most about `entries_max` statements with `octets_max` octets of text; each shard
 * has an equal part of both. The least recently used go first. */
struct sql_cache *sql_cache_new(size_t entries_max, size_t octets_max);

/* No thread may use the cache any more. */
void sql_cache_free(struct sql_cache *cache);

/* sql_classify, from the cache where it can be. */
bool sql_cache_classify(struct sql_cache *cache, const char *sql, struct sql_class *out,
                        GError **error);

/* Sums over the shards; not a single moment while other threads work. */
void sql_cache_count(struct sql_cache *cache, struct sql_cache_counts *counts);

#endif
