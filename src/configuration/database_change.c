/* The databases that a new version adds to and removes from each group. */
#include "configuration/database_change.h"

#include <string.h>

#include "core/error.h"
#include "generated/errors.h"

/* Most databases that one version may add to and remove from a group, in total: any majority before
 * and any after then share a database. */
#define DATABASES_CHANGED_MAX 1

static void free_change(gpointer data)
{
    struct database_change *change = data;

    g_free(change->group_name);
    g_ptr_array_unref(change->added);
    g_ptr_array_unref(change->removed);
    g_free(change);
}

static bool has_address(const struct group_configuration *group,
                        const struct database_configuration *sought)
{
    for (uint32_t i = 0; i < group->database_count; i++) {
        const struct database_configuration *database = &group->databases[i];
        if (database->port == sought->port && strcmp(database->host, sought->host) == 0) {
            return true;
        }
    }
    return false;
}

/* The databases of `group` whose address is not in `other`. */
static GPtrArray *find_missing(const struct group_configuration *group,
                               const struct group_configuration *other)
{
    GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);

    for (uint32_t i = 0; i < group->database_count; i++) {
        const struct database_configuration *database = &group->databases[i];
        if (!has_address(other, database)) {
            g_ptr_array_add(missing, g_strdup_printf("%s (%s:%u)", database->name, database->host,
                                                     database->port));
        }
    }
    return missing;
}

GPtrArray *database_changes_find(const struct configuration *before,
                                 const struct configuration *after)
{
    GPtrArray *changes = g_ptr_array_new_with_free_func(free_change);

    for (guint i = 0; i < after->groups->len; i++) {
        const struct group_configuration *group = g_ptr_array_index(after->groups, i);
        const struct group_configuration *previous = configuration_find_group(before, group->id);
        if (previous == NULL) {
            continue;
        }
        struct database_change *change = g_new0(struct database_change, 1);
        change->group = group->id;
        change->group_name = g_strdup(group->name);
        change->added = find_missing(group, previous);
        change->removed = find_missing(previous, group);
        if (change->added->len + change->removed->len > 0) {
            g_ptr_array_add(changes, change);
        } else {
            free_change(change);
        }
    }
    return changes;
}

static void append_names(GString *text, const char *verb, const GPtrArray *names)
{
    for (guint i = 0; i < names->len; i++) {
        const char *name = g_ptr_array_index(names, i);
        g_string_append_printf(text, "%s %s", i == 0 ? verb : ",", name);
    }
}

bool database_changes_check(const GPtrArray *changes, GError **error)
{
    g_autoptr(GString) faults = g_string_new(NULL);

    for (guint i = 0; i < changes->len; i++) {
        const struct database_change *change = g_ptr_array_index(changes, i);
        if (change->added->len + change->removed->len > DATABASES_CHANGED_MAX) {
            g_string_append_printf(faults, "\ngroup \"%s\"", change->group_name);
            append_names(faults, " adds", change->added);
            append_names(faults, " removes", change->removed);
        }
    }
    if (faults->len == 0) {
        return true;
    }
    g_set_error(error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION,
                "one version may add or remove one database of a group, so that majorities before "
                "and after share one%s",
                faults->str);
    return false;
}
