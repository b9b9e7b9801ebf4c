/* One client connection: its protocol state, prepared statements and transaction. Each session has
 * a thread of its own. */
#ifndef STANDIN_DATABASE_SESSION_H
#define STANDIN_DATABASE_SESSION_H

#include "database.h"
#include "faults.h"
#include "message.h"
#include "server.h"

/* PostgreSQL's parameter for how long an open transaction may be idle, in milliseconds. */
#define IDLE_TRANSACTION_PARAMETER "idle_in_transaction_session_timeout"

/* A prepared statement. */
struct prepared {
    struct statement *statement;
    GArray *oids; /* parameter types the client declared */
};

struct portal {
    struct statement *statement; /* owned copy */
    struct parameters *parameters;
};

/* Used only by its own thread, except for `interrupt`, `process` and `secret`. */
struct session {
    struct server *server;
    struct interrupt interrupt;
    guint32 process;
    guint32 secret;
    char *zone;      /* the client's zone, "" if it named none; NULL before startup */
    bool is_replica; /* a replica that pulls the log; not counted against the limit */
    bool counted;    /* counted against the connection limit */
    GByteArray *in;
    guint in_start; /* offset of the first unread byte of `in` */
    GByteArray *out;
    int64_t idle_transaction_ms; /* longest idle time of an open transaction; 0: no limit */
    enum answer_fault
        answer_fault;  /* fault chosen by a statement since the last ReadyForQuery message */
    bool skip_to_sync; /* set by an error in the extended protocol; messages are skipped until Sync
                        */
    bool closing;
    struct transaction transaction;
    GHashTable *prepared; /* name to struct prepared */
    GHashTable *portals;  /* name to struct portal */
};

struct session *session_new(struct server *server, int socket);

/* Serves the connection until it ends. The caller closes the socket. */
void session_run(struct session *session);
void session_free(struct session *session);

/* Functions shared by the parts of the session. */

/* Sends the contents of `out`, unless a fault suppresses them. */
void session_flush(struct session *session);

/* Reads one complete message. `typed` is false before startup. The reader's data is valid until the
 * next call. Returns false at the end of the connection. */
bool session_read_message(struct session *session, bool typed, char *type,
                          struct message_reader *reader);

/* Serves the startup phase. Returns false if the connection must not be served further. */
bool session_start_up(struct session *session);

/* The simple and the extended query protocol. */
void session_simple_query(struct session *session, struct message_reader *reader);
void session_extended_query(struct session *session, char type, struct message_reader *reader);

/* Runs one statement in the session's transaction and appends its result to `out`. */
bool session_execute(struct session *session, const struct statement *statement,
                     const struct parameters *parameters, bool describe, struct sql_error *error);

/* Ends an implicit transaction; returns false with an error if its commit failed. */
bool session_end_implicit(struct session *session, struct sql_error *error);

/* Appends an error to `out`, fails the transaction and clears the error. */
void session_fail(struct session *session, struct sql_error *error);

/* Appends ReadyForQuery, flushes, and applies a pending answer fault to the connection. */
void session_ready(struct session *session);

#endif
