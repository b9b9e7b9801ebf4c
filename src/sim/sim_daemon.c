/* Group control of a simulated daemon: probes, commands, opinions, membership, views. */
#include "sim/sim_daemon.h"

#include <string.h>

#include "trace/trace_file.h"

#define PROBE_INTERVAL  (100 * SIM_MILLISECOND)
#define PROBE_TIMEOUT   (300 * SIM_MILLISECOND)
#define COMMAND_TIMEOUT (200 * SIM_MILLISECOND)
/* Other daemons learn that a watcher is dead or new after a random time between these bounds. */
#define MEMBERSHIP_DELAY_MIN (500 * SIM_MILLISECOND)
#define MEMBERSHIP_DELAY_MAX (3000 * SIM_MILLISECOND)

struct probe_message {
    uint32_t database;
    uint64_t number;
};

struct watchers_message {
    uint32_t count;
    struct group_watcher watchers[GROUP_WATCHERS_MAX];
};

struct opinion_message {
    struct group_opinion opinion;
};

struct wake_message {
    time_ns at;
};

static void perform(struct sim_daemon *daemon, const struct group_actions *actions, uint32_t first);

/* Looks a command up by its id: the core numbers its commands from 1, without gaps. */
static const struct trace_command *issued_command(const struct sim_daemon *daemon, uint64_t id)
{
    if (id == 0 || id > daemon->issued->len) {
        return NULL;
    }
    return &g_array_index(daemon->issued, struct trace_command, id - 1);
}

static bool traced(const struct sim_run *run)
{
    return run->trace != NULL && run->world->now <= run->trace_until;
}

static void trace_event(const struct sim_daemon *daemon, const struct group_event *event)
{
    const struct trace_command *command = NULL;

    if (!traced(daemon->run)) {
        return;
    }
    if (event->kind == GROUP_EVENT_COMMAND) {
        command = issued_command(daemon, event->command);
    }
    trace_write_event(daemon->run->trace, daemon->index, event, command);
}

void sim_daemon_feed(struct sim_daemon *daemon, struct group_event *event)
{
    struct group_actions actions;

    event->now = daemon->node.world->now;
    trace_event(daemon, event);
    group_control_step(daemon->control, event, &actions);
    perform(daemon, &actions, 0);
}

/* The actions that remained when a fault paused the daemon. */
struct remaining_actions {
    struct group_actions actions;
    uint32_t first;
};

static void on_rest(void *object, const void *payload)
{
    const struct remaining_actions *message = payload;

    perform(object, &message->actions, message->first);
}

static void postpone(struct sim_daemon *daemon, const struct group_actions *actions, uint32_t first)
{
    struct remaining_actions *message = g_new0(struct remaining_actions, 1);

    message->actions = *actions;
    message->first = first;
    sim_node_schedule(&daemon->node, daemon->node.paused_until, on_rest, daemon, message,
                      sizeof(*message));
    g_free(message);
}

static void on_wake(void *object, const void *payload)
{
    struct sim_daemon *daemon = object;
    const struct wake_message *message = payload;
    struct group_event event = {.kind = GROUP_EVENT_TICK};

    if (message->at != daemon->wake_at) {
        return;
    }
    daemon->wake_at = 0;
    sim_daemon_feed(daemon, &event);
}

static void schedule_wake(struct sim_daemon *daemon, time_ns at)
{
    struct wake_message message = {.at = at};

    if (daemon->wake_at != 0 && daemon->wake_at <= at) {
        return;
    }
    daemon->wake_at = at;
    sim_node_schedule(&daemon->node, at, on_wake, daemon, &message, sizeof(message));
}

static void probe_ended(struct sim_daemon *daemon, uint32_t database, uint64_t number,
                        struct group_event *event)
{
    struct sim_probe_state *state = &daemon->probes[database];

    if (number <= state->last_ended) {
        return;
    }
    state->last_ended = number;
    event->kind = GROUP_EVENT_PROBE;
    event->database = database;
    sim_daemon_feed(daemon, event);
}

/* A probe's tag is the time at which it was sent. */
static void on_probe_reply(void *object, const void *payload)
{
    struct sim_daemon *daemon = object;
    const struct sim_database_reply *reply = payload;
    struct group_event event = {
        .reachable = true,
        .round_trip = daemon->node.world->now - reply->tag,
        .status = reply->status,
    };

    probe_ended(daemon, reply->database, reply->request_id, &event);
}

static void on_probe_timeout(void *object, const void *payload)
{
    const struct probe_message *message = payload;
    struct group_event event = {.reachable = false};

    probe_ended(object, message->database, message->number, &event);
}

void sim_daemon_probe_now(struct sim_daemon *daemon, uint32_t database)
{
    struct sim_world *world = daemon->node.world;
    struct sim_probe_state *state = &daemon->probes[database];
    struct probe_message message = {.database = database, .number = state->last_sent + 1};
    struct sim_database_request request = {
        .kind = SIM_REQUEST_STATUS,
        .from = &daemon->node,
        .from_incarnation = daemon->node.incarnation,
        .on_reply = on_probe_reply,
        .object = daemon,
        .tag = world->now,
        .request_id = message.number,
    };

    state->last_sent += 1;
    sim_database_send_datagram(&daemon->run->databases[database], &request);
    sim_node_schedule(&daemon->node, world->now + PROBE_TIMEOUT, on_probe_timeout, daemon, &message,
                      sizeof(message));
}

static void on_probe_interval(void *object, const void *payload)
{
    struct sim_daemon *daemon = object;
    uint32_t database = *(const uint32_t *)payload;

    sim_daemon_probe_now(daemon, database);
    sim_node_schedule(&daemon->node, daemon->node.world->now + PROBE_INTERVAL, on_probe_interval,
                      daemon, &database, sizeof(database));
}

/* Removes the command from the outstanding ones; false if it had ended before. */
static bool end_command(struct sim_daemon *daemon, uint64_t id)
{
    for (uint32_t i = 0; i < SIM_COMMANDS_MAX; i++) {
        if (daemon->commands[i].id == id) {
            daemon->commands[i].id = 0;
            return true;
        }
    }
    return false;
}

static void on_command_reply(void *object, const void *payload)
{
    struct sim_daemon *daemon = object;
    const struct sim_database_reply *reply = payload;
    struct group_event event = {
        .kind = GROUP_EVENT_COMMAND,
        .command = reply->tag,
        .result = reply->result == SIM_RESULT_OK ? GROUP_COMMAND_OK : GROUP_COMMAND_REFUSED,
        .status = reply->status,
    };

    /* A reply after the time-out is passed on as well, because the core must recognise it as late.
     */
    end_command(daemon, reply->tag);
    sim_daemon_feed(daemon, &event);
}

static void on_command_timeout(void *object, const void *payload)
{
    struct sim_daemon *daemon = object;
    uint64_t id = *(const uint64_t *)payload;
    struct group_event event = {
        .kind = GROUP_EVENT_COMMAND,
        .command = id,
        .result = GROUP_COMMAND_LOST,
    };

    if (end_command(daemon, id)) {
        sim_daemon_feed(daemon, &event);
    }
}

static void add_command(struct sim_daemon *daemon, uint64_t id)
{
    for (uint32_t i = 0; i < SIM_COMMANDS_MAX; i++) {
        if (daemon->commands[i].id == 0) {
            daemon->commands[i].id = id;
            return;
        }
    }
    g_assert_not_reached();
}

/* Records an issued command. Commands are issued out of order only where a fault interrupted a
 * step. */
static void record_issued(struct sim_daemon *daemon, const struct group_action *action)
{
    struct trace_command command = {
        .kind = action->kind,
        .database = action->database,
        .term = action->term,
    };

    if (daemon->issued->len < action->command) {
        g_array_set_size(daemon->issued, (guint)action->command);
    }
    g_array_index(daemon->issued, struct trace_command, action->command - 1) = command;
}

static void send_command(struct sim_daemon *daemon, const struct group_action *action)
{
    struct sim_database_request request = {
        .from = &daemon->node,
        .from_incarnation = daemon->node.incarnation,
        .on_reply = on_command_reply,
        .object = daemon,
        .tag = action->command,
        .term = action->term,
        .coordinator = daemon->watcher,
        .primary = action->primary,
        .leaving = action->leaving,
        .order = action->order,
    };

    switch (action->kind) {
    case GROUP_ACTION_FENCE:
        request.kind = SIM_REQUEST_FENCE;
        break;
    case GROUP_ACTION_PROMOTE:
        request.kind = SIM_REQUEST_PROMOTE;
        break;
    case GROUP_ACTION_FOLLOW:
        request.kind = SIM_REQUEST_FOLLOW;
        break;
    default:
        request.kind = SIM_REQUEST_SET_LEAVING;
        break;
    }
    add_command(daemon, action->command);
    record_issued(daemon, action);
    sim_database_send(&daemon->run->databases[action->database], &request);
    sim_node_schedule(&daemon->node, daemon->node.world->now + COMMAND_TIMEOUT, on_command_timeout,
                      daemon, &action->command, sizeof(action->command));
}

static void on_opinion(void *object, const void *payload)
{
    const struct opinion_message *message = payload;
    struct group_event event = {.kind = GROUP_EVENT_OPINION, .opinion = message->opinion};

    sim_daemon_feed(object, &event);
}

static void send_opinion(struct sim_daemon *daemon, const struct group_opinion *opinion)
{
    struct opinion_message message = {.opinion = *opinion};

    for (uint32_t i = 0; i < daemon->run->daemon_count; i++) {
        struct sim_daemon *peer = daemon->run->daemons[i];

        if (peer == daemon || !peer->node.alive) {
            continue;
        }
        sim_network_send_datagram(&daemon->run->network, daemon->node.zone, &peer->node,
                                  peer->node.incarnation, on_opinion, peer, &message,
                                  sizeof(message));
    }
}

static void publish(struct sim_daemon *daemon, uint64_t change)
{
    const struct group_view *view = group_control_view(daemon->control);
    bool primary_changed = view->primary != daemon->view.primary ||
                           view->term != daemon->view.term ||
                           view->writes_paused != daemon->view.writes_paused;

    daemon->view = *view;
    if (change != 0) {
        daemon->drain_change = change;
    }
    sim_daemon_view_changed(daemon, primary_changed);
}

static void record(struct sim_daemon *daemon, const struct group_record *record)
{
    struct sim_record entry = {
        .at = daemon->node.world->now,
        .daemon = daemon->index,
        .record = *record,
    };

    g_array_append_val(daemon->run->history.records, entry);
    sim_journal(daemon->node.world, "daemon %u: %s term %" G_GUINT64_FORMAT " database %d (%s)",
                daemon->index, group_record_kind_name(record->kind), record->term, record->database,
                group_reason_name(record->reason));
    switch (record->kind) {
    case GROUP_RECORD_FENCE_STARTED:
        sim_fault_trigger(daemon->run, SIM_TRIGGER_FENCE_STARTED, daemon);
        break;
    case GROUP_RECORD_FENCE_MAJORITY:
        sim_fault_trigger(daemon->run, SIM_TRIGGER_FENCE_MAJORITY, daemon);
        break;
    case GROUP_RECORD_PROMOTED:
        sim_fault_trigger(daemon->run, SIM_TRIGGER_PROMOTED, daemon);
        break;
    case GROUP_RECORD_CHANGE_STARTED:
        sim_fault_trigger(daemon->run, SIM_TRIGGER_CHANGE_STARTED, daemon);
        break;
    default:
        break;
    }
}

static void perform_one(struct sim_daemon *daemon, const struct group_action *action)
{
    switch (action->kind) {
    case GROUP_ACTION_PROBE:
        sim_daemon_probe_now(daemon, action->database);
        break;
    case GROUP_ACTION_FENCE:
    case GROUP_ACTION_PROMOTE:
    case GROUP_ACTION_FOLLOW:
    case GROUP_ACTION_SET_LEAVING:
        send_command(daemon, action);
        break;
    case GROUP_ACTION_SEND_OPINION:
        send_opinion(daemon, &action->opinion);
        break;
    case GROUP_ACTION_PUBLISH_VIEW:
        publish(daemon, action->change);
        break;
    case GROUP_ACTION_RECORD_EVENT:
        record(daemon, &action->record);
        break;
    }
}

/* Performs the actions of a step. A fault triggered by a record may kill or pause this daemon
 * between two actions. */
static void perform(struct sim_daemon *daemon, const struct group_actions *actions, uint32_t first)
{
    uint64_t incarnation = daemon->node.incarnation;

    for (uint32_t i = first; i < actions->count; i++) {
        if (!daemon->node.alive || daemon->node.incarnation != incarnation) {
            return;
        }
        if (daemon->node.paused_until > daemon->node.world->now) {
            postpone(daemon, actions, i);
            return;
        }
        perform_one(daemon, &actions->items[i]);
    }
    if (daemon->node.alive && daemon->node.incarnation == incarnation) {
        schedule_wake(daemon, actions->wake_at);
        sim_daemon_check_drained(daemon);
    }
}

static void on_drained(void *object, const void *payload)
{
    struct sim_daemon *daemon = object;
    struct group_event event = {
        .kind = GROUP_EVENT_WRITES_DRAINED,
        .change = *(const uint64_t *)payload,
    };

    sim_daemon_feed(daemon, &event);
}

void sim_daemon_check_drained(struct sim_daemon *daemon)
{
    uint64_t change = daemon->drain_change;

    if (change == 0 || daemon->transactions->len > 0) {
        return;
    }
    for (guint i = 0; i < daemon->running->len; i++) {
        const struct sim_flow *flow = g_ptr_array_index(daemon->running, i);

        if (flow->request.work != SIM_WORK_READ) {
            return;
        }
    }
    daemon->drain_change = 0;
    sim_node_schedule(&daemon->node, daemon->node.world->now, on_drained, daemon, &change,
                      sizeof(change));
}

static void on_watchers(void *object, const void *payload)
{
    const struct watchers_message *message = payload;
    struct group_event event = {.kind = GROUP_EVENT_WATCHERS, .watcher_count = message->count};

    memcpy(event.watchers, message->watchers, sizeof(event.watchers));
    sim_daemon_feed(object, &event);
    sim_slots_set_owners(object, message->watchers, message->count);
}

void sim_daemon_announce_membership(struct sim_run *run)
{
    struct watchers_message message = {0};

    for (uint32_t i = 0; i < run->daemon_count; i++) {
        if (run->daemons[i]->node.alive) {
            message.watchers[message.count].id = run->daemons[i]->watcher;
            message.watchers[message.count].zone = run->daemons[i]->node.zone;
            message.count += 1;
        }
    }
    for (uint32_t i = 0; i < run->daemon_count; i++) {
        time_ns spread = MEMBERSHIP_DELAY_MAX - MEMBERSHIP_DELAY_MIN;
        time_ns delay = MEMBERSHIP_DELAY_MIN + sim_random_below(run->world, spread);

        if (run->daemons[i]->node.alive) {
            sim_node_schedule(&run->daemons[i]->node, run->world->now + delay, on_watchers,
                              run->daemons[i], &message, sizeof(message));
        }
    }
}

void sim_daemon_request_drain(struct sim_daemon *daemon, uint32_t database, bool drain)
{
    struct group_event event = {
        .kind = drain ? GROUP_EVENT_DRAIN : GROUP_EVENT_UNDRAIN,
        .database = database,
        .order = daemon->node.world->now / (NANOSECONDS_PER_MILLISECOND / 1000),
    };

    daemon->drain_requested[database] = drain;
    if (daemon->node.alive) {
        sim_daemon_feed(daemon, &event);
    }
}

static void control_options(const struct sim_daemon *daemon, struct group_control_options *options)
{
    const struct sim_run *run = daemon->run;

    group_control_options_init(options);
    options->group = 1;
    options->watcher = daemon->watcher;
    options->zone = daemon->node.zone;
    options->seed = run->seed;
    options->database_count = run->database_count;
    for (uint32_t i = 0; i < run->database_count; i++) {
        options->database_zone[i] = run->databases[i].node.zone;
    }
    options->single_watcher_deposes = run->mutation == SIM_MUTATION_SINGLE_WATCHER_DEPOSES;
    options->no_fence = run->mutation == SIM_MUTATION_NO_FENCE;
    options->ignore_leaving = run->mutation == SIM_MUTATION_IGNORE_LEAVING;
    options->no_pause = run->mutation == SIM_MUTATION_NO_PAUSE;
    options->trust_forgetful = run->mutation == SIM_MUTATION_TRUST_FORGETFUL;
    options->ignore_stalled_replication = run->mutation == SIM_MUTATION_IGNORE_STALLED_REPLICATION;
}

struct sim_daemon *sim_daemon_new(struct sim_run *run, uint32_t index, uint32_t zone)
{
    struct sim_daemon *daemon = g_new0(struct sim_daemon, 1);

    daemon->run = run;
    daemon->index = index;
    sim_node_init(&daemon->node, run->world, zone);
    daemon->waiting = g_ptr_array_new();
    daemon->running = g_ptr_array_new();
    daemon->transactions = g_ptr_array_new();
    daemon->issued = g_array_new(FALSE, TRUE, sizeof(struct trace_command));
    for (uint32_t i = 0; i < GROUP_DATABASES_MAX; i++) {
        daemon->idle[i] = g_ptr_array_new();
    }
    return daemon;
}

void sim_daemon_free(struct sim_daemon *daemon)
{
    group_control_free(daemon->control);
    sim_admission_clear(daemon);
    g_ptr_array_unref(daemon->waiting);
    g_ptr_array_unref(daemon->running);
    g_ptr_array_unref(daemon->transactions);
    g_array_unref(daemon->issued);
    for (uint32_t i = 0; i < GROUP_DATABASES_MAX; i++) {
        g_ptr_array_unref(daemon->idle[i]);
    }
    g_free(daemon);
}

void sim_daemon_start(struct sim_daemon *daemon)
{
    struct sim_world *world = daemon->node.world;
    struct group_control_options options;

    daemon->watcher = sim_world_next_id(world);
    daemon->wake_at = 0;
    daemon->drain_change = 0;
    memset(daemon->commands, 0, sizeof(daemon->commands));
    memset(daemon->probes, 0, sizeof(daemon->probes));
    g_ptr_array_set_size(daemon->waiting, 0);
    g_ptr_array_set_size(daemon->running, 0);
    g_ptr_array_set_size(daemon->transactions, 0);
    g_array_set_size(daemon->issued, 0);
    group_control_free(daemon->control);
    control_options(daemon, &options);
    daemon->control = group_control_new(&options, world->now);
    daemon->view = *group_control_view(daemon->control);
    if (traced(daemon->run)) {
        trace_write_start(daemon->run->trace, daemon->index, world->now, &options);
    }
    for (uint32_t i = 0; i < daemon->run->database_count; i++) {
        time_ns phase = sim_random_below(world, PROBE_INTERVAL);

        g_ptr_array_set_size(daemon->idle[i], 0);
        sim_node_schedule(&daemon->node, world->now + phase, on_probe_interval, daemon, &i,
                          sizeof(i));
        if (daemon->drain_requested[i]) {
            sim_daemon_request_drain(daemon, i, true);
        }
    }
    schedule_wake(daemon, world->now);
    sim_admission_start(daemon);
}

void sim_daemon_kill(struct sim_daemon *daemon)
{
    sim_node_kill(&daemon->node);
    sim_admission_clear(daemon);
}
