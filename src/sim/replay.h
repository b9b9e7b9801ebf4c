/* Replays a trace into the core and checks its stated outcomes.
 *
 * A trace of a daemon also has the digest of each decision: the core must decide the same again, or
 * the replay fails. Where the core was changed on purpose, the outcomes tell why
 * (`decisions_changed`, see replay_outcome.h); then differences are counted only, and the outcomes
 * must hold.
 *
 * Events are fed as they were recorded, whatever the core now does: outcomes therefore state what
 * the recorded situation must lead to, not every step. Answers to commands are matched by what the
 * command was; an answer to a command that is not outstanding now is not fed.
 *
 * Writes are replayed each on its own, see replay_write.h.
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
    bool outcomes_only;   /* other decisions than recorded are no failure */
    const char *mutation; /* TEST ONLY: switch of the core's options to turn on, by name; or NULL */
    FILE *output;         /* failures are printed here, and the dump */
};

/* Replays the trace at `path` against the outcomes at `outcomes_path`; NULL: only the decisions and
 * the rules of every trace are checked. Returns the number of
 * failures, or -1 with an error if a file, a snapshot or the mutation's name is not valid. */
int replay_file(const char *path, const char *outcomes_path, const struct replay_options *options,
                GError **error);

#endif
