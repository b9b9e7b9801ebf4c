/* Classification of SQL statements: read, write, or not served. The statement is parsed by
 * PostgreSQL's own parser (libpg-query) and the class is derived from the parse tree, not from the
 * text. Statements that use or change the state of a session are not served, because one database
 * connection serves many sessions.
 *
 * Threads: any. The parser recurses over the statement and needs SQL_CLASSIFY_STACK_BYTES of stack
 * for a statement of SQL_CLASSIFY_BYTES_MAX. */
#ifndef SW_SQL_CLASSIFY_H
#define SW_SQL_CLASSIFY_H

#include "generated/messages.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Maximum size of a statement, in bytes. */
#define SQL_CLASSIFY_BYTES_MAX 65536

/* Stack size that suffices to parse any statement of that size. A sum of 32,700 terms needs between
 * 4 and 8 MiB. */
#define SQL_CLASSIFY_STACK_BYTES (16 * 1024 * 1024)

struct sql_class {
    enum access_mode access; /* read or write */
    bool assumed;            /* classified as a write only because it calls an unknown function */
    uint32_t error_position; /* on failure: 1-based character of the statement, or 0 */
};

/* Classifies one statement. Fails with ERROR_KIND_BAD_REQUEST if it can't be parsed,
 * ERROR_KIND_STATEMENT_REFUSED if it is not served, and ERROR_KIND_TOO_LARGE if it is too long or
 * too deeply nested. */
bool sql_classify(const char *sql, struct sql_class *out, GError **error);

/* Determines the access mode with which a statement is served. A declared read is accepted if the
 * statement is a write only because it calls an unknown function; a read may be declared a write.
 * Fails with ERROR_KIND_STATEMENT_REFUSED if any other write is declared a read. */
bool sql_access_resolve(const struct sql_class *found, enum access_mode declared,
                        enum access_mode *access, GError **error);

#endif
