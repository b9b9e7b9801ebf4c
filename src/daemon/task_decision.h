/* What a task notes of its decisions, for the record that `swiftctl explain ID` shows. Called by
 * whoever runs the task. */
#ifndef SW_DAEMON_TASK_DECISION_H
#define SW_DAEMON_TASK_DECISION_H

#include "core/route.h"

struct task;

/* Notes the view that a decision saw, and why each database was passed over (GROUP_DATABASES_MAX
 * entries of `refused`). A later call replaces the note. */
void task_note_view(struct task *task, const struct group_view *view,
                    const enum route_reason *refused);

/* The same for a write: its decision depends on the view alone. */
void task_note_write_view(struct task *task, const struct group_view *view);

/* Notes what a read must see under a view. */
void task_note_needed(struct task *task, const struct group_view *view,
                      const struct route_read_request *route);

/* Moves the databases passed over, with their terms and positions, into the reply. */
void task_note_refused(struct task *task);

/* Notes the daemon that a request is sent to. */
void task_note_forward(struct task *task, const char *address);

/* Keeps the record of an answered task, whose reply is complete. */
void task_record_decision(struct task *task, time_ns now);

#endif
