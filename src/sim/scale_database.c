/* The databases of the simulated fleet as control sees them: roles, terms, promises and logs, and
 * the loss of their machines. Commands behave as in standins/database: a term is promised to one
 * coordinator only. A replica that can reach its primary holds the primary's whole log. */
#include "sim/scale_fleet_internal.h"

/* A database's time to answer, in addition to the network. */
#define STATUS_TIME  (100 * 1000)
#define COMMAND_TIME (2 * NANOSECONDS_PER_MILLISECOND)

/* A primary's log grows by one entry in this time. */
#define ENTRY_INTERVAL NANOSECONDS_PER_MILLISECOND

static struct scale_database *database_at(const struct scale_fleet *fleet, uint32_t group,
                                          uint32_t place)
{
    return &fleet->databases[group * SCALE_GROUP_DATABASES + place];
}

void scale_databases_init(struct scale_fleet *fleet)
{
    uint32_t regions = fleet->options.network.zones / fleet->options.network.zones_per_region;
    for (uint32_t group = 0; group < fleet->group_count; group++) {
        fleet->groups[group].log_at = scale_network_now(fleet->network);
        if (!fleet->options.watch.enabled) {
            continue;
        }
        fleet->groups[group].term = 1;
        uint32_t primary = group / MAX(1, regions) % SCALE_GROUP_DATABASES;
        for (uint32_t place = 0; place < SCALE_GROUP_DATABASES; place++) {
            database_at(fleet, group, place)->status = (struct database_status){
                .role = place == primary ? DATABASE_ROLE_PRIMARY : DATABASE_ROLE_REPLICA,
                .term = 1,
                .promised_term = 1,
                .held = {1, 1},
                .applied = {1, 1},
            };
        }
    }
}

static bool leads(const struct scale_database *database)
{
    const struct database_status *status = &database->status;
    return !database->down && status->role == DATABASE_ROLE_PRIMARY &&
           status->promised_term == status->term;
}

int32_t scale_fleet_primary(const struct scale_fleet *fleet, uint32_t group)
{
    int32_t primary = -1;
    uint64_t term = 0;
    for (uint32_t place = 0; place < SCALE_GROUP_DATABASES; place++) {
        const struct scale_database *database = database_at(fleet, group, place);
        if (leads(database) && database->status.term > term) {
            term = database->status.term;
            primary = (int32_t)place;
        }
    }
    return primary;
}

static struct scale_place place_of(const struct scale_fleet *fleet,
                                   const struct scale_database *database)
{
    return scale_place_of_database(fleet, (uint32_t)(database - fleet->databases));
}

static bool replicates(const struct scale_fleet *fleet, const struct scale_database *replica,
                       const struct scale_database *primary)
{
    const struct database_status *status = &replica->status;
    return !replica->down && status->role == DATABASE_ROLE_REPLICA &&
           status->term == primary->status.term && status->promised_term == status->term &&
           !scale_network_is_cut(fleet->network, primary->zone, replica->zone) &&
           !scale_places_partitioned(fleet, place_of(fleet, primary), place_of(fleet, replica));
}

/* Extends the group's log to its length at the present time. */
static void advance_log(struct scale_fleet *fleet, uint32_t group)
{
    time_ns now = scale_network_now(fleet->network);
    uint64_t entries = (now - fleet->groups[group].log_at) / ENTRY_INTERVAL;
    int32_t place = scale_fleet_primary(fleet, group);
    fleet->groups[group].log_at += entries * ENTRY_INTERVAL;
    if (place < 0) {
        return;
    }
    struct scale_database *primary = database_at(fleet, group, (uint32_t)place);
    primary->status.held.offset += entries;
    primary->status.applied = primary->status.held;
    for (uint32_t i = 0; i < SCALE_GROUP_DATABASES; i++) {
        struct scale_database *replica = database_at(fleet, group, i);
        if (replicates(fleet, replica, primary)) {
            replica->status.held = primary->status.held;
            replica->status.applied = primary->status.held;
        }
    }
}

/* -- Commands -- */

static bool fence(struct scale_database *database, const struct scale_database_request *request)
{
    struct database_status *status = &database->status;
    bool again =
        request->term == status->promised_term && request->coordinator == database->promised_to;
    if (request->term <= status->promised_term && !again) {
        return false;
    }
    status->promised_term = request->term;
    database->promised_to = request->coordinator;
    return true;
}

static bool promote(struct scale_fleet *fleet, struct scale_database *database,
                    const struct scale_database_request *request, uint16_t coordinator_zone)
{
    struct database_status *status = &database->status;
    if (request->term != status->promised_term || request->coordinator != database->promised_to) {
        return false;
    }
    if (status->role == DATABASE_ROLE_PRIMARY && status->term == request->term) {
        return true;
    }
    status->role = DATABASE_ROLE_PRIMARY;
    status->term = request->term;
    status->held = (struct log_position){request->term, status->held.offset + 1};
    status->applied = status->held;
    scale_observe_promoted(fleet, &fleet->groups[request->group], request->term, coordinator_zone);
    return true;
}

static bool follow(struct scale_database *database, const struct scale_database_request *request)
{
    struct database_status *status = &database->status;
    bool is_leader = status->role == DATABASE_ROLE_PRIMARY && status->term == request->term;
    if (request->term < status->promised_term || is_leader) {
        return false;
    }
    if (request->term > status->promised_term) {
        status->promised_term = request->term;
        database->promised_to = request->coordinator;
    }
    status->role = DATABASE_ROLE_REPLICA;
    status->term = request->term;
    return true;
}

static bool execute(struct scale_fleet *fleet, struct scale_database *database,
                    const struct scale_database_request *request, uint16_t coordinator_zone)
{
    switch (request->kind) {
    case SCALE_REQUEST_FENCE:
        return fence(database, request);
    case SCALE_REQUEST_PROMOTE:
        return promote(fleet, database, request, coordinator_zone);
    case SCALE_REQUEST_FOLLOW:
        return follow(database, request);
    case SCALE_REQUEST_SET_LEAVING:
        database->status.leaving = request->leaving;
        return true;
    case SCALE_REQUEST_OPEN:
    case SCALE_REQUEST_STATUS:
        break;
    }
    return true;
}

void scale_database_serve(struct scale_fleet *fleet, const struct scale_event *event)
{
    struct scale_database_request *request = event->payload;
    struct scale_database *database = database_at(fleet, request->group, request->place);
    const struct scale_daemon *daemon = &fleet->daemons[event->daemon];
    uint16_t zone = daemon->zone;
    bool apart = scale_places_partitioned(fleet, place_of(fleet, database),
                                          scale_place_of_daemon(fleet, daemon));
    struct scale_event answer = *event;
    answer.kind = SCALE_EVENT_REPLY;
    request->result = GROUP_COMMAND_LOST;
    answer.at = request->sent_at + request->timeout;
    if (!database->down) {
        advance_log(fleet, request->group);
        bool done = execute(fleet, database, request, zone);
        time_ns at = 0;
        if (!apart && scale_network_arrival(fleet->network, database->zone, zone, true, &at)) {
            bool command = request->kind > SCALE_REQUEST_STATUS;
            request->result = done ? GROUP_COMMAND_OK : GROUP_COMMAND_REFUSED;
            request->status = database->status;
            answer.at = at + (command ? COMMAND_TIME : STATUS_TIME);
        }
    }
    scale_network_add(fleet->network, &answer);
}

/* -- Faults -- */

/* True if the database is partitioned from most others. */
static bool is_partitioned(const struct scale_fleet *fleet, const struct scale_database *database)
{
    struct scale_place place = place_of(fleet, database);
    bool rack = fleet->rack_cut && place.zone == fleet->rack_cut_at.zone &&
                place.rack == fleet->rack_cut_at.rack;
    return rack || fleet->zone_cut[place.zone];
}

/* Marks a change in progress as blocked if fewer than a majority of the group's databases are up
 * and reachable. */
static void mark_blocked(struct scale_fleet *fleet, uint32_t group)
{
    uint32_t left = 0;
    for (uint32_t place = 0; place < SCALE_GROUP_DATABASES; place++) {
        const struct scale_database *database = database_at(fleet, group, place);
        left += !database->down && !is_partitioned(fleet, database);
    }
    struct scale_change *change = &fleet->groups[group].change;
    if (change->open && change->promoted_at == 0 && left < SCALE_GROUP_DATABASES / 2 + 1) {
        change->blocked = true;
    }
}

void scale_fleet_fail_database(struct scale_fleet *fleet, uint32_t group, uint32_t place)
{
    struct scale_database *database = database_at(fleet, group, place);
    if (database->down) {
        return;
    }
    advance_log(fleet, group);
    bool led = leads(database);
    database->down = true;
    if (led) {
        scale_observe_failed(fleet, &fleet->groups[group]);
    }
    mark_blocked(fleet, group);
}

void scale_fleet_return_database(struct scale_fleet *fleet, uint32_t group, uint32_t place)
{
    database_at(fleet, group, place)->down = false;
}

void scale_databases_cut(struct scale_fleet *fleet)
{
    for (uint32_t group = 0; fleet->options.watch.enabled && group < fleet->group_count; group++) {
        advance_log(fleet, group);
        int32_t primary = scale_fleet_primary(fleet, group);
        bool lost =
            primary >= 0 && is_partitioned(fleet, database_at(fleet, group, (uint32_t)primary));
        if (lost && !fleet->groups[group].change.open) {
            scale_observe_failed(fleet, &fleet->groups[group]);
        }
        mark_blocked(fleet, group);
    }
}

/* Fails all machines in a zone, or in one of its racks if `rack` is not negative. */
static void fail_location(struct scale_fleet *fleet, uint16_t zone, int64_t rack)
{
    for (uint32_t i = 0; i < fleet->options.daemons; i++) {
        struct scale_place place = scale_place_of_daemon(fleet, &fleet->daemons[i]);
        if (place.zone == zone && (rack < 0 || place.rack == rack)) {
            scale_fleet_kill(fleet, i, true);
        }
    }
    for (uint32_t i = 0; i < fleet->group_count * SCALE_GROUP_DATABASES; i++) {
        struct scale_place place = scale_place_of_database(fleet, i);
        if (place.zone == zone && (rack < 0 || place.rack == rack)) {
            scale_fleet_fail_database(fleet, i / SCALE_GROUP_DATABASES, i % SCALE_GROUP_DATABASES);
        }
    }
}

void scale_fleet_fail_rack(struct scale_fleet *fleet, uint16_t zone, uint32_t rack)
{
    fail_location(fleet, zone, rack);
}

void scale_fleet_cut_rack(struct scale_fleet *fleet, uint16_t zone, uint32_t rack, bool cut)
{
    for (uint32_t group = 0; group < fleet->group_count; group++) {
        advance_log(fleet, group);
    }
    fleet->rack_cut = cut;
    fleet->rack_cut_at = (struct scale_place){zone, rack};
    if (cut) {
        scale_databases_cut(fleet);
    } else {
        fleet->rack_healed_at = scale_network_now(fleet->network);
    }
}

bool scale_fleet_is_in_rack(const struct scale_fleet *fleet, uint32_t index, uint16_t zone,
                            uint32_t rack)
{
    struct scale_place place = scale_place_of_daemon(fleet, &fleet->daemons[index]);
    return place.zone == zone && place.rack == rack;
}

void scale_fleet_fail_zone(struct scale_fleet *fleet, uint16_t zone)
{
    fail_location(fleet, zone, -1);
}

void scale_fleet_fail_coordinator(struct scale_fleet *fleet, uint32_t group)
{
    fleet->groups[group].kill_coordinator = true;
}
