/* Replicas of the stand-in database come to hold and apply what their primary commits. */
#include "database_fixture.h"

static void test_replica_follows(void)
{
    struct server_options options = fixture_options();
    struct server *primary = fixture_start(&options);
    struct server *replica = fixture_start_replica("b", primary);
    PGconn *writer = fixture_connect(primary);
    PGconn *reader = fixture_connect(replica);
    fixture_run(writer, "CREATE TABLE stays (id BIGINT PRIMARY KEY, at TEXT, chance REAL)");
    fixture_run(writer, "INSERT INTO stays VALUES (1, now(), random())");
    fixture_expect(writer, "SELECT * FROM swiftworks_last_commit()", "1");
    fixture_run(reader, "SELECT * FROM swiftworks_wait_held(1, 2, 5000)");
    PGresult *status = fixture_query(reader, "SELECT * FROM swiftworks_wait_applied(1, 2, 5000)");
    g_assert_cmpstr(PQgetvalue(status, 0, 0), ==, "replica");
    g_assert_cmpstr(PQgetvalue(status, 0, 6), ==, "2");
    PQclear(status);
    g_autofree char *written = fixture_value(writer, "SELECT at || ' ' || chance FROM stays");
    fixture_expect(reader, "SELECT at || ' ' || chance FROM stays", written);
    fixture_run_failing(reader, "INSERT INTO stays (id) VALUES (2)", "25006");
    PQfinish(writer);
    PQfinish(reader);
    server_stop(replica);
    server_stop(primary);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/standin-database/replication/replica-follows", test_replica_follows);
    return g_test_run();
}
