/* Implementation of traces of single writes; see the header. */
#include "trace/write_trace.h"

#include <string.h>
#include <xxhash.h>

/* Maximum number of events kept of one write; equal to the bound of struct trace_write. */
#define EVENTS_MAX 64

/* Initial capacity: the events of an undisturbed write in a group of three databases, which are the
 * start, the commit and the evidence of acknowledgement. */
#define EVENTS_RESERVED 6

struct write_trace {
    struct trace_recorder *recorder;
    uint32_t group;
    bool keep;
    GArray *events; /* of struct trace_write_event */
    struct trace_write write;
};

struct write_trace *write_trace_begin(struct trace_recorder *recorder, uint32_t group,
                                      const char *key, const struct write_options *options)
{
    if (!trace_recorder_enabled(recorder)) {
        return NULL;
    }
    struct write_trace *trace = g_new0(struct write_trace, 1);
    trace->recorder = recorder;
    trace->group = group;
    trace->keep = options->resolve_only;
    trace->events =
        g_array_sized_new(FALSE, FALSE, sizeof(struct trace_write_event), EVENTS_RESERVED);
    trace->write = (struct trace_write){
        .key = key != NULL ? XXH3_64bits(key, strlen(key)) : 0,
        .deadline = options->deadline,
        .unavailable_wait_ms = options->unavailable_wait_ms,
        .keyed = options->keyed,
        .commit_only = options->commit_only,
        .resolve_only = options->resolve_only,
        .attempts_max = options->attempts_max,
    };
    return trace;
}

static bool needs_resolution(enum write_event_kind kind)
{
    return kind == WRITE_EVENT_LOST || kind == WRITE_EVENT_EVIDENCE_END ||
           kind == WRITE_EVENT_ALREADY_DONE || kind == WRITE_EVENT_KEY_CLOSED ||
           kind == WRITE_EVENT_KEY_REUSED;
}

static uint32_t reachable_mask(const struct group_view *view)
{
    uint32_t mask = 0;
    for (uint32_t i = 0; i < view->database_count; i++) {
        mask |= view->databases[i].reachable ? UINT32_C(1) << i : 0;
    }
    return mask;
}

static struct trace_write_step step_to_record(const struct write_step *step)
{
    return (struct trace_write_step){
        .kind = step->kind,
        .database = step->database,
        .term = step->position.term,
        .offset = step->position.offset,
        .until = step->until,
        .outcome = step->outcome,
        .error = step->error,
        .retry_after_ms = step->retry_after_ms,
        .reason = step->reason,
    };
}

static struct trace_write_event event_to_record(const struct write_event *event,
                                                const struct group_view *view,
                                                const struct write_step *step)
{
    return (struct trace_write_event){
        .kind = event->kind,
        .at = event->now,
        .database = event->database,
        .term = event->position.term,
        .offset = event->position.offset,
        .has_status = event->kind == WRITE_EVENT_EVIDENCE,
        .status = {.held_term = event->status.held.term,
                   .held_offset = event->status.held.offset,
                   .promised_term = event->status.promised_term},
        .error = event->error,
        .retry_after_ms = event->retry_after_ms,
        .view = {.term = view->term,
                 .primary = view->primary,
                 .writes_paused = view->writes_paused,
                 .database_count = view->database_count,
                 .reachable = reachable_mask(view)},
        .step = step_to_record(step),
    };
}

static bool is_wait(const struct trace_write_event *event)
{
    return event->kind == WRITE_EVENT_TIMER && event->step.kind == WRITE_STEP_WAIT;
}

void write_trace_note(struct write_trace *trace, const struct write_event *event,
                      const struct group_view *view, const struct write_step *step)
{
    if (trace == NULL) {
        return;
    }
    struct trace_write_event record = event_to_record(event, view, step);
    GArray *events = trace->events;
    bool continues_wait =
        events->len > 0 && is_wait(&record) &&
        is_wait(&g_array_index(events, struct trace_write_event, events->len - 1));
    trace->keep = trace->keep || needs_resolution(event->kind);
    if (!continues_wait && events->len < EVENTS_MAX) {
        g_array_append_val(events, record);
    }
}

/* Converts a recent time of the monotonic clock to wall-clock microseconds. */
static uint64_t wall_time_of(time_ns at)
{
    gint64 since = g_get_monotonic_time() - (gint64)(at / NANOSECONDS_PER_MICROSECOND);
    return (uint64_t)(g_get_real_time() - since);
}

void write_trace_end(struct write_trace *trace)
{
    if (trace == NULL) {
        return;
    }
    if (trace->keep && trace->events->len > 0) {
        struct trace_record record;
        trace_record_init(&record);
        record.at = g_array_index(trace->events, struct trace_write_event, 0).at;
        record.wall_us = wall_time_of(record.at);
        record.has_write = true;
        record.write = trace->write;
        record.write.events_count = trace->events->len;
        record.write.events = (struct trace_write_event *)(void *)trace->events->data;
        trace_recorder_keep_write(trace->recorder, trace->group, &record);
    }
    g_array_unref(trace->events);
    g_free(trace);
}

void write_trace_options_of(const struct trace_write *write, struct write_options *options)
{
    *options = (struct write_options){
        .deadline = write->deadline,
        .unavailable_wait_ms = write->unavailable_wait_ms,
        .keyed = write->keyed,
        .commit_only = write->commit_only,
        .resolve_only = write->resolve_only,
        .attempts_max = write->attempts_max,
    };
}

void write_trace_event_of(const struct trace_write_event *from, struct write_event *event,
                          struct group_view *view)
{
    const struct trace_view *known = &from->view;
    *event = (struct write_event){
        .kind = (enum write_event_kind)from->kind,
        .now = from->at,
        .database = (int32_t)from->database,
        .position = {from->term, from->offset},
        .status = {.held = {from->status.held_term, from->status.held_offset},
                   .promised_term = from->status.promised_term},
        .error = (enum error_kind)from->error,
        .retry_after_ms = from->retry_after_ms,
    };
    *view = (struct group_view){
        .term = known->term,
        .primary = (int32_t)known->primary,
        .writes_paused = known->writes_paused,
        .database_count = MIN(known->database_count, GROUP_DATABASES_MAX),
    };
    for (uint32_t i = 0; i < view->database_count; i++) {
        view->databases[i].reachable = (known->reachable & (UINT32_C(1) << i)) != 0;
    }
    if (view->primary >= (int32_t)view->database_count) {
        view->primary = -1;
    }
}

bool write_trace_same_step(const struct trace_write_step *recorded, const struct write_step *step)
{
    struct trace_write_step now = step_to_record(step);
    return recorded->kind == now.kind && recorded->database == now.database &&
           recorded->term == now.term && recorded->offset == now.offset &&
           recorded->until == now.until && recorded->outcome == now.outcome &&
           recorded->error == now.error && recorded->retry_after_ms == now.retry_after_ms &&
           recorded->reason == now.reason;
}
