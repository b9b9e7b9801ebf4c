/* The execution of one read, as a state machine: route it; wait, without a connection or slot,
 * until a probe shows that the chosen replica has applied the needed position; read under a guard;
 * discard a reply older than the guard; try another database; answer. Reads are repeatable, so
 * after a lost reply the read is tried at another database. */
#ifndef SW_CORE_READ_FLOW_H
#define SW_CORE_READ_FLOW_H

#include "core/route.h"
#include "core/types.h"
#include "generated/errors.h"
#include "generated/messages.h"

enum read_step_kind {
    READ_STEP_READ,   /* read at step.database with step.guard and step.guard_wait_ms */
    READ_STEP_PROBE,  /* probe step.database now; then as WAIT */
    READ_STEP_WAIT,   /* wait for a new view or until step.until, then feed TIMER */
    READ_STEP_ANSWER, /* final */
};

struct read_step {
    enum read_step_kind kind;
    int32_t database;
    struct log_position guard; /* the reply counts only if this position was applied before */
    time_ns until;
    enum outcome outcome;
    enum error_kind error;
    uint32_t retry_after_ms;
    enum route_reason reason;
    struct log_position seen; /* with outcome done: position that the session has now seen */
    enum route_reason refused[GROUP_DATABASES_MAX];
};

enum read_event_kind {
    READ_EVENT_START,
    READ_EVENT_TIMER,
    READ_EVENT_NOT_SENT, /* no connection or slot available */
    READ_EVENT_LOST,     /* sent, but no reply or a truncated one */
    READ_EVENT_FAILED,   /* the database reported an error of the statement */
    READ_EVENT_GIVE_UP,  /* the step was not performed: no retry budget or slot left */
    READ_EVENT_ANSWERED, /* a complete reply, after a status in the same round trip */
};

struct read_event {
    enum read_event_kind kind;
    time_ns now;
    struct database_status status;
    enum error_kind error; /* GIVE_UP */
    uint32_t retry_after_ms;
};

struct read_options {
    struct route_read_request
        route; /* now, excluded, guard_wait_max_ms, in_flight and random are updated at each step */
    time_ns deadline;
    uint32_t guard_wait_max_ms;   /* maximum wait for a replica to catch up */
    uint32_t unavailable_wait_ms; /* maximum wait for a database that is fresh enough */
    uint32_t attempts_max;
    bool ignore_guard; /* TEST ONLY: accept every reply (mutation) */
};

/* One read. Owned by one driver; no locks. */
struct read_flow {
    struct read_options options;
    uint32_t attempts;
    bool primary_probed;   /* the primary was probed once for its position */
    bool waited;           /* waited for a replica to catch up */
    time_ns waiting_since; /* start of the first wait for a replica to catch up; 0 if none */
    uint32_t excluded;
    time_ns unavailable_since;
    int32_t database;
    struct log_position guard;
    enum route_reason reason;
    enum route_reason refused[GROUP_DATABASES_MAX];
};

void read_flow_init(struct read_flow *flow, const struct read_options *options);

/* Handles an event with the newest view and returns the next step. The caller updates now,
 * in_flight, primary_allowed and random in flow->options.route before each call. */
struct read_step read_flow_next(struct read_flow *flow, const struct read_event *event,
                                const struct group_view *view);

#endif
