/* The stand-in database implements PostgreSQL's protocol as libpq expects it. */
#include "database_fixture.h"

struct fixture {
    struct server *server;
    PGconn *connection;
};

static void set_up(struct fixture *fixture, const void *data)
{
    struct server_options options = fixture_options();
    fixture->server = fixture_start(&options);
    fixture->connection = fixture_connect(fixture->server);
    fixture_run(fixture->connection,
                "CREATE TABLE beds (id BIGINT PRIMARY KEY, guest TEXT, paid BOOLEAN, price REAL)");
}

static void tear_down(struct fixture *fixture, const void *data)
{
    PQfinish(fixture->connection);
    server_stop(fixture->server);
}

static void test_tags_and_types(struct fixture *fixture, const void *data)
{
    PGconn *connection = fixture->connection;
    fixture_run_tag(connection, "INSERT INTO beds VALUES (1, 'x', true, 1.5), (2, NULL, false, 2)",
                    "INSERT 0 2");
    fixture_run_tag(connection, "UPDATE beds SET guest = 'y' WHERE id = 1", "UPDATE 1");
    fixture_run_tag(connection, "DELETE FROM beds WHERE id = 9", "DELETE 0");
    PGresult *result = fixture_query(connection, "SELECT id, guest, paid, price, 1 + 1 FROM beds "
                                                 "ORDER BY id");
    static const Oid TYPES[] = {OID_INT8, OID_TEXT, OID_BOOL, OID_FLOAT8, OID_INT8};
    g_assert_cmpstr(PQcmdStatus(result), ==, "SELECT 2");
    for (int column = 0; column < (int)G_N_ELEMENTS(TYPES); column++) {
        g_assert_cmpuint(PQftype(result, column), ==, TYPES[column]);
    }
    g_assert_cmpstr(PQgetvalue(result, 0, 2), ==, "t");
    g_assert_true(PQgetisnull(result, 1, 1));
    PQclear(result);
    fixture_run_tag(connection, "INSERT INTO beds VALUES (1, 'z', false, 0) ON CONFLICT DO NOTHING",
                    "INSERT 0 0");
    fixture_expect(connection, "INSERT INTO beds VALUES (3, 'z', false, 0) RETURNING guest", "z");
    result = fixture_query(connection, "");
    g_assert_cmpint(PQresultStatus(result), ==, PGRES_EMPTY_QUERY);
    PQclear(result);
}

static void test_parameters_and_casts(struct fixture *fixture, const void *data)
{
    const char *const values[] = {"7", "it's; $1", NULL};
    PGresult *result = PQexecParams(fixture->connection,
                                    "INSERT INTO beds (guest, id, paid) "
                                    "VALUES ($2::text, $1::bigint, $3::boolean) "
                                    "RETURNING id, guest, paid",
                                    3, NULL, values, NULL, NULL, 0);
    g_assert_cmpint(PQresultStatus(result), ==, PGRES_TUPLES_OK);
    g_assert_cmpstr(PQgetvalue(result, 0, 0), ==, "7");
    g_assert_cmpstr(PQgetvalue(result, 0, 1), ==, "it's; $1");
    g_assert_true(PQgetisnull(result, 0, 2));
    PQclear(result);
    result = PQexecParams(fixture->connection, "SELECT count(*) FROM beds WHERE id + 0 = $1::int8",
                          1, NULL, values, NULL, NULL, 0);
    g_assert_cmpstr(PQgetvalue(result, 0, 0), ==, "1");
    g_assert_cmpuint(PQftype(result, 0), ==, OID_INT8);
    PQclear(result);
}

/* Reads the next result of a pipeline and checks its status. */
static PGresult *next_result(PGconn *connection, ExecStatusType status)
{
    PGresult *result = PQgetResult(connection);
    g_assert_cmpint(PQresultStatus(result), ==, status);
    if (status != PGRES_PIPELINE_SYNC) {
        g_assert_null(PQgetResult(connection));
    }
    return result;
}

static void send_query(PGconn *connection, const char *sql)
{
    g_assert_true(PQsendQueryParams(connection, sql, 0, NULL, NULL, NULL, NULL, 0));
}

static void test_pipeline(struct fixture *fixture, const void *data)
{
    PGconn *connection = fixture->connection;
    g_assert_true(PQenterPipelineMode(connection));
    send_query(connection, "BEGIN");
    send_query(connection, "INSERT INTO beds (id) VALUES (1)");
    send_query(connection, "COMMIT");
    send_query(connection, "SELECT * FROM swiftworks_last_commit()");
    g_assert_true(PQpipelineSync(connection));
    send_query(connection, "INSERT INTO beds (id) VALUES (2)");
    send_query(connection, "INSERT INTO beds (id) VALUES (1)");
    send_query(connection, "INSERT INTO beds (id) VALUES (3)");
    g_assert_true(PQpipelineSync(connection));
    send_query(connection, "SELECT count(*) FROM beds");
    g_assert_true(PQpipelineSync(connection));
    PQclear(next_result(connection, PGRES_COMMAND_OK));
    PQclear(next_result(connection, PGRES_COMMAND_OK));
    PQclear(next_result(connection, PGRES_COMMAND_OK));
    PGresult *result = next_result(connection, PGRES_TUPLES_OK);
    g_assert_cmpstr(PQgetvalue(result, 0, 1), ==, "2");
    PQclear(result);
    PQclear(next_result(connection, PGRES_PIPELINE_SYNC));
    PQclear(next_result(connection, PGRES_COMMAND_OK));
    result = next_result(connection, PGRES_FATAL_ERROR);
    g_assert_cmpstr(PQresultErrorField(result, PG_DIAG_SQLSTATE), ==, "23505");
    PQclear(result);
    PQclear(next_result(connection, PGRES_PIPELINE_ABORTED));
    PQclear(next_result(connection, PGRES_PIPELINE_SYNC));
    result = next_result(connection, PGRES_TUPLES_OK);
    g_assert_cmpstr(PQgetvalue(result, 0, 0), ==, "1");
    PQclear(result);
    PQclear(next_result(connection, PGRES_PIPELINE_SYNC));
    g_assert_true(PQexitPipelineMode(connection));
}

static void test_errors(struct fixture *fixture, const void *data)
{
    PGconn *connection = fixture->connection;
    PGresult *result = fixture_query(connection, "SELECT 1 FROM FROM");
    g_assert_cmpstr(PQresultErrorField(result, PG_DIAG_SQLSTATE), ==, "42601");
    g_assert_cmpstr(PQresultErrorField(result, PG_DIAG_STATEMENT_POSITION), ==, "15");
    PQclear(result);
    fixture_run_failing(connection, "SELECT * FROM nowhere", "42P01");
    fixture_run_failing(connection, "SELECT missing FROM beds", "42703");
    fixture_run_failing(connection, "PRAGMA user_version", "0A000");
    fixture_run_failing(connection, "SELECT * FROM swiftworks_nothing()", "42883");
    fixture_run_failing(connection, "BEGIN READ ONLY; DELETE FROM beds", "25006");
    fixture_run_failing(connection, "SELECT 1", "25P02");
    fixture_run_tag(connection, "COMMIT", "ROLLBACK");
    fixture_run(connection, "SELECT 1");
}

static void test_simple_query_is_one_transaction(struct fixture *fixture, const void *data)
{
    fixture_run_failing(fixture->connection,
                        "INSERT INTO beds (id) VALUES (1); INSERT INTO beds (id) VALUES (1)",
                        "23505");
    fixture_expect(fixture->connection, "SELECT count(*) FROM beds", "0");
    fixture_run(fixture->connection,
                "INSERT INTO beds (id) VALUES (1); INSERT INTO beds (id) VALUES (2);");
    fixture_expect(fixture->connection, "SELECT count(*) FROM beds", "2");
    fixture_expect(fixture->connection, "SELECT held_offset FROM (SELECT 2 AS held_offset)", "2");
}

static void test_connection_limit(void)
{
    struct server_options options = fixture_options();
    options.connections = 2;
    struct server *server = fixture_start(&options);
    PGconn *first = fixture_connect(server);
    PGconn *second = fixture_connect(server);
    PGconn *third = fixture_try_connect(server, "z1");
    g_assert_cmpint(PQstatus(third), ==, CONNECTION_BAD);
    g_assert_nonnull(strstr(PQerrorMessage(third), "too many clients"));
    PQfinish(third);
    for (int i = 0; i < 50; i++) {
        PQfinish(second);
        second = fixture_connect(server);
    }
    g_assert_cmpuint(server->counters.over_connection_limit, ==, 1);
    g_assert_cmpuint(server->counters.peak_connections, ==, 2);
    PQfinish(first);
    PQfinish(second);
    server_stop(server);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, function)                                                                        \
    g_test_add("/standin-database/protocol/" name, struct fixture, NULL, set_up, function,         \
               tear_down)
    ADD("tags-and-types", test_tags_and_types);
    ADD("parameters-and-casts", test_parameters_and_casts);
    ADD("pipeline", test_pipeline);
    ADD("errors", test_errors);
    ADD("simple-query-is-one-transaction", test_simple_query_is_one_transaction);
    g_test_add_func("/standin-database/protocol/connection-limit", test_connection_limit);
    return g_test_run();
}
