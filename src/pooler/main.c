/* swiftworks-pooler: a session pooler for groups of replicated databases; one process of a fleet.
 * Reads its settings, runs, and makes a planned stop on SIGTERM. */
#define G_LOG_DOMAIN "pooler"
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "generated/pooler_settings.h"
#include "pooler/control/control.h"
#include "pooler/shared/log.h"

/* Exit codes. */
#define EXIT_OK       0
#define EXIT_SETTINGS 2 /* the command line or the settings are wrong */
#define EXIT_START    3 /* the pooler could not start */

/* Environment variable with the settings file's path if the command line gives none. */
#define SETTINGS_VARIABLE "SWIFTWORKS_SETTINGS"

/* The command line. */
struct options {
    char *settings_file;
    char **overrides;
    gboolean check;
    gboolean print;
};

static struct options options;

static bool
read_command_line(int argc, char **argv, GError **error)
{
    const GOptionEntry entries[] = {
        {"settings", 'f', 0, G_OPTION_ARG_FILENAME, &options.settings_file,
         "Read settings from FILE (default: $" SETTINGS_VARIABLE ")", "FILE"},
        {"set", 's', 0, G_OPTION_ARG_STRING_ARRAY, &options.overrides,
         "Set one setting; may be given many times", "GROUP.KEY=VALUE"},
        {"check", 0, 0, G_OPTION_ARG_NONE, &options.check, "Check the settings and exit", NULL},
        {"print-settings", 0, 0, G_OPTION_ARG_NONE, &options.print,
         "Print all settings with unit and source, and exit", NULL},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
    };
    g_autoptr(GOptionContext) context = g_option_context_new("- session pooler for databases");
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, error)) {
        return false;
    }
    if (options.settings_file == NULL) {
        options.settings_file = g_strdup(g_getenv(SETTINGS_VARIABLE));
    }
    return true;
}

static bool
read_settings(struct pooler_settings *out, GError **error)
{
    return pooler_settings_read(out, options.settings_file, (const char *const *)options.overrides,
                                error);
}

/* A running process keeps its settings. The changed file is only checked, and faults are logged. */
static void
on_reload(void)
{
    struct pooler_settings settings = {0};
    g_autoptr(GError) error = NULL;
    if (read_settings(&settings, &error)) {
        g_message("Settings file is valid; changes take effect at the next start.");
    } else {
        g_warning("Settings file is invalid, the settings in force are kept: %s", error->message);
    }
    pooler_settings_clear(&settings);
}

static int
run(const struct pooler_settings *settings)
{
    g_autoptr(GError) error = NULL;
    signal(SIGPIPE, SIG_IGN);
    pooler_log_start(settings->log.lines_per_second);
    if (!control_run(settings, on_reload, &error)) {
        g_critical("Start failed: %s.", error->message);
        return EXIT_START;
    }
    return EXIT_OK;
}

int
main(int argc, char **argv)
{
    struct pooler_settings settings = {0};
    g_autoptr(GError) error = NULL;
    bool ok = read_command_line(argc, argv, &error) && read_settings(&settings, &error);
    int code = EXIT_OK;
    if (!ok) {
        fprintf(stderr, "swiftworks-pooler: %s\n", error->message);
        code = EXIT_SETTINGS;
    } else if (options.print) {
        g_autofree char *text = pooler_settings_print(&settings);
        fputs(text, stdout);
    } else if (!options.check) {
        code = run(&settings);
    }
    pooler_settings_clear(&settings);
    return code;
}
