/* The trace of one write. It is kept only if the write's outcome had to be found out: an answer was
 * lost, evidence was short, or the ledger was asked. */
#ifndef SW_TRACE_WRITE_TRACE_H
#define SW_TRACE_WRITE_TRACE_H

#include "core/write_flow.h"
#include "trace/trace_recorder.h"

struct write_trace;

/* Begins the trace of a write of a group. `key` is the ledger's key, or NULL; only its hash is
 * kept. NULL where the recorder keeps nothing; the calls below take that. Owned by who drives the
 * write.
 */
struct write_trace *write_trace_begin(struct trace_recorder *recorder, uint32_t group,
                                      const char *key, const struct write_options *options);

/* Notes one call of write_flow_next(). Of a wait only its first look is kept, and 64 events at
 * most.
 */
void write_trace_note(struct write_trace *trace, const struct write_event *event,
                      const struct group_view *view, const struct write_step *step);

/* Hands the trace to the recorder, if it is to be kept, and frees it. Any thread. */
void write_trace_end(struct write_trace *trace);

/* The core's types from a record. */
void write_trace_options_of(const struct trace_write *write, struct write_options *options);
void write_trace_event_of(const struct trace_write_event *from, struct write_event *event,
                          struct group_view *view);

/* True if the step is the recorded one. */
bool write_trace_same_step(const struct trace_write_step *recorded, const struct write_step *step);

#endif
