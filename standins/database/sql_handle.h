/* One in-memory SQLite database with the functions that PostgreSQL clients expect. Time and
 * randomness are fixed for each replicated entry, so that a replica's replay gives the same rows.
 */
#ifndef STANDIN_DATABASE_SQL_HANDLE_H
#define STANDIN_DATABASE_SQL_HANDLE_H

#include <sqlite3.h>

#include "result.h"
#include "statement.h"

/* Not thread-safe: the owner's lock guards it. */
struct sql_handle {
    sqlite3 *sqlite;
    int64_t now_us;        /* result of now(), in microseconds since 1970; 0: the current time */
    uint64_t random_state; /* state of the generator behind random() */
};

/* Opens an empty database. Aborts the program if SQLite can't. */
void sql_handle_open(struct sql_handle *handle);
void sql_handle_close(struct sql_handle *handle);

/* Makes `target` an exact copy of `source`. */
void sql_handle_copy(struct sql_handle *target, struct sql_handle *source);

/* Runs internal SQL, such as BEGIN. Aborts the program if it fails. */
void sql_handle_run(struct sql_handle *handle, const char *sql);

/* Compiles one statement. Returns NULL and sets the error if it is not valid. */
sqlite3_stmt *sql_handle_prepare(struct sql_handle *handle, const struct statement *statement,
                                 struct sql_error *error);

/* Binds and runs a compiled statement to its end, collecting rows into `result`. */
bool sql_handle_execute(struct sql_handle *handle, sqlite3_stmt *compiled,
                        const struct statement *statement, const struct parameters *parameters,
                        struct result *result, struct sql_error *error);

/* Adds the columns of the statement's result without running it to its end. `parameters` may be
 * NULL. */
bool sql_handle_describe(sqlite3_stmt *compiled, const struct parameters *parameters,
                         struct result *result, struct sql_error *error);

/* Sets `error` from the last failure of SQLite. Returns false. */
bool sql_handle_fail(struct sql_handle *handle, const char *sql, struct sql_error *error);

#endif
