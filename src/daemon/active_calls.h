/* Calls under way at a group's databases. A database that is cut off doesn't answer, and its
 * connections don't end by themselves: calls there would wait for their deadlines. They are given
 * up once waiting is of no use: writes when another database leads, since nothing more can be
 * acknowledged where they are; what can be repeated also when the database is out of reach. */
#ifndef SW_DAEMON_ACTIVE_CALLS_H
#define SW_DAEMON_ACTIVE_CALLS_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

#include "backend/connection.h"
#include "core/types.h"

enum active_call_kind {
    ACTIVE_CALL_READ,        /* given up when the database is out of reach */
    ACTIVE_CALL_KEYED_WRITE, /* the same, and when it no longer leads */
    ACTIVE_CALL_WRITE,       /* only when it no longer leads: its answer can't be asked for again */
};

/* One call, on the stack of its thread. */
struct active_call {
    enum active_call_kind kind;
    uint32_t database;
    int socket_fd; /* a duplicate, so that the number stays ours while the call runs */
};

/* All calls of one group on this daemon. */
struct active_calls {
    pthread_mutex_t lock; /* guards all below */
    GQueue calls;         /* of struct active_call */
    int32_t primary;      /* the last one known, or -1 */
};

void active_calls_init(struct active_calls *calls);

/* No call may be under way. */
void active_calls_clear(struct active_calls *calls);

/* Enters a call that is about to use a connection. False for a write where another database leads
 * by now: nothing was entered, and nothing may be sent. */
bool active_calls_enter(struct active_calls *calls, struct active_call *call,
                        enum active_call_kind kind, uint32_t database,
                        const struct backend_connection *connection);

/* Ends a call; before its connection is released. */
void active_calls_leave(struct active_calls *calls, struct active_call *call);

/* Gives up the calls that are of no more use under a new view: their connections are shut down, and
 * their threads find them broken. */
void active_calls_take_view(struct active_calls *calls, const struct group_view *view);

#endif
