/* swiftctl show: a tenant's derived route, a group, or a whole configuration. */
#include <string.h>

#include "configuration/route_field.h"
#include "core/error.h"
#include "ctl/commands.h"
#include "ctl/output.h"
#include "ctl/source.h"

#define DEFAULT_SOURCE "@latest"

static void write_object(struct invocation *invocation, JsonObject *object)
{
    if (invocation->json) {
        output_json(object, invocation->output);
        return;
    }
    g_autoptr(JsonNode) node = json_node_new(JSON_NODE_OBJECT);
    json_node_take_object(node, object);
    output_json_as_text(node, invocation->output);
}

static void add_route_field(JsonObject *object, const struct configuration *configuration,
                            const struct tenant_route *route, enum route_field field)
{
    const struct route_field_info *info = route_field_info(field);
    int64_t value = route_field_get(route, field);

    switch (info->bounds.type) {
    case VALUE_TYPE_INTEGER:
        json_object_set_int_member(object, info->name, value);
        return;
    case VALUE_TYPE_BOOLEAN:
        json_object_set_boolean_member(object, info->name, value != 0);
        return;
    case VALUE_TYPE_GROUP: {
        g_autofree char *text = route_field_text(configuration, route, field);
        json_object_set_string_member(object, info->name, text);
        return;
    }
    }
}

static enum exit_code show_tenant(struct invocation *invocation,
                                  const struct configuration *configuration, const char *name)
{
    const struct tenant_route *route = configuration_find_tenant(configuration, name);

    if (route == NULL) {
        g_autofree char *text = g_strdup_printf("no tenant %s", name);
        return command_fail_text(invocation, EXIT_CODE_NOT_FOUND, "unknown_tenant", text);
    }
    JsonObject *object = json_object_new();
    json_object_set_string_member(object, "tenant", route->tenant);
    json_object_set_string_member(object, "template", route->template_name);
    for (guint field = 0; field < ROUTE_FIELD_COUNT; field++) {
        add_route_field(object, configuration, route, field);
    }
    write_object(invocation, object);
    return EXIT_CODE_DONE;
}

static const char *zone_name(const struct configuration *configuration, uint32_t id)
{
    for (guint i = 0; i < configuration->zones->len; i++) {
        const struct zone_configuration *zone = g_ptr_array_index(configuration->zones, i);
        if (zone->id == id) {
            return zone->name;
        }
    }
    return NULL;
}

static JsonArray *databases_json(const struct configuration *configuration,
                                 const struct group_configuration *group)
{
    JsonArray *array = json_array_new();

    for (uint32_t i = 0; i < group->database_count; i++) {
        const struct database_configuration *database = &group->databases[i];
        JsonObject *object = json_object_new();
        json_object_set_string_member(object, "name", database->name);
        json_object_set_string_member(object, "zone", zone_name(configuration, database->zone));
        json_object_set_string_member(object, "host", database->host);
        json_object_set_int_member(object, "port", database->port);
        json_object_set_int_member(object, "slots", database->slots);
        json_object_set_int_member(object, "connections", database->connections);
        json_array_add_object_element(array, object);
    }
    return array;
}

static enum exit_code show_group(struct invocation *invocation,
                                 const struct configuration *configuration, const char *name)
{
    const struct group_configuration *group = configuration_find_group_by_name(configuration, name);

    if (group == NULL) {
        g_autofree char *text = g_strdup_printf("no group %s", name);
        return command_fail_text(invocation, EXIT_CODE_NOT_FOUND, "unknown_group", text);
    }
    JsonObject *object = json_object_new();
    json_object_set_string_member(object, "group", group->name);
    json_object_set_int_member(object, "id", group->id);
    json_object_set_array_member(object, "databases", databases_json(configuration, group));
    write_object(invocation, object);
    return EXIT_CODE_DONE;
}

/* Writes the configuration as JSON in either output format, so that it can be edited. */
static enum exit_code show_configuration(struct invocation *invocation,
                                         const struct configuration *configuration)
{
    gsize length = 0;
    const char *text = g_bytes_get_data(configuration_canonical(configuration), &length);
    g_autoptr(JsonParser) parser = json_parser_new();

    g_assert(json_parser_load_from_data(parser, text, (gssize)length, NULL));
    g_autofree char *pretty = json_to_string(json_parser_get_root(parser), TRUE);
    g_string_append_printf(invocation->output, "%s\n", pretty);
    return EXIT_CODE_DONE;
}

static enum exit_code show(struct invocation *invocation, const struct configuration *configuration)
{
    const char *what = command_operand(invocation, 0);
    const char *name = command_operand(invocation, 1);

    if (strcmp(what, "tenant") == 0 && name != NULL) {
        return show_tenant(invocation, configuration, name);
    }
    if (strcmp(what, "group") == 0 && name != NULL) {
        return show_group(invocation, configuration, name);
    }
    if (strcmp(what, "configuration") == 0 && name == NULL) {
        return show_configuration(invocation, configuration);
    }
    return command_fail_text(invocation, EXIT_CODE_USAGE, "usage",
                             "show tenant NAME, show group NAME or show configuration");
}

static enum exit_code run(const struct command *command, struct invocation *invocation)
{
    enum exit_code exit_code = EXIT_CODE_DONE;
    g_autofree char *source = NULL;
    g_autoptr(GError) error = NULL;
    const GOptionEntry entries[] = {
        {"from", 'f', 0, G_OPTION_ARG_STRING, &source, SOURCE_HELP " (" DEFAULT_SOURCE ")",
         "SOURCE"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };

    if (!command_parse(command, invocation, entries, &exit_code)) {
        return exit_code;
    }
    struct configuration *configuration =
        source_load(invocation, source != NULL ? source : DEFAULT_SOURCE, &error);
    if (configuration == NULL) {
        return command_fail(invocation, error);
    }
    exit_code = show(invocation, configuration);
    configuration_unref(configuration);
    return exit_code;
}

const struct command command_show = {
    .name = "show",
    .operands = "tenant NAME | group NAME | configuration",
    .summary = "Shows a tenant's derived route, a group's databases, or a whole configuration.",
    .examples = "  swiftctl show tenant hut-lepiney\n"
                "  swiftctl show group availability --from configuration.json\n"
                "  swiftctl show configuration --from @17 > configuration.json\n",
    .operands_min = 1,
    .operands_max = 2,
    .options = COMMAND_OPTIONS_PLATFORM,
    .run = run,
};
