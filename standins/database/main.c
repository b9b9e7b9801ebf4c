/* standin-database: plays one PostgreSQL database of a replicated group, in memory, for tests. */
#include <glib-unix.h>
#include <stdio.h>

#include "server.h"

#define DEFAULT_SLOTS               5
#define DEFAULT_CONNECTIONS         35
#define DEFAULT_IDLE_TRANSACTION_MS 10000

/* The command line, before it is checked. */
struct command_line {
    struct server_options options;
    char *role;
    int slots;
    int connections;
};

static gboolean quit(gpointer loop)
{
    g_main_loop_quit(loop);
    return G_SOURCE_REMOVE;
}

static bool parse(struct command_line *line, int argc, char **argv, GError **error)
{
    struct server_options *options = &line->options;
    const GOptionEntry ENTRIES[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &options->listen, "PostgreSQL address", "HOST:PORT"},
        {"admin", 0, 0, G_OPTION_ARG_STRING, &options->admin, "Admin HTTP address", "HOST:PORT"},
        {"name", 0, 0, G_OPTION_ARG_STRING, &options->name, "Name of the database", "NAME"},
        {"zone", 0, 0, G_OPTION_ARG_STRING, &options->zone, "Zone it runs in", "NAME"},
        {"role", 0, 0, G_OPTION_ARG_STRING, &line->role, "Role at the start", "primary|replica"},
        {"primary", 0, 0, G_OPTION_ARG_STRING, &options->primary, "Primary to follow", "HOST:PORT"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &line->slots, "Statements run at once", "N"},
        {"connections", 0, 0, G_OPTION_ARG_INT, &line->connections, "Limit of connections", "N"},
        {"open-delay-ms", 0, 0, G_OPTION_ARG_INT64, &options->open_delay_ms,
         "Time to open a connection", "N"},
        {"zone-delay-us", 0, 0, G_OPTION_ARG_INT64, &options->zone_delay_us,
         "One-way delay to other zones", "N"},
        {"replication-lag-ms", 0, 0, G_OPTION_ARG_INT64, &options->replication_lag_ms,
         "Delay from held to applied", "N"},
        {"service-time-us", 0, 0, G_OPTION_ARG_INT64, &options->service_time_us,
         "Time a statement holds its slot", "N"},
        {"idle-transaction-ms", 0, 0, G_OPTION_ARG_INT64, &options->idle_transaction_ms,
         "Longest idle time of an open transaction, 0 for no limit", "N"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_option_context_set_summary(context, "Plays one database of a replicated group, for tests.");
    g_option_context_add_main_entries(context, ENTRIES, NULL);
    return g_option_context_parse(context, &argc, &argv, error);
}

/* Checks the command line and fills in what was left out. */
static bool check(struct command_line *line, GError **error)
{
    struct server_options *options = &line->options;
    bool is_replica = g_strcmp0(line->role, "replica") == 0;
    bool valid = options->listen != NULL && line->slots > 0 && line->connections > 0 &&
                 (is_replica || line->role == NULL || g_str_equal(line->role, "primary"));
    if (!valid) {
        g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                    "--listen, --role, --slots or --connections is missing or not valid");
        return false;
    }
    options->role = is_replica ? DATABASE_ROLE_REPLICA : DATABASE_ROLE_PRIMARY;
    options->slots = (guint)line->slots;
    options->connections = (guint)line->connections;
    options->name = options->name != NULL ? options->name : "database";
    options->zone = options->zone != NULL ? options->zone : "zone";
    return true;
}

int main(int argc, char **argv)
{
    g_log_writer_default_set_use_stderr(TRUE);
    struct command_line line = {.slots = DEFAULT_SLOTS, .connections = DEFAULT_CONNECTIONS};
    line.options.idle_transaction_ms = DEFAULT_IDLE_TRANSACTION_MS;
    g_autoptr(GError) error = NULL;
    struct server *server = NULL;
    if (parse(&line, argc, argv, &error) && check(&line, &error)) {
        server = server_start(&line.options, &error);
    }
    if (server == NULL) {
        g_printerr("standin-database: %s\n", error->message);
        return 1;
    }
    g_autoptr(GMainLoop) loop = g_main_loop_new(NULL, FALSE);
    g_unix_signal_add(SIGTERM, quit, loop);
    g_unix_signal_add(SIGINT, quit, loop);
    printf("standin-database %s ready\n", line.options.name);
    fflush(stdout);
    g_main_loop_run(loop);
    server_stop(server);
    return 0;
}
