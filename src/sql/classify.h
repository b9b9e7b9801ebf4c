/* Classes of SQL statements: read, write, or not served. The statement is parsed by PostgreSQL's
 * own parser (libpg-query) and the tree is searched; nothing is guessed from its text. What a
 * statement does to the state of a session can't be served, as a connection serves many sessions.
 *
 * Threads: any. The parser recurses over the statement, which needs SQL_CLASSIFY_STACK_OCTETS of
 * stack for a statement of SQL_CLASSIFY_OCTETS_MAX. */
#ifndef SW_SQL_CLASSIFY_H
#define SW_SQL_CLASSIFY_H

#include "generated/messages.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Longest statement taken, in octets. */
#define SQL_CLASSIFY_OCTETS_MAX 65536

/* Size of stack that any statement up to that length can be parsed with. Measured: a sum of 32,700
 * terms needs between 4 and 8 MiB. */
#define SQL_CLASSIFY_STACK_OCTETS (16 * 1024 * 1024)

struct sql_class {
    enum access_mode access; /* read or write */
    bool assumed;            /* a write only because it calls a function that is not known */
    uint32_t error_position; /* on failure: 1-based character of the statement, or 0 */
};

/* Finds the class of one statement. Fails with ERROR_KIND_BAD_REQUEST where it does not parse,
 * ERROR_KIND_STATEMENT_REFUSED where it is not served, and ERROR_KIND_TOO_LARGE where it is too
 * long or too deeply nested. */
bool sql_classify(const char *sql, struct sql_class *out, GError **error);

/* The access to serve a statement with: the caller's word counts where a function is not known, and
 * a read may be declared a write. Fails with ERROR_KIND_STATEMENT_REFUSED where a write is declared
 * a read. */
bool sql_access_resolve(const struct sql_class *found, enum access_mode declared,
                        enum access_mode *access, GError **error);

#endif
