/* The subcommands run, explore and prove. Each takes its own command line, without the name of the
 * subcommand, and returns an exit code. */
#ifndef SW_SIM_EXPLORE_H
#define SW_SIM_EXPLORE_H

int run_main(int argc, char **argv);
int explore_main(int argc, char **argv);
int prove_main(int argc, char **argv);

#endif
