/* One connection to a database, on libpq's asynchronous calls and in pipeline mode for its whole
 * life. It exists so that every wait has a deadline and that a connection whose state is not known
 * for certain is closed instead of used again. */
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
    CONNECTION_STATE_BROKEN, /* only closing is left */
};

/* The database ends a session that leaves a transaction open for so long without a word
 * (PostgreSQL's idle_in_transaction_session_timeout, SQLSTATE 25P03): a daemon that is paused in a
 * transaction holds its locks no longer. The daemon itself leaves none open but while it reads an
 * answer; transactions of several requests ask for longer, see adapter_begin. */
#define CONNECTION_IDLE_TRANSACTION_MS 10000

/* Where and as whom to connect. The strings belong to whoever filled it in. */
struct connection_settings {
    const char *host; /* an IP number */
    uint16_t port;
    const char *database_name;
    const char *user;
    const char *password;         /* or NULL */
    const char *application_name; /* "swiftworks/<daemon>@<zone>" */
    uint32_t idle_transaction_ms; /* 0: CONNECTION_IDLE_TRANSACTION_MS */
};

/* Copies the settings with their strings; free the copy by connection_settings_clear. */
void connection_settings_copy(struct connection_settings *to,
                              const struct connection_settings *from);
void connection_settings_clear(struct connection_settings *settings);

/* Owned by one thread at a time; no locks. */
struct backend_connection {
    PGconn *pg;
    enum connection_state state;
    uint32_t unread_answers; /* queries and syncs sent, whose answers are not read yet */
    /* Of the pool that it belongs to: */
    int32_t number; /* of the database's numbers, whose lock it holds; -1 for none */
    bool retiring;  /* to be closed as soon as nobody uses it */
};

/* Starts to open without waiting; drive it by backend_connection_continue. Never NULL: a failure
 * at once shows as CONNECTION_STATE_BROKEN. */
struct backend_connection *backend_connection_start(const struct connection_settings *settings);

/* Takes the next step of opening once the socket is ready. Returns the poll events to wait for,
 * or 0 when the state is no longer OPENING. */
short backend_connection_continue(struct backend_connection *connection);

/* Waits until it is open, or `deadline`. On failure it is BROKEN, with SW_ERROR and libpq's text.
 */
bool backend_connection_await_open(struct backend_connection *connection, time_ns deadline,
                                   GError **error);

/* Opens and waits until `deadline`. On failure returns NULL with SW_ERROR and libpq's text. */
struct backend_connection *backend_connection_open(const struct connection_settings *settings,
                                                   time_ns deadline, GError **error);

/* Closes and frees. NULL is allowed. An open transaction is rolled back by the database. */
void backend_connection_close(struct backend_connection *connection);

/* Closes and frees, but keeps a copy of the socket to see when the database has closed its end too:
 * until then it may still count the connection. Returns the copy, for the caller to close, or -1.
 */
int backend_connection_close_watched(struct backend_connection *connection);

/* True if the database has closed its end of a socket that is being closed. Never waits. */
bool backend_connection_has_ended(int socket_fd);

/* True if the database's machine has taken notice of the close, so that only its process is
 * awaited: it counts the connection until it runs again, however long that takes. */
bool backend_connection_end_is_awaited(int socket_fd);

/* Marks that nothing more may be sent: the state at the database is not known. */
void backend_connection_break(struct backend_connection *connection);

/* True if it may serve another request: all answers read and no transaction open. */
bool backend_connection_is_clean(const struct backend_connection *connection);

/* True if the database has ended the session while nothing was asked of it; the connection is then
 * BROKEN. False does not prove that it goes on. Never waits. */
bool backend_connection_was_ended(struct backend_connection *connection);

/* Cheap check before use, without a round trip: clean, the socket open and nothing to read. */
bool backend_connection_is_healthy(const struct backend_connection *connection);

/* Waits until the socket is ready; returns the poll events that came, or 0 at the deadline. */
short backend_connection_wait(const struct backend_connection *connection, short events,
                              time_ns deadline);

/* libpq's last error text, without its final newline; never NULL. The caller frees it. */
char *backend_connection_error(const struct backend_connection *connection);

#endif
