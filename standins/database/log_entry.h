/* One committed write transaction, as the replicated log keeps and ships it: the statements with
 * their parameters, and the time and random seed that make their replay exact. */
#ifndef STANDIN_DATABASE_LOG_ENTRY_H
#define STANDIN_DATABASE_LOG_ENTRY_H

#include "core/types.h"
#include "sql_handle.h"

/* A statement that wrote. */
struct log_statement {
    char *sql;
    struct parameters *parameters;
};

/* Immutable once in a log, but for `received_ns`. */
struct log_entry {
    struct log_position position;
    int64_t now_us;
    uint64_t random_seed;
    GPtrArray *statements; /* owned struct log_statement *; none marks the start of a term */
    time_ns received_ns;   /* monotonic; when this database came to hold it */
};

struct log_entry *log_entry_new(struct log_position position, int64_t now_us, uint64_t random_seed);
void log_entry_free(struct log_entry *entry);
void log_entry_add(struct log_entry *entry, const char *sql, const struct parameters *parameters);

/* The seed of random() for statement `index` of an entry. */
uint64_t log_entry_statement_seed(const struct log_entry *entry, guint index);

/* The entry as JSON text, without position; and back (NULL if malformed). */
char *log_entry_encode(const struct log_entry *entry);
struct log_entry *log_entry_decode(struct log_position position, const char *payload);

/* Runs the entry's statements in one transaction. Aborts the program if they fail, as they ran
 * before. */
void log_entry_replay(const struct log_entry *entry, struct sql_handle *handle);

#endif
