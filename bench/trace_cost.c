/* The cost of traces: steps of a group's control with synthetic probes and opinions, and plain
 * writes, with and without a recorder. Prints nanoseconds and bytes. Usage: trace-cost [STEPS] */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "core/group_control.h"
#include "trace/trace_recorder.h"
#include "trace/write_trace.h"

#define DATABASES     3
#define STEPS_DEFAULT 400000
#define MEMORY        (1024 * 1024)

/* The usual mix of events: probes of three databases every 100 ms, and opinions of two watchers
 * every second. */
#define STEP_NS       ((time_ns)30 * NANOSECONDS_PER_MILLISECOND)
#define OPINION_EVERY 16

static uint64_t thread_time_ns(void)
{
    struct timespec now;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return (uint64_t)now.tv_sec * NANOSECONDS_PER_SECOND + (uint64_t)now.tv_nsec;
}

static void make_event(uint64_t step, struct group_event *event)
{
    *event = (struct group_event){
        .kind = step % OPINION_EVERY == 0 ? GROUP_EVENT_OPINION : GROUP_EVENT_PROBE,
        .now = (step + 1) * STEP_NS,
        .database = (uint32_t)(step % DATABASES),
        .reachable = true,
        .round_trip = 300000,
        .status = {.role = step % DATABASES == 0 ? DATABASE_ROLE_PRIMARY : DATABASE_ROLE_REPLICA,
                   .term = 1,
                   .promised_term = 1,
                   .held = {1, 1000000 + step},
                   .applied = {1, 1000000 + step}},
        .opinion = {.watcher = 2 + step / OPINION_EVERY % 2,
                    .sequence = 1 + step,
                    .term = 1,
                    .reachable = 7,
                    .promised = 1},
    };
}

/* Processor time of `steps` steps, in nanoseconds. */
static uint64_t run(struct trace_recorder *recorder, uint64_t steps)
{
    struct group_control_options options;
    struct group_actions actions;
    struct group_event event = {
        .kind = GROUP_EVENT_WATCHERS, .watcher_count = 3, .watchers = {{1, 0}, {2, 1}, {3, 2}}};

    group_control_options_init(&options);
    options.group = 1;
    options.watcher = 1;
    options.database_count = DATABASES;
    struct group_control *control = group_control_new(&options, 0);
    struct trace_group *trace = trace_group_begin(recorder, &options, 0);
    group_control_step(control, &event, &actions);
    uint64_t began = thread_time_ns();
    for (uint64_t step = 0; step < steps; step++) {
        make_event(step, &event);
        trace_group_reserve(trace, control, event.now);
        group_control_step(control, &event, &actions);
        trace_group_record(trace, &event, control, &actions);
    }
    uint64_t spent = thread_time_ns() - began;
    trace_group_end(trace);
    group_control_free(control);
    return spent;
}

/* A write that is committed and confirmed by the first two databases. */
static void run_write(struct trace_recorder *recorder)
{
    static const enum write_event_kind EVENTS[] = {WRITE_EVENT_START, WRITE_EVENT_COMMITTED,
                                                   WRITE_EVENT_EVIDENCE, WRITE_EVENT_EVIDENCE};
    const struct write_options options = {
        .deadline = NANOSECONDS_PER_SECOND, .keyed = true, .attempts_max = 4};
    const struct group_view view = {.database_count = DATABASES,
                                    .databases = {{.reachable = true}}};
    struct write_flow flow;
    struct write_step step = {0};

    write_flow_init(&flow, &options);
    struct write_trace *trace = write_trace_begin(recorder, 1, "hut-lepiney/stay-1", &options);
    for (size_t i = 0; i < G_N_ELEMENTS(EVENTS); i++) {
        const struct write_event event = {
            .kind = EVENTS[i],
            .now = i,
            .database = i == 3 ? 1 : 0,
            .position = {1, 10},
            .status = {.held = {1, 10}, .promised_term = 1},
        };
        step = write_flow_next(&flow, &event, &view);
        write_trace_note(trace, &event, &view, &step);
    }
    g_assert_cmpint(step.kind, ==, WRITE_STEP_ANSWER);
    write_trace_end(trace);
}

/* Processor time of `writes` plain writes, in nanoseconds. */
static uint64_t run_writes(struct trace_recorder *recorder, uint64_t writes)
{
    uint64_t began = thread_time_ns();

    for (uint64_t i = 0; i < writes; i++) {
        run_write(recorder);
    }
    return thread_time_ns() - began;
}

int main(int argc, char **argv)
{
    uint64_t steps = argc > 1 ? strtoull(argv[1], NULL, 10) : STEPS_DEFAULT;
    struct trace_recorder *none = trace_recorder_new(0);
    struct trace_recorder *recorder = trace_recorder_new(MEMORY);
    uint64_t without = run(none, steps);
    uint64_t with = run(recorder, steps);
    uint64_t writes_without = run_writes(none, steps);
    uint64_t writes_with = run_writes(recorder, steps);
    g_autoptr(GByteArray) copy = trace_recorder_copy(recorder, 1);

    printf("step without recorder: %.0f ns\n", (double)without / (double)steps);
    printf("step with recorder:    %.0f ns\n", (double)with / (double)steps);
    printf("plain write without recorder: %.0f ns\n", (double)writes_without / (double)steps);
    printf("plain write with recorder:    %.0f ns\n", (double)writes_with / (double)steps);
    /* Few enough steps to fit in the recorder's memory, to measure the bytes of each. */
    trace_recorder_free(recorder);
    recorder = trace_recorder_new(MEMORY);
    run(recorder, 1000);
    g_autoptr(GByteArray) few = trace_recorder_copy(recorder, 1);
    printf("bytes a step:          %.1f\n", (double)few->len / 1000.0);
    printf("kept of %" G_GUINT64_FORMAT " steps:  %u bytes of %u\n", steps, copy->len, MEMORY);
    trace_recorder_free(recorder);
    trace_recorder_free(none);
    return 0;
}
