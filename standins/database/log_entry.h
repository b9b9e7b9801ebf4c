/* One committed write transaction as the replicated log stores and sends it: its statements with
 * their parameters, and the time and random seed that make a replay give the same rows. */
#ifndef STANDIN_DATABASE_LOG_ENTRY_H
#define STANDIN_DATABASE_LOG_ENTRY_H

#include "core/types.h"
#include "sql_handle.h"

/* A statement that wrote rows. */
struct log_statement {
    char *sql;
    struct parameters *parameters;
};

/* Immutable once in a log, except for `received_ns`. */
struct log_entry {
    struct log_position position;
    int64_t now_us;
    uint64_t random_seed;
    GPtrArray *statements; /* owned struct log_statement *; none marks the start of a term */
    time_ns received_ns;   /* monotonic time at which this database received it */
};

struct log_entry *log_entry_new(struct log_position position, int64_t now_us, uint64_t random_seed);
void log_entry_free(struct log_entry *entry);
void log_entry_add(struct log_entry *entry, const char *sql, const struct parameters *parameters);

/* The seed of random() for statement `index` of an entry. */
uint64_t log_entry_statement_seed(const struct log_entry *entry, guint index);

/* The entry as JSON text, without its position; the reverse returns NULL if the text is malformed.
 */
char *log_entry_encode(const struct log_entry *entry);
struct log_entry *log_entry_decode(struct log_position position, const char *payload);

/* Runs the entry's statements in one transaction. Aborts the program if one fails: each has run
 * before, so a failure means that the replay differs. */
void log_entry_replay(const struct log_entry *entry, struct sql_handle *handle);

#endif
