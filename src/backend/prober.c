#include "backend/prober.h"

#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <stdatomic.h>

#include "backend/clock.h"

/* Divisor of the moving average of round-trip times, as in TCP. */
#define ROUND_TRIP_WEIGHT 8

/* One closed connection that has not ended yet does not prevent opening the next: a probe must find
 * out soon whether the database is back. */
#define CLOSING_MAX 1

/* A command. Owned by the inbox, then by its target's queue, then by the channel as the callback's
 * user data. */
struct probe_command {
    struct probe_target *target; /* once sent */
    struct adapter_call call;    /* strings owned */
    time_ns deadline;
    prober_command_callback callback;
    void *user;
};

/* One database. Used by the prober's thread only. */
struct probe_target {
    struct prober *prober;
    uint32_t group;
    uint32_t database;
    struct channel *channel;
    time_ns next_probe_at;
    bool probing;
    bool removed; /* nothing more is reported */
    uint32_t round_trip_us;
    GQueue commands; /* of struct probe_command, not sent yet */
};

enum inbox_kind {
    INBOX_ADD,
    INBOX_REMOVE,
    INBOX_PROBE_NOW,
    INBOX_SUBMIT,
};

/* A request of another thread to the prober's thread. */
struct inbox_item {
    enum inbox_kind kind;
    uint32_t group;
    uint32_t database;
    struct connection_settings settings; /* ADD; strings owned */
    struct probe_command *command;       /* SUBMIT */
};

struct prober {
    struct prober_options options;
    pthread_t thread;
    int wake_fd;
    _Atomic uint32_t interval_ms;
    pthread_mutex_t lock; /* guards `inbox` and `stopping` */
    GQueue inbox;         /* of struct inbox_item */
    bool stopping;
    /* Used by the prober's thread only. */
    GHashTable *targets; /* target_key to struct probe_target */
    GArray *poll_fds;    /* of struct pollfd: the wake descriptor, then one for each target */
};

static gint64 target_key(uint32_t group, uint32_t database)
{
    return (gint64)(((uint64_t)group << 32) | database);
}

static void free_command(struct probe_command *command)
{
    g_free((char *)command->call.coordinator);
    g_free((char *)command->call.address);
    g_free(command);
}

/* Completes a command that was not sent. */
static void refuse_command(struct probe_command *command, uint32_t group, uint32_t database)
{
    struct channel_reply reply = {.result = EXECUTE_NOT_SENT, .received_at = backend_now()};
    command->callback(command->user, group, database, &reply);
    free_command(command);
}

static void free_target(void *data)
{
    struct probe_target *target = data;
    struct probe_command *command;
    target->removed = true;
    channel_free(target->channel);
    while ((command = g_queue_pop_head(&target->commands)) != NULL) {
        refuse_command(command, target->group, target->database);
    }
    g_free(target);
}

static void report(struct probe_target *target, const struct database_status *status, time_ns at)
{
    const struct prober_options *options = &target->prober->options;
    if (target->removed) {
        return;
    }
    options->on_status(options->user, target->group, target->database, status != NULL, status,
                       target->round_trip_us, at);
}

static void smooth_round_trip(struct probe_target *target, const struct channel_reply *reply)
{
    int64_t sample = (int64_t)((reply->received_at - reply->sent_at) / 1000);
    int64_t smoothed = target->round_trip_us;
    smoothed = smoothed == 0 ? sample : smoothed + (sample - smoothed) / ROUND_TRIP_WEIGHT;
    target->round_trip_us = (uint32_t)MAX(smoothed, 1);
}

static void on_probed(void *user, const struct channel_reply *reply)
{
    struct probe_target *target = user;
    target->probing = false;
    if (reply->result == EXECUTE_DONE) {
        smooth_round_trip(target, reply);
        report(target, &reply->status, reply->sent_at);
        return;
    }
    report(target, NULL, reply->sent_at);
    if (reply->result == EXECUTE_LOST) {
        target->next_probe_at = reply->received_at; /* with a new connection */
    }
}

static void on_command_done(void *user, const struct channel_reply *reply)
{
    struct probe_command *command = user;
    struct probe_target *target = command->target;
    command->callback(command->user, target->group, target->database, reply);
    if (reply->result == EXECUTE_DONE) {
        report(target, &reply->status, reply->sent_at);
    }
    free_command(command);
}

static void send_commands(struct probe_target *target, time_ns now)
{
    struct probe_command *command;
    while (channel_state(target->channel) == CHANNEL_STATE_OPEN &&
           (command = g_queue_pop_head(&target->commands)) != NULL) {
        command->target = target;
        channel_send(target->channel, &command->call, command->deadline, on_command_done, command,
                     now);
    }
}

static void refuse_late_commands(struct probe_target *target, time_ns now)
{
    GList *link = target->commands.head;
    while (link != NULL) {
        GList *next = link->next;
        struct probe_command *command = link->data;
        if (now >= command->deadline) {
            g_queue_delete_link(&target->commands, link);
            refuse_command(command, target->group, target->database);
        }
        link = next;
    }
}

static void schedule_next_probe(struct probe_target *target, time_ns now)
{
    target->next_probe_at =
        now + atomic_load(&target->prober->interval_ms) * NANOSECONDS_PER_MILLISECOND;
}

static void probe(struct probe_target *target, time_ns now)
{
    struct adapter_call call = {.command = ADAPTER_COMMAND_STATUS};
    time_ns timeout = target->prober->options.timeout_ms * NANOSECONDS_PER_MILLISECOND;
    target->probing = true;
    schedule_next_probe(target, now);
    channel_send(target->channel, &call, now + timeout, on_probed, target, now);
}

/* Opens the connection: for the next probe, or for a command. */
static void open_channel(struct probe_target *target, time_ns now)
{
    schedule_next_probe(target, now);
    if (!channel_open(target->channel, now)) {
        report(target, NULL, now);
    }
}

/* Starts the operations that are due. */
static void start_due(struct probe_target *target, time_ns now)
{
    refuse_late_commands(target, now);
    send_commands(target, now);
    if (now < target->next_probe_at) {
        return;
    }
    if (channel_state(target->channel) == CHANNEL_STATE_CLOSED) {
        open_channel(target, now);
    } else if (channel_state(target->channel) == CHANNEL_STATE_OPEN && !target->probing) {
        probe(target, now);
    }
}

/* Handles the poll events of the connection. */
static void advance_target(struct probe_target *target, short ready, time_ns now)
{
    enum channel_state before = channel_state(target->channel);
    channel_advance(target->channel, ready, now);
    enum channel_state after = channel_state(target->channel);
    if (before == CHANNEL_STATE_OPENING && after == CHANNEL_STATE_CLOSED) {
        report(target, NULL, now);
    }
    if (before == CHANNEL_STATE_OPENING && after == CHANNEL_STATE_OPEN) {
        target->next_probe_at = now;
    }
}

static time_ns target_wake_at(const struct probe_target *target)
{
    time_ns at = channel_wake_at(target->channel);
    const struct probe_command *command = g_queue_peek_head((GQueue *)&target->commands);
    if (command != NULL) {
        at = MIN(at, command->deadline);
    }
    bool due = channel_state(target->channel) != CHANNEL_STATE_OPENING && !target->probing;
    return due ? MIN(at, target->next_probe_at) : at;
}

static struct probe_target *find_target(struct prober *prober, const struct inbox_item *item)
{
    gint64 key = target_key(item->group, item->database);
    return g_hash_table_lookup(prober->targets, &key);
}

static void add_target(struct prober *prober, const struct inbox_item *item)
{
    struct probe_target *target = g_new0(struct probe_target, 1);
    struct channel_options options = {
        .connection = item->settings,
        .open_timeout_ms = prober->options.open_timeout_ms,
        .closing_max = CLOSING_MAX,
    };
    gint64 key = target_key(item->group, item->database);
    target->prober = prober;
    target->group = item->group;
    target->database = item->database;
    target->channel = channel_new(&options);
    g_queue_init(&target->commands);
    g_hash_table_replace(prober->targets, g_memdup2(&key, sizeof key), target);
}

static void queue_command(struct prober *prober, const struct inbox_item *item)
{
    struct probe_target *target = find_target(prober, item);
    if (target == NULL) {
        refuse_command(item->command, item->group, item->database);
        return;
    }
    g_queue_push_tail(&target->commands, item->command);
    if (channel_state(target->channel) == CHANNEL_STATE_CLOSED) {
        target->next_probe_at = 0;
    }
}

static void handle_item(struct prober *prober, struct inbox_item *item)
{
    struct probe_target *target = find_target(prober, item);
    gint64 key = target_key(item->group, item->database);
    switch (item->kind) {
    case INBOX_ADD:
        add_target(prober, item);
        break;
    case INBOX_REMOVE:
        g_hash_table_remove(prober->targets, &key);
        break;
    case INBOX_PROBE_NOW:
        if (target != NULL) {
            target->next_probe_at = 0;
        }
        break;
    case INBOX_SUBMIT:
        queue_command(prober, item);
        break;
    }
}

static void free_item(struct inbox_item *item)
{
    connection_settings_clear(&item->settings);
    g_free(item);
}

/* Takes the next request from the inbox; NULL if there is none. */
static struct inbox_item *take_item(struct prober *prober, bool *stopping)
{
    pthread_mutex_lock(&prober->lock);
    struct inbox_item *item = g_queue_pop_head(&prober->inbox);
    *stopping = prober->stopping;
    pthread_mutex_unlock(&prober->lock);
    return item;
}

/* Handles all requests in the inbox; false when the prober stops. */
static bool handle_inbox(struct prober *prober)
{
    bool stopping;
    struct inbox_item *item;
    while ((item = take_item(prober, &stopping)) != NULL) {
        handle_item(prober, item);
        free_item(item);
    }
    return !stopping;
}

/* Starts what is due and fills the poll set; returns the time at which something is due next. */
static time_ns prepare_poll(struct prober *prober, time_ns now)
{
    GHashTableIter iterator;
    gpointer value;
    time_ns wake_at = UINT64_MAX;
    struct pollfd wake_poll = {.fd = prober->wake_fd, .events = POLLIN};
    g_array_set_size(prober->poll_fds, 0);
    g_array_append_val(prober->poll_fds, wake_poll);
    g_hash_table_iter_init(&iterator, prober->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct probe_target *target = value;
        start_due(target, now);
        struct pollfd poll_fd = channel_pollfd(target->channel);
        g_array_append_val(prober->poll_fds, poll_fd);
        wake_at = MIN(wake_at, target_wake_at(target));
    }
    return wake_at;
}

/* Handles the poll events of all connections. The targets have the same order as in prepare_poll,
 * since only handle_inbox changes the table. */
static void advance_all(struct prober *prober)
{
    GHashTableIter iterator;
    gpointer value;
    time_ns now = backend_now();
    guint next = 1;
    g_hash_table_iter_init(&iterator, prober->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        short ready = g_array_index(prober->poll_fds, struct pollfd, next).revents;
        advance_target(value, ready, now);
        next++;
    }
}

/* Waits for a connection, the inbox, or the next due time; then handles the connections. */
static void run_once(struct prober *prober)
{
    time_ns now = backend_now();
    time_ns wake_at = prepare_poll(prober, now);
    poll((struct pollfd *)prober->poll_fds->data, prober->poll_fds->len,
         backend_poll_ms(wake_at, now));
    advance_all(prober);
}

static void *run(void *data)
{
    struct prober *prober = data;
    eventfd_t ignored;
    pthread_setname_np(pthread_self(), "prober");
    do {
        run_once(prober);
        eventfd_read(prober->wake_fd, &ignored);
    } while (handle_inbox(prober));
    g_hash_table_remove_all(prober->targets);
    return NULL;
}

struct prober *prober_new(const struct prober_options *options)
{
    struct prober *prober = g_new0(struct prober, 1);
    prober->options = *options;
    prober->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    prober->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, free_target);
    prober->poll_fds = g_array_new(FALSE, TRUE, sizeof(struct pollfd));
    g_queue_init(&prober->inbox);
    pthread_mutex_init(&prober->lock, NULL);
    atomic_init(&prober->interval_ms, options->interval_ms);
    pthread_create(&prober->thread, NULL, run, prober);
    return prober;
}

void prober_free(struct prober *prober)
{
    pthread_mutex_lock(&prober->lock);
    prober->stopping = true;
    pthread_mutex_unlock(&prober->lock);
    eventfd_write(prober->wake_fd, 1);
    pthread_join(prober->thread, NULL);
    g_hash_table_unref(prober->targets);
    g_array_unref(prober->poll_fds);
    close(prober->wake_fd);
    pthread_mutex_destroy(&prober->lock);
    g_free(prober);
}

static void post(struct prober *prober, struct inbox_item *item)
{
    pthread_mutex_lock(&prober->lock);
    g_queue_push_tail(&prober->inbox, item);
    pthread_mutex_unlock(&prober->lock);
    eventfd_write(prober->wake_fd, 1);
}

static struct inbox_item *new_item(enum inbox_kind kind, uint32_t group, uint32_t database)
{
    struct inbox_item *item = g_new0(struct inbox_item, 1);
    item->kind = kind;
    item->group = group;
    item->database = database;
    return item;
}

void prober_add(struct prober *prober, uint32_t group, uint32_t database,
                const struct connection_settings *settings)
{
    struct inbox_item *item = new_item(INBOX_ADD, group, database);
    connection_settings_copy(&item->settings, settings);
    post(prober, item);
}

void prober_remove(struct prober *prober, uint32_t group, uint32_t database)
{
    post(prober, new_item(INBOX_REMOVE, group, database));
}

void prober_probe_now(struct prober *prober, uint32_t group, uint32_t database)
{
    post(prober, new_item(INBOX_PROBE_NOW, group, database));
}

void prober_submit(struct prober *prober, uint32_t group, uint32_t database,
                   const struct adapter_call *call, time_ns deadline,
                   prober_command_callback callback, void *user)
{
    struct inbox_item *item = new_item(INBOX_SUBMIT, group, database);
    struct probe_command *command = g_new0(struct probe_command, 1);
    command->call = *call;
    command->call.coordinator = g_strdup(call->coordinator);
    command->call.address = g_strdup(call->address);
    command->deadline = deadline;
    command->callback = callback;
    command->user = user;
    item->command = command;
    post(prober, item);
}

void prober_set_interval(struct prober *prober, uint32_t interval_ms)
{
    atomic_store(&prober->interval_ms, interval_ms);
}
