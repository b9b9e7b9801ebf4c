/* Replays a trace into the core and checks its expected outcomes.
 *
 * A daemon's trace also has the digest of each decision: the core must decide the same again, or
 * the replay fails. Where the core was changed on purpose, the outcomes file gives the reason
 * (`decisions_changed`, see replay_outcome.h). Differences are then only counted, and the outcomes
 * must hold.
 *
 * Events are fed as recorded, whatever the core now decides. Outcomes therefore state what the
 * recorded situation must lead to, not every step. Replies are matched to commands by content; a
 * reply to a command that is not outstanding is not fed.
 *
 * Writes are replayed separately, see replay_write.h.
 *
 * Checked in every trace: a step never requests a wake-up at the current time; a view's term never
 * decreases; a promotion follows grants of a majority in its term. */
#ifndef SW_SIM_REPLAY_H
#define SW_SIM_REPLAY_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

/* The options of a replay. */
struct replay_options {
    bool dump;          /* print every event and action */
    bool outcomes_only; /* decisions that differ from the recorded ones are no failure */
    const char
        *mutation; /* TEST ONLY: name of a switch of the core's options to turn on; or NULL */
    FILE *output;  /* receives failures and the dump */
};

/* Replays the trace at `path` against the outcomes at `outcomes_path`. With NULL, only the
 * decisions and the rules of every trace are checked. Returns the number of failures, or -1 with an
 * error if a file, a snapshot or the mutation's name is not valid. */
int replay_file(const char *path, const char *outcomes_path, const struct replay_options *options,
                GError **error);

#endif
