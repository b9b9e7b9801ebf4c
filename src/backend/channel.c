#include "backend/channel.h"

#include "backend/closing_list.h"

/* Time after which a closed connection is assumed to have ended at the database. */
#define CLOSE_TIMEOUT_MS 1000

/* A command that was sent and not completed yet. */
struct channel_command {
    struct query_reply reply;
    time_ns sent_at;
    time_ns deadline;
    channel_callback callback;
    void *user;
};

struct channel {
    struct channel_options options;
    enum channel_state state;
    struct backend_connection *connection; /* NULL while closed */
    time_ns open_deadline;
    short events;
    GQueue commands; /* of struct channel_command, oldest first */
    struct pipeline_reader reader;
    bool reading; /* true while `reader` reads the answer to the oldest command */
    struct closing_list closing;
};

struct channel *channel_new(const struct channel_options *options)
{
    struct channel *channel = g_new0(struct channel, 1);
    channel->options = *options;
    connection_settings_copy(&channel->options.connection, &options->connection);
    closing_list_init(&channel->closing);
    g_queue_init(&channel->commands);
    return channel;
}

enum channel_state channel_state(const struct channel *channel)
{
    return channel->state;
}

uint32_t channel_outstanding(const struct channel *channel)
{
    return g_queue_get_length((GQueue *)&channel->commands);
}

/* Closes the connection, and keeps its socket to detect its end at the database. */
static void close_connection(struct channel *channel, time_ns now)
{
    time_ns until = now + CLOSE_TIMEOUT_MS * NANOSECONDS_PER_MILLISECOND;
    closing_list_add(&channel->closing, channel->connection, 0, until);
    channel->connection = NULL;
    channel->state = CHANNEL_STATE_CLOSED;
}

/* Reports the result of a command and frees it. */
static void complete(struct channel_command *command, struct channel_reply *reply, time_ns now)
{
    reply->sent_at = command->sent_at;
    reply->received_at = now;
    command->callback(command->user, reply);
    pipeline_replies_clear(&command->reply, 1);
    g_free(command);
}

void channel_close(struct channel *channel, time_ns now)
{
    if (channel->state == CHANNEL_STATE_CLOSED) {
        return;
    }
    if (channel->reading) {
        pipeline_reader_abandon(&channel->reader);
        channel->reading = false;
    }
    close_connection(channel, now);
    /* The state is already CLOSED, so callbacks send no further command. */
    struct channel_command *command;
    while ((command = g_queue_pop_head(&channel->commands)) != NULL) {
        struct channel_reply reply = {.result = EXECUTE_LOST};
        complete(command, &reply, now);
    }
}

void channel_free(struct channel *channel)
{
    channel_close(channel, 0);
    closing_list_clear(&channel->closing);
    connection_settings_clear(&channel->options.connection);
    g_free(channel);
}

bool channel_open(struct channel *channel, time_ns now)
{
    struct closing_entry ended;
    while (closing_list_take_closed(&channel->closing, now, &ended)) {
    }
    if (channel->state != CHANNEL_STATE_CLOSED ||
        closing_list_count(&channel->closing) > channel->options.closing_max) {
        return false;
    }
    channel->connection = backend_connection_start(&channel->options.connection);
    if (channel->connection->state == CONNECTION_STATE_BROKEN) {
        close_connection(channel, now);
        return false;
    }
    channel->state = CHANNEL_STATE_OPENING;
    channel->events = POLLOUT;
    channel->open_deadline = now + channel->options.open_timeout_ms * NANOSECONDS_PER_MILLISECOND;
    return true;
}

void channel_send(struct channel *channel, const struct adapter_call *call, time_ns deadline,
                  channel_callback callback, void *user, time_ns now)
{
    struct channel_command *command = g_new0(struct channel_command, 1);
    command->sent_at = now;
    command->deadline = deadline;
    command->callback = callback;
    command->user = user;
    g_queue_push_tail(&channel->commands, command);
    /* If sending fails, channel_advance finds the connection BROKEN. */
    adapter_send(channel->connection, call);
    pipeline_end(channel->connection);
    channel->events = POLLIN | POLLOUT;
}

struct pollfd channel_pollfd(const struct channel *channel)
{
    struct pollfd poll_fd = {.fd = -1};
    if (channel->state != CHANNEL_STATE_CLOSED) {
        poll_fd.fd = PQsocket(channel->connection->pg);
        poll_fd.events = channel->events;
    }
    return poll_fd;
}

time_ns channel_wake_at(const struct channel *channel)
{
    if (channel->state == CHANNEL_STATE_OPENING) {
        return channel->open_deadline;
    }
    if (channel->state == CHANNEL_STATE_CLOSED) {
        return UINT64_MAX;
    }
    if (channel->connection->state == CONNECTION_STATE_BROKEN) {
        return 0;
    }
    time_ns at = UINT64_MAX;
    for (const GList *link = channel->commands.head; link != NULL; link = link->next) {
        const struct channel_command *command = link->data;
        at = MIN(at, command->deadline);
    }
    return at;
}

static void advance_opening(struct channel *channel, short ready, time_ns now)
{
    if (ready != 0) {
        channel->events = backend_connection_continue(channel->connection);
    }
    if (channel->connection->state == CONNECTION_STATE_IDLE) {
        channel->state = CHANNEL_STATE_OPEN;
        channel->events = POLLIN;
    } else if (channel->connection->state == CONNECTION_STATE_BROKEN ||
               now >= channel->open_deadline) {
        channel_close(channel, now);
    }
}

/* Completes the oldest command, whose answer is complete. */
static void complete_oldest(struct channel *channel, time_ns now)
{
    struct channel_command *command = g_queue_pop_head(&channel->commands);
    struct channel_reply reply = {.result = EXECUTE_DONE};
    channel->reading = false;
    if (command->reply.status == QUERY_STATUS_ERROR) {
        reply.result = EXECUTE_FAILED;
        g_strlcpy(reply.sqlstate, command->reply.sqlstate, sizeof reply.sqlstate);
    } else if (!adapter_parse_status(&command->reply.result, &reply.status)) {
        reply.result = EXECUTE_LOST;
    }
    complete(command, &reply, now);
}

/* Reads the available part of the answer to the oldest command; true if it is complete or has
 * failed. */
static bool read_oldest(struct channel *channel, short ready)
{
    struct channel_command *command = g_queue_peek_head(&channel->commands);
    if (!channel->reading) {
        pipeline_reader_start(&channel->reader, channel->connection, NULL, &command->reply, 1);
        channel->reading = true;
    }
    channel->events = pipeline_reader_advance(&channel->reader, ready);
    return channel->events == 0;
}

static void advance_open(struct channel *channel, short ready, time_ns now)
{
    if (channel_outstanding(channel) == 0 && ready != 0) {
        /* Input without an outstanding command: the database closed the connection or broke the
         * protocol. */
        channel_close(channel, now);
        return;
    }
    while (channel->state == CHANNEL_STATE_OPEN && channel_outstanding(channel) > 0) {
        if (!read_oldest(channel, ready)) {
            break;
        }
        if (channel->reader.outcome != PIPELINE_COMPLETE) {
            channel_close(channel, now);
            return;
        }
        complete_oldest(channel, now);
        channel->events = POLLIN;
        ready = 0;
    }
    if (channel_wake_at(channel) <= now) {
        channel_close(channel, now);
    }
}

void channel_advance(struct channel *channel, short ready, time_ns now)
{
    switch (channel->state) {
    case CHANNEL_STATE_OPENING:
        advance_opening(channel, ready, now);
        break;
    case CHANNEL_STATE_OPEN:
        advance_open(channel, ready, now);
        break;
    case CHANNEL_STATE_CLOSED:
        break;
    }
}
