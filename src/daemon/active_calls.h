/* Calls in progress at a group's databases. A database behind a network partition does not answer
 * and its connections do not close, so that calls there would wait for their deadlines. Such calls
 * are aborted as soon as their answer can no longer be used: writes when another database becomes
 * primary, since the old one can no longer acknowledge them; calls that can be repeated also when
 * the database is unreachable. */
#ifndef SW_DAEMON_ACTIVE_CALLS_H
#define SW_DAEMON_ACTIVE_CALLS_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

#include "backend/connection.h"
#include "core/types.h"

enum active_call_kind {
    ACTIVE_CALL_READ,        /* aborted when the database is unreachable */
    ACTIVE_CALL_KEYED_WRITE, /* the same, and when it is no longer the primary */
    /* aborted only when the database is no longer the primary: without a key its outcome can't be
     * queried */
    ACTIVE_CALL_WRITE,
};

/* One call, on the stack of its thread. */
struct active_call {
    enum active_call_kind kind;
    uint32_t database;
    int socket_fd; /* a duplicate: stays valid for the duration of the call */
};

/* All calls of one group on this daemon. */
struct active_calls {
    pthread_mutex_t lock; /* guards all below */
    GQueue calls;         /* of struct active_call */
    int32_t primary;      /* the last known, or -1 */
};

void active_calls_init(struct active_calls *calls);

/* Requires that no call is in progress. */
void active_calls_clear(struct active_calls *calls);

/* Registers a call that is about to use a connection. Returns false for a write where another
 * database is now the primary: nothing was registered, and nothing may be sent. */
bool active_calls_enter(struct active_calls *calls, struct active_call *call,
                        enum active_call_kind kind, uint32_t database,
                        const struct backend_connection *connection);

/* Removes a call. Must run before its connection is released. */
void active_calls_leave(struct active_calls *calls, struct active_call *call);

/* Aborts the calls whose answers can no longer be used under a new view: shuts their sockets down,
 * so that their threads see a broken connection. */
void active_calls_apply_view(struct active_calls *calls, const struct group_view *view);

#endif
