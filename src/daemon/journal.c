/* The bounded record of decisions; see the header. */
#define G_LOG_DOMAIN "control"
#include "daemon/journal.h"

#include <pthread.h>

struct journal {
    pthread_mutex_t lock; /* guards all below */
    uint64_t next_sequence;
    struct journal_entry entries[JOURNAL_ENTRIES_MAX]; /* index: sequence modulo the size */
};

struct journal *journal_new(void)
{
    struct journal *journal = g_new0(struct journal, 1);
    pthread_mutex_init(&journal->lock, NULL);
    journal->next_sequence = 1;
    return journal;
}

void journal_free(struct journal *journal)
{
    pthread_mutex_destroy(&journal->lock);
    g_free(journal);
}

void journal_add(struct journal *journal, const struct journal_entry *entry)
{
    pthread_mutex_lock(&journal->lock);
    uint64_t sequence = journal->next_sequence++;
    struct journal_entry *place = &journal->entries[sequence % JOURNAL_ENTRIES_MAX];
    *place = *entry;
    place->sequence = sequence;
    place->at_us = g_get_real_time();
    pthread_mutex_unlock(&journal->lock);
    g_message("%s group=%u database=%d term=%" G_GUINT64_FORMAT " position=%" G_GUINT64_FORMAT
              "/%" G_GUINT64_FORMAT " %s.",
              entry->kind, entry->group, entry->database, entry->term, entry->position.term,
              entry->position.offset, entry->text);
}

GArray *journal_since(struct journal *journal, uint64_t sequence)
{
    GArray *entries = g_array_new(FALSE, FALSE, sizeof(struct journal_entry));
    pthread_mutex_lock(&journal->lock);
    uint64_t first = sequence + 1;
    if (journal->next_sequence > JOURNAL_ENTRIES_MAX) {
        first = MAX(first, journal->next_sequence - JOURNAL_ENTRIES_MAX);
    }
    for (uint64_t i = first; i < journal->next_sequence; i++) {
        g_array_append_val(entries, journal->entries[i % JOURNAL_ENTRIES_MAX]);
    }
    pthread_mutex_unlock(&journal->lock);
    return entries;
}
