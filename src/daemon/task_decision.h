/* What a task records about its decisions, for `swiftctl explain ID`. Called by the thread that
 * runs the task. */
#ifndef SW_DAEMON_TASK_DECISION_H
#define SW_DAEMON_TASK_DECISION_H

#include "core/route.h"

struct task;

/* Records the view used for a decision, and why each database was rejected (GROUP_DATABASES_MAX
 * entries of `refused`). Replaces an earlier record. */
void task_record_view(struct task *task, const struct group_view *view,
                      const enum route_reason *refused);

/* The same for a write, whose decision depends on the view alone. */
void task_record_write_view(struct task *task, const struct group_view *view);

/* Records the position that a read must see under a view. */
void task_record_needed(struct task *task, const struct group_view *view,
                        const struct route_read_request *route);

/* Copies the rejected databases, with their terms and positions, into the reply. */
void task_copy_refused(struct task *task);

/* Records the daemon that a request is forwarded to. */
void task_record_forward(struct task *task, const char *address);

/* Adds the record of an answered task, whose reply is complete, to the decision log. */
void task_record_decision(struct task *task, time_ns now);

#endif
