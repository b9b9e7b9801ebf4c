/* The read flow of a simulated daemon: performs the steps that the core decides. */
#include "sim/sim_request_internal.h"

#define READ_ATTEMPTS_MAX 12
#define GUARD_WAIT_MS     50

/* Sends the step's statement; the slot is held. */
void sim_read_send(struct sim_flow *flow)
{
    struct sim_daemon *daemon = flow->daemon;
    struct sim_database_request request = {
        .kind = SIM_REQUEST_READ,
        .request_id = flow->request.request_id,
        .wanted = flow->read_step.guard,
    };

    flow->sent_term = daemon->view.term;
    sim_pool_send(flow, &request);
    sim_flow_schedule_timeout(flow, sim_flow_attempt_deadline(flow, flow->read_step.until));
}

void sim_read_give_up(struct sim_flow *flow, uint32_t retry_after_ms)
{
    struct read_event event = {
        .kind = READ_EVENT_GIVE_UP,
        .error = ERROR_KIND_OVERLOADED,
        .retry_after_ms = retry_after_ms,
    };

    sim_read_drive(flow, &event);
}

/* Takes a slot for the step and sends its statement, or waits in the queue. */
static void read_statement(struct sim_flow *flow)
{
    uint32_t retry_after_ms = 0;
    enum admission_verdict verdict = sim_admission_enter(flow, (uint32_t)flow->read_step.database,
                                                         ADMISSION_CLASS_READ, &retry_after_ms);

    if (verdict == ADMISSION_ADMITTED) {
        sim_read_send(flow);
    } else if (verdict == ADMISSION_REFUSED) {
        sim_read_give_up(flow, retry_after_ms);
    }
}

static void answer_read(struct sim_flow *flow)
{
    const struct read_step *step = &flow->read_step;
    struct sim_client_reply reply = {
        .outcome = step->outcome,
        .error = step->error,
        .retry_after_ms = step->retry_after_ms,
        .session = step->seen,
        .answered_id = flow->answered_id,
        .seen = flow->seen,
        .durable = flow->durable,
        .by_replica = step->database != flow->daemon->view.primary,
    };

    sim_flow_answer(flow, &reply);
}

void sim_read_drive(struct sim_flow *flow, struct read_event *event)
{
    struct sim_daemon *daemon = flow->daemon;
    struct route_read_request *route = &flow->read.options.route;

    event->now = daemon->node.world->now;
    for (uint32_t i = 0; i < daemon->run->database_count; i++) {
        route->in_flight[i] = daemon->admissions[i].in_flight + daemon->admissions[i].queued;
        route->slots[i] = MAX(daemon->admissions[i].slots, 1);
    }
    route->random = sim_random_below(daemon->node.world, 1 << 20);
    flow->read_step = read_flow_next(&flow->read, event, &daemon->view);
    flow->step += 1;
    switch (flow->read_step.kind) {
    case READ_STEP_READ:
        sim_flow_set_running(flow, true);
        read_statement(flow);
        break;
    case READ_STEP_PROBE:
        sim_flow_set_running(flow, false);
        sim_daemon_probe_now(daemon, (uint32_t)flow->read_step.database);
        sim_flow_wait_for_view(flow, flow->read_step.until);
        break;
    case READ_STEP_WAIT:
        sim_flow_set_running(flow, false);
        sim_flow_wait_for_view(flow, flow->read_step.until);
        break;
    case READ_STEP_ANSWER:
        sim_flow_set_running(flow, false);
        answer_read(flow);
        break;
    }
}

void sim_read_start(struct sim_flow *flow)
{
    struct read_options options = {
        .route =
            {
                .session = flow->request.session,
                .zone = flow->daemon->node.zone,
                .replicas_allowed = true,
                .primary_allowed = true,
            },
        .deadline = flow->request.deadline,
        .guard_wait_max_ms = GUARD_WAIT_MS,
        .unavailable_wait_ms = UNAVAILABLE_WAIT_MS,
        .attempts_max = READ_ATTEMPTS_MAX,
        .ignore_guard = flow->daemon->run->mutation == SIM_MUTATION_IGNORE_GUARD,
    };

    if (options.ignore_guard) {
        options.route.session = (struct log_position){0, 0};
    }
    read_flow_init(&flow->read, &options);
    sim_read_drive(flow, &(struct read_event){.kind = READ_EVENT_START});
}
