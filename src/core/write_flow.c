/* The execution of one write; see the header. */
#include "core/write_flow.h"

#include <string.h>

/* Pause before the view is checked again or the write is run again. */
#define RETRY_PAUSE_MS 20

/* Retry-after time sent to the client when no primary was found. */
#define UNAVAILABLE_RETRY_AFTER_MS 200

void write_flow_init(struct write_flow *flow, const struct write_options *options)
{
    memset(flow, 0, sizeof(*flow));
    flow->options = *options;
    flow->state = WRITE_STATE_IDLE;
    flow->close_key = options->resolve_only;
    flow->may_have_run = options->resolve_only;
}

static struct write_step answer(struct write_flow *flow, enum outcome outcome,
                                enum error_kind error, uint32_t retry_after_ms)
{
    flow->state = WRITE_STATE_ANSWERED;
    struct write_step step = {
        .kind = WRITE_STEP_ANSWER,
        .database = -1,
        .outcome = outcome,
        .error = error,
        .retry_after_ms = retry_after_ms,
        .position = flow->evidence.position,
        .reason = ROUTE_REASON_PRIMARY_WRITE,
    };
    return step;
}

/* Final answer without further attempts. `error` is returned only if the write certainly did not
 * run. */
static struct write_step give_up(struct write_flow *flow, enum error_kind error,
                                 uint32_t retry_after_ms)
{
    if (flow->may_have_run) {
        return answer(flow, OUTCOME_UNKNOWN, ERROR_KIND_OUTCOME_UNKNOWN,
                      UNAVAILABLE_RETRY_AFTER_MS);
    }
    if (flow->options.commit_only) {
        return answer(flow, OUTCOME_FAILED, ERROR_KIND_TRANSACTION_ABORTED, retry_after_ms);
    }
    return answer(flow, OUTCOME_REFUSED, error, retry_after_ms);
}

static struct write_step wait_step(struct write_flow *flow, time_ns now)
{
    flow->state = WRITE_STATE_WAITING;
    struct write_step step = {
        .kind = WRITE_STEP_WAIT,
        .database = -1,
        .until = now + RETRY_PAUSE_MS * NANOSECONDS_PER_MILLISECOND,
    };
    return step;
}

/* Waits while no primary takes the write; returns `error` after unavailable_wait_ms. */
static struct write_step wait_for_primary(struct write_flow *flow, time_ns now,
                                          enum error_kind error)
{
    if (flow->unavailable_since == 0) {
        flow->unavailable_since = now;
    }
    time_ns wait = flow->options.unavailable_wait_ms * NANOSECONDS_PER_MILLISECOND;
    if (now >= flow->unavailable_since + wait) {
        return give_up(flow, error, UNAVAILABLE_RETRY_AFTER_MS);
    }
    return wait_step(flow, now);
}

/* Runs the write, or closes the key, at the current primary. */
static struct write_step proceed(struct write_flow *flow, time_ns now,
                                 const struct group_view *view)
{
    if (now >= flow->options.deadline) {
        return give_up(flow, ERROR_KIND_DEADLINE, UNAVAILABLE_RETRY_AFTER_MS);
    }
    struct route_decision decision = route_write(view);
    /* The commit of an open transaction goes to its own database, whatever the pause or new
     * primary. */
    bool commit_in_place = flow->options.commit_only && !flow->close_key;
    if (decision.database < 0 && !commit_in_place) {
        return wait_for_primary(flow, now, ERROR_KIND_NO_PRIMARY);
    }
    struct write_step step = {
        .kind = WRITE_STEP_EXECUTE,
        .database = decision.database,
        .until = flow->options.deadline,
        .reason = decision.reason,
    };
    if (flow->close_key) {
        flow->state = WRITE_STATE_CLOSING;
        step.kind = WRITE_STEP_CLOSE_KEY;
        return step;
    }
    flow->state = WRITE_STATE_EXECUTING;
    flow->attempts++;
    return step;
}

/* Retries after an attempt that certainly had no effect. The attempt does not count, and retries
 * continue for unavailable_wait_ms, since the view may be older than the failure. */
static struct write_step retry_attempt(struct write_flow *flow, time_ns now, enum error_kind error)
{
    if (flow->options.commit_only) {
        return give_up(flow, error, 0);
    }
    flow->attempts--;
    return wait_for_primary(flow, now, error);
}

/* Handles an attempt with unknown outcome. With a key the ledger resolves it; without one nothing
 * can. */
static struct write_step handle_lost(struct write_flow *flow, time_ns now)
{
    flow->may_have_run = true;
    if (!flow->options.keyed && !flow->options.resend_unkeyed) {
        return give_up(flow, ERROR_KIND_OUTCOME_UNKNOWN, 0);
    }
    bool may_run_again = !flow->options.commit_only && flow->attempts < flow->options.attempts_max;
    if (!may_run_again) {
        flow->close_key = true;
    }
    return wait_step(flow, now);
}

/* Handles an error reported by the database, which rolled back. An earlier attempt without a reply
 * could still reach the database, so its key is closed before the error is returned. */
static struct write_step handle_failure(struct write_flow *flow, time_ns now, enum error_kind error,
                                        const struct group_view *view)
{
    flow->failed = true;
    flow->failure = error;
    if (!flow->may_have_run) {
        return answer(flow, OUTCOME_FAILED, error, 0);
    }
    flow->close_key = true;
    return proceed(flow, now, view);
}

static struct write_step confirm(struct write_flow *flow, const struct write_event *event,
                                 const struct group_view *view, enum write_state state)
{
    acknowledge_start(&flow->evidence, event->position, view->database_count);
    flow->state = state;
    flow->may_have_run = true;
    if (flow->options.trust_commit && state == WRITE_STATE_CONFIRMING) {
        return answer(flow, OUTCOME_DONE, ERROR_KIND_INTERNAL, 0);
    }
    struct write_step step = {
        .kind = WRITE_STEP_EVIDENCE,
        .database = event->database,
        .position = event->position,
        .until = flow->options.deadline,
    };
    return step;
}

static struct write_step answer_closed(struct write_flow *flow)
{
    if (flow->failed) {
        return answer(flow, OUTCOME_FAILED, flow->failure, 0);
    }
    if (flow->options.commit_only) {
        return answer(flow, OUTCOME_FAILED, ERROR_KIND_TRANSACTION_ABORTED, 0);
    }
    return answer(flow, OUTCOME_REFUSED, ERROR_KIND_KEY_CLOSED, UNAVAILABLE_RETRY_AFTER_MS);
}

/* Gathers evidence for an entry of the log: the commit of the write, or the closed key. */
static struct write_step on_evidence(struct write_flow *flow, const struct write_event *event)
{
    if (event->kind == WRITE_EVENT_EVIDENCE) {
        acknowledge_add(&flow->evidence, (uint32_t)event->database, &event->status);
    }
    enum acknowledge_verdict verdict = acknowledge_judge(&flow->evidence);
    if (verdict == ACKNOWLEDGE_HELD) {
        if (flow->state == WRITE_STATE_CONFIRMING_CLOSED) {
            return answer_closed(flow);
        }
        if (flow->state == WRITE_STATE_CONFIRMING_REUSED) {
            return answer(flow, OUTCOME_REFUSED, ERROR_KIND_KEY_REUSED, 0);
        }
        return answer(flow, OUTCOME_DONE, ERROR_KIND_INTERNAL, 0);
    }
    if (verdict == ACKNOWLEDGE_PENDING && event->kind == WRITE_EVENT_EVIDENCE) {
        struct write_step step = {
            .kind = WRITE_STEP_EVIDENCE,
            .database = -1,
            .position = flow->evidence.position,
            .until = flow->options.deadline,
        };
        return step;
    }
    /* Fenced, or no other member responds: the log of the newer term, if there is one, decides. */
    if (flow->state == WRITE_STATE_CONFIRMING_CLOSED) {
        flow->close_key = true;
    }
    return handle_lost(flow, event->now);
}

static struct write_step on_execute_event(struct write_flow *flow, const struct write_event *event,
                                          const struct group_view *view)
{
    switch (event->kind) {
    case WRITE_EVENT_NOT_SENT:
        return retry_attempt(flow, event->now, ERROR_KIND_OVERLOADED);
    case WRITE_EVENT_NOT_PRIMARY:
        return retry_attempt(flow, event->now, ERROR_KIND_NO_PRIMARY);
    case WRITE_EVENT_CONFLICT:
        if (!flow->options.commit_only && flow->attempts < flow->options.attempts_max) {
            return wait_step(flow, event->now);
        }
        return handle_failure(flow, event->now, ERROR_KIND_CONFLICT, view);
    case WRITE_EVENT_FAILED:
        return handle_failure(flow, event->now, ERROR_KIND_DATABASE_ERROR, view);
    case WRITE_EVENT_COMMITTED:
        flow->replayed = false;
        return confirm(flow, event, view, WRITE_STATE_CONFIRMING);
    case WRITE_EVENT_ALREADY_DONE:
        flow->replayed = true;
        return confirm(flow, event, view, WRITE_STATE_CONFIRMING);
    case WRITE_EVENT_KEY_CLOSED:
        return confirm(flow, event, view, WRITE_STATE_CONFIRMING_CLOSED);
    case WRITE_EVENT_KEY_REUSED:
        return confirm(flow, event, view, WRITE_STATE_CONFIRMING_REUSED);
    default:
        return handle_lost(flow, event->now);
    }
}

/* Closing the key is repeated until it succeeds or the deadline has passed. */
static struct write_step on_close_event(struct write_flow *flow, const struct write_event *event,
                                        const struct group_view *view)
{
    switch (event->kind) {
    case WRITE_EVENT_ALREADY_DONE:
        flow->replayed = true;
        flow->failed = false;
        return confirm(flow, event, view, WRITE_STATE_CONFIRMING);
    case WRITE_EVENT_KEY_CLOSED:
        return confirm(flow, event, view, WRITE_STATE_CONFIRMING_CLOSED);
    case WRITE_EVENT_KEY_REUSED:
        return confirm(flow, event, view, WRITE_STATE_CONFIRMING_REUSED);
    default:
        return wait_step(flow, event->now);
    }
}

struct write_step write_flow_next(struct write_flow *flow, const struct write_event *event,
                                  const struct group_view *view)
{
    if (event->kind == WRITE_EVENT_GIVE_UP) {
        return give_up(flow, event->error, event->retry_after_ms);
    }
    switch (flow->state) {
    case WRITE_STATE_IDLE:
    case WRITE_STATE_WAITING:
        return proceed(flow, event->now, view);
    case WRITE_STATE_EXECUTING:
        return on_execute_event(flow, event, view);
    case WRITE_STATE_CLOSING:
        return on_close_event(flow, event, view);
    case WRITE_STATE_CONFIRMING:
    case WRITE_STATE_CONFIRMING_CLOSED:
    case WRITE_STATE_CONFIRMING_REUSED:
        return on_evidence(flow, event);
    case WRITE_STATE_ANSWERED:
        break;
    }
    return answer(flow, OUTCOME_UNKNOWN, ERROR_KIND_INTERNAL, 0);
}
