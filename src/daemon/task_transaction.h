/* Requests of open interactive transactions: continue, commit, rollback. */
#ifndef SW_DAEMON_TASK_TRANSACTION_H
#define SW_DAEMON_TASK_TRANSACTION_H

#include "daemon/task.h"

/* When a caller should come back after the transaction could not begin or was rolled back. */
#define BEGIN_RETRY_AFTER_MS 200

/* Tells a result other than DONE of a step of a transaction that is rolled back, and finishes. */
void task_answer_transaction_result(struct task *task, enum execute_result result);

/* A transaction's key stands for its id, which the commit names wherever it is resolved. */
uint64_t task_fingerprint_of_transaction(const char *transaction_id);

/* Answers a commit whose transaction is not open here, or whose owner is gone: by the ledger if it
 * carries its key, otherwise as unknown, since an earlier commit may have been run. */
void task_resolve_commit(struct task *task);

#endif
