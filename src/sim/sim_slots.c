/* The part of each database's slots that a simulated daemon may use, around core/slot_share. */
#include "sim/sim_daemon.h"

struct slots_message {
    uint32_t database;
    uint64_t from;
    struct slot_share_message message;
};

static struct slot_share_load take_load(struct sim_daemon *daemon, uint32_t database)
{
    struct admission *admission = &daemon->admissions[database];
    struct slot_share_load load = {.in_flight = admission->in_flight};

    load.demand = admission_take_demand(admission);
    return load;
}

static void on_message(void *object, const void *payload);

static void send_message(struct sim_daemon *daemon, uint32_t database,
                         const struct slot_share_action *action)
{
    struct slots_message message = {
        .database = database,
        .from = daemon->watcher,
        .message = action->message,
    };

    daemon->run->slot_messages += 1;
    for (uint32_t i = 0; i < daemon->run->daemon_count; i++) {
        struct sim_daemon *peer = daemon->run->daemons[i];

        if (peer->watcher == action->to && peer->node.alive) {
            sim_network_send_datagram(&daemon->run->network, daemon->node.zone, &peer->node,
                                      peer->node.incarnation, on_message, peer, &message,
                                      sizeof(message));
        }
    }
}

/* Sends the messages that are due, and applies the new number of slots to the queue. */
static void apply(struct sim_daemon *daemon, uint32_t database, const GArray *actions)
{
    time_ns now = daemon->node.world->now;

    for (guint i = 0; i < actions->len; i++) {
        send_message(daemon, database, &g_array_index(actions, struct slot_share_action, i));
    }
    admission_set_slots(&daemon->admissions[database],
                        slot_share_limit(&daemon->shares[database], now));
    sim_admission_start_queued(daemon, database);
}

static void on_message(void *object, const void *payload)
{
    struct sim_daemon *daemon = object;
    const struct slots_message *message = payload;
    g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct slot_share_action));
    struct slot_share_load load = take_load(daemon, message->database);

    slot_share_receive(&daemon->shares[message->database], message->from, &message->message, &load,
                       daemon->node.world->now, actions);
    apply(daemon, message->database, actions);
}

void sim_slots_advance(struct sim_daemon *daemon, uint32_t database)
{
    g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct slot_share_action));
    struct slot_share_load load = take_load(daemon, database);

    slot_share_tick(&daemon->shares[database], &load, daemon->node.world->now, actions);
    apply(daemon, database, actions);
}

static void on_tick(void *object, const void *payload)
{
    struct sim_daemon *daemon = object;

    (void)payload;
    for (uint32_t i = 0; i < daemon->run->database_count; i++) {
        sim_slots_advance(daemon, i);
    }
    sim_node_schedule(&daemon->node, daemon->node.world->now + SLOT_SHARE_TICK, on_tick, daemon,
                      NULL, 0);
}

void sim_slots_start(struct sim_daemon *daemon)
{
    for (uint32_t i = 0; i < daemon->run->database_count; i++) {
        slot_share_init(&daemon->shares[i], daemon->run->scenario->database.slots, daemon->watcher);
        slot_share_set_database_count(&daemon->shares[i], daemon->run->scenario->database.shared);
    }
    on_tick(daemon, NULL);
}

/* Positions are in the order of the ids. */
void sim_slots_set_owners(struct sim_daemon *daemon, const struct group_watcher *owners,
                          uint32_t count)
{
    uint64_t ids[GROUP_WATCHERS_MAX];
    int32_t place = -1;

    for (uint32_t i = 0; i < count; i++) {
        ids[i] = owners[i].id;
        if (ids[i] == daemon->watcher) {
            place = (int32_t)i;
        }
    }
    for (uint32_t i = 0; i < daemon->run->database_count; i++) {
        slot_share_set_position(&daemon->shares[i], ids, count, place, i, daemon->node.world->now);
        sim_slots_advance(daemon, i);
    }
}
