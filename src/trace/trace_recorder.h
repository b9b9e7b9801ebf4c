/* The traces that a daemon keeps in memory: what went into the control of its groups, with the
 * digest of each decision. A bounded ring of segments shared by all groups; the oldest ended
 * segment is given up for a new one. Each segment begins with the start of the control or with its
 * whole state, so that what is left can always be replayed. See docs/design/traces.md.
 *
 * A quarter of the memory is for single writes, kept whole, the oldest given up first; see
 * write_trace.h.
 *
 * The control thread records its groups; any thread records writes, and copies. */
#ifndef SW_TRACE_TRACE_RECORDER_H
#define SW_TRACE_TRACE_RECORDER_H

#include <glib.h>

#include "core/group_control.h"
#include "generated/messages.h"

/* Octets of one segment, allocated as a whole. */
#define TRACE_SEGMENT_SIZE (64 * 1024)

struct trace_recorder;

/* The trace of one group's control. */
struct trace_group;

/* A recorder that takes `memory` octets at most; less than two segments: it records nothing. */
struct trace_recorder *trace_recorder_new(size_t memory);

/* No group may be recorded any more. */
void trace_recorder_free(struct trace_recorder *recorder);

/* Begins the trace of a control that begins at `at`. NULL where nothing is recorded: of
 * more groups than half the segments, the later ones are not. The calls below take NULL. */
struct trace_group *trace_group_begin(struct trace_recorder *recorder,
                                      const struct group_control_options *options, time_ns at);

/* Ends it; its segments stay until the room is needed. */
void trace_group_end(struct trace_group *group);

/* Before a step of the control: makes room for its record. */
void trace_group_reserve(struct trace_group *group, const struct group_control *control,
                         time_ns now);

/* After the step: records the event and the digest of the decision. */
void trace_group_record(struct trace_group *group, const struct group_event *event,
                        const struct group_control *control, const struct group_actions *actions);

/* Records a call of group_control_set_detection(). */
void trace_group_detection(struct trace_group *group, const struct group_control *control,
                           time_ns now, time_ns suspect_after, time_ns unreachable_after);

/* True if there is memory to record anything. */
bool trace_recorder_is_on(const struct trace_recorder *recorder);

/* Keeps the record of a write of a group, in the place of the oldest ones. Any thread. */
void trace_recorder_keep_write(struct trace_recorder *recorder, uint32_t group,
                               const struct trace_record *record);

/* What is left of a group's traces, oldest first, then of its writes: the content of a trace file.
 * Empty if nothing. */
GByteArray *trace_recorder_copy(struct trace_recorder *recorder, uint32_t group);

#endif
