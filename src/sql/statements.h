/* Which kinds of statement are served, by the node names of PostgreSQL's parse tree. */
#ifndef SW_SQL_STATEMENTS_H
#define SW_SQL_STATEMENTS_H

#include <stdbool.h>

enum statement_rule {
    STATEMENT_RULE_READ,       /* a read, unless something within it writes */
    STATEMENT_RULE_WRITE,      /* changes rows */
    STATEMENT_RULE_DEFINITION, /* changes definitions: a write, whose names are checked */
    STATEMENT_RULE_EXPLAIN,    /* a read, or the inner statement's class if that is run */
    STATEMENT_RULE_REFUSED,
};

struct statement_entry {
    const char *node; /* as in the parse tree, e.g. "SelectStmt" */
    enum statement_rule rule;
    const char *name;   /* as in SQL, e.g. "SET"; of refused ones */
    const char *reason; /* why it is refused */
};

/* The entry of a node; a node that is not listed is refused. */
const struct statement_entry *statement_entry_of(const char *node);

/* True for the name of a statement's node. */
bool statement_is_node(const char *node);

#endif
