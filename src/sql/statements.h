/* Table of the kinds of statement that are served, by their node names in PostgreSQL's parse
 * tree. */
#ifndef SW_SQL_STATEMENTS_H
#define SW_SQL_STATEMENTS_H

#include <stdbool.h>

enum statement_rule {
    STATEMENT_RULE_READ,       /* a read, unless a part of it writes */
    STATEMENT_RULE_WRITE,      /* changes rows */
    STATEMENT_RULE_DEFINITION, /* DDL: a write, and names of objects are checked */
    STATEMENT_RULE_EXPLAIN,    /* a read, or the class of the inner statement if that is run */
    STATEMENT_RULE_REFUSED,
};

struct statement_entry {
    const char *node; /* as in the parse tree, e.g. "SelectStmt" */
    enum statement_rule rule;
    const char *name;   /* in SQL, e.g. "SET"; only of refused statements */
    const char *reason; /* of the refusal */
};

/* Returns the entry of a node. The entry of a node that is not in the table is a refusal. */
const struct statement_entry *statement_entry_of(const char *node);

/* True for the name of a statement's node. */
bool statement_is_node(const char *node);

#endif
