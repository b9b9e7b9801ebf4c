/* Table of PostgreSQL's built-in functions: which a statement may call, and which of these write.
 */
#ifndef SW_SQL_FUNCTIONS_H
#define SW_SQL_FUNCTIONS_H

enum function_effect {
    FUNCTION_EFFECT_UNKNOWN, /* not in the table; may write */
    FUNCTION_EFFECT_READ,    /* only computes or reads */
    FUNCTION_EFFECT_WRITE,   /* writes, e.g. nextval */
    FUNCTION_EFFECT_SESSION, /* reads or changes state of the connection's session */
    FUNCTION_EFFECT_CONTROL, /* controls the server, accesses its files, waits, or runs SQL text */
};

/* Returns the effect of a function called without a schema or in pg_catalog. `name` is in the
 * parser's form, folded to lower case unless quoted. */
enum function_effect function_effect_of(const char *name);

#endif
