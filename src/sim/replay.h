/* Replays a trace into the core and checks its stated outcomes.
 *
 * Events are fed as they were recorded, whatever the core now does: outcomes therefore state what
 * the recorded situation must lead to, not every step. Answers to commands are matched by what the
 * command was; an answer to a command that is not outstanding now is not fed.
 *
 * Checked in every trace: a step never asks to be woken at once; a view's term never goes back; a
 * promotion follows the grants of a majority in its term. */
#ifndef SW_SIM_REPLAY_H
#define SW_SIM_REPLAY_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

/* How to replay. */
struct replay_options {
    bool dump;            /* print every event and action */
    const char *mutation; /* TEST ONLY: switch of the core's options to turn on, by name; or NULL */
    FILE *output;         /* failures are printed here, and the dump */
};

/* Replays the trace at `path` against the outcomes at `outcomes_path`. Returns the number of
 * failures, or -1 with an error if a file or the mutation's name is not valid. */
int replay_file(const char *path, const char *outcomes_path, const struct replay_options *options,
                GError **error);

#endif
