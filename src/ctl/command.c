/* Code shared by all commands of swiftctl. */
#include "ctl/command.h"

#include <string.h>

#include <json-glib/json-glib.h>

#include "core/error.h"
#include "generated/errors.h"

#define FORMAT_TABLE       "table"
#define FORMAT_JSON        "json"
#define DEFAULT_ADMIN_URL  "http://127.0.0.1:7070"
#define DEFAULT_TIMEOUT_MS 30000

#define ENVIRONMENT_TABLE_URL  "SWIFTWORKS_TABLE_URL"
#define ENVIRONMENT_OBJECT_URL "SWIFTWORKS_OBJECT_URL"
#define ENVIRONMENT_ADMIN_URL  "SWIFTWORKS_ADMIN_URL"
#define ENVIRONMENT_ACCESS_KEY "AWS_ACCESS_KEY_ID"
#define ENVIRONMENT_SECRET_KEY "AWS_SECRET_ACCESS_KEY"

/* Adds options to the context, or passes them to the invocation's `list` callback. */
static void add_entries(GOptionContext *context, struct invocation *invocation,
                        const GOptionEntry *entries)
{
    if (invocation->list != NULL) {
        invocation->list(invocation->list_user, entries);
    } else {
        g_option_context_add_main_entries(context, entries, NULL);
    }
}

static void add_common_entries(GOptionContext *context, struct invocation *invocation,
                               gboolean *help)
{
    const GOptionEntry entries[] = {
        {"help", 'h', 0, G_OPTION_ARG_NONE, help, "Show this help", NULL},
        {"output", 'o', 0, G_OPTION_ARG_STRING, &invocation->format,
         "Write a table (the default) or JSON", "table|json"},
        {"timeout-ms", 0, 0, G_OPTION_ARG_INT, &invocation->timeout_ms,
         "Give up after this time (30000)", "MS"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };

    add_entries(context, invocation, entries);
}

static void add_platform_entries(GOptionContext *context, struct invocation *invocation)
{
    const GOptionEntry entries[] = {
        {"table-url", 0, 0, G_OPTION_ARG_STRING, &invocation->table_url,
         "Table service (or " ENVIRONMENT_TABLE_URL ")", "URL"},
        {"object-url", 0, 0, G_OPTION_ARG_STRING, &invocation->object_url,
         "Object store (or " ENVIRONMENT_OBJECT_URL "; the table service's URL)", "URL"},
        {"bucket", 0, 0, G_OPTION_ARG_STRING, &invocation->bucket, "Bucket (swiftworks)", "NAME"},
        {"table", 0, 0, G_OPTION_ARG_STRING, &invocation->table, "Table (swiftworks)", "NAME"},
        {"region", 0, 0, G_OPTION_ARG_STRING, &invocation->region, "Region (us-east-1)", "NAME"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };

    add_entries(context, invocation, entries);
}

static void add_admin_entries(GOptionContext *context, struct invocation *invocation)
{
    const GOptionEntry entries[] = {
        {"admin", 'a', 0, G_OPTION_ARG_STRING_ARRAY, &invocation->admin_urls,
         "The daemon's admin listener (or " ENVIRONMENT_ADMIN_URL "; " DEFAULT_ADMIN_URL ")",
         "URL"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };

    add_entries(context, invocation, entries);
}

static GOptionContext *make_context(const struct command *command, struct invocation *invocation,
                                    const GOptionEntry *entries, gboolean *help)
{
    g_autofree char *program = g_strconcat("swiftctl ", command->name, NULL);
    g_autofree char *summary = g_strconcat(command->summary, command->details != NULL ? "\n" : NULL,
                                           command->details, NULL);
    g_autofree char *examples = g_strconcat("Examples:\n", command->examples, NULL);
    GOptionContext *context = g_option_context_new(command->operands);

    g_set_prgname(program);
    g_option_context_set_help_enabled(context, FALSE);
    g_option_context_set_summary(context, summary);
    g_option_context_set_description(context, examples);
    if (entries != NULL) {
        add_entries(context, invocation, entries);
    }
    if (command->options & COMMAND_OPTIONS_PLATFORM) {
        add_platform_entries(context, invocation);
    }
    if (command->options & COMMAND_OPTIONS_ADMIN) {
        add_admin_entries(context, invocation);
    }
    add_common_entries(context, invocation, help);
    return context;
}

/* g_option_context_parse_strv expects the program's name as the first word. */
static bool parse_options(GOptionContext *context, const struct command *command,
                          struct invocation *invocation, GError **error)
{
    g_autofree char *program = g_strconcat("swiftctl ", command->name, NULL);
    GPtrArray *words = g_ptr_array_new();

    g_ptr_array_add(words, g_steal_pointer(&program));
    for (guint i = 0; invocation->arguments[i] != NULL; i++) {
        g_ptr_array_add(words, invocation->arguments[i]);
    }
    g_ptr_array_add(words, NULL);
    g_free(invocation->arguments);
    invocation->arguments = (char **)g_ptr_array_free(words, FALSE);
    return g_option_context_parse_strv(context, &invocation->arguments, error);
}

static void drop_program_name(struct invocation *invocation)
{
    char **operands = g_strdupv(invocation->arguments + 1);

    g_strfreev(invocation->arguments);
    invocation->arguments = operands;
}

static bool check_operands(const struct command *command, struct invocation *invocation,
                           GError **error)
{
    guint count = g_strv_length(invocation->arguments);

    if (count < command->operands_min || count > command->operands_max) {
        g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
                    "%u operands given; usage: swiftctl %s [OPTION...] %s", count, command->name,
                    command->operands);
        return false;
    }
    bool several = invocation->admin_urls != NULL && g_strv_length(invocation->admin_urls) > 1;
    if (several && !(command->options & COMMAND_OPTIONS_ADMINS)) {
        g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                    "--admin may be given once: %s queries one daemon", command->name);
        return false;
    }
    if (invocation->timeout_ms <= 0) {
        g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                    "--timeout-ms must be above 0");
        return false;
    }
    return true;
}

static bool read_format(struct invocation *invocation, GError **error)
{
    if (invocation->format == NULL || strcmp(invocation->format, FORMAT_TABLE) == 0) {
        return true;
    }
    if (strcmp(invocation->format, FORMAT_JSON) != 0) {
        g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                    "--output %s: must be table or json", invocation->format);
        return false;
    }
    invocation->json = true;
    return true;
}

bool command_parse(const struct command *command, struct invocation *invocation,
                   const GOptionEntry *entries, enum exit_code *exit_code)
{
    gboolean help = FALSE;
    g_autoptr(GOptionContext) context = make_context(command, invocation, entries, &help);
    g_autoptr(GError) error = NULL;

    if (invocation->list != NULL) {
        *exit_code = EXIT_CODE_DONE;
        return false;
    }
    invocation->timeout_ms = DEFAULT_TIMEOUT_MS;
    bool parsed = parse_options(context, command, invocation, &error);
    if (parsed && help) {
        g_autofree char *text = g_option_context_get_help(context, TRUE, NULL);
        g_string_append(invocation->output, text);
        *exit_code = EXIT_CODE_DONE;
        return false;
    }
    drop_program_name(invocation);
    if (!parsed || !read_format(invocation, &error) ||
        !check_operands(command, invocation, &error)) {
        *exit_code = command_fail(invocation, error);
        return false;
    }
    return true;
}

const char *command_operand(const struct invocation *invocation, guint index)
{
    return index < g_strv_length(invocation->arguments) ? invocation->arguments[index] : NULL;
}

enum exit_code command_fail_text(struct invocation *invocation, enum exit_code exit_code,
                                 const char *kind, const char *text)
{
    if (!invocation->json) {
        g_string_append_printf(invocation->errors, "swiftctl: %s: %s\n", kind, text);
        return exit_code;
    }
    g_autoptr(JsonNode) node = json_node_new(JSON_NODE_OBJECT);
    JsonObject *object = json_object_new();
    JsonObject *details = json_object_new();
    json_object_set_string_member(details, "kind", kind);
    json_object_set_string_member(details, "text", text);
    json_object_set_object_member(object, "error", details);
    json_node_take_object(node, object);
    g_autofree char *json = json_to_string(node, FALSE);
    g_string_append_printf(invocation->errors, "%s\n", json);
    return exit_code;
}

enum exit_code command_fail(struct invocation *invocation, const GError *error)
{
    const char *kind = "error";

    if (error->domain == SW_ERROR) {
        kind = error_entry_of((enum error_kind)error->code)->name;
    } else if (error->domain == G_OPTION_ERROR) {
        kind = "usage";
    } else if (g_error_matches(error, G_FILE_ERROR, G_FILE_ERROR_NOENT)) {
        kind = "not_found";
    }
    return command_fail_text(invocation, exit_code_of_error(error), kind, error->message);
}

/* The value of the option, else of the environment variable, else the default. */
static const char *setting(const char *option, const char *variable, const char *fallback)
{
    if (option != NULL) {
        return option;
    }
    const char *value = variable != NULL ? g_getenv(variable) : NULL;
    return value != NULL ? value : fallback;
}

bool command_platform_settings(struct invocation *invocation, struct platform_settings *settings,
                               GError **error)
{
    *settings = platform_settings_default();
    settings->table_url = setting(invocation->table_url, ENVIRONMENT_TABLE_URL, NULL);
    if (settings->table_url == NULL) {
        g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
                    "the table service is not given: use --table-url or " ENVIRONMENT_TABLE_URL);
        return false;
    }
    settings->object_url =
        setting(invocation->object_url, ENVIRONMENT_OBJECT_URL, settings->table_url);
    settings->bucket = setting(invocation->bucket, NULL, settings->bucket);
    settings->table = setting(invocation->table, NULL, settings->table);
    settings->region = setting(invocation->region, NULL, settings->region);
    settings->access_key = setting(NULL, ENVIRONMENT_ACCESS_KEY, "");
    settings->secret_key = setting(NULL, ENVIRONMENT_SECRET_KEY, "");
    return true;
}

const char *command_admin_url(const struct invocation *invocation, guint index)
{
    if (invocation->admin_urls != NULL && invocation->admin_urls[0] != NULL) {
        return index < g_strv_length(invocation->admin_urls) ? invocation->admin_urls[index] : NULL;
    }
    return index == 0 ? setting(NULL, ENVIRONMENT_ADMIN_URL, DEFAULT_ADMIN_URL) : NULL;
}
