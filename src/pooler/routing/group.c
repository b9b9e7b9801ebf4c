/* State of a group of databases in a worker: its primary, its databases and owners, and the direct
 * fallback while no owner is reachable. */
#include "pooler/worker/worker_internal.h"

#include <string.h>

/* Time without a reachable owner after which the direct fallback may start. After a loss of all
 * poolers, hundreds start together: the owners take up to 0.3 s to start and respond, and direct
 * connections opened in that time would use up the databases' connections that the owners need. */
#define FALLBACK_AFTER_NS (400 * NANOSECONDS_PER_MILLISECOND)

struct group *
group_of(struct worker *worker, struct group_shared *shared)
{
    struct group *group = g_hash_table_lookup(worker->groups, shared->service);
    if (group == NULL) {
        group = g_new0(struct group, 1);
        group->worker = worker;
        group->shared = shared;
        group->databases = g_ptr_array_new();
        group->links = g_ptr_array_new();
        g_queue_init(&group->queue);
        group->no_primary_since = backend_now();
        g_hash_table_insert(worker->groups, shared->service, group);
    }
    return group;
}

static struct database *
find_database(const struct group *group, const struct member_shared *shared)
{
    for (guint i = 0; i < group->databases->len; i++) {
        struct database *database = g_ptr_array_index(group->databases, i);
        if (database->shared == shared) {
            return database;
        }
    }
    return NULL;
}

static bool
is_any(const struct server *server, time_ns now)
{
    return true;
}

static struct database *
apply_member(struct group *group, const struct member_view *member, uint32_t sharers)
{
    struct database *database = find_database(group, member->shared);
    if (database == NULL) {
        database = database_new(group, member->shared);
        g_ptr_array_add(group->databases, database);
    }
    database->address = member->address;
    database->zone = member->zone;
    database->same_zone = member->same_zone;
    database->connections = member->connections;
    database->takes_work = member->takes_work;
    window_set_slots(&database->window, member->slots, sharers);
    database->in_view = true;
    if (member->closed) {
        database_close_where(database, is_any, 0, ANSWER_ABORTED);
    } else if (!member->takes_work) {
        database_close_idle(database);
    }
    return database;
}

/* Closes the idle connections of databases that are no longer in the view, and frees a database
 * once it has no connections. */
static void
drop_removed(struct group *group)
{
    for (guint i = group->databases->len; i > 0; i--) {
        struct database *database = g_ptr_array_index(group->databases, i - 1);
        if (database->in_view) {
            continue;
        }
        database->takes_work = false;
        database_close_idle(database);
        if (database->servers->len == 0 && group->primary != database) {
            g_ptr_array_remove_index(group->databases, i - 1);
            database_set_fault(database, DATABASE_FAULT_NONE, backend_now());
            database_free(database);
        }
    }
}

/* True for connections with a write or a read-write transaction, which are closed at a database
 * that is no longer the primary. */
static bool
is_writing(const struct server *server, time_ns now)
{
    bool read_write =
        server->in_transaction && server->session != NULL && !server->session->read_only;
    return read_write || (server->state == SERVER_RUNNING && server->running_writes);
}

static void
apply_order(struct group *group, const struct pooled_group *view, struct database *primary)
{
    struct database *previous = group->primary;
    bool other_term = group->term != 0 && view->term != group->term;
    bool moved = primary != previous || other_term;
    group->primary = primary;
    group->term = view->term;
    group->phase = view->phase;
    group->epoch = view->epoch;
    bool open = primary != NULL && view->phase == GROUP_PHASE_OPEN;
    if (open && group->no_primary_since != 0) {
        queue_rate_restart(&group->queue_rate[QUEUE_LINE_PRIMARY], backend_now());
        group->no_primary_since = 0;
    } else if (!open && group->no_primary_since == 0) {
        group->no_primary_since = backend_now();
    }
    if (moved) {
        group->checks_failed = 0;
        freshness_clear(&group->freshness);
        group->leadership_proven_at = 0;
    }
    if (previous != NULL && (moved || view->phase == GROUP_PHASE_CLOSED)) {
        database_close_where(previous, is_writing, 0, ANSWER_IN_DOUBT);
    }
}

static void
apply_owners(struct group *group, const struct pooled_group *view)
{
    g_ptr_array_set_size(group->links, 0);
    group->links_same_zone = 0;
    group->own_address = NULL;
    for (size_t i = 0; i < view->owners_count; i++) {
        const owner_view_t *owner = &view->owners[i];
        if (owner->self) {
            group->own_address = g_intern_string(owner->text);
            continue;
        }
        link_t *link = link_get(group->worker, owner->text, &owner->address);
        link_set_zone(link, owner->zone);
        g_ptr_array_add(group->links, link);
        group->links_same_zone += owner->same_zone;
    }
}

/* Closes idle connections after the group's connections were assigned to other poolers. */
static void
close_connections(struct group *group)
{
    for (guint i = 0; i < group->databases->len; i++) {
        database_close_idle(g_ptr_array_index(group->databases, i));
    }
}

/* Opens connections in advance, because an opening takes long compared with a statement. None is
 * opened before the primary is known. */
static void
open_ready(struct group *group)
{
    time_ns now = backend_now();
    if (group->direct_fallback) {
        return; /* the owners may need the connections: none is opened without a statement */
    }
    for (guint i = 0; group->primary != NULL && i < group->databases->len; i++) {
        database_open_ready(g_ptr_array_index(group->databases, i), now);
    }
}

void
group_apply(struct group *group, const struct pooled_group *view)
{
    struct database *primary = NULL;
    group->sync_replicas = view->sync_replicas;
    group->connections = view->connections;
    group->fallback_connections = view->fallback_connections;
    apply_owners(group, view);
    group->direct_fallback =
        group->direct_fallback && group->connections == 0 && forward_all_unreachable(group);
    if (group->direct_fallback) {
        group->connections = group->fallback_connections;
    }
    if (group->connections == 0) {
        close_connections(group);
    }
    for (guint i = 0; i < group->databases->len; i++) {
        ((struct database *)g_ptr_array_index(group->databases, i))->in_view = false;
    }
    for (size_t i = 0; i < view->members_count; i++) {
        struct database *database = apply_member(group, &view->members[i], view->sharers);
        if ((int)i == view->primary && !view->members[i].closed) {
            primary = database;
        }
    }
    if (view->epoch != group->epoch || primary != group->primary) {
        apply_order(group, view, primary);
    }
    drop_removed(group);
    open_ready(group);
    group_note_in_flight(group);
    atomic_store(&group->shared->workers[group->worker->index].epoch, group->epoch);
}

void
group_refresh(struct group *group)
{
    time_ns now = backend_now();
    if (group->direct_fallback || (router_forwards(group) && group->queue.length > 0)) {
        forward_reconnect(group);
    } else {
        group->unreachable_since = 0; /* no statement waits; the next one tries the owners again */
    }
    open_ready(group);
    for (guint i = 0; i < group->databases->len; i++) {
        database_close_unused(g_ptr_array_index(group->databases, i), now);
    }
}

/* True if no owner has been reachable for FALLBACK_AFTER_NS. */
static bool
is_without_owners(struct group *group)
{
    time_ns now = backend_now();
    return forward_all_unreachable(group) && group->unreachable_since != 0 &&
           now >= group->unreachable_since + FALLBACK_AFTER_NS;
}

bool
group_start_direct_fallback(struct group *group)
{
    if (group->fallback_connections == 0 || !is_without_owners(group)) {
        return false;
    }
    g_log_structured("router", G_LOG_LEVEL_MESSAGE, "SW_SERVICE", group->shared->service, "MESSAGE",
                     "Group %s: none of its %u owners can be reached; statements go directly to "
                     "the databases, by up to %u connections to each.",
                     group->shared->service, group->links->len, group->fallback_connections);
    group->direct_fallback = true;
    group->connections = group->fallback_connections;
    return true;
}

void
group_end_direct_fallback(struct group *group)
{
    if (forward_all_unreachable(group)) {
        return;
    }
    group->unreachable_since = 0;
    if (!group->direct_fallback) {
        return;
    }
    g_log_structured("router", G_LOG_LEVEL_MESSAGE, "SW_SERVICE", group->shared->service, "MESSAGE",
                     "Group %s: an owner can be reached again; statements go to the owners.",
                     group->shared->service);
    group->direct_fallback = false;
    group->connections = 0; /* open connections are closed once they were idle for a while */
}

void
group_note_in_flight(struct group *group)
{
    uint32_t count = group->primary == NULL ? 0 : group->primary->in_flight;
    struct worker_figures *figures = &group->shared->workers[group->worker->index];
    uint32_t before = atomic_exchange(&figures->in_flight, count);
    if (count == 0 && before != 0 && group->phase == GROUP_PHASE_DRAINING) {
        worker_notify_coordinator(group->worker);
    }
}

/* True if other poolers hold the group's connections, and this worker has no queued statements,
 * open connections or faults of it. This holds for most groups at most poolers. */
static bool
is_inactive(const struct group *group)
{
    if (group->connections > 0 || group->queue.length > 0 ||
        atomic_load(&group->shared->faults) > 0) {
        return false;
    }
    for (guint i = 0; i < group->databases->len; i++) {
        const struct database *database = g_ptr_array_index(group->databases, i);
        if (database->servers->len > 0 || !database->in_view) {
            return false;
        }
    }
    return true;
}

bool
group_tick(struct group *group, time_ns now)
{
    bool faulty = false;
    if (is_inactive(group)) {
        return false;
    }
    if (group->direct_fallback) {
        forward_reconnect(group);
    }
    for (guint i = 0; i < group->databases->len; i++) {
        struct database *database = g_ptr_array_index(group->databases, i);
        database_tick(database, now);
        faulty =
            faulty || (database->takes_work && database_fault(database) != DATABASE_FAULT_NONE);
    }
    drop_removed(group);
    router_run_queue(group);
    return router_check_shortage(group, now) || faulty;
}
