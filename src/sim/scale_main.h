/* The command `swiftsim scale`. */
#ifndef SW_SIM_SCALE_MAIN_H
#define SW_SIM_SCALE_MAIN_H

/* Runs a hollow fleet through a compressed day and prints one line of JSON. Returns the exit
 * status: 0; 1 if an invariant failed; 2 for a wrong command line. */
int scale_main(int argc, char **argv);

#endif
