/* One connection to a database, using libpq's asynchronous calls and always in pipeline mode. It
 * gives every wait a deadline, and it makes sure that a connection in an unknown state is closed
 * instead of reused. */
#ifndef SW_BACKEND_CONNECTION_H
#define SW_BACKEND_CONNECTION_H

#include <glib.h>
#include <libpq-fe.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

enum connection_state {
    CONNECTION_STATE_OPENING,
    CONNECTION_STATE_IDLE,
    CONNECTION_STATE_IN_USE,
    CONNECTION_STATE_BROKEN, /* may only be closed */
};

/* Default of PostgreSQL's idle_in_transaction_session_timeout: the database ends a session whose
 * transaction has been idle for this long (SQLSTATE 25P03), so that a daemon that is paused in a
 * transaction does not hold its locks any longer. The daemon keeps a transaction open only while it
 * reads an answer; transactions that span several requests set a longer time-out, see
 * adapter_begin. */
#define CONNECTION_IDLE_TRANSACTION_MS 10000

/* Where and as which user to connect. The strings belong to the code that fills in the structure.
 */
struct connection_settings {
    const char *host; /* an IP number */
    uint16_t port;
    const char *database_name;
    const char *user;
    const char *password;         /* or NULL */
    const char *application_name; /* "swiftworks/<daemon>@<zone>" */
    uint32_t idle_transaction_ms; /* 0: CONNECTION_IDLE_TRANSACTION_MS */
};

/* Copies the settings with their strings; free the copy with connection_settings_clear. */
void connection_settings_copy(struct connection_settings *to,
                              const struct connection_settings *from);
void connection_settings_clear(struct connection_settings *settings);

/* Owned by one thread at a time; no locks. */
struct backend_connection {
    PGconn *pg;
    enum connection_state state;
    uint32_t unread_answers; /* queries and syncs that were sent and not answered yet */
    /* Set by the pool: */
    int32_t number; /* connection number whose lock it holds (core/budget.h), or -1 */
    bool retiring;  /* to be closed as soon as it is not in use */
};

/* Starts to open a connection without waiting; backend_connection_continue completes it. Never
 * NULL: an immediate failure gives CONNECTION_STATE_BROKEN. */
struct backend_connection *backend_connection_start(const struct connection_settings *settings);

/* Takes the next step of opening once the socket is ready. Returns the poll events to wait for,
 * or 0 when the state is no longer OPENING. */
short backend_connection_continue(struct backend_connection *connection);

/* Waits until the connection is open, or until `deadline`. On failure it is BROKEN, and the error
 * is SW_ERROR with libpq's text. */
bool backend_connection_await_open(struct backend_connection *connection, time_ns deadline,
                                   GError **error);

/* Opens a connection and waits until `deadline`. On failure returns NULL and SW_ERROR with libpq's
 * text. */
struct backend_connection *backend_connection_open(const struct connection_settings *settings,
                                                   time_ns deadline, GError **error);

/* Closes and frees; NULL is allowed. The database rolls back an open transaction. */
void backend_connection_close(struct backend_connection *connection);

/* Closes and frees, but keeps a duplicate of the socket, with which backend_connection_has_ended
 * detects that the database has closed its end too. Until then the database may still count the
 * connection. Returns the duplicate, which the caller closes, or -1. */
int backend_connection_close_watched(struct backend_connection *connection);

/* True if the database has closed its end of a socket that backend_connection_close_watched
 * returned. Never waits. */
bool backend_connection_has_ended(int socket_fd);

/* True if the kernel of the database's machine has acknowledged the close (TCP state FIN_WAIT2) and
 * only the database process has not closed yet: it counts the connection until it runs again,
 * however long that takes. */
bool backend_connection_close_is_acked(int socket_fd);

/* Marks the connection BROKEN: its state at the database is unknown, and nothing more may be sent.
 */
void backend_connection_break(struct backend_connection *connection);

/* True if the connection can serve another request: all answers are read and no transaction is
 * open. */
bool backend_connection_is_clean(const struct backend_connection *connection);

/* True if the database has ended the session while no query was outstanding; the connection is then
 * BROKEN. False does not prove that the session is still open. Never waits. */
bool backend_connection_was_terminated(struct backend_connection *connection);

/* Check before use, without a round trip: the connection is clean, its socket open, with nothing to
 * read. */
bool backend_connection_is_healthy(const struct backend_connection *connection);

/* Waits until the socket is ready; returns the poll events, or 0 at the deadline. */
short backend_connection_wait(const struct backend_connection *connection, short events,
                              time_ns deadline);

/* libpq's last error text, without its final newline; never NULL. The caller frees it. */
char *backend_connection_error(const struct backend_connection *connection);

#endif
