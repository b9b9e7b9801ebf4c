/* Control of the groups that a simulated daemon owns: the real group_control of each, with its
 * probes and commands over a control connection to each database, and opinions to the other owners.
 * The timing is that of the daemon's control thread and prober. */
#include "core/group_opinion_message.h"
#include "sim/scale_fleet_internal.h"

#include <malloc.h>
#include <string.h>
#include <xxhash.h>

/* As in the daemon: the least number of probe intervals without a successful probe before a primary
 * is suspected, and the time-out of a command. */
#define PROBES_BEFORE_SUSPICION 4
#define COMMAND_TIMEOUT         (300 * NANOSECONDS_PER_MILLISECOND)

static time_ns fleet_now(const struct scale_fleet *fleet)
{
    return scale_network_now(fleet->network);
}

/* The watcher id of an incarnation of a daemon. */
static uint64_t watcher_id(uint64_t member, uint64_t start)
{
    return XXH3_64bits_withSeed(&member, sizeof(member), start);
}

static uint64_t own_watcher_id(const struct scale_daemon *daemon)
{
    return watcher_id(daemon->id, daemon->start);
}

/* -- Requests to databases -- */

static void send_request(struct scale_fleet *fleet, struct scale_daemon *daemon,
                         const struct scale_database_request *asked)
{
    struct scale_database_request *request = g_memdup2(asked, sizeof(*asked));
    uint32_t index = asked->group * SCALE_GROUP_DATABASES + asked->place;
    const struct scale_database *database = &fleet->databases[index];
    bool apart = scale_places_partitioned(fleet, scale_place_of_daemon(fleet, daemon),
                                          scale_place_of_database(fleet, index));
    struct scale_event event = {
        .kind = SCALE_EVENT_REQUEST,
        .daemon = daemon->index,
        .life = daemon->life,
        .payload = request,
    };
    request->sent_at = fleet_now(fleet);
    daemon->counters.probes++;
    if (apart ||
        !scale_network_arrival(fleet->network, daemon->zone, database->zone, true, &event.at)) {
        event.kind = SCALE_EVENT_REPLY;
        event.at = request->sent_at + request->timeout;
        request->result = GROUP_COMMAND_LOST;
    }
    scale_network_add(fleet->network, &event);
}

static void probe(struct scale_fleet *fleet, struct scale_daemon *daemon,
                  struct scale_holding *holding, uint32_t place)
{
    struct scale_probe *probe = &holding->control.probes[place];
    struct scale_database_request request = {
        .kind = probe->open ? SCALE_REQUEST_STATUS : SCALE_REQUEST_OPEN,
        .group = holding->group,
        .place = place,
        .serial = holding->control.serial,
        .timeout =
            probe->open ? fleet->options.watch.probe_timeout : fleet->options.watch.open_timeout,
    };
    probe->waiting = true;
    probe->next_at = fleet_now(fleet) + daemon->probe_interval;
    send_request(fleet, daemon, &request);
}

static void submit(struct scale_fleet *fleet, struct scale_daemon *daemon,
                   const struct scale_holding *holding, const struct group_action *action,
                   enum scale_request_kind kind)
{
    struct scale_database_request request = {
        .kind = kind,
        .group = holding->group,
        .place = action->database,
        .serial = holding->control.serial,
        .command = action->command,
        .term = action->term,
        .coordinator = own_watcher_id(daemon),
        .leaving = action->leaving,
        .timeout = COMMAND_TIMEOUT,
    };
    send_request(fleet, daemon, &request);
}

/* -- Actions -- */

static void send_opinion(struct scale_fleet *fleet, struct scale_daemon *daemon, uint32_t group,
                         const struct group_opinion *opinion)
{
    uint64_t owners[OWNERSHIP_OWNERS_MAX];
    size_t count = ownership_owners(daemon->ownership, group, owners);
    struct message message;
    message_init(&message, MESSAGE_KIND_OPINION);
    message.opinion = group_opinion_to_message(opinion, group);
    for (size_t i = 0; i < count; i++) {
        if (owners[i] != daemon->id) {
            struct scale_daemon *to = scale_daemon_of_id(fleet, owners[i]);
            scale_transport_send(fleet, daemon, to, &message, SCALE_TRAFFIC_OPINION, false);
        }
    }
}

/* Publishes a changed view to the daemons that route by it. */
static void publish_view(struct scale_fleet *fleet, struct scale_daemon *daemon,
                         struct scale_holding *holding)
{
    const struct group_view *view = group_control_view(holding->control.machine);
    if (view->primary < 0 || view->term <= holding->control.learned) {
        return;
    }
    holding->control.learned = view->term;
    scale_observe_learned(fleet, daemon, holding);
    struct group_status status = {
        .group = holding->group,
        .term = view->term,
        .revision = 1,
        .primary = 1 + (uint32_t)view->primary,
    };
    scale_daemon_publish_status(fleet, daemon, &status);
}

static void perform(struct scale_fleet *fleet, struct scale_daemon *daemon,
                    struct scale_holding *holding, const struct group_action *action)
{
    switch (action->kind) {
    case GROUP_ACTION_PROBE:
        holding->control.probes[action->database].next_at = fleet_now(fleet);
        break;
    case GROUP_ACTION_FENCE:
        submit(fleet, daemon, holding, action, SCALE_REQUEST_FENCE);
        break;
    case GROUP_ACTION_PROMOTE:
        submit(fleet, daemon, holding, action, SCALE_REQUEST_PROMOTE);
        break;
    case GROUP_ACTION_FOLLOW:
        submit(fleet, daemon, holding, action, SCALE_REQUEST_FOLLOW);
        break;
    case GROUP_ACTION_SET_LEAVING:
        submit(fleet, daemon, holding, action, SCALE_REQUEST_SET_LEAVING);
        break;
    case GROUP_ACTION_SEND_OPINION:
        send_opinion(fleet, daemon, holding->group, &action->opinion);
        break;
    case GROUP_ACTION_PUBLISH_VIEW:
        publish_view(fleet, daemon, holding);
        break;
    case GROUP_ACTION_RECORD_EVENT:
        scale_observe_record(fleet, daemon, holding->group, &action->record);
        break;
    }
}

/* Performs the actions of a step. Returns the planned change whose writes have ended, or 0. No
 * writes run in the simulated fleet, so a pause is drained at once. */
static uint64_t perform_all(struct scale_fleet *fleet, struct scale_daemon *daemon,
                            struct scale_holding *holding, const struct group_actions *actions)
{
    uint64_t drained = 0;
    for (uint32_t i = 0; i < actions->count; i++) {
        const struct group_action *action = &actions->items[i];
        perform(fleet, daemon, holding, action);
        if (action->kind == GROUP_ACTION_PUBLISH_VIEW && action->change != 0) {
            drained = action->change;
        }
    }
    return drained;
}

/* -- Steps -- */

/* Schedules the group's next event: of its control or of a probe. */
static void schedule(struct scale_fleet *fleet, struct scale_daemon *daemon,
                     struct scale_holding *holding)
{
    struct scale_control *control = &holding->control;
    time_ns now = fleet_now(fleet);
    time_ns next = MAX(control->wake_at, now + 1);
    for (uint32_t i = 0; i < SCALE_GROUP_DATABASES; i++) {
        if (!control->probes[i].waiting) {
            next = MIN(next, MAX(control->probes[i].next_at, now));
        }
    }
    if (control->event_at >= now && control->event_at <= next) {
        return;
    }
    control->event_at = next;
    struct scale_event event = {
        .at = next,
        .kind = SCALE_EVENT_CONTROL,
        .daemon = daemon->index,
        .life = daemon->life,
        .from = control->serial,
        .number = holding->group,
    };
    scale_network_add(fleet->network, &event);
}

static void step(struct scale_fleet *fleet, struct scale_daemon *daemon,
                 struct scale_holding *holding, const struct group_event *event)
{
    struct group_event next = *event;
    do {
        struct group_actions actions;
        next.now = fleet_now(fleet);
        group_control_step(holding->control.machine, &next, &actions);
        holding->control.wake_at = actions.wake_at;
        next = (struct group_event){
            .kind = GROUP_EVENT_WRITES_DRAINED,
            .change = perform_all(fleet, daemon, holding, &actions),
        };
    } while (next.change != 0);
    schedule(fleet, daemon, holding);
}

void scale_control_due(struct scale_fleet *fleet, struct scale_daemon *daemon,
                       const struct scale_event *event)
{
    struct scale_holding *holding = scale_holdings_find(daemon, (uint32_t)event->number);
    bool current = holding != NULL && holding->control.serial == event->from &&
                   event->at >= holding->control.event_at;
    if (!current) {
        return;
    }
    struct scale_control *control = &holding->control;
    time_ns now = fleet_now(fleet);
    control->event_at = 0;
    for (uint32_t i = 0; i < SCALE_GROUP_DATABASES; i++) {
        if (!control->probes[i].waiting && now >= control->probes[i].next_at) {
            probe(fleet, daemon, holding, i);
        }
    }
    if (now >= control->wake_at) {
        struct group_event tick = {.kind = GROUP_EVENT_TICK};
        step(fleet, daemon, holding, &tick);
        return;
    }
    schedule(fleet, daemon, holding);
}

static void feed_probe(struct scale_fleet *fleet, struct scale_daemon *daemon,
                       struct scale_holding *holding, const struct scale_database_request *request)
{
    struct group_event event = {
        .kind = GROUP_EVENT_PROBE,
        .database = request->place,
        .reachable = request->result != GROUP_COMMAND_LOST,
        .round_trip = fleet_now(fleet) - request->sent_at,
        .status = request->status,
    };
    step(fleet, daemon, holding, &event);
}

/* A connection that has opened is probed at once; one that has failed is opened again. */
static void probe_answered(struct scale_fleet *fleet, struct scale_daemon *daemon,
                           struct scale_holding *holding,
                           const struct scale_database_request *request)
{
    struct scale_probe *probe = &holding->control.probes[request->place];
    bool lost = request->result == GROUP_COMMAND_LOST;
    bool opening = request->kind == SCALE_REQUEST_OPEN;
    probe->waiting = false;
    probe->open = !lost;
    if (opening != lost) {
        probe->next_at = fleet_now(fleet);
    }
    if (opening && !lost) {
        schedule(fleet, daemon, holding);
        return;
    }
    feed_probe(fleet, daemon, holding, request);
}

static void command_answered(struct scale_fleet *fleet, struct scale_daemon *daemon,
                             struct scale_holding *holding,
                             const struct scale_database_request *request)
{
    struct group_event event = {
        .kind = GROUP_EVENT_COMMAND,
        .database = request->place,
        .command = request->command,
        .result = request->result,
        .status = request->status,
    };
    step(fleet, daemon, holding, &event);
    if (request->result == GROUP_COMMAND_OK) {
        feed_probe(fleet, daemon, holding, request);
    }
}

void scale_control_answered(struct scale_fleet *fleet, struct scale_daemon *daemon,
                            const struct scale_database_request *request)
{
    struct scale_holding *holding = scale_holdings_find(daemon, request->group);
    if (holding == NULL || holding->control.serial != request->serial) {
        return;
    }
    if (request->kind <= SCALE_REQUEST_STATUS) {
        probe_answered(fleet, daemon, holding, request);
    } else {
        command_answered(fleet, daemon, holding, request);
    }
}

void scale_control_opinion(struct scale_fleet *fleet, struct scale_daemon *daemon,
                           const struct watcher_opinion *opinion)
{
    struct scale_holding *holding = scale_holdings_find(daemon, opinion->group);
    if (holding == NULL || holding->control.machine == NULL) {
        return;
    }
    struct group_event event = group_opinion_event(opinion);
    step(fleet, daemon, holding, &event);
}

/* -- Begin, end and owners -- */

/* Schedules the group's next probes for now. */
static void schedule_probes_now(struct scale_fleet *fleet, struct scale_daemon *daemon,
                                struct scale_holding *holding)
{
    for (uint32_t i = 0; i < SCALE_GROUP_DATABASES; i++) {
        struct scale_probe *probe = &holding->control.probes[i];
        probe->next_at = MIN(probe->next_at, fleet_now(fleet));
    }
    schedule(fleet, daemon, holding);
}

void scale_control_update_probe_interval(struct scale_fleet *fleet, struct scale_daemon *daemon)
{
    if (!fleet->options.watch.enabled) {
        return;
    }
    const struct scale_watch_settings *settings = &fleet->options.watch;
    uint32_t databases = g_hash_table_size(daemon->holdings) * SCALE_GROUP_DATABASES;
    time_ns spread = databases * NANOSECONDS_PER_SECOND / settings->probes_per_second;
    time_ns before = daemon->probe_interval;
    daemon->probe_interval = MAX(settings->probe_interval, spread);
    time_ns after = MAX(settings->suspect_after, daemon->probe_interval * PROBES_BEFORE_SUSPICION);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, daemon->holdings);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct scale_holding *holding = value;
        group_control_set_detection(holding->control.machine, after, after);
        if (daemon->probe_interval < before) {
            schedule_probes_now(fleet, daemon, holding);
        }
    }
}

void scale_control_begin(struct scale_fleet *fleet, struct scale_daemon *daemon,
                         struct scale_holding *holding)
{
    if (!fleet->options.watch.enabled) {
        return;
    }
    const struct ownership_group *group = &fleet->groups[holding->group].ownership;
    struct group_control_options options;
    group_control_options_init(&options);
    options.group = holding->group;
    options.watcher = own_watcher_id(daemon);
    options.zone = daemon->zone;
    options.preferred_zone = -1;
    options.database_count = SCALE_GROUP_DATABASES;
    options.seed = XXH3_64bits_withSeed(&holding->group, sizeof(holding->group), options.watcher);
    options.suspect_after = fleet->options.watch.suspect_after;
    for (uint32_t i = 0; i < SCALE_GROUP_DATABASES; i++) {
        options.database_zone[i] = group->zones[i];
        holding->control.probes[i].next_at = fleet_now(fleet);
    }
    fleet->last_serial++;
    holding->control.serial = fleet->last_serial;
    holding->control.began_at = fleet_now(fleet);
    holding->control.machine = group_control_new(&options, fleet_now(fleet));
    scale_control_update_probe_interval(fleet, daemon);
    schedule(fleet, daemon, holding);
}

void scale_control_end(struct scale_holding *holding)
{
    g_clear_pointer(&holding->control.machine, group_control_free);
}

/* Passes the watchers to a group's control, as this daemon's membership knows them. */
static void set_watchers(struct scale_fleet *fleet, struct scale_daemon *daemon,
                         struct scale_holding *holding)
{
    uint64_t owners[OWNERSHIP_OWNERS_MAX];
    size_t count = ownership_owners(daemon->ownership, holding->group, owners);
    struct group_event event = {.kind = GROUP_EVENT_WATCHERS};
    for (size_t i = 0; i < count; i++) {
        struct member member = membership_self(daemon->membership);
        if (owners[i] == daemon->id || membership_find(daemon->membership, owners[i], &member)) {
            struct group_watcher watcher = {watcher_id(member.id, member.start), member.zone};
            event.watchers[event.watcher_count] = watcher;
            event.watcher_count++;
        }
    }
    step(fleet, daemon, holding, &event);
}

void scale_control_owners_changed(struct scale_fleet *fleet, struct scale_daemon *daemon)
{
    if (!fleet->options.watch.enabled) {
        return;
    }
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, daemon->holdings);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        set_watchers(fleet, daemon, value);
    }
}

size_t scale_control_memory(const struct scale_daemon *daemon)
{
    size_t memory = 0;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, daemon->holdings);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        memory += malloc_usable_size(((struct scale_holding *)value)->control.machine);
    }
    return memory;
}

bool scale_fleet_leads(const struct scale_fleet *fleet, uint32_t index, uint32_t group)
{
    const struct scale_daemon *daemon = &fleet->daemons[index];
    if (!daemon->running || ownership_position(daemon->ownership, group) < 0) {
        return false;
    }
    const struct scale_holding *holding = scale_holdings_find(daemon, group);
    return holding != NULL && holding->control.machine != NULL &&
           group_control_view(holding->control.machine)->primary >= 0;
}
