/* Requests of interactive transactions: begin, continue, commit, rollback. */
#ifndef SW_DAEMON_TASK_TRANSACTION_H
#define SW_DAEMON_TASK_TRANSACTION_H

#include "daemon/task.h"

/* Answers a commit whose transaction is not open here, or whose owner is gone: by the ledger if it
 * carries its key, otherwise as unknown, since an earlier commit may have been run. */
void task_resolve_commit(struct task *task);

#endif
