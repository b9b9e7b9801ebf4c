/* Builds the workers' view from configuration, directory and orders, and publishes it. */
#define G_LOG_DOMAIN "control"
#include "pooler/control/control_internal.h"

#include "wire/address.h"

#include <string.h>
#include <urcu-bp.h>
#include <xxhash.h>

/* Connections to each database reserved for the coordinator and for poolers that join or leave. */
#define CONNECTIONS_SPARE 3

/* Connections to each database that a worker may open while the size of the fleet is unknown. */
#define CONNECTIONS_FLEET_UNKNOWN 1

/* A pooler that starts opens no connections earlier while the size of the fleet is unknown: a large
 * fleet would open too many. */
#define FLEET_SIZE_WAIT_NS (600 * MS)

/* The state of the database's earlier process is kept, as workers may still refer to it. */
struct member_shared *
control_member(struct control *control, const struct directory_entry *entry)
{
    struct member_shared *member = g_hash_table_lookup(control->members, entry->id);
    if (member == NULL || member->born_ms != entry->born_ms) {
        member = g_new0(struct member_shared, 1);
        member->id = g_strdup(entry->id);
        member->born_ms = entry->born_ms;
        g_hash_table_replace(control->members, member->id, member);
    }
    return member;
}

struct group_state *
control_group(struct control *control, const char *service)
{
    struct group_state *group = g_hash_table_lookup(control->groups, service);
    if (group == NULL) {
        group = g_new0(struct group_state, 1);
        group->shared = g_new0(struct group_shared, 1);
        group->shared->service = g_strdup(service);
        group->phase = GROUP_PHASE_UNKNOWN;
        g_hash_table_insert(control->groups, group->shared->service, group);
    }
    return group;
}

uint32_t
control_fleet_size(const struct control *control)
{
    return control->fleet_count > 0 ? control->fleet_count : control->lease.record.poolers;
}

uint32_t
control_direct_share(const struct control *control, const struct service *service)
{
    uint32_t members = control_fleet_size(control);
    uint32_t capacity = service->max_connections > CONNECTIONS_SPARE
                            ? service->max_connections - CONNECTIONS_SPARE
                            : 1;
    return members == 0 ? 0 : capacity / (members * control->workers_count);
}

/* A pooler that starts while neither the store nor a coordinator can be reached opens a few
 * connections after a while. */
static uint32_t
direct_connections(const struct control *control, const struct service *service)
{
    if (control_fleet_size(control) > 0) {
        return control_direct_share(control, service);
    }
    return backend_now() < control->started_at + FLEET_SIZE_WAIT_NS ? 0 : CONNECTIONS_FLEET_UNKNOWN;
}

static bool
is_owner(const struct control *control, const fleet_owners_t *owners)
{
    return fleet_owners_include(owners, control->forward_address);
}

bool
control_view_forwards(const struct control *control, const struct service *service)
{
    const fleet_owners_t *owners = control_fleet_owners(control, service);
    return owners != NULL && !owners->direct && !is_owner(control, owners);
}

static void
add_owner(const struct control *control, const fleet_member_t *owner, bool same_zone,
          struct pooled_group *out)
{
    owner_view_t *view = &out->owners[out->owners_count];
    if (parse_address(owner->address, &view->address)) {
        view->text = g_strdup(owner->address);
        view->zone = owner->zone;
        view->same_zone = same_zone;
        view->self = g_str_equal(owner->address, control->forward_address);
        out->owners_count++;
    }
}

/* Owners in this zone come first. Poolers start at different owners, to distribute the load. */
static void
fill_owners(const struct control *control, const fleet_owners_t *owners, struct pooled_group *out)
{
    guint start = g_str_hash(control->settings->pooler.name);
    out->owners = g_new0(owner_view_t, owners->members->len);
    for (int same = 1; same >= 0; same--) {
        for (guint i = 0; i < owners->members->len; i++) {
            const fleet_member_t *owner =
                g_ptr_array_index(owners->members, (start + i) % owners->members->len);
            bool same_zone = g_str_equal(owner->zone, control->settings->pooler.zone);
            if (same_zone == (same == 1)) {
                add_owner(control, owner, same_zone, out);
            }
        }
    }
}

static evacuation_phase_t
evacuation_phase(const struct control *control, const struct directory_entry *entry, time_ns now)
{
    return evacuations_phase(&control->evacuations, entry->zone, now);
}

bool
control_takes_work(const struct control *control, const struct directory_entry *entry, time_ns now)
{
    time_ns heartbeat = control->settings->store.heartbeat_ms * MS;
    return !directory_entry_leaves(entry, now, heartbeat) &&
           evacuation_phase(control, entry, now) == EVACUATION_NONE;
}

static void
fill_member(struct control *control, const struct directory_entry *entry, time_ns now,
            struct member_view *out)
{
    out->shared = control_member(control, entry);
    out->address = entry->address;
    out->zone = g_intern_string(entry->zone);
    out->same_zone = g_str_equal(entry->zone, control->settings->pooler.zone);
    out->takes_work = control_takes_work(control, entry, now);
    out->closed = evacuation_phase(control, entry, now) == EVACUATION_CLOSED;
    out->slots = entry->slots;
}

/* If each tenant has its own connections, owners in the database's zone get more, as most
 * statements reach the database through them. */
static void
fill_share(const struct control *control, const struct service *service, struct member_view *out)
{
    const fleet_owners_t *owners = control_fleet_owners(control, service);
    bool keyed = control->configuration->keys != NULL && owners != NULL && !owners->direct &&
                 is_owner(control, owners);
    out->connections =
        keyed ? fleet_owners_share(control->fleet, owners, out->zone, out->same_zone) : 0;
}

/* Before any order is known, as after a power failure, work goes to the database that reports to be
 * the primary: a replaced primary can acknowledge no write, and reads there are proven by the
 * databases' statuses. */
static void
assume_primary(struct control *control, const struct service *service, struct group_state *assumed)
{
    if (assumed->epoch == 0 && service->sync_replicas > 0) {
        assumed->primary = (char *)directory_leader(&control->directory, service->name);
        assumed->phase = assumed->primary == NULL ? GROUP_PHASE_UNKNOWN : GROUP_PHASE_OPEN;
    }
}

/* Digest of everything in the directory that the group's view contains. */
static uint64_t
digest_of_members(const struct control *control, const GPtrArray *entries, time_ns now)
{
    uint64_t digest = entries->len;
    for (guint i = 0; i < entries->len; i++) {
        const struct directory_entry *entry = g_ptr_array_index(entries, i);
        const uint64_t state[] = {entry->version, entry->deleted_at,
                                  control_takes_work(control, entry, now),
                                  evacuation_phase(control, entry, now), g_str_hash(entry->id)};
        digest ^= XXH3_64bits(state, sizeof state);
    }
    return digest;
}

/* Number of workers, of all poolers, that send statements to the group's databases. */
static uint32_t
count_sharers(const struct control *control, const struct service *service)
{
    const fleet_owners_t *owners = control_fleet_owners(control, service);
    bool owned = owners != NULL && !owners->direct;
    uint32_t poolers = owned ? owners->members->len : control_fleet_size(control);
    return poolers * control->workers_count;
}

/* The inputs of the group's view: among them which poolers open connections to its databases,
 * either all or the owners, and how many. */
static void
compute_inputs(const struct control *control, const struct service *service,
               const struct group_state *state, time_ns now, view_inputs_t *out)
{
    const fleet_owners_t *owners = control_fleet_owners(control, service);
    const GPtrArray *entries = directory_group(&control->directory, service->name);
    *out = (view_inputs_t){
        .epoch = state->epoch,
        .owners = owners == NULL ? 0 : owners->revision,
        .members = digest_of_members(control, entries, now),
        .sharers = count_sharers(control, service),
        .sync_replicas = service->sync_replicas,
        .keyed = control->configuration->keys != NULL,
    };
    if (owners == NULL || owners->direct) {
        out->connections = direct_connections(control, service);
    } else if (is_owner(control, owners)) {
        out->connections = owners->connections;
    } else {
        out->fallback_connections = control_direct_share(control, service);
    }
}

static void
fill_members(struct control *control, const struct service *service, const char *primary,
             time_ns now, struct pooled_group *out)
{
    const GPtrArray *entries = directory_group(&control->directory, service->name);
    out->members = g_new0(struct member_view, entries->len + 1);
    for (guint i = 0; i < entries->len; i++) {
        const struct directory_entry *entry = g_ptr_array_index(entries, i);
        if (primary != NULL && g_str_equal(primary, entry->id)) {
            out->primary = (int)i;
        }
        fill_member(control, entry, now, &out->members[i]);
        fill_share(control, service, &out->members[i]);
    }
    out->members_count = entries->len;
}

static struct pooled_group *
make_group(struct control *control, const struct service *service, const struct group_state *state,
           const view_inputs_t *inputs, time_ns now)
{
    struct group_state assumed = *state;
    struct pooled_group *out = pooled_group_new();
    assume_primary(control, service, &assumed);
    out->shared = state->shared;
    out->revision = ++control->view_revision;
    out->epoch = assumed.epoch;
    out->phase = assumed.phase;
    out->term = assumed.term;
    out->primary = -1;
    out->sync_replicas = inputs->sync_replicas;
    out->connections = inputs->connections;
    out->fallback_connections = inputs->fallback_connections;
    out->sharers = (uint32_t)inputs->sharers;
    const fleet_owners_t *owners = control_fleet_owners(control, service);
    if (owners != NULL && !owners->direct) {
        fill_owners(control, owners, out);
    }
    fill_members(control, service, assumed.primary, now, out);
    return out;
}

/* The group's view to publish: the last one, unless one of its inputs has changed. */
static struct pooled_group *
group_to_publish(struct control *control, const struct service *service, time_ns now)
{
    struct group_state *state = control_group(control, service->name);
    view_inputs_t inputs;
    compute_inputs(control, service, state, now, &inputs);
    bool same = state->view != NULL && memcmp(&inputs, &state->view_inputs, sizeof inputs) == 0;
    if (!same) {
        g_clear_pointer(&state->view, pooled_group_unref);
        state->view = make_group(control, service, state, &inputs, now);
        state->view_inputs = inputs;
    }
    return pooled_group_ref(state->view);
}

static void
publish_view(struct control *control)
{
    control->view_dirty = false;
    time_ns now = backend_now();
    GPtrArray *services = control->configuration->services;
    struct view *view = g_new0(struct view, 1);
    view->number = ++control->view_number;
    view->configuration = configuration_ref(control->configuration);
    roster_t *roster = control_fleet_roster(control);
    view->roster = roster == NULL ? NULL : roster_ref(roster);
    view->groups = g_new0(struct pooled_group *, services->len + 1);
    for (guint i = 0; i < services->len; i++) {
        view->groups[i] = group_to_publish(control, g_ptr_array_index(services, i), now);
        view->groups_count++;
    }
    struct view *old = rcu_xchg_pointer(&control->shared.view, view);
    for (unsigned i = 0; i < control->workers_count; i++) {
        worker_wake(control->workers[i]);
    }
    synchronize_rcu();
    view_free(old);
}

void
control_publish(struct control *control)
{
    if (control->configuration == NULL) {
        return;
    }
    if (control->view_dirty) {
        publish_view(control);
    }
    /* After the view: a worker that reads this time also sees the configuration that it refers to.
     */
    atomic_store(&control->shared.configuration_proven_at, control->proven_at);
    if (control->shared.counting != NULL) {
        counting_set_valid_until(control->shared.counting, control->roster_valid_until);
    }
}

/* True if there is a known database without a fault. */
static bool
any_database_answers(const struct control *control)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->directory.entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct directory_entry *entry = value;
        const struct member_shared *member = g_hash_table_lookup(control->members, entry->id);
        if (member == NULL || atomic_load(&member->fault) == DATABASE_FAULT_NONE) {
            return true;
        }
    }
    return false;
}

/* Without proof that keys are still valid, clients are better served by another pooler. */
static bool
may_serve_keys(const struct control *control)
{
    return control->configuration->keys == NULL ||
           proof_is_valid(control->proven_at, control->shared.proof_lifetime, backend_now());
}

bool
control_is_ready(const struct control *control)
{
    return control->configuration != NULL && atomic_load(&control->shared.stop_at) == 0 &&
           may_serve_keys(control) && any_database_answers(control) &&
           !control->zone_reachability.partitioned;
}
