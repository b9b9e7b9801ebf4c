/* swiftctl trace: writes the recorded events of a group's control at a daemon to a file. */
#include "ctl/admin_client.h"
#include "ctl/commands.h"

static enum exit_code run_trace(const struct command *command, struct invocation *invocation)
{
    enum exit_code exit_code = EXIT_CODE_DONE;
    g_autoptr(GString) query = g_string_new(NULL);

    if (!command_parse(command, invocation, NULL, &exit_code)) {
        return exit_code;
    }
    admin_query_add(query, "group", command_operand(invocation, 0));
    return admin_client_save(invocation, "/v1/trace", query->str, command_operand(invocation, 1));
}

const struct command command_trace = {
    .name = "trace",
    .operands = "GROUP FILE",
    .summary = "Writes a daemon's recording of a group's control to a file, for replay.",
    .details = "swiftreplay replays it through the same code; see traces/README.md.",
    .examples = "  swiftctl trace bookings-toubkal daemon-1.trace --admin http://10.0.0.7:7070\n",
    .operands_min = 2,
    .operands_max = 2,
    .options = COMMAND_OPTIONS_ADMIN,
    .run = run_trace,
};
