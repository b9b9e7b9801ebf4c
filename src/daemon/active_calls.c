/* Calls in progress at a group's databases; see the header. */
#include "daemon/active_calls.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

void active_calls_init(struct active_calls *calls)
{
    pthread_mutex_init(&calls->lock, NULL);
    g_queue_init(&calls->calls);
    calls->primary = -1;
}

void active_calls_clear(struct active_calls *calls)
{
    g_assert(g_queue_is_empty(&calls->calls));
    pthread_mutex_destroy(&calls->lock);
}

bool active_calls_enter(struct active_calls *calls, struct active_call *call,
                        enum active_call_kind kind, uint32_t database,
                        const struct backend_connection *connection)
{
    call->kind = kind;
    call->database = database;
    pthread_mutex_lock(&calls->lock);
    bool leads = calls->primary < 0 || calls->primary == (int32_t)database;
    bool entered = kind == ACTIVE_CALL_READ || leads;
    if (entered) {
        call->socket_fd = fcntl(PQsocket(connection->pg), F_DUPFD_CLOEXEC, 0);
        g_queue_push_tail(&calls->calls, call);
    }
    pthread_mutex_unlock(&calls->lock);
    return entered;
}

void active_calls_leave(struct active_calls *calls, struct active_call *call)
{
    pthread_mutex_lock(&calls->lock);
    g_queue_remove(&calls->calls, call);
    pthread_mutex_unlock(&calls->lock);
    if (call->socket_fd >= 0) {
        close(call->socket_fd);
    }
}

static bool must_abort(const struct active_call *call, const struct group_view *view,
                       int32_t primary)
{
    bool unreachable = !view->databases[call->database].reachable;
    bool replaced = primary >= 0 && primary != (int32_t)call->database;
    switch (call->kind) {
    case ACTIVE_CALL_READ:
        return unreachable;
    case ACTIVE_CALL_KEYED_WRITE:
        return unreachable || replaced;
    case ACTIVE_CALL_WRITE:
        break;
    }
    return replaced;
}

void active_calls_apply_view(struct active_calls *calls, const struct group_view *view)
{
    pthread_mutex_lock(&calls->lock);
    if (view->primary >= 0) {
        calls->primary = view->primary;
    }
    for (const GList *link = calls->calls.head; link != NULL; link = link->next) {
        const struct active_call *call = link->data;
        if (must_abort(call, view, calls->primary) && call->socket_fd >= 0) {
            shutdown(call->socket_fd, SHUT_RDWR);
        }
    }
    pthread_mutex_unlock(&calls->lock);
}
