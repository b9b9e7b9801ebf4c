/* Parsing of tenants, and derivation of their routes from templates and parameters. */
#include "configuration/bundle_parser.h"

/* Values of a tenant's parameters, in the order of the template's parameters. */
struct tenant_values {
    int64_t values[CONFIGURATION_PARAMETERS_MAX];
};

static char *template_names_allowed(const struct configuration *configuration)
{
    g_autoptr(GPtrArray) names = g_ptr_array_new();

    for (guint i = 0; i < configuration->templates->len; i++) {
        struct configuration_template *template_entry =
            g_ptr_array_index(configuration->templates, i);
        g_ptr_array_add(names, template_entry->name);
    }
    return bundle_names_allowed(names);
}

static const struct configuration_template *parse_template_name(struct bundle_parser *parser,
                                                                const struct bundle_path *path,
                                                                JsonObject *object)
{
    struct bundle_path template_path = {path, "template"};
    const char *name = bundle_reader_peek_string(object, "template");
    const struct configuration_template *template_entry =
        name != NULL ? configuration_find_template(parser->configuration, name) : NULL;

    if (template_entry != NULL) {
        return template_entry;
    }
    g_autofree char *allowed = template_names_allowed(parser->configuration);
    name = bundle_reader_member_string(&parser->reader, path, object, "template", allowed);
    if (name != NULL && parser->templates_known) {
        bundle_reader_fault(&parser->reader, &template_path,
                            json_object_get_member(object, "template"), "is not a template",
                            allowed);
    }
    return NULL;
}

static void parse_parameter_value(struct bundle_parser *parser, const struct bundle_path *path,
                                  JsonObject *section, const struct template_parameter *parameter,
                                  int64_t *value)
{
    struct bundle_path value_path = {path, parameter->name};
    JsonNode *node = section != NULL ? json_object_get_member(section, parameter->name) : NULL;

    if (node != NULL) {
        bundle_parse_value(parser, &value_path, node, &parameter->bounds, value);
        return;
    }
    if (parameter->has_default) {
        *value = parameter->default_value;
        return;
    }
    g_autofree char *allowed = bundle_value_allowed(parser, &parameter->bounds);
    bundle_reader_fault(&parser->reader, &value_path, NULL, "missing", allowed);
}

static void refuse_unknown_parameters(struct bundle_parser *parser, const struct bundle_path *path,
                                      JsonObject *section,
                                      const struct configuration_template *template_entry)
{
    g_autoptr(GPtrArray) names = g_ptr_array_new();

    for (guint i = 0; i < template_entry->parameters->len; i++) {
        struct template_parameter *parameter = g_ptr_array_index(template_entry->parameters, i);
        g_ptr_array_add(names, parameter->name);
    }
    g_ptr_array_add(names, NULL);
    bundle_reader_refuse_unknown(&parser->reader, path, section, (const char *const *)names->pdata);
}

/* Parses the tenant's parameters; false after a fault. */
static bool parse_values(struct bundle_parser *parser, const struct bundle_path *path,
                         JsonObject *object, const struct configuration_template *template_entry,
                         struct tenant_values *values)
{
    guint problems_before = parser->reader.problems->len;
    struct bundle_path section_path = {path, "parameters"};
    JsonNode *node = json_object_get_member(object, "parameters");
    JsonObject *section = NULL;

    if (node != NULL) {
        section = bundle_reader_object(&parser->reader, &section_path, node);
        if (section == NULL) {
            return false;
        }
        refuse_unknown_parameters(parser, &section_path, section, template_entry);
    }
    for (guint i = 0; i < template_entry->parameters->len; i++) {
        parse_parameter_value(parser, &section_path, section,
                              g_ptr_array_index(template_entry->parameters, i), &values->values[i]);
    }
    return parser->reader.problems->len == problems_before;
}

static void derive_route(const struct configuration_template *template_entry,
                         const struct tenant_values *values, struct tenant_route *route)
{
    route->template_name = template_entry->name;
    for (guint field = 0; field < ROUTE_FIELD_COUNT; field++) {
        const struct route_setting *setting = &template_entry->settings[field];
        int64_t value = setting->parameter == ROUTE_SETTING_CONSTANT
                            ? setting->constant
                            : values->values[setting->parameter];
        route_field_set(route, field, value);
    }
}

/* Adds a fault if the field `low` of the route exceeds its field `high`. */
static void check_order(struct bundle_parser *parser, const struct bundle_path *path,
                        const struct tenant_route *route, enum route_field low,
                        enum route_field high)
{
    int64_t low_value = route_field_get(route, low);
    int64_t high_value = route_field_get(route, high);

    if (low_value <= high_value) {
        return;
    }
    g_autofree char *fault = g_strdup_printf("derived route has %s %" G_GINT64_FORMAT,
                                             route_field_info(low)->name, low_value);
    g_autofree char *allowed = g_strdup_printf("at most %s (%" G_GINT64_FORMAT ")",
                                               route_field_info(high)->name, high_value);
    bundle_reader_fault(&parser->reader, path, NULL, fault, allowed);
}

static void check_route(struct bundle_parser *parser, const struct bundle_path *path,
                        const struct tenant_route *route)
{
    check_order(parser, path, route, ROUTE_FIELD_READ_WAIT_MS, ROUTE_FIELD_REQUEST_TIMEOUT_MS);
    check_order(parser, path, route, ROUTE_FIELD_TRANSACTION_IDLE_MS,
                ROUTE_FIELD_TRANSACTION_TOTAL_MS);
}

static void parse_tenant(struct bundle_parser *parser, const struct bundle_path *path,
                         const char *name, JsonNode *node)
{
    static const char *const members[] = {"description", "template", "parameters", NULL};
    struct tenant_values values = {{0}};
    JsonObject *object = bundle_reader_object(&parser->reader, path, node);

    if (object == NULL) {
        return;
    }
    bundle_reader_refuse_unknown(&parser->reader, path, object, members);
    g_free(bundle_parse_description(parser, path, object));
    const struct configuration_template *template_entry = parse_template_name(parser, path, object);
    if (template_entry == NULL || !template_entry->valid ||
        !parse_values(parser, path, object, template_entry, &values)) {
        return;
    }
    struct tenant_route *route = g_new0(struct tenant_route, 1);
    route->tenant = g_strdup(name);
    derive_route(template_entry, &values, route);
    check_route(parser, path, route);
    g_ptr_array_add(parser->configuration->tenants, route);
    g_hash_table_insert(parser->configuration->tenants_by_name, route->tenant, route);
}

void bundle_parse_tenant_members(struct bundle_parser *parser, const struct bundle_path *root,
                                 JsonObject *section)
{
    struct bundle_path section_path = {root, "tenants"};
    JsonObjectIter iterator;
    const char *name = NULL;
    JsonNode *node = NULL;

    json_object_iter_init_ordered(&iterator, section);
    while (json_object_iter_next_ordered(&iterator, &name, &node)) {
        struct bundle_path path = {&section_path, name};
        bundle_reader_check_name(&parser->reader, &path, name);
        parse_tenant(parser, &path, name, node);
    }
}

void bundle_parse_tenants(struct bundle_parser *parser, const struct bundle_path *root,
                          JsonObject *bundle)
{
    JsonObject *section =
        bundle_parse_section(parser, root, bundle, "tenants", CONFIGURATION_TENANTS_MAX);

    if (section != NULL) {
        bundle_parse_tenant_members(parser, root, section);
    }
}
