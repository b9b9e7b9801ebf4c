/* A daemon's connections to the databases. A connection carries one statement at a time and its
 * replies have no request id, so a connection with a missing reply must not be used again. */
#include "sim/sim_daemon.h"

#define OPEN_TIMEOUT (500 * SIM_MILLISECOND)

/* A statement whose connection is being opened. */
struct pending_open {
    struct sim_flow *flow;
    uint64_t step;
    uint32_t database;
    struct sim_database_request request;
};

static void on_statement_reply(void *object, const void *payload)
{
    struct sim_connection *connection = object;

    if (connection->closed || connection->user == NULL) {
        return;
    }
    sim_flow_answered(connection->user, payload);
}

static void send_over(struct sim_flow *flow, struct sim_connection *connection,
                      struct sim_database_request *request)
{
    struct sim_daemon *daemon = flow->daemon;

    flow->connection = connection;
    connection->user = flow;
    request->from = &daemon->node;
    request->from_incarnation = daemon->node.incarnation;
    request->on_reply = on_statement_reply;
    request->object = connection;
    request->tag = connection->id;
    sim_database_send(&daemon->run->databases[connection->database], request);
}

static void on_opened(void *object, const void *payload)
{
    struct pending_open *opening = object;
    struct sim_daemon *daemon = opening->flow->daemon;
    struct sim_connection *connection = sim_world_allocate(daemon->node.world, sizeof(*connection));

    (void)payload;
    connection->daemon = daemon;
    connection->database = opening->database;
    connection->id = sim_world_next_id(daemon->node.world);
    if (opening->flow->step != opening->step) {
        g_ptr_array_add(daemon->idle[connection->database], connection);
        return;
    }
    send_over(opening->flow, connection, &opening->request);
}

static void on_open_reply(void *object, const void *payload)
{
    struct pending_open *opening = object;
    struct sim_daemon *daemon = opening->flow->daemon;
    time_ns open_time = daemon->run->databases[opening->database].options.open_time;

    (void)payload;
    sim_node_schedule(&daemon->node, daemon->node.world->now + open_time, on_opened, opening, NULL,
                      0);
}

static void on_open_timeout(void *object, const void *payload)
{
    struct pending_open *opening = object;

    (void)payload;
    if (opening->flow->step == opening->step && opening->flow->connection == NULL) {
        sim_flow_not_sent(opening->flow);
    }
}

static void open_connection(struct sim_flow *flow, uint32_t database,
                            const struct sim_database_request *request)
{
    struct sim_daemon *daemon = flow->daemon;
    struct pending_open *opening = sim_world_allocate(daemon->node.world, sizeof(*opening));
    struct sim_database_request open = {
        .kind = SIM_REQUEST_OPEN,
        .from = &daemon->node,
        .from_incarnation = daemon->node.incarnation,
        .on_reply = on_open_reply,
        .object = opening,
    };

    opening->flow = flow;
    opening->step = flow->step;
    opening->database = database;
    opening->request = *request;
    sim_database_send(&daemon->run->databases[database], &open);
    sim_node_schedule(&daemon->node, daemon->node.world->now + OPEN_TIMEOUT, on_open_timeout,
                      opening, NULL, 0);
}

void sim_pool_send(struct sim_flow *flow, struct sim_database_request *request)
{
    uint32_t database = (uint32_t)(flow->request.work == SIM_WORK_READ ? flow->read_step.database
                                                                       : flow->write_step.database);
    GPtrArray *idle = flow->daemon->idle[database];

    g_assert(flow->request.work != SIM_WORK_READ || flow->read_step.database >= 0);
    if (idle->len == 0) {
        open_connection(flow, database, request);
        return;
    }
    send_over(flow, g_ptr_array_steal_index(idle, idle->len - 1), request);
}

void sim_pool_send_held(struct sim_flow *flow, struct sim_database_request *request)
{
    send_over(flow, flow->transaction->connection, request);
}

void sim_pool_release(struct sim_flow *flow, bool healthy)
{
    struct sim_connection *connection = flow->connection;
    bool reuse = flow->daemon->run->mutation == SIM_MUTATION_REUSE_CONNECTION;

    if (connection == NULL) {
        return;
    }
    flow->connection = NULL;
    connection->user = NULL;
    if (!healthy && !reuse) {
        connection->closed = true;
        return;
    }
    g_ptr_array_add(flow->daemon->idle[connection->database], connection);
}
