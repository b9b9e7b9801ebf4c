/* The ledger of idempotency keys: a table in each group's databases with one row per key. A row is
 * written in the same transaction as the key's write, so that either both are committed or neither.
 * Used by the adapter only. */
#ifndef SW_BACKEND_LEDGER_H
#define SW_BACKEND_LEDGER_H

#include "backend/adapter.h"

/* Results larger than this, in bytes of encoded text, are not recorded. */
#define LEDGER_RESULTS_MAX 65536

/* State of a key's row. */
enum ledger_state {
    LEDGER_STATE_DONE,   /* the write is committed together with this row */
    LEDGER_STATE_CLOSED, /* the write was not run and never will be */
};

/* Queues an INSERT that claims a key; it affects no row if the key is already there. */
bool ledger_send_claim(struct backend_connection *connection, const struct adapter_key *key,
                       enum ledger_state state);

/* True if the answer to ledger_send_claim reports an inserted row. */
bool ledger_claim_inserted(const struct query_reply *reply);

/* Queues a claim that fails with an error if the key is already there, so that the database skips
 * the rest of the batch (COMMIT). */
bool ledger_send_claim_or_fail(struct backend_connection *connection,
                               const struct adapter_key *key);

/* True if the answer to ledger_send_claim_or_fail reports that the key is already there. */
bool ledger_claim_failed(const struct query_reply *reply);

/* Queues a query whether the key is in the ledger, without a claim. */
bool ledger_send_lookup(struct backend_connection *connection, const struct adapter_key *key);

/* True if the answer to ledger_send_lookup reports that it is. */
bool ledger_lookup_found(const struct query_reply *reply);

/* Queues an UPDATE that records a write's results in the claimed row. */
bool ledger_send_results(struct backend_connection *connection, const struct adapter_key *key,
                         const struct sql_result *results, size_t count);

/* Reads the row of an already claimed key, outside of any transaction, and maps it to a result.
 * answer->position is at or after the row. CONFLICT if the row no longer exists. NOT_SENT if the
 * connection is lost, since this request left no transaction open. */
enum execute_result ledger_resolve(struct backend_connection *connection,
                                   const struct adapter_key *key, time_ns deadline,
                                   struct execute_answer *answer);

#endif
