/* Tests of transactions that span several requests, and of the commands of a failover. */
#include "backend_fixture.h"

#define WRITE_SQL "INSERT INTO bookings VALUES ('toubkal')"
#define COUNT_SQL "SELECT count(*) FROM bookings"

/* A primary with the ledger and a table of bookings, and a connection. */
struct fixture {
    struct server *server;
    struct backend_connection *connection;
    struct execute_answer answer;
};

static const struct adapter_transaction_options WRITE = {
    .key = {.key = "huts:t1", .fingerprint = 5, .request_id = "r1"}};
static const struct adapter_transaction_options READ = {.read_only = true};

static void set_up(struct fixture *fixture, const void *unused)
{
    struct server_options options = fixture_options();
    fixture->server = fixture_start(&options);
    backend_write(fixture->server, "CREATE TABLE bookings (place text)");
    fixture->connection = backend_open(fixture->server);
    execute_answer_init(&fixture->answer);
    assert_result(
        adapter_create_ledger(fixture->connection, backend_test_deadline(), &fixture->answer),
        EXECUTE_DONE);
}

static void tear_down(struct fixture *fixture, const void *unused)
{
    execute_answer_clear(&fixture->answer);
    backend_connection_close(fixture->connection);
    server_stop(fixture->server);
}

static enum execute_result begin(struct fixture *fixture,
                                 const struct adapter_transaction_options *options)
{
    execute_answer_clear(&fixture->answer);
    return adapter_begin(fixture->connection, options, backend_test_deadline(), &fixture->answer);
}

static enum execute_result run(struct fixture *fixture, const char *sql)
{
    struct sql_statement statement = backend_statement(sql);
    execute_answer_clear(&fixture->answer);
    return adapter_statement(fixture->connection, &statement, 1, backend_test_deadline(), NULL,
                             &fixture->answer);
}

static enum execute_result commit(struct fixture *fixture,
                                  const struct adapter_transaction_options *options)
{
    execute_answer_clear(&fixture->answer);
    return adapter_commit(fixture->connection, options, backend_test_deadline(), &fixture->answer);
}

static void test_commit(struct fixture *fixture, const void *unused)
{
    assert_result(begin(fixture, &WRITE), EXECUTE_DONE);
    g_assert_false(backend_connection_is_clean(fixture->connection));
    assert_result(run(fixture, WRITE_SQL), EXECUTE_DONE);
    assert_result(run(fixture, COUNT_SQL), EXECUTE_DONE);
    g_assert_cmpstr(fixture->answer.results[0].rows[0].cells[0].text, ==, "1");
    backend_expect(fixture->server, COUNT_SQL, "0");
    assert_result(commit(fixture, &WRITE), EXECUTE_DONE);
    g_assert_cmpuint(fixture->answer.position.offset, ==, fixture->answer.status.held.offset);
    g_assert_true(backend_connection_is_clean(fixture->connection));
    backend_expect(fixture->server, COUNT_SQL, "1");
    assert_result(begin(fixture, &WRITE), EXECUTE_ALREADY_DONE);
    g_assert_true(backend_connection_is_clean(fixture->connection));
}

static void test_rollback(struct fixture *fixture, const void *unused)
{
    assert_result(begin(fixture, &WRITE), EXECUTE_DONE);
    assert_result(run(fixture, WRITE_SQL), EXECUTE_DONE);
    assert_result(adapter_rollback(fixture->connection, backend_test_deadline()), EXECUTE_DONE);
    g_assert_true(backend_connection_is_clean(fixture->connection));
    backend_expect(fixture->server, COUNT_SQL, "0");
    assert_result(begin(fixture, &WRITE), EXECUTE_DONE);
}

static void test_failed_statement(struct fixture *fixture, const void *unused)
{
    assert_result(begin(fixture, &WRITE), EXECUTE_DONE);
    assert_result(run(fixture, WRITE_SQL), EXECUTE_DONE);
    assert_result(run(fixture, "SELECT * FROM missing"), EXECUTE_FAILED);
    assert_result(commit(fixture, &WRITE), EXECUTE_FAILED);
    g_assert_true(backend_connection_is_clean(fixture->connection));
    backend_expect(fixture->server, COUNT_SQL, "0");
}

static void test_lost_statement(struct fixture *fixture, const void *unused)
{
    assert_result(begin(fixture, &WRITE), EXECUTE_DONE);
    backend_plan_fault(fixture->server, ANSWER_FAULT_CLOSE, "bookings");
    assert_result(run(fixture, WRITE_SQL), EXECUTE_NOT_SENT);
    assert_result(commit(fixture, &WRITE), EXECUTE_NOT_SENT);
    assert_result(adapter_rollback(fixture->connection, backend_test_deadline()), EXECUTE_NOT_SENT);
    backend_expect(fixture->server, COUNT_SQL, "0");
}

static void test_lost_commit(struct fixture *fixture, const void *unused)
{
    assert_result(begin(fixture, &WRITE), EXECUTE_DONE);
    assert_result(run(fixture, WRITE_SQL), EXECUTE_DONE);
    backend_plan_fault(fixture->server, ANSWER_FAULT_CLOSE, "COMMIT");
    assert_result(commit(fixture, &WRITE), EXECUTE_LOST);
    backend_connection_close(fixture->connection);
    fixture->connection = backend_open(fixture->server);
    execute_answer_clear(&fixture->answer);
    assert_result(adapter_close_key(fixture->connection, &WRITE.key, backend_test_deadline(),
                                    &fixture->answer),
                  EXECUTE_ALREADY_DONE);
    backend_expect(fixture->server, COUNT_SQL, "1");
}

static void test_read_only(struct fixture *fixture, const void *unused)
{
    assert_result(begin(fixture, &READ), EXECUTE_DONE);
    assert_result(run(fixture, COUNT_SQL), EXECUTE_DONE);
    backend_write(fixture->server, WRITE_SQL);
    assert_result(run(fixture, COUNT_SQL), EXECUTE_DONE);
    assert_result(commit(fixture, &READ), EXECUTE_DONE);
    /* The transaction may have seen the write above, so the session's position must cover it. */
    g_assert_cmpuint(fixture->answer.position.offset, ==, fixture->answer.status.held.offset);
    assert_result(begin(fixture, &READ), EXECUTE_DONE);
    assert_result(run(fixture, WRITE_SQL), EXECUTE_NOT_PRIMARY);
    assert_result(adapter_rollback(fixture->connection, backend_test_deadline()), EXECUTE_DONE);
}

static void test_read_guard_short(struct fixture *fixture, const void *unused)
{
    struct adapter_transaction_options options = READ;
    options.guard.term = 9;
    assert_result(begin(fixture, &options), EXECUTE_GUARD_SHORT);
    g_assert_true(backend_connection_is_clean(fixture->connection));
}

static enum execute_result command(struct fixture *fixture, enum adapter_command kind,
                                   uint64_t term, const char *coordinator)
{
    struct adapter_call call = {
        .command = kind,
        .term = term,
        .coordinator = coordinator,
        .address = "127.0.0.1:1",
        .leaving = true,
        .order = 12,
    };
    execute_answer_clear(&fixture->answer);
    return adapter_run(fixture->connection, &call, backend_test_deadline(), &fixture->answer);
}

static void test_commands(struct fixture *fixture, const void *unused)
{
    assert_result(command(fixture, ADAPTER_COMMAND_STATUS, 0, NULL), EXECUTE_DONE);
    g_assert_cmpint(fixture->answer.status.role, ==, DATABASE_ROLE_PRIMARY);
    g_assert_false(fixture->answer.status.leaving);
    assert_result(command(fixture, ADAPTER_COMMAND_SET_LEAVING, 0, NULL), EXECUTE_DONE);
    g_assert_true(fixture->answer.status.leaving);
    g_assert_cmpuint(fixture->answer.status.leaving_order, ==, 12);
    assert_result(command(fixture, ADAPTER_COMMAND_FENCE, 5, "d1"), EXECUTE_DONE);
    g_assert_cmpuint(fixture->answer.status.promised_term, ==, 5);
    assert_result(command(fixture, ADAPTER_COMMAND_FENCE, 4, "d2"), EXECUTE_FAILED);
    g_assert_cmpstr(fixture->answer.sqlstate, ==, "55000");
    g_assert_true(backend_connection_is_clean(fixture->connection));
    assert_result(command(fixture, ADAPTER_COMMAND_PROMOTE, 5, "d1"), EXECUTE_DONE);
    g_assert_cmpuint(fixture->answer.status.term, ==, 5);
    g_assert_cmpuint(fixture->answer.status.held.term, ==, 5);
    assert_result(command(fixture, ADAPTER_COMMAND_FOLLOW, 6, "d1"), EXECUTE_DONE);
    g_assert_cmpint(fixture->answer.status.role, ==, DATABASE_ROLE_REPLICA);
    g_assert_true(backend_connection_is_clean(fixture->connection));
}

/* Idle time-out that ends a transaction before another one gives up waiting for its locks, but not
 * between two calls of a test. */
#define SHORT_IDLE_MS 2000

/* Writes a booking over another connection; waits for the locks of the open transaction. */
static enum execute_result write_on_other_connection(struct fixture *fixture)
{
    struct execute_answer answer;
    struct backend_connection *other = backend_open(fixture->server);
    struct sql_statement statement = backend_statement("INSERT INTO bookings VALUES ('tazaghart')");
    execute_answer_init(&answer);
    enum execute_result result =
        adapter_write(other, NULL, &statement, 1, backend_test_deadline(), NULL, &answer);
    execute_answer_clear(&answer);
    backend_connection_close(other);
    return result;
}

/* A daemon that is paused in a transaction sends nothing: the database ends the session, so that
 * others get its locks. The commit after the pause must be reported as certainly not run. */
static void check_paused(struct fixture *fixture, const struct adapter_transaction_options *options)
{
    assert_result(begin(fixture, options), EXECUTE_DONE);
    assert_result(run(fixture, WRITE_SQL), EXECUTE_DONE);
    assert_result(write_on_other_connection(fixture), EXECUTE_DONE);
    assert_result(commit(fixture, options), EXECUTE_NOT_SENT);
    g_assert_false(backend_connection_is_clean(fixture->connection));
    backend_expect(fixture->server, COUNT_SQL, "1");
}

static void test_paused(struct fixture *fixture, const void *unused)
{
    const struct adapter_transaction_options unkeyed = {.idle_ms = SHORT_IDLE_MS};
    check_paused(fixture, &unkeyed);
}

static void test_paused_keyed(struct fixture *fixture, const void *unused)
{
    struct adapter_transaction_options keyed = WRITE;
    keyed.idle_ms = SHORT_IDLE_MS;
    check_paused(fixture, &keyed);
}

/* Between the two round trips of a single write, the connection's own idle time-out applies. */
static void test_paused_single_write(struct fixture *fixture, const void *unused)
{
    g_autoptr(GError) error = NULL;
    struct connection_settings settings = backend_settings(fixture->server);
    settings.idle_transaction_ms = SHORT_IDLE_MS;
    backend_connection_close(fixture->connection);
    fixture->connection = backend_connection_open(&settings, backend_test_deadline(), &error);
    g_assert_no_error(error);
    const struct adapter_transaction_options unkeyed = {.idle_ms = 0};
    check_paused(fixture, &unkeyed);
}

/* The end of the session is also detected by a statement. */
static void test_paused_before_a_statement(struct fixture *fixture, const void *unused)
{
    const struct adapter_transaction_options unkeyed = {.idle_ms = SHORT_IDLE_MS};
    assert_result(begin(fixture, &unkeyed), EXECUTE_DONE);
    assert_result(run(fixture, WRITE_SQL), EXECUTE_DONE);
    assert_result(write_on_other_connection(fixture), EXECUTE_DONE);
    assert_result(run(fixture, WRITE_SQL), EXECUTE_NOT_SENT);
    backend_expect(fixture->server, COUNT_SQL, "1");
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, function)                                                                        \
    g_test_add("/backend/adapter/" name, struct fixture, NULL, set_up, function, tear_down)
    ADD("transaction/commit", test_commit);
    ADD("transaction/rollback", test_rollback);
    ADD("transaction/failed-statement", test_failed_statement);
    ADD("transaction/lost-statement", test_lost_statement);
    ADD("transaction/lost-commit", test_lost_commit);
    ADD("transaction/read-only", test_read_only);
    ADD("transaction/read-guard-short", test_read_guard_short);
    ADD("transaction/paused", test_paused);
    ADD("transaction/paused-keyed", test_paused_keyed);
    ADD("transaction/paused-single-write", test_paused_single_write);
    ADD("transaction/paused-before-a-statement", test_paused_before_a_statement);
    ADD("commands", test_commands);
    return g_test_run();
}
