/* One client connection: its protocol state, prepared statements and transaction. Each session has
 * a thread of its own. */
#ifndef STANDIN_DATABASE_SESSION_H
#define STANDIN_DATABASE_SESSION_H

#include "database.h"
#include "faults.h"
#include "message.h"
#include "server.h"

/* How long an open transaction may be idle, in milliseconds: PostgreSQL's name for it. */
#define IDLE_TRANSACTION_PARAMETER "idle_in_transaction_session_timeout"

/* A parsed statement by name, or a bound one. */
struct prepared {
    struct statement *statement;
    GArray *oids; /* parameter types the client declared */
};

struct portal {
    struct statement *statement; /* owned copy */
    struct parameters *parameters;
};

/* Used by its own thread only, but for `interrupt`, `process`, `secret`. */
struct session {
    struct server *server;
    struct interrupt interrupt;
    guint32 process;
    guint32 secret;
    char *zone;      /* of the client, "" if not told; NULL before startup */
    bool is_replica; /* pulls the log; not counted as a client */
    bool counted;    /* holds one of the limited connections */
    GByteArray *in;
    guint in_start; /* how much of `in` has been consumed */
    GByteArray *out;
    int64_t idle_transaction_ms;    /* longest idle time of an open transaction; 0: no limit */
    enum answer_fault answer_fault; /* met by a statement since the last ready message */
    bool skip_to_sync;              /* after an error in the extended protocol */
    bool closing;
    struct transaction transaction;
    GHashTable *prepared; /* name to struct prepared */
    GHashTable *portals;  /* name to struct portal */
};

struct session *session_new(struct server *server, int socket);

/* Serves the connection to its end, and closes it. */
void session_run(struct session *session);
void session_free(struct session *session);

/* --- for the parts of the session --- */

/* Sends what is in `out`, unless a fault swallows it. */
void session_flush(struct session *session);

/* Reads until one whole message is there. `typed` is false before startup. The reader's data is
 * valid until the next call. Returns false at the connection's end. */
bool session_read_message(struct session *session, bool typed, char *type,
                          struct message_reader *reader);

/* Startup and its answers. Returns false if the connection is not to be served. */
bool session_start_up(struct session *session);

/* The simple and the extended query protocol. */
void session_simple_query(struct session *session, struct message_reader *reader);
void session_extended_query(struct session *session, char type, struct message_reader *reader);

/* Runs one statement in the session's transaction; writes its result to `out`. */
bool session_execute(struct session *session, const struct statement *statement,
                     const struct parameters *parameters, bool describe, struct sql_error *error);

/* Ends an implicit transaction; returns false with an error if its commit failed. */
bool session_end_implicit(struct session *session, struct sql_error *error);

/* Writes an error, and fails the transaction. Clears the error. */
void session_fail(struct session *session, struct sql_error *error);

/* Writes the ready message, flushes, and carries out what faults want done to the connection. */
void session_ready(struct session *session);

#endif
