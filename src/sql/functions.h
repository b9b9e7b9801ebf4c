/* What is known of PostgreSQL's functions: which a statement may call, and which of those write. */
#ifndef SW_SQL_FUNCTIONS_H
#define SW_SQL_FUNCTIONS_H

enum function_effect {
    FUNCTION_EFFECT_UNKNOWN, /* not built in: it may write */
    FUNCTION_EFFECT_READ,    /* only computes or reads */
    FUNCTION_EFFECT_WRITE,   /* writes, e.g. nextval */
    FUNCTION_EFFECT_SESSION, /* reads or changes state of the connection's session */
    FUNCTION_EFFECT_CONTROL, /* acts on the server, its files or its time; or runs SQL text */
};

/* The effect of a function found without a schema or in pg_catalog; `name` as the parser gives it,
 * folded to lower case unless quoted. */
enum function_effect function_effect_of(const char *name);

#endif
