/* Stand-in for the platform's store of rows and for its promotion duty, over HTTP at a free port of
 * 127.0.0.1, in a thread of its own. All functions may be called by the test's thread. */
#ifndef SW_STANDINS_ROW_STORE_H
#define SW_STANDINS_ROW_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What the store does wrong at the moment. */
struct row_store_faults {
    bool refuse;                  /* every call gets 503 */
    bool unresponsive;            /* no call is answered, and nothing is done */
    bool lose_writes;             /* writes are done and not answered */
    bool empty;                   /* listings are answered without a body */
    bool no_history;              /* every question for changes gets 410 */
    unsigned restore_after_reads; /* it is restored, losing nothing, before so many listings' pages
                                     more are answered; 0: not */
};

/* Is told of a promotion; false: the database does not run. */
typedef bool row_store_promote(void *user, const char *service, const char *database);

struct row_store;

struct row_store *row_store_start(row_store_promote *promote, void *user);
void row_store_stop(struct row_store *store);
uint16_t row_store_port(const struct row_store *store);
/* Forgets its history: questions for changes since before now get 410. */
void row_store_discard_history(struct row_store *store);
/* The store's version so many milliseconds ago. */
uint64_t row_store_version(struct row_store *store, unsigned ms_ago);
/* How often it was restored. */
uint64_t row_store_era(struct row_store *store);
/* Comes back from a copy of when this was the version: what was written since is gone, its versions
 * are given out again, and all answers tell the next era. */
void row_store_restore(struct row_store *store, uint64_t version);
void row_store_set_faults(struct row_store *store, const struct row_store_faults *faults);

/* Writes a row as operators and databases do; `text` is JSON. NULL removes the row. */
void row_store_put(struct row_store *store, const char *table, const char *key, const char *text);
/* Writes a row as it is once more, as databases do each heartbeat: its version rises, and questions
 * for changes are not answered for that. */
void row_store_renew(struct row_store *store, const char *table, const char *key);
/* The row's value as text, NULL if there is none; the caller frees it. */
char *row_store_get(struct row_store *store, const char *table, const char *key);
unsigned row_store_promotions(struct row_store *store);
/* Highest fencing token seen, and whether a lower one came after a higher one. */
uint64_t row_store_token(struct row_store *store, bool *fell);
/* Whether two holders have promoted under the same token. */
bool row_store_token_shared(struct row_store *store);

#endif
