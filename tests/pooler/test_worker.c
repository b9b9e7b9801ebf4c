/* A worker with its sessions, connections and routing, against stand-in databases: clients speak
 * the line format over loopback, and the test publishes the views that the control thread would. */
#include "pooler/worker.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu-bp.h>

#include "backend/clock.h"
#include "pooler/view.h"
#include "free_port.h"
#include "standins/session_platform/line_group.h"

#define DATABASES      3
#define ANSWER_WAIT_S  10
#define MS             NANOSECONDS_PER_MILLISECOND
#define PERMIT_FOREVER UINT64_MAX

struct fixture {
    struct line_group *group;
    struct worker_shared shared;
    struct worker *worker;
    struct group_shared *figures;
    struct member_shared *members[DATABASES];
    uint64_t epoch;
    int primary;
    uint64_t term;
    enum group_phase phase;
    uint32_t connections;
    uint32_t staleness_ms;
    uint32_t timeout_ms;
    bool with_route;
};

static void
add_route(struct configuration *configuration, const char *database, enum route_kind kind,
          const struct fixture *fixture)
{
    struct route *route = g_new0(struct route, 1);
    route->database = g_strdup(database);
    route->service = g_strdup("ledger");
    route->kind = kind;
    route->timeout_ms = fixture->timeout_ms;
    route->target_ms = 250;
    route->staleness_ms = fixture->staleness_ms;
    configuration_add_route(configuration, route);
}

static struct configuration *
make_configuration(const struct fixture *fixture)
{
    struct configuration *configuration = configuration_new();
    configuration->version = 1;
    configuration->transaction_idle_ms = 60000;
    configuration_add_service(configuration, "ledger", 30, 1);
    if (fixture->with_route) {
        add_route(configuration, "strict", ROUTE_KIND_PRIMARY, fixture);
        add_route(configuration, "stale", ROUTE_KIND_BOUNDED_STALENESS, fixture);
        add_route(configuration, "own", ROUTE_KIND_READ_YOUR_WRITES, fixture);
    }
    return configuration;
}

static void
fill_member(const struct fixture *fixture, unsigned index, struct member_view *member)
{
    member->shared = fixture->members[index];
    member->address.sin_family = AF_INET;
    member->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    member->address.sin_port = htons(line_group_port(fixture->group, index));
    member->same_zone = index == 1;
    member->takes_work = true;
}

static void
publish(struct fixture *fixture)
{
    struct view *view = g_new0(struct view, 1);
    view->configuration = make_configuration(fixture);
    view->groups = g_new0(struct pooled_group, 1);
    view->groups_count = 1;
    view->groups[0] = (struct pooled_group){
        .shared = fixture->figures,
        .epoch = ++fixture->epoch,
        .phase = fixture->phase,
        .term = fixture->term,
        .primary = fixture->primary,
        .sync_replicas = 1,
        .connections = fixture->connections,
        .members = g_new0(struct member_view, DATABASES),
        .members_count = DATABASES,
    };
    for (unsigned i = 0; i < DATABASES; i++) {
        fill_member(fixture, i, &view->groups[0].members[i]);
    }
    struct view *old = rcu_xchg_pointer(&fixture->shared.view, view);
    worker_wake(fixture->worker);
    synchronize_rcu();
    view_free(old);
}

static void
permit(struct fixture *fixture, time_ns until)
{
    atomic_store(&fixture->figures->permit_until, until);
}

static void
set_up_unpublished(struct fixture *fixture, gconstpointer unused)
{
    fixture->group = line_group_start("ledger", DATABASES, 1);
    fixture->shared.control_wake = eventfd(0, EFD_NONBLOCK);
    fixture->shared.listen.sin_family = AF_INET;
    fixture->shared.listen.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    fixture->shared.listen.sin_port = htons(free_port());
    fixture->shared.sessions_max = 100;
    fixture->shared.stop_grace = 6 * NANOSECONDS_PER_SECOND;
    fixture->figures = g_new0(struct group_shared, 1);
    fixture->figures->service = g_strdup("ledger");
    fixture->phase = GROUP_PHASE_OPEN;
    fixture->term = 1;
    fixture->connections = 4;
    fixture->staleness_ms = 60000;
    fixture->timeout_ms = 4000;
    fixture->with_route = true;
    for (unsigned i = 0; i < DATABASES; i++) {
        fixture->members[i] = g_new0(struct member_shared, 1);
        fixture->members[i]->id = g_strdup(line_group_id(fixture->group, i));
    }
    g_autoptr(GError) error = NULL;
    fixture->worker = worker_start(&fixture->shared, 0, &error);
    g_assert_no_error(error);
}

static void
set_up(struct fixture *fixture, gconstpointer unused)
{
    set_up_unpublished(fixture, unused);
    permit(fixture, PERMIT_FOREVER);
    publish(fixture);
}

static void
tear_down(struct fixture *fixture, gconstpointer unused)
{
    fixture->shared.stop_grace = 0;
    atomic_store(&fixture->shared.stop_at, backend_now());
    worker_wake(fixture->worker);
    worker_join(fixture->worker);
    line_group_stop(fixture->group);
    view_free(fixture->shared.view);
    for (unsigned i = 0; i < DATABASES; i++) {
        g_free(fixture->members[i]->id);
        g_free(fixture->members[i]);
    }
    g_free(fixture->figures->service);
    g_free(fixture->figures);
    close(fixture->shared.control_wake);
}

/* ---- a client ---- */

struct client {
    FILE *stream;
    unsigned next_id;
    char line[4096];
    char row[4096];    /* of the last answer */
    char result[4096]; /* its COMPLETE or ERROR line */
    char state;        /* of its READY */
};

static void
send_line(struct client *client, const char *line)
{
    size_t length = strlen(line);
    g_assert_cmpint(send(fileno(client->stream), line, length, MSG_NOSIGNAL), ==, (ssize_t)length);
}

/* Connects without waiting for an answer. */
static struct client *
client_begin(const struct fixture *fixture, const char *database)
{
    struct client *client = g_new0(struct client, 1);
    struct timeval patience = {ANSWER_WAIT_S, 0};
    int handle = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(connect(handle, (const struct sockaddr *)&fixture->shared.listen,
                            sizeof fixture->shared.listen),
                    ==, 0);
    setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    client->stream = fdopen(handle, "r");
    g_autofree char *start = g_strdup_printf("STARTUP %s user\r\n", database);
    send_line(client, start);
    return client;
}

/* Reads one answer up to READY, or up to a final error. */
static void
client_read(struct client *client)
{
    client->row[0] = '\0';
    client->result[0] = '\0';
    client->state = '-';
    while (fgets(client->line, sizeof client->line, client->stream) != NULL) {
        g_strchomp(client->line);
        if (g_str_has_prefix(client->line, "ROW ")) {
            g_strlcpy(client->row, client->line + 4, sizeof client->row);
        } else if (g_str_has_prefix(client->line, "READY ")) {
            client->state = client->line[6];
            return;
        } else {
            g_strlcpy(client->result, client->line, sizeof client->result);
        }
    }
}

static struct client *
client_open(const struct fixture *fixture, const char *database)
{
    struct client *client = client_begin(fixture, database);
    client_read(client);
    g_assert_true(client->state == 'I');
    return client;
}

static void
client_close(struct client *client)
{
    fclose(client->stream);
    g_free(client);
}

static void
client_send(struct client *client, const char *text)
{
    g_autofree char *line =
        g_strdup_printf("QUERY q%p-%u %s\r\n", (void *)client, ++client->next_id, text);
    send_line(client, line);
}

static void
ask(struct client *client, const char *text)
{
    client_send(client, text);
    client_read(client);
}

/* Asks and expects success in this state. */
static void
good(struct client *client, const char *text, char state)
{
    ask(client, text);
    g_assert_cmpstr(client->line, !=, "");
    if (!g_str_has_prefix(client->result, "COMPLETE ")) {
        g_test_message("%s: %s", text, client->result);
    }
    g_assert_true(g_str_has_prefix(client->result, "COMPLETE "));
    g_assert_true(client->state == state);
}

static void
bad(struct client *client, const char *text, const char *code, char state)
{
    ask(client, text);
    g_autofree char *start = g_strdup_printf("ERROR %s", code);
    if (!g_str_has_prefix(client->result, start)) {
        g_test_message("%s: %s", text, client->result);
    }
    g_assert_true(g_str_has_prefix(client->result, start));
    g_assert_true(client->state == state);
}

static const struct line_run *
find_run(GPtrArray *runs, const char *text)
{
    for (guint i = runs->len; i > 0; i--) {
        const struct line_run *run = g_ptr_array_index(runs, i - 1);
        if (strstr(run->text, text) != NULL) {
            return run;
        }
    }
    g_error("no database ran %s", text);
}

/* ---- scenarios ---- */

static void
test_start_waits_for_the_first_view(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_begin(fixture, "strict");
    g_usleep(50000);
    permit(fixture, PERMIT_FOREVER);
    publish(fixture);
    client_read(client);
    g_assert_true(client->state == 'I');
    good(client, "WRITE hut 4", 'I');
    client_close(client);
}

static void
test_unknown_database(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_begin(fixture, "nowhere");
    client_read(client);
    g_assert_true(g_str_has_prefix(client->result, "ERROR NODB"));
    g_assert_null(fgets(client->line, sizeof client->line, client->stream));
    client_close(client);
}

static void
test_removed_route(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    good(client, "BEGIN", 'T');
    good(client, "WRITE hut 4", 'T');
    fixture->with_route = false;
    publish(fixture);
    while (atomic_load(&fixture->figures->workers[0].epoch) != fixture->epoch) {
        g_usleep(1000);
    }
    good(client, "COMMIT", 'I'); /* a route binds for the whole transaction */
    bad(client, "READ hut", "NODB", 'I');
    client_close(client);
}

static void
test_reads_see_writes(struct fixture *fixture, gconstpointer unused)
{
    struct client *writer = client_open(fixture, "strict");
    struct client *reader = client_open(fixture, "strict");
    good(writer, "WRITE hut 4", 'I');
    good(reader, "READ hut", 'I');
    g_assert_cmpstr(reader->row, ==, "4");
    client_close(writer);
    client_close(reader);
}

static void
test_input_in_pieces_and_ahead(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    send_line(client, "QUERY a1 WRITE hut 1\r\nQUERY a2 READ hut\r\nQUERY a3 RE");
    client_read(client);
    client_read(client);
    g_assert_cmpstr(client->row, ==, "1");
    send_line(client, "AD hut\r\n");
    client_read(client);
    g_assert_cmpstr(client->row, ==, "1");
    g_assert_cmpstr(client->result, ==, "COMPLETE signature-a3");
    client_close(client);
}

/* Names clash between sessions, and one connection serves both. */
static void
test_prepared_names_and_values(struct fixture *fixture, gconstpointer unused)
{
    struct client *a = client_open(fixture, "strict");
    struct client *b = client_open(fixture, "strict");
    good(a, "SET colour red", 'I');
    good(a, "PREPARE s1 WRITE shape-a", 'I');
    good(b, "PREPARE s1 READ shape-b", 'I');
    good(b, "SET size 9", 'I');
    for (int i = 0; i < 3; i++) {
        good(a, "EXECUTE s1 hut first", 'I');
        good(b, "EXECUTE s1 hut", 'I');
        g_assert_cmpstr(b->row, ==, "first");
    }
    good(b, "READ plain", 'I');
    g_autoptr(GPtrArray) runs = line_group_runs(fixture->group);
    for (guint i = 0; i < runs->len; i++) {
        const struct line_run *run = g_ptr_array_index(runs, i);
        bool from_a = strstr(run->text, "first") != NULL;
        g_assert_cmpstr(run->values, ==, from_a ? "colour=red;" : "size=9;");
        if (strstr(run->text, "EXECUTE") != NULL) {
            g_assert_cmpstr(run->shape, ==, from_a ? "WRITE shape-a" : "READ shape-b");
        }
    }
    client_close(a);
    client_close(b);
}

static void
test_unknown_prepared_name(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    good(client, "PREPARE s1 READ shape", 'I');
    good(client, "DEALLOCATE s1", 'I');
    bad(client, "EXECUTE s1 hut", "NOSTMT", 'I');
    client_close(client);
}

static void
test_transaction_stays_on_its_connection(struct fixture *fixture, gconstpointer unused)
{
    struct client *a = client_open(fixture, "strict");
    struct client *b = client_open(fixture, "strict");
    good(a, "BEGIN", 'T');
    good(a, "WRITE hut in-a", 'T');
    good(b, "WRITE inn in-b", 'I');
    good(b, "READ hut", 'I');
    g_assert_cmpstr(b->row, ==, "none");
    good(a, "WRITE hut in-a-again", 'T');
    good(a, "COMMIT", 'I');
    good(b, "READ hut", 'I');
    g_assert_cmpstr(b->row, ==, "in-a-again");
    g_autoptr(GPtrArray) runs = line_group_runs(fixture->group);
    unsigned connection = find_run(runs, "in-a-again")->connection;
    g_assert_cmpuint(find_run(runs, "COMMIT")->connection, ==, connection);
    g_assert_cmpuint(find_run(runs, "in-b")->connection, !=, connection);
    client_close(a);
    client_close(b);
}

static void
test_rollback_and_client_gone(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    good(client, "BEGIN", 'T');
    good(client, "WRITE hut rolled-back", 'T');
    good(client, "ROLLBACK", 'I');
    good(client, "BEGIN", 'T');
    good(client, "WRITE hut gone", 'T');
    client_close(client);
    client = client_open(fixture, "strict");
    good(client, "READ hut", 'I');
    g_assert_cmpstr(client->row, ==, "none");
    good(client, "WRITE hut kept", 'I');
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "gone"), ==, 0);
    client_close(client);
}

static void
test_transaction_errors(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    bad(client, "COMMIT", "MALFORMED", 'I');
    bad(client, "ROLLBACK", "MALFORMED", 'I');
    bad(client, "NONSENSE", "MALFORMED", 'I');
    good(client, "BEGIN", 'T');
    bad(client, "BEGIN", "MALFORMED", 'T');
    good(client, "ROLLBACK", 'I');
    client_close(client);
}

/* The write was run once and its answer lost: the client is told that its end is not known. */
static void
test_lost_answer_of_a_write(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    good(client, "READ warm", 'I');
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.lose_answers = true});
    fixture->timeout_ms = 400;
    publish(fixture);
    bad(client, "WRITE hut lost", "INDOUBT", 'I');
    line_group_set_faults(fixture->group, 0, &(struct line_faults){0});
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "lost"), ==, 1);
    client_close(client);
}

static void
test_read_moves_away_from_a_silent_database(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "stale");
    struct client *writer = client_open(fixture, "strict");
    good(writer, "WRITE hut 4", 'I');
    good(client, "READ hut", 'I');
    line_group_set_faults(fixture->group, 1, &(struct line_faults){.silent = true});
    for (int i = 0; i < 4; i++) {
        good(client, "READ hut", 'I');
        g_assert_cmpstr(client->row, ==, "4");
    }
    client_close(client);
    client_close(writer);
}

/* A write whose answer is lost, and whose client leaves: the connection is not held for ever. */
static void
test_lost_answer_without_a_client(struct fixture *fixture, gconstpointer unused)
{
    fixture->connections = 1;
    publish(fixture);
    struct client *client = client_open(fixture, "strict");
    good(client, "READ warm", 'I');
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.lose_answers = true});
    client_send(client, "WRITE hut lost");
    while (line_group_committed(fixture->group, "hut", "lost") == 0) {
        g_usleep(1000);
    }
    client_close(client);
    line_group_set_faults(fixture->group, 0, &(struct line_faults){0});
    client = client_open(fixture, "strict");
    gint64 end = g_get_monotonic_time() + ANSWER_WAIT_S * G_USEC_PER_SEC;
    do {
        g_assert_cmpint(g_get_monotonic_time(), <, end);
        ask(client, "WRITE hut kept");
    } while (!g_str_has_prefix(client->result, "COMPLETE"));
    client_close(client);
}

static void
test_bounded_reads_use_replicas(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "stale");
    struct client *writer = client_open(fixture, "strict");
    good(writer, "WRITE hut 4", 'I');
    good(client, "READ hut", 'I');
    for (int i = 0; i < 10; i++) {
        g_usleep(20000); /* a connection is opened, and the replica can have caught up */
        good(client, "READ hut replica", 'I');
    }
    g_autoptr(GPtrArray) runs = line_group_runs(fixture->group);
    g_assert_cmpuint(find_run(runs, "READ hut replica")->database, !=, 0);
    client_close(client);
    client_close(writer);
}

static void
test_session_sees_its_own_write(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "own");
    const struct line_faults lagging = {.lagging = true};
    good(client, "WRITE hut 1", 'I');
    line_group_set_faults(fixture->group, 1, &lagging);
    line_group_set_faults(fixture->group, 2, &lagging);
    for (int i = 2; i < 6; i++) {
        g_autofree char *write = g_strdup_printf("WRITE hut %d", i);
        g_autofree char *value = g_strdup_printf("%d", i);
        good(client, write, 'I');
        good(client, "READ hut", 'I');
        g_assert_cmpstr(client->row, ==, value);
    }
    client_close(client);
}

static void
test_own_write_in_a_transaction(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "own");
    good(client, "WRITE hut 0", 'I');
    line_group_set_faults(fixture->group, 1, &(struct line_faults){.lagging = true});
    line_group_set_faults(fixture->group, 2, &(struct line_faults){.lagging = true});
    good(client, "BEGIN", 'T');
    good(client, "WRITE hut 7", 'T');
    good(client, "COMMIT", 'I');
    good(client, "BEGIN READ", 'T');
    good(client, "READ hut", 'T');
    g_assert_cmpstr(client->row, ==, "7");
    good(client, "COMMIT", 'I');
    client_close(client);
}

/* Without a permit the databases themselves are asked whether the primary still leads. */
static void
test_leadership_without_a_coordinator(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    good(client, "WRITE hut 4", 'I');
    permit(fixture, 0);
    good(client, "READ hut", 'I');
    g_assert_cmpstr(client->row, ==, "4");
    client_close(client);
}

/* The replicas are paused: another may lead by now, whatever the old primary says of itself. */
static void
test_no_read_where_another_may_lead(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    good(client, "WRITE hut 4", 'I');
    permit(fixture, 0);
    fixture->timeout_ms = 600;
    publish(fixture);
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.deaf = true});
    g_assert_true(line_group_promote(fixture->group, line_group_id(fixture->group, 1)));
    bad(client, "READ hut", "BUSY", 'I');
    client_close(client);
}

/* A commit that wrote nothing asked no replica: it does not show that the primary still leads, and
 * its position is no sample for bounded reads. */
static void
test_empty_commit_proves_nothing(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "stale");
    fixture->staleness_ms = 200;
    fixture->timeout_ms = 600;
    publish(fixture);
    good(client, "BEGIN", 'T');
    good(client, "READ hut", 'T');
    permit(fixture, 0);
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.deaf = true});
    g_assert_true(line_group_promote(fixture->group, line_group_id(fixture->group, 1)));
    g_usleep(300000); /* the samples of the transaction are too old by now */
    good(client, "COMMIT", 'I');
    bad(client, "READ hut", "BUSY", 'I');
    client_close(client);
}

static void
test_change_of_primary(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    good(client, "WRITE hut 4", 'I');
    fixture->phase = GROUP_PHASE_CLOSED;
    publish(fixture);
    client_send(client, "WRITE hut 5");
    g_usleep(50000);
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "5"), ==, 0);
    line_group_demote(fixture->group, 0);
    g_assert_true(line_group_promote(fixture->group, line_group_id(fixture->group, 2)));
    fixture->phase = GROUP_PHASE_OPEN;
    fixture->primary = 2;
    fixture->term = 2;
    publish(fixture);
    client_read(client);
    g_assert_true(g_str_has_prefix(client->result, "COMPLETE"));
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "5"), ==, 1);
    client_close(client);
}

/* A group that is closed refuses in time, says when to come back, and has run nothing. */
static void
test_refusal_while_closed(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    fixture->timeout_ms = 300;
    fixture->phase = GROUP_PHASE_CLOSED;
    publish(fixture);
    bad(client, "WRITE hut 5", "BUSY", 'I');
    g_assert_nonnull(strstr(client->result, "retry in"));
    good(client, "BEGIN", 'T');
    bad(client, "WRITE hut 6", "ABORTED", 'E');
    good(client, "ROLLBACK", 'I');
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "5"), ==, 0);
    client_close(client);
}

static void
test_transaction_cut_by_a_change(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    good(client, "BEGIN", 'T');
    good(client, "WRITE hut 5", 'T');
    fixture->phase = GROUP_PHASE_CLOSED;
    publish(fixture);
    while (atomic_load(&fixture->figures->workers[0].epoch) != fixture->epoch) {
        g_usleep(1000);
    }
    bad(client, "COMMIT", "ABORTED", 'I');
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "5"), ==, 0);
    client_close(client);
}

static void
test_busy_database_is_asked_again(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.busy = true});
    client_send(client, "WRITE hut 5");
    g_usleep(20000);
    line_group_set_faults(fixture->group, 0, &(struct line_faults){0});
    client_read(client);
    g_assert_true(g_str_has_prefix(client->result, "COMPLETE"));
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "5"), ==, 1);
    client_close(client);
}

/* Never more connections to a database than the share; what waits is served all the same. */
static void
test_connections_are_bounded(struct fixture *fixture, gconstpointer unused)
{
    struct client *clients[12];
    fixture->connections = 2;
    publish(fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        clients[i] = client_open(fixture, "strict");
    }
    for (int round = 0; round < 5; round++) {
        for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
            client_send(clients[i], "WRITE hut 1");
        }
        g_assert_cmpuint(line_group_connections(fixture->group, 0), <=, 2);
        for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
            client_read(clients[i]);
            g_assert_true(g_str_has_prefix(clients[i]->result, "COMPLETE"));
        }
    }
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "1"), ==, 60);
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        client_close(clients[i]);
    }
}

/* What would wait past its objective is refused at once, while those before it are still served. */
static void
test_overload_is_refused_at_once(struct fixture *fixture, gconstpointer unused)
{
    struct client *clients[40];
    fixture->connections = 1;
    publish(fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        clients[i] = client_open(fixture, "strict");
    }
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.slow_ms = 30});
    for (int i = 0; i < 20; i++) {
        good(clients[0], "WRITE warm 1", 'I');
    }
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        client_send(clients[i], "WRITE hut 1");
    }
    struct client *last = clients[G_N_ELEMENTS(clients) - 1];
    client_read(last);
    g_assert_true(g_str_has_prefix(last->result, "ERROR BUSY"));
    g_assert_nonnull(strstr(last->result, "retry in"));
    unsigned done_by_then = line_group_committed(fixture->group, "hut", "1");
    unsigned done = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(clients) - 1; i++) {
        client_read(clients[i]);
        done += g_str_has_prefix(clients[i]->result, "COMPLETE");
    }
    g_assert_cmpuint(done, >, 0);
    g_assert_cmpuint(done_by_then, <, done);
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "1"), ==, done);
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        client_close(clients[i]);
    }
}

static void
test_too_large(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    g_autofree char *data = g_strnfill(1200 * 1024, 'x');
    g_autofree char *line = g_strdup_printf("QUERY a1 WRITE hut %s\r\n", data);
    send(fileno(client->stream), line, strlen(line), MSG_NOSIGNAL);
    client_read(client);
    g_assert_true(client->result[0] == '\0' || g_str_has_prefix(client->result, "ERROR TOOLARGE"));
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", data), ==, 0);
    client_close(client);
}

static void
test_planned_stop(struct fixture *fixture, gconstpointer unused)
{
    struct client *idle = client_open(fixture, "strict");
    struct client *open = client_open(fixture, "strict");
    good(open, "BEGIN", 'T');
    good(open, "WRITE hut 5", 'T');
    atomic_store(&fixture->shared.stop_at, backend_now());
    worker_wake(fixture->worker);
    g_assert_null(fgets(idle->line, sizeof idle->line, idle->stream) == idle->line ? "line" : NULL);
    good(open, "COMMIT", 'I');
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "5"), ==, 1);
    client_close(idle);
    client_close(open);
}

#define ADD(name, set_up_function, test)                                                           \
    g_test_add("/pooler/worker/" name, struct fixture, NULL, set_up_function, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("first-view", set_up_unpublished, test_start_waits_for_the_first_view);
    ADD("unknown-database", set_up, test_unknown_database);
    ADD("removed-route", set_up, test_removed_route);
    ADD("reads-see-writes", set_up, test_reads_see_writes);
    ADD("input-in-pieces", set_up, test_input_in_pieces_and_ahead);
    ADD("prepared-and-values", set_up, test_prepared_names_and_values);
    ADD("unknown-prepared", set_up, test_unknown_prepared_name);
    ADD("pinned", set_up, test_transaction_stays_on_its_connection);
    ADD("rollback-and-gone", set_up, test_rollback_and_client_gone);
    ADD("transaction-errors", set_up, test_transaction_errors);
    ADD("lost-answer-of-write", set_up, test_lost_answer_of_a_write);
    ADD("silent-database", set_up, test_read_moves_away_from_a_silent_database);
    ADD("orphan", set_up, test_lost_answer_without_a_client);
    ADD("bounded-at-replicas", set_up, test_bounded_reads_use_replicas);
    ADD("own-writes", set_up, test_session_sees_its_own_write);
    ADD("own-writes-transaction", set_up, test_own_write_in_a_transaction);
    ADD("leadership", set_up, test_leadership_without_a_coordinator);
    ADD("another-may-lead", set_up, test_no_read_where_another_may_lead);
    ADD("empty-commit", set_up, test_empty_commit_proves_nothing);
    ADD("change-of-primary", set_up, test_change_of_primary);
    ADD("refusal-while-closed", set_up, test_refusal_while_closed);
    ADD("cut-by-a-change", set_up, test_transaction_cut_by_a_change);
    ADD("busy", set_up, test_busy_database_is_asked_again);
    ADD("connections-bounded", set_up, test_connections_are_bounded);
    ADD("overload", set_up, test_overload_is_refused_at_once);
    ADD("too-large", set_up, test_too_large);
    ADD("planned-stop", set_up, test_planned_stop);
    return g_test_run();
}
