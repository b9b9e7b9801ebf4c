/* Requests of open interactive transactions: continue, commit, rollback. */
#ifndef SW_DAEMON_TASK_TRANSACTION_H
#define SW_DAEMON_TASK_TRANSACTION_H

#include "daemon/task.h"

/* Retry delay given to callers whose transaction could not begin or was rolled back. */
#define BEGIN_RETRY_AFTER_MS 200

/* Answers with a result other than DONE of a step of a transaction, which is rolled back, and
 * finishes. */
void task_answer_transaction_result(struct task *task, enum execute_result result);

/* Fingerprint of a transaction's key: made from the transaction's id, which a commit carries
 * wherever it is resolved. */
uint64_t task_fingerprint_of_transaction(const char *transaction_id);

/* Answers a commit whose transaction is not open here, or whose owner is no longer a member: from
 * the ledger if it carries its key, otherwise as unknown, since an earlier commit may have been
 * executed. */
void task_resolve_commit(struct task *task);

#endif
