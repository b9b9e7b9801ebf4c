/* Text description of a deployment; see the header. */
#include "cluster_state.h"

#include "daemon/control.h"
#include "daemon_probe.h"

static const char *role_name(enum database_role role)
{
    static const char *const names[] = {"unknown", "primary", "replica"};
    return names[role];
}

static void add_position(GString *text, const char *name, struct log_position position)
{
    g_string_append_printf(text, " %s=%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT, name,
                           position.term, position.offset);
}

/* The state that a database reports. */
static void add_database(GString *text, const struct cluster *cluster, unsigned index)
{
    struct database *database = cluster->databases[index]->database;
    pthread_mutex_lock(&database->lock);
    g_string_append_printf(
        text, "  %s: %s of term %" G_GUINT64_FORMAT ", promised %" G_GUINT64_FORMAT " to %s,%s%s",
        database->name, role_name(database->role), database->term, database->promised_term,
        database->promised_to, database->leaving ? " leaving," : "",
        database->writer_owner != NULL ? " a write is open," : "");
    add_position(text, "held", database_held(database));
    add_position(text, "applied", database_applied(database));
    pthread_mutex_unlock(&database->lock);
    g_string_append_printf(text, ", slots used %u\n", cluster_slots_used(cluster, index));
}

/* A daemon's view of the group's databases. */
static void add_view(GString *text, const struct cluster *cluster, unsigned index)
{
    struct group_view view = cluster_view(cluster, index);
    g_string_append_printf(text, "    view: term %" G_GUINT64_FORMAT ", primary %d%s\n", view.term,
                           view.primary, view.writes_paused ? ", writes paused" : "");
    for (uint32_t i = 0; i < view.database_count; i++) {
        const struct database_view *database = &view.databases[i];
        g_string_append_printf(text, "      database %u: %s of term %" G_GUINT64_FORMAT "%s%s,", i,
                               role_name(database->status.role), database->status.term,
                               database->reachable ? "" : ", unreachable",
                               database->status.leaving ? ", leaving" : "");
        add_position(text, "held", database->status.held);
        add_position(text, "applied", database->status.applied);
        g_string_append(text, "\n");
    }
}

static void add_members(GString *text, const struct cluster *cluster, unsigned index)
{
    g_autoptr(GArray) members = control_list_members(cluster->daemons[index]->control);
    g_string_append(text, "    members:");
    for (guint i = 0; i < members->len; i++) {
        const struct control_member *member = &g_array_index(members, struct control_member, i);
        g_string_append_printf(text, " %s%s%s", member->address, member->self ? " (itself)" : "",
                               member->usable ? "" : " (not usable)");
    }
    g_string_append(text, "\n");
}

static void add_daemon(GString *text, const struct cluster *cluster, unsigned index)
{
    struct daemon *daemon = cluster->daemons[index];
    struct owner_list owners;
    bool owns = cluster_is_owner(cluster, index);
    control_owners_of(daemon->control, CLUSTER_GROUP, &owners);
    g_string_append_printf(
        text,
        "  %s:%s%s, knows %u owners, tasks open %u, transactions open %u, calls in flight %u, "
        "callers' connections %u\n",
        daemon->settings.daemon.name, owns ? " owns the group" : " does not own the group",
        control_is_settled(daemon->control) ? "" : ", not settled", owners.count + owners.self,
        atomic_load(&daemon->tasks_open), daemon_open_transactions(daemon),
        frontend_in_flight(daemon->frontend), frontend_connections(daemon->frontend));
    add_members(text, cluster, index);
    if (owns) {
        add_view(text, cluster, index);
    }
}

char *cluster_state_describe(const struct cluster *cluster)
{
    GString *text = g_string_new("The deployment:\n");
    for (unsigned i = 0; i < cluster->options.databases; i++) {
        add_database(text, cluster, i);
    }
    for (unsigned i = 0; i < CLUSTER_DAEMONS_MAX; i++) {
        if (cluster->daemons[i] != NULL) {
            add_daemon(text, cluster, i);
        }
    }
    return g_string_free(text, FALSE);
}
