/* The replay of writes. */
#include "sim/replay_write.h"

#include <inttypes.h>
#include <stddef.h>

#include "core/acknowledge.h"
#include "trace/write_trace.h"

static const char *const EVENT_NAMES[] = {
    "start",    "timer",     "not_sent",     "not_primary", "failed",
    "conflict", "committed", "already_done", "key_closed",  "key_reused",
    "lost",     "evidence",  "evidence_end", "give_up",
};

static const char *const STEP_NAMES[] = {"execute", "evidence", "close_key", "wait", "answer"};

/* A test-only switch of the write's options. */
struct mutation_switch {
    const char *name;
    size_t option;
};

static const struct mutation_switch MUTATIONS[] = {
    {"trust_commit", offsetof(struct write_options, trust_commit)},
    {"resend_unkeyed", offsetof(struct write_options, resend_unkeyed)},
};

/* The state of one write's replay. */
struct write_replay {
    const struct replay_write_options *options;
    struct replayed_write *result;
    struct write_flow flow;
    bool maybe_run; /* an answer was lost */
    bool settled;   /* the ledger showed that the key is closed or belongs to another request */
    struct acknowledge_evidence evidence; /* as the databases reported it */
};

static const struct mutation_switch *find_mutation(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(MUTATIONS); i++) {
        if (g_strcmp0(name, MUTATIONS[i].name) == 0) {
            return &MUTATIONS[i];
        }
    }
    return NULL;
}

bool replay_write_has_mutation(const char *name)
{
    return find_mutation(name) != NULL;
}

static void fail(struct write_replay *replay, const char *text)
{
    replay->result->failures += 1;
    fprintf(replay->options->output, "%.3f ms: FAILED: write: %s\n", replay->options->at_ms, text);
}

static void note_event(struct write_replay *replay, const struct write_event *event,
                       const struct group_view *view)
{
    switch (event->kind) {
    case WRITE_EVENT_LOST:
        replay->maybe_run = true;
        break;
    case WRITE_EVENT_COMMITTED:
    case WRITE_EVENT_ALREADY_DONE:
        acknowledge_start(&replay->evidence, event->position, view->database_count);
        break;
    case WRITE_EVENT_EVIDENCE:
        acknowledge_add(&replay->evidence, (uint32_t)event->database, &event->status);
        break;
    case WRITE_EVENT_KEY_CLOSED:
    case WRITE_EVENT_KEY_REUSED:
        replay->settled = true;
        break;
    default:
        break;
    }
}

static void check_answer(struct write_replay *replay, const struct write_step *step)
{
    bool not_run = step->outcome == OUTCOME_REFUSED || step->outcome == OUTCOME_FAILED;

    if (not_run && replay->maybe_run && !replay->settled) {
        fail(replay, "reported as not run, though it may have run");
    }
    if (step->outcome == OUTCOME_DONE && acknowledge_judge(&replay->evidence) != ACKNOWLEDGE_HELD) {
        fail(replay, "reported as done without evidence of a majority");
    }
}

static void take_step(struct write_replay *replay, const struct write_step *step)
{
    struct replayed_write *result = replay->result;

    if (step->kind == WRITE_STEP_EXECUTE) {
        result->executions += 1;
        if (replay->maybe_run && !result->keyed) {
            fail(replay, "run again without a key, though it may have run");
        }
    }
    if (step->kind == WRITE_STEP_ANSWER) {
        check_answer(replay, step);
        result->answered = true;
        result->outcome = step->outcome;
        result->error = step->error;
        result->replayed = replay->flow.replayed;
    }
}

static void dump(const struct write_replay *replay, const struct trace_write_event *recorded,
                 const struct write_step *step)
{
    if (!replay->options->dump) {
        return;
    }
    fprintf(replay->options->output, "%.3f ms: write %s %s database %" PRId64 " -> %s database %d",
            replay->options->at_ms, replay->result->keyed ? "keyed" : "unkeyed",
            recorded->kind < G_N_ELEMENTS(EVENT_NAMES) ? EVENT_NAMES[recorded->kind] : "?",
            recorded->database, STEP_NAMES[step->kind], step->database);
    fprintf(replay->options->output, "%s%s\n", step->kind == WRITE_STEP_ANSWER ? " " : "",
            step->kind == WRITE_STEP_ANSWER ? outcome_name(step->outcome) : "");
}

/* Checks that the same input leads to the same step. Reports only the first difference of each
 * write. */
static void check_step(struct write_replay *replay, const struct trace_write_event *recorded,
                       const struct write_step *step)
{
    if (write_trace_same_step(&recorded->step, step)) {
        return;
    }
    replay->result->differences += 1;
    if (replay->result->differences == 1 && !replay->options->decisions_changed) {
        fail(replay, "decides differently from the recording");
    }
}

static void feed(struct write_replay *replay, const struct trace_write_event *recorded)
{
    struct write_event event;
    struct group_view view;
    struct write_step step;

    write_trace_event_of(recorded, &event, &view);
    if (event.kind == WRITE_EVENT_EVIDENCE &&
        (event.database < 0 || event.database >= (int32_t)view.database_count)) {
        fail(replay, "evidence from an unknown database");
        return;
    }
    note_event(replay, &event, &view);
    step = write_flow_next(&replay->flow, &event, &view);
    dump(replay, recorded, &step);
    check_step(replay, recorded, &step);
    take_step(replay, &step);
}

void replay_write(const struct trace_write *write, const struct replay_write_options *options,
                  struct replayed_write *result)
{
    struct write_replay replay = {
        .options = options, .result = result, .maybe_run = write->resolve_only};
    const struct mutation_switch *mutation = find_mutation(options->mutation);
    struct write_options flow_options;

    *result = (struct replayed_write){.keyed = write->keyed, .resolves = write->resolve_only};
    write_trace_options_of(write, &flow_options);
    if (mutation != NULL) {
        *(bool *)((char *)&flow_options + mutation->option) = true;
    }
    write_flow_init(&replay.flow, &flow_options);
    for (size_t i = 0; i < write->events_count && !result->answered; i++) {
        feed(&replay, &write->events[i]);
    }
}
