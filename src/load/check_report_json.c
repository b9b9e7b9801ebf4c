/* See check_report_json.h. */
#include "load/check_report_json.h"

static void add_integer(JsonBuilder *builder, const char *name, uint64_t value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_int_value(builder, (gint64)value);
}

static void add_violation(JsonBuilder *builder, const struct violation *violation)
{
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "kind");
    json_builder_add_string_value(builder, violation_kind_name(violation->kind));
    json_builder_set_member_name(builder, "session");
    json_builder_add_string_value(builder, violation->session);
    add_integer(builder, "operation", violation->operation);
    json_builder_set_member_name(builder, "id");
    json_builder_add_string_value(builder, violation->id);
    json_builder_end_object(builder);
}

JsonNode *check_report_to_json(const struct check_report *report, guint listed_max)
{
    g_autoptr(JsonBuilder) builder = json_builder_new();
    json_builder_begin_object(builder);
    add_integer(builder, "attempts", report->attempts);
    add_integer(builder, "reads", report->reads);
    add_integer(builder, "acknowledged_writes", report->acknowledged_writes);
    add_integer(builder, "not_run_writes", report->not_run_writes);
    add_integer(builder, "unknown_writes", report->unknown_ids->len);
    add_integer(builder, "unknown_writes_found", report->unknown_found);
    json_builder_set_member_name(builder, "violations");
    json_builder_begin_object(builder);
    for (int kind = 0; kind < VIOLATION_KIND_COUNT; kind++) {
        add_integer(builder, violation_kind_name((enum violation_kind)kind), report->counts[kind]);
    }
    json_builder_end_object(builder);
    json_builder_set_member_name(builder, "broken");
    json_builder_begin_array(builder);
    for (guint i = 0; i < MIN(report->violations->len, listed_max); i++) {
        add_violation(builder, g_ptr_array_index(report->violations, i));
    }
    json_builder_end_array(builder);
    json_builder_set_member_name(builder, "unknown");
    json_builder_begin_array(builder);
    for (guint i = 0; i < MIN(report->unknown_ids->len, listed_max); i++) {
        json_builder_add_string_value(builder, g_ptr_array_index(report->unknown_ids, i));
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    return json_builder_get_root(builder);
}
