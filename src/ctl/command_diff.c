/* swiftctl diff: the effect of a change of configuration, including the tenants' routes. */
#include "configuration/diff.h"
#include "ctl/commands.h"
#include "ctl/output.h"
#include "ctl/source.h"

static JsonArray *fields_json(const GPtrArray *fields)
{
    JsonArray *array = json_array_new();

    for (guint i = 0; i < fields->len; i++) {
        const struct field_change *field = g_ptr_array_index(fields, i);
        JsonObject *object = json_object_new();
        json_object_set_string_member(object, "field", field->field);
        json_object_set_string_member(object, "before", field->before);
        json_object_set_string_member(object, "after", field->after);
        json_array_add_object_element(array, object);
    }
    return array;
}

static void write_json(const GPtrArray *changes, GString *output)
{
    JsonObject *object = json_object_new();
    JsonArray *array = json_array_new();

    for (guint i = 0; i < changes->len; i++) {
        const struct configuration_change *change = g_ptr_array_index(changes, i);
        JsonObject *element = json_object_new();
        json_object_set_string_member(element, "section", change_section_name(change->section));
        json_object_set_string_member(element, "name", change->name);
        json_object_set_string_member(element, "change", change_kind_name(change->kind));
        json_object_set_array_member(element, "fields", fields_json(change->fields));
        json_array_add_object_element(array, element);
    }
    json_object_set_array_member(object, "changes", array);
    output_json(object, output);
}

static void add_row(struct output_table *table, const struct configuration_change *change,
                    const struct field_change *field)
{
    output_table_add(table, change_section_name(change->section));
    output_table_add(table, change->name);
    output_table_add(table, change_kind_name(change->kind));
    output_table_add(table, field != NULL ? field->field : NULL);
    output_table_add(table, field != NULL ? field->before : NULL);
    output_table_add(table, field != NULL ? field->after : NULL);
}

static void write_table(const GPtrArray *changes, GString *output)
{
    static const char *const columns[] = {"section", "name",  "change", "field",
                                          "before",  "after", NULL};
    struct output_table *table = output_table_new(columns);

    for (guint i = 0; i < changes->len; i++) {
        const struct configuration_change *change = g_ptr_array_index(changes, i);
        if (change->fields->len == 0) {
            add_row(table, change, NULL);
        }
        for (guint j = 0; j < change->fields->len; j++) {
            add_row(table, change, g_ptr_array_index(change->fields, j));
        }
    }
    output_table_write(table, output);
    output_table_free(table);
}

static void write_changes(struct invocation *invocation, const struct configuration *before,
                          const struct configuration *after)
{
    g_autoptr(GPtrArray) changes = configuration_diff(before, after);

    if (invocation->json) {
        write_json(changes, invocation->output);
    } else if (changes->len == 0) {
        g_string_append(invocation->output, "no change\n");
    } else {
        write_table(changes, invocation->output);
    }
}

static enum exit_code run(const struct command *command, struct invocation *invocation)
{
    enum exit_code exit_code = EXIT_CODE_DONE;
    g_autoptr(GError) error = NULL;

    if (!command_parse(command, invocation, NULL, &exit_code)) {
        return exit_code;
    }
    struct configuration *before = source_load(invocation, command_operand(invocation, 0), &error);
    struct configuration *after =
        before != NULL ? source_load(invocation, command_operand(invocation, 1), &error) : NULL;
    if (after != NULL) {
        write_changes(invocation, before, after);
    } else {
        exit_code = command_fail(invocation, error);
    }
    configuration_unref(before);
    configuration_unref(after);
    return exit_code;
}

const struct command command_diff = {
    .name = "diff",
    .operands = "OLD NEW",
    .summary = "Shows what changes from one configuration to another.",
    .details = "Tenants are listed if their derived route changes, by parameter or by template.\n"
               "OLD and NEW are each a " SOURCE_HELP ".",
    .examples = "  swiftctl diff @latest configuration.json\n"
                "  swiftctl diff @16 @17 --output json\n",
    .operands_min = 2,
    .operands_max = 2,
    .options = COMMAND_OPTIONS_PLATFORM,
    .run = run,
};
