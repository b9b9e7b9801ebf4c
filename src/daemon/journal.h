/* A bounded in-memory record of this daemon's decisions: failovers, ownership, drains,
 * configuration. It feeds `swiftctl events` and is lost at a restart, by design. */
#ifndef SW_DAEMON_JOURNAL_H
#define SW_DAEMON_JOURNAL_H

#include <glib.h>
#include <stdint.h>

#include "core/types.h"

/* Entries kept; older ones are dropped. */
#define JOURNAL_ENTRIES_MAX 2048

/* Bytes of an entry's text, including the terminating NUL. */
#define JOURNAL_TEXT_SIZE 128

/* One entry. A plain copy. */
struct journal_entry {
    uint64_t sequence; /* set by journal_add */
    int64_t at_us;     /* wall clock, microseconds; set by journal_add */
    uint32_t group;    /* 0 if none */
    int32_t database;  /* index in the group, or -1 */
    uint64_t term;     /* 0 if none */
    struct log_position position;
    char kind[32]; /* closed list: names of enum group_record_kind, and the daemon's own */
    char text[JOURNAL_TEXT_SIZE]; /* reason or action */
};

struct journal;

struct journal *journal_new(void);
void journal_free(struct journal *journal);

/* Adds an entry and logs it as one line. Any thread. */
void journal_add(struct journal *journal, const struct journal_entry *entry);

/* Copies the entries after `sequence`, oldest first, into an array of struct journal_entry. */
GArray *journal_since(struct journal *journal, uint64_t sequence);

#endif
