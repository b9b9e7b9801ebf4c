/* The replay of one recorded write into the core's write flow.
 *
 * Checked in every write: a write without a key is never run again once it may have run; after that
 * it is not reported as not run, unless its key was found closed or was closed; "done" follows
 * evidence of a majority. */
#ifndef SW_SIM_REPLAY_WRITE_H
#define SW_SIM_REPLAY_WRITE_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

#include "core/write_flow.h"
#include "generated/messages.h"

/* The options of a write's replay. */
struct replay_write_options {
    bool dump;
    bool decisions_changed; /* steps that differ from the recorded ones are only counted */
    const char *mutation;   /* TEST ONLY: a switch of write_options, or another name; or NULL */
    FILE *output;
    double at_ms; /* time of the write's first event, for the output */
};

/* The outcome. */
struct replayed_write {
    bool answered;
    enum outcome outcome;
    enum error_kind error;
    bool keyed;
    bool resolves;       /* nothing was to be run: the client requested the outcome only */
    bool replayed;       /* the outcome was found in the ledger */
    uint32_t executions; /* times that the write was run or sent to be run */
    uint32_t failures;
    uint32_t differences; /* steps that differ from the recorded ones */
};

/* True if the name is a switch of write_options. */
bool replay_write_has_mutation(const char *name);

void replay_write(const struct trace_write *write, const struct replay_write_options *options,
                  struct replayed_write *result);

#endif
