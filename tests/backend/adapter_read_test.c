/* Tests of adapter_read: the guard, rejection of incomplete answers, limits, and the read-only
 * transaction. */
#include "backend_fixture.h"

/* One database with a table of numbers, and a connection. */
struct fixture {
    struct server *server;
    struct backend_connection *connection;
    struct execute_answer answer;
};

static struct log_position NO_GUARD;

static void set_up(struct fixture *fixture, const void *unused)
{
    struct server_options options = fixture_options();
    fixture->server = fixture_start(&options);
    backend_write(fixture->server, "CREATE TABLE numbers (value integer)");
    backend_write(fixture->server, "INSERT INTO numbers VALUES (1), (2), (3)");
    fixture->connection = backend_open(fixture->server);
    execute_answer_init(&fixture->answer);
}

static void tear_down(struct fixture *fixture, const void *unused)
{
    execute_answer_clear(&fixture->answer);
    backend_connection_close(fixture->connection);
    server_stop(fixture->server);
}

static enum execute_result read_with(struct fixture *fixture, const char *sql,
                                     struct log_position guard, const struct result_limits *limits)
{
    struct sql_statement statement = backend_statement(sql);
    execute_answer_clear(&fixture->answer);
    return adapter_read(fixture->connection, guard, 0, &statement, 1, backend_test_deadline(),
                        limits, &fixture->answer);
}

static enum execute_result read_one(struct fixture *fixture, const char *sql)
{
    return read_with(fixture, sql, NO_GUARD, NULL);
}

static void test_rows(struct fixture *fixture, const void *unused)
{
    assert_result(read_one(fixture, "SELECT value FROM numbers ORDER BY value"), EXECUTE_DONE);
    const struct sql_result *result = &fixture->answer.results[0];
    g_assert_cmpuint(fixture->answer.results_count, ==, 1);
    g_assert_cmpuint(result->rows_count, ==, 3);
    g_assert_cmpstr(result->command, ==, "SELECT 3");
    g_assert_cmpstr(result->columns[0].name, ==, "value");
    g_assert_cmpstr(result->rows[2].cells[0].text, ==, "3");
    g_assert_cmpint(fixture->answer.status.role, ==, DATABASE_ROLE_PRIMARY);
    g_assert_cmpuint(fixture->answer.position.offset, ==, 2);
    g_assert_true(backend_connection_is_clean(fixture->connection));
}

static void test_several_statements_and_parameters(struct fixture *fixture, const void *unused)
{
    struct sql_value parameter = {.text = (char *)"2"};
    struct sql_value null = {.is_null = true};
    struct sql_statement statements[] = {
        {.sql = (char *)"SELECT value FROM numbers WHERE value > $1",
         .parameters = &parameter,
         .parameters_count = 1},
        {.sql = (char *)"SELECT $1", .parameters = &null, .parameters_count = 1},
    };
    enum execute_result result = adapter_read(fixture->connection, NO_GUARD, 0, statements, 2,
                                              backend_test_deadline(), NULL, &fixture->answer);
    assert_result(result, EXECUTE_DONE);
    g_assert_cmpuint(fixture->answer.results_count, ==, 2);
    g_assert_cmpuint(fixture->answer.results[0].rows_count, ==, 1);
    g_assert_true(fixture->answer.results[1].rows[0].cells[0].is_null);
}

static void test_guard_short(struct fixture *fixture, const void *unused)
{
    struct log_position guard = {.term = 1, .offset = 100};
    assert_result(read_with(fixture, "SELECT value FROM numbers", guard, NULL),
                  EXECUTE_GUARD_SHORT);
    g_assert_cmpuint(fixture->answer.results_count, ==, 0);
    g_assert_cmpuint(fixture->answer.status.applied.offset, ==, 2);
    g_assert_true(backend_connection_is_clean(fixture->connection));
}

/* If the guard is not applied, an error of the statement (such as a table that is not replicated
 * yet) is not reported. */
static void test_guard_short_takes_precedence(struct fixture *fixture, const void *unused)
{
    struct log_position guard = {.term = 1, .offset = 100};
    assert_result(read_with(fixture, "SELECT * FROM missing", guard, NULL), EXECUTE_GUARD_SHORT);
    g_assert_true(backend_connection_is_clean(fixture->connection));
}

static void test_error(struct fixture *fixture, const void *unused)
{
    assert_result(read_one(fixture, "SELECT * FROM missing"), EXECUTE_FAILED);
    g_assert_cmpstr(fixture->answer.sqlstate, ==, "42P01");
    g_assert_nonnull(fixture->answer.error_text);
    g_assert_true(backend_connection_is_clean(fixture->connection));
    assert_result(read_one(fixture, "SELECT 1"), EXECUTE_DONE);
}

static void test_write_is_refused(struct fixture *fixture, const void *unused)
{
    assert_result(read_one(fixture, "INSERT INTO numbers VALUES (4)"), EXECUTE_FAILED);
    g_assert_cmpstr(fixture->answer.sqlstate, ==, "25006");
    backend_expect(fixture->server, "SELECT count(*) FROM numbers", "3");
}

static void test_too_large(struct fixture *fixture, const void *unused)
{
    struct result_limits rows = {.rows_max = 2};
    struct result_limits bytes = {.bytes_max = 5000};
    const char *sql = "SELECT value FROM numbers";
    assert_result(read_with(fixture, sql, NO_GUARD, &rows), EXECUTE_ANSWER_TOO_LARGE);
    g_assert_cmpuint(fixture->answer.results_count, ==, 0);
    g_assert_true(backend_connection_is_clean(fixture->connection));
    rows.rows_max = 3;
    assert_result(read_with(fixture, sql, NO_GUARD, &rows), EXECUTE_DONE);
    const char *long_text = "SELECT printf('%.10000c', 'x')";
    assert_result(read_with(fixture, long_text, NO_GUARD, &bytes), EXECUTE_ANSWER_TOO_LARGE);
    assert_result(read_with(fixture, long_text, NO_GUARD, NULL), EXECUTE_DONE);
}

/* An answer far over the limit is not read to its end; the connection is closed instead. */
static void test_abandoned_when_far_too_large(struct fixture *fixture, const void *unused)
{
    struct result_limits rows = {.rows_max = 10};
    const char *sql = "SELECT a.value FROM numbers a, numbers b, numbers c, numbers d, numbers e";
    assert_result(read_with(fixture, sql, NO_GUARD, &rows), EXECUTE_ANSWER_TOO_LARGE);
    g_assert_false(backend_connection_is_clean(fixture->connection));
}

/* An answer that is cut off is lost as a whole, no matter how many rows were received. */
static void test_truncated(struct fixture *fixture, const void *unused)
{
    backend_plan_fault(fixture->server, ANSWER_FAULT_TRUNCATE, "numbers");
    assert_result(read_one(fixture, "SELECT value FROM numbers"), EXECUTE_LOST);
    g_assert_cmpuint(fixture->answer.results_count, ==, 0);
    g_assert_false(backend_connection_is_clean(fixture->connection));
}

/* The rows were received, but not the sync after COMMIT. */
static void test_closed_before_sync(struct fixture *fixture, const void *unused)
{
    backend_plan_fault(fixture->server, ANSWER_FAULT_CLOSE, "COMMIT");
    assert_result(read_one(fixture, "SELECT value FROM numbers"), EXECUTE_LOST);
    g_assert_cmpuint(fixture->answer.results_count, ==, 0);
}

static void test_deadline(struct fixture *fixture, const void *unused)
{
    struct sql_statement statement = backend_statement("SELECT 1");
    backend_plan_fault(fixture->server, ANSWER_FAULT_DROP, "SELECT 1");
    enum execute_result result = adapter_read(fixture->connection, NO_GUARD, 0, &statement, 1,
                                              backend_deadline_in(20), NULL, &fixture->answer);
    assert_result(result, EXECUTE_LOST);
    g_assert_cmpstr(fixture->answer.error_text, !=, NULL);
    g_assert_false(backend_connection_is_clean(fixture->connection));
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, function)                                                                        \
    g_test_add("/backend/adapter/read/" name, struct fixture, NULL, set_up, function, tear_down)
    ADD("rows", test_rows);
    ADD("several", test_several_statements_and_parameters);
    ADD("guard-short", test_guard_short);
    ADD("guard-short-takes-precedence", test_guard_short_takes_precedence);
    ADD("error", test_error);
    ADD("write-is-refused", test_write_is_refused);
    ADD("too-large", test_too_large);
    ADD("abandoned-when-far-too-large", test_abandoned_when_far_too_large);
    ADD("truncated", test_truncated);
    ADD("closed-before-sync", test_closed_before_sync);
    ADD("deadline", test_deadline);
    return g_test_run();
}
