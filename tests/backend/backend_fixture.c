/* See backend_fixture.h. */
#include "backend_fixture.h"

struct backend_group backend_group_start(uint32_t count)
{
    struct backend_group group = {.count = count};
    struct server_options options = fixture_options();
    group.servers[0] = fixture_start(&options);
    for (uint32_t i = 1; i < count; i++) {
        char name[] = {(char)('a' + (char)i), '\0'};
        group.servers[i] = fixture_start_replica(name, group.servers[0]);
    }
    return group;
}

void backend_group_stop(struct backend_group *group)
{
    for (uint32_t i = 0; i < group->count; i++) {
        server_stop(group->servers[group->count - 1 - i]);
    }
}

struct connection_settings backend_settings(const struct server *server)
{
    struct connection_settings settings = {
        .host = "127.0.0.1",
        .port = server_port(server),
        .database_name = "test",
        .user = "test",
        .application_name = "swiftworks/d1@z1",
    };
    return settings;
}

time_ns backend_test_deadline(void)
{
    return backend_now() + 60 * NANOSECONDS_PER_SECOND;
}

time_ns backend_deadline_in(uint32_t milliseconds)
{
    return backend_now() + milliseconds * NANOSECONDS_PER_MILLISECOND;
}

struct backend_connection *backend_open(const struct server *server)
{
    g_autoptr(GError) error = NULL;
    struct connection_settings settings = backend_settings(server);
    struct backend_connection *connection =
        backend_connection_open(&settings, backend_test_deadline(), &error);
    g_assert_no_error(error);
    return connection;
}

struct sql_statement backend_statement(const char *sql)
{
    struct sql_statement statement = {.sql = (char *)sql};
    return statement;
}

void backend_write(const struct server *server, const char *sql)
{
    PGconn *client = fixture_connect(server);
    fixture_run(client, sql);
    PQfinish(client);
}

char *backend_value(const struct server *server, const char *sql)
{
    PGconn *client = fixture_connect(server);
    char *value = fixture_value(client, sql);
    PQfinish(client);
    return value;
}

void backend_expect(const struct server *server, const char *sql, const char *expected)
{
    g_autofree char *value = backend_value(server, sql);
    g_assert_cmpstr(value, ==, expected);
}

void backend_plan_fault(struct server *server, enum answer_fault fault, const char *match)
{
    faults_plan_answers(&server->faults, fault, 1, match);
}
