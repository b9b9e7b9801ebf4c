/* The subcommand scale: many hollow daemons in one process. */
#ifndef SW_SIM_SCALE_H
#define SW_SIM_SCALE_H

/* Takes its own command line and returns an exit code. */
int scale_main(int argc, char **argv);

#endif
