/* The subcommand scale: many hollow daemons in one process. */
#ifndef SW_SIM_SCALE_H
#define SW_SIM_SCALE_H

/* Takes its own command line, runs a hollow fleet through a compressed day and prints one line of
 * JSON. Returns an exit code: 0; 1 if an invariant failed; 2 for a wrong command line. */
int scale_main(int argc, char **argv);

#endif
