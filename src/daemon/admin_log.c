/* Log levels in the admin API; see the header. */
#include "daemon/admin_log.h"

#include <string.h>

#include "core/error.h"
#include "daemon/admin_json.h"
#include "daemon/daemon.h"
#include "daemon/journal.h"
#include "daemon/log.h"
#include "generated/errors.h"

#define ALL_PARTS "all"

static bool is_all(const char *part)
{
    return part == NULL || strcmp(part, ALL_PARTS) == 0;
}

/* The error for an unknown part lists the known ones. */
static bool check_part(const char *part, GError **error)
{
    g_autoptr(GString) names = g_string_new(ALL_PARTS);
    for (size_t i = 0; log_part(i) != NULL; i++) {
        if (is_all(part) || strcmp(log_part(i), part) == 0) {
            return true;
        }
        g_string_append_printf(names, ", %s", log_part(i));
    }
    g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST, "The log has no part %s; parts are %s.",
                part, names->str);
    return false;
}

static void add_part(JsonBuilder *builder, const char *part)
{
    json_builder_begin_object(builder);
    admin_json_text(builder, "part", part);
    admin_json_text(builder, "level", log_level_name(log_level_of(part)));
    json_builder_end_object(builder);
}

bool admin_log_write(const char *part, GString *out, GError **error)
{
    if (!check_part(part, error)) {
        return false;
    }
    g_autoptr(JsonBuilder) builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "parts");
    json_builder_begin_array(builder);
    for (size_t i = 0; log_part(i) != NULL; i++) {
        if (is_all(part) || strcmp(log_part(i), part) == 0) {
            add_part(builder, log_part(i));
        }
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    admin_json_finish(builder, out);
    return true;
}

static void record_change(struct daemon *daemon, const char *part, const char *level)
{
    struct journal_entry entry = {.database = -1};
    g_strlcpy(entry.kind, "log_level", sizeof(entry.kind));
    g_snprintf(entry.text, sizeof(entry.text), "part %s: %s", part, level);
    journal_add(daemon->journal, &entry);
}

bool admin_log_set(struct daemon *daemon, const char *part, const char *level, GString *out,
                   GError **error)
{
    enum log_level value;
    if (part == NULL || level == NULL || !log_level_from_name(level, &value)) {
        g_set_error_literal(
            error, SW_ERROR, ERROR_KIND_BAD_REQUEST,
            "A part and a level are required; levels: error, warning, message, info, debug.");
        return false;
    }
    if (!check_part(part, error)) {
        return false;
    }
    /* Before the change, so that the log line is still written if the new level excludes it. */
    record_change(daemon, part, level);
    log_set_level(is_all(part) ? NULL : part, value);
    return admin_log_write(part, out, error);
}
