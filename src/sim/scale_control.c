/* Control of the groups that a hollow daemon owns: the real group_control of each, its probes and
 * commands over a control connection to each database, and opinions to the other owners. Paced as
 * the daemon's control thread and prober do it. */
#include "core/group_opinion_message.h"
#include "sim/scale_fleet_internal.h"

#include <malloc.h>
#include <string.h>
#include <xxhash.h>

/* As in the daemon: probe intervals without a good probe before a primary is suspected, at least;
 * and a command without an answer for so long is lost. */
#define PROBES_BEFORE_SUSPICION 4
#define COMMAND_TIMEOUT         (300 * NANOSECONDS_PER_MILLISECOND)

static time_ns fleet_now(const struct scale_fleet *fleet)
{
    return scale_network_now(fleet->network);
}

/* Names an incarnation of a daemon as a watcher. */
static uint64_t watcher_id(uint64_t member, uint64_t start)
{
    return XXH3_64bits_withSeed(&member, sizeof(member), start);
}

static uint64_t own_watcher_id(const struct scale_daemon *daemon)
{
    return watcher_id(daemon->id, daemon->start);
}

/* -- Questions to databases -- */

static void ask(struct scale_fleet *fleet, struct scale_daemon *daemon,
                const struct scale_question *asked)
{
    struct scale_question *question = g_memdup2(asked, sizeof(*asked));
    uint32_t index = asked->group * SCALE_GROUP_DATABASES + asked->place;
    const struct scale_database *database = &fleet->databases[index];
    bool apart = scale_places_apart(fleet, scale_place_of_daemon(fleet, daemon),
                                    scale_place_of_database(fleet, index));
    struct scale_event event = {
        .kind = SCALE_EVENT_ASK,
        .daemon = daemon->index,
        .life = daemon->life,
        .payload = question,
    };
    question->asked_at = fleet_now(fleet);
    daemon->counters.probes++;
    if (apart ||
        !scale_network_arrival(fleet->network, daemon->zone, database->zone, true, &event.at)) {
        event.kind = SCALE_EVENT_ANSWER;
        event.at = question->asked_at + question->timeout;
        question->result = GROUP_COMMAND_LOST;
    }
    scale_network_add(fleet->network, &event);
}

static void probe(struct scale_fleet *fleet, struct scale_daemon *daemon,
                  struct scale_holding *holding, uint32_t place)
{
    struct scale_probe *probe = &holding->control.probes[place];
    struct scale_question question = {
        .kind = probe->open ? SCALE_QUESTION_STATUS : SCALE_QUESTION_OPEN,
        .group = holding->group,
        .place = place,
        .serial = holding->control.serial,
        .timeout =
            probe->open ? fleet->options.watch.probe_timeout : fleet->options.watch.open_timeout,
    };
    probe->waiting = true;
    probe->next_at = fleet_now(fleet) + daemon->probe_interval;
    ask(fleet, daemon, &question);
}

static void submit(struct scale_fleet *fleet, struct scale_daemon *daemon,
                   const struct scale_holding *holding, const struct group_action *action,
                   enum scale_question_kind kind)
{
    struct scale_question question = {
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
    ask(fleet, daemon, &question);
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

/* The view that routing uses has changed: a new primary is published to those that use it. */
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
        submit(fleet, daemon, holding, action, SCALE_QUESTION_FENCE);
        break;
    case GROUP_ACTION_PROMOTE:
        submit(fleet, daemon, holding, action, SCALE_QUESTION_PROMOTE);
        break;
    case GROUP_ACTION_FOLLOW:
        submit(fleet, daemon, holding, action, SCALE_QUESTION_FOLLOW);
        break;
    case GROUP_ACTION_SET_LEAVING:
        submit(fleet, daemon, holding, action, SCALE_QUESTION_SET_LEAVING);
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

/* Performs the actions of a step; the planned change whose writes have ended, or 0. No write runs
 * in the hollow fleet, so a pause has drained at once. */
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

/* Asks for the group's next event: its machine's, or a probe's. */
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
                       struct scale_holding *holding, const struct scale_question *question)
{
    struct group_event event = {
        .kind = GROUP_EVENT_PROBE,
        .database = question->place,
        .reachable = question->result != GROUP_COMMAND_LOST,
        .round_trip = fleet_now(fleet) - question->asked_at,
        .status = question->status,
    };
    step(fleet, daemon, holding, &event);
}

/* A connection that opens is used at once; one that fails is opened again. */
static void probe_answered(struct scale_fleet *fleet, struct scale_daemon *daemon,
                           struct scale_holding *holding, const struct scale_question *question)
{
    struct scale_probe *probe = &holding->control.probes[question->place];
    bool lost = question->result == GROUP_COMMAND_LOST;
    bool opening = question->kind == SCALE_QUESTION_OPEN;
    probe->waiting = false;
    probe->open = !lost;
    if (opening != lost) {
        probe->next_at = fleet_now(fleet);
    }
    if (opening && !lost) {
        schedule(fleet, daemon, holding);
        return;
    }
    feed_probe(fleet, daemon, holding, question);
}

static void command_answered(struct scale_fleet *fleet, struct scale_daemon *daemon,
                             struct scale_holding *holding, const struct scale_question *question)
{
    struct group_event event = {
        .kind = GROUP_EVENT_COMMAND,
        .database = question->place,
        .command = question->command,
        .result = question->result,
        .status = question->status,
    };
    step(fleet, daemon, holding, &event);
    if (question->result == GROUP_COMMAND_OK) {
        feed_probe(fleet, daemon, holding, question);
    }
}

void scale_control_answered(struct scale_fleet *fleet, struct scale_daemon *daemon,
                            const struct scale_question *question)
{
    struct scale_holding *holding = scale_holdings_find(daemon, question->group);
    if (holding == NULL || holding->control.serial != question->serial) {
        return;
    }
    if (question->kind <= SCALE_QUESTION_STATUS) {
        probe_answered(fleet, daemon, holding, question);
    } else {
        command_answered(fleet, daemon, holding, question);
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

/* Brings the group's next probes forward. */
static void probe_soon(struct scale_fleet *fleet, struct scale_daemon *daemon,
                       struct scale_holding *holding)
{
    for (uint32_t i = 0; i < SCALE_GROUP_DATABASES; i++) {
        struct scale_probe *probe = &holding->control.probes[i];
        probe->next_at = MIN(probe->next_at, fleet_now(fleet));
    }
    schedule(fleet, daemon, holding);
}

void scale_control_pace(struct scale_fleet *fleet, struct scale_daemon *daemon)
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
            probe_soon(fleet, daemon, holding);
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
    scale_control_pace(fleet, daemon);
    schedule(fleet, daemon, holding);
}

void scale_control_end(struct scale_holding *holding)
{
    g_clear_pointer(&holding->control.machine, group_control_free);
}

/* Tells a group's control its watchers, as this daemon's membership knows them. */
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
