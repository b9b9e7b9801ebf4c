/* The shell of the read and write flows: performs each step, feeds what happened. */
#include "sim/sim_daemon.h"

/* A statement without an answer for so long is given up; one that can't be repeated waits on. */
#define STATEMENT_TIMEOUT (1000 * SIM_MILLISECOND)
/* A question for evidence without an answer is asked again after this time. */
#define EVIDENCE_TIMEOUT (200 * SIM_MILLISECOND)
/* The daemon waits this long at most for a primary, and for a fresh database. */
#define UNAVAILABLE_WAIT_MS 4000
/* Evidence is waited for so long, unless the deadline comes first. */
#define EVIDENCE_WAIT (2000 * SIM_MILLISECOND)

/* An attempt that can be made again may use up to this part of the time left, in percent. */
#define ATTEMPT_TIME_PERCENT 75
/* When a client should come back after the retry budget was spent. */
#define RETRY_BUDGET_RETRY_AFTER_MS 500

#define WRITE_ATTEMPTS_MAX 8
#define READ_ATTEMPTS_MAX  12
#define GUARD_WAIT_MS      50

static void drive_write(struct sim_flow *flow, struct write_event *event);
static void drive_read(struct sim_flow *flow, struct read_event *event);

struct step_message {
    uint64_t step;
};

struct evidence_message {
    uint64_t step;
    uint32_t database;
};

/* Carries a question for evidence, so that its answer finds the flow. */
struct evidence_question {
    struct sim_flow *flow;
    uint64_t step;
};

static void schedule_step(struct sim_flow *flow, time_ns at, sim_handler handler)
{
    struct step_message message = {.step = flow->step};

    sim_node_schedule(&flow->daemon->node, at, handler, flow, &message, sizeof(message));
}

void sim_flow_set_running(struct sim_flow *flow, bool running)
{
    struct sim_daemon *daemon = flow->daemon;

    if (flow->in_progress == running) {
        return;
    }
    flow->in_progress = running;
    if (running) {
        g_ptr_array_add(daemon->running, flow);
    } else {
        g_ptr_array_remove(daemon->running, flow);
    }
}

static void on_step_timer(void *object, const void *payload)
{
    struct sim_flow *flow = object;
    const struct step_message *message = payload;

    if (message->step != flow->step) {
        return;
    }
    g_ptr_array_remove(flow->daemon->waiting, flow);
    if (flow->request.work == SIM_WORK_READ) {
        drive_read(flow, &(struct read_event){.kind = READ_EVENT_TIMER});
    } else if (flow->request.work == SIM_WORK_BEGIN) {
        sim_transaction_timer(flow);
    } else {
        drive_write(flow, &(struct write_event){.kind = WRITE_EVENT_TIMER});
    }
}

static void statement_lost(struct sim_flow *flow)
{
    struct write_event event = {.kind = WRITE_EVENT_LOST};

    sim_pool_release(flow, false);
    sim_admission_leave(flow);
    if (flow->request.work == SIM_WORK_READ) {
        drive_read(flow, &(struct read_event){.kind = READ_EVENT_LOST});
        return;
    }
    if (flow->request.work == SIM_WORK_BEGIN) {
        sim_transaction_lost(flow);
        return;
    }
    if (flow->daemon->run->mutation == SIM_MUTATION_LOST_IS_NOT_SENT) {
        event.kind = WRITE_EVENT_NOT_SENT;
    }
    drive_write(flow, &event);
}

static void on_statement_timeout(void *object, const void *payload)
{
    struct sim_flow *flow = object;
    const struct step_message *message = payload;

    if (message->step != flow->step) {
        return;
    }
    statement_lost(flow);
}

void sim_flow_not_sent(struct sim_flow *flow)
{
    sim_admission_leave(flow);
    if (flow->request.work == SIM_WORK_READ) {
        drive_read(flow, &(struct read_event){.kind = READ_EVENT_NOT_SENT});
    } else if (flow->request.work == SIM_WORK_BEGIN) {
        sim_transaction_lost(flow);
    } else {
        drive_write(flow, &(struct write_event){.kind = WRITE_EVENT_NOT_SENT});
    }
}

static enum write_event_kind write_event_of(enum sim_result result)
{
    switch (result) {
    case SIM_RESULT_OK:
        return WRITE_EVENT_COMMITTED;
    case SIM_RESULT_ALREADY_DONE:
        return WRITE_EVENT_ALREADY_DONE;
    case SIM_RESULT_KEY_CLOSED:
        return WRITE_EVENT_KEY_CLOSED;
    case SIM_RESULT_KEY_REUSED:
        return WRITE_EVENT_KEY_REUSED;
    case SIM_RESULT_NOT_PRIMARY:
    case SIM_RESULT_REFUSED:
        break;
    }
    return WRITE_EVENT_NOT_PRIMARY;
}

void sim_flow_answered(struct sim_flow *flow, const struct sim_database_reply *reply)
{
    flow->answered_id = reply->request_id;
    if (flow->request.work == SIM_WORK_BEGIN) {
        sim_transaction_answered(flow, reply);
        return;
    }
    sim_pool_release(flow, true);
    sim_admission_leave(flow);
    if (flow->request.work == SIM_WORK_READ) {
        struct read_event event = {.kind = READ_EVENT_ANSWERED, .status = reply->status};

        flow->seen = reply->seen;
        flow->durable = reply->durable;
        drive_read(flow, &event);
        return;
    }
    struct write_event event = {
        .kind = write_event_of(reply->result),
        .database = (int32_t)reply->database,
        .position = reply->position,
        .status = reply->status,
    };
    drive_write(flow, &event);
}

void sim_flow_answer(struct sim_flow *flow, struct sim_client_reply *reply)
{
    struct sim_daemon *daemon = flow->daemon;
    struct sim_node *node = flow->request.from;

    flow->step += 1;
    reply->request_id = flow->request.request_id;
    /* A client is a node first. */
    sim_network_send(&daemon->run->network, daemon->node.zone, node, node->incarnation,
                     flow->request.on_reply, node, reply, sizeof(*reply));
}

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
    /* The trigger may have paused or killed the daemon before the answer leaves. */
    sim_node_schedule(&daemon->node, daemon->node.world->now, on_answer_resumed, daemon, &message,
                      sizeof(message));
}

static void on_evidence_reply(void *object, const void *payload)
{
    struct evidence_question *question = object;
    const struct sim_database_reply *reply = payload;
    struct sim_flow *flow = question->flow;
    struct write_event event = {
        .kind = WRITE_EVENT_EVIDENCE,
        .database = (int32_t)reply->database,
        .status = reply->status,
    };

    if (question->step != flow->step) {
        return;
    }
    drive_write(flow, &event);
}

static void ask_evidence(struct sim_flow *flow, uint32_t database);

/* No answer, or one that was not enough yet: asks again. */
static void on_evidence_timeout(void *object, const void *payload)
{
    struct sim_flow *flow = object;
    const struct evidence_message *message = payload;

    if (message->step == flow->step) {
        ask_evidence(flow, message->database);
    }
}

static void on_evidence_end(void *object, const void *payload)
{
    struct sim_flow *flow = object;
    const struct step_message *message = payload;

    if (message->step == flow->step) {
        drive_write(flow, &(struct write_event){.kind = WRITE_EVENT_EVIDENCE_END});
    }
}

static void ask_evidence(struct sim_flow *flow, uint32_t database)
{
    struct sim_daemon *daemon = flow->daemon;
    struct evidence_question *question = sim_world_allocate(daemon->node.world, sizeof(*question));
    struct evidence_message message = {.step = flow->step, .database = database};
    struct sim_database_request request = {
        .kind = SIM_REQUEST_WAIT_HELD,
        .from = &daemon->node,
        .from_incarnation = daemon->node.incarnation,
        .on_reply = on_evidence_reply,
        .object = question,
        .wanted = flow->write_step.position,
        .wait = EVIDENCE_TIMEOUT,
    };

    question->flow = flow;
    question->step = flow->step;
    sim_database_send(&daemon->run->databases[database], &request);
    sim_node_schedule(&daemon->node, daemon->node.world->now + EVIDENCE_TIMEOUT * 2,
                      on_evidence_timeout, flow, &message, sizeof(message));
}

static void gather_evidence(struct sim_flow *flow)
{
    time_ns end = flow->daemon->node.world->now + EVIDENCE_WAIT;

    for (uint32_t i = 0; i < flow->daemon->run->database_count; i++) {
        ask_evidence(flow, i);
    }
    schedule_step(flow, MIN(end, flow->write_step.until), on_evidence_end);
}

void sim_flow_schedule_timeout(struct sim_flow *flow, time_ns at)
{
    schedule_step(flow, at, on_statement_timeout);
}

static bool may_run_again(const struct sim_flow *flow)
{
    return flow->write.options.keyed || flow->write.options.resend_unkeyed;
}

/* Until when one attempt may last: a part of the time left is kept to find out what became of it.
 */
static time_ns attempt_deadline(const struct sim_flow *flow, time_ns deadline)
{
    time_ns now = flow->daemon->node.world->now;

    if (now >= deadline) {
        return deadline;
    }
    return MIN(now + (deadline - now) / 100 * ATTEMPT_TIME_PERCENT, now + STATEMENT_TIMEOUT);
}

/* Sends the statement of the step; the slot is held, or none is needed. */
static void send_write(struct sim_flow *flow)
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
        timeout = attempt_deadline(flow, timeout);
    }
    flow->sent_term = daemon->view.term;
    if (flow->transaction != NULL && request.kind == SIM_REQUEST_WRITE) {
        request.kind = SIM_REQUEST_COMMIT;
        request.term = flow->transaction->term;
        sim_pool_send_held(flow, &request);
    } else {
        sim_pool_send(flow, &request);
    }
    schedule_step(flow, timeout, on_statement_timeout);
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

static void give_up_write(struct sim_flow *flow, uint32_t retry_after_ms)
{
    struct write_event event = {
        .kind = WRITE_EVENT_GIVE_UP,
        .error = ERROR_KIND_OVERLOADED,
        .retry_after_ms = retry_after_ms,
    };

    drive_write(flow, &event);
}

/* Takes a slot for the step, and sends its statement or waits in the queue. */
static void execute(struct sim_flow *flow)
{
    bool closing = flow->write_step.kind == WRITE_STEP_CLOSE_KEY;
    bool keyed = flow->write.options.keyed && !closing;
    uint32_t retry_after_ms = 0;
    enum admission_verdict verdict;

    if (flow->transaction != NULL && !closing) {
        send_write(flow);
        return;
    }
    if (!closing && !retry_allowed(flow)) {
        give_up_write(flow, RETRY_BUDGET_RETRY_AFTER_MS);
        return;
    }
    verdict = sim_admission_enter(
        flow, (uint32_t)flow->write_step.database,
        keyed ? ADMISSION_CLASS_KEYED_WRITE : ADMISSION_CLASS_UNREPEATABLE, &retry_after_ms);
    if (verdict == ADMISSION_ADMITTED) {
        send_write(flow);
    } else if (verdict == ADMISSION_REFUSED) {
        give_up_write(flow, retry_after_ms);
    }
}

void sim_flow_wait_for_view(struct sim_flow *flow, time_ns until)
{
    g_ptr_array_add(flow->daemon->waiting, flow);
    schedule_step(flow, until, on_step_timer);
}

static void drive_write(struct sim_flow *flow, struct write_event *event)
{
    struct sim_daemon *daemon = flow->daemon;
    enum write_step_kind previous = flow->write_step.kind;
    struct write_step step;

    event->now = daemon->node.world->now;
    step = write_flow_next(&flow->write, event, &daemon->view);
    /* More evidence for the same question: what was asked stays asked. */
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

/* Sends the statement of the step; the slot is held. */
static void send_read(struct sim_flow *flow)
{
    struct sim_daemon *daemon = flow->daemon;
    struct sim_database_request request = {
        .kind = SIM_REQUEST_READ,
        .request_id = flow->request.request_id,
        .wanted = flow->read_step.guard,
    };

    flow->sent_term = daemon->view.term;
    sim_pool_send(flow, &request);
    schedule_step(flow, attempt_deadline(flow, flow->read_step.until), on_statement_timeout);
}

static void give_up_read(struct sim_flow *flow, uint32_t retry_after_ms)
{
    struct read_event event = {
        .kind = READ_EVENT_GIVE_UP,
        .error = ERROR_KIND_OVERLOADED,
        .retry_after_ms = retry_after_ms,
    };

    drive_read(flow, &event);
}

/* Takes a slot for the step, and sends its statement or waits in the queue. */
static void read_statement(struct sim_flow *flow)
{
    uint32_t retry_after_ms = 0;
    enum admission_verdict verdict = sim_admission_enter(flow, (uint32_t)flow->read_step.database,
                                                         ADMISSION_CLASS_READ, &retry_after_ms);

    if (verdict == ADMISSION_ADMITTED) {
        send_read(flow);
    } else if (verdict == ADMISSION_REFUSED) {
        give_up_read(flow, retry_after_ms);
    }
}

void sim_flow_dequeued(struct sim_flow *flow, bool admitted, uint32_t retry_after_ms)
{
    bool reads = flow->request.work == SIM_WORK_READ;

    if (!admitted && reads) {
        give_up_read(flow, retry_after_ms);
    } else if (!admitted) {
        give_up_write(flow, retry_after_ms);
    } else if (reads) {
        send_read(flow);
    } else if (flow->write_step.database != flow->daemon->view.primary) {
        /* Replaced while the write was queued. */
        sim_admission_leave(flow);
        drive_write(flow, &(struct write_event){.kind = WRITE_EVENT_NOT_PRIMARY});
    } else {
        send_write(flow);
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

static void drive_read(struct sim_flow *flow, struct read_event *event)
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
    case READ_STEP_FRESHEN:
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

static void start_write(struct sim_flow *flow)
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
    drive_write(flow, &(struct write_event){.kind = WRITE_EVENT_START});
}

/* A commit whose transaction is not here: it was rolled back with its daemon, unless its commit was
 * under way then. Only the key can tell. */
static void start_commit(struct sim_flow *flow)
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
    drive_write(flow, &(struct write_event){.kind = WRITE_EVENT_START});
}

static void start_read(struct sim_flow *flow)
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
    drive_read(flow, &(struct read_event){.kind = READ_EVENT_START});
}

void sim_daemon_on_request(void *object, const void *payload)
{
    struct sim_daemon *daemon = object;
    struct sim_flow *flow = sim_world_allocate(daemon->node.world, sizeof(*flow));

    flow->daemon = daemon;
    flow->slot_database = -1;
    flow->request = *(const struct sim_client_request *)payload;
    switch (flow->request.work) {
    case SIM_WORK_READ:
        start_read(flow);
        break;
    case SIM_WORK_WRITE:
        start_write(flow);
        break;
    case SIM_WORK_BEGIN:
        sim_transaction_start(flow);
        break;
    case SIM_WORK_COMMIT:
        start_commit(flow);
        break;
    }
}

static bool superseded(const struct sim_flow *flow)
{
    bool writes = flow->request.work == SIM_WORK_WRITE || flow->request.work == SIM_WORK_COMMIT;

    if (!writes || !flow->write.options.keyed || flow->queued) {
        return false;
    }
    return flow->write_step.kind != WRITE_STEP_EVIDENCE &&
           flow->sent_term < flow->daemon->view.term;
}

/* A keyed write sent to a replaced primary is not waited for: its key tells what became of it. */
static void give_up_superseded(struct sim_daemon *daemon)
{
    GPtrArray *flows = g_ptr_array_copy(daemon->running, NULL, NULL);

    for (guint i = 0; i < flows->len; i++) {
        struct sim_flow *flow = g_ptr_array_index(flows, i);

        if (flow->in_progress && superseded(flow)) {
            statement_lost(flow);
        }
    }
    g_ptr_array_unref(flows);
}

void sim_daemon_view_changed(struct sim_daemon *daemon, bool primary_changed)
{
    GPtrArray *waiting;

    if (!primary_changed) {
        return;
    }
    waiting = daemon->waiting;
    daemon->waiting = g_ptr_array_new();
    for (guint i = 0; i < waiting->len; i++) {
        struct sim_flow *flow = g_ptr_array_index(waiting, i);
        struct step_message message = {.step = flow->step};

        sim_node_schedule(&daemon->node, daemon->node.world->now, on_step_timer, flow, &message,
                          sizeof(message));
    }
    g_ptr_array_unref(waiting);
    give_up_superseded(daemon);
}
