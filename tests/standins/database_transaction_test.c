/* Transactions of the stand-in database: isolation, rollback, conflicts, cancelling, slots. */
#include "database_fixture.h"

struct fixture {
    struct server *server;
    PGconn *first;
    PGconn *second;
};

static void set_up(struct fixture *fixture, const void *data)
{
    struct server_options options = fixture_options();
    options.slots = 2;
    fixture->server = fixture_start(&options);
    fixture->first = fixture_connect(fixture->server);
    fixture->second = fixture_connect(fixture->server);
    fixture_run(fixture->first,
                "CREATE TABLE meters (id BIGINT PRIMARY KEY, credit BIGINT NOT NULL "
                "CHECK (credit >= 0))");
    fixture_run(fixture->first, "INSERT INTO meters VALUES (1, 100)");
}

static void tear_down(struct fixture *fixture, const void *data)
{
    PQfinish(fixture->first);
    PQfinish(fixture->second);
    server_stop(fixture->server);
}

static void test_uncommitted_is_unseen(struct fixture *fixture, const void *data)
{
    fixture_run(fixture->first, "BEGIN; UPDATE meters SET credit = 90 WHERE id = 1");
    g_assert_cmpint(PQtransactionStatus(fixture->first), ==, PQTRANS_INTRANS);
    fixture_expect(fixture->first, "SELECT credit FROM meters", "90");
    fixture_expect(fixture->second, "SELECT credit FROM meters", "100");
    fixture_run_tag(fixture->first, "ROLLBACK", "ROLLBACK");
    fixture_expect(fixture->first, "SELECT credit FROM meters", "100");
    fixture_run(fixture->first, "BEGIN; UPDATE meters SET credit = 80 WHERE id = 1");
    fixture_run_tag(fixture->first, "COMMIT", "COMMIT");
    fixture_expect(fixture->second, "SELECT credit FROM meters", "80");
}

static void test_disconnect_rolls_back(struct fixture *fixture, const void *data)
{
    fixture_run(fixture->first, "BEGIN; UPDATE meters SET credit = 90 WHERE id = 1");
    PQfinish(fixture->first);
    fixture_run_tag(fixture->second, "UPDATE meters SET credit = credit - 1", "UPDATE 1");
    fixture_expect(fixture->second, "SELECT credit FROM meters", "99");
    fixture->first = fixture_connect(fixture->server);
}

static void test_constraints(struct fixture *fixture, const void *data)
{
    fixture_run_failing(fixture->first, "INSERT INTO meters VALUES (1, 5)", "23505");
    fixture_run_failing(fixture->first, "INSERT INTO meters VALUES (2, NULL)", "23502");
    fixture_run_failing(fixture->first, "INSERT INTO meters VALUES (2, -1)", "23514");
    fixture_run_failing(fixture->first, "BEGIN; INSERT INTO meters VALUES (1, 5)", "23505");
    g_assert_cmpint(PQtransactionStatus(fixture->first), ==, PQTRANS_INERROR);
    fixture_run_tag(fixture->second, "INSERT INTO meters VALUES (2, 0)", "INSERT 0 1");
    fixture_run_tag(fixture->first, "COMMIT", "ROLLBACK");
    g_assert_cmpint(PQtransactionStatus(fixture->first), ==, PQTRANS_IDLE);
}

static void test_repeatable_read(struct fixture *fixture, const void *data)
{
    fixture_run(fixture->first, "BEGIN ISOLATION LEVEL REPEATABLE READ; SELECT * FROM meters");
    fixture_run(fixture->second, "UPDATE meters SET credit = 70");
    fixture_expect(fixture->first, "SELECT credit FROM meters", "100");
    fixture_run_failing(fixture->first, "UPDATE meters SET credit = credit - 1", "40001");
    fixture_run(fixture->first, "ROLLBACK");
    fixture_run(fixture->first, "BEGIN; SELECT * FROM meters");
    fixture_run(fixture->second, "UPDATE meters SET credit = 60");
    fixture_run_tag(fixture->first, "UPDATE meters SET credit = credit - 1", "UPDATE 1");
    fixture_run(fixture->first, "COMMIT");
    fixture_expect(fixture->second, "SELECT credit FROM meters", "59");
}

static void test_cancel_of_a_waiting_write(struct fixture *fixture, const void *data)
{
    fixture_run(fixture->first, "BEGIN; SELECT credit FROM meters WHERE id = 1 FOR UPDATE");
    g_assert_true(PQsendQuery(fixture->second, "UPDATE meters SET credit = 1"));
    char message[256];
    PGcancel *cancel = PQgetCancel(fixture->second);
    g_assert_true(PQcancel(cancel, message, sizeof message));
    PQfreeCancel(cancel);
    PGresult *result = PQgetResult(fixture->second);
    g_assert_cmpstr(PQresultErrorField(result, PG_DIAG_SQLSTATE), ==, "57014");
    PQclear(result);
    g_assert_null(PQgetResult(fixture->second));
    fixture_run(fixture->first, "COMMIT");
    fixture_expect(fixture->second, "SELECT credit FROM meters", "100");
}

#define WRITERS           4
#define WRITES_PER_WRITER 100

static void *run_writer(void *data)
{
    PGconn *connection = fixture_connect(data);
    for (int i = 0; i < WRITES_PER_WRITER; i++) {
        fixture_run(connection, "BEGIN; SELECT credit FROM meters WHERE id = 1 FOR UPDATE");
        fixture_run(connection, "UPDATE meters SET credit = credit + 1 WHERE id = 1");
        fixture_run(connection, "COMMIT");
    }
    PQfinish(connection);
    return NULL;
}

static void test_concurrent_writers(struct fixture *fixture, const void *data)
{
    pthread_t threads[WRITERS];
    for (int i = 0; i < WRITERS; i++) {
        pthread_create(&threads[i], NULL, run_writer, fixture->server);
    }
    for (int i = 0; i < WRITERS; i++) {
        pthread_join(threads[i], NULL);
    }
    fixture_expect(fixture->first, "SELECT credit FROM meters", "500");
    g_assert_cmpuint(slots_peak(&fixture->server->slots), <=, 2);
}

static void test_idle_transaction_is_ended(void)
{
    struct server_options options = fixture_options();
    options.idle_transaction_ms = 1;
    struct server *server = fixture_start(&options);
    PGconn *idle = fixture_connect(server);
    PGconn *other = fixture_connect(server);
    fixture_run(other, "CREATE TABLE t (a BIGINT)");
    g_assert_true(PQsendQuery(idle, "BEGIN"));
    PQclear(PQgetResult(idle));
    PGresult *result = NULL;
    while (PQstatus(idle) == CONNECTION_OK) {
        PQclear(result);
        result = fixture_query(idle, "SELECT 1");
        g_usleep(G_USEC_PER_SEC / 100);
    }
    PQclear(result);
    fixture_run(other, "INSERT INTO t VALUES (1)");
    PQfinish(idle);
    PQfinish(other);
    server_stop(server);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, function)                                                                        \
    g_test_add("/standin-database/transaction/" name, struct fixture, NULL, set_up, function,      \
               tear_down)
    ADD("uncommitted-is-unseen", test_uncommitted_is_unseen);
    ADD("disconnect-rolls-back", test_disconnect_rolls_back);
    ADD("constraints", test_constraints);
    ADD("repeatable-read", test_repeatable_read);
    ADD("cancel-of-a-waiting-write", test_cancel_of_a_waiting_write);
    ADD("concurrent-writers", test_concurrent_writers);
    g_test_add_func("/standin-database/transaction/idle-transaction-is-ended",
                    test_idle_transaction_is_ended);
    return g_test_run();
}
