/* Creates the tables of the load before a run. */
#ifndef SW_LOAD_PREPARE_H
#define SW_LOAD_PREPARE_H

#include "load/runner.h"

/* Runs the statements of OPERATION_SCHEMA for every tenant, through the addresses of the run.
 * Retries until options->operation_timeout_ms has passed, then fails with SW_ERROR and the last
 * answer. `token` receives the session token, which the caller frees: sessions that start with it
 * see the tables on every replica. */
bool prepare_tables(const struct runner_options *options, char **token, GError **error);

#endif
