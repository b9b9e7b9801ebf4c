/* swiftctl log-level: shows and changes the log levels of a daemon's parts. */
#include <string.h>

#include "ctl/admin_client.h"
#include "ctl/commands.h"

#define LOG_LEVEL_PATH "/v1/log-level"

static enum exit_code run_log_level(const struct command *command, struct invocation *invocation)
{
    enum exit_code exit_code = EXIT_CODE_DONE;
    g_autoptr(GString) query = g_string_new(NULL);

    if (!command_parse(command, invocation, NULL, &exit_code)) {
        return exit_code;
    }
    const char *level = command_operand(invocation, 1);
    admin_query_add(query, "part", command_operand(invocation, 0));
    admin_query_add(query, "level", level);
    return admin_client_call(invocation, level != NULL ? "POST" : "GET", LOG_LEVEL_PATH,
                             query->len > 0 ? query->str : NULL);
}

const struct command command_log_level = {
    .name = "log-level",
    .operands = "[PART [LEVEL]]",
    .summary = "Shows, or changes, the levels of a daemon's log by part.",
    .details =
        "LEVEL is error, warning, message, info or debug; PART all means every part. A change "
        "lasts until\nthe daemon ends, and is an event.",
    .examples = "  swiftctl log-level\n"
                "  swiftctl log-level requests info --admin http://10.0.0.7:7070\n"
                "  swiftctl log-level all message\n",
    .operands_max = 2,
    .options = COMMAND_OPTIONS_ADMIN,
    .run = run_log_level,
};
