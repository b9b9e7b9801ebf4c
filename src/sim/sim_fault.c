/* Faults: choice of the target, effect, and end. */
#include "sim/sim_fault.h"

#include "sim/sim_client.h"
#include "sim/sim_daemon.h"

/* An operator's drain request reaches each daemon within this time. */
#define DRAIN_REQUEST_DELAY_MAX (300 * SIM_MILLISECOND)

struct fault_message {
    uint32_t fault;
    uint32_t target;
};

struct drain_request_message {
    uint32_t database;
    bool drain;
};

static void fire(struct sim_run *run, uint32_t index, struct sim_daemon *actor);

static time_ns end_of(const struct sim_run *run, const struct sim_fault *fault)
{
    if (fault->duration == 0) {
        return run->clients_stop_at;
    }
    return run->world->now + fault->duration;
}

static void on_fault(void *object, const void *payload)
{
    struct sim_run *run = object;
    const struct fault_message *message = payload;
    const struct sim_fault *fault = &run->scenario->faults[message->fault];

    fire(run, message->fault, NULL);
    if (fault->every != 0 && run->world->now + fault->every < run->clients_stop_at) {
        sim_node_schedule(&run->operator_node, run->world->now + fault->every, on_fault, run,
                          message, sizeof(*message));
    }
}

void sim_fault_start(struct sim_run *run)
{
    for (uint32_t i = 0; i < run->scenario->fault_count; i++) {
        const struct sim_fault *fault = &run->scenario->faults[i];
        struct fault_message message = {.fault = i};
        time_ns at =
            run->load_starts_at + fault->at + sim_random_below(run->world, fault->at_spread);

        run->fault_skips[i] = (uint32_t)sim_random_below(run->world, (uint64_t)fault->skip + 1);
        if (fault->trigger == SIM_TRIGGER_TIME) {
            sim_node_schedule(&run->operator_node, at, on_fault, run, &message, sizeof(message));
        }
    }
}

void sim_fault_trigger(struct sim_run *run, enum sim_trigger trigger, struct sim_daemon *actor)
{
    for (uint32_t i = 0; i < run->scenario->fault_count; i++) {
        const struct sim_fault *fault = &run->scenario->faults[i];

        if (fault->trigger != trigger || (run->faults_fired >> i & 1) != 0 ||
            run->world->now < run->load_starts_at + fault->at) {
            continue;
        }
        if (run->fault_skips[i] > 0) {
            run->fault_skips[i] -= 1;
            continue;
        }
        run->faults_fired |= UINT32_C(1) << i;
        fire(run, i, actor);
    }
}

static uint32_t primary_index(struct sim_run *run)
{
    struct sim_database *primary = sim_run_primary(run);

    return primary == NULL ? 0 : primary->index;
}

static uint32_t random_replica(struct sim_run *run)
{
    uint32_t primary = primary_index(run);
    uint32_t step;

    if (run->database_count < 2) {
        return primary;
    }
    step = 1 + (uint32_t)sim_random_below(run->world, run->database_count - 1);
    return (primary + step) % run->database_count;
}

static uint32_t choose_database(struct sim_run *run, const struct sim_fault *fault)
{
    switch (fault->target) {
    case SIM_TARGET_INDEX:
        return fault->index % run->database_count;
    case SIM_TARGET_PRIMARY:
        return primary_index(run);
    case SIM_TARGET_REPLICA:
        return random_replica(run);
    default:
        return (uint32_t)sim_random_below(run->world, run->database_count);
    }
}

static uint32_t choose_daemon(struct sim_run *run, const struct sim_fault *fault,
                              const struct sim_daemon *actor)
{
    if (fault->target == SIM_TARGET_ACTOR && actor != NULL) {
        return actor->index;
    }
    if (fault->target == SIM_TARGET_INDEX) {
        return fault->index % run->daemon_count;
    }
    return (uint32_t)sim_random_below(run->world, run->daemon_count);
}

static uint32_t choose_zone(struct sim_run *run, const struct sim_fault *fault,
                            const struct sim_daemon *actor)
{
    switch (fault->target) {
    case SIM_TARGET_INDEX:
        return fault->index % run->scenario->zones;
    case SIM_TARGET_ACTOR:
        return actor == NULL ? 0 : actor->node.zone;
    case SIM_TARGET_RANDOM:
        return (uint32_t)sim_random_below(run->world, run->scenario->zones);
    default:
        return run->databases[choose_database(run, fault)].node.zone;
    }
}

static void cut_zone(struct sim_run *run, uint32_t zone, time_ns until, bool out, bool in)
{
    for (uint32_t other = 0; other < run->scenario->zones; other++) {
        if (out) {
            sim_network_cut(&run->network, zone, other, until);
        }
        if (in) {
            sim_network_cut(&run->network, other, zone, until);
        }
    }
}

static void cut_pair(struct sim_run *run, time_ns until)
{
    uint32_t zone = run->databases[primary_index(run)].node.zone;
    uint32_t zones = run->scenario->zones;
    uint32_t other = (zone + 1 + (uint32_t)sim_random_below(run->world, zones - 1)) % zones;

    sim_network_cut(&run->network, zone, other, until);
    sim_network_cut(&run->network, other, zone, until);
}

static void restart_database(struct sim_database *database)
{
    if (database->node.alive) {
        return;
    }
    sim_journal(database->node.world, "database %u starts again", database->index);
    sim_node_start(&database->node);
    sim_database_start(database);
}

static void restart_daemon(struct sim_run *run, uint32_t index)
{
    struct sim_daemon *daemon = run->daemons[index];

    if (daemon->node.alive) {
        return;
    }
    sim_journal(run->world, "daemon %u starts again", index);
    sim_node_start(&daemon->node);
    sim_daemon_start(daemon);
    sim_daemon_announce_membership(run);
}

static void kill_daemon(struct sim_run *run, uint32_t index)
{
    if (!run->daemons[index]->node.alive) {
        return;
    }
    sim_daemon_kill(run->daemons[index]);
    sim_client_daemon_died(run, index);
    sim_daemon_announce_membership(run);
}

static void on_fault_over(void *object, const void *payload)
{
    struct sim_run *run = object;
    const struct fault_message *message = payload;
    struct sim_database *database = &run->databases[message->target % run->database_count];

    switch (run->scenario->faults[message->fault].kind) {
    case SIM_FAULT_KILL_DATABASE:
        restart_database(database);
        break;
    case SIM_FAULT_FORGET_DATABASE:
        sim_database_erase(database);
        restart_database(database);
        break;
    case SIM_FAULT_LAG_DATABASE:
        database->options.apply_delay = run->scenario->database.apply_delay;
        break;
    case SIM_FAULT_HOLD_DATABASE:
        database->options.hold_delay = run->scenario->database.hold_delay;
        break;
    case SIM_FAULT_LOSE_REQUESTS:
        database->request_loss = 0;
        break;
    case SIM_FAULT_LOSE_ANSWERS:
        database->answer_loss = 0;
        break;
    case SIM_FAULT_CUT_REPLICATION:
        database->replication_cut = false;
        break;
    case SIM_FAULT_KILL_DAEMON:
        restart_daemon(run, message->target);
        break;
    default:
        break;
    }
}

static void on_drain_request(void *object, const void *payload)
{
    const struct drain_request_message *message = payload;

    sim_daemon_request_drain(object, message->database, message->drain);
}

static void send_drain_request(struct sim_run *run, uint32_t database, bool drain)
{
    struct drain_request_message message = {.database = database, .drain = drain};

    run->databases[database].drained_at = drain ? run->world->now : 0;
    for (uint32_t i = 0; i < run->daemon_count; i++) {
        time_ns delay = sim_random_below(run->world, DRAIN_REQUEST_DELAY_MAX);

        run->daemons[i]->drain_requested[database] = drain;
        sim_node_schedule(&run->daemons[i]->node, run->world->now + delay, on_drain_request,
                          run->daemons[i], &message, sizeof(message));
    }
}

static uint32_t choose_target(struct sim_run *run, const struct sim_fault *fault,
                              const struct sim_daemon *actor)
{
    switch (fault->kind) {
    case SIM_FAULT_CUT_ZONE:
    case SIM_FAULT_CUT_ZONE_OUT:
    case SIM_FAULT_CUT_ZONE_IN:
    case SIM_FAULT_CUT_PAIR:
        return choose_zone(run, fault, actor);
    case SIM_FAULT_KILL_DAEMON:
    case SIM_FAULT_PAUSE_DAEMON:
        return choose_daemon(run, fault, actor);
    default:
        return choose_database(run, fault);
    }
}

static void affect(struct sim_run *run, const struct sim_fault *fault, uint32_t target,
                   time_ns until)
{
    switch (fault->kind) {
    case SIM_FAULT_KILL_DATABASE:
    case SIM_FAULT_FORGET_DATABASE:
        sim_database_kill(&run->databases[target]);
        break;
    case SIM_FAULT_PAUSE_DATABASE:
        sim_node_pause(&run->databases[target].node, until);
        break;
    case SIM_FAULT_LAG_DATABASE:
        run->databases[target].options.apply_delay = fault->amount;
        break;
    case SIM_FAULT_HOLD_DATABASE:
        run->databases[target].options.hold_delay = fault->amount;
        break;
    case SIM_FAULT_LOSE_REQUESTS:
        run->databases[target].request_loss = fault->probability;
        break;
    case SIM_FAULT_LOSE_ANSWERS:
        run->databases[target].answer_loss = fault->probability;
        break;
    case SIM_FAULT_CUT_REPLICATION:
        run->databases[target].replication_cut = true;
        break;
    case SIM_FAULT_CUT_ZONE:
        cut_zone(run, target, until, true, true);
        break;
    case SIM_FAULT_CUT_ZONE_OUT:
        cut_zone(run, target, until, true, false);
        break;
    case SIM_FAULT_CUT_ZONE_IN:
        cut_zone(run, target, until, false, true);
        break;
    case SIM_FAULT_CUT_PAIR:
        cut_pair(run, until);
        break;
    case SIM_FAULT_KILL_DAEMON:
        kill_daemon(run, target);
        break;
    case SIM_FAULT_PAUSE_DAEMON:
        sim_node_pause(&run->daemons[target]->node, until);
        break;
    case SIM_FAULT_DRAIN:
    case SIM_FAULT_UNDRAIN:
        send_drain_request(run, target, fault->kind == SIM_FAULT_DRAIN);
        break;
    case SIM_FAULT_COUNT:
        break;
    }
}

static void fire_at(struct sim_run *run, uint32_t index, uint32_t target)
{
    const struct sim_fault *fault = &run->scenario->faults[index];
    struct fault_message over = {.fault = index, .target = target};
    struct sim_fault_mark mark = {.at = run->world->now, .fault = index, .target = target};
    time_ns until = end_of(run, fault);

    sim_journal(run->world, "fault: %s %u", sim_fault_kind_name(fault->kind), target);
    g_array_append_val(run->history.faults, mark);
    affect(run, fault, target, until);
    sim_node_schedule(&run->operator_node, until, on_fault_over, run, &over, sizeof(over));
}

static void fire(struct sim_run *run, uint32_t index, struct sim_daemon *actor)
{
    const struct sim_fault *fault = &run->scenario->faults[index];

    if (fault->target == SIM_TARGET_ALL) {
        for (uint32_t i = 0; i < run->database_count; i++) {
            fire_at(run, index, i);
        }
        return;
    }
    fire_at(run, index, choose_target(run, fault, actor));
}

void sim_fault_end_all(struct sim_run *run)
{
    run->network.options.datagram_loss = 0;
    run->network.options.stream_stall = 0;
    for (uint32_t from = 0; from < SIM_ZONES_MAX; from++) {
        for (uint32_t to = 0; to < SIM_ZONES_MAX; to++) {
            run->network.cut_until[from][to] = 0;
        }
    }
    for (uint32_t i = 0; i < run->database_count; i++) {
        struct sim_database *database = &run->databases[i];

        database->node.paused_until = 0;
        database->options.apply_delay = run->scenario->database.apply_delay;
        database->options.hold_delay = run->scenario->database.hold_delay;
        database->request_loss = 0;
        database->answer_loss = 0;
        database->replication_cut = false;
        restart_database(database);
    }
    for (uint32_t i = 0; i < run->daemon_count; i++) {
        run->daemons[i]->node.paused_until = 0;
        restart_daemon(run, i);
    }
}
