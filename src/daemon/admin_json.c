/* JSON helpers of the admin API; see the header. */
#include "daemon/admin_json.h"

void admin_json_text(JsonBuilder *builder, const char *name, const char *value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_string_value(builder, value);
}

void admin_json_number(JsonBuilder *builder, const char *name, uint64_t value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_int_value(builder, (gint64)value);
}

void admin_json_flag(JsonBuilder *builder, const char *name, bool value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_boolean_value(builder, value);
}

void admin_json_position(JsonBuilder *builder, const char *name, struct log_position position)
{
    json_builder_set_member_name(builder, name);
    json_builder_begin_object(builder);
    admin_json_number(builder, "term", position.term);
    admin_json_number(builder, "offset", position.offset);
    json_builder_end_object(builder);
}

void admin_json_finish(JsonBuilder *builder, GString *out)
{
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    g_autofree char *text = json_to_string(root, TRUE);
    g_string_append(out, text);
    g_string_append_c(out, '\n');
}

const char *database_role_text(enum database_role role)
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

void admin_json_time(JsonBuilder *builder, const char *name, int64_t at_us)
{
    g_autoptr(GDateTime) at = g_date_time_new_from_unix_utc(at_us / G_USEC_PER_SEC);
    g_autofree char *stamp = g_date_time_format(at, "%Y-%m-%dT%H:%M:%S");
    g_autofree char *time =
        g_strdup_printf("%s.%06" G_GINT64_FORMAT "Z", stamp, at_us % G_USEC_PER_SEC);
    admin_json_text(builder, name, time);
}
