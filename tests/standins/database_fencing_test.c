/* Promises of the stand-in database: which requests are granted, and that no commit follows a fence
 * of a higher term. */
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
    fixture_run(fixture->connection, "CREATE TABLE holds (id BIGINT PRIMARY KEY)");
}

static void tear_down(struct fixture *fixture, const void *data)
{
    PQfinish(fixture->connection);
    server_stop(fixture->server);
}

static void test_promises(struct fixture *fixture, const void *data)
{
    PGconn *connection = fixture->connection;
    fixture_run_failing(connection, "SELECT * FROM swiftworks_fence(1, 'c')", "55000");
    fixture_run(connection, "SELECT * FROM swiftworks_fence(5, 'c')");
    fixture_run(connection, "SELECT * FROM swiftworks_fence(5, 'c')");
    fixture_run_failing(connection, "SELECT * FROM swiftworks_fence(5, 'd')", "55000");
    fixture_run_failing(connection, "SELECT * FROM swiftworks_fence(4, 'c')", "55000");
    fixture_run_failing(connection, "SELECT * FROM swiftworks_promote(5, 'd')", "55000");
    fixture_run_failing(connection, "SELECT * FROM swiftworks_promote(4, 'c')", "55000");
    fixture_run_failing(connection, "SELECT * FROM swiftworks_follow(4, '127.0.0.1:1', 'c')",
                        "55000");
    fixture_run_failing(connection, "INSERT INTO holds VALUES (1)", "25006");
    fixture_run(connection, "SELECT * FROM swiftworks_promote(5, 'c')");
    fixture_run(connection, "SELECT * FROM swiftworks_promote(5, 'c')");
    fixture_run_failing(connection, "SELECT * FROM swiftworks_follow(5, '127.0.0.1:1', 'c')",
                        "55000");
    fixture_run(connection, "INSERT INTO holds VALUES (1)");
    fixture_run(connection, "SELECT * FROM swiftworks_follow(6, '127.0.0.1:1', 'd')");
    fixture_run_failing(connection, "INSERT INTO holds VALUES (2)", "25006");
    PGresult *result = fixture_query(connection, "SELECT * FROM swiftworks_set_leaving(true, 7)");
    g_assert_cmpstr(PQgetvalue(result, 0, 7), ==, "t");
    g_assert_cmpstr(PQgetvalue(result, 0, 8), ==, "7");
    PQclear(result);
    /* A request with an older order number changes nothing. */
    result = fixture_query(connection, "SELECT * FROM swiftworks_set_leaving(false, 6)");
    g_assert_cmpstr(PQgetvalue(result, 0, 7), ==, "t");
    PQclear(result);
}

static void test_open_transactions_are_aborted(struct fixture *fixture, const void *data)
{
    PGconn *commits = fixture_connect(fixture->server);
    fixture_run(commits, "BEGIN; INSERT INTO holds VALUES (1)");
    fixture_run(fixture->connection, "SELECT * FROM swiftworks_fence(2, 'c')");
    fixture_run(fixture->connection, "SELECT * FROM swiftworks_promote(2, 'c')");
    fixture_run(fixture->connection, "INSERT INTO holds VALUES (2)");
    fixture_run_failing(commits, "COMMIT", "25006");
    fixture_expect(commits, "SELECT * FROM swiftworks_last_commit()", "0");
    fixture_expect(commits, "SELECT id FROM holds", "2");
    fixture_run(commits, "BEGIN; INSERT INTO holds VALUES (3)");
    fixture_run(fixture->connection, "SELECT * FROM swiftworks_fence(3, 'c')");
    fixture_run_failing(commits, "SELECT * FROM holds", "25006");
    fixture_run_tag(commits, "COMMIT", "ROLLBACK");
    PQfinish(commits);
}

#define WRITERS 4

struct writer {
    struct server *server;
    int number;
    atomic_int *started;
    int acknowledged;
};

/* Inserts rows until an insert is rejected. */
static void *run_writer(void *data)
{
    struct writer *writer = data;
    PGconn *connection = fixture_connect(writer->server);
    bool accepted = true;
    while (accepted) {
        int id = writer->acknowledged * WRITERS + writer->number;
        g_autofree char *sql = g_strdup_printf("BEGIN; INSERT INTO holds VALUES (%d); COMMIT", id);
        PGresult *result = fixture_query(connection, sql);
        accepted = PQresultStatus(result) == PGRES_COMMAND_OK;
        if (accepted) {
            writer->acknowledged++;
            atomic_fetch_add(writer->started, 1);
        } else {
            g_assert_cmpstr(PQresultErrorField(result, PG_DIAG_SQLSTATE), ==, "25006");
        }
        PQclear(result);
    }
    PQfinish(connection);
    return NULL;
}

static void test_no_commit_crosses_a_fence(struct fixture *fixture, const void *data)
{
    enum { COMMITS_BEFORE_FENCE = 200 };
    pthread_t threads[WRITERS];
    struct writer writers[WRITERS];
    atomic_int started = 0;
    for (int i = 0; i < WRITERS; i++) {
        writers[i] = (struct writer){.server = fixture->server, .number = i, .started = &started};
        pthread_create(&threads[i], NULL, run_writer, &writers[i]);
    }
    while (atomic_load(&started) < COMMITS_BEFORE_FENCE) {
        g_usleep(100);
    }
    PGresult *fenced = fixture_query(fixture->connection, "SELECT * FROM swiftworks_fence(2, 'c')");
    int acknowledged = 0;
    for (int i = 0; i < WRITERS; i++) {
        pthread_join(threads[i], NULL);
        acknowledged += writers[i].acknowledged;
    }
    g_autofree char *rows = g_strdup_printf("%d", acknowledged);
    fixture_expect(fixture->connection, "SELECT count(*) FROM holds", rows);
    PGresult *after = fixture_query(fixture->connection, "SELECT * FROM swiftworks_status()");
    g_assert_cmpstr(PQgetvalue(fenced, 0, 4), ==, PQgetvalue(after, 0, 4));
    g_assert_cmpuint(fixture->server->database->lower_term_writes, ==, 0);
    PQclear(fenced);
    PQclear(after);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, function)                                                                        \
    g_test_add("/standin-database/fencing/" name, struct fixture, NULL, set_up, function, tear_down)
    ADD("promises", test_promises);
    ADD("open-transactions-are-aborted", test_open_transactions_are_aborted);
    ADD("no-commit-crosses-a-fence", test_no_commit_crosses_a_fence);
    return g_test_run();
}
