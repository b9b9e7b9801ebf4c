/* Stand-in databases in the test's process. See database_fixture.h. */
#include "database_fixture.h"

struct server_options fixture_options(void)
{
    return (struct server_options){
        .listen = "127.0.0.1:0",
        .name = "a",
        .zone = "z1",
        .role = DATABASE_ROLE_PRIMARY,
        .slots = 5,
        .connections = 35,
    };
}

struct server *fixture_start(const struct server_options *options)
{
    g_autoptr(GError) error = NULL;
    struct server *server = server_start(options, &error);
    g_assert_no_error(error);
    return server;
}

struct server *fixture_start_replica(const char *name, const struct server *primary)
{
    g_autofree char *address = fixture_address(primary);
    struct server_options options = fixture_options();
    options.name = name;
    options.role = DATABASE_ROLE_REPLICA;
    options.primary = address;
    return fixture_start(&options);
}

char *fixture_address(const struct server *server)
{
    return g_strdup_printf("127.0.0.1:%u", server_port(server));
}

PGconn *fixture_try_connect(const struct server *server, const char *zone)
{
    g_autofree char *settings = g_strdup_printf(
        "hostaddr=127.0.0.1 port=%u user=test dbname=test application_name=client@%s",
        server_port(server), zone);
    return PQconnectdb(settings);
}

PGconn *fixture_connect(const struct server *server)
{
    PGconn *connection = fixture_try_connect(server, "z1");
    g_assert_cmpstr(PQerrorMessage(connection), ==, "");
    g_assert_cmpint(PQstatus(connection), ==, CONNECTION_OK);
    return connection;
}

PGresult *fixture_query(PGconn *connection, const char *sql)
{
    return PQexec(connection, sql);
}

static bool succeeded(const PGresult *result)
{
    ExecStatusType status = PQresultStatus(result);
    return status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK;
}

void fixture_run(PGconn *connection, const char *sql)
{
    PGresult *result = fixture_query(connection, sql);
    if (!succeeded(result)) {
        g_error("%s: %s", sql, PQresultErrorMessage(result));
    }
    PQclear(result);
}

void fixture_run_failing(PGconn *connection, const char *sql, const char *sqlstate)
{
    PGresult *result = fixture_query(connection, sql);
    g_assert_cmpint(PQresultStatus(result), ==, PGRES_FATAL_ERROR);
    g_assert_cmpstr(PQresultErrorField(result, PG_DIAG_SQLSTATE), ==, sqlstate);
    PQclear(result);
}

void fixture_run_tag(PGconn *connection, const char *sql, const char *tag)
{
    PGresult *result = fixture_query(connection, sql);
    g_assert_true(succeeded(result));
    g_assert_cmpstr(PQcmdStatus(result), ==, tag);
    PQclear(result);
}

char *fixture_value(PGconn *connection, const char *sql)
{
    PGresult *result = fixture_query(connection, sql);
    if (PQresultStatus(result) != PGRES_TUPLES_OK) {
        g_error("%s: %s", sql, PQresultErrorMessage(result));
    }
    g_assert_cmpint(PQntuples(result), ==, 1);
    char *value = g_strdup(PQgetvalue(result, 0, 0));
    PQclear(result);
    return value;
}

void fixture_expect(PGconn *connection, const char *sql, const char *expected)
{
    g_autofree char *value = fixture_value(connection, sql);
    g_assert_cmpstr(value, ==, expected);
}
