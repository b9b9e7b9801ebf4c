/* Checks with daemons whether groups have completed their last change of databases. */
#include "ctl/settled_check.h"

#include <inttypes.h>

#include "configuration/database_change.h"
#include "core/error.h"
#include "ctl/daemon_status.h"
#include "generated/errors.h"

/* The object of a group in a daemon's status, or NULL. */
static JsonObject *find_group(JsonNode *status, uint32_t group)
{
    JsonObject *root = json_node_get_object(status);
    JsonNode *node = json_object_get_member(root, "groups");
    JsonArray *groups =
        node != NULL && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) : NULL;

    for (guint i = 0; groups != NULL && i < json_array_get_length(groups); i++) {
        JsonNode *element = json_array_get_element(groups, i);
        JsonObject *object = JSON_NODE_HOLDS_OBJECT(element) ? json_node_get_object(element) : NULL;
        if (object != NULL && json_object_get_int_member_with_default(object, "id", 0) == group) {
            return object;
        }
    }
    return NULL;
}

/* True if a daemon reports the group as settled. Else `reason` says why it is not, or why this is
 * unknown. */
static bool is_settled_at(JsonNode *status, uint64_t base, uint32_t group, char **reason)
{
    uint64_t version = daemon_status_version(status);
    JsonObject *object = find_group(status, group);

    if (version != base) {
        *reason = g_strdup_printf("it has version %" PRIu64 " in force", version);
        return false;
    }
    if (object == NULL ||
        !json_object_get_boolean_member_with_default(object, "owned_here", FALSE)) {
        *reason = g_strdup("it does not own the group");
        return false;
    }
    if (!json_object_get_boolean_member_with_default(object, "settled", FALSE)) {
        *reason = g_strdup(
            json_object_get_string_member_with_default(object, "unsettled_reason", "not settled"));
        return false;
    }
    return true;
}

/* Queries the daemons one after the other until one reports the group as settled. Adds the others'
 * reasons to `reasons`. */
static bool is_settled(struct http_client *client, char **urls, uint64_t base, uint32_t group,
                       GString *reasons)
{
    for (guint i = 0; urls[i] != NULL; i++) {
        g_autoptr(GError) error = NULL;
        g_autofree char *reason = NULL;
        g_autoptr(JsonNode) status = daemon_status_read(client, urls[i], &error);
        if (status != NULL && is_settled_at(status, base, group, &reason)) {
            return true;
        }
        g_string_append_printf(reasons, "\n%s: %s", urls[i],
                               status != NULL ? reason : error->message);
    }
    return false;
}

bool settled_check(void *user, uint64_t base, const GPtrArray *changes, GError **error)
{
    char **urls = user;
    struct http_client *client = daemon_status_client_new();
    bool settled = true;

    for (guint i = 0; settled && i < changes->len; i++) {
        const struct database_change *change = g_ptr_array_index(changes, i);
        g_autoptr(GString) reasons = g_string_new(NULL);
        settled = is_settled(client, urls, base, change->group, reasons);
        if (!settled) {
            g_set_error(error, SW_ERROR, ERROR_KIND_NOT_READY,
                        "group \"%s\" changes its databases, and no owner given by --admin reports "
                        "that its last change is complete%s",
                        change->group_name, reasons->str);
        }
    }
    http_client_free(client);
    return settled;
}
