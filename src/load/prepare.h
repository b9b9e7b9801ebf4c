/* Creates the tables of the load before a run. */
#ifndef SW_LOAD_PREPARE_H
#define SW_LOAD_PREPARE_H

#include "load/runner.h"

/* Runs the statements of OPERATION_SCHEMA for every tenant, through the same addresses as the run.
 * Retries until options->operation_timeout_ms is over; then SW_ERROR with the last answer. `token`
 * gets the session token after it, which the caller frees: a session that starts with it sees the
 * tables on every replica. */
bool prepare_tables(const struct runner_options *options, char **token, GError **error);

#endif
