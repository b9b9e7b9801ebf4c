/* Control connections to databases. See database_control.h. */
#define G_LOG_DOMAIN "failover"
#include "pooler/control/database_control.h"

#include "backend/clock.h"
#include "pooler/shared/socket.h"
#include "pooler/shared/wire.h"

#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time limit of a command, including the connecting. */
#define COMMAND_TIMEOUT_MS 300

/* Tenant name sent at the start of the connection, on which no client's statement runs. */
#define OWN_TENANT "pooler"

struct database_control {
    struct event_base *base;
    char *service;
    char *database;
    database_control_callback *callback;
    void *user;
    int socket; /* -1: none */
    struct event *readable;
    struct event *writable;
    struct event *timer;
    struct buffer in;
    struct buffer out;
    bool started;         /* the database has accepted the connection */
    bool command_pending; /* a command was sent and has no answer yet */
    enum database_command command;
    uint64_t term;
    bool has_report;
    bool at_capacity; /* it answered that it has no free connection or slot */
    struct database_report report;
    time_ns last_used_at;
};

static void on_event(evutil_socket_t socket, short events, void *user);
static void on_timer(evutil_socket_t socket, short events, void *user);

struct database_control *
database_control_new(struct event_base *base, const char *service, const char *database,
                     database_control_callback *callback, void *user)
{
    struct database_control *control = g_new0(struct database_control, 1);
    control->base = base;
    control->service = g_strdup(service);
    control->database = g_strdup(database);
    control->callback = callback;
    control->user = user;
    control->socket = -1;
    control->timer = evtimer_new(base, on_timer, control);
    return control;
}

static void
disconnect(struct database_control *control)
{
    if (control->socket < 0) {
        return;
    }
    event_free(control->readable);
    event_free(control->writable);
    close(control->socket);
    control->socket = -1;
    control->started = false;
    buffer_clear(&control->in);
    buffer_clear(&control->out);
}

/* A command that the database has not received by now must not reach it later, as another
 * coordinator may have taken over: closing resets the connection. */
static void
reset_on_close(struct database_control *control)
{
    const struct linger linger = {.l_onoff = 1, .l_linger = 0};
    setsockopt(control->socket, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

void
database_control_free(struct database_control *control)
{
    if (control->command_pending && control->socket >= 0) {
        reset_on_close(control);
    }
    disconnect(control);
    event_free(control->timer);
    g_free(control->service);
    g_free(control->database);
    g_free(control);
}

static void
finish(struct database_control *control, const struct database_report *report, bool refused)
{
    if (!control->command_pending) {
        return;
    }
    control->command_pending = false;
    event_del(control->timer);
    control->callback(control->user, control->service, control->database, report, refused);
}

static void
fail(struct database_control *control)
{
    disconnect(control);
    finish(control, NULL, false);
}

/* True if the database is running, but has no free connection, or no free slot for the command. */
static bool
is_at_capacity(enum answer_code code)
{
    return code == ANSWER_OVERLOADED || code == ANSWER_BUSY;
}

static void
write_command(struct database_control *control)
{
    switch (control->command) {
    case DATABASE_COMMAND_STATUS:
        wire_write_status(&control->out);
        break;
    case DATABASE_COMMAND_PAUSE:
        wire_write_pause(&control->out, control->term);
        break;
    case DATABASE_COMMAND_RESUME:
        wire_write_resume(&control->out);
        break;
    case DATABASE_COMMAND_STEP_DOWN:
        wire_write_step_down(&control->out, control->term);
        break;
    }
}

static void
flush(struct database_control *control)
{
    switch (buffer_send(&control->out, control->socket)) {
    case TRANSFER_DONE:
        break;
    case TRANSFER_BLOCKED:
        event_add(control->writable, NULL);
        break;
    case TRANSFER_ENDED:
        fail(control);
        break;
    }
}

static void
on_ready(struct database_control *control)
{
    if (!control->started) {
        control->started = true;
        write_command(control);
        flush(control);
        return;
    }
    finish(control, control->has_report ? &control->report : NULL, control->at_capacity);
}

static void
process(struct database_control *control)
{
    while (control->socket >= 0) {
        struct span content = buffer_content(&control->in);
        size_t length = wire_message_length(content);
        if (length == 0) {
            return;
        }
        struct database_reply reply;
        wire_read_reply((struct span){content.data, length}, &reply);
        if (reply.kind == REPLY_ROW) {
            control->has_report = wire_read_report(reply.content, &control->report);
        }
        bool refused_start = reply.kind == REPLY_ERROR && !control->started;
        bool ready = reply.kind == REPLY_READY;
        buffer_consume(&control->in, length);
        control->at_capacity =
            reply.kind == REPLY_ERROR ? is_at_capacity(reply.code) : control->at_capacity;
        if (refused_start) {
            disconnect(control);
            finish(control, NULL, control->at_capacity);
        } else if (ready) {
            on_ready(control);
        }
    }
}

static void
on_event(evutil_socket_t socket, short events, void *user)
{
    struct database_control *control = user;
    if (events & EV_WRITE) {
        flush(control);
        return;
    }
    switch (buffer_receive(&control->in, control->socket)) {
    case TRANSFER_DONE:
        process(control);
        break;
    case TRANSFER_BLOCKED:
        break;
    case TRANSFER_ENDED:
        fail(control);
        break;
    }
}

static void
on_timer(evutil_socket_t socket, short events, void *user)
{
    fail(user);
}

static bool
connect_to(struct database_control *control, const struct sockaddr_in *address)
{
    int handle = socket_connect(address, 0);
    if (handle < 0) {
        return false;
    }
    control->socket = handle;
    control->readable = event_new(control->base, handle, EV_READ | EV_PERSIST, on_event, control);
    control->writable = event_new(control->base, handle, EV_WRITE, on_event, control);
    wire_write_start(&control->out, control->service, OWN_TENANT, control->database);
    event_add(control->readable, NULL);
    event_add(control->writable, NULL);
    return true;
}

bool
database_control_send(struct database_control *control, const struct sockaddr_in *address,
                      enum database_command command, uint64_t term)
{
    if (control->command_pending) {
        return false;
    }
    struct timeval timeout = {0, COMMAND_TIMEOUT_MS * 1000};
    control->command_pending = true;
    control->command = command;
    control->term = term;
    control->has_report = false;
    control->at_capacity = false;
    control->last_used_at = backend_now();
    evtimer_add(control->timer, &timeout);
    if (control->socket < 0) {
        if (!connect_to(control, address)) {
            struct timeval soon = {0, 0};
            evtimer_add(control->timer, &soon);
        }
        return true;
    }
    if (control->started) {
        write_command(control);
        flush(control);
    }
    return true;
}

void
database_control_close_unused(struct database_control *control, time_ns before)
{
    if (!control->command_pending && control->socket >= 0 && control->last_used_at < before) {
        disconnect(control);
    }
}
