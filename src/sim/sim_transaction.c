/* Interactive transactions of a simulated daemon. A BEGIN takes a connection to the primary, and
 * the transaction keeps it until its commit, its time limit, or the daemon's end. */
#include "sim/sim_daemon.h"

/* A transaction without a commit for this time is rolled back. */
#define IDLE_TIMEOUT (5 * SIM_SECOND)
/* Time-out of a BEGIN. No write has run by then. */
#define BEGIN_TIMEOUT (1000 * SIM_MILLISECOND)
/* Longest wait of a BEGIN for a primary. */
#define UNAVAILABLE_WAIT (4 * SIM_SECOND)
#define POLL_INTERVAL    (20 * SIM_MILLISECOND)

static void refuse(struct sim_flow *flow)
{
    struct sim_client_reply reply = {
        .outcome = OUTCOME_REFUSED,
        .error = ERROR_KIND_NO_PRIMARY,
        .answered_id = flow->request.request_id,
        .retry_after_ms = 100,
    };

    sim_flow_set_running(flow, false);
    sim_flow_answer(flow, &reply);
}

static void wait_for_primary(struct sim_flow *flow)
{
    time_ns now = flow->daemon->node.world->now;

    if (flow->unavailable_since == 0) {
        flow->unavailable_since = now;
    }
    if (now >= flow->unavailable_since + UNAVAILABLE_WAIT || now >= flow->request.deadline) {
        refuse(flow);
        return;
    }
    flow->step += 1;
    sim_flow_set_running(flow, false);
    sim_flow_wait_for_view(flow, now + POLL_INTERVAL);
}

void sim_transaction_start(struct sim_flow *flow)
{
    struct route_decision decision = route_write(&flow->daemon->view);
    struct sim_database_request request = {
        .kind = SIM_REQUEST_BEGIN,
        .request_id = flow->request.request_id,
    };

    if (decision.database < 0) {
        wait_for_primary(flow);
        return;
    }
    flow->step += 1;
    flow->write_step.database = decision.database;
    flow->sent_term = flow->daemon->view.term;
    sim_flow_set_running(flow, true);
    sim_pool_send(flow, &request);
    sim_flow_schedule_timeout(flow, flow->daemon->node.world->now + BEGIN_TIMEOUT);
}

void sim_transaction_timer(struct sim_flow *flow)
{
    sim_transaction_start(flow);
}

void sim_transaction_lost(struct sim_flow *flow)
{
    refuse(flow);
}

struct sim_transaction *sim_transaction_take(struct sim_daemon *daemon, uint64_t id)
{
    for (guint i = 0; i < daemon->transactions->len; i++) {
        struct sim_transaction *transaction = g_ptr_array_index(daemon->transactions, i);

        if (transaction->id == id) {
            return g_ptr_array_steal_index(daemon->transactions, i);
        }
    }
    return NULL;
}

static void on_idle_bound(void *object, const void *payload)
{
    struct sim_daemon *daemon = object;
    struct sim_transaction *transaction = sim_transaction_take(daemon, *(const uint64_t *)payload);

    if (transaction != NULL) {
        transaction->connection->closed = true;
        sim_daemon_check_drained(daemon);
    }
}

void sim_transaction_answered(struct sim_flow *flow, const struct sim_database_reply *reply)
{
    struct sim_daemon *daemon = flow->daemon;
    struct sim_transaction *transaction;
    struct sim_client_reply answer = {
        .outcome = OUTCOME_DONE,
        .answered_id = flow->answered_id,
    };

    if (reply->result != SIM_RESULT_OK) {
        sim_pool_release(flow, true);
        wait_for_primary(flow);
        return;
    }
    transaction = sim_world_allocate(daemon->node.world, sizeof(*transaction));
    transaction->id = sim_world_next_id(daemon->node.world);
    transaction->connection = flow->connection;
    transaction->connection->user = NULL;
    transaction->term = reply->status.term;
    flow->connection = NULL;
    g_ptr_array_add(daemon->transactions, transaction);
    sim_node_schedule(&daemon->node, daemon->node.world->now + IDLE_TIMEOUT, on_idle_bound, daemon,
                      &transaction->id, sizeof(transaction->id));
    answer.transaction = transaction->id;
    sim_flow_set_running(flow, false);
    sim_flow_answer(flow, &answer);
}
