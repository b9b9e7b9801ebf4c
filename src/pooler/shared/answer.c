/* Meanings of the answer codes; see pooler/shared/wire.h. */
#include "pooler/shared/wire.h"

static const struct answer_meaning meanings[ANSWER_CODE_COUNT] = {
    [ANSWER_NONE] = {"done", false, false, ""},
    [ANSWER_BUSY] = {"busy", true, true, "no slot is free in time"},
    [ANSWER_LAGGING] = {"lagging", true, true, "no database is fresh enough"},
    [ANSWER_READONLY] = {"readonly", true, true, "no current primary"},
    [ANSWER_MISROUTED] = {"misrouted", true, true, "the database has moved"},
    [ANSWER_OVERLOADED] = {"overloaded", true, true, "too many requests"},
    [ANSWER_ABORTED] = {"aborted", true, false, "the transaction was rolled back"},
    [ANSWER_NO_STATEMENT] = {"no_statement", true, true, "no such prepared statement"},
    [ANSWER_NO_DATABASE] = {"no_database", true, false, "no such database"},
    [ANSWER_TOO_LARGE] = {"too_large", true, false, "the message is too large"},
    [ANSWER_MALFORMED] = {"malformed", true, false, "not understood here"},
    [ANSWER_UNAUTHORIZED] = {"unauthorized", true, false, "not allowed"},
    [ANSWER_FAILED] = {"failed", false, false, "the statement failed"},
    [ANSWER_TIMEOUT] = {"timeout", false, false, "no answer in time"},
    [ANSWER_IN_DOUBT] = {"in_doubt", false, false, "it is not known whether this was run"},
    [ANSWER_OTHER] = {"other", false, false, "unknown answer of the database"},
};

static const char *const kind_names[STATEMENT_KIND_COUNT] = {
    [STATEMENT_BEGIN] = "begin",
    [STATEMENT_BEGIN_READ] = "begin_read",
    [STATEMENT_COMMIT] = "commit",
    [STATEMENT_ROLLBACK] = "rollback",
    [STATEMENT_READ] = "read",
    [STATEMENT_WRITE] = "write",
    [STATEMENT_SET] = "set",
    [STATEMENT_PREPARE] = "prepare",
    [STATEMENT_EXECUTE] = "execute",
    [STATEMENT_DEALLOCATE] = "deallocate",
    [STATEMENT_MALFORMED] = "malformed",
};

const struct answer_meaning *
answer_meaning(enum answer_code code)
{
    return &meanings[code < ANSWER_CODE_COUNT ? code : ANSWER_OTHER];
}

const char *
statement_kind_name(enum statement_kind kind)
{
    return kind_names[kind < STATEMENT_KIND_COUNT ? kind : STATEMENT_MALFORMED];
}
