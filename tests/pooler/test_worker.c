/* Tests of a worker: sessions, connections and routing. Tests that do not depend on the worker's
 * own connections also run with a worker that forwards to an owner. */
#include "worker_fixture.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Waits until the worker has applied the view that was published last. */
static void
wait_until_applied(const struct fixture *fixture)
{
    while (atomic_load(&fixture->figures->workers[0].epoch) != fixture->epoch) {
        g_usleep(1000);
    }
}

static void
test_start_waits_for_the_first_view(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_begin(fixture, "strict");
    g_usleep(50000);
    permit(fixture, PERMIT_FOREVER);
    publish(fixture);
    client_read(client);
    g_assert_true(client->state == 'I');
    expect_success(client, "WRITE hut 4", 'I');
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
    expect_success(client, "BEGIN", 'T');
    expect_success(client, "WRITE hut 4", 'T');
    fixture->with_route = false;
    publish(fixture);
    wait_until_applied(fixture);
    expect_success(client, "COMMIT", 'I'); /* a transaction keeps the route that it began with */
    expect_error(client, "READ hut", "NODB", 'I');
    client_close(client);
}

static void
test_reads_see_writes(struct fixture *fixture, gconstpointer unused)
{
    struct client *writer = client_open(fixture, "strict");
    struct client *reader = client_open(fixture, "strict");
    expect_success(writer, "WRITE hut 4", 'I');
    expect_success(reader, "READ hut", 'I');
    g_assert_cmpstr(reader->row, ==, "4");
    client_close(writer);
    client_close(reader);
}

static void
test_fragmented_and_pipelined_input(struct fixture *fixture, gconstpointer unused)
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

/* Two sessions use the same name for different prepared statements, on the same connections. */
static void
test_prepared_names_and_values(struct fixture *fixture, gconstpointer unused)
{
    struct client *a = client_open(fixture, "strict");
    struct client *b = client_open(fixture, "strict");
    expect_success(a, "SET colour red", 'I');
    expect_success(a, "PREPARE s1 WRITE shape-a", 'I');
    expect_success(b, "PREPARE s1 READ shape-b", 'I');
    expect_success(b, "SET size 9", 'I');
    for (int i = 0; i < 3; i++) {
        expect_success(a, "EXECUTE s1 hut first", 'I');
        expect_success(b, "EXECUTE s1 hut", 'I');
        g_assert_cmpstr(b->row, ==, "first");
    }
    expect_success(b, "READ plain", 'I');
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
    expect_success(client, "PREPARE s1 READ shape", 'I');
    expect_success(client, "DEALLOCATE s1", 'I');
    expect_error(client, "EXECUTE s1 hut", "NOSTMT", 'I');
    client_close(client);
}

static void
test_transaction_keeps_its_connection(struct fixture *fixture, gconstpointer unused)
{
    struct client *a = client_open(fixture, "strict");
    struct client *b = client_open(fixture, "strict");
    expect_success(a, "BEGIN", 'T');
    expect_success(a, "WRITE hut in-a", 'T');
    expect_success(b, "WRITE inn in-b", 'I');
    expect_success(b, "READ hut", 'I');
    g_assert_cmpstr(b->row, ==, "none");
    expect_success(a, "WRITE hut in-a-again", 'T');
    expect_success(a, "COMMIT", 'I');
    expect_success(b, "READ hut", 'I');
    g_assert_cmpstr(b->row, ==, "in-a-again");
    g_autoptr(GPtrArray) runs = line_group_runs(fixture->group);
    unsigned connection = find_run(runs, "in-a-again")->connection;
    g_assert_cmpuint(find_run(runs, "COMMIT")->connection, ==, connection);
    g_assert_cmpuint(find_run(runs, "in-b")->connection, !=, connection);
    client_close(a);
    client_close(b);
}

static void
test_rollback_and_disconnect(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    expect_success(client, "BEGIN", 'T');
    expect_success(client, "WRITE hut rolled-back", 'T');
    expect_success(client, "ROLLBACK", 'I');
    expect_success(client, "BEGIN", 'T');
    expect_success(client, "WRITE hut gone", 'T');
    client_close(client);
    client = client_open(fixture, "strict");
    expect_success(client, "READ hut", 'I');
    g_assert_cmpstr(client->row, ==, "none");
    expect_success(client, "WRITE hut kept", 'I');
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "gone"), ==, 0);
    client_close(client);
}

static void
test_transaction_errors(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    expect_error(client, "COMMIT", "MALFORMED", 'I');
    expect_error(client, "ROLLBACK", "MALFORMED", 'I');
    expect_error(client, "NONSENSE", "MALFORMED", 'I');
    expect_success(client, "BEGIN", 'T');
    expect_error(client, "BEGIN", "MALFORMED", 'T');
    expect_success(client, "ROLLBACK", 'I');
    client_close(client);
}

/* A write ran once and its answer was lost: the client is answered that the outcome is unknown. */
static void
test_lost_answer_of_a_write(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    expect_success(client, "READ warm", 'I');
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.lose_answers = true});
    fixture->timeout_ms = 400;
    publish(fixture);
    expect_error(client, "WRITE hut lost", "INDOUBT", 'I');
    line_group_set_faults(fixture->group, 0, &(struct line_faults){0});
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "lost"), ==, 1);
    client_close(client);
}

static void
test_read_leaves_an_unresponsive_database(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "stale");
    struct client *writer = client_open(fixture, "strict");
    expect_success(writer, "WRITE hut 4", 'I');
    expect_success(client, "READ hut", 'I');
    line_group_set_faults(fixture->group, 1, &(struct line_faults){.unresponsive = true});
    for (int i = 0; i < 4; i++) {
        expect_success(client, "READ hut", 'I');
        g_assert_cmpstr(client->row, ==, "4");
    }
    client_close(client);
    client_close(writer);
}

/* The answer of a write is lost and its client disconnects: the database connection must not stay
 * reserved for ever. */
static void
test_lost_answer_after_a_disconnect(struct fixture *fixture, gconstpointer unused)
{
    fixture->connections = 1;
    publish(fixture);
    struct client *client = client_open(fixture, "strict");
    expect_success(client, "READ warm", 'I');
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
        execute(client, "WRITE hut kept");
    } while (!g_str_has_prefix(client->result, "COMPLETE"));
    client_close(client);
}

static void
test_bounded_reads_use_replicas(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "stale");
    struct client *writer = client_open(fixture, "strict");
    expect_success(writer, "WRITE hut 4", 'I');
    expect_success(client, "READ hut", 'I');
    for (int i = 0; i < 10; i++) {
        g_usleep(20000); /* time for opening a connection and for the replica to catch up */
        expect_success(client, "READ hut replica", 'I');
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
    expect_success(client, "WRITE hut 1", 'I');
    line_group_set_faults(fixture->group, 1, &lagging);
    line_group_set_faults(fixture->group, 2, &lagging);
    for (int i = 2; i < 6; i++) {
        g_autofree char *write = g_strdup_printf("WRITE hut %d", i);
        g_autofree char *value = g_strdup_printf("%d", i);
        expect_success(client, write, 'I');
        expect_success(client, "READ hut", 'I');
        g_assert_cmpstr(client->row, ==, value);
    }
    client_close(client);
}

/* The primary is slow, and a replica will have applied the session's write within its baseline lag:
 * the read is deferred until that replica is fresh enough. */
static void
test_read_is_deferred_for_an_own_write(struct fixture *fixture, gconstpointer unused)
{
    const unsigned rounds = 12;
    unsigned at_replica = 0;
    struct client *client = client_open(fixture, "own");
    for (int i = 0; i < 4; i++) {
        expect_success(client, "READ warm", 'I');
    }
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.slow_ms = 120});
    for (unsigned i = 0; i < rounds; i++) {
        g_autofree char *write = g_strdup_printf("WRITE hut %u", i);
        g_autofree char *read = g_strdup_printf("READ hut round %u", i);
        g_autofree char *value = g_strdup_printf("%u", i);
        expect_success(client, write, 'I');
        expect_success(client, read, 'I');
        g_assert_cmpstr(client->row, ==, value);
        g_autoptr(GPtrArray) runs = line_group_runs(fixture->group);
        at_replica += find_run(runs, read)->database != 0;
    }
    g_test_message("%u of %u at a replica", at_replica, rounds);
    g_assert_cmpuint(at_replica, >=, rounds / 2);
    client_close(client);
}

static void
test_own_write_in_a_transaction(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "own");
    expect_success(client, "WRITE hut 0", 'I');
    line_group_set_faults(fixture->group, 1, &(struct line_faults){.lagging = true});
    line_group_set_faults(fixture->group, 2, &(struct line_faults){.lagging = true});
    expect_success(client, "BEGIN", 'T');
    expect_success(client, "WRITE hut 7", 'T');
    expect_success(client, "COMMIT", 'I');
    expect_success(client, "BEGIN READ", 'T');
    expect_success(client, "READ hut", 'T');
    g_assert_cmpstr(client->row, ==, "7");
    expect_success(client, "COMMIT", 'I');
    client_close(client);
}

/* Without a read permit, the worker queries the databases whether the primary still leads. */
static void
test_leadership_without_a_coordinator(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    expect_success(client, "WRITE hut 4", 'I');
    permit(fixture, 0);
    expect_success(client, "READ hut", 'I');
    g_assert_cmpstr(client->row, ==, "4");
    client_close(client);
}

/* The replicas follow another primary, though the old one still reports that it leads: reads at the
 * old primary must be refused. */
static void
test_no_read_without_proof_of_leadership(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    expect_success(client, "WRITE hut 4", 'I');
    permit(fixture, 0);
    fixture->timeout_ms = 600;
    publish(fixture);
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.no_replication = true});
    g_assert_true(line_group_promote(fixture->group, line_group_id(fixture->group, 1)));
    expect_error(client, "READ hut", "BUSY", 'I');
    client_close(client);
}

/* The commit of a transaction without writes needs no acknowledgement of a replica. So it is no
 * proof that the primary still leads, and its position is not a sample of the primary's log for
 * reads with a staleness bound. */
static void
assert_empty_commit_proves_nothing(struct fixture *fixture, bool after_a_write)
{
    struct client *client = client_open(fixture, "stale");
    fixture->connections = after_a_write ? 1 : fixture->connections;
    fixture->staleness_ms = 200;
    fixture->timeout_ms = 600;
    publish(fixture);
    if (after_a_write) {
        expect_success(client, "WRITE hut 4", 'I');
    }
    expect_success(client, "BEGIN", 'T');
    expect_success(client, "READ hut", 'T');
    permit(fixture, 0);
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.no_replication = true});
    g_assert_true(line_group_promote(fixture->group, line_group_id(fixture->group, 1)));
    g_usleep(300000); /* longer than the staleness bound: earlier samples are too old */
    expect_success(client, "COMMIT", 'I');
    expect_error(client, "READ hut", "BUSY", 'I');
    client_close(client);
}

static void
test_empty_commit_proves_nothing(struct fixture *fixture, gconstpointer unused)
{
    assert_empty_commit_proves_nothing(fixture, false);
}

/* The same on a connection that has run a write before. */
static void
test_empty_commit_after_a_write(struct fixture *fixture, gconstpointer unused)
{
    assert_empty_commit_proves_nothing(fixture, true);
}

/* Connections are opened before the first statement. */
static void
test_ready_connections(struct fixture *fixture, gconstpointer unused)
{
    for (unsigned i = 0; i < DATABASES; i++) {
        for (int k = 0; line_group_connections(fixture->group, i) < 2; k++) {
            g_assert_cmpint(k, <, ANSWER_WAIT_S * 1000);
            g_usleep(1000);
        }
    }
}

static void
test_change_of_primary(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    expect_success(client, "WRITE hut 4", 'I');
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

static void
evacuate(struct fixture *fixture, unsigned databases)
{
    fixture->evacuated = databases;
    publish(fixture);
    wait_until_applied(fixture);
    for (unsigned i = 0; i < DATABASES; i++) {
        bool closed = (databases & 1U << i) != 0;
        for (int k = 0; closed && line_group_connections(fixture->group, i) > 0; k++) {
            g_assert_cmpint(k, <, ANSWER_WAIT_S * 1000);
            g_usleep(1000);
        }
    }
}

/* Nothing is sent to databases of an evacuated zone. Reads go to other databases, open transactions
 * there are aborted, and statements that need the primary are refused while it is in that zone,
 * until the evacuation ends. */
static void
test_evacuated(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    struct client *in_transaction = client_open(fixture, "strict");
    struct client *reading = client_open(fixture, "stale");
    fixture->timeout_ms = 400;
    evacuate(fixture, 1U << 1 | 1U << 2);
    expect_success(client, "WRITE hut 4", 'I');
    expect_success(reading, "READ hut", 'I');
    expect_success(in_transaction, "BEGIN", 'T');
    expect_success(in_transaction, "WRITE hut 5", 'T');
    evacuate(fixture, 1U << 0); /* the primary */
    expect_error(client, "WRITE hut 6", "BUSY", 'I');
    expect_error(in_transaction, "COMMIT", "ABORTED", 'I');
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "5"), ==, 0);
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "6"), ==, 0);
    evacuate(fixture, 0);
    expect_success(client, "WRITE hut 7", 'I');
    client_close(reading);
    client_close(in_transaction);
    client_close(client);
}

/* A primary that restarted without its log and still reports that it leads gets no statements:
 * reads there would miss acknowledged commits. */
static void
test_primary_without_its_log(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    fixture->timeout_ms = 400;
    publish(fixture);
    wait_until_applied(fixture);
    expect_success(client, "WRITE hut 4", 'I');
    const struct line_faults no_replication = {.no_replication = true};
    line_group_set_faults(fixture->group, 1, &no_replication);
    line_group_set_faults(fixture->group, 2, &no_replication);
    line_group_lose_log(fixture->group, 0);
    for (int i = 0; i < 3; i++) {
        expect_error(client, "READ hut", "BUSY", 'I');
    }
    g_autoptr(GPtrArray) runs = line_group_runs(fixture->group);
    g_assert_cmpuint(runs->len, ==, 1);
    client_close(client);
}

/* Statements for a closed group are refused within their timeout, with a time to retry, and do not
 * run. */
static void
test_refusal_while_closed(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    fixture->timeout_ms = 300;
    fixture->phase = GROUP_PHASE_CLOSED;
    publish(fixture);
    wait_until_applied(fixture);
    expect_error(client, "WRITE hut 5", "BUSY", 'I');
    g_assert_nonnull(strstr(client->result, "retry in"));
    expect_success(client, "BEGIN", 'T');
    expect_error(client, "WRITE hut 6", "ABORTED", 'E');
    expect_success(client, "ROLLBACK", 'I');
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "5"), ==, 0);
    client_close(client);
}

/* If a group has been closed for longer than a change of primary takes, its statements are refused
 * at once, so that their clients can try another pooler in time. */
static void
test_refusal_after_a_long_closure(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    fixture->timeout_ms = 20000; /* the wait in the queue would be 9 s */
    fixture->phase = GROUP_PHASE_CLOSED;
    publish(fixture);
    g_usleep(900 * 1000);
    time_ns sent = backend_now();
    expect_error(client, "WRITE hut 5", "BUSY", 'I');
    g_assert_cmpuint(backend_now() - sent, <, 5000 * MS);
    g_assert_nonnull(strstr(client->result, "retry in"));
    fixture->phase = GROUP_PHASE_OPEN;
    publish(fixture);
    client_send(client, "WRITE hut 6");
    client_read(client);
    while (g_str_has_prefix(client->result, "ERROR BUSY")) {
        client_send(client, "WRITE hut 6");
        client_read(client);
    }
    g_assert_true(g_str_has_prefix(client->result, "COMPLETE"));
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "5"), ==, 0);
    client_close(client);
}

static void
test_transaction_aborted_by_a_change(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    expect_success(client, "BEGIN", 'T');
    expect_success(client, "WRITE hut 5", 'T');
    fixture->phase = GROUP_PHASE_CLOSED;
    publish(fixture);
    wait_until_applied(fixture);
    expect_error(client, "COMMIT", "ABORTED", 'I');
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "5"), ==, 0);
    client_close(client);
}

static void
test_retry_at_a_busy_database(struct fixture *fixture, gconstpointer unused)
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

/* Index of the newest run of a text. */
static guint
index_of(GPtrArray *runs, const char *text)
{
    guint index = 0;
    g_assert_true(g_ptr_array_find(runs, find_run(runs, text), &index));
    return index;
}

/* Of two queued statements with the same priority, the one whose objective ends first goes first,
 * even if it came later. */
static void
test_earliest_objective_first(struct fixture *fixture, gconstpointer unused)
{
    struct client *late_objective = client_open(fixture, "strict");
    struct client *early_objective = client_open(fixture, "own");
    fixture->own_target_ms = 40;
    fixture->connections = 1;
    fixture->phase = GROUP_PHASE_CLOSED;
    publish(fixture);
    wait_until_applied(fixture);
    client_send(late_objective, "WRITE hut late_objective");
    g_usleep(20 * 1000);
    client_send(early_objective, "WRITE hut early_objective");
    g_usleep(20 * 1000);
    fixture->phase = GROUP_PHASE_OPEN;
    publish(fixture);
    client_read(late_objective);
    client_read(early_objective);
    g_autoptr(GPtrArray) runs = line_group_runs(fixture->group);
    g_assert_cmpuint(index_of(runs, "hut early_objective"), <,
                     index_of(runs, "hut late_objective"));
    client_close(late_objective);
    client_close(early_objective);
}

/* A statement that would miss its objective, by the rate at which the queue moves, is refused at
 * once. */
static void
test_refusal_by_queue_rate(struct fixture *fixture, gconstpointer unused)
{
    struct client *clients[24];
    unsigned refused = 0;
    fixture->connections = 1;
    fixture->timeout_ms = 20000;
    publish(fixture);
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.slow_ms = 40});
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        clients[i] = client_open(fixture, "strict");
        expect_success(clients[0], "WRITE hut warm",
                       'I'); /* so that the worker knows how long a statement takes */
    }
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        client_send(clients[i], "WRITE hut crowd");
    }
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        client_read(clients[i]);
        refused += g_str_has_prefix(clients[i]->result, "ERROR BUSY");
    }
    g_assert_cmpuint(refused, >, 0);
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "crowd"), ==,
                     G_N_ELEMENTS(clients) - refused);
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        client_close(clients[i]);
    }
}

/* Queued statements of low priority would meet their objective until four statements of high
 * priority come. Those that would now be late are refused at once, and all of high priority are
 * served. */
static void
test_low_priority_is_refused_first(struct fixture *fixture, gconstpointer unused)
{
    struct client *waiting[4];
    struct client *high[4];
    unsigned refused = 0;
    fixture->connections = 1;
    fixture->timeout_ms = 20000;
    fixture->strict_priority = 2;
    publish(fixture);
    wait_until_applied(fixture);
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.slow_ms = 40});
    for (size_t i = 0; i < G_N_ELEMENTS(waiting); i++) {
        waiting[i] = client_open(fixture, "strict");
        high[i] = client_open(fixture, "own");
    }
    for (size_t i = 0; i < 16; i++) {
        expect_success(waiting[0], "WRITE hut warm",
                       'I'); /* so that the worker knows how long a statement takes */
    }
    for (size_t i = 0; i < G_N_ELEMENTS(waiting); i++) {
        client_send(waiting[i], "WRITE hut waiting");
    }
    g_usleep(10 * 1000);
    for (size_t i = 0; i < G_N_ELEMENTS(high); i++) {
        client_send(high[i], "WRITE hut high");
    }
    for (size_t i = 0; i < G_N_ELEMENTS(high); i++) {
        client_read(high[i]);
        g_assert_true(g_str_has_prefix(high[i]->result, "COMPLETE"));
        client_read(waiting[i]);
        refused += g_str_has_prefix(waiting[i]->result, "ERROR BUSY");
    }
    g_test_message("%u refused", refused);
    g_assert_cmpuint(refused, >, 0);
    g_assert_cmpuint(refused, <, G_N_ELEMENTS(waiting)); /* one of them was already running */
    for (size_t i = 0; i < G_N_ELEMENTS(high); i++) {
        client_close(waiting[i]);
        client_close(high[i]);
    }
}

/* A worker never opens more connections to a database than its share, and all queued statements are
 * served. */
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

static uint64_t
count_opened(const struct fixture *fixture)
{
    return atomic_load(&worker_metrics(fixture->worker)->counters[METRICS_CONNECTIONS_OPENED]);
}

/* A database that refuses further connections is retried with increasing delays, although it
 * answers on its open connections, and no fault is reported for it. */
static void
test_full_databases(struct fixture *fixture, gconstpointer unused)
{
    struct client *clients[6];
    fixture->connections = 10;
    for (unsigned i = 0; i < DATABASES; i++) {
        line_group_set_faults(fixture->group, i,
                              &(struct line_faults){.slow_ms = 5, .connection_limit = 1});
    }
    publish(fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        clients[i] = client_open(fixture, "strict");
    }
    time_ns end = backend_now() + 2000 * MS;
    while (backend_now() < end) {
        for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
            client_send(clients[i], "WRITE hut 1");
        }
        for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
            client_read(clients[i]);
        }
        g_assert_cmpuint(atomic_load(&fixture->members[0]->fault), ==, DATABASE_FAULT_NONE);
    }
    /* Six attempts within 2 s at each database, after 75, 150, 300, 600 and 1200 ms, which are the
     * shortest delays, and two attempts at a time. */
    g_assert_cmpuint(count_opened(fixture), <=, 12 * DATABASES);
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        client_close(clients[i]);
    }
}

/* Statements that would miss their objective are refused at once, while those before them are still
 * served. */
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
        expect_success(clients[0], "WRITE warm 1", 'I');
    }
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        client_send(clients[i], "WRITE hut 1");
    }
    struct client *last = clients[G_N_ELEMENTS(clients) - 1];
    client_read(last);
    g_assert_true(g_str_has_prefix(last->result, "ERROR BUSY"));
    g_assert_nonnull(strstr(last->result, "retry in"));
    unsigned done_at_refusal = line_group_committed(fixture->group, "hut", "1");
    unsigned done = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(clients) - 1; i++) {
        client_read(clients[i]);
        done += g_str_has_prefix(clients[i]->result, "COMPLETE");
    }
    g_assert_cmpuint(done, >, 0);
    g_assert_cmpuint(done_at_refusal, <, done);
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
    expect_success(open, "BEGIN", 'T');
    expect_success(open, "WRITE hut 5", 'T');
    atomic_store(&fixture->shared.stop_at, backend_now());
    worker_wake(fixture->worker);
    g_assert_null(fgets(idle->line, sizeof idle->line, idle->stream) == idle->line ? "line" : NULL);
    expect_success(open, "COMMIT", 'I');
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "5"), ==, 1);
    client_close(idle);
    client_close(open);
}

static _Atomic unsigned late_lines;

/* Counts log lines about late operations, and asserts the fields of each. */
static GLogWriterOutput
count_late_lines(GLogLevelFlags level, const GLogField *fields, gsize count, gpointer unused)
{
    bool is_operation = false;
    unsigned found = 0;
    static const char *const required[] = {"SW_REQUEST",   "SW_ROUTE_KIND", "SW_PRIORITY",
                                           "SW_SERVICE",   "SW_STAGES_MS",  "SW_STATEMENTS",
                                           "SW_AT_PRIMARY"};
    for (gsize i = 0; i < count; i++) {
        is_operation = is_operation || (strcmp(fields[i].key, "GLIB_DOMAIN") == 0 &&
                                        strcmp(fields[i].value, "operation") == 0);
        for (size_t j = 0; j < G_N_ELEMENTS(required); j++) {
            found += strcmp(fields[i].key, required[j]) == 0;
        }
    }
    if (is_operation) {
        g_assert_cmpuint(found, ==, G_N_ELEMENTS(required));
        atomic_fetch_add(&late_lines, 1);
    }
    return G_LOG_WRITER_HANDLED;
}

static uint64_t
count_late(const struct fixture *fixture)
{
    return atomic_load(&worker_metrics(fixture->worker)->counters[METRICS_OPERATIONS_LATE]);
}

/* A transaction of which each statement meets the objective, but not all together, is counted and
 * logged as late. The client's pauses between statements do not count. The number of log lines
 * about late operations is limited. */
static void
test_late_transaction(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    atomic_store(&late_lines, 0);
    expect_success(client, "BEGIN", 'T');
    expect_success(client, "WRITE hut 1", 'T');
    g_usleep(400 * 1000);
    expect_success(client, "COMMIT", 'I');
    g_assert_cmpuint(count_late(fixture), ==, 0);
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.slow_ms = 90});
    expect_success(client, "BEGIN", 'T');
    expect_success(client, "WRITE hut 1", 'T');
    expect_success(client, "READ hut", 'T');
    expect_success(client, "COMMIT", 'I');
    g_assert_cmpuint(count_late(fixture), ==, 1);
    g_assert_cmpuint(atomic_load(&late_lines), ==, 1);
    line_group_set_faults(fixture->group, 0, &(struct line_faults){0});
    fixture->own_target_ms = 1;
    publish(fixture);
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.slow_ms = 2});
    struct client *late = client_open(fixture, "own");
    time_ns began = backend_now();
    for (int i = 0; i < 60; i++) {
        expect_success(late, "WRITE hut 1", 'I');
    }
    uint64_t seconds = (backend_now() - began) / NANOSECONDS_PER_SECOND + 1;
    g_assert_cmpuint(count_late(fixture), ==, 61);
    g_assert_cmpuint(atomic_load(&late_lines), >=, 4);
    g_assert_cmpuint(atomic_load(&late_lines), <=, 1 + 4 + 2 * seconds);
    client_close(late);
    client_close(client);
}

#define ADD(name, set_up_function, test)                                                           \
    g_test_add("/pooler/worker/" name, struct fixture, NULL, set_up_function, test, tear_down)

static uint64_t
count_closed_idle(const struct fixture *fixture)
{
    return atomic_load(
        &worker_metrics(fixture->worker)->counters[METRICS_SESSIONS_CLOSED_PARTITIONED]);
}

static void
wait_for_closed_idle(const struct fixture *fixture, uint64_t count)
{
    for (unsigned i = 0; count_closed_idle(fixture) < count; i++) {
        g_assert_cmpuint(i, <, ANSWER_WAIT_S * 1000);
        g_usleep(1000);
    }
}

#define IDLE_CLIENTS 12

/* During a network partition of the zone, idle sessions are closed: not before the load balancer
 * sends their clients to other zones, and only a few each TICK_MS, however often the worker is
 * woken. A session with an open transaction is closed after its end. */
static void
test_partition_closes_idle_sessions(struct fixture *fixture, gconstpointer unused)
{
    struct client *clients[IDLE_CLIENTS];
    struct client *open = client_open(fixture, "strict");
    for (unsigned i = 0; i < IDLE_CLIENTS; i++) {
        clients[i] = client_open(fixture, "strict");
        expect_success(clients[i], "READ hut", 'I');
    }
    expect_success(open, "BEGIN", 'T');
    expect_success(open, "WRITE hut open", 'T');
    atomic_store(&fixture->shared.partitioned_since, backend_now());
    worker_wake(fixture->worker);
    g_usleep(200 * 1000);
    g_assert_cmpuint(count_closed_idle(fixture), ==, 0);
    time_ns before = backend_now();
    atomic_store(&fixture->shared.partitioned_since, before - 3 * NANOSECONDS_PER_SECOND);
    for (unsigned i = 0; i < 20; i++) {
        worker_wake(fixture->worker);
        g_usleep(1000);
    }
    uint64_t closed = count_closed_idle(fixture);
    time_ns ticks = (backend_now() - before) / (50 * NANOSECONDS_PER_MILLISECOND);
    g_assert_cmpuint(closed, <=, 4 * (ticks + 1));
    wait_for_closed_idle(fixture, IDLE_CLIENTS);
    expect_success(open, "WRITE hut still-open", 'T');
    expect_success(open, "COMMIT", 'I');
    wait_for_closed_idle(fixture, IDLE_CLIENTS + 1);
    atomic_store(&fixture->shared.partitioned_since, 0);
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "still-open"), ==, 1);
    for (unsigned i = 0; i < IDLE_CLIENTS; i++) {
        client_close(clients[i]);
    }
    client_close(open);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_log_set_writer_func(count_late_lines, NULL, NULL);
    ADD("late-transaction", set_up, test_late_transaction);
    ADD("partition", set_up, test_partition_closes_idle_sessions);
    ADD("forwarding/partition", set_up_forwarding, test_partition_closes_idle_sessions);
    ADD("first-view", set_up_unpublished, test_start_waits_for_the_first_view);
    ADD("unknown-database", set_up, test_unknown_database);
    ADD("removed-route", set_up, test_removed_route);
    ADD("reads-see-writes", set_up, test_reads_see_writes);
    ADD("fragmented-input", set_up, test_fragmented_and_pipelined_input);
    ADD("prepared-and-values", set_up, test_prepared_names_and_values);
    ADD("unknown-prepared", set_up, test_unknown_prepared_name);
    ADD("transaction-connection", set_up, test_transaction_keeps_its_connection);
    ADD("rollback-and-disconnect", set_up, test_rollback_and_disconnect);
    ADD("transaction-errors", set_up, test_transaction_errors);
    ADD("lost-answer-of-write", set_up, test_lost_answer_of_a_write);
    ADD("unresponsive-database", set_up, test_read_leaves_an_unresponsive_database);
    ADD("lost-answer-after-disconnect", set_up, test_lost_answer_after_a_disconnect);
    ADD("bounded-at-replicas", set_up, test_bounded_reads_use_replicas);
    ADD("own-writes", set_up, test_session_sees_its_own_write);
    ADD("own-write-deferred-read", set_up, test_read_is_deferred_for_an_own_write);
    ADD("own-writes-transaction", set_up, test_own_write_in_a_transaction);
    ADD("leadership", set_up, test_leadership_without_a_coordinator);
    ADD("no-proof-of-leadership", set_up, test_no_read_without_proof_of_leadership);
    ADD("ready-connections", set_up, test_ready_connections);
    ADD("empty-commit", set_up, test_empty_commit_proves_nothing);
    ADD("empty-commit-after-a-write", set_up, test_empty_commit_after_a_write);
    ADD("change-of-primary", set_up, test_change_of_primary);
    ADD("primary-without-its-log", set_up, test_primary_without_its_log);
    ADD("refusal-while-closed", set_up, test_refusal_while_closed);
    ADD("refusal-after-long-closure", set_up, test_refusal_after_a_long_closure);
    ADD("earliest-objective-first", set_up, test_earliest_objective_first);
    ADD("refusal-by-queue-rate", set_up, test_refusal_by_queue_rate);
    ADD("low-priority-refused-first", set_up, test_low_priority_is_refused_first);
    ADD("aborted-by-a-change", set_up, test_transaction_aborted_by_a_change);
    ADD("busy", set_up, test_retry_at_a_busy_database);
    ADD("connections-bounded", set_up, test_connections_are_bounded);
    ADD("overload", set_up, test_overload_is_refused_at_once);
    ADD("too-large", set_up, test_too_large);
    ADD("evacuated", set_up, test_evacuated);
    ADD("planned-stop", set_up, test_planned_stop);
    ADD("forwarding/unknown-database", set_up_forwarding, test_unknown_database);
    ADD("forwarding/removed-route", set_up_forwarding, test_removed_route);
    ADD("forwarding/reads-see-writes", set_up_forwarding, test_reads_see_writes);
    ADD("forwarding/fragmented-input", set_up_forwarding, test_fragmented_and_pipelined_input);
    ADD("forwarding/prepared-and-values", set_up_forwarding, test_prepared_names_and_values);
    ADD("forwarding/unknown-prepared", set_up_forwarding, test_unknown_prepared_name);
    ADD("forwarding/transaction-connection", set_up_forwarding,
        test_transaction_keeps_its_connection);
    ADD("forwarding/rollback-and-disconnect", set_up_forwarding, test_rollback_and_disconnect);
    ADD("forwarding/transaction-errors", set_up_forwarding, test_transaction_errors);
    ADD("forwarding/lost-answer-of-write", set_up_forwarding, test_lost_answer_of_a_write);
    ADD("forwarding/unresponsive-database", set_up_forwarding,
        test_read_leaves_an_unresponsive_database);
    ADD("forwarding/lost-answer-after-disconnect", set_up_forwarding,
        test_lost_answer_after_a_disconnect);
    ADD("forwarding/bounded-at-replicas", set_up_forwarding, test_bounded_reads_use_replicas);
    ADD("forwarding/own-writes", set_up_forwarding, test_session_sees_its_own_write);
    ADD("forwarding/own-writes-transaction", set_up_forwarding, test_own_write_in_a_transaction);
    ADD("forwarding/leadership", set_up_forwarding, test_leadership_without_a_coordinator);
    ADD("forwarding/no-proof-of-leadership", set_up_forwarding,
        test_no_read_without_proof_of_leadership);
    ADD("forwarding/empty-commit-after-a-write", set_up_forwarding,
        test_empty_commit_after_a_write);
    ADD("forwarding/empty-commit", set_up_forwarding, test_empty_commit_proves_nothing);
    ADD("forwarding/change-of-primary", set_up_forwarding, test_change_of_primary);
    ADD("forwarding/refusal-while-closed", set_up_forwarding, test_refusal_while_closed);
    ADD("forwarding/refusal-after-long-closure", set_up_forwarding,
        test_refusal_after_a_long_closure);
    ADD("forwarding/aborted-by-a-change", set_up_forwarding, test_transaction_aborted_by_a_change);
    ADD("forwarding/busy", set_up_forwarding, test_retry_at_a_busy_database);
    ADD("full-databases", set_up, test_full_databases);
    ADD("forwarding/connections-bounded", set_up_forwarding, test_connections_are_bounded);
    ADD("forwarding/overload", set_up_forwarding, test_overload_is_refused_at_once);
    ADD("forwarding/too-large", set_up_forwarding, test_too_large);
    ADD("forwarding/late-transaction", set_up_forwarding, test_late_transaction);
    ADD("forwarding/planned-stop", set_up_forwarding, test_planned_stop);
    return g_test_run();
}
