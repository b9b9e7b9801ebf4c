/* The swiftworks_...() functions: status, fencing and role changes, waits, and the log that
 * replicas pull. */
#ifndef STANDIN_DATABASE_CONTROL_H
#define STANDIN_DATABASE_CONTROL_H

#include "database.h"

/* SQLSTATE of swiftworks_log_after() for a position that the primary's log does not hold. */
#define LOG_MISMATCH_SQLSTATE "58P01"

/* Prefix of the application_name of a replica that pulls the log. */
#define REPLICATION_CLIENT_PREFIX "swiftworks-replica/"

/* Runs "SELECT * FROM swiftworks_NAME(arguments)", or "SELECT swiftworks_NAME(arguments)", which
 * returns each row as one column in its text form. Arguments are integers, 'text', true, false or
 * $n. */
bool control_execute(struct database *database, struct transaction *transaction,
                     const struct statement *statement, const struct parameters *parameters,
                     struct result *result, struct sql_error *error);

/* Adds the result columns of such a statement. */
bool control_describe(const struct statement *statement, struct result *result,
                      struct sql_error *error);

#endif
