/* The session stand-ins as a program, for manual trials of the pooler and for the soak test: the
 * platform's store, with the operator's configuration from a file, and three databases for each
 * service of the configuration. The file is read again when it changes. SIGUSR1 takes the first
 * service's primary down for 6 s.
 *
 * Prints "store 127.0.0.1:PORT" once the store listens. The same address serves promotion calls. */
#include "standins/session_platform/commands.h"
#include "standins/session_platform/platform.h"

#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TICK_MS                                                                                    \
    200 /* interval of the checks of the file, the signals and the databases' records              \
         */
#define DOWN_TICKS 30 /* a primary stays down for 6 s */

/* The program's options and state. */
struct standin {
    gboolean commands;
    char *announce; /* "IP:PORT" of the first database */
    char *path;
    char *configuration;
    unsigned down;       /* index of the first group's database that is down */
    unsigned ticks_left; /* until that database is started again; 0: none is down */
    GString *input;      /* start of a command line that is not complete yet */
};

static volatile sig_atomic_t take_down;
static volatile sig_atomic_t stopping;

static void
on_signal(int number)
{
    if (number == SIGUSR1) {
        take_down = 1;
    } else {
        stopping = 1;
    }
}

static bool
read_command_line(struct standin *standin, int argc, char **argv)
{
    const GOptionEntry entries[] = {
        {"commands", 0, 0, G_OPTION_ARG_NONE, &standin->commands,
         "Read commands from standard input", NULL},
        {"announce", 0, 0, G_OPTION_ARG_STRING, &standin->announce,
         "Record the databases under this address, with consecutive ports", "IP:PORT"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
    };
    g_autoptr(GError) error = NULL;
    g_autoptr(GOptionContext) context = g_option_context_new("CONFIGURATION");
    g_option_context_add_main_entries(context, entries, NULL);
    bool valid = g_option_context_parse(context, &argc, &argv, &error) && argc == 2;
    if (!valid) {
        fprintf(stderr, "usage: swiftworks-session-standin [OPTION...] CONFIGURATION%s%s\n",
                error == NULL ? "" : ": ", error == NULL ? "" : error->message);
        return false;
    }
    standin->path = argv[1];
    return true;
}

static void
set_announce(struct platform *platform, char *announce)
{
    char *colon = announce == NULL ? NULL : strchr(announce, ':');
    if (colon != NULL) {
        *colon = '\0';
        platform->announce_host = announce;
        platform->announce_port = (unsigned)atoi(colon + 1);
    }
}

/* Applies the configuration file if it has changed and is valid JSON. */
static void
read_configuration(struct platform *platform, struct standin *standin)
{
    g_autofree char *text = NULL;
    if (!g_file_get_contents(standin->path, &text, NULL, NULL) ||
        g_strcmp0(text, standin->configuration) == 0) {
        return;
    }
    long long version = platform_configure(platform, text);
    if (version >= 0) {
        g_free(standin->configuration);
        standin->configuration = g_steal_pointer(&text);
        printf("configuration %lld\n", version);
        fflush(stdout);
    }
}

static void
change_faults(struct platform *platform, struct standin *standin)
{
    struct line_faults down = {.down = true};
    struct line_faults none = {0};
    if (standin->ticks_left > 0 && --standin->ticks_left == 0) {
        platform_set_faults(platform, 0, standin->down, &none);
        printf("up %s\n", line_group_id(platform->groups[0], standin->down));
    }
    for (unsigned i = 0; take_down && standin->ticks_left == 0 && i < DATABASES_PER_SERVICE; i++) {
        if (line_group_leads(platform->groups[0], i)) {
            standin->down = i;
            standin->ticks_left = DOWN_TICKS;
            take_down = 0;
            platform_set_faults(platform, 0, i, &down);
            printf("down %s\n", line_group_id(platform->groups[0], i));
        }
    }
    fflush(stdout);
}

/* Runs the commands whose lines are complete. False at the end of standard input. */
static bool
read_commands(struct platform *platform, struct standin *standin)
{
    char buffer[4096];
    ssize_t count = read(STDIN_FILENO, buffer, sizeof buffer);
    if (count <= 0) {
        return false;
    }
    g_string_append_len(standin->input, buffer, count);
    char *end = NULL;
    while ((end = strchr(standin->input->str, '\n')) != NULL) {
        *end = '\0';
        command_run(platform, standin->input->str);
        g_string_erase(standin->input, 0, end + 1 - standin->input->str);
    }
    return true;
}

/* Runs commands as they arrive, until the next tick. */
static void
wait_for_commands(struct platform *platform, struct standin *standin)
{
    gint64 until = g_get_monotonic_time() + TICK_MS * 1000;
    for (gint64 now = g_get_monotonic_time(); now < until && !stopping;
         now = g_get_monotonic_time()) {
        struct pollfd descriptor = {standin->commands ? STDIN_FILENO : -1, POLLIN, 0};
        int ready = poll(&descriptor, 1, (int)((until - now) / 1000) + 1);
        if (ready > 0 && !read_commands(platform, standin)) {
            standin->commands = FALSE;
            stopping = 1; /* the process that sent commands has closed its end */
        }
    }
}

static void
serve(struct platform *platform, struct standin *standin)
{
    while (!stopping) {
        read_configuration(platform, standin);
        change_faults(platform, standin);
        platform_put_records(platform);
        wait_for_commands(platform, standin);
    }
}

int
main(int argc, char **argv)
{
    struct platform platform = {0};
    struct standin standin = {.input = g_string_new(NULL)};
    g_autofree char *text = NULL;
    g_autoptr(GError) error = NULL;
    if (!read_command_line(&standin, argc, argv)) {
        return 2;
    }
    if (!g_file_get_contents(standin.path, &text, NULL, &error)) {
        fprintf(stderr, "%s\n", error->message);
        return 2;
    }
    /* Line-buffered, because a process that reads the output waits for single lines of it. */
    setvbuf(stdout, NULL, _IOLBF, 0);
    signal(SIGUSR1, on_signal);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    set_announce(&platform, standin.announce);
    platform.store = row_store_start(platform_promote, &platform);
    if (!platform_start_groups(&platform, text)) {
        fprintf(stderr, "%s: the configuration names no services\n", standin.path);
        return 2;
    }
    platform_put_records(&platform);
    for (unsigned i = 0; i < platform.count * DATABASES_PER_SERVICE; i++) {
        const struct line_group *group = platform.groups[i / DATABASES_PER_SERVICE];
        printf("database %s 127.0.0.1:%u\n", line_group_id(group, i % DATABASES_PER_SERVICE),
               line_group_port(group, i % DATABASES_PER_SERVICE));
    }
    printf("store 127.0.0.1:%u\n", row_store_port(platform.store));
    fflush(stdout);
    serve(&platform, &standin);
    platform_stop(&platform);
    g_free(standin.configuration);
    g_string_free(standin.input, TRUE);
    return 0;
}
