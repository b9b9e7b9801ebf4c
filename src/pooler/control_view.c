/* Builds the workers' view from configuration, directory and orders, and publishes it. */
#define G_LOG_DOMAIN "control"
#include "pooler/control_internal.h"

#include "wire/address.h"

#include <string.h>
#include <urcu-bp.h>

/* Connections to each database left for the coordinator and for poolers that come and go. */
#define CONNECTIONS_SPARE 3

/* Connections to each database of a pooler that nobody has told how many poolers there are. */
#define CONNECTIONS_UNTOLD 1

/* A pooler that starts opens no connections before: with many poolers, these would be too many. */
#define TOLD_SOON_NS (600 * MS)

struct member_shared *
control_member(struct control *control, const char *id)
{
    struct member_shared *member = g_hash_table_lookup(control->members, id);
    if (member == NULL) {
        member = g_new0(struct member_shared, 1);
        member->id = g_strdup(id);
        g_hash_table_insert(control->members, member->id, member);
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
    return control->members_told > 0 ? control->members_told : control->lease.record.poolers;
}

uint32_t
control_direct_share(const struct control *control, const struct service *service)
{
    uint32_t members = control_fleet_size(control);
    uint32_t room = service->max_connections > CONNECTIONS_SPARE
                        ? service->max_connections - CONNECTIONS_SPARE
                        : 1;
    return members == 0 ? 0 : room / (members * control->workers_count);
}

/* A pooler that starts while neither the store nor a coordinator is there opens a few connections
 * after a while. */
static uint32_t
connections_of(const struct control *control, const struct service *service)
{
    if (control_fleet_size(control) > 0) {
        return control_direct_share(control, service);
    }
    return backend_now() < control->started_at + TOLD_SOON_NS ? 0 : CONNECTIONS_UNTOLD;
}

static bool
is_owner(const struct control *control, const struct pooler_ownership *ownership)
{
    for (size_t i = 0; i < ownership->owners_count; i++) {
        if (g_str_equal(ownership->owners[i].address, control->settings->pooler.forward_listen)) {
            return true;
        }
    }
    return false;
}

bool
control_view_forwards(const struct control *control, const char *service)
{
    const struct pooler_ownership *ownership = control_owners_of(control, service);
    return ownership != NULL && ownership->owners_count > 0 && !is_owner(control, ownership);
}

static void
add_owner(const struct pooler_owner *owner, bool same_zone, struct pooled_group *out)
{
    owner_view_t *view = &out->owners[out->owners_count];
    if (parse_address(owner->address, &view->address)) {
        view->text = g_strdup(owner->address);
        view->same_zone = same_zone;
        out->owners_count++;
    }
}

/* Near owners come first. Each pooler begins with another one, so that they share the load. */
static void
fill_owners(const struct control *control, const struct pooler_ownership *ownership,
            struct pooled_group *out)
{
    guint start = g_str_hash(control->settings->pooler.name);
    out->owners = g_new0(owner_view_t, ownership->owners_count);
    for (int near = 1; near >= 0; near--) {
        for (size_t i = 0; i < ownership->owners_count; i++) {
            const struct pooler_owner *owner =
                &ownership->owners[(start + i) % ownership->owners_count];
            bool same_zone = g_str_equal(owner->zone, control->settings->pooler.zone);
            if (same_zone == (near == 1)) {
                add_owner(owner, same_zone, out);
            }
        }
    }
}

/* Who opens connections to the group's databases: this pooler, as many as it is told, or its
 * owners. */
static void
fill_connections(const struct control *control, const struct service *service,
                 struct pooled_group *out)
{
    const struct pooler_ownership *ownership = control_owners_of(control, service->name);
    if (ownership == NULL || ownership->owners_count == 0) {
        out->connections = connections_of(control, service);
    } else if (is_owner(control, ownership)) {
        out->connections = ownership->connections;
    } else {
        fill_owners(control, ownership, out);
        out->alone_connections = control_direct_share(control, service);
    }
}

static size_t
count_members(const struct control *control, const char *service)
{
    size_t count = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->directory.entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        count += g_str_equal(((struct directory_entry *)value)->service, service);
    }
    return count;
}

static void
fill_member(struct control *control, const struct directory_entry *entry, time_ns now,
            struct member_view *out)
{
    time_ns heartbeat = control->settings->store.heartbeat_ms * MS;
    out->shared = control_member(control, entry->id);
    out->address = entry->address;
    out->same_zone = g_str_equal(entry->zone, control->settings->pooler.zone);
    out->takes_work = !directory_entry_leaves(entry, now, heartbeat);
}

/* The one database that says of itself that it leads; NULL if none or several do. */
static const char *
find_self_declared(const struct control *control, const char *service)
{
    const char *found = NULL;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->directory.entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct directory_entry *entry = value;
        if (!entry->leads || entry->gone_at != 0 || !g_str_equal(entry->service, service)) {
            continue;
        }
        if (found != NULL) {
            return NULL;
        }
        found = entry->id;
    }
    return found;
}

/* Before any order is known, as after a loss of power, work goes to the database that says it
 * leads: a replaced one can acknowledge nothing, and reads there are proven by the databases'
 * statuses. */
static void
fill_unordered(struct control *control, const struct service *service, struct group_state *assumed)
{
    if (assumed->epoch == 0 && service->sync_replicas > 0) {
        assumed->primary = (char *)find_self_declared(control, service->name);
        assumed->phase = assumed->primary == NULL ? GROUP_PHASE_UNKNOWN : GROUP_PHASE_OPEN;
    }
}

static void
fill_group(struct control *control, const struct service *service, time_ns now,
           struct pooled_group *out)
{
    struct group_state assumed = *control_group(control, service->name);
    const struct group_state *state = &assumed;
    fill_unordered(control, service, &assumed);
    GHashTableIter iterator;
    gpointer value = NULL;
    *out = (struct pooled_group){
        .shared = state->shared,
        .epoch = state->epoch,
        .phase = state->phase,
        .term = state->term,
        .primary = -1,
        .sync_replicas = service->sync_replicas,
    };
    fill_connections(control, service, out);
    out->members = g_new0(struct member_view, count_members(control, service->name) + 1);
    g_hash_table_iter_init(&iterator, control->directory.entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct directory_entry *entry = value;
        if (!g_str_equal(entry->service, service->name)) {
            continue;
        }
        if (state->primary != NULL && g_str_equal(state->primary, entry->id)) {
            out->primary = (int)out->members_count;
        }
        fill_member(control, entry, now, &out->members[out->members_count]);
        out->members_count++;
    }
}

void
control_publish(struct control *control)
{
    if (!control->view_dirty || control->configuration == NULL) {
        return;
    }
    control->view_dirty = false;
    time_ns now = backend_now();
    GPtrArray *services = control->configuration->services;
    struct view *view = g_new0(struct view, 1);
    view->configuration = configuration_ref(control->configuration);
    view->groups = g_new0(struct pooled_group, services->len + 1);
    for (guint i = 0; i < services->len; i++) {
        fill_group(control, g_ptr_array_index(services, i), now, &view->groups[i]);
        view->groups_count++;
    }
    struct view *old = rcu_xchg_pointer(&control->shared.view, view);
    for (unsigned i = 0; i < control->workers_count; i++) {
        worker_wake(control->workers[i]);
    }
    synchronize_rcu();
    view_free(old);
}

/* True if some database is known that no fault stands against. */
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

bool
control_is_ready(const struct control *control)
{
    return control->configuration != NULL && atomic_load(&control->shared.stop_at) == 0 &&
           any_database_answers(control);
}
