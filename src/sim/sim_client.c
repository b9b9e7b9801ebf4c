/* A client's closed loop: the next request is sent after the answer to the previous one. */
#include "sim/sim_client.h"

/* How long a client waits beyond its deadline for the answer. */
#define ANSWER_TIMEOUT_MARGIN (500 * SIM_MILLISECOND)
/* How long a write is retried under its key. */
#define RETRY_PERIOD (15 * SIM_SECOND)
/* Time until a broken connection is detected, and before a retry. */
#define RESET_DELAY (2 * SIM_MILLISECOND)
#define RETRY_DELAY (20 * SIM_MILLISECOND)

static const char *const WORK_NAMES[] = {"read", "write", "begin", "commit"};

struct attempt_message {
    uint64_t request_id;
};

static void start_next(struct sim_client *client);
static void send_attempt(struct sim_client *client);

static void on_next(void *object, const void *payload)
{
    (void)payload;
    start_next(object);
}

static void on_retry(void *object, const void *payload)
{
    (void)payload;
    send_attempt(object);
}

static void finish_operation(struct sim_client *client)
{
    struct sim_world *world = client->node.world;
    time_ns think = client->run->scenario->think_time;

    if (client->pinned_daemon >= 0) {
        think = 0;
    }
    sim_node_schedule(&client->node, world->now + think / 2 + sim_random_below(world, think),
                      on_next, client, NULL, 0);
}

static void repeat(struct sim_client *client, time_ns delay)
{
    struct sim_world *world = client->node.world;

    if (world->now + delay > client->retry_until) {
        finish_operation(client);
        return;
    }
    sim_node_schedule(&client->node, world->now + delay, on_retry, client, NULL, 0);
}

/* A BEGIN may be retried because it has run no write. */
static bool may_retry(const struct sim_client *client)
{
    return client->work == SIM_WORK_READ || client->work == SIM_WORK_BEGIN ||
           client->operation->key != 0;
}

static void end_attempt(struct sim_client *client, struct sim_attempt *attempt,
                        enum sim_attempt_state state)
{
    attempt->state = state;
    attempt->ended_at = client->node.world->now;
}

/* Called for an attempt that ended without an answer. */
static void on_attempt_lost(struct sim_client *client)
{
    if (may_retry(client)) {
        repeat(client, RETRY_DELAY);
        return;
    }
    finish_operation(client);
}

/* Removes the attempt from the pending ones; NULL if it has ended before. */
static struct sim_attempt *take_pending(struct sim_client *client, uint64_t request_id)
{
    struct sim_attempt *attempt = g_hash_table_lookup(client->pending, &request_id);

    if (attempt != NULL) {
        g_hash_table_remove(client->pending, &request_id);
    }
    return attempt;
}

static void lose_attempt(struct sim_client *client, uint64_t request_id,
                         enum sim_attempt_state state)
{
    struct sim_attempt *attempt = take_pending(client, request_id);

    if (attempt == NULL) {
        return;
    }
    end_attempt(client, attempt, state);
    sim_journal(client->node.world, "client %u: request %" G_GUINT64_FORMAT " %s", client->index,
                request_id, state == SIM_ATTEMPT_LOST ? "lost" : "not sent");
    if (attempt == client->attempt) {
        on_attempt_lost(client);
    }
}

static void on_timeout(void *object, const void *payload)
{
    const struct attempt_message *message = payload;

    lose_attempt(object, message->request_id, SIM_ATTEMPT_LOST);
}

static void on_refused_connection(void *object, const void *payload)
{
    const struct attempt_message *message = payload;

    lose_attempt(object, message->request_id, SIM_ATTEMPT_NOT_SENT);
}

static void schedule_loss(struct sim_client *client, const struct sim_attempt *attempt,
                          time_ns delay, sim_handler handler)
{
    struct attempt_message message = {.request_id = attempt->request_id};

    sim_node_schedule(&client->node, client->node.world->now + delay, handler, client, &message,
                      sizeof(message));
}

struct send_message {
    uint32_t daemon;
    struct sim_client_request request;
};

static void on_send(void *object, const void *payload)
{
    struct sim_client *client = object;
    const struct send_message *message = payload;
    struct sim_daemon *daemon = client->run->daemons[message->daemon];
    struct attempt_message refused = {.request_id = message->request.request_id};

    if (!daemon->node.alive) {
        sim_node_schedule(&client->node, client->node.world->now + RESET_DELAY,
                          on_refused_connection, client, &refused, sizeof(refused));
        return;
    }
    sim_network_send(&client->run->network, client->node.zone, &daemon->node,
                     daemon->node.incarnation, sim_daemon_on_request, daemon, &message->request,
                     sizeof(message->request));
}

static struct sim_attempt *send_to(struct sim_client *client, uint32_t daemon)
{
    struct sim_run *run = client->run;
    struct sim_world *world = run->world;
    const struct sim_scenario *scenario = run->scenario;
    struct sim_attempt *attempt = sim_world_allocate(world, sizeof(*attempt));
    struct send_message message = {.daemon = daemon};

    attempt->request_id = sim_world_next_id(world);
    attempt->client = client->index;
    attempt->daemon = daemon;
    attempt->work = client->work;
    attempt->operation = client->operation;
    attempt->started_at = world->now;
    g_ptr_array_add(run->history.attempts, attempt);
    g_hash_table_insert(client->pending, &attempt->request_id, attempt);
    message.request.from = &client->node;
    message.request.on_reply = sim_client_on_reply;
    message.request.request_id = attempt->request_id;
    message.request.client = client->index;
    message.request.work = attempt->work;
    message.request.transaction = client->transaction;
    message.request.operation = attempt->operation;
    message.request.session = client->session;
    message.request.deadline = world->now + scenario->request_deadline;
    /* the round-trip time between client and daemon */
    sim_node_schedule(&client->node, world->now + 2 * scenario->client_latency, on_send, client,
                      &message, sizeof(message));
    schedule_loss(client, attempt, scenario->request_deadline + ANSWER_TIMEOUT_MARGIN, on_timeout);
    return attempt;
}

static void send_attempt(struct sim_client *client)
{
    struct sim_world *world = client->node.world;
    uint32_t count = client->run->daemon_count;
    uint32_t daemon = (uint32_t)sim_random_below(world, count);
    bool keyed = client->work == SIM_WORK_WRITE && client->operation->key != 0;

    if (client->pinned_daemon >= 0) {
        client->attempt = send_to(client, (uint32_t)client->pinned_daemon);
        return;
    }
    if (client->work == SIM_WORK_COMMIT) {
        client->attempt = send_to(client, client->transaction_daemon);
        return;
    }
    client->attempt = send_to(client, daemon);
    if (keyed && count > 1 && sim_random_chance(world, client->run->scenario->same_key_share)) {
        send_to(client, (daemon + 1) % count);
    }
}

static void start_write(struct sim_client *client)
{
    struct sim_world *world = client->node.world;
    const struct sim_scenario *scenario = client->run->scenario;
    struct sim_operation *operation = sim_world_allocate(world, sizeof(*operation));

    operation->id = sim_world_next_id(world);
    operation->fingerprint = operation->id;
    if (client->pinned_daemon >= 0) {
        operation->key = operation->id;
    } else if (!sim_random_chance(world, scenario->unkeyed_share)) {
        operation->key = operation->id;
        if (client->last_keyed != NULL && sim_random_chance(world, scenario->reused_key_share)) {
            operation->key = client->last_keyed->key;
        }
        client->last_keyed = operation;
    }
    client->operation = operation;
    client->work = SIM_WORK_WRITE;
    if (client->pinned_daemon < 0 && sim_random_chance(world, scenario->transaction_share)) {
        client->work = SIM_WORK_BEGIN;
    }
}

static void start_next(struct sim_client *client)
{
    struct sim_world *world = client->node.world;

    if (world->now >= client->run->clients_stop_at) {
        return;
    }
    client->operation = NULL;
    client->work = SIM_WORK_READ;
    client->retry_until = world->now + RETRY_PERIOD;
    if (client->pinned_daemon >= 0 ||
        !sim_random_chance(world, client->run->scenario->read_share)) {
        start_write(client);
    }
    send_attempt(client);
}

static void remember_session(struct sim_client *client, struct log_position position)
{
    if (log_position_compare(position, client->session) > 0) {
        client->session = position;
    }
}

/* Keeps the open transaction for the client's own work time, then commits it. */
static void schedule_commit(struct sim_client *client, const struct sim_client_reply *reply)
{
    struct sim_world *world = client->node.world;
    time_ns hold = sim_random_below(world, client->run->scenario->transaction_time);

    client->transaction = reply->transaction;
    client->transaction_daemon = client->attempt->daemon;
    client->work = SIM_WORK_COMMIT;
    sim_node_schedule(&client->node, world->now + hold, on_retry, client, NULL, 0);
}

static void after_answer(struct sim_client *client, const struct sim_client_reply *reply)
{
    bool final = reply->outcome == OUTCOME_DONE || reply->outcome == OUTCOME_FAILED ||
                 reply->error == ERROR_KIND_KEY_CLOSED || reply->error == ERROR_KIND_KEY_REUSED;

    if (client->work == SIM_WORK_BEGIN && reply->outcome == OUTCOME_DONE) {
        schedule_commit(client, reply);
        return;
    }
    if (final || !may_retry(client)) {
        finish_operation(client);
        return;
    }
    repeat(client, RETRY_DELAY + reply->retry_after_ms * SIM_MILLISECOND);
}

static void take_answer(struct sim_client *client, struct sim_attempt *attempt,
                        const struct sim_client_reply *reply)
{
    end_attempt(client, attempt, SIM_ATTEMPT_ANSWERED);
    attempt->outcome = reply->outcome;
    attempt->error = reply->error;
    attempt->answered_id = reply->answered_id;
    attempt->seen = reply->seen;
    attempt->durable = reply->durable;
    attempt->by_replica = reply->by_replica;
    if (reply->outcome == OUTCOME_DONE && attempt->work != SIM_WORK_BEGIN) {
        remember_session(client, reply->session);
    }
    sim_journal(client->node.world,
                "client %u: %s %" G_GUINT64_FORMAT
                " at daemon %u: outcome %d error %d at %" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
                client->index, WORK_NAMES[attempt->work], attempt->request_id, attempt->daemon,
                (int)reply->outcome, (int)reply->error, reply->session.term, reply->session.offset);
}

void sim_client_on_reply(void *object, const void *payload)
{
    struct sim_client *client = object;
    const struct sim_client_reply *reply = payload;
    struct sim_attempt *attempt = take_pending(client, reply->request_id);

    if (attempt == NULL) {
        return;
    }
    take_answer(client, attempt, reply);
    if (attempt == client->attempt) {
        after_answer(client, reply);
    }
}

static gint compare_requests(gconstpointer first, gconstpointer second)
{
    const struct sim_attempt *a = *(struct sim_attempt *const *)first;
    const struct sim_attempt *b = *(struct sim_attempt *const *)second;

    return a->request_id < b->request_id ? -1 : a->request_id > b->request_id;
}

static void lose_at_daemon(struct sim_client *client, uint32_t daemon)
{
    GHashTableIter iterator;
    gpointer value;
    g_autoptr(GPtrArray) lost = g_ptr_array_new();

    g_hash_table_iter_init(&iterator, client->pending);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct sim_attempt *attempt = value;

        if (attempt->daemon == daemon) {
            g_ptr_array_add(lost, attempt);
        }
    }
    g_ptr_array_sort(lost, compare_requests);
    for (guint i = 0; i < lost->len; i++) {
        schedule_loss(client, g_ptr_array_index(lost, i), RESET_DELAY, on_timeout);
    }
}

void sim_client_daemon_died(struct sim_run *run, uint32_t daemon)
{
    for (uint32_t i = 0; i < run->client_count; i++) {
        lose_at_daemon(run->clients[i], daemon);
    }
}

struct sim_client *sim_client_new(struct sim_run *run, uint32_t index, uint32_t zone,
                                  int32_t pinned_daemon)
{
    struct sim_client *client = sim_world_allocate(run->world, sizeof(*client));

    client->run = run;
    client->index = index;
    client->pinned_daemon = pinned_daemon;
    client->pending = g_hash_table_new(g_int64_hash, g_int64_equal);
    sim_node_init(&client->node, run->world, zone);
    return client;
}

void sim_client_clear(struct sim_client *client)
{
    g_hash_table_unref(client->pending);
}

void sim_client_start(struct sim_client *client)
{
    time_ns delay = sim_random_below(client->node.world, 100 * SIM_MILLISECOND);

    sim_node_schedule(&client->node, client->node.world->now + delay, on_next, client, NULL, 0);
}
