/* Client requests to a simulated daemon: starts their flows and feeds them events. */
#include "sim/sim_request_internal.h"

/* Time-out of a statement. A statement that can't be repeated waits until the deadline instead. */
#define STATEMENT_TIMEOUT (1000 * SIM_MILLISECOND)

/* Part of the time left, in percent, that an attempt may use if another one can follow it. */
#define ATTEMPT_TIME_PERCENT 75

void sim_flow_schedule(struct sim_flow *flow, time_ns at, sim_handler handler)
{
    struct sim_step_message message = {.step = flow->step};

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
    const struct sim_step_message *message = payload;

    if (message->step != flow->step) {
        return;
    }
    g_ptr_array_remove(flow->daemon->waiting, flow);
    if (flow->request.work == SIM_WORK_READ) {
        sim_read_drive(flow, &(struct read_event){.kind = READ_EVENT_TIMER});
    } else if (flow->request.work == SIM_WORK_BEGIN) {
        sim_transaction_timer(flow);
    } else {
        sim_write_drive(flow, &(struct write_event){.kind = WRITE_EVENT_TIMER});
    }
}

static void statement_lost(struct sim_flow *flow)
{
    struct write_event event = {.kind = WRITE_EVENT_LOST};

    sim_pool_release(flow, false);
    sim_admission_leave(flow);
    if (flow->request.work == SIM_WORK_READ) {
        sim_read_drive(flow, &(struct read_event){.kind = READ_EVENT_LOST});
        return;
    }
    if (flow->request.work == SIM_WORK_BEGIN) {
        sim_transaction_lost(flow);
        return;
    }
    if (flow->daemon->run->mutation == SIM_MUTATION_LOST_IS_NOT_SENT) {
        event.kind = WRITE_EVENT_NOT_SENT;
    }
    sim_write_drive(flow, &event);
}

static void on_statement_timeout(void *object, const void *payload)
{
    struct sim_flow *flow = object;
    const struct sim_step_message *message = payload;

    if (message->step != flow->step) {
        return;
    }
    statement_lost(flow);
}

void sim_flow_not_sent(struct sim_flow *flow)
{
    sim_admission_leave(flow);
    if (flow->request.work == SIM_WORK_READ) {
        sim_read_drive(flow, &(struct read_event){.kind = READ_EVENT_NOT_SENT});
    } else if (flow->request.work == SIM_WORK_BEGIN) {
        sim_transaction_lost(flow);
    } else {
        sim_write_drive(flow, &(struct write_event){.kind = WRITE_EVENT_NOT_SENT});
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
        sim_read_drive(flow, &event);
        return;
    }
    struct write_event event = {
        .kind = write_event_of(reply->result),
        .database = (int32_t)reply->database,
        .position = reply->position,
        .status = reply->status,
    };
    sim_write_drive(flow, &event);
}

void sim_flow_answer(struct sim_flow *flow, struct sim_client_reply *reply)
{
    struct sim_daemon *daemon = flow->daemon;
    struct sim_node *node = flow->request.from;

    flow->step += 1;
    reply->request_id = flow->request.request_id;
    /* the node is a client's first member */
    sim_network_send(&daemon->run->network, daemon->node.zone, node, node->incarnation,
                     flow->request.on_reply, node, reply, sizeof(*reply));
}

void sim_flow_schedule_timeout(struct sim_flow *flow, time_ns at)
{
    sim_flow_schedule(flow, at, on_statement_timeout);
}

/* End of an attempt's time. A part of the time left is kept to find out its outcome. */
time_ns sim_flow_attempt_deadline(const struct sim_flow *flow, time_ns deadline)
{
    time_ns now = flow->daemon->node.world->now;

    if (now >= deadline) {
        return deadline;
    }
    return MIN(now + (deadline - now) / 100 * ATTEMPT_TIME_PERCENT, now + STATEMENT_TIMEOUT);
}

void sim_flow_wait_for_view(struct sim_flow *flow, time_ns until)
{
    g_ptr_array_add(flow->daemon->waiting, flow);
    sim_flow_schedule(flow, until, on_step_timer);
}

void sim_flow_dequeued(struct sim_flow *flow, bool admitted, uint32_t retry_after_ms)
{
    bool reads = flow->request.work == SIM_WORK_READ;

    if (!admitted && reads) {
        sim_read_give_up(flow, retry_after_ms);
    } else if (!admitted) {
        sim_write_give_up(flow, retry_after_ms);
    } else if (reads) {
        sim_read_send(flow);
    } else if (flow->write_step.database != flow->daemon->view.primary) {
        /* The primary was replaced while the write was queued. */
        sim_admission_leave(flow);
        sim_write_drive(flow, &(struct write_event){.kind = WRITE_EVENT_NOT_PRIMARY});
    } else {
        sim_write_send(flow);
    }
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
        sim_read_start(flow);
        break;
    case SIM_WORK_WRITE:
        sim_write_start(flow);
        break;
    case SIM_WORK_BEGIN:
        sim_transaction_start(flow);
        break;
    case SIM_WORK_COMMIT:
        sim_write_start_commit(flow);
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

/* Abandons keyed writes sent to a replaced primary: their outcome is found by their key. */
static void abandon_superseded(struct sim_daemon *daemon)
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
        struct sim_step_message message = {.step = flow->step};

        sim_node_schedule(&daemon->node, daemon->node.world->now, on_step_timer, flow, &message,
                          sizeof(message));
    }
    g_ptr_array_unref(waiting);
    abandon_superseded(daemon);
}
