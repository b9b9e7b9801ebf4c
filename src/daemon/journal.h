/* A bounded in-memory record of what this daemon decided: failovers, ownership, drains,
 * configuration. It feeds `swiftctl events`; it survives nothing, by design. */
#ifndef SW_DAEMON_JOURNAL_H
#define SW_DAEMON_JOURNAL_H

#include <glib.h>
#include <stdint.h>

#include "core/types.h"

/* Entries kept; older ones are dropped. */
#define JOURNAL_ENTRIES_MAX 2048

/* Octets of an entry's text, its end included. */
#define JOURNAL_TEXT_SIZE 128

/* One entry. A plain copy. */
struct journal_entry {
    uint64_t sequence; /* set by journal_add */
    int64_t at_us;     /* wall clock, microseconds; set by journal_add */
    uint32_t group;    /* 0 if none */
    int32_t database;  /* index in the group, or -1 */
    uint64_t term;     /* 0 if none */
    struct log_position position;
    char kind[32]; /* closed list: names of enum group_record_kind, and of the daemon */
    char text[JOURNAL_TEXT_SIZE]; /* reason, or what was done */
};

struct journal;

struct journal *journal_new(void);
void journal_free(struct journal *journal);

/* Adds an entry and logs it as one line. Any thread. */
void journal_add(struct journal *journal, const struct journal_entry *entry);

/* Copies the entries after `sequence`, oldest first, into an array of struct journal_entry. */
GArray *journal_since(struct journal *journal, uint64_t sequence);

#endif
