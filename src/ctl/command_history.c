/* swiftctl history: the published versions, newest first. */
#include <inttypes.h>

#include "ctl/commands.h"
#include "ctl/output.h"
#include "ctl/source.h"

#define DEFAULT_LIMIT     20
#define HASH_SHOWN_LENGTH 12

static char *time_text(uint64_t seconds)
{
    g_autoptr(GDateTime) time = g_date_time_new_from_unix_utc((gint64)seconds);

    return time != NULL ? g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ") : g_strdup("?");
}

static void write_table(const GPtrArray *rows, GString *output)
{
    static const char *const columns[] = {"version", "published", "author",
                                          "hash",    "message",   NULL};
    struct output_table *table = output_table_new(columns);

    for (guint i = 0; i < rows->len; i++) {
        const struct version_row *row = g_ptr_array_index(rows, i);
        g_autofree char *time = time_text(row->published_at);
        g_autofree char *hash = g_strndup(row->hash, HASH_SHOWN_LENGTH);
        output_table_add_number(table, row->version);
        output_table_add(table, time);
        output_table_add(table, row->author);
        output_table_add(table, hash);
        output_table_add(table, row->message);
    }
    output_table_write(table, output);
    output_table_free(table);
}

static void write_json(const GPtrArray *rows, GString *output)
{
    JsonObject *object = json_object_new();
    JsonArray *array = json_array_new();

    for (guint i = 0; i < rows->len; i++) {
        const struct version_row *row = g_ptr_array_index(rows, i);
        g_autofree char *time = time_text(row->published_at);
        JsonObject *element = json_object_new();
        json_object_set_int_member(element, "version", (gint64)row->version);
        json_object_set_string_member(element, "published", time);
        json_object_set_string_member(element, "author", row->author);
        json_object_set_string_member(element, "hash", row->hash);
        json_object_set_string_member(element, "request_id", row->request_id);
        json_object_set_string_member(element, "message", row->message);
        json_array_add_object_element(array, element);
    }
    json_object_set_array_member(object, "versions", array);
    output_json(object, output);
}

static enum exit_code list_versions(struct invocation *invocation, gint64 before, gint limit)
{
    g_autoptr(GPtrArray) rows = g_ptr_array_new_with_free_func((GDestroyNotify)version_row_free);
    g_autoptr(GError) error = NULL;
    struct version_store *store = source_open_store(invocation, &error);

    if (store == NULL) {
        return command_fail(invocation, error);
    }
    enum platform_result result =
        version_store_list(store, (uint64_t)MAX(0, before), (uint32_t)MAX(1, limit), rows, &error);
    version_store_free(store);
    if (result != PLATFORM_RESULT_OK) {
        return command_fail(invocation, error);
    }
    if (invocation->json) {
        write_json(rows, invocation->output);
    } else {
        write_table(rows, invocation->output);
    }
    return EXIT_CODE_DONE;
}

static enum exit_code run(const struct command *command, struct invocation *invocation)
{
    enum exit_code exit_code = EXIT_CODE_DONE;
    gint64 before = 0;
    gint limit = DEFAULT_LIMIT;
    const GOptionEntry entries[] = {
        {"limit", 'n', 0, G_OPTION_ARG_INT, &limit, "Most versions to show (20)", "N"},
        {"before", 0, 0, G_OPTION_ARG_INT64, &before, "Only versions below this one", "VERSION"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };

    if (!command_parse(command, invocation, entries, &exit_code)) {
        return exit_code;
    }
    return list_versions(invocation, before, limit);
}

const struct command command_history = {
    .name = "history",
    .operands = "",
    .summary = "Lists the published versions, newest first.",
    .examples = "  swiftctl history --limit 5\n"
                "  swiftctl history --before 100 --output json\n",
    .options = COMMAND_OPTIONS_PLATFORM,
    .run = run,
};
