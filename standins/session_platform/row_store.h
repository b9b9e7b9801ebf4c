/* Stand-in for the platform's store of rows and for its promotion call, over HTTP at a free port of
 * 127.0.0.1, in a thread of its own. All functions may be called from the test's thread. */
#ifndef SW_STANDINS_ROW_STORE_H
#define SW_STANDINS_ROW_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Faults injected into the store. */
struct row_store_faults {
    bool refuse;                /* every request gets 503 */
    bool unresponsive;          /* no request is answered or carried out */
    bool hold_promotions;       /* no promotion is answered or carried out */
    bool lose_writes;           /* writes are carried out and not answered */
    bool empty;                 /* listings are answered without a body */
    bool no_history;            /* every request for changes gets 410 */
    unsigned delay_ms;          /* reads and writes are carried out and answered this much later */
    const char *refused_prefix; /* writes with a row whose key begins so get 429; NULL: none do */
    unsigned restore_after_reads; /* restore, without loss of data, at the request for this many
 more pages of listings; 0: never */
};

/* Called for each promotion. False: the database does not run. */
typedef bool row_store_promote(void *user, const char *service, const char *database);

struct row_store;

struct row_store *row_store_start(row_store_promote *promote, void *user);
void row_store_stop(struct row_store *store);
uint16_t row_store_port(const struct row_store *store);
/* Discards the history so far: requests for changes since an earlier version get 410. */
void row_store_discard_history(struct row_store *store);
/* The store's version `ms_ago` milliseconds ago. */
uint64_t row_store_version(struct row_store *store, unsigned ms_ago);
/* The number of restores. */
uint64_t row_store_era(struct row_store *store);
/* Restores the store as it was at this version: later writes are undone, their version numbers are
 * assigned again, and all replies name the next era. */
void row_store_restore(struct row_store *store, uint64_t version);
void row_store_set_faults(struct row_store *store, const struct row_store_faults *faults);

/* Writes a row as operators and databases do; `text` is JSON. NULL deletes the row. */
void row_store_put(struct row_store *store, const char *table, const char *key, const char *text);
/* The same in a part of the table, as the poolers have. */
void row_store_put_in(struct row_store *store, const char *table, const char *part, const char *key,
                      const char *text);
/* Deletes a row that poolers have written, as operators do. */
void row_store_drop(struct row_store *store, const char *table, const char *key);
/* Writes a row unchanged, as databases do with each heartbeat. Its version rises, but requests for
 * changes do not report it. */
void row_store_renew(struct row_store *store, const char *table, const char *key);
/* The row's value as JSON text, NULL if there is none; the caller frees it. */
char *row_store_get(struct row_store *store, const char *table, const char *key);
/* The row's version, 0 if there is none. */
uint64_t row_store_row_version(struct row_store *store, const char *table, const char *key);
unsigned row_store_promotions(struct row_store *store);
/* The highest fencing token received; `fell`: whether a lower one came after a higher one. */
uint64_t row_store_token(struct row_store *store, bool *fell);
/* Whether two holders have promoted under the same token. */
bool row_store_token_shared(struct row_store *store);

#endif
