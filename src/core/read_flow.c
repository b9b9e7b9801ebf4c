/* The execution of one read; see the header. */
#include "core/read_flow.h"

#include <string.h>

/* Pause before the view is checked again when no database can serve. */
#define UNAVAILABLE_POLL_MS 20

/* Interval of the probes of a replica that is catching up. */
#define CATCH_UP_WAIT_MS 5

/* Maximum wait for the primary's position. */
#define PROBE_WAIT_MS 30

/* Retry-after time sent to the client when no database could serve. */
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

/* Waits for a new view while no database can serve; refuses after unavailable_wait_ms. */
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
    /* With the next view every database may be tried again. */
    flow->excluded = 0;
    struct read_step step = {
        .kind = READ_STEP_WAIT,
        .database = -1,
        .until = now + UNAVAILABLE_POLL_MS * NANOSECONDS_PER_MILLISECOND,
    };
    return step;
}

/* A step that probes a database and waits for its status. */
static struct read_step probe_step(int32_t database, time_ns now, uint32_t wait_ms)
{
    struct read_step step = {
        .kind = READ_STEP_PROBE,
        .database = database,
        .until = now + wait_ms * NANOSECONDS_PER_MILLISECOND,
    };
    return step;
}

/* Remaining part of the guard wait. */
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
    if (decision.bound_unknown && view->primary >= 0 && !flow->primary_probed) {
        flow->primary_probed = true;
        return probe_step(view->primary, now, PROBE_WAIT_MS);
    }
    if (decision.reason == ROUTE_REASON_REPLICA_GUARDED) {
        if (flow->waiting_since == 0) {
            flow->waiting_since = now;
        }
        flow->waited = true;
        return probe_step(decision.database, now, CATCH_UP_WAIT_MS);
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
