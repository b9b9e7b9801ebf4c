/* Messages of clients and databases as typed structs, independent of the wire format. The functions
 * encode and decode them, and are implemented by the platform adapter that the program is linked
 * with. No state; any thread. */
#ifndef SW_POOLER_WIRE_H
#define SW_POOLER_WIRE_H

#include <stdbool.h>

#include "core/types.h"
#include "pooler/shared/buffer.h"

/* Longest accepted message, in bytes. */
#define WIRE_MESSAGE_MAX ((size_t)1024 * 1024)

/* All answer codes, to clients and from databases. ANSWER_NONE is success. */
enum answer_code {
    ANSWER_NONE,
    ANSWER_BUSY,         /* not run: no slot */
    ANSWER_LAGGING,      /* not run: the database's log has not reached the required position */
    ANSWER_READONLY,     /* not run: the database is not the primary */
    ANSWER_MISROUTED,    /* not run: the address belongs to another database */
    ANSWER_OVERLOADED,   /* not run: too many connections or requests */
    ANSWER_ABORTED,      /* the transaction was rolled back */
    ANSWER_NO_STATEMENT, /* not run: unknown prepared statement */
    ANSWER_NO_DATABASE,  /* not run: no such database is configured */
    ANSWER_TOO_LARGE,    /* not run: over a size limit */
    ANSWER_MALFORMED,    /* not run: syntax error, or not allowed in this state */
    ANSWER_UNAUTHORIZED, /* not run: not allowed */
    ANSWER_FAILED,       /* run, and failed */
    ANSWER_TIMEOUT,      /* may have run */
    ANSWER_IN_DOUBT,     /* may have run */
    ANSWER_OTHER,        /* unknown to the adapter; may have run */
    ANSWER_CODE_COUNT,
};

/* Properties of an answer code. */
struct answer_meaning {
    const char *name;   /* for logs and metrics */
    bool not_run;       /* guarantees that the statement has not run */
    bool elsewhere;     /* another database, or the same one later, may run it */
    const char *advice; /* short text for the client */
};

/* The properties of a code. */
const struct answer_meaning *answer_meaning(enum answer_code code);

enum statement_kind {
    STATEMENT_BEGIN,
    STATEMENT_BEGIN_READ,
    STATEMENT_COMMIT,
    STATEMENT_ROLLBACK,
    STATEMENT_READ,
    STATEMENT_WRITE,
    STATEMENT_SET,
    STATEMENT_PREPARE,
    STATEMENT_EXECUTE,
    STATEMENT_DEALLOCATE,
    STATEMENT_MALFORMED,
    STATEMENT_KIND_COUNT,
};

/* The kind's name for logs. */
const char *statement_kind_name(enum statement_kind kind);

/* One statement of a client. Spans point into the message. */
struct statement {
    enum statement_kind kind;
    struct span id;
    struct span text;  /* the client's text */
    struct span name;  /* SET, PREPARE, EXECUTE, DEALLOCATE */
    struct span value; /* SET: the value; PREPARE: the shape; EXECUTE: the arguments */
    bool writes;       /* WRITE, or PREPARE of one that writes */
};

enum client_message_kind {
    CLIENT_MESSAGE_START,
    CLIENT_MESSAGE_STATEMENT,
    CLIENT_MESSAGE_END,
    CLIENT_MESSAGE_MALFORMED,
};

/* One message of a client. Spans point into the message. */
struct client_message {
    enum client_message_kind kind;
    struct span database; /* of a start */
    struct span key;      /* of a start: identifies the client's tenant; a secret */
    struct statement statement;
};

enum transaction_state {
    TRANSACTION_STATE_NONE,
    TRANSACTION_STATE_OPEN,
    TRANSACTION_STATE_FAILED,
};

enum reply_kind {
    REPLY_ROW,
    REPLY_COMPLETE,
    REPLY_ERROR,
    REPLY_READY,
    REPLY_MALFORMED,
};

/* One message of a database. Spans point into the message. */
struct database_reply {
    enum reply_kind kind;
    struct span content; /* a row, a signature or an error's text */
    enum answer_code code;
    enum transaction_state state; /* of READY */
    bool has_position;            /* of READY */
    struct log_position position;
};

/* A database's answer to a status query. */
struct database_report {
    bool leads; /* it is the primary */
    uint64_t term;
    struct log_position received; /* end of the log that it has */
    uint64_t paused_term;         /* term of the pause; 0: not paused */
    uint64_t lag_ms;
    uint32_t busy;
    uint32_t connections;
};

/* Length of the first complete message with its terminator; 0 if more bytes are needed. */
size_t wire_message_length(struct span content);

void wire_read_client(struct span message, struct client_message *out);
void wire_read_reply(struct span message, struct database_reply *out);
bool wire_read_report(struct span row, struct database_report *out);

/* Messages to clients. `position` may be NULL; `signature` is NULL for an answer that no database
 * gave. */
void wire_write_ready(struct buffer *out, enum transaction_state state,
                      const struct log_position *position);
void wire_write_complete(struct buffer *out, const struct span *signature);
void wire_write_error(struct buffer *out, enum answer_code code, const char *text);

/* Messages to databases. `after` is the log position that the statement must see, or NULL. `tenant`
 * owns the connection. */
void wire_write_start(struct buffer *out, const char *service, const char *tenant,
                      const char *database);
void wire_write_statement(struct buffer *out, struct span id, const struct log_position *after,
                          struct span text);
void wire_write_execute(struct buffer *out, struct span id, const struct log_position *after,
                        const char *name, struct span arguments);

/* Statements that the pooler itself issues. */
void wire_write_begin(struct buffer *out, bool read_only, const struct log_position *after);
void wire_write_rollback(struct buffer *out);
void wire_write_reset(struct buffer *out);
void wire_write_set(struct buffer *out, const char *name, const char *value);
void wire_write_prepare(struct buffer *out, const char *name, bool writes, struct span shape);
void wire_write_status(struct buffer *out);
void wire_write_pause(struct buffer *out, uint64_t term);
void wire_write_resume(struct buffer *out);
void wire_write_step_down(struct buffer *out, uint64_t term);

#endif
