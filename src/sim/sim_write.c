/* The write flow of a simulated daemon, including commits: performs the steps that the core
 * decides. */
#include "sim/sim_request_internal.h"

/* Time after which a request for evidence is repeated. */
#define EVIDENCE_TIMEOUT (200 * SIM_MILLISECOND)
/* Longest wait for evidence, unless the deadline is earlier. */
#define EVIDENCE_WAIT (2000 * SIM_MILLISECOND)
/* Retry-After once the retry budget is used up. */
#define RETRY_BUDGET_RETRY_AFTER_MS 500

#define WRITE_ATTEMPTS_MAX 8

struct evidence_message {
    uint64_t step;
    uint32_t database;
};

/* Identifies the flow that a request for evidence belongs to. */
struct evidence_request {
    struct sim_flow *flow;
    uint64_t step;
};

struct answer_message {
    struct sim_flow *flow;
    struct sim_client_reply reply;
};

static void on_answer_resumed(void *object, const void *payload)
{
    const struct answer_message *message = payload;
    struct sim_client_reply reply = message->reply;

    (void)object;
    sim_flow_answer(message->flow, &reply);
}

static void answer_write(struct sim_flow *flow)
{
    const struct write_step *step = &flow->write_step;
    struct sim_daemon *daemon = flow->daemon;
    struct answer_message message = {
        .flow = flow,
        .reply =
            {
                .outcome = step->outcome,
                .error = step->error,
                .retry_after_ms = step->retry_after_ms,
                .answered_id = flow->answered_id,
            },
    };

    if (step->outcome == OUTCOME_DONE) {
        message.reply.session = step->position;
        sim_fault_trigger(daemon->run, SIM_TRIGGER_BEFORE_ANSWER, daemon);
    }
    /* The trigger may have paused or killed the daemon before the answer is sent. */
    sim_node_schedule(&daemon->node, daemon->node.world->now, on_answer_resumed, daemon, &message,
                      sizeof(message));
}

static void on_evidence_reply(void *object, const void *payload)
{
    struct evidence_request *request = object;
    const struct sim_database_reply *reply = payload;
    struct sim_flow *flow = request->flow;
    struct write_event event = {
        .kind = WRITE_EVENT_EVIDENCE,
        .database = (int32_t)reply->database,
        .status = reply->status,
    };

    if (request->step != flow->step) {
        return;
    }
    sim_write_drive(flow, &event);
}

static void send_evidence_request(struct sim_flow *flow, uint32_t database);

/* Repeats a request for evidence that had no reply, or not enough of it yet. */
static void on_evidence_timeout(void *object, const void *payload)
{
    struct sim_flow *flow = object;
    const struct evidence_message *message = payload;

    if (message->step == flow->step) {
        send_evidence_request(flow, message->database);
    }
}

static void on_evidence_end(void *object, const void *payload)
{
    struct sim_flow *flow = object;
    const struct sim_step_message *message = payload;

    if (message->step == flow->step) {
        sim_write_drive(flow, &(struct write_event){.kind = WRITE_EVENT_EVIDENCE_END});
    }
}

static void send_evidence_request(struct sim_flow *flow, uint32_t database)
{
    struct sim_daemon *daemon = flow->daemon;
    struct evidence_request *pending = sim_world_allocate(daemon->node.world, sizeof(*pending));
    struct evidence_message message = {.step = flow->step, .database = database};
    struct sim_database_request request = {
        .kind = SIM_REQUEST_WAIT_HELD,
        .from = &daemon->node,
        .from_incarnation = daemon->node.incarnation,
        .on_reply = on_evidence_reply,
        .object = pending,
        .wanted = flow->write_step.position,
        .wait = EVIDENCE_TIMEOUT,
    };

    pending->flow = flow;
    pending->step = flow->step;
    sim_database_send(&daemon->run->databases[database], &request);
    sim_node_schedule(&daemon->node, daemon->node.world->now + EVIDENCE_TIMEOUT * 2,
                      on_evidence_timeout, flow, &message, sizeof(message));
}

static void gather_evidence(struct sim_flow *flow)
{
    time_ns end = flow->daemon->node.world->now + EVIDENCE_WAIT;

    for (uint32_t i = 0; i < flow->daemon->run->database_count; i++) {
        send_evidence_request(flow, i);
    }
    sim_flow_schedule(flow, MIN(end, flow->write_step.until), on_evidence_end);
}

static bool may_run_again(const struct sim_flow *flow)
{
    return flow->write.options.keyed || flow->write.options.resend_unkeyed;
}

/* Sends the step's statement; the slot is held, or none is needed. */
void sim_write_send(struct sim_flow *flow)
{
    struct sim_daemon *daemon = flow->daemon;
    time_ns timeout = flow->write_step.until;
    struct sim_database_request request = {
        .kind = SIM_REQUEST_WRITE,
        .operation = flow->request.operation,
        .request_id = flow->request.request_id,
    };

    if (flow->write_step.kind == WRITE_STEP_CLOSE_KEY) {
        request.kind = SIM_REQUEST_CLOSE_KEY;
    }
    if (may_run_again(flow)) {
        timeout = sim_flow_attempt_deadline(flow, timeout);
    }
    flow->sent_term = daemon->view.term;
    if (flow->transaction != NULL && request.kind == SIM_REQUEST_WRITE) {
        request.kind = SIM_REQUEST_COMMIT;
        request.term = flow->transaction->term;
        sim_pool_send_held(flow, &request);
    } else {
        sim_pool_send(flow, &request);
    }
    sim_flow_schedule_timeout(flow, timeout);
    if (request.kind != SIM_REQUEST_CLOSE_KEY) {
        sim_fault_trigger(daemon->run, SIM_TRIGGER_WRITE_SENT, daemon);
    }
}

static bool retry_allowed(struct sim_flow *flow)
{
    if (flow->write.attempts <= 1) {
        retry_budget_earn(&flow->daemon->retry_budget);
        return true;
    }
    return retry_budget_spend(&flow->daemon->retry_budget);
}

void sim_write_give_up(struct sim_flow *flow, uint32_t retry_after_ms)
{
    struct write_event event = {
        .kind = WRITE_EVENT_GIVE_UP,
        .error = ERROR_KIND_OVERLOADED,
        .retry_after_ms = retry_after_ms,
    };

    sim_write_drive(flow, &event);
}

/* Takes a slot for the step and sends its statement, or waits in the queue. */
static void execute(struct sim_flow *flow)
{
    bool closing = flow->write_step.kind == WRITE_STEP_CLOSE_KEY;
    bool keyed = flow->write.options.keyed && !closing;
    uint32_t retry_after_ms = 0;
    enum admission_verdict verdict;

    if (flow->transaction != NULL && !closing) {
        sim_write_send(flow);
        return;
    }
    if (!closing && !retry_allowed(flow)) {
        sim_write_give_up(flow, RETRY_BUDGET_RETRY_AFTER_MS);
        return;
    }
    verdict = sim_admission_enter(
        flow, (uint32_t)flow->write_step.database,
        keyed ? ADMISSION_CLASS_KEYED_WRITE : ADMISSION_CLASS_UNREPEATABLE, &retry_after_ms);
    if (verdict == ADMISSION_ADMITTED) {
        sim_write_send(flow);
    } else if (verdict == ADMISSION_REFUSED) {
        sim_write_give_up(flow, retry_after_ms);
    }
}

void sim_write_drive(struct sim_flow *flow, struct write_event *event)
{
    struct sim_daemon *daemon = flow->daemon;
    enum write_step_kind previous = flow->write_step.kind;
    struct write_step step;

    event->now = daemon->node.world->now;
    step = write_flow_next(&flow->write, event, &daemon->view);
    /* The flow needs more evidence for the same position: requests in progress stay valid. */
    if (step.kind == WRITE_STEP_EVIDENCE && previous == WRITE_STEP_EVIDENCE &&
        event->kind == WRITE_EVENT_EVIDENCE) {
        return;
    }
    flow->write_step = step;
    flow->step += 1;
    sim_flow_set_running(flow, step.kind != WRITE_STEP_WAIT && step.kind != WRITE_STEP_ANSWER);
    switch (step.kind) {
    case WRITE_STEP_EXECUTE:
    case WRITE_STEP_CLOSE_KEY:
        execute(flow);
        break;
    case WRITE_STEP_EVIDENCE:
        gather_evidence(flow);
        break;
    case WRITE_STEP_WAIT:
        sim_flow_wait_for_view(flow, step.until);
        break;
    case WRITE_STEP_ANSWER:
        answer_write(flow);
        break;
    }
    sim_daemon_check_drained(daemon);
}

void sim_write_start(struct sim_flow *flow)
{
    struct write_options options = {
        .deadline = flow->request.deadline,
        .unavailable_wait_ms = UNAVAILABLE_WAIT_MS,
        .keyed = flow->request.operation->key != 0,
        .attempts_max = WRITE_ATTEMPTS_MAX,
        .trust_commit = flow->daemon->run->mutation == SIM_MUTATION_TRUST_COMMIT,
        .resend_unkeyed = flow->daemon->run->mutation == SIM_MUTATION_RESEND_UNKEYED,
    };

    write_flow_init(&flow->write, &options);
    sim_write_drive(flow, &(struct write_event){.kind = WRITE_EVENT_START});
}

/* Starts the commit of a transaction that is not open here. It was rolled back with its daemon,
 * unless its commit was in progress then; only the key can tell which. */
void sim_write_start_commit(struct sim_flow *flow)
{
    struct sim_client_reply refused = {
        .outcome = OUTCOME_REFUSED,
        .error = ERROR_KIND_UNKNOWN_TRANSACTION,
    };
    struct write_options options = {
        .deadline = flow->request.deadline,
        .unavailable_wait_ms = UNAVAILABLE_WAIT_MS,
        .keyed = flow->request.operation->key != 0,
        .commit_only = true,
        .attempts_max = WRITE_ATTEMPTS_MAX,
        .trust_commit = flow->daemon->run->mutation == SIM_MUTATION_TRUST_COMMIT,
    };

    flow->transaction = sim_transaction_take(flow->daemon, flow->request.transaction);
    if (flow->transaction == NULL && !options.keyed) {
        sim_flow_answer(flow, &refused);
        return;
    }
    options.resolve_only = flow->transaction == NULL;
    write_flow_init(&flow->write, &options);
    sim_write_drive(flow, &(struct write_event){.kind = WRITE_EVENT_START});
}
