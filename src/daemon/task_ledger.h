/* Makes sure that a group's ledger table is there before a request needs it. */
#ifndef SW_DAEMON_TASK_LEDGER_H
#define SW_DAEMON_TASK_LEDGER_H

#include "daemon/task.h"

/* Creates the ledger table at the primary, on the connection of a request that carries a key, once
 * in each term. DONE: it is there. Otherwise nothing of the request itself was sent; the result is
 * one that says so. */
enum execute_result task_prepare_ledger(struct task *task, struct backend_connection *connection,
                                        uint32_t database, time_ns deadline);

#endif
