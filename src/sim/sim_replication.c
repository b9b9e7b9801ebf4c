/* Pushes of the log, hellos of replicas, and applying. */
#include "sim/sim_replication.h"

/* Interval of regular pushes, and time without a push after which a replica repeats its hello. */
#define PUSH_INTERVAL  (50 * SIM_MILLISECOND)
#define HELLO_INTERVAL (200 * SIM_MILLISECOND)

/* A push: the primary's term and its log up to `head`. */
struct push_message {
    uint64_t term;
    uint32_t primary;
    struct sim_entry *head;
};

/* A push that waits for the replica's lag. */
struct push_due {
    uint32_t replica;
    struct push_message message;
};

/* A hello, by which a replica asks a primary for pushes. */
struct hello_message {
    uint64_t term;
    uint32_t replica;
};

struct apply_message {
    struct sim_entry *entry;
};

void sim_replication_notify(struct sim_database *database)
{
    if (database->waiters->len > 0) {
        sim_database_wake(database);
    }
}

static void on_apply(void *object, const void *payload)
{
    struct sim_database *database = object;
    const struct apply_message *message = payload;

    if (database->role != DATABASE_ROLE_REPLICA ||
        !sim_entry_contains(database->head, message->entry)) {
        return;
    }
    if (sim_entry_position(database->applied).offset < message->entry->position.offset) {
        database->applied = message->entry;
        sim_replication_notify(database);
    }
}

static void take_log(struct sim_database *database, struct sim_entry *head)
{
    struct apply_message message = {.entry = head};

    if (database->head == head) {
        return;
    }
    if (database->head != NULL && !sim_entry_contains(head, database->head)) {
        struct sim_entry *common = sim_entry_common(database->head, head);

        sim_journal(database->node.world, "database %u drops its log after %" G_GUINT64_FORMAT,
                    database->index, sim_entry_position(common).offset);
        if (sim_entry_position(database->applied).offset > sim_entry_position(common).offset) {
            database->applied = common;
        }
    }
    database->head = head;
    sim_node_schedule(&database->node, database->node.world->now + database->options.apply_delay,
                      on_apply, database, &message, sizeof(message));
    sim_replication_notify(database);
}

static void on_push(void *object, const void *payload)
{
    struct sim_database *database = object;
    const struct push_message *message = payload;
    bool wanted = database->role == DATABASE_ROLE_REPLICA && database->term == message->term &&
                  database->promised_term == message->term &&
                  database->following == (int32_t)message->primary;

    if (!wanted) {
        return;
    }
    database->synchronized_at = database->node.world->now;
    /* A primary's log only grows within its term, so a shorter one is an older message. */
    if (database->synchronized &&
        message->head->position.offset <= database->head->position.offset) {
        return;
    }
    database->synchronized = true;
    take_log(database, message->head);
}

/* True if replication between the two is not cut. */
static bool is_linked(const struct sim_database *database, const struct sim_database *peer)
{
    return !database->replication_cut && !peer->replication_cut;
}

/* Sends the log as it was when the push was scheduled, if the replica still follows. */
static void on_push_due(void *object, const void *payload)
{
    struct sim_database *database = object;
    const struct push_due *due = payload;
    struct sim_database *replica = database->peers[due->replica];

    if (database->role != DATABASE_ROLE_PRIMARY || database->term != due->message.term ||
        (database->followers >> due->replica & 1) == 0 || !is_linked(database, replica)) {
        return;
    }
    sim_network_send(database->network, database->node.zone, &replica->node,
                     replica->node.incarnation, on_push, replica, &due->message,
                     sizeof(due->message));
}

void sim_replication_push(struct sim_database *database)
{
    bool leads =
        database->role == DATABASE_ROLE_PRIMARY && database->promised_term == database->term;

    if (!leads) {
        return;
    }
    for (uint32_t i = 0; i < database->peer_count; i++) {
        time_ns delay = database->peers[i]->options.hold_delay;
        struct push_due due = {
            .replica = i,
            .message = {.term = database->term, .primary = database->index, .head = database->head},
        };

        if ((database->followers >> i & 1) == 0) {
            continue;
        }
        if (delay == 0) {
            on_push_due(database, &due);
            continue;
        }
        sim_node_schedule(&database->node, database->node.world->now + delay, on_push_due, database,
                          &due, sizeof(due));
    }
}

static void on_hello(void *object, const void *payload)
{
    struct sim_database *database = object;
    const struct hello_message *message = payload;

    if (database->role != DATABASE_ROLE_PRIMARY || database->term != message->term) {
        return;
    }
    database->followers |= UINT32_C(1) << message->replica;
    sim_replication_push(database);
}

void sim_replication_hello(struct sim_database *database)
{
    struct hello_message message = {.term = database->term, .replica = database->index};
    struct sim_database *primary;

    if (database->role != DATABASE_ROLE_REPLICA || database->following < 0) {
        return;
    }
    primary = database->peers[database->following];
    if (!is_linked(database, primary)) {
        return;
    }
    sim_network_send(database->network, database->node.zone, &primary->node,
                     primary->node.incarnation, on_hello, primary, &message, sizeof(message));
}

static void on_interval(void *object, const void *payload)
{
    struct sim_database *database = object;
    time_ns now = database->node.world->now;

    (void)payload;
    sim_replication_push(database);
    if (now >= database->synchronized_at + HELLO_INTERVAL) {
        sim_replication_hello(database);
    }
    sim_node_schedule(&database->node, now + PUSH_INTERVAL, on_interval, database, NULL, 0);
}

void sim_replication_start(struct sim_database *database)
{
    on_interval(database, NULL);
}
