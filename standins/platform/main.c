/* standin-platform: the platform stand-in as a program, for tests with real processes. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "standins/platform/standin.h"

#define DEFAULT_LISTEN "127.0.0.1:20400"

struct arguments {
    char *listen;
    gint table_rate;
    gint object_rate;
    gint machine_list_lag_ms;
};

static bool parse_arguments(int argc, char **argv, struct arguments *arguments, GError **error)
{
    const GOptionEntry entries[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &arguments->listen,
         "Listen at IP:PORT (" DEFAULT_LISTEN ")", "IP:PORT"},
        {"table-rate", 0, 0, G_OPTION_ARG_INT, &arguments->table_rate,
         "Table requests a second (0: no limit)", "N"},
        {"object-rate", 0, 0, G_OPTION_ARG_INT, &arguments->object_rate,
         "Object requests a second (0: no limit)", "N"},
        {"machine-list-lag-ms", 0, 0, G_OPTION_ARG_INT, &arguments->machine_list_lag_ms,
         "Delay of changes in listings of machines", "MS"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);

    g_option_context_set_summary(
        context, "Stand-in for the platform: DynamoDB JSON at POST /, S3 at /BUCKET/KEY.\n"
                 "POST /fault?name=down|slow|answer_lost|throttle|heal injects faults.");
    g_option_context_add_main_entries(context, entries, NULL);
    return g_option_context_parse(context, &argc, &argv, error);
}

static struct platform_standin *start(const struct arguments *arguments, GError **error)
{
    g_auto(GStrv) address =
        g_strsplit(arguments->listen != NULL ? arguments->listen : DEFAULT_LISTEN, ":", 2);
    const char *port = address[0] != NULL && address[1] != NULL ? address[1] : "0";
    struct platform_standin_options options = {
        .host = address[0],
        .port = (uint16_t)g_ascii_strtoull(port, NULL, 10),
        .table_rate = (uint32_t)MAX(0, arguments->table_rate),
        .object_rate = (uint32_t)MAX(0, arguments->object_rate),
        .machine_list_lag_ms = (uint32_t)MAX(0, arguments->machine_list_lag_ms),
    };

    return platform_standin_start(&options, error);
}

int main(int argc, char **argv)
{
    struct arguments arguments = {0};
    g_autoptr(GError) error = NULL;
    sigset_t signals;
    int signal_number = 0;

    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    sigprocmask(SIG_BLOCK, &signals, NULL);
    struct platform_standin *standin =
        parse_arguments(argc, argv, &arguments, &error) ? start(&arguments, &error) : NULL;
    if (standin == NULL) {
        fprintf(stderr, "standin-platform: %s\n", error->message);
        return EXIT_FAILURE;
    }
    printf("standin-platform: listening at port %u\n", platform_standin_port(standin));
    fflush(stdout);
    sigwait(&signals, &signal_number);
    platform_standin_stop(standin);
    g_free(arguments.listen);
    return EXIT_SUCCESS;
}
