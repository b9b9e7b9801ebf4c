/* swiftworks-check: checks recorded histories and the databases' final state against the
 * guarantees. Exit code 0: every guarantee held; 1: one was violated; 2: the check could not be
 * made. */
#include <stdio.h>

#include "load/check_report_json.h"
#include "load/database_state.h"

#define EXIT_KEPT   0
#define EXIT_BROKEN 1
#define EXIT_FAULT  2
#define LISTED_MAX  50

/* The command line. Its strings are not freed. */
struct command_line {
    GStrv groups; /* "HOST:PORT,HOST:PORT,...": the databases of one group */
    gint timeout_ms;
};

static bool parse_command_line(struct command_line *line, int *count, char ***arguments,
                               GError **error)
{
    const GOptionEntry entries[] = {
        {"database", 0, 0, G_OPTION_ARG_STRING_ARRAY, &line->groups,
         "Databases of a group, separated by commas; repeat for each group. Without any, only the "
         "guarantees on reads and terms are checked",
         "HOST:PORT,..."},
        {"timeout-ms", 0, 0, G_OPTION_ARG_INT, &line->timeout_ms,
         "How long a majority of a group may take to hold the same rows", "MS"},
        G_OPTION_ENTRY_NULL,
    };
    g_autoptr(GOptionContext) context =
        g_option_context_new("HISTORY... - check recorded histories");
    g_option_context_add_main_entries(context, entries, NULL);
    return g_option_context_parse(context, count, arguments, error);
}

/* The final state of all groups; NULL without an error if no groups are given. */
static struct final_state *read_state(const struct command_line *line, GError **error)
{
    if (line->groups == NULL) {
        return NULL;
    }
    struct final_state *all = final_state_new();
    for (guint i = 0; line->groups[i] != NULL; i++) {
        g_auto(GStrv) addresses = g_strsplit(line->groups[i], ",", -1);
        struct final_state *state =
            database_state_read((const char *const *)addresses, (uint32_t)line->timeout_ms, error);
        if (state == NULL) {
            final_state_free(all);
            return NULL;
        }
        final_state_merge(all, state);
        final_state_free(state);
    }
    return all;
}

static int check_and_report(const GPtrArray *records, const struct final_state *state)
{
    struct check_report *report = check_history(records, state);
    g_autoptr(JsonNode) node = check_report_to_json(report, LISTED_MAX);
    g_autofree char *text = json_to_string(node, TRUE);
    printf("%s\n", text);
    bool kept = report->violations->len == 0;
    check_report_free(report);
    return kept ? EXIT_KEPT : EXIT_BROKEN;
}

int main(int count, char **arguments)
{
    struct command_line line = {.timeout_ms = 10000};
    g_autoptr(GError) error = NULL;
    if (!parse_command_line(&line, &count, &arguments, &error)) {
        g_printerr("check: %s\n", error->message);
        return EXIT_FAULT;
    }
    if (count < 2) {
        g_printerr("check: no history is given\n");
        return EXIT_FAULT;
    }
    g_autoptr(GPtrArray) records =
        g_ptr_array_new_with_free_func((GDestroyNotify)history_record_free);
    for (int i = 1; i < count; i++) {
        if (!history_read_file(arguments[i], records, &error)) {
            g_printerr("check: %s\n", error->message);
            return EXIT_FAULT;
        }
    }
    if (records->len == 0) {
        g_printerr("check: the history is empty\n");
        return EXIT_FAULT;
    }
    struct final_state *state = read_state(&line, &error);
    if (error != NULL) {
        g_printerr("check: %s\n", error->message);
        return EXIT_FAULT;
    }
    int verdict = check_and_report(records, state);
    final_state_free(state);
    return verdict;
}
