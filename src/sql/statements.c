#include "sql/statements.h"

#include <glib.h>
#include <string.h>

#define REASON_SESSION     "it changes the state of a session"
#define REASON_CURSOR      "a cursor belongs to a session"
#define REASON_PREPARED    "a prepared statement belongs to a session"
#define REASON_TRANSACTION "transactions are begun and ended at the transactions endpoint"
#define REASON_LOCK        "explicit table locks are not served"
#define REASON_COPY        "bulk copy of rows is not served"
#define REASON_CODE        "the proxy does not run or define code in the database"
#define REASON_KIND        "statements of this kind are not served"

static const struct statement_entry entries[] = {
    {"SelectStmt", STATEMENT_RULE_READ, NULL, NULL},
    {"VariableShowStmt", STATEMENT_RULE_READ, NULL, NULL},
    {"InsertStmt", STATEMENT_RULE_WRITE, NULL, NULL},
    {"UpdateStmt", STATEMENT_RULE_WRITE, NULL, NULL},
    {"DeleteStmt", STATEMENT_RULE_WRITE, NULL, NULL},
    {"MergeStmt", STATEMENT_RULE_WRITE, NULL, NULL},
    {"ExplainStmt", STATEMENT_RULE_EXPLAIN, NULL, NULL},
    {"CreateStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"CreateTableAsStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"AlterTableStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"DropStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"RenameStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"IndexStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"TruncateStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"ViewStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"CreateSeqStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"AlterSeqStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"CreateSchemaStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"CommentStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"CreateEnumStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"AlterEnumStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"CreateDomainStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"CompositeTypeStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"RefreshMatViewStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"CreateStatsStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"GrantStmt", STATEMENT_RULE_DEFINITION, NULL, NULL},
    {"VariableSetStmt", STATEMENT_RULE_REFUSED, "SET", REASON_SESSION},
    {"ConstraintsSetStmt", STATEMENT_RULE_REFUSED, "SET CONSTRAINTS", REASON_SESSION},
    {"DiscardStmt", STATEMENT_RULE_REFUSED, "DISCARD", REASON_SESSION},
    {"ListenStmt", STATEMENT_RULE_REFUSED, "LISTEN", REASON_SESSION},
    {"UnlistenStmt", STATEMENT_RULE_REFUSED, "UNLISTEN", REASON_SESSION},
    {"NotifyStmt", STATEMENT_RULE_REFUSED, "NOTIFY", REASON_SESSION},
    {"LoadStmt", STATEMENT_RULE_REFUSED, "LOAD", REASON_SESSION},
    {"PrepareStmt", STATEMENT_RULE_REFUSED, "PREPARE", REASON_PREPARED},
    {"ExecuteStmt", STATEMENT_RULE_REFUSED, "EXECUTE", REASON_PREPARED},
    {"DeallocateStmt", STATEMENT_RULE_REFUSED, "DEALLOCATE", REASON_PREPARED},
    {"DeclareCursorStmt", STATEMENT_RULE_REFUSED, "DECLARE", REASON_CURSOR},
    {"FetchStmt", STATEMENT_RULE_REFUSED, "FETCH", REASON_CURSOR},
    {"ClosePortalStmt", STATEMENT_RULE_REFUSED, "CLOSE", REASON_CURSOR},
    {"TransactionStmt", STATEMENT_RULE_REFUSED, "a transaction statement", REASON_TRANSACTION},
    {"LockStmt", STATEMENT_RULE_REFUSED, "LOCK", REASON_LOCK},
    {"CopyStmt", STATEMENT_RULE_REFUSED, "COPY", REASON_COPY},
    {"DoStmt", STATEMENT_RULE_REFUSED, "DO", REASON_CODE},
    {"CallStmt", STATEMENT_RULE_REFUSED, "CALL", REASON_CODE},
    {"CreateFunctionStmt", STATEMENT_RULE_REFUSED, "CREATE FUNCTION", REASON_CODE},
    {"CreateTrigStmt", STATEMENT_RULE_REFUSED, "CREATE TRIGGER", REASON_CODE},
    {"RuleStmt", STATEMENT_RULE_REFUSED, "CREATE RULE", REASON_CODE},
};

static const struct statement_entry unlisted = {"", STATEMENT_RULE_REFUSED, "the statement",
                                                REASON_KIND};

const struct statement_entry *statement_entry_of(const char *node)
{
    for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
        if (strcmp(entries[i].node, node) == 0) {
            return &entries[i];
        }
    }
    return &unlisted;
}

bool statement_is_node(const char *node)
{
    return g_ascii_isupper(node[0]) && g_str_has_suffix(node, "Stmt");
}
