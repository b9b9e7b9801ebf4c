/* swiftctl validate: checks a configuration and lists every fault. */
#include "configuration/problem.h"
#include "core/error.h"
#include "ctl/commands.h"
#include "ctl/output.h"
#include "ctl/source.h"

static JsonArray *problems_json(const GPtrArray *problems)
{
    JsonArray *array = json_array_new();

    for (guint i = 0; i < problems->len; i++) {
        const struct configuration_problem *problem = g_ptr_array_index(problems, i);
        JsonObject *object = json_object_new();
        json_object_set_string_member(object, "source", problem->source);
        json_object_set_string_member(object, "path", problem->path);
        if (problem->value != NULL) {
            json_object_set_string_member(object, "value", problem->value);
        }
        json_object_set_string_member(object, "fault", problem->fault);
        json_object_set_string_member(object, "allowed", problem->allowed);
        json_array_add_object_element(array, object);
    }
    return array;
}

static enum exit_code write_faults(struct invocation *invocation, const GPtrArray *problems)
{
    if (invocation->json) {
        JsonObject *object = json_object_new();
        json_object_set_boolean_member(object, "valid", FALSE);
        json_object_set_array_member(object, "problems", problems_json(problems));
        output_json(object, invocation->output);
    } else {
        g_autofree char *text = configuration_problems_text(problems);
        g_string_append(invocation->errors, text);
    }
    return EXIT_CODE_INVALID;
}

static void write_summary(struct invocation *invocation, const struct configuration *configuration)
{
    JsonObject *object = json_object_new();

    json_object_set_boolean_member(object, "valid", TRUE);
    json_object_set_string_member(object, "hash", configuration_hash(configuration));
    json_object_set_int_member(object, "zones", configuration->zones->len);
    json_object_set_int_member(object, "groups", configuration->groups->len);
    json_object_set_int_member(object, "templates", configuration->templates->len);
    json_object_set_int_member(object, "tenants", configuration->tenants->len);
    if (invocation->json) {
        output_json(object, invocation->output);
        return;
    }
    g_autoptr(JsonNode) node = json_node_new(JSON_NODE_OBJECT);
    json_node_take_object(node, object);
    output_json_as_text(node, invocation->output);
}

static enum exit_code run(const struct command *command, struct invocation *invocation)
{
    enum exit_code exit_code = EXIT_CODE_DONE;
    g_autoptr(GPtrArray) problems = configuration_problems_new();
    g_autoptr(GError) error = NULL;

    if (!command_parse(command, invocation, NULL, &exit_code)) {
        return exit_code;
    }
    struct configuration *configuration =
        source_load_file(command_operand(invocation, 0), problems, &error);
    if (configuration != NULL) {
        write_summary(invocation, configuration);
        configuration_unref(configuration);
        return EXIT_CODE_DONE;
    }
    if (g_error_matches(error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION)) {
        return write_faults(invocation, problems);
    }
    return command_fail(invocation, error);
}

const struct command command_validate = {
    .name = "validate",
    .operands = "FILE",
    .summary = "Checks a configuration and names every fault.",
    .details = "Each fault is a line with the file, the place, the value and what is allowed.",
    .examples = "  swiftctl validate configuration.json\n"
                "  swiftctl validate --output json configuration.json\n",
    .operands_min = 1,
    .operands_max = 1,
    .run = run,
};
