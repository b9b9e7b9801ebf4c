/* Two rings of records; see the header. */
#include "daemon/decision_log.h"

#include <stdatomic.h>
#include <string.h>
#include <xxhash.h>

#include "configuration/configuration.h"
#include "generated/messages.h"

/* Entries that an addition tries before it drops the record. */
#define ENTRIES_TRIED_MAX 4

/* One entry of a ring. */
struct ring_entry {
    atomic_bool busy;         /* a thread copies in or out; guards `record` */
    _Atomic uint64_t id_hash; /* of record.request_id, to search without copying; 0: empty */
    struct decision_record record;
};

struct ring {
    uint32_t size;
    _Atomic uint64_t next; /* additions so far; the next entry's index is this modulo the size */
    struct ring_entry *entries;
};

struct decision_log {
    struct ring done;
    struct ring others;
};

static void ring_init(struct ring *ring, uint32_t size)
{
    ring->size = size;
    ring->entries = g_new0(struct ring_entry, size);
}

struct decision_log *decision_log_new(uint32_t entries)
{
    struct decision_log *log = g_new0(struct decision_log, 1);
    ring_init(&log->done, entries);
    ring_init(&log->others, entries);
    return log;
}

void decision_log_free(struct decision_log *log)
{
    g_free(log->done.entries);
    g_free(log->others.entries);
    g_free(log);
}

static uint64_t hash_of(const char *request_id)
{
    return XXH3_64bits(request_id, strlen(request_id)) | 1;
}

static bool try_acquire(struct ring_entry *entry)
{
    return !atomic_exchange_explicit(&entry->busy, true, memory_order_acquire);
}

static void release(struct ring_entry *entry)
{
    atomic_store_explicit(&entry->busy, false, memory_order_release);
}

void decision_log_add(struct decision_log *log, const struct decision_record *record)
{
    struct ring *ring = record->outcome == OUTCOME_DONE ? &log->done : &log->others;
    for (unsigned tried = 0; tried < ENTRIES_TRIED_MAX; tried++) {
        uint64_t number = atomic_fetch_add_explicit(&ring->next, 1, memory_order_relaxed);
        struct ring_entry *entry = &ring->entries[number % ring->size];
        if (try_acquire(entry)) {
            entry->record = *record;
            atomic_store(&entry->id_hash, hash_of(record->request_id));
            release(entry);
            return;
        }
    }
}

/* Acquires an entry, yielding the processor while another thread holds it, and copies it. An
 * addition that finds it held uses the next one. */
static void copy_entry(struct ring_entry *entry, struct decision_record *record)
{
    while (!try_acquire(entry)) {
        g_thread_yield();
    }
    *record = entry->record;
    release(entry);
}

static void find_in(struct ring *ring, const char *request_id, GArray *found)
{
    uint64_t hash = hash_of(request_id);
    for (uint32_t i = 0; i < ring->size; i++) {
        if (atomic_load(&ring->entries[i].id_hash) != hash) {
            continue;
        }
        struct decision_record record;
        copy_entry(&ring->entries[i], &record);
        if (strcmp(record.request_id, request_id) == 0) {
            g_array_append_val(found, record);
        }
    }
}

static gint compare_times(gconstpointer first, gconstpointer second)
{
    const struct decision_record *a = first;
    const struct decision_record *b = second;
    return a->at_us < b->at_us ? -1 : a->at_us > b->at_us;
}

GArray *decision_log_find(struct decision_log *log, const char *request_id)
{
    GArray *found = g_array_new(FALSE, FALSE, sizeof(struct decision_record));
    find_in(&log->done, request_id, found);
    find_in(&log->others, request_id, found);
    g_array_sort(found, compare_times);
    return found;
}

/* Time of the ring's oldest record; 0 if none was overwritten. */
static int64_t oldest_of(struct ring *ring)
{
    uint64_t next = atomic_load(&ring->next);
    if (next <= ring->size) {
        return 0;
    }
    struct decision_record record;
    copy_entry(&ring->entries[next % ring->size], &record);
    return record.at_us;
}

int64_t decision_log_oldest_at(struct decision_log *log)
{
    return MAX(oldest_of(&log->done), oldest_of(&log->others));
}

uint32_t decision_databases_mark(const struct group_configuration *group)
{
    uint64_t mark = 0;
    for (uint32_t i = 0; i < group->database_count; i++) {
        const char *name = group->databases[i].name;
        mark = XXH3_64bits_withSeed(name, strlen(name), mark);
    }
    return (uint32_t)mark;
}
