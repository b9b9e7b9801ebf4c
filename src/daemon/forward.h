/* Decides whether a request runs on this daemon or is forwarded to the owner of its transaction or
 * to an owner of its group. A request is forwarded at most once, and only one layer retries: the
 * receiver. */
#ifndef SW_DAEMON_FORWARD_H
#define SW_DAEMON_FORWARD_H

#include "daemon/task.h"

/* Runs the task here, or forwards it and answers with the other daemon's reply. Runs on a worker.
 */
void forward_or_run(struct task *task);

#endif
