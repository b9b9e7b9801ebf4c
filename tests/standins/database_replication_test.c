/* Replicas of the stand-in database hold and apply exactly what their primary commits. */
#include "database_fixture.h"

/* A primary "a" and a replica "b" that hold a table of one row, at log offsets 1 and 2. */
struct fixture {
    struct server *a;
    struct server *b;
    PGconn *at_a;
    PGconn *at_b;
};

static void set_up(struct fixture *fixture, const void *data)
{
    struct server_options options = fixture_options();
    fixture->a = fixture_start(&options);
    fixture->b = fixture_start_replica("b", fixture->a);
    fixture->at_a = fixture_connect(fixture->a);
    fixture->at_b = fixture_connect(fixture->b);
    fixture_run(fixture->at_a, "CREATE TABLE stays (id BIGINT PRIMARY KEY, at TEXT, chance REAL)");
    fixture_run(fixture->at_a, "INSERT INTO stays VALUES (1, now(), random())");
    fixture_run(fixture->at_b, "SELECT * FROM swiftworks_wait_applied(1, 2, 60000)");
}

static void tear_down(struct fixture *fixture, const void *data)
{
    PQfinish(fixture->at_a);
    PQfinish(fixture->at_b);
    server_stop(fixture->b);
    server_stop(fixture->a);
}

/* Checks that "SELECT swiftworks_status()" returns the same row in its text form. */
static void expect_record(PGconn *connection, const PGresult *row)
{
    PGresult *result = fixture_query(connection, "SELECT swiftworks_status()");
    g_autoptr(GString) record = g_string_new("(");
    for (int column = 0; column < PQnfields(row); column++) {
        g_string_append(record, column > 0 ? "," : "");
        g_string_append(record, PQgetvalue(row, 0, column));
    }
    g_string_append_c(record, ')');
    g_assert_cmpint(PQnfields(result), ==, 1);
    g_assert_cmpstr(PQfname(result, 0), ==, "swiftworks_status");
    g_assert_cmpstr(PQgetvalue(result, 0, 0), ==, record->str);
    PQclear(result);
}

/* Checks role, term, promised term, held and applied position of swiftworks_status(). */
static void expect_status(PGconn *connection, const char *expected)
{
    PGresult *result = fixture_query(connection, "SELECT * FROM swiftworks_status()");
    g_autoptr(GString) status = g_string_new(PQgetvalue(result, 0, 0));
    for (int column = 1; column < 7; column++) {
        g_string_append_printf(status, " %s", PQgetvalue(result, 0, column));
    }
    g_assert_cmpstr(status->str, ==, expected);
    expect_record(connection, result);
    PQclear(result);
}

static void run_follow(PGconn *connection, int term, const struct server *primary)
{
    g_autofree char *address = fixture_address(primary);
    g_autofree char *sql =
        g_strdup_printf("SELECT * FROM swiftworks_follow(%d, '%s', 'c')", term, address);
    fixture_run(connection, sql);
}

static void test_replica_follows(struct fixture *fixture, const void *data)
{
    static const char ROW[] = "SELECT at || ' ' || chance FROM stays";
    g_autofree char *written = fixture_value(fixture->at_a, ROW);
    fixture_expect(fixture->at_b, ROW, written);
    expect_status(fixture->at_a, "primary 1 1 1 2 1 2");
    expect_status(fixture->at_b, "replica 1 1 1 2 1 2");
    fixture_run_failing(fixture->at_b, "INSERT INTO stays (id) VALUES (2)", "25006");
    PGconn *pooled = fixture_connect(fixture->a);
    fixture_expect(pooled, "SELECT * FROM swiftworks_last_commit()", "0");
    PQfinish(pooled);
}

static void test_casts_replay_alike(struct fixture *fixture, const void *data)
{
    const char *const values[] = {"5"};
    PGresult *result =
        PQexecParams(fixture->at_a, "INSERT INTO stays (id, at) VALUES (2, typeof($1::bigint))", 1,
                     NULL, values, NULL, NULL, 0);
    g_assert_cmpstr(PQcmdStatus(result), ==, "INSERT 0 1");
    PQclear(result);
    fixture_run(fixture->at_b, "SELECT * FROM swiftworks_wait_applied(1, 3, 60000)");
    fixture_expect(fixture->at_a, "SELECT at FROM stays WHERE id = 2", "integer");
    fixture_expect(fixture->at_b, "SELECT at FROM stays WHERE id = 2", "integer");
}

static void test_lag_holds_but_does_not_apply(struct fixture *fixture, const void *data)
{
    struct database *database = fixture->b->database;
    pthread_mutex_lock(&database->lock);
    database->replication_lag_ms = G_MAXINT32;
    pthread_mutex_unlock(&database->lock);
    fixture_run(fixture->at_a, "INSERT INTO stays (id) VALUES (2)");
    fixture_run(fixture->at_b, "SELECT * FROM swiftworks_wait_held(1, 3, 60000)");
    fixture_run(fixture->at_b, "SELECT * FROM swiftworks_wait_applied(1, 3, 10)");
    expect_status(fixture->at_b, "replica 1 1 1 3 1 2");
    fixture_expect(fixture->at_b, "SELECT count(*) FROM stays", "1");
    fixture_run(fixture->at_b, "SELECT * FROM swiftworks_fence(2, 'c')");
    fixture_run(fixture->at_b, "SELECT * FROM swiftworks_promote(2, 'c')");
    expect_status(fixture->at_b, "primary 2 2 2 4 2 4");
    fixture_expect(fixture->at_b, "SELECT count(*) FROM stays", "2");
}

static void test_divergent_tail_is_dropped(struct fixture *fixture, const void *data)
{
    fixture_run(fixture->at_b, "SELECT * FROM swiftworks_fence(2, 'c')");
    fixture_run(fixture->at_a, "INSERT INTO stays (id, at) VALUES (2, 'lost')");
    fixture_run(fixture->at_a, "INSERT INTO stays (id, at) VALUES (3, 'lost')");
    fixture_run(fixture->at_b, "SELECT * FROM swiftworks_promote(2, 'c')");
    fixture_run(fixture->at_b, "INSERT INTO stays (id, at) VALUES (2, 'kept')");
    expect_status(fixture->at_a, "primary 1 1 1 4 1 4");
    run_follow(fixture->at_a, 2, fixture->b);
    fixture_run(fixture->at_a, "SELECT * FROM swiftworks_wait_applied(2, 4, 60000)");
    expect_status(fixture->at_a, "replica 2 2 2 4 2 4");
    fixture_expect(fixture->at_a, "SELECT at FROM stays WHERE id = 2", "kept");
    fixture_expect(fixture->at_a, "SELECT count(*) FROM stays", "2");
    fixture_run(fixture->at_a, "SELECT * FROM swiftworks_fence(3, 'c')");
    fixture_run(fixture->at_a, "SELECT * FROM swiftworks_promote(3, 'c')");
    fixture_run(fixture->at_a, "INSERT INTO stays (id, at) VALUES (3, 'new')");
    run_follow(fixture->at_b, 3, fixture->a);
    fixture_run(fixture->at_b, "SELECT * FROM swiftworks_wait_applied(3, 6, 60000)");
    fixture_expect(fixture->at_b, "SELECT count(*) FROM stays", "3");
}

static void test_fenced_replica_takes_nothing_older(struct fixture *fixture, const void *data)
{
    fixture_run(fixture->at_b, "SELECT * FROM swiftworks_fence(2, 'c')");
    fixture_run(fixture->at_a, "INSERT INTO stays (id) VALUES (2)");
    fixture_run(fixture->at_b, "SELECT * FROM swiftworks_wait_held(1, 3, 60000)");
    expect_status(fixture->at_b, "replica 1 2 1 2 1 2");
    run_follow(fixture->at_b, 2, fixture->a);
    fixture_run(fixture->at_b, "SELECT * FROM swiftworks_wait_held(1, 3, 200)");
    expect_status(fixture->at_b, "replica 2 2 1 2 1 2");
}

static void test_fence_ends_waits(struct fixture *fixture, const void *data)
{
    PGconn *waiting = fixture_connect(fixture->b);
    g_assert_true(PQsendQuery(waiting, "SELECT * FROM swiftworks_wait_held(1, 99, 1000000)"));
    fixture_run(fixture->at_b, "SELECT * FROM swiftworks_fence(2, 'c')");
    PGresult *result = PQgetResult(waiting);
    g_assert_cmpstr(PQgetvalue(result, 0, 2), ==, "2");
    PQclear(result);
    PQfinish(waiting);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, function)                                                                        \
    g_test_add("/standin-database/replication/" name, struct fixture, NULL, set_up, function,      \
               tear_down)
    ADD("replica-follows", test_replica_follows);
    ADD("casts-replay-alike", test_casts_replay_alike);
    ADD("lag-holds-but-does-not-apply", test_lag_holds_but_does_not_apply);
    ADD("divergent-tail-is-dropped", test_divergent_tail_is_dropped);
    ADD("fenced-replica-takes-nothing-older", test_fenced_replica_takes_nothing_older);
    ADD("fence-ends-waits", test_fence_ends_waits);
    return g_test_run();
}
