/* Difference of two configurations. Zones, groups and templates are compared as canonical JSON,
 * tenants by their derived routes. */
#include "configuration/diff.h"

#include <string.h>

#include <json-glib/json-glib.h>

#include "configuration/route_field.h"

static void field_change_free(gpointer data)
{
    struct field_change *change = data;

    g_free(change->field);
    g_free(change->before);
    g_free(change->after);
    g_free(change);
}

static void change_free(gpointer data)
{
    struct configuration_change *change = data;

    g_ptr_array_unref(change->fields);
    g_free(change->name);
    g_free(change);
}

const char *change_section_name(enum change_section section)
{
    static const char *const names[] = {
        [CHANGE_SECTION_ZONE] = "zone",
        [CHANGE_SECTION_GROUP] = "group",
        [CHANGE_SECTION_TEMPLATE] = "template",
        [CHANGE_SECTION_TENANT] = "tenant",
    };

    return names[section];
}

const char *change_kind_name(enum change_kind kind)
{
    static const char *const names[] = {
        [CHANGE_KIND_ADDED] = "added",
        [CHANGE_KIND_REMOVED] = "removed",
        [CHANGE_KIND_CHANGED] = "changed",
    };

    return names[kind];
}

/* Adds a change without fields; the array owns it. */
static struct configuration_change *add_change(GPtrArray *changes, enum change_section section,
                                               enum change_kind kind, const char *name)
{
    struct configuration_change *change = g_new0(struct configuration_change, 1);

    change->section = section;
    change->kind = kind;
    change->name = g_strdup(name);
    change->fields = g_ptr_array_new_with_free_func(field_change_free);
    g_ptr_array_add(changes, change);
    return change;
}

/* Adds a field; takes ownership of `before` and `after`. */
static void add_field(struct configuration_change *change, const char *field, char *before,
                      char *after)
{
    struct field_change *field_change = g_new0(struct field_change, 1);

    field_change->field = g_strdup(field);
    field_change->before = before;
    field_change->after = after;
    g_ptr_array_add(change->fields, field_change);
}

static char *node_text(JsonNode *node)
{
    return node != NULL ? json_to_string(node, FALSE) : NULL;
}

static gint compare_names(gconstpointer left, gconstpointer right)
{
    return strcmp(*(const char *const *)left, *(const char *const *)right);
}

/* Names of the members of either object, sorted, each once. The caller frees the array. */
static GPtrArray *member_names(JsonObject *left, JsonObject *right)
{
    g_autoptr(GList) left_names = left != NULL ? json_object_get_members(left) : NULL;
    g_autoptr(GList) right_names = json_object_get_members(right);
    GPtrArray *names = g_ptr_array_new();

    for (GList *name = left_names; name != NULL; name = name->next) {
        g_ptr_array_add(names, name->data);
    }
    for (GList *name = right_names; name != NULL; name = name->next) {
        if (left == NULL || !json_object_has_member(left, name->data)) {
            g_ptr_array_add(names, name->data);
        }
    }
    g_ptr_array_sort(names, compare_names);
    return names;
}

static void compare_nodes(struct configuration_change *change, const char *path, JsonNode *before,
                          JsonNode *after);

static void compare_objects(struct configuration_change *change, const char *path,
                            JsonObject *before, JsonObject *after)
{
    g_autoptr(GPtrArray) names = member_names(before, after);

    for (guint i = 0; i < names->len; i++) {
        const char *name = g_ptr_array_index(names, i);
        g_autofree char *member_path =
            path[0] != '\0' ? g_strconcat(path, "/", name, NULL) : g_strdup(name);
        compare_nodes(change, member_path, json_object_get_member(before, name),
                      json_object_get_member(after, name));
    }
}

static void compare_arrays(struct configuration_change *change, const char *path, JsonArray *before,
                           JsonArray *after)
{
    guint before_length = json_array_get_length(before);
    guint after_length = json_array_get_length(after);

    for (guint i = 0; i < MAX(before_length, after_length); i++) {
        g_autofree char *element_path = g_strdup_printf("%s/%u", path, i);
        compare_nodes(change, element_path,
                      i < before_length ? json_array_get_element(before, i) : NULL,
                      i < after_length ? json_array_get_element(after, i) : NULL);
    }
}

/* Adds a field for each value that differs between two nodes. Either node may be NULL. */
static void compare_nodes(struct configuration_change *change, const char *path, JsonNode *before,
                          JsonNode *after)
{
    if (before != NULL && after != NULL && json_node_equal(before, after)) {
        return;
    }
    bool both = before != NULL && after != NULL;
    if (both && JSON_NODE_HOLDS_OBJECT(before) && JSON_NODE_HOLDS_OBJECT(after)) {
        compare_objects(change, path, json_node_get_object(before), json_node_get_object(after));
    } else if (both && JSON_NODE_HOLDS_ARRAY(before) && JSON_NODE_HOLDS_ARRAY(after)) {
        compare_arrays(change, path, json_node_get_array(before), json_node_get_array(after));
    } else {
        add_field(change, path, node_text(before), node_text(after));
    }
}

/* Compares a section of two bundles member by member. `before` may be NULL. */
static void compare_sections(GPtrArray *changes, enum change_section section, JsonObject *before,
                             JsonObject *after)
{
    g_autoptr(GPtrArray) names = member_names(before, after);

    for (guint i = 0; i < names->len; i++) {
        const char *name = g_ptr_array_index(names, i);
        JsonNode *old = before != NULL ? json_object_get_member(before, name) : NULL;
        JsonNode *new = json_object_get_member(after, name);
        if (old == NULL || new == NULL) {
            add_change(changes, section, old == NULL ? CHANGE_KIND_ADDED : CHANGE_KIND_REMOVED,
                       name);
        } else if (!json_node_equal(old, new)) {
            compare_nodes(add_change(changes, section, CHANGE_KIND_CHANGED, name), "", old, new);
        }
    }
}

static void compare_routes(GPtrArray *changes, const struct configuration *before,
                           const struct tenant_route *old, const struct configuration *after,
                           const struct tenant_route *new)
{
    bool same_template = strcmp(old->template_name, new->template_name) == 0;

    if (same_template && tenant_route_equal(old, new)) {
        return;
    }
    struct configuration_change *change =
        add_change(changes, CHANGE_SECTION_TENANT, CHANGE_KIND_CHANGED, new->tenant);
    if (!same_template) {
        add_field(change, "template", g_strdup(old->template_name), g_strdup(new->template_name));
    }
    for (guint field = 0; field < ROUTE_FIELD_COUNT; field++) {
        if (route_field_get(old, field) != route_field_get(new, field)) {
            add_field(change, route_field_info(field)->name, route_field_text(before, old, field),
                      route_field_text(after, new, field));
        }
    }
}

/* Order of two tenants by name; NULL sorts last. */
static int compare_tenant_names(const struct tenant_route *left, const struct tenant_route *right)
{
    if (left == NULL) {
        return 1;
    }
    if (right == NULL) {
        return -1;
    }
    return strcmp(left->tenant, right->tenant);
}

/* Merges the two lists of tenants, which are sorted by name. */
static void compare_tenants(GPtrArray *changes, const struct configuration *before,
                            const struct configuration *after)
{
    guint i = 0;
    guint j = 0;
    guint old_count = before != NULL ? before->tenants->len : 0;

    while (i < old_count || j < after->tenants->len) {
        const struct tenant_route *old =
            i < old_count ? g_ptr_array_index(before->tenants, i) : NULL;
        const struct tenant_route *new =
            j < after->tenants->len ? g_ptr_array_index(after->tenants, j) : NULL;
        int order = compare_tenant_names(old, new);
        if (order < 0) {
            add_change(changes, CHANGE_SECTION_TENANT, CHANGE_KIND_REMOVED, old->tenant);
        } else if (order > 0) {
            add_change(changes, CHANGE_SECTION_TENANT, CHANGE_KIND_ADDED, new->tenant);
        } else {
            compare_routes(changes, before, old, after, new);
        }
        i += order <= 0 ? 1 : 0;
        j += order >= 0 ? 1 : 0;
    }
}

/* Parses the canonical JSON, which is valid by construction. */
static JsonNode *parse_canonical(const struct configuration *configuration)
{
    gsize length = 0;
    const char *text = g_bytes_get_data(configuration->canonical, &length);
    g_autoptr(JsonParser) parser = json_parser_new();

    g_assert(json_parser_load_from_data(parser, text, (gssize)length, NULL));
    return json_parser_steal_root(parser);
}

GPtrArray *configuration_diff(const struct configuration *before, const struct configuration *after)
{
    static const struct {
        enum change_section section;
        const char *member;
    } sections[] = {
        {CHANGE_SECTION_ZONE, "zones"},
        {CHANGE_SECTION_GROUP, "groups"},
        {CHANGE_SECTION_TEMPLATE, "templates"},
    };
    GPtrArray *changes = g_ptr_array_new_with_free_func(change_free);
    g_autoptr(JsonNode) old = before != NULL ? parse_canonical(before) : NULL;
    g_autoptr(JsonNode) new = parse_canonical(after);

    for (guint i = 0; i < G_N_ELEMENTS(sections); i++) {
        JsonObject *old_section =
            old != NULL
                ? json_object_get_object_member(json_node_get_object(old), sections[i].member)
                : NULL;
        JsonObject *new_section =
            json_object_get_object_member(json_node_get_object(new), sections[i].member);
        compare_sections(changes, sections[i].section, old_section, new_section);
    }
    compare_tenants(changes, before, after);
    return changes;
}
