/* The JSON of the operators' questions; see the header. */
#include "daemon/admin_status.h"

#include <json-glib/json-glib.h>

#include "backend/clock.h"
#include "core/error.h"
#include "core/position_samples.h"
#include "core/route.h"
#include "daemon/control.h"
#include "daemon/control_configuration.h"
#include "daemon/daemon.h"
#include "daemon/journal.h"
#include "generated/errors.h"

static void add_text(JsonBuilder *builder, const char *name, const char *value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_string_value(builder, value);
}

static void add_number(JsonBuilder *builder, const char *name, uint64_t value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_int_value(builder, (gint64)value);
}

static void add_flag(JsonBuilder *builder, const char *name, bool value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_boolean_value(builder, value);
}

static void add_position(JsonBuilder *builder, const char *name, struct log_position position)
{
    json_builder_set_member_name(builder, name);
    json_builder_begin_object(builder);
    add_number(builder, "term", position.term);
    add_number(builder, "offset", position.offset);
    json_builder_end_object(builder);
}

static void finish(JsonBuilder *builder, GString *out)
{
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    g_autofree char *text = json_to_string(root, TRUE);
    g_string_append(out, text);
    g_string_append_c(out, '\n');
}

static const char *role_name(enum database_role role)
{
    switch (role) {
    case DATABASE_ROLE_PRIMARY:
        return "primary";
    case DATABASE_ROLE_REPLICA:
        return "replica";
    case DATABASE_ROLE_UNKNOWN:
        break;
    }
    return "unknown";
}

/* Time by which a replica's reads are behind the primary, milliseconds. */
static uint64_t lag_ms(const struct group_view *view, const struct database_view *database)
{
    struct log_position missing = database->status.applied;
    missing.offset++;
    time_ns now = backend_now();
    time_ns since = position_samples_time_of(view, missing, now);
    return since < database->observed_at ? (database->observed_at - since) / 1000000 : 0;
}

static void add_database(JsonBuilder *builder, struct group_runtime *group,
                         const struct group_view *view, uint32_t index)
{
    struct database_runtime *runtime = &group->databases[index];
    const struct database_view *database = &view->databases[index];
    struct pool_counters counters = pool_counters(runtime->pool);
    json_builder_begin_object(builder);
    add_text(builder, "name", runtime->configuration.name);
    add_flag(builder, "reachable", database->reachable);
    add_text(builder, "role", role_name(database->status.role));
    add_number(builder, "term", database->status.term);
    add_number(builder, "promised_term", database->status.promised_term);
    add_position(builder, "held", database->status.held);
    add_position(builder, "applied", database->status.applied);
    add_number(builder, "lag_ms", lag_ms(view, database));
    add_flag(builder, "leaving", database->status.leaving);
    add_number(builder, "round_trip_us", database->round_trip_us);
    add_number(builder, "connections_open", counters.open);
    add_number(builder, "connections_limit", counters.limit);
    add_number(builder, "slots_in_use", atomic_load(&runtime->in_flight));
    add_number(builder, "slots", runtime->configuration.slots);
    json_builder_end_object(builder);
}

static void add_group(JsonBuilder *builder, struct daemon *daemon, struct group_runtime *group)
{
    struct group_view view;
    struct owner_list owners;
    group_runtime_read_view(group, &view);
    control_owners_of(daemon->control, group->group->id, &owners);
    json_builder_begin_object(builder);
    add_text(builder, "name", group->group->name);
    add_number(builder, "id", group->group->id);
    add_number(builder, "term", view.term);
    add_text(builder, "primary",
             view.primary >= 0 ? group->databases[view.primary].configuration.name : "");
    add_flag(builder, "writes_paused", view.writes_paused);
    add_flag(builder, "owned_here", owners.self);
    add_number(builder, "owners", owners.count + (owners.self ? 1 : 0));
    add_number(builder, "reads", atomic_load(&group->reads));
    add_number(builder, "reads_by_primary_fallback", atomic_load(&group->primary_reads));
    json_builder_set_member_name(builder, "databases");
    json_builder_begin_array(builder);
    for (uint32_t i = 0; i < group->database_count; i++) {
        add_database(builder, group, &view, i);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
}

static void add_groups(JsonBuilder *builder, struct daemon *daemon,
                       const struct configuration *configuration)
{
    json_builder_set_member_name(builder, "groups");
    json_builder_begin_array(builder);
    for (guint i = 0; i < configuration->groups->len; i++) {
        const struct group_configuration *group = g_ptr_array_index(configuration->groups, i);
        struct group_runtime *runtime = daemon_take_group(daemon, group->id);
        if (runtime != NULL) {
            add_group(builder, daemon, runtime);
            group_runtime_unref(runtime);
        }
    }
    json_builder_end_array(builder);
}

static void add_members(JsonBuilder *builder, struct daemon *daemon)
{
    g_autoptr(GArray) members = control_list_members(daemon->control);
    json_builder_set_member_name(builder, "members");
    json_builder_begin_array(builder);
    for (guint i = 0; i < members->len; i++) {
        const struct control_member *member = &g_array_index(members, struct control_member, i);
        g_autofree char *id = g_strdup_printf("%" G_GINT64_MODIFIER "x", member->id);
        json_builder_begin_object(builder);
        add_text(builder, "id", id);
        add_text(builder, "address", member->address);
        add_number(builder, "zone", member->zone);
        add_flag(builder, "usable", member->usable);
        add_flag(builder, "self", member->self);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
}

static void add_stragglers(JsonBuilder *builder, const struct configuration_status *status)
{
    add_number(builder, "straggler_count", status->straggler_count);
    json_builder_set_member_name(builder, "stragglers");
    json_builder_begin_array(builder);
    for (uint32_t i = 0; i < MIN(status->straggler_count, CONFIGURATION_STRAGGLERS_MAX); i++) {
        const struct configuration_straggler *straggler = &status->stragglers[i];
        g_autofree char *id = g_strdup_printf("%" G_GINT64_MODIFIER "x", straggler->member);
        json_builder_begin_object(builder);
        add_text(builder, "id", id);
        add_text(builder, "address", straggler->address);
        add_number(builder, "version", straggler->version);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
}

/* Time since the configuration in force was last known to be the newest; null if it never was. */
static void add_confirmed_age(JsonBuilder *builder, const struct configuration_status *status)
{
    json_builder_set_member_name(builder, "confirmed_age_ms");
    if (status->confirmed_at == 0) {
        json_builder_add_null_value(builder);
        return;
    }
    time_ns now = backend_now();
    time_ns age = now > status->confirmed_at ? now - status->confirmed_at : 0;
    json_builder_add_int_value(builder, (gint64)(age / NANOSECONDS_PER_MILLISECOND));
}

static void add_configuration(JsonBuilder *builder, struct daemon *daemon,
                              const struct configuration *configuration)
{
    struct configuration_status status;
    control_configuration_status(daemon->control, &status);
    json_builder_set_member_name(builder, "configuration");
    json_builder_begin_object(builder);
    add_text(builder, "source", status.published ? "published" : "file");
    add_text(builder, "hash", configuration != NULL ? configuration_hash(configuration) : "");
    add_flag(builder, "serving", daemon_may_serve(daemon));
    if (status.published) {
        add_number(builder, "version", status.version);
        add_number(builder, "newest_version", status.newest);
        add_confirmed_age(builder, &status);
        add_text(builder, "reason", status.reason);
        add_stragglers(builder, &status);
    }
    json_builder_end_object(builder);
}

void admin_status_write(struct daemon *daemon, GString *out)
{
    g_autoptr(JsonBuilder) builder = json_builder_new();
    struct configuration *configuration = daemon_take_configuration(daemon);
    json_builder_begin_object(builder);
    add_text(builder, "daemon", daemon->settings.daemon.name);
    add_text(builder, "zone", daemon->settings.daemon.zone);
    add_flag(builder, "stopping", atomic_load(&daemon->stopping));
    add_number(builder, "tasks_open", atomic_load(&daemon->tasks_open));
    add_configuration(builder, daemon, configuration);
    if (configuration != NULL) {
        add_text(builder, "configuration_hash", configuration_hash(configuration));
        add_members(builder, daemon);
        add_groups(builder, daemon, configuration);
        configuration_unref(configuration);
    }
    json_builder_end_object(builder);
    finish(builder, out);
}

static void add_event(JsonBuilder *builder, const struct journal_entry *entry)
{
    g_autoptr(GDateTime) at = g_date_time_new_from_unix_utc(entry->at_us / G_USEC_PER_SEC);
    g_autofree char *stamp = g_date_time_format(at, "%Y-%m-%dT%H:%M:%S");
    g_autofree char *time =
        g_strdup_printf("%s.%06" G_GINT64_FORMAT "Z", stamp, entry->at_us % G_USEC_PER_SEC);
    json_builder_begin_object(builder);
    add_number(builder, "sequence", entry->sequence);
    add_text(builder, "time", time);
    add_text(builder, "kind", entry->kind);
    add_number(builder, "group", entry->group);
    json_builder_set_member_name(builder, "database");
    json_builder_add_int_value(builder, entry->database);
    add_number(builder, "term", entry->term);
    add_position(builder, "position", entry->position);
    add_text(builder, "text", entry->text);
    json_builder_end_object(builder);
}

void admin_events_write(struct daemon *daemon, uint64_t since, GString *out)
{
    g_autoptr(JsonBuilder) builder = json_builder_new();
    g_autoptr(GArray) entries = journal_since(daemon->journal, since);
    json_builder_begin_object(builder);
    add_text(builder, "daemon", daemon->settings.daemon.name);
    json_builder_set_member_name(builder, "events");
    json_builder_begin_array(builder);
    for (guint i = 0; i < entries->len; i++) {
        add_event(builder, &g_array_index(entries, struct journal_entry, i));
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    finish(builder, out);
}

/* The decision that a request without a session would get now. */
static struct route_decision decide(struct daemon *daemon, const struct tenant_route *route,
                                    struct group_runtime *group, const struct group_view *view,
                                    bool write)
{
    if (write) {
        return route_write(view);
    }
    struct route_read_request request = {
        .max_staleness_ms = route->max_staleness_ms,
        .zone = daemon->zone,
        .now = backend_now(),
        .guard_wait_max_ms = MIN(route->read_wait_ms, daemon->settings.routing.guard_wait_max_ms),
        .replicas_allowed = route->reads_from_replicas,
        .primary_allowed = true,
    };
    for (uint32_t i = 0; i < group->database_count; i++) {
        request.in_flight[i] =
            atomic_load(&group->databases[i].in_flight) + atomic_load(&group->databases[i].queued);
        request.slots[i] = MAX(atomic_load(&group->databases[i].slot_limit), 1);
    }
    return route_read(view, &request);
}

static void add_verdict(JsonBuilder *builder, struct group_runtime *group,
                        const struct group_view *view, const struct route_decision *decision,
                        uint32_t index)
{
    const struct database_view *database = &view->databases[index];
    bool chosen = (int32_t)index == decision->database;
    enum route_reason reason = chosen ? decision->reason : decision->refused[index];
    json_builder_begin_object(builder);
    add_text(builder, "name", group->databases[index].configuration.name);
    add_flag(builder, "chosen", chosen);
    add_text(builder, "reason", route_reason_name(reason));
    add_text(builder, "role", role_name(database->status.role));
    add_number(builder, "term", database->status.term);
    add_position(builder, "applied", database->status.applied);
    add_number(builder, "lag_ms", lag_ms(view, database));
    json_builder_end_object(builder);
}

static void write_explanation(struct daemon *daemon, const struct tenant_route *route,
                              struct group_runtime *group, bool write, GString *out)
{
    g_autoptr(JsonBuilder) builder = json_builder_new();
    struct group_view view;
    group_runtime_read_view(group, &view);
    struct route_decision decision = decide(daemon, route, group, &view, write);
    json_builder_begin_object(builder);
    add_text(builder, "tenant", route->tenant);
    add_text(builder, "access", write ? "write" : "read");
    add_text(builder, "group", group->group->name);
    add_text(builder, "reason", route_reason_name(decision.reason));
    add_position(builder, "needed", decision.guard);
    add_number(builder, "wait_ms", decision.guard_wait_ms);
    json_builder_set_member_name(builder, "databases");
    json_builder_begin_array(builder);
    for (uint32_t i = 0; i < group->database_count; i++) {
        add_verdict(builder, group, &view, &decision, i);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    finish(builder, out);
}

bool admin_explain_write(struct daemon *daemon, const char *tenant, bool write, GString *out,
                         GError **error)
{
    struct configuration *configuration = daemon_take_configuration(daemon);
    const struct tenant_route *route =
        configuration != NULL ? configuration_find_tenant(configuration, tenant) : NULL;
    struct group_runtime *group = route != NULL ? daemon_take_group(daemon, route->group) : NULL;
    if (group != NULL) {
        write_explanation(daemon, route, group, write, out);
        group_runtime_unref(group);
    } else if (route != NULL) {
        g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST,
                    "This daemon does not own group %u of the tenant; ask one that does.",
                    route->group);
    } else {
        g_set_error_literal(error, SW_ERROR, ERROR_KIND_UNKNOWN_TENANT,
                            error_entry_of(ERROR_KIND_UNKNOWN_TENANT)->text);
    }
    configuration_unref(configuration);
    return group != NULL;
}
