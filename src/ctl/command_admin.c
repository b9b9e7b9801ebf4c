/* swiftctl status, stop and events: calls of a daemon's admin listener. */
#include "ctl/admin_client.h"
#include "ctl/commands.h"

static enum exit_code run_plain(const struct command *command, struct invocation *invocation,
                                const char *method, const char *path)
{
    enum exit_code exit_code = EXIT_CODE_DONE;

    if (!command_parse(command, invocation, NULL, &exit_code)) {
        return exit_code;
    }
    return admin_client_call(invocation, method, path, NULL);
}

static enum exit_code run_status(const struct command *command, struct invocation *invocation)
{
    return run_plain(command, invocation, "GET", "/v1/status");
}

static enum exit_code run_events(const struct command *command, struct invocation *invocation)
{
    enum exit_code exit_code = EXIT_CODE_DONE;
    gint64 since = 0;
    g_autoptr(GString) query = g_string_new(NULL);
    const GOptionEntry entries[] = {
        {"since", 0, 0, G_OPTION_ARG_INT64, &since, "Only events after this number", "NUMBER"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };

    if (!command_parse(command, invocation, entries, &exit_code)) {
        return exit_code;
    }
    if (since < 0) {
        return command_fail_text(invocation, EXIT_CODE_USAGE, "usage",
                                 "--since must be 0 or above");
    }
    g_string_append_printf(query, "since=%" G_GINT64_FORMAT, since);
    return admin_client_call(invocation, "GET", "/v1/events", query->str);
}

static enum exit_code run_stop(const struct command *command, struct invocation *invocation)
{
    return run_plain(command, invocation, "POST", "/v1/stop");
}

const struct command command_status = {
    .name = "status",
    .operands = "",
    .summary = "Shows a daemon's state: its configuration, members, groups and databases.",
    .examples = "  swiftctl status --admin http://10.0.0.7:7070\n",
    .options = COMMAND_OPTIONS_ADMIN,
    .run = run_status,
};

const struct command command_stop = {
    .name = "stop",
    .operands = "",
    .summary = "Stops a daemon as planned.",
    .details = "It hands over what it owns, ends what is in flight, and leaves.",
    .examples = "  swiftctl stop --admin http://10.0.0.7:7070\n",
    .options = COMMAND_OPTIONS_ADMIN,
    .run = run_stop,
};

const struct command command_events = {
    .name = "events",
    .operands = "",
    .summary = "Shows a daemon's latest events: failovers, drains, configurations.",
    .examples = "  swiftctl events --since 120 --output json\n",
    .options = COMMAND_OPTIONS_ADMIN,
    .run = run_events,
};
