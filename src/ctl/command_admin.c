/* swiftctl status and stop: calls of a daemon's admin listener. */
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
