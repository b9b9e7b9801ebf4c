/* Stands in for the scale subcommand where its sources are not linked. */
#include "sim/scale.h"

#include <stdio.h>

__attribute__((weak)) int scale_main(int argc, char **argv)
{
    (void)argc;
    (void)argv;
    fprintf(stderr, "swiftsim: this build has no scale subcommand\n");
    return 2;
}
