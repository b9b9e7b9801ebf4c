/* The trace of one write. It is kept only if the write's outcome had to be resolved: an answer was
 * lost, the evidence of acknowledgement was not sufficient, or the ledger of idempotency keys was
 * queried. */
#ifndef SW_TRACE_WRITE_TRACE_H
#define SW_TRACE_WRITE_TRACE_H

#include "core/write_flow.h"
#include "trace/trace_recorder.h"

struct write_trace;

/* Begins the trace of a write of a group. `key` is the ledger's key, or NULL; only its hash is
 * stored. Returns NULL if the recorder is disabled; the functions below accept NULL. Owned by the
 * caller that executes the write. */
struct write_trace *write_trace_begin(struct trace_recorder *recorder, uint32_t group,
                                      const char *key, const struct write_options *options);

/* Records one call of write_flow_next(). Of a series of timer events in a wait only the first is
 * kept. At most 64 events are kept. */
void write_trace_note(struct write_trace *trace, const struct write_event *event,
                      const struct group_view *view, const struct write_step *step);

/* Passes the trace to the recorder, if it is to be kept, and frees it. Any thread. */
void write_trace_end(struct write_trace *trace);

/* Convert a record to the core's types. */
void write_trace_options_of(const struct trace_write *write, struct write_options *options);
void write_trace_event_of(const struct trace_write_event *from, struct write_event *event,
                          struct group_view *view);

/* True if the step equals the recorded one. */
bool write_trace_same_step(const struct trace_write_step *recorded, const struct write_step *step);

#endif
