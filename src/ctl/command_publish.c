/* swiftctl publish: validates a configuration and makes it the next version. */
#include <inttypes.h>
#include <string.h>

#include "configuration/publish.h"
#include "core/error.h"
#include "ctl/commands.h"
#include "ctl/handover.h"
#include "ctl/output.h"
#include "ctl/settled_check.h"
#include "ctl/source.h"

#define BASE_LATEST "latest"

/* The command's own options. */
struct publish_options {
    char *base;
    char *author;
    char *message;
    char *request_id;
    char **admin_urls;
};

static void publish_options_clear(struct publish_options *options)
{
    g_free(options->base);
    g_free(options->author);
    g_free(options->message);
    g_free(options->request_id);
    g_strfreev(options->admin_urls);
}

/* Sets the order's base from the option. */
static bool read_base(const struct publish_options *options, struct publish_order *order,
                      GError **error)
{
    guint64 base = 0;

    if (options->base == NULL || options->message == NULL) {
        g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
                    "--base and --message must be given");
        return false;
    }
    if (strcmp(options->base, BASE_LATEST) == 0) {
        if (options->request_id != NULL) {
            g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                        "--request-id repeats one attempt: --base must be a number");
            return false;
        }
        return true;
    }
    if (!g_ascii_string_to_unsigned(options->base, 10, 0, G_MAXUINT64, &base, NULL)) {
        g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                    "--base %s: must be a version, 0 or latest", options->base);
        return false;
    }
    order->has_base = true;
    order->base = base;
    return true;
}

/* Writes which daemons have the version in force, or that no daemon is known to. */
static void write_daemons(struct invocation *invocation, const GPtrArray *daemons)
{
    guint count = handover_count_in_force(daemons);

    for (guint i = 0; i < daemons->len; i++) {
        const struct handover_daemon *daemon = g_ptr_array_index(daemons, i);
        if (daemon->in_force) {
            g_string_append_printf(invocation->output, "in force: %s, zone %s\n", daemon->url,
                                   daemon->zone);
        } else {
            g_string_append_printf(invocation->errors, "swiftctl: not in force: %s: %s\n",
                                   daemon->url, daemon->reason);
        }
    }
    if (daemons->len == 0) {
        g_string_append(invocation->errors, "swiftctl: handed to no daemon (see --admin); in force "
                                            "once one has read it from the store\n");
    } else if (count == 0) {
        g_string_append(invocation->errors, "swiftctl: no daemon has it yet: in force once one has "
                                            "read it from the store\n");
    }
}

static void add_daemons(JsonObject *object, const GPtrArray *daemons)
{
    JsonArray *array = json_array_new();

    for (guint i = 0; i < daemons->len; i++) {
        const struct handover_daemon *daemon = g_ptr_array_index(daemons, i);
        JsonObject *entry = json_object_new();
        json_object_set_string_member(entry, "admin", daemon->url);
        json_object_set_string_member(entry, "zone", daemon->zone);
        json_object_set_boolean_member(entry, "in_force", daemon->in_force);
        json_object_set_string_member(entry, "reason", daemon->in_force ? "" : daemon->reason);
        json_array_add_object_element(array, entry);
    }
    json_object_set_array_member(object, "daemons", array);
}

static void write_outcome(struct invocation *invocation, const struct publish_order *order,
                          const struct publish_outcome *outcome, const GPtrArray *daemons)
{
    const char *hash = configuration_hash(order->configuration);
    const char *status = outcome->status == PUBLISH_STATUS_UNCHANGED ? "unchanged" : "published";

    if (!invocation->json) {
        g_string_append_printf(invocation->output, "%s: version %" PRIu64 ", hash %s\n", status,
                               outcome->version, hash);
        write_daemons(invocation, daemons);
        return;
    }
    JsonObject *object = json_object_new();
    json_object_set_string_member(object, "status", status);
    json_object_set_int_member(object, "version", (gint64)outcome->version);
    json_object_set_string_member(object, "hash", hash);
    json_object_set_string_member(object, "request_id", order->request_id);
    add_daemons(object, daemons);
    output_json(object, invocation->output);
}

/* Hands over a version that the store has accepted; any other result is left alone. */
static void hand_over(struct invocation *invocation, const struct publish_order *order,
                      const struct publish_outcome *outcome, char **admin_urls)
{
    const struct handover_version version = {
        .version = outcome->version,
        .hash = configuration_hash(order->configuration),
        .base_hash = outcome->base_hash,
        .content = configuration_canonical(order->configuration),
    };
    g_autoptr(GPtrArray) daemons = handover_run(admin_urls, &version);

    write_outcome(invocation, order, outcome, daemons);
}

static enum exit_code publish_with_store(struct invocation *invocation,
                                         const struct publish_order *order, char **admin_urls)
{
    struct publish_outcome outcome = {0};
    g_autoptr(GError) error = NULL;
    struct version_store *store = source_open_store(invocation, &error);

    if (store == NULL) {
        return command_fail(invocation, error);
    }
    bool accepted = publish_configuration(store, order, &outcome, &error);
    version_store_free(store);
    if (accepted) {
        hand_over(invocation, order, &outcome, admin_urls);
    }
    publish_outcome_clear(&outcome);
    return accepted ? EXIT_CODE_DONE : command_fail(invocation, error);
}

/* The daemons' URLs, from the options, else from the environment, separated by commas. */
static char **find_admin_urls(const struct publish_options *options)
{
    const char *value = g_getenv(HANDOVER_ENVIRONMENT);

    if (options->admin_urls != NULL) {
        return g_strdupv(options->admin_urls);
    }
    return g_strsplit(value != NULL ? value : "", ",", -1);
}

static enum exit_code publish_file(struct invocation *invocation,
                                   const struct publish_options *options)
{
    g_autofree char *request_id =
        options->request_id != NULL ? g_strdup(options->request_id) : g_uuid_string_random();
    struct publish_order order = {
        .request_id = request_id,
        .author = options->author != NULL ? options->author : g_get_user_name(),
        .message = options->message,
        .timeout_ms = (uint32_t)invocation->timeout_ms,
        .backoff = {PUBLISH_BACKOFF_BASE_MS, PUBLISH_BACKOFF_MAXIMUM_MS},
    };
    g_autoptr(GError) error = NULL;

    if (!read_base(options, &order, &error)) {
        return command_fail(invocation, error);
    }
    struct configuration *configuration =
        source_load(invocation, command_operand(invocation, 0), &error);
    if (configuration == NULL) {
        return command_fail(invocation, error);
    }
    order.configuration = configuration;
    g_auto(GStrv) admin_urls = find_admin_urls(options);
    order.check = settled_check;
    order.check_user = admin_urls;
    enum exit_code exit_code = publish_with_store(invocation, &order, admin_urls);
    configuration_unref(configuration);
    return exit_code;
}

static enum exit_code run(const struct command *command, struct invocation *invocation)
{
    struct publish_options options = {0};
    enum exit_code exit_code = EXIT_CODE_DONE;
    const GOptionEntry entries[] = {
        {"base", 'b', 0, G_OPTION_ARG_STRING, &options.base,
         "The version that this one changes (0: none yet), or latest to replace the newest one, "
         "whichever it is",
         "VERSION|latest"},
        {"message", 'm', 0, G_OPTION_ARG_STRING, &options.message, "Why", "TEXT"},
        {"author", 0, 0, G_OPTION_ARG_STRING, &options.author, "Author (the user's name)", "NAME"},
        {"request-id", 0, 0, G_OPTION_ARG_STRING, &options.request_id,
         "Repeat an attempt whose outcome was unknown", "ID"},
        {"admin", 'a', 0, G_OPTION_ARG_STRING_ARRAY, &options.admin_urls,
         "A daemon that gets the version at once; of several zones, once each "
         "(or " HANDOVER_ENVIRONMENT ", separated by commas)",
         "URL"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };

    if (command_parse(command, invocation, entries, &exit_code)) {
        exit_code = publish_file(invocation, &options);
    }
    publish_options_clear(&options);
    return exit_code;
}

const struct command command_publish = {
    .name = "publish",
    .operands = "FILE",
    .summary = "Validates a configuration and makes it the next version.",
    .details = "If another operator published first, nothing is changed and the conflict names\n"
               "them. FILE may also be @VERSION, to return to that version's content. Daemons\n"
               "given by --admin have the version in force even if the store goes down next.",
    .examples = "  swiftctl publish --base 16 --message 'winter rates' \\\n"
                "      --admin http://10.0.0.7:7070 --admin http://10.0.1.7:7070 "
                "configuration.json\n"
                "  swiftctl publish --base 17 --message 'back to 15' @15\n"
                "  swiftctl publish --base 16 --message 'winter rates' --request-id ID "
                "configuration.json\n",
    .operands_min = 1,
    .operands_max = 1,
    .options = COMMAND_OPTIONS_PLATFORM,
    .run = run,
};
