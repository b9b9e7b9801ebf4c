/* swiftworks-load: a load generator that writes and reads through daemons and records the answers.
 */
#include <curl/curl.h>
#include <errno.h>
#include <signal.h>
#include <stdlib.h>

#include "core/error.h"
#include "core/types.h"
#include "load/prepare.h"

#define EXIT_USAGE 2

/* The command line. Filled by GLib's option parser; its strings are not freed. */
struct command_line {
    GStrv addresses;
    GStrv tenants;
    gboolean direct;
    gboolean prepare;
    gint sessions;
    gdouble duration_s;
    gdouble rate;
    gint pause_ms;
    gdouble read_share;
    gdouble batch_share;
    gdouble unkeyed_share;
    gdouble own_read_share;
    gint seed;
    gint timeout_ms;
    gint operation_timeout_ms;
    gint gap_threshold_ms;
    char *run;
    char *history_path;
    char *summary_path;
};

static void handle_signal(int signal_number)
{
    (void)signal_number;
    runner_stop();
}

static bool parse_command_line(struct command_line *line, int *count, char ***arguments,
                               GError **error)
{
    const GOptionEntry entries[] = {
        {"daemon", 'd', 0, G_OPTION_ARG_STRING_ARRAY, &line->addresses,
         "Address of a daemon's callers' listener; repeat for each", "HOST:PORT"},
        {"direct", 0, 0, G_OPTION_ARG_NONE, &line->direct,
         "Connect to databases directly over libpq, without a daemon", NULL},
        {"tenant", 't', 0, G_OPTION_ARG_STRING_ARRAY, &line->tenants,
         "Tenant; repeat to spread the sessions", "NAME"},
        {"prepare", 0, 0, G_OPTION_ARG_NONE, &line->prepare, "Create the tables first", NULL},
        {"sessions", 's', 0, G_OPTION_ARG_INT, &line->sessions, "Sessions at a time", "N"},
        {"duration", 0, 0, G_OPTION_ARG_DOUBLE, &line->duration_s, "Length of the run", "SECONDS"},
        {"rate", 'r', 0, G_OPTION_ARG_DOUBLE, &line->rate,
         "Operations a second, independent of the answers (open loop); 0 for a closed loop", "N"},
        {"pause-ms", 0, 0, G_OPTION_ARG_INT, &line->pause_ms,
         "Closed loop: pause before a session's next operation", "MS"},
        {"read-share", 0, 0, G_OPTION_ARG_DOUBLE, &line->read_share,
         "Share of reads, 0 to 1; 0 writes without pause", "SHARE"},
        {"batch-share", 0, 0, G_OPTION_ARG_DOUBLE, &line->batch_share,
         "Share of the writes sent as a transaction of two statements", "SHARE"},
        {"unkeyed-share", 0, 0, G_OPTION_ARG_DOUBLE, &line->unkeyed_share,
         "Share of the writes without an idempotency key", "SHARE"},
        {"own-read-share", 0, 0, G_OPTION_ARG_DOUBLE, &line->own_read_share,
         "Share of the reads that read the session's own writes", "SHARE"},
        {"seed", 0, 0, G_OPTION_ARG_INT, &line->seed, "Seed of the operations", "N"},
        {"timeout-ms", 0, 0, G_OPTION_ARG_INT, &line->timeout_ms, "Deadline of an attempt", "MS"},
        {"operation-timeout-ms", 0, 0, G_OPTION_ARG_INT, &line->operation_timeout_ms,
         "Deadline of an operation including its retries", "MS"},
        {"gap-threshold-ms", 0, 0, G_OPTION_ARG_INT, &line->gap_threshold_ms,
         "List gaps without an acknowledged write that are longer than this", "MS"},
        {"run", 0, 0, G_OPTION_ARG_STRING, &line->run, "Prefix of all ids, new in each run",
         "NAME"},
        {"history", 0, 0, G_OPTION_ARG_FILENAME, &line->history_path,
         "Write one line of JSON per attempt", "FILE"},
        {"summary", 0, 0, G_OPTION_ARG_FILENAME, &line->summary_path,
         "Write the summary to FILE instead of standard output", "FILE"},
        G_OPTION_ENTRY_NULL,
    };
    g_autoptr(GOptionContext) context =
        g_option_context_new("- generate load on swiftworks daemons");
    g_option_context_add_main_entries(context, entries, NULL);
    return g_option_context_parse(context, count, arguments, error);
}

static bool is_share(double value)
{
    return value >= 0 && value <= 1;
}

static bool check_command_line(const struct command_line *line, GError **error)
{
    const char *fault = NULL;
    bool shares = is_share(line->read_share) && is_share(line->batch_share) &&
                  is_share(line->unkeyed_share) && is_share(line->own_read_share);
    if (line->addresses == NULL) {
        fault = "--daemon is missing";
    } else if (line->sessions < 1) {
        fault = "--sessions is below 1";
    } else if (line->duration_s <= 0) {
        fault = "--duration is not above 0";
    } else if (!shares) {
        fault = "a share is not from 0 to 1";
    } else if (line->timeout_ms < 1 || line->operation_timeout_ms < 1) {
        fault = "a timeout is below 1 ms";
    } else if (line->rate < 0 || line->pause_ms < 0 || line->gap_threshold_ms < 0) {
        fault = "a number is negative";
    }
    if (fault != NULL) {
        g_set_error_literal(error, SW_ERROR, ERROR_KIND_BAD_REQUEST, fault);
    }
    return fault == NULL;
}

static struct runner_options options_of(const struct command_line *line)
{
    return (struct runner_options){
        .addresses = line->addresses,
        .tenants = line->tenants,
        .client_new = line->direct ? direct_client_new : http_client_new,
        .workload =
            {
                .run = line->run,
                .sessions = (uint32_t)line->sessions,
                .read_share = line->read_share,
                .batch_share = line->batch_share,
                .unkeyed_share = line->unkeyed_share,
                .own_read_share = line->own_read_share,
                .seed = (uint32_t)line->seed,
            },
        .rate = line->rate,
        .pause_ms = (uint32_t)line->pause_ms,
        .duration_s = line->duration_s,
        .timeout_ms = (uint32_t)line->timeout_ms,
        .operation_timeout_ms = (uint32_t)line->operation_timeout_ms,
        .gap_threshold_ms = (uint32_t)line->gap_threshold_ms,
    };
}

static bool write_summary(const struct summary *summary, uint64_t ended_ns, const char *path,
                          GError **error)
{
    g_autoptr(JsonNode) node = summary_to_json(summary, ended_ns);
    g_autofree char *text = json_to_string(node, TRUE);
    if (path == NULL) {
        printf("%s\n", text);
        return true;
    }
    return g_file_set_contents(path, text, -1, error);
}

static bool run(const struct command_line *line, GError **error)
{
    struct runner_options options = options_of(line);
    g_autofree char *token = NULL;
    if (line->prepare && !prepare_tables(&options, &token, error)) {
        return false;
    }
    options.token = token;
    if (line->history_path != NULL) {
        options.history = fopen(line->history_path, "we");
        if (options.history == NULL) {
            g_set_error(error, SW_ERROR, ERROR_KIND_INTERNAL, "%s: %s", line->history_path,
                        g_strerror(errno));
            return false;
        }
    }
    uint64_t ended_ns;
    struct summary *summary = runner_run(&options, &ended_ns);
    bool written = write_summary(summary, ended_ns, line->summary_path, error);
    summary_free(summary);
    if (options.history != NULL && fclose(options.history) != 0) {
        g_set_error(error, SW_ERROR, ERROR_KIND_INTERNAL, "%s: %s", line->history_path,
                    g_strerror(errno));
        return false;
    }
    return written;
}

static void set_defaults(struct command_line *line)
{
    if (line->tenants == NULL) {
        line->tenants = g_strsplit("atlas", ",", -1);
    }
    if (line->run == NULL) {
        line->run = g_strdup_printf("r%" G_GINT64_FORMAT, g_get_real_time() / G_USEC_PER_SEC);
    }
}

int main(int count, char **arguments)
{
    struct command_line line = {
        .sessions = 8,
        .duration_s = 10,
        .read_share = 0.8,
        .batch_share = 0.5,
        .own_read_share = 0.7,
        .timeout_ms = 2000,
        .operation_timeout_ms = 20000,
        .gap_threshold_ms = 100,
        .seed = 1,
    };
    g_autoptr(GError) error = NULL;
    if (!parse_command_line(&line, &count, &arguments, &error) ||
        !check_command_line(&line, &error)) {
        g_printerr("load: %s\n", error->message);
        return EXIT_USAGE;
    }
    set_defaults(&line);
    struct sigaction action = {.sa_handler = handle_signal};
    sigaction(SIGINT, &action, NULL);
    sigaction(SIGTERM, &action, NULL);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    bool done = run(&line, &error);
    curl_global_cleanup();
    if (!done) {
        g_printerr("load: %s\n", error->message);
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
