/* JSON of `swiftctl explain`; see the header. */
#include "daemon/admin_explain.h"

#include <json-glib/json-glib.h>

#include "backend/clock.h"
#include "core/error.h"
#include "core/position_samples.h"
#include "core/route.h"
#include "daemon/admin_json.h"
#include "daemon/daemon.h"
#include "daemon/decision_log.h"
#include "generated/errors.h"
#include "generated/messages.h"

/* The routing decision for a request without a session, as of now. */
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
        request.in_flight[i] = database_runtime_load(&group->databases[i]);
        request.slots[i] = database_runtime_slots(&group->databases[i]);
    }
    return route_read(view, &request);
}

/* Why a database was chosen or rejected. Routing does not consider the rest once it has chosen one.
 */
static const char *verdict_text(bool chosen, enum route_reason chosen_for,
                                enum route_reason passed_over_for)
{
    if (chosen) {
        return route_reason_name(chosen_for);
    }
    return passed_over_for == ROUTE_REASON_NONE ? "not_considered"
                                                : route_reason_name(passed_over_for);
}

static void add_verdict(JsonBuilder *builder, struct group_runtime *group,
                        const struct group_view *view, const struct route_decision *decision,
                        uint32_t index)
{
    const struct database_view *database = &view->databases[index];
    bool chosen = (int32_t)index == decision->database;
    json_builder_begin_object(builder);
    admin_json_text(builder, "name", group->databases[index].configuration.name);
    admin_json_flag(builder, "chosen", chosen);
    admin_json_text(builder, "reason",
                    verdict_text(chosen, decision->reason, decision->refused[index]));
    admin_json_text(builder, "role", database_role_text(database->status.role));
    admin_json_number(builder, "term", database->status.term);
    admin_json_position(builder, "applied", database->status.applied);
    admin_json_number(builder, "lag_ms",
                      position_samples_lag(view, database) / NANOSECONDS_PER_MILLISECOND);
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
    admin_json_text(builder, "tenant", route->tenant);
    admin_json_text(builder, "access", write ? "write" : "read");
    admin_json_text(builder, "group", group->group->name);
    admin_json_text(builder, "reason", route_reason_name(decision.reason));
    admin_json_position(builder, "needed", decision.guard);
    admin_json_number(builder, "wait_ms", decision.guard_wait_ms);
    json_builder_set_member_name(builder, "databases");
    json_builder_begin_array(builder);
    for (uint32_t i = 0; i < group->database_count; i++) {
        add_verdict(builder, group, &view, &decision, i);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    admin_json_finish(builder, out);
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
        g_set_error(
            error, SW_ERROR, ERROR_KIND_BAD_REQUEST,
            "This daemon does not own group %u of the tenant; send the request to an owner.",
            route->group);
    } else {
        g_set_error_literal(error, SW_ERROR, ERROR_KIND_UNKNOWN_TENANT,
                            error_entry_of(ERROR_KIND_UNKNOWN_TENANT)->text);
    }
    configuration_unref(configuration);
    return group != NULL;
}

/* The group of a record, if its databases are still those of the record; otherwise NULL. */
static const struct group_configuration *group_of(const struct configuration *configuration,
                                                  const struct decision_record *record)
{
    const struct group_configuration *group =
        configuration != NULL ? configuration_find_group(configuration, record->group) : NULL;
    bool same = group != NULL && decision_databases_mark(group) == record->databases_mark;
    return same ? group : NULL;
}

/* The group's name; its number if it no longer exists; "" for none. The caller frees it. */
static char *group_text(const struct configuration *configuration, uint32_t id)
{
    const struct group_configuration *group =
        configuration != NULL ? configuration_find_group(configuration, id) : NULL;
    if (group != NULL) {
        return g_strdup(group->name);
    }
    return id != 0 ? g_strdup_printf("#%u", id) : g_strdup("");
}

/* The database's name; its index if the names have changed since; "" for none. The caller frees it.
 */
static char *database_text(const struct group_configuration *group, int32_t index)
{
    if (index < 0) {
        return g_strdup("");
    }
    return group != NULL ? g_strdup(group->databases[index].name) : g_strdup_printf("#%d", index);
}

/* The record of a forwarded request has no view of its own, only what the other daemon reported. */
static void add_seen_database(JsonBuilder *builder, const struct group_configuration *group,
                              const struct decision_record *record, int32_t index)
{
    const struct decision_database *database = &record->databases[index];
    g_autofree char *name = database_text(group, index);
    bool chosen = index == record->database;
    json_builder_begin_object(builder);
    admin_json_text(builder, "name", name);
    admin_json_flag(builder, "chosen", chosen);
    admin_json_text(builder, "reason", verdict_text(chosen, record->reason, database->reason));
    if (record->forwarded_to[0] == '\0') {
        admin_json_text(builder, "role", database_role_text(database->role));
        admin_json_flag(builder, "reachable", database->reachable);
        admin_json_flag(builder, "leaving", database->leaving);
        admin_json_number(builder, "term", database->term);
        admin_json_number(builder, "lag_ms", database->lag_ms);
    }
    admin_json_position(builder, "applied", database->applied);
    json_builder_end_object(builder);
}

static void add_seen_databases(JsonBuilder *builder, const struct group_configuration *group,
                               const struct decision_record *record)
{
    json_builder_set_member_name(builder, "databases");
    json_builder_begin_array(builder);
    for (int32_t i = 0; i < record->database_count; i++) {
        bool known = record->forwarded_to[0] == '\0' || i == record->database ||
                     record->databases[i].reason != ROUTE_REASON_NONE;
        if (known) {
            add_seen_database(builder, group, record, i);
        }
    }
    json_builder_end_array(builder);
}

/* Adds where the request was received from and forwarded to. */
static void add_forwarding(JsonBuilder *builder, const struct decision_record *record)
{
    admin_json_flag(builder, "forwarded_here", record->hops > 0);
    admin_json_text(builder, "forwarded_to", record->forwarded_to);
    admin_json_text(builder, "served_by", record->served_by);
    admin_json_number(builder, "served_by_admin_port", record->served_by_admin_port);
}

static void add_result(JsonBuilder *builder, const struct decision_record *record)
{
    bool done = record->outcome == OUTCOME_DONE;
    admin_json_text(builder, "outcome", outcome_name(record->outcome));
    admin_json_text(builder, "error", done ? "" : error_entry_of(record->error)->name);
    admin_json_text(builder, "reason", route_reason_name(record->reason));
    admin_json_flag(builder, "replayed", record->replayed);
    admin_json_number(builder, "attempts", record->attempts);
    admin_json_number(builder, "took_us", record->took_us);
}

static void add_positions(JsonBuilder *builder, const struct decision_record *record)
{
    admin_json_position(builder, "session", record->session);
    admin_json_position(builder, "needed", record->needed);
    admin_json_position(builder, "shown", record->shown);
    admin_json_number(builder, "term", record->view_term);
}

static void add_record(JsonBuilder *builder, struct daemon *daemon,
                       const struct configuration *configuration,
                       const struct decision_record *record)
{
    const struct group_configuration *group = group_of(configuration, record);
    g_autofree char *database = database_text(group, record->database);
    g_autofree char *primary = database_text(group, record->primary);
    g_autofree char *group_name = group_text(configuration, record->group);
    json_builder_begin_object(builder);
    admin_json_time(builder, "time", record->at_us);
    admin_json_text(builder, "daemon", daemon->settings.daemon.name);
    admin_json_text(builder, "tenant", record->tenant);
    admin_json_text(builder, "group", group_name);
    admin_json_text(builder, "kind", request_kind_name(record->kind));
    admin_json_text(builder, "access", record->read_only ? "read" : "write");
    add_forwarding(builder, record);
    admin_json_text(builder, "database", database);
    add_result(builder, record);
    admin_json_text(builder, "primary", primary);
    add_positions(builder, record);
    add_seen_databases(builder, group, record);
    json_builder_end_object(builder);
}

void admin_explain_request(struct daemon *daemon, const char *request_id, GString *out)
{
    g_autoptr(JsonBuilder) builder = json_builder_new();
    g_autoptr(GArray) records = decision_log_find(daemon->decisions, request_id);
    struct configuration *configuration = daemon_take_configuration(daemon);
    int64_t reaches_to = decision_log_oldest_at(daemon->decisions);
    json_builder_begin_object(builder);
    admin_json_text(builder, "daemon", daemon->settings.daemon.name);
    admin_json_text(builder, "request", request_id);
    admin_json_time(builder, "reaches_to",
                    reaches_to != 0 ? reaches_to : (int64_t)daemon->incarnation);
    json_builder_set_member_name(builder, "records");
    json_builder_begin_array(builder);
    for (guint i = 0; i < records->len; i++) {
        add_record(builder, daemon, configuration,
                   &g_array_index(records, struct decision_record, i));
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    configuration_unref(configuration);
    admin_json_finish(builder, out);
}
