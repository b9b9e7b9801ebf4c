/* swiftctl drain and undrain: mark a database or daemon as leaving, and wait until it can be
 * removed safely. */
#include <string.h>

#include "ctl/admin_client.h"
#include "ctl/commands.h"

#define DRAIN_PATH   "/v1/drain"
#define UNDRAIN_PATH "/v1/undrain"

/* Interval of the checks of a drain's progress. */
#define POLL_US 250000

/* Erases the terminal's current line. */
#define CLEAR_LINE "\r\033[K"

/* Parses "database NAME" or "daemon" into a query. False: an error was written. */
static bool read_target(const struct command *command, struct invocation *invocation,
                        GString *query)
{
    const char *what = command_operand(invocation, 0);
    const char *name = command_operand(invocation, 1);
    if (strcmp(what, "database") == 0 && name != NULL) {
        admin_query_add(query, "database", name);
        return true;
    }
    if (strcmp(what, "daemon") == 0 && name == NULL) {
        admin_query_add(query, "daemon", "self");
        return true;
    }
    g_autofree char *text =
        g_strconcat(command->name, " database NAME, or ", command->name, " daemon", NULL);
    command_fail_text(invocation, EXIT_CODE_USAGE, "usage", text);
    return false;
}

static gint64 number_of(JsonObject *answer, const char *name)
{
    return json_object_get_int_member_with_default(answer, name, 0);
}

static bool flag_of(JsonObject *answer, const char *name)
{
    return json_object_get_boolean_member_with_default(answer, name, FALSE);
}

/* One line about the progress. The caller frees it. */
static char *progress_text(JsonObject *answer)
{
    const char *mark = flag_of(answer, "leaving") ? "leaving" : "not marked as leaving yet";
    if (json_object_has_member(answer, "database")) {
        return g_strdup_printf(
            "%s: %s, %s, not used by %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
            " owners, connections in use here: %" G_GINT64_FORMAT,
            json_object_get_string_member_with_default(answer, "database", ""), mark,
            json_object_get_string_member_with_default(answer, "role", "unknown"),
            number_of(answer, "owners_unused"), number_of(answer, "owners_count"),
            number_of(answer, "connections_in_use"));
    }
    return g_strdup_printf("%s: %s, groups: %" G_GINT64_FORMAT
                           ", open transactions: %" G_GINT64_FORMAT,
                           json_object_get_string_member_with_default(answer, "daemon", ""), mark,
                           number_of(answer, "groups"), number_of(answer, "transactions_open"));
}

/* Replaces the progress line; only on a terminal. */
static void show_progress(const struct invocation *invocation, const char *text)
{
    if (invocation->terminal != NULL) {
        fprintf(invocation->terminal, "%s%s", CLEAR_LINE, text);
        fflush(invocation->terminal);
    }
}

/* Checks the progress once. True if the wait has ended: *exit_code is set, and the reply or error
 * was written. */
static bool check_progress(struct invocation *invocation, const char *query, char **text,
                           enum exit_code *exit_code)
{
    struct admin_result result;
    admin_client_fetch(invocation, command_admin_url(invocation, 0), "GET", DRAIN_PATH, query,
                       &result);
    bool over = false;
    g_free(*text);
    *text = NULL;
    if (result.node != NULL && JSON_NODE_HOLDS_OBJECT(result.node)) {
        JsonObject *answer = json_node_get_object(result.node);
        over = flag_of(answer, "safe");
        *text = progress_text(answer);
        show_progress(invocation, over ? "" : *text);
        if (over) {
            admin_client_write(invocation, result.node);
        }
    } else if (result.exit_code != EXIT_CODE_UNAVAILABLE) {
        over = true;
        show_progress(invocation, "");
        *exit_code = command_fail_text(invocation, result.exit_code, result.kind, result.text);
    } else {
        /* The drain is in progress, and the daemon may respond again. */
        *text = g_strdup(result.text);
    }
    admin_result_clear(&result);
    return over;
}

/* Waits until removal is safe, or until the command's time-out. */
static enum exit_code wait_until_safe(struct invocation *invocation, const char *query,
                                      gint64 deadline_us)
{
    enum exit_code exit_code = EXIT_CODE_DONE;
    g_autofree char *text = NULL;
    while (!check_progress(invocation, query, &text, &exit_code)) {
        if (g_get_monotonic_time() >= deadline_us) {
            show_progress(invocation, "");
            return command_fail_text(invocation, EXIT_CODE_NOT_YET, "not_yet", text);
        }
        g_usleep(POLL_US);
    }
    return exit_code;
}

/* Sets the mark; its reply is not written. */
static enum exit_code mark(struct invocation *invocation, const char *query)
{
    struct admin_result result;
    admin_client_fetch(invocation, command_admin_url(invocation, 0), "POST", DRAIN_PATH, query,
                       &result);
    enum exit_code exit_code = result.exit_code;
    if (result.node == NULL) {
        command_fail_text(invocation, exit_code, result.kind, result.text);
    }
    admin_result_clear(&result);
    return exit_code;
}

static enum exit_code run_drain(const struct command *command, struct invocation *invocation)
{
    enum exit_code exit_code = EXIT_CODE_DONE;
    gboolean wait = FALSE;
    g_autoptr(GString) query = g_string_new(NULL);
    const GOptionEntry entries[] = {
        {"wait", 'w', 0, G_OPTION_ARG_NONE, &wait, "Wait until it is safe to remove or stop", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };

    if (!command_parse(command, invocation, entries, &exit_code)) {
        return exit_code;
    }
    if (!read_target(command, invocation, query)) {
        return EXIT_CODE_USAGE;
    }
    if (!wait) {
        return admin_client_call(invocation, "POST", DRAIN_PATH, query->str);
    }
    gint64 deadline_us = g_get_monotonic_time() + invocation->timeout_ms * (gint64)1000;
    exit_code = mark(invocation, query->str);
    return exit_code == EXIT_CODE_DONE ? wait_until_safe(invocation, query->str, deadline_us)
                                       : exit_code;
}

static enum exit_code run_undrain(const struct command *command, struct invocation *invocation)
{
    enum exit_code exit_code = EXIT_CODE_DONE;
    g_autoptr(GString) query = g_string_new(NULL);

    if (!command_parse(command, invocation, NULL, &exit_code)) {
        return exit_code;
    }
    if (!read_target(command, invocation, query)) {
        return EXIT_CODE_USAGE;
    }
    return admin_client_call(invocation, "POST", UNDRAIN_PATH, query->str);
}

const struct command command_drain = {
    .name = "drain",
    .operands = "database NAME | daemon",
    .summary = "Marks a database, or the daemon given by --admin, as leaving.",
    .details =
        "It gets no new work, and work in progress there completes. With --wait the command "
        "ends when a\ndatabase is a replica that no owner of its group uses, or when a daemon "
        "has neither groups nor\ntransactions; after --timeout-ms it ends with exit code 9, "
        "and the drain continues.",
    .examples = "  swiftctl drain database toubkal-1\n"
                "  swiftctl drain database toubkal-1 --wait --timeout-ms 600000\n"
                "  swiftctl drain daemon --admin http://10.0.0.7:7070\n",
    .operands_min = 1,
    .operands_max = 2,
    .options = COMMAND_OPTIONS_ADMIN,
    .run = run_drain,
};

const struct command command_undrain = {
    .name = "undrain",
    .operands = "database NAME | daemon",
    .summary = "Removes the leaving mark.",
    .examples = "  swiftctl undrain database toubkal-1\n",
    .operands_min = 1,
    .operands_max = 2,
    .options = COMMAND_OPTIONS_ADMIN,
    .run = run_undrain,
};
