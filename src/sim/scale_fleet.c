/* The simulated fleet as a whole: creation, the event loop, and faults. */
#include "sim/scale_fleet_internal.h"

/* Databases detect the loss of a daemon's machine after this time, when their keep-alive fails. */
#define MACHINE_END_DETECT_TIME (10 * NANOSECONDS_PER_SECOND)
#define PROCESS_END_DETECT_TIME (2 * NANOSECONDS_PER_MILLISECOND)

/* Number of zones of the target deployment, and of daemons in one rack. */
#define ZONES        9
#define RACK_DAEMONS 10

/* Most datagrams that a paused daemon's socket buffers hold. */
#define BUFFERED_DATAGRAMS_MAX 256

void scale_fleet_options_default(struct scale_fleet_options *options, uint32_t daemons,
                                 uint32_t databases, uint32_t seed)
{
    *options = (struct scale_fleet_options){
        .daemons = daemons,
        .databases = databases,
        .connection_limit = 35,
        .connect_time = 20 * NANOSECONDS_PER_MILLISECOND,
        .forward_interval = 2 * NANOSECONDS_PER_SECOND,
        .publish_time = 50 * NANOSECONDS_PER_MILLISECOND,
        .stop_time = 6 * NANOSECONDS_PER_SECOND,
        .difference_bytes = 2048,
        .seeds = 5,
        .encode = true,
        .racks = MAX(2, daemons / (ZONES * RACK_DAEMONS)),
        .watch = {.probe_interval = 100 * NANOSECONDS_PER_MILLISECOND,
                  .probe_timeout = 250 * NANOSECONDS_PER_MILLISECOND,
                  .open_timeout = 500 * NANOSECONDS_PER_MILLISECOND,
                  .suspect_after = 400 * NANOSECONDS_PER_MILLISECOND,
                  .probes_per_second = 40},
    };
    scale_network_options_default(&options->network);
    options->network.seed = seed;
    membership_options_default(&options->membership);
    options->membership.deployment = SCALE_DEPLOYMENT;
    currency_options_default(&options->currency);
    dissemination_options_default(&options->dissemination);
}

/* Each group's databases are in the zones of one region. */
static void init_groups(struct scale_fleet *fleet)
{
    uint32_t per_region = fleet->options.network.zones_per_region;
    uint32_t regions = fleet->options.network.zones / per_region;
    fleet->group_count =
        (fleet->options.databases + SCALE_GROUP_DATABASES - 1) / SCALE_GROUP_DATABASES;
    fleet->groups = g_new0(struct scale_group, fleet->group_count);
    for (uint32_t i = 0; i < fleet->group_count; i++) {
        struct ownership_group *group = &fleet->groups[i].ownership;
        group->group = i;
        group->zone_count = MIN(SCALE_GROUP_DATABASES, per_region);
        for (uint32_t j = 0; j < SCALE_GROUP_DATABASES; j++) {
            uint32_t zone = (i % regions) * per_region + j % per_region;
            group->zones[j] = (uint16_t)zone;
        }
    }
}

static void add_start(struct scale_fleet *fleet, uint32_t daemon, time_ns at)
{
    struct scale_event event = {.at = at, .kind = SCALE_EVENT_START, .daemon = daemon};
    scale_network_add(fleet->network, &event);
}

struct scale_fleet *scale_fleet_new(const struct scale_fleet_options *options)
{
    g_assert(options->network.zones <= SCALE_ZONES_MAX);
    struct scale_fleet *fleet = g_new0(struct scale_fleet, 1);
    fleet->options = *options;
    fleet->network = scale_network_new(&options->network);
    fleet->actions = membership_actions_new();
    fleet->store_up = true;
    fleet->publications = g_array_new(FALSE, TRUE, sizeof(struct scale_publication));
    g_array_set_size(fleet->publications, 1);
    init_groups(fleet);
    scale_holdings_init(fleet);
    scale_databases_init(fleet);
    scale_measures_init(&fleet->measures, scale_fleet_now(fleet));
    fleet->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    fleet->daemons = g_new0(struct scale_daemon, options->daemons);
    for (uint32_t i = 0; i < options->daemons; i++) {
        fleet->daemons[i].index = i;
        fleet->daemons[i].zone = (uint16_t)(i % options->network.zones);
        add_start(fleet, i,
                  scale_fleet_now(fleet) +
                      scale_fleet_random(fleet, 1000) * NANOSECONDS_PER_MILLISECOND);
    }
    return fleet;
}

void scale_fleet_free(struct scale_fleet *fleet)
{
    for (uint32_t i = 0; i < fleet->options.daemons; i++) {
        struct scale_daemon *daemon = &fleet->daemons[i];
        if (daemon->running) {
            scale_holdings_end(fleet, daemon, 0);
        }
        scale_daemon_end(fleet, daemon);
    }
    scale_network_free(fleet->network, scale_payload_free);
    scale_measures_clear(&fleet->measures);
    membership_actions_free(fleet->actions);
    g_array_free(fleet->publications, TRUE);
    g_hash_table_destroy(fleet->by_id);
    g_free(fleet->daemons);
    g_free(fleet->groups);
    g_free(fleet->databases);
    g_free(fleet);
}

/* -- Time -- */

static bool concerns_database(const struct scale_event *event)
{
    return event->kind == SCALE_EVENT_CONNECT || event->kind == SCALE_EVENT_LOCK ||
           event->kind == SCALE_EVENT_CLOSE;
}

/* Buffers an event for a paused daemon. Datagrams beyond the buffer's size are dropped. */
static void buffer_event(struct scale_daemon *daemon, struct scale_event *event)
{
    if (event->kind == SCALE_EVENT_DATAGRAM && daemon->waiting->len >= BUFFERED_DATAGRAMS_MAX) {
        g_clear_pointer(&event->payload, scale_payload_free);
        return;
    }
    g_array_append_val(daemon->waiting, *event);
}

static void start_again(struct scale_fleet *fleet, const struct scale_event *event)
{
    struct scale_daemon *daemon = &fleet->daemons[event->daemon];
    if (daemon->running) {
        return;
    }
    daemon->generation += (uint32_t)event->number;
    scale_daemon_start(fleet, daemon);
}

static void end_stop(struct scale_fleet *fleet, const struct scale_event *event)
{
    struct scale_daemon *daemon = &fleet->daemons[event->daemon];
    if (!daemon->running || daemon->life != event->life) {
        return;
    }
    scale_daemon_leave_end(fleet, daemon);
    if (event->number > 0) {
        add_start(fleet, event->daemon, scale_fleet_now(fleet) + event->number);
    }
}

static void handle_event(struct scale_fleet *fleet, struct scale_event *event)
{
    struct scale_daemon *daemon = &fleet->daemons[event->daemon];
    if (event->kind == SCALE_EVENT_REQUEST) {
        scale_database_serve(fleet, event);
        return;
    }
    if (concerns_database(event)) {
        scale_holdings_event(fleet, daemon, event);
        return;
    }
    if (event->kind == SCALE_EVENT_START) {
        start_again(fleet, event);
        return;
    }
    if (event->kind == SCALE_EVENT_LEAVE) {
        end_stop(fleet, event);
        return;
    }
    bool current = daemon->running && (event->life == 0 || event->life == daemon->life);
    if (!current) {
        g_clear_pointer(&event->payload, scale_payload_free);
        return;
    }
    if (event->kind == SCALE_EVENT_KILL) {
        scale_fleet_kill(fleet, event->daemon, true);
        return;
    }
    if (daemon->paused) {
        buffer_event(daemon, event);
        return;
    }
    scale_daemon_handle(fleet, daemon, event);
}

void scale_fleet_run(struct scale_fleet *fleet, time_ns duration)
{
    time_ns until = scale_fleet_now(fleet) + duration;
    struct scale_event event;
    while (scale_network_next(fleet->network, until, &event)) {
        handle_event(fleet, &event);
    }
}

time_ns scale_fleet_now(const struct scale_fleet *fleet)
{
    return scale_network_now(fleet->network);
}

uint32_t scale_fleet_random(struct scale_fleet *fleet, uint32_t bound)
{
    return scale_network_random(fleet->network, bound);
}

/* -- Faults -- */

void scale_fleet_kill(struct scale_fleet *fleet, uint32_t index, bool machine)
{
    struct scale_daemon *daemon = &fleet->daemons[index];
    if (!daemon->running) {
        return;
    }
    scale_holdings_end(fleet, daemon, machine ? MACHINE_END_DETECT_TIME : PROCESS_END_DETECT_TIME);
    scale_daemon_end(fleet, daemon);
}

void scale_fleet_start(struct scale_fleet *fleet, uint32_t daemon, bool replaced)
{
    struct scale_event event = {.daemon = daemon, .number = replaced};
    start_again(fleet, &event);
}

void scale_fleet_stop(struct scale_fleet *fleet, uint32_t index, time_ns down)
{
    struct scale_daemon *daemon = &fleet->daemons[index];
    if (!daemon->running || daemon->paused || daemon->leaving) {
        return;
    }
    scale_daemon_leave_begin(fleet, daemon);
    struct scale_event event = {
        .at = scale_fleet_now(fleet) + fleet->options.stop_time,
        .kind = SCALE_EVENT_LEAVE,
        .daemon = index,
        .life = daemon->life,
        .number = down,
    };
    scale_network_add(fleet->network, &event);
}

void scale_fleet_pause(struct scale_fleet *fleet, uint32_t daemon)
{
    fleet->daemons[daemon].paused = fleet->daemons[daemon].running;
}

void scale_fleet_resume(struct scale_fleet *fleet, uint32_t index)
{
    struct scale_daemon *daemon = &fleet->daemons[index];
    if (!daemon->running || !daemon->paused) {
        return;
    }
    daemon->paused = false;
    daemon->wake_at = 0;
    for (guint i = 0; i < daemon->waiting->len; i++) {
        struct scale_event event = g_array_index(daemon->waiting, struct scale_event, i);
        event.at = scale_fleet_now(fleet);
        if (event.kind == SCALE_EVENT_WAKEUP) {
            daemon->wake_at = event.at;
        }
        scale_network_add(fleet->network, &event);
    }
    g_array_set_size(daemon->waiting, 0);
}

/* Starts or ends the partition of one zone from all others, or from those of other regions. */
static void set_zone_cut(struct scale_fleet *fleet, uint16_t zone, bool cut, bool whole_region)
{
    uint16_t zones = (uint16_t)fleet->options.network.zones;
    for (uint16_t other = 0; other < zones; other++) {
        bool same_region = scale_network_region(fleet->network, other) ==
                           scale_network_region(fleet->network, zone);
        if (other == zone || (whole_region && same_region)) {
            continue;
        }
        scale_network_set_cut(fleet->network, zone, other, cut);
        scale_network_set_cut(fleet->network, other, zone, cut);
    }
    fleet->zone_cut[zone] = cut;
    if (!cut) {
        fleet->zone_healed_at[zone] = scale_fleet_now(fleet);
    }
}

void scale_fleet_cut_zone(struct scale_fleet *fleet, uint16_t zone, bool cut)
{
    set_zone_cut(fleet, zone, cut, false);
    if (cut) {
        scale_databases_cut(fleet);
    }
}

void scale_fleet_cut_region(struct scale_fleet *fleet, uint16_t region, bool cut)
{
    uint16_t zones = (uint16_t)fleet->options.network.zones;
    for (uint16_t zone = 0; zone < zones; zone++) {
        if (scale_network_region(fleet->network, zone) == region) {
            set_zone_cut(fleet, zone, cut, true);
        }
    }
}

void scale_fleet_split_zone(struct scale_fleet *fleet, uint16_t zone, bool split)
{
    fleet->zone_split[zone] = split;
}

void scale_fleet_set_store_up(struct scale_fleet *fleet, bool up)
{
    fleet->store_up = up;
}

/* The publisher also delivers the configuration to one daemon that it can reach. */
static void deliver_to_one(struct scale_fleet *fleet, uint64_t version)
{
    uint32_t first = scale_fleet_random(fleet, fleet->options.daemons);
    for (uint32_t i = 0; i < fleet->options.daemons; i++) {
        uint32_t index = (first + i) % fleet->options.daemons;
        const struct scale_daemon *daemon = &fleet->daemons[index];
        if (!daemon->running || daemon->paused ||
            scale_daemon_was_cut(fleet, daemon, scale_fleet_now(fleet))) {
            continue;
        }
        struct scale_event event = {
            .at = scale_fleet_now(fleet) + fleet->options.publish_time,
            .kind = SCALE_EVENT_FETCHED,
            .daemon = index,
            .life = daemon->life,
            .number = version,
        };
        scale_network_add(fleet->network, &event);
        return;
    }
}

uint64_t scale_fleet_publish(struct scale_fleet *fleet)
{
    if (!fleet->store_up) {
        return 0;
    }
    struct scale_publication publication = {.at = scale_fleet_now(fleet)};
    g_array_append_val(fleet->publications, publication);
    uint64_t version = fleet->publications->len - 1;
    deliver_to_one(fleet, version);
    return version;
}

uint64_t scale_fleet_newest(const struct scale_fleet *fleet)
{
    return fleet->publications->len - 1;
}

/* A running owner of the group, by its own ownership table; NULL if there is none. */
static struct scale_daemon *find_owner(struct scale_fleet *fleet, uint32_t group)
{
    for (uint32_t i = 0; i < fleet->options.daemons; i++) {
        struct scale_daemon *daemon = &fleet->daemons[i];
        bool usable = daemon->running && !daemon->paused && !daemon->leaving;
        if (usable && ownership_position(daemon->ownership, group) >= 0) {
            return daemon;
        }
    }
    return NULL;
}

void scale_fleet_change_primary(struct scale_fleet *fleet, uint32_t index)
{
    struct scale_daemon *owner = find_owner(fleet, index);
    if (owner == NULL) {
        return;
    }
    struct scale_group *group = &fleet->groups[index];
    scale_observe_close(fleet, group);
    group->term++;
    group->changed_at = scale_fleet_now(fleet);
    group->changed_in = owner->zone;
    struct group_status status = {
        .group = index,
        .term = group->term,
        .revision = 1,
        .primary = 1 + (uint32_t)(group->term % SCALE_GROUP_DATABASES),
    };
    scale_cpu_begin(fleet);
    scale_daemon_publish_status(fleet, owner, &status);
    scale_cpu_end(fleet, owner);
}

/* -- State -- */

uint32_t scale_fleet_daemons(const struct scale_fleet *fleet)
{
    return fleet->options.daemons;
}

uint32_t scale_fleet_groups(const struct scale_fleet *fleet)
{
    return fleet->group_count;
}

bool scale_fleet_is_running(const struct scale_fleet *fleet, uint32_t daemon)
{
    return fleet->daemons[daemon].running;
}

bool scale_fleet_is_paused(const struct scale_fleet *fleet, uint32_t index)
{
    return fleet->daemons[index].paused;
}

bool scale_fleet_serves(const struct scale_fleet *fleet, uint32_t index, uint32_t group)
{
    const struct scale_daemon *daemon = &fleet->daemons[index];
    return daemon->running && scale_holdings_serve(daemon, group);
}

struct membership *scale_fleet_membership(const struct scale_fleet *fleet, uint32_t daemon)
{
    return fleet->daemons[daemon].membership;
}

struct ownership *scale_fleet_ownership(const struct scale_fleet *fleet, uint32_t daemon)
{
    return fleet->daemons[daemon].ownership;
}

struct currency *scale_fleet_currency(const struct scale_fleet *fleet, uint32_t daemon)
{
    return fleet->daemons[daemon].currency;
}

struct dissemination *scale_fleet_dissemination(const struct scale_fleet *fleet, uint32_t daemon)
{
    return fleet->daemons[daemon].dissemination;
}

uint64_t scale_fleet_id(const struct scale_fleet *fleet, uint32_t daemon)
{
    return fleet->daemons[daemon].id;
}

uint16_t scale_fleet_zone(const struct scale_fleet *fleet, uint32_t daemon)
{
    return fleet->daemons[daemon].zone;
}

uint16_t scale_fleet_region(const struct scale_fleet *fleet, uint32_t daemon)
{
    return scale_network_region(fleet->network, fleet->daemons[daemon].zone);
}

uint16_t scale_fleet_zones(const struct scale_fleet *fleet)
{
    return (uint16_t)fleet->options.network.zones;
}

uint16_t scale_fleet_group_region(const struct scale_fleet *fleet, uint32_t group)
{
    return scale_network_region(fleet->network, fleet->groups[group].ownership.zones[0]);
}

bool scale_fleet_was_changed(const struct scale_fleet *fleet, uint32_t group)
{
    return fleet->groups[group].change.failed_at > 0;
}

uint32_t scale_fleet_racks(const struct scale_fleet *fleet)
{
    return fleet->options.racks;
}

bool scale_fleet_has_control(const struct scale_fleet *fleet)
{
    return fleet->options.watch.enabled;
}

void scale_fleet_inject(struct scale_fleet *fleet, uint32_t from, uint32_t to,
                        const struct gossip_message *message, time_ns delay)
{
    struct scale_payload *payload = g_new0(struct scale_payload, 1);
    message_init(&payload->message, MESSAGE_KIND_GOSSIP);
    gossip_message_copy(&payload->message.gossip, message);
    if (fleet->options.encode) {
        payload->bytes = message_encode(&payload->message);
        message_clear(&payload->message);
    }
    struct scale_event event = {
        .at = scale_fleet_now(fleet) + delay,
        .kind = SCALE_EVENT_DATAGRAM,
        .daemon = to,
        .from = from,
        .payload = payload,
    };
    scale_network_add(fleet->network, &event);
}

void scale_fleet_measure_start(struct scale_fleet *fleet)
{
    scale_measures_clear(&fleet->measures);
    scale_measures_init(&fleet->measures, scale_fleet_now(fleet));
    for (uint32_t i = 0; i < fleet->options.daemons; i++) {
        fleet->daemons[i].counters = (struct scale_counters){0};
        fleet->daemons[i].counted_from = scale_fleet_now(fleet);
    }
}

/* Adds the worst times of each configuration and status to the samples. */
static void close_samples(struct scale_fleet *fleet)
{
    for (guint i = 0; i < fleet->publications->len; i++) {
        struct scale_publication *publication =
            &g_array_index(fleet->publications, struct scale_publication, i);
        if (publication->worst > 0) {
            scale_samples_add(&fleet->measures.configuration_all, publication->worst);
            publication->worst = 0;
        }
    }
    for (uint32_t i = 0; i < fleet->group_count; i++) {
        scale_observe_close(fleet, &fleet->groups[i]);
    }
}

struct scale_measures *scale_fleet_measures(struct scale_fleet *fleet)
{
    close_samples(fleet);
    return &fleet->measures;
}

struct scale_counters scale_fleet_counters(const struct scale_fleet *fleet, uint32_t index)
{
    const struct scale_daemon *daemon = &fleet->daemons[index];
    struct scale_counters counters = daemon->counters;
    if (daemon->running) {
        counters.running += scale_fleet_now(fleet) - daemon->counted_from;
    }
    return counters;
}

bool scale_fleet_state(const struct scale_fleet *fleet, uint32_t index,
                       size_t bytes[SCALE_PART_COUNT])
{
    const struct scale_daemon *daemon = &fleet->daemons[index];
    if (!daemon->running) {
        return false;
    }
    bytes[SCALE_PART_MEMBERSHIP] = membership_memory(daemon->membership);
    bytes[SCALE_PART_OWNERSHIP] = ownership_memory(daemon->ownership);
    bytes[SCALE_PART_BUDGETS] = scale_holdings_memory(daemon);
    bytes[SCALE_PART_DISSEMINATION] = dissemination_memory(daemon->dissemination);
    bytes[SCALE_PART_CONTROL] = scale_control_memory(daemon);
    bytes[SCALE_PART_CURRENCY] = currency_memory(daemon->currency);
    return true;
}

uint32_t scale_fleet_groups_owned(const struct scale_fleet *fleet, uint32_t index)
{
    const struct scale_daemon *daemon = &fleet->daemons[index];
    return daemon->running ? g_hash_table_size(daemon->holdings) : 0;
}
