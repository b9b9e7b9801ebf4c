/* JSON of the admin API's status and events; see the header. */
#include "daemon/admin_status.h"

#include <json-glib/json-glib.h>

#include "backend/clock.h"
#include "core/position_samples.h"
#include "core/quorum_settling.h"
#include "core/route.h"
#include "daemon/admin_json.h"
#include "daemon/control.h"
#include "daemon/control_configuration.h"
#include "daemon/daemon.h"
#include "daemon/journal.h"

static void add_database(JsonBuilder *builder, struct group_runtime *group,
                         const struct group_view *view, uint32_t index)
{
    struct database_runtime *runtime = &group->databases[index];
    const struct database_view *database = &view->databases[index];
    struct pool_counters counters = pool_counters(runtime->pool);
    json_builder_begin_object(builder);
    admin_json_text(builder, "name", runtime->configuration.name);
    admin_json_flag(builder, "reachable", database->reachable);
    admin_json_text(builder, "role", database_role_text(database->status.role));
    admin_json_number(builder, "term", database->status.term);
    admin_json_number(builder, "promised_term", database->status.promised_term);
    admin_json_position(builder, "held", database->status.held);
    admin_json_position(builder, "applied", database->status.applied);
    admin_json_number(builder, "lag_ms",
                      position_samples_lag(view, database) / NANOSECONDS_PER_MILLISECOND);
    admin_json_flag(builder, "leaving", database->status.leaving);
    admin_json_number(builder, "round_trip_us", database->round_trip_us);
    admin_json_number(builder, "connections_open", counters.open);
    admin_json_number(builder, "connections_in_use", counters.in_use);
    admin_json_number(builder, "connections_limit", counters.limit);
    admin_json_number(builder, "connections_accepted", runtime->configuration.connections);
    admin_json_number(builder, "slots_in_use", atomic_load(&runtime->in_flight));
    admin_json_number(builder, "slots", runtime->configuration.slots);
    json_builder_end_object(builder);
}

static void add_group(JsonBuilder *builder, struct daemon *daemon, struct group_runtime *group)
{
    struct group_view view;
    struct owner_list owners;
    group_runtime_read_view(group, &view);
    control_owners_of(daemon->control, group->group->id, &owners);
    json_builder_begin_object(builder);
    admin_json_text(builder, "name", group->group->name);
    admin_json_number(builder, "id", group->group->id);
    admin_json_number(builder, "term", view.term);
    admin_json_text(builder, "primary",
                    view.primary >= 0 ? group->databases[view.primary].configuration.name : "");
    admin_json_flag(builder, "writes_paused", view.writes_paused);
    admin_json_flag(builder, "owned_here", owners.self);
    enum quorum_settling_state settling = (enum quorum_settling_state)atomic_load(&group->settling);
    admin_json_flag(builder, "settled", settling == QUORUM_SETTLING_DONE);
    admin_json_text(builder, "unsettled_reason", quorum_settling_state_text(settling));
    admin_json_number(builder, "owners", owners.count + (owners.self ? 1 : 0));
    admin_json_number(builder, "reads", atomic_load(&group->reads));
    admin_json_number(builder, "reads_by_primary_fallback", atomic_load(&group->primary_reads));
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
        admin_json_text(builder, "id", id);
        admin_json_text(builder, "address", member->address);
        admin_json_number(builder, "zone", member->zone);
        admin_json_flag(builder, "usable", member->usable);
        admin_json_flag(builder, "self", member->self);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
}

static void add_stragglers(JsonBuilder *builder, const struct configuration_status *status)
{
    admin_json_number(builder, "straggler_count", status->straggler_count);
    json_builder_set_member_name(builder, "stragglers");
    json_builder_begin_array(builder);
    for (uint32_t i = 0; i < MIN(status->straggler_count, CONFIGURATION_STRAGGLERS_MAX); i++) {
        const struct configuration_straggler *straggler = &status->stragglers[i];
        g_autofree char *id = g_strdup_printf("%" G_GINT64_MODIFIER "x", straggler->member);
        json_builder_begin_object(builder);
        admin_json_text(builder, "id", id);
        admin_json_text(builder, "address", straggler->address);
        admin_json_number(builder, "version", straggler->version);
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
    admin_json_text(builder, "source", status.published ? "published" : "file");
    admin_json_text(builder, "hash",
                    configuration != NULL ? configuration_hash(configuration) : "");
    admin_json_flag(builder, "serving", daemon_may_serve(daemon));
    if (status.published) {
        admin_json_number(builder, "version", status.version);
        admin_json_number(builder, "newest_version", status.newest);
        add_confirmed_age(builder, &status);
        admin_json_text(builder, "reason", status.reason);
        add_stragglers(builder, &status);
    }
    json_builder_end_object(builder);
}

void admin_status_write(struct daemon *daemon, GString *out)
{
    g_autoptr(JsonBuilder) builder = json_builder_new();
    struct configuration *configuration = daemon_take_configuration(daemon);
    json_builder_begin_object(builder);
    admin_json_text(builder, "daemon", daemon->settings.daemon.name);
    admin_json_text(builder, "zone", daemon->settings.daemon.zone);
    admin_json_flag(builder, "stopping", atomic_load(&daemon->stopping));
    admin_json_number(builder, "tasks_open", atomic_load(&daemon->tasks_open));
    add_configuration(builder, daemon, configuration);
    if (configuration != NULL) {
        admin_json_text(builder, "configuration_hash", configuration_hash(configuration));
        add_members(builder, daemon);
        add_groups(builder, daemon, configuration);
        configuration_unref(configuration);
    }
    json_builder_end_object(builder);
    admin_json_finish(builder, out);
}

static void add_event(JsonBuilder *builder, const struct journal_entry *entry)
{
    json_builder_begin_object(builder);
    admin_json_number(builder, "sequence", entry->sequence);
    admin_json_time(builder, "time", entry->at_us);
    admin_json_text(builder, "kind", entry->kind);
    admin_json_number(builder, "group", entry->group);
    json_builder_set_member_name(builder, "database");
    json_builder_add_int_value(builder, entry->database);
    admin_json_number(builder, "term", entry->term);
    admin_json_position(builder, "position", entry->position);
    admin_json_text(builder, "text", entry->text);
    json_builder_end_object(builder);
}

void admin_events_write(struct daemon *daemon, uint64_t since, GString *out)
{
    g_autoptr(JsonBuilder) builder = json_builder_new();
    g_autoptr(GArray) entries = journal_since(daemon->journal, since);
    json_builder_begin_object(builder);
    admin_json_text(builder, "daemon", daemon->settings.daemon.name);
    json_builder_set_member_name(builder, "events");
    json_builder_begin_array(builder);
    for (guint i = 0; i < entries->len; i++) {
        add_event(builder, &g_array_index(entries, struct journal_entry, i));
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    admin_json_finish(builder, out);
}
