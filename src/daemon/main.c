/* swiftworksd: reads its settings, starts the daemon, and performs a planned stop on SIGTERM or
 * SIGINT. */
#define G_LOG_DOMAIN "daemon"
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>

#include "backend/clock.h"
#include "daemon/daemon.h"
#include "daemon/log.h"
#include "frontend/frontend.h"

/* Exit codes. */
#define EXIT_OK       0
#define EXIT_SETTINGS 2 /* the command line or the settings are wrong */
#define EXIT_START    3 /* a part could not start */
#define EXIT_ABORTED  4 /* the planned stop aborted requests */

/* Command-line options. */
struct options {
    char *settings_file;
    char **overrides;
    gboolean check;
    gboolean print;
};

static bool read_command_line(int argc, char **argv, struct options *options, GError **error)
{
    const GOptionEntry entries[] = {
        {"settings", 'f', 0, G_OPTION_ARG_FILENAME, &options->settings_file,
         "Read settings from FILE", "FILE"},
        {"set", 's', 0, G_OPTION_ARG_STRING_ARRAY, &options->overrides,
         "Set one setting; may be given many times", "GROUP.KEY=VALUE"},
        {"check", 0, 0, G_OPTION_ARG_NONE, &options->check, "Check the settings and exit", NULL},
        {"print-settings", 0, 0, G_OPTION_ARG_NONE, &options->print,
         "Print all settings with unit and source, and exit", NULL},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
    };
    g_autoptr(GOptionContext) context = g_option_context_new("- database proxy daemon");
    g_option_context_add_main_entries(context, entries, NULL);
    return g_option_context_parse(context, &argc, &argv, error);
}

static void block_signals(sigset_t *signals)
{
    sigemptyset(signals);
    sigaddset(signals, SIGTERM);
    sigaddset(signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, signals, NULL);
    signal(SIGPIPE, SIG_IGN);
}

static int run(const struct settings *settings)
{
    sigset_t signals;
    int received = 0;
    block_signals(&signals);
    log_start(settings->log.format, settings->log.level);
    uint32_t stop_timeout_ms = settings->daemon.stop_timeout_ms;
    g_autoptr(GError) error = NULL;
    struct daemon *daemon = daemon_start(settings, &error);
    if (daemon == NULL) {
        g_critical("Start failed: %s.", error->message);
        return EXIT_START;
    }
    g_message("Ready: listening for callers on port %u.", frontend_port(daemon->frontend));
    sigwait(&signals, &received);
    g_message("Planned stop on signal %d.", received);
    time_ns deadline = backend_now() + stop_timeout_ms * NANOSECONDS_PER_MILLISECOND;
    uint32_t aborted = daemon_stop(daemon, deadline);
    g_message("Stopped: %u requests or transactions aborted.", aborted);
    return aborted == 0 ? EXIT_OK : EXIT_ABORTED;
}

int main(int argc, char **argv)
{
    struct options options = {0};
    struct settings settings = {0};
    g_autoptr(GError) error = NULL;
    bool good = read_command_line(argc, argv, &options, &error) &&
                settings_read(&settings, options.settings_file,
                              (const char *const *)options.overrides, &error);
    g_free(options.settings_file);
    g_strfreev(options.overrides);
    if (!good) {
        fprintf(stderr, "swiftworksd: %s\n", error->message);
        settings_clear(&settings);
        return EXIT_SETTINGS;
    }
    if (options.print) {
        g_autofree char *text = settings_print(&settings);
        fputs(text, stdout);
    }
    if (options.print || options.check) {
        settings_clear(&settings);
        return EXIT_OK;
    }
    return run(&settings);
}
