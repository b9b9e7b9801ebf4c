/* Databases of the line format. One event loop thread serves all of them; the group's lock guards
 * all state. */
#include "standins/session_platform/line_group.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/thread.h>
#include <inttypes.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#define SLOT_WAIT_MAX_US 100000 /* a statement that would wait longer for a slot gets BUSY */

/* One committed write. */
struct entry {
    uint64_t term;
    char *thing;
    char *data;
};

struct database {
    struct line_group *group;
    unsigned index;
    char id[32];
    uint16_t port;
    struct evconnlistener *listener;
    GPtrArray *log; /* of struct entry; position = its length */
    guint applied;
    bool leads;
    uint64_t term;
    uint64_t paused;
    struct line_faults faults;
    GPtrArray *connections;
    unsigned slots;
    gint64 free_at_us[LINE_GROUP_SLOTS_MAX]; /* when each slot becomes free */
    unsigned time_factor;
};

struct connection {
    struct database *database;
    unsigned number;
    struct bufferevent *events;
    bool started;
    bool suppress_replies;
    char state;        /* I, T or E */
    bool read_write;   /* the open transaction may write */
    GPtrArray *writes; /* of struct entry, of the open transaction */
    GHashTable *values;
    GHashTable *prepared;     /* name -> "MODE shape" */
    char *tenant;             /* from the first line of the connection */
    struct event *work_timer; /* runs until the current statement ends; NULL: no statement runs */
    char *work_id;
    char *work_text;
};

struct line_group {
    GMutex lock;
    GThread *thread;
    gint serving; /* atomic: set once the loop runs, because a stop before that would have no effect
                   */
    struct event_base *base;
    char *service;
    unsigned count;
    unsigned sync_replicas;
    unsigned connections_made;
    struct database databases[LINE_GROUP_MAX];
    GPtrArray *runs;
};

static void
free_entry(gpointer data)
{
    struct entry *entry = data;
    g_free(entry->thing);
    g_free(entry->data);
    g_free(entry);
}

static void
free_run(gpointer data)
{
    struct line_run *run = data;
    g_free(run->id);
    g_free(run->tenant);
    g_free(run->text);
    g_free(run->values);
    g_free(run->shape);
    g_free(run);
}

static struct entry *
entry_new(uint64_t term, const char *thing, const char *data)
{
    struct entry *entry = g_new0(struct entry, 1);
    entry->term = term;
    entry->thing = g_strdup(thing);
    entry->data = g_strdup(data);
    return entry;
}

/* Drops the current statement. Its slot stays taken for the full time, also if the client has
 * disconnected. */
static void
clear_work(struct connection *connection)
{
    g_clear_pointer(&connection->work_timer, event_free);
    g_clear_pointer(&connection->work_id, g_free);
    g_clear_pointer(&connection->work_text, g_free);
}

static void
free_connection(struct connection *connection)
{
    clear_work(connection);
    g_ptr_array_remove(connection->database->connections, connection);
    bufferevent_free(connection->events);
    g_ptr_array_unref(connection->writes);
    g_hash_table_unref(connection->values);
    g_hash_table_unref(connection->prepared);
    g_free(connection->tenant);
    g_free(connection);
}

static void send_reply(struct connection *connection, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void
send_reply(struct connection *connection, const char *format, ...)
{
    if (connection->suppress_replies) {
        return;
    }
    va_list arguments;
    va_start(arguments, format);
    evbuffer_add_vprintf(bufferevent_get_output(connection->events), format, arguments);
    va_end(arguments);
}

static uint64_t
position_term(const struct database *database, guint length)
{
    if (length == 0) {
        return 1;
    }
    return ((struct entry *)g_ptr_array_index(database->log, length - 1))->term;
}

static void
send_ready(struct connection *connection)
{
    const struct database *database = connection->database;
    guint length = database->leads ? database->log->len : database->applied;
    send_reply(connection, "READY %c %" PRIu64 ".%u\r\n", connection->state,
               position_term(database, length), length);
}

static void
send_error(struct connection *connection, const char *code)
{
    send_reply(connection, "ERROR %s %s\r\n", code, connection->database->id);
    if (connection->state == 'T') {
        connection->state = 'E';
    }
    send_ready(connection);
}

/* Copies the primary's log to a replica, unless a fault or a pause prevents it. True if it was
 * copied. */
static bool
copy_log(struct database *replica, const struct database *primary)
{
    bool receives = replica != primary && !replica->leads && !replica->faults.no_replication &&
                    !replica->faults.down && replica->paused == 0 &&
                    replica->term <= primary->term && !primary->faults.no_replication;
    if (!receives) {
        return false;
    }
    g_ptr_array_set_size(replica->log, 0);
    for (guint i = 0; i < primary->log->len; i++) {
        const struct entry *entry = g_ptr_array_index(primary->log, i);
        g_ptr_array_add(replica->log, entry_new(entry->term, entry->thing, entry->data));
    }
    replica->term = primary->term;
    if (!replica->faults.lagging) {
        replica->applied = replica->log->len;
    }
    return true;
}

static unsigned
replicate(struct database *primary)
{
    unsigned received = 0;
    for (unsigned i = 0; i < primary->group->count; i++) {
        received += copy_log(&primary->group->databases[i], primary);
    }
    return received;
}

/* Commits the connection's writes. False if fewer replicas than required received them: then the
 * client must get no reply. */
static bool
commit(struct connection *connection)
{
    struct database *database = connection->database;
    if (connection->writes->len == 0) {
        return true;
    }
    for (guint i = 0; i < connection->writes->len; i++) {
        const struct entry *entry = g_ptr_array_index(connection->writes, i);
        g_ptr_array_add(database->log, entry_new(database->term, entry->thing, entry->data));
    }
    g_ptr_array_set_size(connection->writes, 0);
    return replicate(database) >= database->group->sync_replicas;
}

static const char *
find_value(const struct database *database, const char *thing)
{
    guint length = database->leads ? database->log->len : database->applied;
    if (strcmp(thing, "service") == 0) {
        return database->group->service;
    }
    for (guint i = length; i > 0; i--) {
        const struct entry *entry = g_ptr_array_index(database->log, i - 1);
        if (strcmp(entry->thing, thing) == 0) {
            return entry->data;
        }
    }
    return "none";
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

static char *
values_text(GHashTable *values)
{
    GString *text = g_string_new(NULL);
    GList *names = g_list_sort(g_hash_table_get_keys(values), compare_names);
    for (GList *name = names; name != NULL; name = name->next) {
        const char *value = g_hash_table_lookup(values, name->data);
        g_string_append_printf(text, "%s=%s;", (const char *)name->data, value);
    }
    g_list_free(names);
    return g_string_free(text, FALSE);
}

static void
record_run(struct connection *connection, const char *id, const char *text, const char *shape)
{
    struct line_run *run = g_new0(struct line_run, 1);
    run->database = connection->database->index;
    run->connection = connection->number;
    run->id = g_strdup(id);
    run->tenant = g_strdup(connection->tenant);
    run->text = g_strdup(text);
    run->values = values_text(connection->values);
    run->shape = g_strdup(shape);
    run->at_us = g_get_monotonic_time();
    g_ptr_array_add(connection->database->group->runs, run);
}

static void
finish_statement(struct connection *connection, const char *id)
{
    if (connection->database->faults.lose_answers) {
        connection->suppress_replies = true;
    }
    if (!connection->database->faults.no_completion) {
        send_reply(connection, "COMPLETE signature-%s\r\n", id);
    }
    send_ready(connection);
}

static void
run_read(struct connection *connection, const char *id, const char *text, const char *shape,
         const char *thing)
{
    record_run(connection, id, text, shape);
    send_reply(connection, "ROW %s\r\n", find_value(connection->database, thing));
    finish_statement(connection, id);
}

static void
run_write(struct connection *connection, const char *id, const char *text, const char *shape,
          const char *thing, const char *data)
{
    if (!connection->database->leads) {
        send_error(connection, "READONLY");
        return;
    }
    record_run(connection, id, text, shape);
    g_ptr_array_add(connection->writes, entry_new(0, thing, data));
    if (connection->state == 'I' && !commit(connection)) {
        connection->suppress_replies = true;
    }
    finish_statement(connection, id);
}

static void
run_execute(struct connection *connection, const char *id, const char *text, char **words)
{
    const char *shape =
        words[1] == NULL ? NULL : g_hash_table_lookup(connection->prepared, words[1]);
    if (shape == NULL) {
        send_error(connection, "NOSTMT");
    } else if (g_str_has_prefix(shape, "WRITE")) {
        run_write(connection, id, text, shape, words[2], words[3] == NULL ? "" : words[3]);
    } else {
        run_read(connection, id, text, shape, words[2]);
    }
}

static void
run_begin(struct connection *connection, bool read_only)
{
    if (!read_only && !connection->database->leads) {
        send_error(connection, "READONLY");
        return;
    }
    connection->state = 'T';
    connection->read_write = !read_only;
    send_reply(connection, "COMPLETE -\r\n");
    send_ready(connection);
}

static void
run_end(struct connection *connection, const char *id, const char *text, bool commits)
{
    bool failed = connection->state != 'T';
    connection->state = 'I';
    if (!commits || failed) {
        g_ptr_array_set_size(connection->writes, 0);
        send_reply(connection, "COMPLETE -\r\n");
        send_ready(connection);
        return;
    }
    record_run(connection, id, text, "");
    if (!commit(connection)) {
        connection->suppress_replies = true;
    }
    finish_statement(connection, id);
}

static void
send_status(struct connection *connection)
{
    const struct database *database = connection->database;
    guint length = database->log->len;
    send_reply(connection, "ROW %s %" PRIu64 " %" PRIu64 ".%u %" PRIu64 " 0 0 %u\r\nCOMPLETE -\r\n",
               database->leads ? "primary" : "replica", database->term,
               position_term(database, length), length, database->paused,
               database->connections->len);
    send_ready(connection);
}

static void
run_control(struct connection *connection, char **words)
{
    struct database *database = connection->database;
    const char *word = words[0] == NULL ? "" : words[0];
    uint64_t term = words[0] == NULL || words[1] == NULL ? 0 : g_ascii_strtoull(words[1], NULL, 10);
    if (strcmp(word, "PAUSE") == 0 && !database->leads && term > database->term) {
        database->paused = term;
    } else if (strcmp(word, "RESUME") == 0) {
        database->paused = 0;
    } else if (strcmp(word, "STEPDOWN") == 0 && database->term < term) {
        database->leads = false;
    }
    send_status(connection);
}

static void
send_complete(struct connection *connection)
{
    send_reply(connection, "COMPLETE -\r\n");
    send_ready(connection);
}

static bool
is_behind(const struct database *database, const char *position)
{
    char *rest = NULL;
    uint64_t term = g_ascii_strtoull(position, &rest, 10);
    uint64_t number = g_ascii_strtoull(rest + 1, NULL, 10);
    guint length = database->leads ? database->log->len : database->applied;
    uint64_t held = position_term(database, length);
    return held < term || (held == term && length < number);
}

static void
run_statement(struct connection *connection, const char *id, const char *text)
{
    g_auto(GStrv) words = g_strsplit(text, " ", 5);
    const char *word = words[0] == NULL ? "" : words[0];
    if (strcmp(word, "AFTER") == 0) {
        const char *rest = strchr(strchr(text, ' ') + 1, ' ') + 1;
        if (is_behind(connection->database, words[1])) {
            send_error(connection, "LAGGING");
        } else {
            run_statement(connection, id, rest);
        }
    } else if (connection->state == 'E' && strcmp(word, "ROLLBACK") != 0 &&
               strcmp(word, "COMMIT") != 0) {
        send_error(connection, "MALFORMED");
    } else if (strcmp(word, "READ") == 0) {
        run_read(connection, id, text, "", words[1]);
    } else if (strcmp(word, "WRITE") == 0) {
        run_write(connection, id, text, "", words[1], words[2] == NULL ? "" : words[2]);
    } else if (strcmp(word, "EXECUTE") == 0) {
        run_execute(connection, id, text, words);
    } else if (strcmp(word, "BEGIN") == 0) {
        run_begin(connection, words[1] != NULL);
    } else if (strcmp(word, "COMMIT") == 0 || strcmp(word, "ROLLBACK") == 0) {
        run_end(connection, id, text, word[0] == 'C');
    } else if (strcmp(word, "SET") == 0) {
        const char *name = text + strlen("SET ");
        const char *value = strchr(name, ' ') + 1;
        g_hash_table_replace(connection->values, g_strdup(words[1]), g_strdup(value));
        send_complete(connection);
    } else if (strcmp(word, "PREPARE") == 0) {
        char *shape = g_strdup_printf("%s %s", words[2], words[3]);
        g_hash_table_replace(connection->prepared, g_strdup(words[1]), shape);
        send_complete(connection);
    } else if (strcmp(word, "RESET") == 0) {
        g_hash_table_remove_all(connection->values);
        g_hash_table_remove_all(connection->prepared);
        send_complete(connection);
    } else if (strcmp(word, "STATUS") == 0) {
        send_status(connection);
    } else {
        run_control(connection, words);
    }
}

static void
start(struct connection *connection, char **words)
{
    struct database *database = connection->database;
    bool valid = words[1] != NULL && strcmp(words[1], database->group->service) == 0 &&
                 (words[2] == NULL || words[3] == NULL || strcmp(words[3], database->id) == 0);
    connection->started = valid;
    connection->tenant = g_strdup(words[1] == NULL ? NULL : words[2]);
    if (valid) {
        send_ready(connection);
    } else {
        send_reply(connection, "ERROR MISROUTED %s\r\n", database->id);
    }
}

static void handle_lines(struct connection *connection);

static void
on_work_timer(evutil_socket_t socket, short events, void *user)
{
    struct connection *connection = user;
    struct line_group *group = connection->database->group;
    g_mutex_lock(&group->lock);
    g_autofree char *id = g_steal_pointer(&connection->work_id);
    g_autofree char *text = g_steal_pointer(&connection->work_text);
    clear_work(connection);
    run_statement(connection, id, text);
    handle_lines(connection);
    g_mutex_unlock(&group->lock);
}

/* The slot that becomes free earliest. */
static gint64 *
find_slot(struct database *database)
{
    gint64 *earliest = &database->free_at_us[0];
    for (unsigned i = 1; i < database->slots; i++) {
        earliest = database->free_at_us[i] < *earliest ? &database->free_at_us[i] : earliest;
    }
    return earliest;
}

/* Runs a statement: at once, or, if its text names a duration, after it has held a slot for that
 * time. */
static void
schedule_statement(struct connection *connection, const char *id, const char *text)
{
    struct database *database = connection->database;
    const char *duration = strchr(text, '@');
    gint64 work_us =
        duration == NULL ? 0 : (gint64)atoi(duration + 1) * 1000 * database->time_factor;
    gint64 now = g_get_monotonic_time();
    gint64 *slot = find_slot(database);
    if (work_us == 0) {
        run_statement(connection, id, text);
    } else if (*slot > now + SLOT_WAIT_MAX_US) {
        send_error(connection, "BUSY");
    } else {
        *slot = MAX(*slot, now) + work_us;
        const struct timeval delay = {(*slot - now) / G_USEC_PER_SEC,
                                      (*slot - now) % G_USEC_PER_SEC};
        connection->work_id = g_strdup(id);
        connection->work_text = g_strdup(text);
        connection->work_timer = evtimer_new(database->group->base, on_work_timer, connection);
        evtimer_add(connection->work_timer, &delay);
    }
}

static void
handle_line(struct connection *connection, const char *line)
{
    const struct database *database = connection->database;
    g_auto(GStrv) words = g_strsplit(line, " ", 4);
    if (database->faults.unresponsive) {
        return;
    }
    if (!connection->started) {
        start(connection, words);
    } else if (strcmp(words[0], "QUERY") == 0 && words[1] != NULL) {
        const char *text = strchr(line + strlen("QUERY "), ' ') + 1;
        bool internal = strcmp(words[1], "-") == 0;
        if (!internal) {
            g_usleep(database->faults.slow_ms * 1000);
        }
        if (database->faults.busy && !internal) {
            send_error(connection, "BUSY");
        } else {
            schedule_statement(connection, words[1], text);
        }
    }
}

/* Handles the lines received so far. Lines behind a statement that still runs stay in the buffer.
 */
static void
handle_lines(struct connection *connection)
{
    struct evbuffer *input = bufferevent_get_input(connection->events);
    char *line = NULL;
    while (connection->work_timer == NULL &&
           (line = evbuffer_readln(input, NULL, EVBUFFER_EOL_CRLF_STRICT)) != NULL) {
        handle_line(connection, line);
        free(line);
    }
}

static void
on_read(struct bufferevent *events, void *user)
{
    struct connection *connection = user;
    struct line_group *group = connection->database->group;
    g_mutex_lock(&group->lock);
    handle_lines(connection);
    g_mutex_unlock(&group->lock);
}

static void
on_event(struct bufferevent *events, short what, void *user)
{
    struct connection *connection = user;
    struct line_group *group = connection->database->group;
    g_mutex_lock(&group->lock);
    free_connection(connection);
    g_mutex_unlock(&group->lock);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t socket, struct sockaddr *address,
          int length, void *user)
{
    struct database *database = user;
    g_mutex_lock(&database->group->lock);
    bool full = database->faults.connection_limit != 0 &&
                database->connections->len >= database->faults.connection_limit;
    if (database->faults.down || full) {
        evutil_closesocket(socket);
        g_mutex_unlock(&database->group->lock);
        return;
    }
    struct connection *connection = g_new0(struct connection, 1);
    connection->database = database;
    connection->number = ++database->group->connections_made;
    connection->state = 'I';
    connection->writes = g_ptr_array_new_with_free_func(free_entry);
    connection->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    connection->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    connection->events = bufferevent_socket_new(database->group->base, socket,
                                                BEV_OPT_CLOSE_ON_FREE | BEV_OPT_THREADSAFE);
    bufferevent_setcb(connection->events, on_read, NULL, on_event, connection);
    bufferevent_enable(connection->events, EV_READ | EV_WRITE);
    g_ptr_array_add(database->connections, connection);
    g_mutex_unlock(&database->group->lock);
}

static void
listen_database(struct database *database)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof address;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    database->listener =
        evconnlistener_new_bind(database->group->base, on_accept, database,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_THREADSAFE, -1,
                                (struct sockaddr *)&address, sizeof address);
    g_assert_nonnull(database->listener);
    getsockname(evconnlistener_get_fd(database->listener), (struct sockaddr *)&address, &length);
    database->port = ntohs(address.sin_port);
}

static void
on_serving(evutil_socket_t socket, short events, void *user)
{
    struct line_group *group = user;
    g_atomic_int_set(&group->serving, 1);
}

/* Waits until the loop runs: a stop before that would have no effect. */
static void
wait_until_serving(struct line_group *group)
{
    while (g_atomic_int_get(&group->serving) == 0) {
        g_usleep(1000);
    }
}

static gpointer
serve(gpointer user)
{
    struct line_group *group = user;
    const struct timeval now = {0, 0};
    event_base_once(group->base, -1, EV_TIMEOUT, on_serving, group, &now);
    event_base_loop(group->base, EVLOOP_NO_EXIT_ON_EMPTY);
    return NULL;
}

struct line_group *
line_group_start(const char *service, unsigned count, unsigned sync_replicas)
{
    evthread_use_pthreads();
    struct line_group *group = g_new0(struct line_group, 1);
    g_mutex_init(&group->lock);
    group->base = event_base_new();
    group->service = g_strdup(service);
    group->count = count;
    group->sync_replicas = sync_replicas;
    group->runs = g_ptr_array_new_with_free_func(free_run);
    for (unsigned i = 0; i < count; i++) {
        struct database *database = &group->databases[i];
        database->group = group;
        database->index = i;
        database->term = 1;
        database->leads = i == 0;
        database->slots = LINE_GROUP_SLOTS;
        database->time_factor = 1;
        database->log = g_ptr_array_new_with_free_func(free_entry);
        database->connections = g_ptr_array_new();
        g_snprintf(database->id, sizeof database->id, "%s-%u", service, i);
        listen_database(database);
    }
    group->thread = g_thread_new("line-group", serve, group);
    wait_until_serving(group);
    return group;
}

static void
close_connections(struct database *database)
{
    while (database->connections->len > 0) {
        free_connection(g_ptr_array_steal_index_fast(database->connections, 0));
    }
}

void
line_group_stop(struct line_group *group)
{
    event_base_loopbreak(group->base);
    g_thread_join(group->thread);
    for (unsigned i = 0; i < group->count; i++) {
        close_connections(&group->databases[i]);
        evconnlistener_free(group->databases[i].listener);
        g_ptr_array_unref(group->databases[i].log);
        g_ptr_array_unref(group->databases[i].connections);
    }
    g_ptr_array_unref(group->runs);
    event_base_free(group->base);
    g_mutex_clear(&group->lock);
    g_free(group->service);
    g_free(group);
}

const char *
line_group_id(const struct line_group *group, unsigned database)
{
    return group->databases[database].id;
}

uint16_t
line_group_port(const struct line_group *group, unsigned database)
{
    return group->databases[database].port;
}

/* A call that a test's thread has the loop's thread run. libevent holds a connection's own lock
 * around the connection's callbacks, and these take the group's lock. A thread that held the
 * group's lock while it touched a connection would deadlock with them. */
typedef struct loop_call {
    struct line_group *group;
    void (*action)(struct line_group *group, void *user);
    void *user;
    gint done;
} loop_call_t;

static void
on_call(evutil_socket_t socket, short events, void *user)
{
    loop_call_t *call = user;
    g_mutex_lock(&call->group->lock);
    call->action(call->group, call->user);
    g_mutex_unlock(&call->group->lock);
    g_atomic_int_set(&call->done, 1);
}

static void
call_in_loop(struct line_group *group, void (*action)(struct line_group *group, void *user),
             void *user)
{
    loop_call_t call = {group, action, user, 0};
    const struct timeval now = {0, 0};
    event_base_once(group->base, -1, EV_TIMEOUT, on_call, &call, &now);
    while (g_atomic_int_get(&call.done) == 0) {
        g_usleep(100);
    }
}

typedef struct fault_change {
    unsigned database;
    const struct line_faults *faults;
} fault_change_t;

static void
change_faults(struct line_group *group, void *user)
{
    const fault_change_t *change = user;
    struct database *changed = &group->databases[change->database];
    changed->faults = *change->faults;
    if (changed->faults.down) {
        close_connections(changed);
    }
    for (unsigned i = 0; i < group->count; i++) {
        if (group->databases[i].leads && !group->databases[i].faults.down) {
            replicate(&group->databases[i]);
        }
    }
}

void
line_group_set_faults(struct line_group *group, unsigned database, const struct line_faults *faults)
{
    fault_change_t change = {database, faults};
    call_in_loop(group, change_faults, &change);
}

static void
lose_log(struct line_group *group, void *user)
{
    struct database *database = &group->databases[*(const unsigned *)user];
    close_connections(database);
    g_ptr_array_set_size(database->log, 0);
    database->applied = 0;
    database->paused = 0;
}

void
line_group_lose_log(struct line_group *group, unsigned database)
{
    call_in_loop(group, lose_log, &database);
}

void
line_group_set_slots(struct line_group *group, unsigned database, unsigned slots,
                     unsigned time_factor)
{
    g_mutex_lock(&group->lock);
    group->databases[database].slots = CLAMP(slots, 1, LINE_GROUP_SLOTS_MAX);
    group->databases[database].time_factor = time_factor;
    g_mutex_unlock(&group->lock);
}

bool
line_group_leads(struct line_group *group, unsigned database)
{
    g_mutex_lock(&group->lock);
    bool leads = group->databases[database].leads;
    g_mutex_unlock(&group->lock);
    return leads;
}

uint64_t
line_group_term(struct line_group *group, unsigned database)
{
    g_mutex_lock(&group->lock);
    uint64_t term = group->databases[database].term;
    g_mutex_unlock(&group->lock);
    return term;
}

uint64_t
line_group_paused(struct line_group *group, unsigned database)
{
    g_mutex_lock(&group->lock);
    uint64_t paused = group->databases[database].paused;
    g_mutex_unlock(&group->lock);
    return paused;
}

typedef struct promotion {
    const char *id;
    bool succeeded;
} promotion_t;

static void
promote(struct line_group *group, void *user)
{
    promotion_t *promotion = user;
    uint64_t newest = 0;
    for (unsigned i = 0; i < group->count; i++) {
        newest = MAX(newest, group->databases[i].term);
    }
    for (unsigned i = 0; i < group->count; i++) {
        struct database *database = &group->databases[i];
        if (strcmp(database->id, promotion->id) != 0 || database->faults.down) {
            continue;
        }
        promotion->succeeded = true;
        if (!database->leads) {
            database->leads = true;
            database->term = newest + 1;
            database->paused = 0;
            database->applied = database->log->len;
            replicate(database);
        }
    }
}

bool
line_group_promote(struct line_group *group, const char *id)
{
    promotion_t promotion = {id, false};
    call_in_loop(group, promote, &promotion);
    return promotion.succeeded;
}

void
line_group_demote(struct line_group *group, unsigned database)
{
    g_mutex_lock(&group->lock);
    group->databases[database].leads = false;
    g_mutex_unlock(&group->lock);
}

static gpointer
copy_run(gconstpointer data, gpointer user)
{
    const struct line_run *run = data;
    struct line_run *copy = g_new0(struct line_run, 1);
    copy->database = run->database;
    copy->connection = run->connection;
    copy->id = g_strdup(run->id);
    copy->tenant = g_strdup(run->tenant);
    copy->text = g_strdup(run->text);
    copy->values = g_strdup(run->values);
    copy->shape = g_strdup(run->shape);
    copy->at_us = run->at_us;
    return copy;
}

GPtrArray *
line_group_runs(struct line_group *group)
{
    g_mutex_lock(&group->lock);
    GPtrArray *copy = g_ptr_array_copy(group->runs, copy_run, NULL);
    g_mutex_unlock(&group->lock);
    g_ptr_array_set_free_func(copy, free_run);
    return copy;
}

/* The database that leads the newest term. The caller holds the lock. */
static const struct database *
find_leader(const struct line_group *group)
{
    const struct database *leader = &group->databases[0];
    for (unsigned i = 0; i < group->count; i++) {
        const struct database *database = &group->databases[i];
        if (database->leads && database->term >= leader->term) {
            leader = database;
        }
    }
    return leader;
}

const char *
line_group_leader(struct line_group *group)
{
    g_mutex_lock(&group->lock);
    const char *id = find_leader(group)->id;
    g_mutex_unlock(&group->lock);
    return id;
}

static void
dump_line(FILE *out, const char *kind, json_t *object)
{
    json_t *line = json_pack("{s:o}", kind, object);
    char *text = json_dumps(line, JSON_COMPACT);
    fprintf(out, "%s\n", text);
    free(text);
    json_decref(line);
}

void
line_group_dump(struct line_group *group, FILE *out)
{
    g_mutex_lock(&group->lock);
    const struct database *leader = find_leader(group);
    for (guint i = 0; i < group->runs->len; i++) {
        const struct line_run *run = g_ptr_array_index(group->runs, i);
        dump_line(out, "run",
                  json_pack("{s:s, s:i, s:i, s:s, s:s, s:s, s:s, s:s?, s:f}", "service",
                            group->service, "database", (int)run->database, "connection",
                            (int)run->connection, "id", run->id, "text", run->text, "values",
                            run->values, "shape", run->shape, "tenant", run->tenant, "at",
                            (double)run->at_us / 1e6));
    }
    for (guint i = 0; i < leader->log->len; i++) {
        const struct entry *entry = g_ptr_array_index(leader->log, i);
        dump_line(out, "commit",
                  json_pack("{s:s, s:I, s:s, s:s}", "service", group->service, "term",
                            (json_int_t)entry->term, "thing", entry->thing, "data", entry->data));
    }
    g_mutex_unlock(&group->lock);
}

unsigned
line_group_committed(struct line_group *group, const char *thing, const char *data)
{
    unsigned count = 0;
    g_mutex_lock(&group->lock);
    const struct database *leader = find_leader(group);
    for (guint i = 0; i < leader->log->len; i++) {
        const struct entry *entry = g_ptr_array_index(leader->log, i);
        count += strcmp(entry->thing, thing) == 0 && strcmp(entry->data, data) == 0;
    }
    g_mutex_unlock(&group->lock);
    return count;
}

unsigned
line_group_connections(struct line_group *group, unsigned database)
{
    g_mutex_lock(&group->lock);
    unsigned count = group->databases[database].connections->len;
    g_mutex_unlock(&group->lock);
    return count;
}
