/* The ledger of idempotency keys: a table in the databases of the group, one row a key, written in
 * the same transaction as the key's write, so that both are there or neither is. Used by the
 * adapter only. */
#ifndef SW_BACKEND_LEDGER_H
#define SW_BACKEND_LEDGER_H

#include "backend/adapter.h"

/* Recorded results larger than this, as encoded text, are not kept. */
#define LEDGER_RESULTS_MAX 65536

/* State of a key's row. */
enum ledger_state {
    LEDGER_STATE_DONE,   /* its write is committed with this row */
    LEDGER_STATE_CLOSED, /* its write was not run and never will be */
};

/* Queues the claim of a key: no row is affected if the key is there already. */
bool ledger_send_claim(struct backend_connection *connection, const struct adapter_key *key,
                       enum ledger_state state);

/* True if the answer to a claim says that the row was inserted. */
bool ledger_claim_won(const struct query_reply *reply);

/* Queues the claim of a key for a write that is done with it: an error if the key is there already,
 * so that what follows in the batch is not run. */
bool ledger_send_claim_or_fail(struct backend_connection *connection,
                               const struct adapter_key *key);

/* True if the answer to that claim says that the key is taken. */
bool ledger_claim_failed(const struct query_reply *reply);

/* Queues a look whether the key is taken, without a claim. */
bool ledger_send_lookup(struct backend_connection *connection, const struct adapter_key *key);

/* True if the answer to the look says that it is. */
bool ledger_lookup_found(const struct query_reply *reply);

/* Queues the recording of a write's results in the claimed row. */
bool ledger_send_results(struct backend_connection *connection, const struct adapter_key *key,
                         const struct sql_result *results, size_t count);

/* Reads the row of a key that was found claimed, outside of any transaction, and says what it
 * means; answer->position is at or after the row. CONFLICT if there is no row any more; NOT_SENT if
 * the connection is lost, since nothing of this request is left open. */
enum execute_result ledger_resolve(struct backend_connection *connection,
                                   const struct adapter_key *key, time_ns deadline,
                                   struct execute_answer *answer);

#endif
