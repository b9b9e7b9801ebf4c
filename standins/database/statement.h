/* The part of SQL that the stand-in parses itself: it splits a string into statements, blanks
 * PostgreSQL casts that SQLite does not know, and finds the command. SQLite does the rest. */
#ifndef STANDIN_DATABASE_STATEMENT_H
#define STANDIN_DATABASE_STATEMENT_H

#include "result.h"

enum statement_command {
    STATEMENT_EMPTY,
    STATEMENT_BEGIN,
    STATEMENT_COMMIT,
    STATEMENT_ROLLBACK,
    STATEMENT_SET,
    STATEMENT_REFUSED,  /* accepted by SQLite but not by PostgreSQL */
    STATEMENT_CONTROL,  /* SELECT * FROM swiftworks_...(...) */
    STATEMENT_ADVISORY, /* SELECT pg_try_advisory_lock(...) or pg_advisory_unlock(...) */
    STATEMENT_SQL,
};

/* One statement. Immutable once parsed. */
struct statement {
    enum statement_command command;
    char *text;             /* as the client wrote it */
    char *sql;              /* same length, with casts and row locks blanked */
    char *tag;              /* command tag without counts: "INSERT", "CREATE TABLE" */
    bool locks_rows;        /* had FOR UPDATE or FOR SHARE */
    bool read_only;         /* of BEGIN: READ ONLY */
    bool snapshot;          /* of BEGIN: REPEATABLE READ or SERIALIZABLE */
    GArray *parameter_oids; /* guint: types that casts give to $1, $2, ... (0 is unknown) */
};

/* Splits `text` at semicolons. Returns struct statement pointers; the array frees them. */
GPtrArray *statement_split(const char *text);

void statement_free(struct statement *statement);

/* The type of parameter `index` (from 0); 0 if no cast names one. */
guint statement_parameter_oid(const struct statement *statement, guint index);

#endif
