/* The groups that simulated daemons own: their budgets, the notices between owners, and the
 * databases' side of the connections, which counts every violation of a limit. */
#include "sim/scale_fleet_internal.h"

/* A connection event's number holds the database's index in its high bits and the connection's
 * number in its low bits. */
#define NUMBER_BITS 8

/* Time for work in progress to end before a connection closes. */
#define DRAIN_TIME (5 * NANOSECONDS_PER_MILLISECOND)

/* Time-out of a connect to a database that does not respond. */
#define CONNECT_TIMEOUT (1 * NANOSECONDS_PER_SECOND)

void scale_holdings_init(struct scale_fleet *fleet)
{
    budget_options_for(&fleet->budget, fleet->options.connection_limit, SCALE_GROUP_DATABASES);
    fleet->databases = g_new0(struct scale_database, fleet->group_count * SCALE_GROUP_DATABASES);
    for (uint32_t i = 0; i < fleet->group_count * SCALE_GROUP_DATABASES; i++) {
        struct scale_database *database = &fleet->databases[i];
        const struct ownership_group *group = &fleet->groups[i / SCALE_GROUP_DATABASES].ownership;
        database->zone = group->zones[i % SCALE_GROUP_DATABASES];
        for (uint32_t number = 0; number < BUDGET_CONNECTIONS_MAX; number++) {
            database->holder[number] = -1;
        }
    }
}

struct scale_holding *scale_holdings_find(const struct scale_daemon *daemon, uint32_t group)
{
    return g_hash_table_lookup(daemon->holdings, GUINT_TO_POINTER(group));
}

static struct scale_holding *obtain_holding(struct scale_fleet *fleet, struct scale_daemon *daemon,
                                            uint32_t group)
{
    struct scale_holding *holding = scale_holdings_find(daemon, group);
    if (holding == NULL) {
        holding = g_new0(struct scale_holding, 1);
        holding->group = group;
        for (uint32_t i = 0; i < SCALE_GROUP_DATABASES; i++) {
            holding->budgets[i] = budget_new(&fleet->budget);
        }
        g_hash_table_insert(daemon->holdings, GUINT_TO_POINTER(group), holding);
        scale_control_begin(fleet, daemon, holding);
    }
    return holding;
}

static void holding_free(struct scale_holding *holding)
{
    scale_control_end(holding);
    for (uint32_t i = 0; i < SCALE_GROUP_DATABASES; i++) {
        budget_free(holding->budgets[i]);
    }
    g_free(holding);
}

/* -- Actions of budgets -- */

static void add_connection_event(struct scale_fleet *fleet, const struct scale_daemon *daemon,
                                 enum scale_event_kind kind, uint64_t number, time_ns at)
{
    struct scale_event event = {
        .at = at,
        .kind = kind,
        .daemon = daemon->index,
        .life = daemon->life,
        .number = number,
    };
    scale_network_add(fleet->network, &event);
}

/* Sends an event to a database. If it can't arrive, the daemon gets the failure after the time-out.
 */
static void send_to_database(struct scale_fleet *fleet, struct scale_daemon *daemon,
                             enum scale_event_kind kind, uint64_t number, time_ns delay)
{
    uint16_t zone = fleet->databases[number >> NUMBER_BITS].zone;
    time_ns now = scale_network_now(fleet->network);
    time_ns at = 0;
    bool apart =
        scale_places_partitioned(fleet, scale_place_of_daemon(fleet, daemon),
                                 scale_place_of_database(fleet, (uint32_t)(number >> NUMBER_BITS)));
    if (apart || !scale_network_arrival(fleet->network, daemon->zone, zone, true, &at)) {
        add_connection_event(fleet, daemon, SCALE_EVENT_FAILED, number, now + CONNECT_TIMEOUT);
        return;
    }
    add_connection_event(fleet, daemon, kind, number, at + delay);
}

static void send_notice(struct scale_fleet *fleet, struct scale_daemon *daemon,
                        const struct scale_holding *holding, uint32_t database, bool released)
{
    struct message message;
    message_init(&message, MESSAGE_KIND_BUDGET_NOTICE);
    message.budget_notice.group = holding->group;
    message.budget_notice.database = database;
    message.budget_notice.released = released;
    message.budget_notice.sender = daemon->id;
    message.budget_notice.deployment_hash = SCALE_DEPLOYMENT;
    uint64_t owners[OWNERSHIP_OWNERS_MAX + 1];
    size_t count = ownership_owners(daemon->ownership, holding->group, owners);
    owners[count] = holding->removed;
    for (size_t i = 0; i <= count; i++) {
        struct scale_daemon *to =
            owners[i] == daemon->id ? NULL : scale_daemon_of_id(fleet, owners[i]);
        if (to != NULL) {
            scale_transport_send(fleet, daemon, to, &message, SCALE_TRAFFIC_BUDGET, true);
        }
    }
}

static void perform(struct scale_fleet *fleet, struct scale_daemon *daemon,
                    const struct scale_holding *holding, uint32_t database, const GArray *actions)
{
    uint64_t base = (uint64_t)(holding->group * SCALE_GROUP_DATABASES + database) << NUMBER_BITS;
    for (guint i = 0; i < actions->len; i++) {
        const struct budget_action *action = &g_array_index(actions, struct budget_action, i);
        switch (action->kind) {
        case BUDGET_ACTION_OPEN:
            send_to_database(fleet, daemon, SCALE_EVENT_CONNECT, base + action->number, 0);
            break;
        case BUDGET_ACTION_CLOSE:
            send_to_database(fleet, daemon, SCALE_EVENT_CLOSE, base + action->number, DRAIN_TIME);
            break;
        case BUDGET_ACTION_WARM:
            send_notice(fleet, daemon, holding, database, false);
            break;
        case BUDGET_ACTION_RELEASED:
            send_notice(fleet, daemon, holding, database, true);
            break;
        }
    }
}

/* -- Events at the daemon -- */

static void set_position(struct scale_fleet *fleet, struct scale_daemon *daemon,
                         struct scale_holding *holding, int32_t position, bool handing_over)
{
    time_ns now = scale_network_now(fleet->network);
    for (uint32_t i = 0; i < SCALE_GROUP_DATABASES; i++) {
        g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct budget_action));
        budget_set_position(holding->budgets[i], position, handing_over, now, actions);
        perform(fleet, daemon, holding, i, actions);
    }
}

void scale_holdings_changed(struct scale_fleet *fleet, struct scale_daemon *daemon,
                            const GArray *changes, bool handing_over)
{
    for (guint i = 0; i < changes->len; i++) {
        const struct ownership_change *change = &g_array_index(changes, struct ownership_change, i);
        uint64_t owners[OWNERSHIP_OWNERS_MAX];
        size_t count = ownership_owners(daemon->ownership, change->group, owners);
        if (change->position < 0 && change->position_before < 0) {
            continue;
        }
        dissemination_set_owners(daemon->dissemination, change->group, change->position >= 0,
                                 owners, count);
        struct scale_holding *holding = obtain_holding(fleet, daemon, change->group);
        holding->removed = change->removed;
        set_position(fleet, daemon, holding, change->position, handing_over);
    }
    if (changes->len > 0) {
        scale_control_owners_changed(fleet, daemon);
    }
}

static bool holding_is_over(const struct scale_daemon *daemon, const struct scale_holding *holding)
{
    if (ownership_position(daemon->ownership, holding->group) >= 0) {
        return false;
    }
    for (uint32_t i = 0; i < SCALE_GROUP_DATABASES; i++) {
        if (budget_counted(holding->budgets[i]) > 0) {
            return false;
        }
    }
    return true;
}

void scale_holdings_tick(struct scale_fleet *fleet, struct scale_daemon *daemon)
{
    time_ns now = scale_network_now(fleet->network);
    guint held = g_hash_table_size(daemon->holdings);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, daemon->holdings);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct scale_holding *holding = value;
        for (uint32_t i = 0; i < SCALE_GROUP_DATABASES; i++) {
            if (budget_next_wakeup(holding->budgets[i]) > now) {
                continue;
            }
            g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct budget_action));
            budget_tick(holding->budgets[i], now, actions);
            perform(fleet, daemon, holding, i, actions);
        }
        if (holding_is_over(daemon, holding)) {
            g_hash_table_iter_remove(&iterator);
            holding_free(holding);
        }
    }
    if (g_hash_table_size(daemon->holdings) != held) {
        scale_control_update_probe_interval(fleet, daemon);
    }
}

time_ns scale_holdings_wakeup(const struct scale_daemon *daemon)
{
    time_ns wakeup = UINT64_MAX;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, daemon->holdings);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct scale_holding *holding = value;
        for (uint32_t i = 0; i < SCALE_GROUP_DATABASES; i++) {
            wakeup = MIN(wakeup, budget_next_wakeup(holding->budgets[i]));
        }
    }
    return wakeup;
}

void scale_holdings_notice(struct scale_fleet *fleet, struct scale_daemon *daemon,
                           const struct budget_notice *notice)
{
    struct scale_holding *holding = scale_holdings_find(daemon, notice->group);
    if (holding == NULL || notice->database >= SCALE_GROUP_DATABASES) {
        return;
    }
    time_ns now = scale_network_now(fleet->network);
    struct budget *budget = holding->budgets[notice->database];
    g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct budget_action));
    if (notice->released) {
        budget_peer_released(budget, now, actions);
    } else {
        budget_peer_warm(budget, now, actions);
    }
    perform(fleet, daemon, holding, notice->database, actions);
}

/* Passes a database's reply to the budget. */
static void answer_budget(struct scale_fleet *fleet, struct scale_daemon *daemon,
                          const struct scale_event *event)
{
    uint32_t database = (uint32_t)(event->number >> NUMBER_BITS);
    uint32_t number = event->number & ((1u << NUMBER_BITS) - 1);
    struct scale_holding *holding = scale_holdings_find(daemon, database / SCALE_GROUP_DATABASES);
    if (holding == NULL) {
        return;
    }
    time_ns now = scale_network_now(fleet->network);
    uint32_t place = database % SCALE_GROUP_DATABASES;
    struct budget *budget = holding->budgets[place];
    g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct budget_action));
    switch (event->kind) {
    case SCALE_EVENT_OPENED:
        budget_opened(budget, number, now, actions);
        break;
    case SCALE_EVENT_TAKEN:
        fleet->measures.numbers_refused++;
        budget_number_taken(budget, number, now, actions);
        break;
    case SCALE_EVENT_CLOSED:
        budget_closed(budget, number, now, actions);
        break;
    default:
        budget_failed(budget, number, now, actions);
        break;
    }
    perform(fleet, daemon, holding, place, actions);
}

/* -- Events at the database -- */

static void check_limit(struct scale_fleet *fleet, const struct scale_database *database)
{
    uint32_t connections = database->unnumbered + database->numbered;
    fleet->measures.connections_max = MAX(fleet->measures.connections_max, connections);
    if (connections > fleet->options.connection_limit) {
        fleet->measures.budget_violations++;
    }
}

/* Sends the database's reply to the daemon. */
static void answer_daemon(struct scale_fleet *fleet, struct scale_database *database,
                          const struct scale_event *event, enum scale_event_kind kind)
{
    struct scale_event answer = *event;
    const struct scale_daemon *daemon = &fleet->daemons[event->daemon];
    answer.kind = kind;
    answer.payload = NULL;
    uint32_t index = (uint32_t)(database - fleet->databases);
    bool apart = scale_places_partitioned(fleet, scale_place_of_database(fleet, index),
                                          scale_place_of_daemon(fleet, daemon));
    if (apart ||
        !scale_network_arrival(fleet->network, database->zone, daemon->zone, true, &answer.at)) {
        answer.kind = kind == SCALE_EVENT_OPENED ? SCALE_EVENT_OPENED : SCALE_EVENT_FAILED;
        answer.at = scale_network_now(fleet->network) + CONNECT_TIMEOUT;
    }
    scale_network_add(fleet->network, &answer);
}

static bool is_current(const struct scale_fleet *fleet, const struct scale_event *event)
{
    const struct scale_daemon *daemon = &fleet->daemons[event->daemon];
    return daemon->running && daemon->life == event->life;
}

static void database_connect(struct scale_fleet *fleet, struct scale_database *database,
                             const struct scale_event *event)
{
    if (!is_current(fleet, event)) {
        return;
    }
    database->unnumbered++;
    check_limit(fleet, database);
    struct scale_event lock = *event;
    lock.kind = SCALE_EVENT_LOCK;
    lock.at = scale_network_now(fleet->network) + fleet->options.connect_time;
    scale_network_add(fleet->network, &lock);
}

static void database_lock(struct scale_fleet *fleet, struct scale_database *database,
                          const struct scale_event *event)
{
    uint32_t number = event->number & ((1u << NUMBER_BITS) - 1);
    database->unnumbered--;
    if (!is_current(fleet, event)) {
        return;
    }
    if (database->holder[number] >= 0) {
        answer_daemon(fleet, database, event, SCALE_EVENT_TAKEN);
        return;
    }
    database->holder[number] = (int32_t)event->daemon;
    database->holder_life[number] = event->life;
    database->numbered++;
    answer_daemon(fleet, database, event, SCALE_EVENT_OPENED);
}

static void database_close(struct scale_fleet *fleet, struct scale_database *database,
                           const struct scale_event *event)
{
    uint32_t number = event->number & ((1u << NUMBER_BITS) - 1);
    bool holds = database->holder[number] == (int32_t)event->daemon &&
                 database->holder_life[number] == event->life;
    if (holds) {
        database->holder[number] = -1;
        database->numbered--;
    }
    answer_daemon(fleet, database, event, SCALE_EVENT_CLOSED);
}

void scale_holdings_event(struct scale_fleet *fleet, struct scale_daemon *daemon,
                          const struct scale_event *event)
{
    struct scale_database *database = &fleet->databases[event->number >> NUMBER_BITS];
    switch (event->kind) {
    case SCALE_EVENT_CONNECT:
        database_connect(fleet, database, event);
        return;
    case SCALE_EVENT_LOCK:
        database_lock(fleet, database, event);
        return;
    case SCALE_EVENT_CLOSE:
        database_close(fleet, database, event);
        return;
    default:
        answer_budget(fleet, daemon, event);
        return;
    }
}

/* The databases detect the end of the daemon's connections after `detect_time`. */
static void end_connections(struct scale_fleet *fleet, const struct scale_daemon *daemon,
                            uint32_t group, time_ns detect_time)
{
    time_ns at = scale_network_now(fleet->network) + detect_time;
    for (uint32_t i = 0; i < SCALE_GROUP_DATABASES; i++) {
        uint32_t index = group * SCALE_GROUP_DATABASES + i;
        const struct scale_database *database = &fleet->databases[index];
        for (uint32_t number = 0; number < BUDGET_CONNECTIONS_MAX; number++) {
            bool holds = database->holder[number] == (int32_t)daemon->index &&
                         database->holder_life[number] == daemon->life;
            if (holds) {
                uint64_t connection = (uint64_t)index << NUMBER_BITS | number;
                add_connection_event(fleet, daemon, SCALE_EVENT_CLOSE, connection, at);
            }
        }
    }
}

void scale_holdings_end(struct scale_fleet *fleet, struct scale_daemon *daemon, time_ns detect_time)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, daemon->holdings);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct scale_holding *holding = value;
        end_connections(fleet, daemon, holding->group, detect_time);
        g_hash_table_iter_remove(&iterator);
        holding_free(holding);
    }
}

bool scale_holdings_serve(const struct scale_daemon *daemon, uint32_t group)
{
    const struct scale_holding *holding = scale_holdings_find(daemon, group);
    if (holding == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < SCALE_GROUP_DATABASES; i++) {
        if (!budget_serving(holding->budgets[i])) {
            return false;
        }
    }
    return true;
}

size_t scale_holdings_memory(const struct scale_daemon *daemon)
{
    size_t memory = 0;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, daemon->holdings);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct scale_holding *holding = value;
        memory += sizeof(*holding);
        for (uint32_t i = 0; i < SCALE_GROUP_DATABASES; i++) {
            memory += budget_memory(holding->budgets[i]);
        }
    }
    return memory;
}
