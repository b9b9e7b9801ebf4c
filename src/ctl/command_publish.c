/* swiftctl publish: validates a configuration and makes it the next version. */
#include <inttypes.h>
#include <string.h>

#include "configuration/publish.h"
#include "core/error.h"
#include "ctl/commands.h"
#include "ctl/output.h"
#include "ctl/source.h"

#define BASE_LATEST "latest"

/* The command's own options. */
struct publish_options {
    char *base;
    char *author;
    char *message;
    char *request_id;
};

static void publish_options_clear(struct publish_options *options)
{
    g_free(options->base);
    g_free(options->author);
    g_free(options->message);
    g_free(options->request_id);
}

/* Fills in the order's base from the option. */
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
                        "--request-id asks again for one version: give its --base as a number");
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

static void write_outcome(struct invocation *invocation, const struct publish_order *order,
                          const struct publish_outcome *outcome)
{
    const char *hash = configuration_hash(order->configuration);
    const char *status = outcome->status == PUBLISH_STATUS_UNCHANGED ? "unchanged" : "published";

    if (!invocation->json) {
        g_string_append_printf(invocation->output, "%s: version %" PRIu64 ", hash %s\n", status,
                               outcome->version, hash);
        return;
    }
    JsonObject *object = json_object_new();
    json_object_set_string_member(object, "status", status);
    json_object_set_int_member(object, "version", (gint64)outcome->version);
    json_object_set_string_member(object, "hash", hash);
    json_object_set_string_member(object, "request_id", order->request_id);
    output_json(object, invocation->output);
}

static enum exit_code publish_with_store(struct invocation *invocation,
                                         const struct publish_order *order)
{
    struct publish_outcome outcome = {0};
    g_autoptr(GError) error = NULL;
    struct version_store *store = source_open_store(invocation, &error);

    if (store == NULL) {
        return command_fail(invocation, error);
    }
    bool in_force = publish_configuration(store, order, &outcome, &error);
    version_store_free(store);
    publish_outcome_clear(&outcome);
    if (!in_force) {
        return command_fail(invocation, error);
    }
    write_outcome(invocation, order, &outcome);
    return EXIT_CODE_DONE;
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
    enum exit_code exit_code = publish_with_store(invocation, &order);
    configuration_unref(configuration);
    return exit_code;
}

static enum exit_code run(const struct command *command, struct invocation *invocation)
{
    struct publish_options options = {0};
    enum exit_code exit_code = EXIT_CODE_DONE;
    const GOptionEntry entries[] = {
        {"base", 'b', 0, G_OPTION_ARG_STRING, &options.base,
         "The version that this one changes (0: none yet), or latest to overrule whatever it is",
         "VERSION|latest"},
        {"message", 'm', 0, G_OPTION_ARG_STRING, &options.message, "Why", "TEXT"},
        {"author", 0, 0, G_OPTION_ARG_STRING, &options.author, "Who (the user's name)", "NAME"},
        {"request-id", 0, 0, G_OPTION_ARG_STRING, &options.request_id,
         "Ask again for an attempt whose outcome was unknown", "ID"},
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
               "them. FILE may also be @VERSION, to go back to what that version said.",
    .examples = "  swiftctl publish --base 16 --message 'winter rates' configuration.json\n"
                "  swiftctl publish --base 17 --message 'back to 15' @15\n"
                "  swiftctl publish --base 16 --message 'winter rates' --request-id ID "
                "configuration.json\n",
    .operands_min = 1,
    .operands_max = 1,
    .options = COMMAND_OPTIONS_PLATFORM,
    .run = run,
};
