/* Creates a group's ledger table before a request needs it. */
#ifndef SW_DAEMON_TASK_LEDGER_H
#define SW_DAEMON_TASK_LEDGER_H

#include "daemon/task.h"

/* Creates the ledger table at the primary if it is missing, once per term, on the connection of a
 * request that carries a key. DONE: the table exists. With any other result, nothing of the request
 * itself was sent, and the result code implies that. */
enum execute_result task_prepare_ledger(struct task *task, struct backend_connection *connection,
                                        uint32_t database, time_ns deadline);

#endif
