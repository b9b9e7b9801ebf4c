/* A worker with its sessions, connections and routing. The scenarios that know nothing of the
 * worker's inside are played a second time by one that forwards to an owner. */
#include "worker_fixture.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Until the worker has applied what was published last. */
static void
wait_until_followed(const struct fixture *fixture)
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
    wait_until_followed(fixture);
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

/* The primary has a queue, and a replica will have applied the session's write within its usual
 * lag: the read waits for that one. */
static void
test_own_write_is_awaited_at_a_replica(struct fixture *fixture, gconstpointer unused)
{
    const unsigned rounds = 12;
    unsigned at_replica = 0;
    struct client *client = client_open(fixture, "own");
    for (int i = 0; i < 4; i++) {
        good(client, "READ warm", 'I');
    }
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.slow_ms = 120});
    for (unsigned i = 0; i < rounds; i++) {
        g_autofree char *write = g_strdup_printf("WRITE hut %u", i);
        g_autofree char *read = g_strdup_printf("READ hut round %u", i);
        g_autofree char *value = g_strdup_printf("%u", i);
        good(client, write, 'I');
        good(client, read, 'I');
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
assert_empty_commit_proves_nothing(struct fixture *fixture, bool after_a_write)
{
    struct client *client = client_open(fixture, "stale");
    fixture->connections = after_a_write ? 1 : fixture->connections;
    fixture->staleness_ms = 200;
    fixture->timeout_ms = 600;
    publish(fixture);
    if (after_a_write) {
        good(client, "WRITE hut 4", 'I');
    }
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
test_empty_commit_proves_nothing(struct fixture *fixture, gconstpointer unused)
{
    assert_empty_commit_proves_nothing(fixture, false);
}

/* Nor does it where the same connection has served a write before. */
static void
test_empty_commit_after_a_write(struct fixture *fixture, gconstpointer unused)
{
    assert_empty_commit_proves_nothing(fixture, true);
}

/* Connections are there before the first client asks. */
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

static void
evacuate(struct fixture *fixture, unsigned databases)
{
    fixture->evacuated = databases;
    publish(fixture);
    wait_until_followed(fixture);
    for (unsigned i = 0; i < DATABASES; i++) {
        bool closed = (databases & 1U << i) != 0;
        for (int k = 0; closed && line_group_connections(fixture->group, i) > 0; k++) {
            g_assert_cmpint(k, <, ANSWER_WAIT_S * 1000);
            g_usleep(1000);
        }
    }
}

/* Nothing reaches databases of a zone that was evacuated: reads go elsewhere, open transactions
 * there end with a promise, and what only a primary could serve that is inside is refused, until
 * the zone is taken back. */
static void
test_evacuated(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    struct client *resting = client_open(fixture, "strict");
    struct client *reading = client_open(fixture, "stale");
    fixture->timeout_ms = 400;
    evacuate(fixture, 1U << 1 | 1U << 2);
    good(client, "WRITE hut 4", 'I');
    good(reading, "READ hut", 'I');
    good(resting, "BEGIN", 'T');
    good(resting, "WRITE hut 5", 'T');
    evacuate(fixture, 1U << 0); /* the primary */
    bad(client, "WRITE hut 6", "BUSY", 'I');
    bad(resting, "COMMIT", "ABORTED", 'I');
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "5"), ==, 0);
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "6"), ==, 0);
    evacuate(fixture, 0);
    good(client, "WRITE hut 7", 'I');
    client_close(reading);
    client_close(resting);
    client_close(client);
}

/* A primary that has started again without its log gets no work, whatever it says of itself: reads
 * there would miss acknowledged commits. */
static void
test_primary_without_its_log(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    fixture->timeout_ms = 400;
    publish(fixture);
    wait_until_followed(fixture);
    good(client, "WRITE hut 4", 'I');
    const struct line_faults deaf = {.deaf = true};
    line_group_set_faults(fixture->group, 1, &deaf);
    line_group_set_faults(fixture->group, 2, &deaf);
    line_group_lose_log(fixture->group, 0);
    for (int i = 0; i < 3; i++) {
        bad(client, "READ hut", "BUSY", 'I');
    }
    g_autoptr(GPtrArray) runs = line_group_runs(fixture->group);
    g_assert_cmpuint(runs->len, ==, 1);
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
    wait_until_followed(fixture);
    bad(client, "WRITE hut 5", "BUSY", 'I');
    g_assert_nonnull(strstr(client->result, "retry in"));
    good(client, "BEGIN", 'T');
    bad(client, "WRITE hut 6", "ABORTED", 'E');
    good(client, "ROLLBACK", 'I');
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "5"), ==, 0);
    client_close(client);
}

/* Once a group has been closed for longer than a change takes, its statements are refused as they
 * come, so that their clients can ask another pooler in time. */
static void
test_refusal_once_lost(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    fixture->timeout_ms = 20000; /* the wait in the queue would be 9 s */
    fixture->phase = GROUP_PHASE_CLOSED;
    publish(fixture);
    g_usleep(900 * 1000);
    time_ns asked = backend_now();
    bad(client, "WRITE hut 5", "BUSY", 'I');
    g_assert_cmpuint(backend_now() - asked, <, 5000 * MS);
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
test_transaction_cut_by_a_change(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    good(client, "BEGIN", 'T');
    good(client, "WRITE hut 5", 'T');
    fixture->phase = GROUP_PHASE_CLOSED;
    publish(fixture);
    wait_until_followed(fixture);
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

/* Index of the newest run of a text. */
static guint
index_of(GPtrArray *runs, const char *text)
{
    guint index = 0;
    g_assert_true(g_ptr_array_find(runs, find_run(runs, text), &index));
    return index;
}

/* Of two routes that are as urgent, the statement goes first whose objective ends first, however
 * late it came. */
static void
test_first_objective_first(struct fixture *fixture, gconstpointer unused)
{
    struct client *patient = client_open(fixture, "strict");
    struct client *pressed = client_open(fixture, "own");
    fixture->own_target_ms = 40;
    fixture->connections = 1;
    fixture->phase = GROUP_PHASE_CLOSED;
    publish(fixture);
    wait_until_followed(fixture);
    client_send(patient, "WRITE hut patient");
    g_usleep(20 * 1000);
    client_send(pressed, "WRITE hut pressed");
    g_usleep(20 * 1000);
    fixture->phase = GROUP_PHASE_OPEN;
    publish(fixture);
    client_read(patient);
    client_read(pressed);
    g_autoptr(GPtrArray) runs = line_group_runs(fixture->group);
    g_assert_cmpuint(index_of(runs, "hut pressed"), <, index_of(runs, "hut patient"));
    client_close(patient);
    client_close(pressed);
}

/* A statement that would wait longer than its objective, by the pace at which the queue moves, is
 * refused as it comes. */
static void
test_refusal_by_pace(struct fixture *fixture, gconstpointer unused)
{
    struct client *clients[24];
    unsigned refused = 0;
    fixture->connections = 1;
    fixture->timeout_ms = 20000;
    publish(fixture);
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.slow_ms = 40});
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        clients[i] = client_open(fixture, "strict");
        good(clients[0], "WRITE hut warm", 'I'); /* teaches how long a statement takes */
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

/* Three statements wait, and would be in time; four more urgent ones come. Those that wait are told
 * at once that they would be late, in place of being served so, and the urgent ones are in time. */
static void
test_least_urgent_are_refused_first(struct fixture *fixture, gconstpointer unused)
{
    struct client *waiting[4];
    struct client *urgent[4];
    unsigned refused = 0;
    fixture->connections = 1;
    fixture->timeout_ms = 20000;
    fixture->strict_priority = 2;
    publish(fixture);
    wait_until_followed(fixture);
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.slow_ms = 40});
    for (size_t i = 0; i < G_N_ELEMENTS(waiting); i++) {
        waiting[i] = client_open(fixture, "strict");
        urgent[i] = client_open(fixture, "own");
    }
    for (size_t i = 0; i < 16; i++) {
        good(waiting[0], "WRITE hut warm", 'I'); /* teaches how long a statement takes */
    }
    for (size_t i = 0; i < G_N_ELEMENTS(waiting); i++) {
        client_send(waiting[i], "WRITE hut waiting");
    }
    g_usleep(10 * 1000);
    for (size_t i = 0; i < G_N_ELEMENTS(urgent); i++) {
        client_send(urgent[i], "WRITE hut urgent");
    }
    for (size_t i = 0; i < G_N_ELEMENTS(urgent); i++) {
        client_read(urgent[i]);
        g_assert_true(g_str_has_prefix(urgent[i]->result, "COMPLETE"));
        client_read(waiting[i]);
        refused += g_str_has_prefix(waiting[i]->result, "ERROR BUSY");
    }
    g_test_message("%u refused", refused);
    g_assert_cmpuint(refused, >, 0);
    g_assert_cmpuint(refused, <, G_N_ELEMENTS(waiting)); /* one ran already */
    for (size_t i = 0; i < G_N_ELEMENTS(urgent); i++) {
        client_close(waiting[i]);
        client_close(urgent[i]);
    }
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

static uint64_t
count_opened(const struct fixture *fixture)
{
    return atomic_load(&worker_metrics(fixture->worker)->counters[METRICS_CONNECTIONS_OPENED]);
}

/* A database that has no room for more connections is asked for one ever more seldom, though it
 * answers on those that it has, and is not taken for lost. */
static void
test_full_databases(struct fixture *fixture, gconstpointer unused)
{
    struct client *clients[6];
    fixture->connections = 10;
    for (unsigned i = 0; i < DATABASES; i++) {
        line_group_set_faults(fixture->group, i, &(struct line_faults){.slow_ms = 5, .room = 1});
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
    /* Six within 2 s at each database: after 75, 150, 300, 600 and 1200 ms, all waits at their
     * shortest, and two at once. */
    g_assert_cmpuint(count_opened(fixture), <=, 12 * DATABASES);
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

static _Atomic unsigned late_lines;

/* Counts lines of late operations, and checks what each must tell. */
static GLogWriterOutput
count_late_lines(GLogLevelFlags level, const GLogField *fields, gsize count, gpointer unused)
{
    bool operation = false;
    unsigned told = 0;
    static const char *const wanted[] = {"SW_REQUEST",   "SW_ROUTE_KIND", "SW_PRIORITY",
                                         "SW_SERVICE",   "SW_STAGES_MS",  "SW_STATEMENTS",
                                         "SW_AT_PRIMARY"};
    for (gsize i = 0; i < count; i++) {
        operation = operation || (strcmp(fields[i].key, "GLIB_DOMAIN") == 0 &&
                                  strcmp(fields[i].value, "operation") == 0);
        for (size_t j = 0; j < G_N_ELEMENTS(wanted); j++) {
            told += strcmp(fields[i].key, wanted[j]) == 0;
        }
    }
    if (operation) {
        g_assert_cmpuint(told, ==, G_N_ELEMENTS(wanted));
        atomic_fetch_add(&late_lines, 1);
    }
    return G_LOG_WRITER_HANDLED;
}

static uint64_t
count_late(const struct fixture *fixture)
{
    return atomic_load(&worker_metrics(fixture->worker)->counters[METRICS_OPERATIONS_LATE]);
}

/* A transaction whose every statement is in time is late as a whole, which one line tells; what the
 * client rests in between is not the pooler's. Many late ones write a bounded number of lines. */
static void
test_late_as_a_whole(struct fixture *fixture, gconstpointer unused)
{
    struct client *client = client_open(fixture, "strict");
    atomic_store(&late_lines, 0);
    good(client, "BEGIN", 'T');
    good(client, "WRITE hut 1", 'T');
    g_usleep(400 * 1000);
    good(client, "COMMIT", 'I');
    g_assert_cmpuint(count_late(fixture), ==, 0);
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.slow_ms = 90});
    good(client, "BEGIN", 'T');
    good(client, "WRITE hut 1", 'T');
    good(client, "READ hut", 'T');
    good(client, "COMMIT", 'I');
    g_assert_cmpuint(count_late(fixture), ==, 1);
    g_assert_cmpuint(atomic_load(&late_lines), ==, 1);
    line_group_set_faults(fixture->group, 0, &(struct line_faults){0});
    fixture->own_target_ms = 1;
    publish(fixture);
    line_group_set_faults(fixture->group, 0, &(struct line_faults){.slow_ms = 2});
    struct client *strained = client_open(fixture, "own");
    time_ns began = backend_now();
    for (int i = 0; i < 60; i++) {
        good(strained, "WRITE hut 1", 'I');
    }
    uint64_t seconds = (backend_now() - began) / NANOSECONDS_PER_SECOND + 1;
    g_assert_cmpuint(count_late(fixture), ==, 61);
    g_assert_cmpuint(atomic_load(&late_lines), >=, 4);
    g_assert_cmpuint(atomic_load(&late_lines), <=, 1 + 4 + 2 * seconds);
    client_close(strained);
    client_close(client);
}

#define ADD(name, set_up_function, test)                                                           \
    g_test_add("/pooler/worker/" name, struct fixture, NULL, set_up_function, test, tear_down)

static uint64_t
count_let_go(const struct fixture *fixture)
{
    return atomic_load(
        &worker_metrics(fixture->worker)->counters[METRICS_SESSIONS_CLOSED_PARTITIONED]);
}

static void
wait_for_let_go(const struct fixture *fixture, uint64_t count)
{
    for (unsigned i = 0; count_let_go(fixture) < count; i++) {
        g_assert_cmpuint(i, <, ANSWER_WAIT_S * 1000);
        g_usleep(1000);
    }
}

#define AT_REST 12

/* A zone that is cut off lets its clients at rest go: not before the entry sends them elsewhere,
 * and a few each TICK_MS, however often the worker is woken. Who is in a transaction ends it first.
 */
static void
test_cut_off_lets_clients_go(struct fixture *fixture, gconstpointer unused)
{
    struct client *clients[AT_REST];
    struct client *open = client_open(fixture, "strict");
    for (unsigned i = 0; i < AT_REST; i++) {
        clients[i] = client_open(fixture, "strict");
        good(clients[i], "READ hut", 'I');
    }
    good(open, "BEGIN", 'T');
    good(open, "WRITE hut open", 'T');
    atomic_store(&fixture->shared.partitioned_since, backend_now());
    worker_wake(fixture->worker);
    g_usleep(200 * 1000);
    g_assert_cmpuint(count_let_go(fixture), ==, 0);
    time_ns before = backend_now();
    atomic_store(&fixture->shared.partitioned_since, before - 3 * NANOSECONDS_PER_SECOND);
    for (unsigned i = 0; i < 20; i++) {
        worker_wake(fixture->worker);
        g_usleep(1000);
    }
    uint64_t gone = count_let_go(fixture);
    time_ns ticks = (backend_now() - before) / (50 * NANOSECONDS_PER_MILLISECOND);
    g_assert_cmpuint(gone, <=, 4 * (ticks + 1));
    wait_for_let_go(fixture, AT_REST);
    good(open, "WRITE hut still-open", 'T');
    good(open, "COMMIT", 'I');
    wait_for_let_go(fixture, AT_REST + 1);
    atomic_store(&fixture->shared.partitioned_since, 0);
    g_assert_cmpuint(line_group_committed(fixture->group, "hut", "still-open"), ==, 1);
    for (unsigned i = 0; i < AT_REST; i++) {
        client_close(clients[i]);
    }
    client_close(open);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_log_set_writer_func(count_late_lines, NULL, NULL);
    ADD("late-as-a-whole", set_up, test_late_as_a_whole);
    ADD("cut-off", set_up, test_cut_off_lets_clients_go);
    ADD("forwarding/cut-off", set_up_forwarding, test_cut_off_lets_clients_go);
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
    ADD("own-write-awaited", set_up, test_own_write_is_awaited_at_a_replica);
    ADD("own-writes-transaction", set_up, test_own_write_in_a_transaction);
    ADD("leadership", set_up, test_leadership_without_a_coordinator);
    ADD("another-may-lead", set_up, test_no_read_where_another_may_lead);
    ADD("ready-connections", set_up, test_ready_connections);
    ADD("empty-commit", set_up, test_empty_commit_proves_nothing);
    ADD("empty-commit-after-a-write", set_up, test_empty_commit_after_a_write);
    ADD("change-of-primary", set_up, test_change_of_primary);
    ADD("primary-without-its-log", set_up, test_primary_without_its_log);
    ADD("refusal-while-closed", set_up, test_refusal_while_closed);
    ADD("refusal-once-lost", set_up, test_refusal_once_lost);
    ADD("first-objective-first", set_up, test_first_objective_first);
    ADD("refusal-by-pace", set_up, test_refusal_by_pace);
    ADD("least-urgent-first", set_up, test_least_urgent_are_refused_first);
    ADD("cut-by-a-change", set_up, test_transaction_cut_by_a_change);
    ADD("busy", set_up, test_busy_database_is_asked_again);
    ADD("connections-bounded", set_up, test_connections_are_bounded);
    ADD("overload", set_up, test_overload_is_refused_at_once);
    ADD("too-large", set_up, test_too_large);
    ADD("evacuated", set_up, test_evacuated);
    ADD("planned-stop", set_up, test_planned_stop);
    ADD("forwarding/unknown-database", set_up_forwarding, test_unknown_database);
    ADD("forwarding/removed-route", set_up_forwarding, test_removed_route);
    ADD("forwarding/reads-see-writes", set_up_forwarding, test_reads_see_writes);
    ADD("forwarding/input-in-pieces", set_up_forwarding, test_input_in_pieces_and_ahead);
    ADD("forwarding/prepared-and-values", set_up_forwarding, test_prepared_names_and_values);
    ADD("forwarding/unknown-prepared", set_up_forwarding, test_unknown_prepared_name);
    ADD("forwarding/pinned", set_up_forwarding, test_transaction_stays_on_its_connection);
    ADD("forwarding/rollback-and-gone", set_up_forwarding, test_rollback_and_client_gone);
    ADD("forwarding/transaction-errors", set_up_forwarding, test_transaction_errors);
    ADD("forwarding/lost-answer-of-write", set_up_forwarding, test_lost_answer_of_a_write);
    ADD("forwarding/silent-database", set_up_forwarding,
        test_read_moves_away_from_a_silent_database);
    ADD("forwarding/orphan", set_up_forwarding, test_lost_answer_without_a_client);
    ADD("forwarding/bounded-at-replicas", set_up_forwarding, test_bounded_reads_use_replicas);
    ADD("forwarding/own-writes", set_up_forwarding, test_session_sees_its_own_write);
    ADD("forwarding/own-writes-transaction", set_up_forwarding, test_own_write_in_a_transaction);
    ADD("forwarding/leadership", set_up_forwarding, test_leadership_without_a_coordinator);
    ADD("forwarding/another-may-lead", set_up_forwarding, test_no_read_where_another_may_lead);
    ADD("forwarding/empty-commit-after-a-write", set_up_forwarding,
        test_empty_commit_after_a_write);
    ADD("forwarding/empty-commit", set_up_forwarding, test_empty_commit_proves_nothing);
    ADD("forwarding/change-of-primary", set_up_forwarding, test_change_of_primary);
    ADD("forwarding/refusal-while-closed", set_up_forwarding, test_refusal_while_closed);
    ADD("forwarding/refusal-once-lost", set_up_forwarding, test_refusal_once_lost);
    ADD("forwarding/cut-by-a-change", set_up_forwarding, test_transaction_cut_by_a_change);
    ADD("forwarding/busy", set_up_forwarding, test_busy_database_is_asked_again);
    ADD("full-databases", set_up, test_full_databases);
    ADD("forwarding/connections-bounded", set_up_forwarding, test_connections_are_bounded);
    ADD("forwarding/overload", set_up_forwarding, test_overload_is_refused_at_once);
    ADD("forwarding/too-large", set_up_forwarding, test_too_large);
    ADD("forwarding/late-as-a-whole", set_up_forwarding, test_late_as_a_whole);
    ADD("forwarding/planned-stop", set_up_forwarding, test_planned_stop);
    return g_test_run();
}
