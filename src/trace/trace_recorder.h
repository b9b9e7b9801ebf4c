/* The traces that a daemon keeps in memory: the input events of the control of its groups, with a
 * digest of each decision. They are stored in a bounded ring of segments shared by all groups; a
 * new segment replaces the oldest one that is closed. Each segment begins with the start record of
 * the control or with a snapshot of its complete state, so that the remaining segments can always
 * be replayed. See docs/design/traces.md.
 *
 * A quarter of the memory is reserved for traces of single writes, each stored completely; the
 * oldest are discarded first. See write_trace.h.
 *
 * Threads: the control thread records its groups. Any thread may record writes and copy traces. */
#ifndef SW_TRACE_TRACE_RECORDER_H
#define SW_TRACE_TRACE_RECORDER_H

#include <glib.h>

#include "core/group_control.h"
#include "generated/messages.h"

/* Size of one segment in bytes; a segment is one allocation. */
#define TRACE_SEGMENT_SIZE (64 * 1024)

struct trace_recorder;

/* The trace of one group's control. */
struct trace_group;

/* Makes a recorder that uses at most `memory` bytes. With memory for less than two segments it does
 * not record groups. */
struct trace_recorder *trace_recorder_new(size_t memory);

/* Frees the recorder. All groups must have been ended. */
void trace_recorder_free(struct trace_recorder *recorder);

/* Begins the trace of a control that starts at `at`. Returns NULL if the group is not recorded: at
 * most half as many groups are recorded as there are segments. The functions below accept NULL. */
struct trace_group *trace_group_begin(struct trace_recorder *recorder,
                                      const struct group_control_options *options, time_ns at);

/* Ends the trace. Its segments remain until they are replaced by new ones. */
void trace_group_end(struct trace_group *group);

/* Reserves space for the record of one step of the control. Called before the step, because a new
 * segment begins with a snapshot of the state before it. */
void trace_group_reserve(struct trace_group *group, const struct group_control *control,
                         time_ns now);

/* Records the event of a step and the digest of the decision. Called after the step. */
void trace_group_record(struct trace_group *group, const struct group_event *event,
                        const struct group_control *control, const struct group_actions *actions);

/* Records a call of group_control_set_detection(). */
void trace_group_detection(struct trace_group *group, const struct group_control *control,
                           time_ns now, time_ns suspect_after, time_ns unreachable_after);

/* True if the recorder has memory for traces of writes. */
bool trace_recorder_enabled(const struct trace_recorder *recorder);

/* Stores the record of a write of a group, and discards the oldest writes over the memory limit.
 * Any thread. */
void trace_recorder_keep_write(struct trace_recorder *recorder, uint32_t group,
                               const struct trace_record *record);

/* Returns the remaining trace of a group, oldest record first, followed by its writes: the content
 * of a trace file. Empty if there are none. */
GByteArray *trace_recorder_copy(struct trace_recorder *recorder, uint32_t group);

#endif
