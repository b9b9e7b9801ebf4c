/* The life of one read; see the header. */
#include "core/read_flow.h"

#include <string.h>

/* Pause before looking at the view again when no database can serve. */
#define UNAVAILABLE_POLL_MS 20

/* Pause between two looks at whether a replica has caught up. */
#define CATCH_UP_WAIT_MS 5

/* Longest wait for the primary's position. */
#define FRESHEN_WAIT_MS 30

/* When a caller should come back after no database could serve. */
#define UNAVAILABLE_RETRY_AFTER_MS 200

void read_flow_init(struct read_flow *flow, const struct read_options *options)
{
    memset(flow, 0, sizeof(*flow));
    flow->options = *options;
    flow->database = -1;
}

static struct read_step answer_refused(struct read_flow *flow, enum error_kind error,
                                       uint32_t retry_after_ms)
{
    struct read_step step = {
        .kind = READ_STEP_ANSWER,
        .database = -1,
        .outcome = OUTCOME_REFUSED,
        .error = error,
        .retry_after_ms = retry_after_ms,
        .reason = ROUTE_REASON_NO_DATABASE,
    };
    memcpy(step.refused, flow->refused, sizeof(step.refused));
    return step;
}

/* Nothing can serve now: waits for a better view, within bounds, then refuses. */
static struct read_step wait_or_refuse(struct read_flow *flow, time_ns now)
{
    if (now >= flow->options.deadline) {
        return answer_refused(flow, ERROR_KIND_DEADLINE, UNAVAILABLE_RETRY_AFTER_MS);
    }
    if (flow->unavailable_since == 0) {
        flow->unavailable_since = now;
    }
    time_ns wait = flow->options.unavailable_wait_ms * NANOSECONDS_PER_MILLISECOND;
    if (now >= flow->unavailable_since + wait) {
        return answer_refused(flow, ERROR_KIND_NO_FRESH_REPLICA, UNAVAILABLE_RETRY_AFTER_MS);
    }
    /* Every database gets another chance under the next view. */
    flow->excluded = 0;
    struct read_step step = {
        .kind = READ_STEP_WAIT,
        .database = -1,
        .until = now + UNAVAILABLE_POLL_MS * NANOSECONDS_PER_MILLISECOND,
    };
    return step;
}

/* Has a database probed and waits for what that shows. */
static struct read_step freshen(int32_t database, time_ns now, uint32_t wait_ms)
{
    struct read_step step = {
        .kind = READ_STEP_PROBE,
        .database = database,
        .until = now + wait_ms * NANOSECONDS_PER_MILLISECOND,
    };
    return step;
}

/* Part of the guard wait that is left. */
static uint32_t guard_wait_left_ms(const struct read_flow *flow, time_ns now)
{
    uint32_t wait_max_ms = flow->options.guard_wait_max_ms;
    if (flow->waiting_since == 0) {
        return wait_max_ms;
    }
    uint32_t waited_ms = (uint32_t)((now - flow->waiting_since) / NANOSECONDS_PER_MILLISECOND);
    return waited_ms < wait_max_ms ? wait_max_ms - waited_ms : 0;
}

static struct read_step route_again(struct read_flow *flow, time_ns now,
                                    const struct group_view *view)
{
    if (now >= flow->options.deadline) {
        return answer_refused(flow, ERROR_KIND_DEADLINE, UNAVAILABLE_RETRY_AFTER_MS);
    }
    if (flow->attempts >= flow->options.attempts_max) {
        return answer_refused(flow, ERROR_KIND_NO_FRESH_REPLICA, UNAVAILABLE_RETRY_AFTER_MS);
    }
    struct route_read_request *route = &flow->options.route;
    route->now = now;
    route->excluded = flow->excluded;
    route->guard_wait_max_ms = guard_wait_left_ms(flow, now);
    struct route_decision decision = route_read(view, route);
    memcpy(flow->refused, decision.refused, sizeof(flow->refused));
    if (decision.bound_unknown && view->primary >= 0 && !flow->freshened) {
        flow->freshened = true;
        return freshen(view->primary, now, FRESHEN_WAIT_MS);
    }
    if (decision.reason == ROUTE_REASON_REPLICA_GUARDED) {
        if (flow->waiting_since == 0) {
            flow->waiting_since = now;
        }
        flow->waited = true;
        return freshen(decision.database, now, CATCH_UP_WAIT_MS);
    }
    if (decision.database < 0) {
        return wait_or_refuse(flow, now);
    }
    flow->unavailable_since = 0;
    flow->attempts++;
    flow->database = decision.database;
    flow->guard = decision.guard;
    flow->reason = decision.reason;
    if (flow->waited && decision.reason == ROUTE_REASON_REPLICA_FRESH) {
        flow->reason = ROUTE_REASON_REPLICA_GUARDED;
    }
    struct read_step step = {
        .kind = READ_STEP_READ,
        .database = decision.database,
        .guard = decision.guard,
        .until = flow->options.deadline,
        .reason = flow->reason,
    };
    return step;
}

static struct read_step answer_done(struct read_flow *flow, const struct database_status *status)
{
    struct read_step step = {
        .kind = READ_STEP_ANSWER,
        .database = flow->database,
        .outcome = OUTCOME_DONE,
        .guard = flow->guard,
        .reason = flow->reason,
        .seen = status->applied,
    };
    memcpy(step.refused, flow->refused, sizeof(step.refused));
    return step;
}

static struct read_step exclude_and_route(struct read_flow *flow, time_ns now,
                                          const struct group_view *view)
{
    flow->excluded |= UINT32_C(1) << flow->database;
    return route_again(flow, now, view);
}

struct read_step read_flow_next(struct read_flow *flow, const struct read_event *event,
                                const struct group_view *view)
{
    switch (event->kind) {
    case READ_EVENT_START:
    case READ_EVENT_TIMER:
        return route_again(flow, event->now, view);
    case READ_EVENT_NOT_SENT:
    case READ_EVENT_LOST:
        return exclude_and_route(flow, event->now, view);
    case READ_EVENT_GIVE_UP:
        return answer_refused(flow, event->error, event->retry_after_ms);
    case READ_EVENT_ANSWERED:
        if (!flow->options.ignore_guard &&
            !log_position_covers(event->status.applied, flow->guard)) {
            return exclude_and_route(flow, event->now, view);
        }
        return answer_done(flow, &event->status);
    case READ_EVENT_FAILED:
        break;
    }
    struct read_step step = answer_done(flow, &event->status);
    step.outcome = OUTCOME_FAILED;
    step.error = ERROR_KIND_DATABASE_ERROR;
    return step;
}
