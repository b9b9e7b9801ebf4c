/* Parsing of templates: their parameters, and the fields of the route that these set. A template is
 * valid only if every value that its parameters allow is valid for the fields that they set. */
#include "configuration/bundle_parser.h"

#include <string.h>

void configuration_template_free(struct configuration_template *template_entry)
{
    g_ptr_array_unref(template_entry->parameters);
    g_free(template_entry->description);
    g_free(template_entry->name);
    g_free(template_entry);
}

static void parameter_free(gpointer data)
{
    struct template_parameter *parameter = data;

    g_clear_pointer(&parameter->bounds.groups, g_ptr_array_unref);
    g_free(parameter->description);
    g_free(parameter->name);
    g_free(parameter);
}

int32_t template_find_parameter(const struct configuration_template *template_entry,
                                const char *name)
{
    for (guint i = 0; i < template_entry->parameters->len; i++) {
        const struct template_parameter *parameter =
            g_ptr_array_index(template_entry->parameters, i);
        if (strcmp(parameter->name, name) == 0) {
            return (int32_t)i;
        }
    }
    return -1;
}

static char *group_names_allowed(const struct bundle_parser *parser,
                                 const struct value_bounds *bounds)
{
    g_autoptr(GPtrArray) names = g_ptr_array_new();

    if (bounds->groups != NULL) {
        return bundle_names_allowed(bounds->groups);
    }
    for (guint i = 0; i < parser->configuration->groups->len; i++) {
        struct group_configuration *group = g_ptr_array_index(parser->configuration->groups, i);
        g_ptr_array_add(names, group->name);
    }
    return bundle_names_allowed(names);
}

char *bundle_value_allowed(const struct bundle_parser *parser, const struct value_bounds *bounds)
{
    switch (bounds->type) {
    case VALUE_TYPE_INTEGER:
        return bundle_integer_allowed(bounds->minimum, bounds->maximum);
    case VALUE_TYPE_BOOLEAN:
        return g_strdup("true or false");
    case VALUE_TYPE_GROUP:
        return group_names_allowed(parser, bounds);
    }
    g_assert_not_reached();
}

static bool group_is_allowed(const struct value_bounds *bounds, const char *name)
{
    return bounds->groups == NULL ||
           g_ptr_array_find_with_equal_func(bounds->groups, name, g_str_equal, NULL);
}

/* Adds the fault of a value that is not a string, not the name of a group, or not an allowed group.
 */
static void fault_group_value(struct bundle_parser *parser, const struct bundle_path *path,
                              JsonNode *node, const struct value_bounds *bounds, bool is_known)
{
    g_autofree char *allowed = group_names_allowed(parser, bounds);

    if (bundle_reader_string(&parser->reader, path, node, allowed) == NULL) {
        return;
    }
    if (is_known) {
        bundle_reader_fault(&parser->reader, path, node, "is not an allowed group", allowed);
    } else if (parser->groups_known) {
        bundle_reader_fault(&parser->reader, path, node, "is not a group", allowed);
    }
}

static bool parse_group_value(struct bundle_parser *parser, const struct bundle_path *path,
                              JsonNode *node, const struct value_bounds *bounds, int64_t *value)
{
    bool is_text = JSON_NODE_HOLDS_VALUE(node) && json_node_get_value_type(node) == G_TYPE_STRING;
    const char *name = is_text ? json_node_get_string(node) : NULL;
    const struct group_configuration *group =
        name != NULL ? configuration_find_group_by_name(parser->configuration, name) : NULL;

    if (group == NULL || !group_is_allowed(bounds, name)) {
        fault_group_value(parser, path, node, bounds, group != NULL);
        return false;
    }
    *value = group->id;
    return true;
}

bool bundle_parse_value(struct bundle_parser *parser, const struct bundle_path *path,
                        JsonNode *node, const struct value_bounds *bounds, int64_t *value)
{
    bool boolean = false;

    switch (bounds->type) {
    case VALUE_TYPE_INTEGER:
        return bundle_reader_integer(&parser->reader, path, node, bounds->minimum, bounds->maximum,
                                     value);
    case VALUE_TYPE_BOOLEAN:
        if (!bundle_reader_boolean(&parser->reader, path, node, &boolean)) {
            return false;
        }
        *value = boolean ? 1 : 0;
        return true;
    case VALUE_TYPE_GROUP:
        return parse_group_value(parser, path, node, bounds, value);
    }
    g_assert_not_reached();
}

static bool parse_type(struct bundle_parser *parser, const struct bundle_path *path,
                       JsonObject *object, enum value_type *type)
{
    static const char allowed[] = "integer, boolean, group";
    struct bundle_path type_path = {path, "type"};
    const char *name = bundle_reader_member_string(&parser->reader, path, object, "type", allowed);

    if (name == NULL) {
        return false;
    }
    if (!value_type_find(name, type)) {
        bundle_reader_fault(&parser->reader, &type_path, json_object_get_member(object, "type"),
                            "is not a type", allowed);
        return false;
    }
    return true;
}

static void parse_integer_bounds(struct bundle_parser *parser, const struct bundle_path *path,
                                 JsonObject *object, struct value_bounds *bounds)
{
    static const char *const members[] = {"type",    "description", "default",
                                          "minimum", "maximum",     NULL};

    bundle_reader_refuse_unknown(&parser->reader, path, object, members);
    if (!bundle_reader_member_integer(&parser->reader, path, object, "minimum", 0, UINT32_MAX,
                                      &bounds->minimum)) {
        bounds->minimum = 0;
    }
    if (!bundle_reader_member_integer(&parser->reader, path, object, "maximum", bounds->minimum,
                                      UINT32_MAX, &bounds->maximum)) {
        bounds->maximum = UINT32_MAX;
    }
}

static void parse_allowed_group(struct bundle_parser *parser, const struct bundle_path *path,
                                JsonNode *node, GPtrArray *groups)
{
    const struct value_bounds any = {VALUE_TYPE_GROUP, 0, 0, NULL};
    int64_t group = 0;

    if (parse_group_value(parser, path, node, &any, &group)) {
        g_ptr_array_add(groups, g_strdup(json_node_get_string(node)));
    }
}

static void parse_group_bounds(struct bundle_parser *parser, const struct bundle_path *path,
                               JsonObject *object, struct value_bounds *bounds)
{
    static const char *const members[] = {"type", "description", "default", "allowed", NULL};
    struct bundle_path allowed_path = {path, "allowed"};
    JsonNode *node = json_object_get_member(object, "allowed");

    bundle_reader_refuse_unknown(&parser->reader, path, object, members);
    if (node == NULL) {
        return;
    }
    JsonArray *array =
        bundle_reader_array(&parser->reader, &allowed_path, node, 1, CONFIGURATION_GROUPS_MAX);
    if (array == NULL) {
        return;
    }
    bounds->groups = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < json_array_get_length(array); i++) {
        g_autofree char *index = g_strdup_printf("%u", i);
        struct bundle_path element_path = {&allowed_path, index};
        parse_allowed_group(parser, &element_path, json_array_get_element(array, i),
                            bounds->groups);
    }
}

static void parse_bounds(struct bundle_parser *parser, const struct bundle_path *path,
                         JsonObject *object, struct value_bounds *bounds)
{
    static const char *const boolean_members[] = {"type", "description", "default", NULL};

    switch (bounds->type) {
    case VALUE_TYPE_INTEGER:
        parse_integer_bounds(parser, path, object, bounds);
        return;
    case VALUE_TYPE_BOOLEAN:
        bundle_reader_refuse_unknown(&parser->reader, path, object, boolean_members);
        return;
    case VALUE_TYPE_GROUP:
        parse_group_bounds(parser, path, object, bounds);
        return;
    }
}

static void parse_parameter(struct bundle_parser *parser, const struct bundle_path *path,
                            JsonNode *node, struct template_parameter *parameter)
{
    JsonObject *object = bundle_reader_object(&parser->reader, path, node);

    if (object == NULL || !parse_type(parser, path, object, &parameter->bounds.type)) {
        return;
    }
    parse_bounds(parser, path, object, &parameter->bounds);
    parameter->description = bundle_parse_description(parser, path, object);
    JsonNode *default_node = json_object_get_member(object, "default");
    if (default_node == NULL) {
        return;
    }
    struct bundle_path default_path = {path, "default"};
    parameter->has_default = bundle_parse_value(parser, &default_path, default_node,
                                                &parameter->bounds, &parameter->default_value);
}

static void parse_parameters(struct bundle_parser *parser, const struct bundle_path *path,
                             JsonObject *object, struct configuration_template *template_entry)
{
    struct bundle_path section_path = {path, "parameters"};
    JsonObject *section =
        bundle_parse_section(parser, path, object, "parameters", CONFIGURATION_PARAMETERS_MAX);
    JsonObjectIter iterator;
    const char *name = NULL;
    JsonNode *node = NULL;

    if (section == NULL) {
        return;
    }
    json_object_iter_init_ordered(&iterator, section);
    while (json_object_iter_next_ordered(&iterator, &name, &node)) {
        struct bundle_path parameter_path = {&section_path, name};
        struct template_parameter *parameter = g_new0(struct template_parameter, 1);
        parameter->name = g_strdup(name);
        g_ptr_array_add(template_entry->parameters, parameter);
        guint problems_before = parser->reader.problems->len;
        bundle_reader_check_identifier(&parser->reader, &parameter_path, name);
        parse_parameter(parser, &parameter_path, node, parameter);
        parameter->valid = parser->reader.problems->len == problems_before;
    }
}

/* Adds a fault if the parameter is of another type than the field or allows values that the field
 * does not. */
static void check_parameter_bounds(struct bundle_parser *parser, const struct bundle_path *path,
                                   const struct template_parameter *parameter,
                                   const struct route_field_info *info)
{
    const struct value_bounds *bounds = &parameter->bounds;
    g_autofree char *allowed = bundle_value_allowed(parser, &info->bounds);

    if (!parameter->valid) {
        return;
    }
    if (bounds->type != info->bounds.type) {
        g_autofree char *fault = g_strdup_printf("parameter \"%s\" is of type %s", parameter->name,
                                                 value_type_name(bounds->type));
        bundle_reader_fault(&parser->reader, path, NULL, fault, value_type_name(info->bounds.type));
        return;
    }
    if (bounds->type == VALUE_TYPE_INTEGER &&
        (bounds->minimum < info->bounds.minimum || bounds->maximum > info->bounds.maximum)) {
        g_autofree char *range = bundle_integer_allowed(bounds->minimum, bounds->maximum);
        g_autofree char *fault =
            g_strdup_printf("parameter \"%s\" allows %s", parameter->name, range);
        bundle_reader_fault(&parser->reader, path, NULL, fault, allowed);
    }
}

static char *parameter_names_allowed(const struct configuration_template *template_entry)
{
    g_autoptr(GPtrArray) names = g_ptr_array_new();

    for (guint i = 0; i < template_entry->parameters->len; i++) {
        struct template_parameter *parameter = g_ptr_array_index(template_entry->parameters, i);
        g_ptr_array_add(names, parameter->name);
    }
    return bundle_names_allowed(names);
}

/* Parses {"parameter": NAME} as the setting of a field. */
static void parse_reference(struct bundle_parser *parser, const struct bundle_path *path,
                            JsonObject *object, const struct route_field_info *info,
                            struct configuration_template *template_entry,
                            struct route_setting *setting)
{
    static const char *const members[] = {"parameter", NULL};
    struct bundle_path name_path = {path, "parameter"};
    g_autofree char *allowed = parameter_names_allowed(template_entry);

    bundle_reader_refuse_unknown(&parser->reader, path, object, members);
    const char *name =
        bundle_reader_member_string(&parser->reader, path, object, "parameter", allowed);
    if (name == NULL) {
        return;
    }
    setting->parameter = template_find_parameter(template_entry, name);
    if (setting->parameter < 0) {
        bundle_reader_fault(&parser->reader, &name_path,
                            json_object_get_member(object, "parameter"), "is not a parameter",
                            allowed);
        return;
    }
    check_parameter_bounds(parser, path,
                           g_ptr_array_index(template_entry->parameters, setting->parameter), info);
}

static void parse_setting(struct bundle_parser *parser, const struct bundle_path *path,
                          JsonNode *node, const struct route_field_info *info,
                          struct configuration_template *template_entry,
                          struct route_setting *setting)
{
    if (JSON_NODE_HOLDS_OBJECT(node)) {
        parse_reference(parser, path, json_node_get_object(node), info, template_entry, setting);
        return;
    }
    bundle_parse_value(parser, path, node, &info->bounds, &setting->constant);
}

static void refuse_unknown_fields(struct bundle_parser *parser, const struct bundle_path *path,
                                  JsonObject *route)
{
    const char *members[ROUTE_FIELD_COUNT + 1] = {NULL};

    for (guint field = 0; field < ROUTE_FIELD_COUNT; field++) {
        members[field] = route_field_info(field)->name;
    }
    bundle_reader_refuse_unknown(&parser->reader, path, route, members);
}

static void parse_route(struct bundle_parser *parser, const struct bundle_path *path,
                        JsonObject *object, struct configuration_template *template_entry)
{
    struct bundle_path route_path = {path, "route"};
    JsonObject *route = bundle_reader_member_object(&parser->reader, path, object, "route");

    if (route == NULL) {
        return;
    }
    refuse_unknown_fields(parser, &route_path, route);
    for (guint field = 0; field < ROUTE_FIELD_COUNT; field++) {
        const struct route_field_info *info = route_field_info(field);
        struct route_setting *setting = &template_entry->settings[field];
        struct bundle_path field_path = {&route_path, info->name};
        JsonNode *node = json_object_get_member(route, info->name);

        setting->parameter = ROUTE_SETTING_CONSTANT;
        setting->constant = info->default_value;
        if (node != NULL) {
            parse_setting(parser, &field_path, node, info, template_entry, setting);
        } else if (info->required) {
            g_autofree char *allowed = bundle_value_allowed(parser, &info->bounds);
            bundle_reader_fault(&parser->reader, &field_path, NULL, "missing", allowed);
        }
    }
}

static bool parameter_is_used(const struct configuration_template *template_entry, guint parameter)
{
    for (guint field = 0; field < ROUTE_FIELD_COUNT; field++) {
        if (template_entry->settings[field].parameter == (int32_t)parameter) {
            return true;
        }
    }
    return false;
}

/* Rejects a parameter that sets no field, as a tenant's value for it would have no effect. */
static void refuse_unused_parameters(struct bundle_parser *parser, const struct bundle_path *path,
                                     const struct configuration_template *template_entry)
{
    struct bundle_path section_path = {path, "parameters"};

    for (guint i = 0; i < template_entry->parameters->len; i++) {
        const struct template_parameter *parameter =
            g_ptr_array_index(template_entry->parameters, i);
        struct bundle_path parameter_path = {&section_path, parameter->name};
        if (!parameter_is_used(template_entry, i)) {
            bundle_reader_fault(&parser->reader, &parameter_path, NULL,
                                "sets no field of the route", "a parameter that the route uses");
        }
    }
}

static void parse_template(struct bundle_parser *parser, const struct bundle_path *path,
                           const char *name, JsonNode *node)
{
    static const char *const members[] = {"description", "parameters", "route", NULL};
    guint problems_before = parser->reader.problems->len;
    struct configuration_template *template_entry = g_new0(struct configuration_template, 1);

    template_entry->name = g_strdup(name);
    template_entry->parameters = g_ptr_array_new_with_free_func(parameter_free);
    g_ptr_array_add(parser->configuration->templates, template_entry);
    g_hash_table_insert(parser->configuration->templates_by_name, template_entry->name,
                        template_entry);
    JsonObject *object = bundle_reader_object(&parser->reader, path, node);
    if (object == NULL) {
        return;
    }
    bundle_reader_refuse_unknown(&parser->reader, path, object, members);
    template_entry->description = bundle_parse_description(parser, path, object);
    parse_parameters(parser, path, object, template_entry);
    parse_route(parser, path, object, template_entry);
    if (parser->reader.problems->len == problems_before) {
        refuse_unused_parameters(parser, path, template_entry);
    }
    template_entry->valid = parser->reader.problems->len == problems_before;
}

void bundle_parse_templates(struct bundle_parser *parser, const struct bundle_path *root,
                            JsonObject *bundle)
{
    struct bundle_path section_path = {root, "templates"};
    JsonObject *section =
        bundle_parse_section(parser, root, bundle, "templates", CONFIGURATION_TEMPLATES_MAX);
    JsonObjectIter iterator;
    const char *name = NULL;
    JsonNode *node = NULL;

    if (section == NULL) {
        return;
    }
    parser->templates_known = true;
    json_object_iter_init_ordered(&iterator, section);
    while (json_object_iter_next_ordered(&iterator, &name, &node)) {
        struct bundle_path path = {&section_path, name};
        bundle_reader_check_name(&parser->reader, &path, name);
        parse_template(parser, &path, name, node);
    }
}
