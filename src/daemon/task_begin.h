/* The begin of an interactive transaction: finds its database and a connection, with bounded waits
 * for both. While it waits it holds no thread and no connection, and does not count as a write that
 * a planned change of primary waits for. */
#ifndef SW_DAEMON_TASK_BEGIN_H
#define SW_DAEMON_TASK_BEGIN_H

#include "daemon/task.h"

/* Continues until the task is answered or parked. */
void task_run_begin(struct task *task);

#endif
