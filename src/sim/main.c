/* swiftsim: the deterministic simulator. Dispatches to the subcommands. */
#include <glib.h>
#include <stdio.h>

#include "sim/explore.h"
#include "sim/overload.h"

struct subcommand {
    const char *name;
    const char *summary;
    int (*run)(int argc, char **argv);
};

static const struct subcommand SUBCOMMANDS[] = {
    {"run", "run a scenario once", run_main},
    {"explore", "run a scenario over seeds until one fails", explore_main},
    {"prove", "run every guarantee with its mechanism on and off", prove_main},
    {"overload", "load a group beyond its capacity", overload_main},
};

static int print_usage(void)
{
    fprintf(stderr, "Usage: swiftsim SUBCOMMAND [OPTION...]\n");
    for (size_t i = 0; i < G_N_ELEMENTS(SUBCOMMANDS); i++) {
        fprintf(stderr, "  %-8s %s\n", SUBCOMMANDS[i].name, SUBCOMMANDS[i].summary);
    }
    return 2;
}

int main(int argc, char **argv)
{
    if (argc < 2) {
        return print_usage();
    }
    for (size_t i = 0; i < G_N_ELEMENTS(SUBCOMMANDS); i++) {
        if (g_strcmp0(argv[1], SUBCOMMANDS[i].name) == 0) {
            return SUBCOMMANDS[i].run(argc - 1, argv + 1);
        }
    }
    return print_usage();
}
