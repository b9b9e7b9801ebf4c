/* Advisory locks of the stand-in database, and which statements it treats as control calls. */
#include "database_fixture.h"

struct fixture {
    struct server *server;
    PGconn *first;
    PGconn *second;
};

static void set_up(struct fixture *fixture, const void *data)
{
    struct server_options options = fixture_options();
    fixture->server = fixture_start(&options);
    fixture->first = fixture_connect(fixture->server);
    fixture->second = fixture_connect(fixture->server);
}

static void tear_down(struct fixture *fixture, const void *data)
{
    PQfinish(fixture->first);
    PQfinish(fixture->second);
    server_stop(fixture->server);
}

static void test_one_holder(struct fixture *fixture, const void *data)
{
    fixture_expect(fixture->first, "SELECT pg_try_advisory_lock(7)", "t");
    fixture_expect(fixture->second, "SELECT pg_try_advisory_lock(7)", "f");
    fixture_expect(fixture->second, "SELECT pg_try_advisory_lock(-7)", "t");
    fixture_expect(fixture->second, "SELECT pg_advisory_unlock(7)", "f");
    fixture_expect(fixture->first, "SELECT pg_advisory_unlock(7)", "t");
    fixture_expect(fixture->second, "select pg_try_advisory_lock ( 7 )", "t");
}

static void test_pairs_are_another_space(struct fixture *fixture, const void *data)
{
    fixture_expect(fixture->first, "SELECT pg_try_advisory_lock(0, 7)", "t");
    fixture_expect(fixture->second, "SELECT pg_try_advisory_lock(0, 7)", "f");
    fixture_expect(fixture->second, "SELECT pg_try_advisory_lock(7, 0)", "t");
    fixture_expect(fixture->second, "SELECT pg_try_advisory_lock(7)", "t");
}

/* A lock must be released as often as it was taken. */
static void test_taken_twice(struct fixture *fixture, const void *data)
{
    fixture_expect(fixture->first, "SELECT pg_try_advisory_lock(7)", "t");
    fixture_expect(fixture->first, "SELECT pg_try_advisory_lock(7)", "t");
    fixture_expect(fixture->first, "SELECT pg_advisory_unlock(7)", "t");
    fixture_expect(fixture->second, "SELECT pg_try_advisory_lock(7)", "f");
    fixture_expect(fixture->first, "SELECT pg_advisory_unlock(7)", "t");
    fixture_expect(fixture->first, "SELECT pg_advisory_unlock(7)", "f");
    fixture_expect(fixture->second, "SELECT pg_try_advisory_lock(7)", "t");
}

/* Locks belong to the session: neither the end of a transaction nor its failure releases them. */
static void test_outlives_transactions(struct fixture *fixture, const void *data)
{
    fixture_run(fixture->first, "BEGIN");
    fixture_expect(fixture->first, "SELECT pg_try_advisory_lock(7)", "t");
    fixture_run(fixture->first, "ROLLBACK");
    fixture_expect(fixture->second, "SELECT pg_try_advisory_lock(7)", "f");
    fixture_run(fixture->first, "BEGIN READ ONLY");
    fixture_expect(fixture->first, "SELECT pg_try_advisory_lock(8)", "t");
    fixture_run_failing(fixture->first, "SELECT * FROM nowhere", "42P01");
    fixture_run_failing(fixture->first, "SELECT pg_try_advisory_lock(9)", "25P02");
    fixture_run(fixture->first, "ROLLBACK");
    fixture_expect(fixture->second, "SELECT pg_try_advisory_lock(8)", "f");
}

/* The end of the connection releases its locks, no later than the connection ceases to count
 * against the limit. */
static void test_ends_with_the_connection(struct fixture *fixture, const void *data)
{
    fixture_expect(fixture->first, "SELECT pg_try_advisory_lock(7)", "t");
    fixture_expect(fixture->first, "SELECT pg_try_advisory_lock(1, 2)", "t");
    PQfinish(fixture->first);
    fixture->first = NULL;
    pthread_mutex_lock(&fixture->server->lock);
    while (fixture->server->connections > 1) {
        pthread_cond_wait(&fixture->server->session_ended, &fixture->server->lock);
    }
    pthread_mutex_unlock(&fixture->server->lock);
    fixture_expect(fixture->second, "SELECT pg_try_advisory_lock(7)", "t");
    fixture_expect(fixture->second, "SELECT pg_try_advisory_lock(1, 2)", "t");
}

static void test_parameters(struct fixture *fixture, const void *data)
{
    const char *const values[] = {"5", "6"};
    const char *const none[] = {NULL};
    PGresult *result = PQexecParams(fixture->first, "SELECT pg_try_advisory_lock($1::int, $2::int)",
                                    2, NULL, values, NULL, NULL, 0);
    g_assert_cmpint(PQresultStatus(result), ==, PGRES_TUPLES_OK);
    g_assert_cmpuint(PQftype(result, 0), ==, OID_BOOL);
    g_assert_cmpstr(PQfname(result, 0), ==, "pg_try_advisory_lock");
    g_assert_cmpstr(PQgetvalue(result, 0, 0), ==, "t");
    PQclear(result);
    fixture_expect(fixture->second, "SELECT pg_try_advisory_lock(5, 6)", "f");
    result = PQexecParams(fixture->first, "SELECT pg_try_advisory_lock($1)", 1, NULL, none, NULL,
                          NULL, 0);
    g_assert_true(PQgetisnull(result, 0, 0));
    PQclear(result);
}

static void test_wrong_arguments(struct fixture *fixture, const void *data)
{
    fixture_run_failing(fixture->first, "SELECT pg_try_advisory_lock('x')", "22P02");
    fixture_run_failing(fixture->first, "SELECT pg_try_advisory_lock(1, 3000000000)", "22P02");
    fixture_run_failing(fixture->first, "SELECT pg_try_advisory_lock(1, 2, 3)", "42883");
    fixture_run_failing(fixture->first, "SELECT pg_try_advisory_lock()", "42883");
}

/* A table whose name starts like that of a control function is treated as a table. */
static void test_tables_are_no_control_calls(struct fixture *fixture, const void *data)
{
    fixture_run(fixture->first, "CREATE TABLE swiftworks_ledger (key TEXT)");
    fixture_run(fixture->first, "INSERT INTO swiftworks_ledger VALUES ('k')");
    fixture_expect(fixture->first, "SELECT 1 FROM swiftworks_ledger", "1");
    fixture_expect(fixture->first, "SELECT * FROM swiftworks_ledger WHERE key IN ('k')", "k");
    fixture_expect(fixture->first, "SELECT count(*) FROM swiftworks_ledger", "1");
    fixture_expect(fixture->first, "SELECT * FROM swiftworks_status()", "primary");
    fixture_run_failing(fixture->first, "SELECT * FROM swiftworks_nothing()", "42883");
}

#define ADD(name, function)                                                                        \
    g_test_add("/standin-database/advisory/" name, struct fixture, NULL, set_up, function,         \
               tear_down)

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("one-holder", test_one_holder);
    ADD("pairs-are-another-space", test_pairs_are_another_space);
    ADD("taken-twice", test_taken_twice);
    ADD("outlives-transactions", test_outlives_transactions);
    ADD("ends-with-the-connection", test_ends_with_the_connection);
    ADD("parameters", test_parameters);
    ADD("wrong-arguments", test_wrong_arguments);
    ADD("tables-are-no-control-calls", test_tables_are_no_control_calls);
    return g_test_run();
}
