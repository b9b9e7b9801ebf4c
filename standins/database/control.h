/* The swiftworks_...() functions: status, waits, and the log that followers pull. */
#ifndef STANDIN_DATABASE_CONTROL_H
#define STANDIN_DATABASE_CONTROL_H

#include "database.h"

/* SQLSTATE of swiftworks_log_after() for a position that the leader's log does not have. */
#define LOG_MISMATCH_SQLSTATE "58P01"

/* Start of the application_name of a replica that pulls the log. */
#define REPLICATION_CLIENT_PREFIX "swiftworks-replica/"

/* Runs "SELECT * FROM swiftworks_NAME(arguments)", or "SELECT swiftworks_NAME(arguments)", which
 * gives each row as one column in its text form. Arguments are integers, 'text', true, false or
 * $n. */
bool control_execute(struct database *database, struct transaction *transaction,
                     const struct statement *statement, const struct parameters *parameters,
                     struct result *result, struct sql_error *error);

/* Fills the columns such a statement gives. */
bool control_describe(const struct statement *statement, struct result *result,
                      struct sql_error *error);

#endif
