/* Parsing a bundle: first the sections, each after those that it refers to, then the canonical form
 * and its hash. */
#include "configuration/bundle_parser.h"
#include "configuration/bundle_slices.h"

#include <string.h>

#include "configuration/canonical.h"
#include "configuration/problem.h"

static void tenant_route_free(gpointer data)
{
    struct tenant_route *route = data;

    g_free(route->tenant);
    g_free(route);
}

static void zone_free(gpointer data)
{
    struct zone_configuration *zone = data;

    g_free(zone->name);
    g_free(zone);
}

static void group_free(gpointer data)
{
    struct group_configuration *group = data;

    for (uint32_t i = 0; i < group->database_count; i++) {
        g_free(group->databases[i].name);
        g_free(group->databases[i].host);
    }
    g_free(group->name);
    g_free(group);
}

static struct configuration *configuration_new(void)
{
    struct configuration *configuration = g_atomic_rc_box_new0(struct configuration);

    configuration->zones = g_ptr_array_new_with_free_func(zone_free);
    configuration->groups = g_ptr_array_new_with_free_func(group_free);
    configuration->templates =
        g_ptr_array_new_with_free_func((GDestroyNotify)configuration_template_free);
    configuration->tenants = g_ptr_array_new_with_free_func(tenant_route_free);
    configuration->zones_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    configuration->groups_by_id = g_hash_table_new(NULL, NULL);
    configuration->groups_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    configuration->templates_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    configuration->tenants_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    return configuration;
}

JsonObject *bundle_parse_section(struct bundle_parser *parser, const struct bundle_path *root,
                                 JsonObject *bundle, const char *name, guint maximum)
{
    JsonObject *section = bundle_reader_member_object(&parser->reader, root, bundle, name);

    if (section == NULL) {
        return NULL;
    }
    guint size = json_object_get_size(section);
    if (size > maximum) {
        struct bundle_path path = {root, name};
        g_autofree char *fault = g_strdup_printf("has %u members", size);
        g_autofree char *allowed = g_strdup_printf("at most %u", maximum);
        bundle_reader_fault(&parser->reader, &path, NULL, fault, allowed);
        return NULL;
    }
    return section;
}

char *bundle_parse_description(struct bundle_parser *parser, const struct bundle_path *path,
                               JsonObject *object)
{
    struct bundle_path member_path = {path, "description"};
    JsonNode *node = json_object_get_member(object, "description");

    if (node == NULL) {
        return NULL;
    }
    return g_strdup(bundle_reader_string(&parser->reader, &member_path, node, "a string"));
}

static void parse_sections(struct bundle_parser *parser, JsonNode *node)
{
    static const char *const members[] = {"description", "zones",   "groups",
                                          "templates",   "tenants", NULL};
    struct bundle_path root = {NULL, NULL};
    JsonObject *bundle = bundle_reader_object(&parser->reader, &root, node);

    if (bundle == NULL) {
        return;
    }
    bundle_reader_refuse_unknown(&parser->reader, &root, bundle, members);
    g_free(bundle_parse_description(parser, &root, bundle));
    bundle_parse_zones(parser, &root, bundle);
    bundle_parse_groups(parser, &root, bundle);
    bundle_parse_templates(parser, &root, bundle);
    bundle_parse_tenants(parser, &root, bundle);
}

static gint compare_zones(gconstpointer left, gconstpointer right)
{
    const struct zone_configuration *const *a = left;
    const struct zone_configuration *const *b = right;

    return ((*a)->id > (*b)->id) - ((*a)->id < (*b)->id);
}

static gint compare_groups(gconstpointer left, gconstpointer right)
{
    const struct group_configuration *const *a = left;
    const struct group_configuration *const *b = right;

    return ((*a)->id > (*b)->id) - ((*a)->id < (*b)->id);
}

static gint compare_templates(gconstpointer left, gconstpointer right)
{
    const struct configuration_template *const *a = left;
    const struct configuration_template *const *b = right;

    return strcmp((*a)->name, (*b)->name);
}

static gint compare_tenants(gconstpointer left, gconstpointer right)
{
    const struct tenant_route *const *a = left;
    const struct tenant_route *const *b = right;

    return strcmp((*a)->tenant, (*b)->tenant);
}

static void sort_sections(struct configuration *configuration)
{
    g_ptr_array_sort(configuration->zones, compare_zones);
    g_ptr_array_sort(configuration->groups, compare_groups);
    g_ptr_array_sort(configuration->templates, compare_templates);
    g_ptr_array_sort(configuration->tenants, compare_tenants);
}

static bool size_is_allowed(const char *source, gsize length, GPtrArray *problems)
{
    if (length <= CONFIGURATION_BYTES_MAX) {
        return true;
    }
    g_autofree char *fault = g_strdup_printf("has %" G_GSIZE_FORMAT " bytes", length);
    g_autofree char *allowed = g_strdup_printf("at most %d bytes", CONFIGURATION_BYTES_MAX);
    configuration_problems_add(problems, source, "/", NULL, fault, allowed);
    return false;
}

static void start_parser(struct bundle_parser *parser, const char *source, GPtrArray *problems)
{
    *parser = (struct bundle_parser){.reader = {source, problems}};
    parser->configuration = configuration_new();
    parser->database_names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    parser->database_addresses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* Frees the parser. Returns the configuration, or NULL and frees it if it is not valid. */
static struct configuration *end_parser(struct bundle_parser *parser, bool valid)
{
    g_hash_table_unref(parser->database_names);
    g_hash_table_unref(parser->database_addresses);
    if (!valid) {
        configuration_unref(parser->configuration);
        return NULL;
    }
    sort_sections(parser->configuration);
    return parser->configuration;
}

/* Parses the sections of a tree; NULL after a fault. The caller sets the canonical form and hash.
 */
static struct configuration *read_tree(JsonNode *node, const char *source, GPtrArray *problems)
{
    guint problems_before = problems->len;
    struct bundle_parser parser;

    start_parser(&parser, source, problems);
    parse_sections(&parser, node);
    return end_parser(&parser, problems->len == problems_before);
}

/* Parses one slice of tenants. */
static void read_slice(struct bundle_parser *parser, const char *slice)
{
    struct bundle_path root = {NULL, NULL};
    g_autoptr(JsonNode) node = bundle_reader_load(&parser->reader, slice, strlen(slice));

    if (node != NULL && JSON_NODE_HOLDS_OBJECT(node)) {
        bundle_parse_tenant_members(parser, &root, json_node_get_object(node));
    }
}

/* True if the tenants are in canonical order, which also proves that none occurs twice. */
static bool are_ascending(const GPtrArray *tenants)
{
    for (guint i = 1; i < tenants->len; i++) {
        const struct tenant_route *left = g_ptr_array_index(tenants, i - 1);
        const struct tenant_route *right = g_ptr_array_index(tenants, i);
        if (strcmp(left->tenant, right->tenant) >= 0) {
            return false;
        }
    }
    return true;
}

/* Parses a canonical bundle, its tenants slice by slice. Returns NULL if the text has any fault or
 * is not canonical; the caller then parses the text as a whole, which reports the faults. */
static struct configuration *read_slices(const char *json, gsize length, const char *source)
{
    g_autoptr(GPtrArray) problems = configuration_problems_new();
    struct bundle_slices slices;
    struct bundle_parser parser;
    struct configuration *configuration = NULL;

    if (bundle_slices_split(json, length, &slices)) {
        start_parser(&parser, source, problems);
        JsonNode *rest = bundle_reader_load(&parser.reader, slices.rest, strlen(slices.rest));
        if (rest != NULL) {
            parse_sections(&parser, rest);
            json_node_unref(rest);
        }
        for (guint i = 0; i < slices.slices->len && problems->len == 0; i++) {
            read_slice(&parser, g_ptr_array_index(slices.slices, i));
        }
        const GPtrArray *tenants = parser.configuration->tenants;
        bool valid = problems->len == 0 && tenants->len <= CONFIGURATION_TENANTS_MAX &&
                     are_ascending(tenants);
        configuration = end_parser(&parser, valid);
    }
    bundle_slices_clear(&slices);
    return configuration;
}

static JsonNode *load_tree(const char *json, gsize length, const char *source, GPtrArray *problems)
{
    struct bundle_reader reader = {source, problems};

    return size_is_allowed(source, length, problems) ? bundle_reader_load(&reader, json, length)
                                                     : NULL;
}

bool configuration_parse(const char *json, gsize length, const char *source,
                         struct configuration **out, GPtrArray *problems)
{
    g_autoptr(JsonNode) node = load_tree(json, length, source, problems);

    *out = node != NULL ? read_tree(node, source, problems) : NULL;
    if (*out == NULL) {
        return false;
    }
    (*out)->canonical = canonical_json(node);
    (*out)->hash = canonical_hash((*out)->canonical);
    return true;
}

/* Parses a text as a single tree; NULL after a fault. */
static struct configuration *read_single_tree(const char *json, gsize length, const char *source,
                                              GPtrArray *problems)
{
    g_autoptr(JsonNode) node = load_tree(json, length, source, problems);

    return node != NULL ? read_tree(node, source, problems) : NULL;
}

bool configuration_parse_canonical(GBytes *canonical, const char *source,
                                   struct configuration **out, GPtrArray *problems)
{
    gsize length = 0;
    const char *json = g_bytes_get_data(canonical, &length);

    *out = NULL;
    if (json != NULL && length <= CONFIGURATION_BYTES_MAX) {
        *out = read_slices(json, length, source);
    }
    if (*out == NULL) {
        *out = read_single_tree(json != NULL ? json : "", length, source, problems);
    }
    if (*out == NULL) {
        return false;
    }
    (*out)->canonical = g_bytes_ref(canonical);
    (*out)->hash = canonical_hash(canonical);
    return true;
}
