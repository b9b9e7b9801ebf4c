/* Tests of adapter_write: a write is committed together with its key's ledger row or not at all,
 * and each lost answer gives the right result. */
#include "backend_fixture.h"

#define WRITE_SQL  "INSERT INTO bookings VALUES ('toubkal') RETURNING place"
#define COUNT_SQL  "SELECT count(*) FROM bookings"
#define LEDGER_SQL "SELECT count(*) FROM swiftworks_ledger"

/* A primary with the ledger and a table of bookings, and a connection. */
struct fixture {
    struct server *server;
    struct backend_connection *connection;
    struct execute_answer answer;
};

static const struct adapter_key KEY = {
    .key = "huts:k1", .fingerprint = UINT64_MAX, .request_id = "r1"};

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

/* Opens a new connection, as a later request would. */
static void reconnect(struct fixture *fixture)
{
    backend_connection_close(fixture->connection);
    fixture->connection = backend_open(fixture->server);
}

static enum execute_result write_sql(struct fixture *fixture, const struct adapter_key *key,
                                     const char *sql)
{
    struct sql_statement statement = backend_statement(sql);
    execute_answer_clear(&fixture->answer);
    return adapter_write(fixture->connection, key, &statement, 1, backend_test_deadline(), NULL,
                         &fixture->answer);
}

static enum execute_result close_key(struct fixture *fixture, const struct adapter_key *key)
{
    execute_answer_clear(&fixture->answer);
    return adapter_close_key(fixture->connection, key, backend_test_deadline(), &fixture->answer);
}

static struct log_position held(const struct fixture *fixture)
{
    struct log_position position;
    pthread_mutex_lock(&fixture->server->database->lock);
    position = database_held(fixture->server->database);
    pthread_mutex_unlock(&fixture->server->database->lock);
    return position;
}

static void assert_at_end(const struct fixture *fixture)
{
    struct log_position end = held(fixture);
    g_assert_cmpuint(fixture->answer.position.term, ==, end.term);
    g_assert_cmpuint(fixture->answer.position.offset, ==, end.offset);
    g_assert_cmpuint(fixture->answer.status.held.offset, ==, end.offset);
}

static void test_without_key(struct fixture *fixture, const void *unused)
{
    assert_result(write_sql(fixture, NULL, WRITE_SQL), EXECUTE_DONE);
    g_assert_cmpuint(fixture->answer.results_count, ==, 1);
    g_assert_cmpstr(fixture->answer.results[0].rows[0].cells[0].text, ==, "toubkal");
    assert_at_end(fixture);
    g_assert_true(backend_connection_is_clean(fixture->connection));
    backend_expect(fixture->server, LEDGER_SQL, "0");
}

static void test_replay(struct fixture *fixture, const void *unused)
{
    assert_result(write_sql(fixture, &KEY, WRITE_SQL), EXECUTE_DONE);
    assert_at_end(fixture);
    assert_result(write_sql(fixture, &KEY, WRITE_SQL), EXECUTE_ALREADY_DONE);
    assert_at_end(fixture);
    g_assert_cmpuint(fixture->answer.results_count, ==, 1);
    g_assert_cmpstr(fixture->answer.results[0].rows[0].cells[0].text, ==, "toubkal");
    g_assert_cmpstr(fixture->answer.results[0].command, ==, "INSERT 0 1");
    g_assert_false(fixture->answer.results_not_kept);
    backend_expect(fixture->server, COUNT_SQL, "1");
    assert_result(close_key(fixture, &KEY), EXECUTE_ALREADY_DONE);
    g_assert_true(backend_connection_is_clean(fixture->connection));
}

/* A second run would fail by itself (unique index); the ledger still gives the result of the first.
 */
static void test_replay_of_failing_write(struct fixture *fixture, const void *unused)
{
    backend_write(fixture->server, "CREATE UNIQUE INDEX one ON bookings (place)");
    assert_result(write_sql(fixture, &KEY, WRITE_SQL), EXECUTE_DONE);
    assert_result(write_sql(fixture, &KEY, WRITE_SQL), EXECUTE_ALREADY_DONE);
    g_assert_cmpuint(fixture->answer.results_count, ==, 1);
    g_assert_null(fixture->answer.error_text);
}

static void test_large_results_are_not_kept(struct fixture *fixture, const void *unused)
{
    const char *sql = "INSERT INTO bookings VALUES (printf('%.100000c', 'x')) RETURNING place";
    assert_result(write_sql(fixture, &KEY, sql), EXECUTE_DONE);
    g_assert_cmpuint(fixture->answer.results_count, ==, 1);
    assert_result(write_sql(fixture, &KEY, sql), EXECUTE_ALREADY_DONE);
    g_assert_true(fixture->answer.results_not_kept);
    g_assert_cmpuint(fixture->answer.results_count, ==, 0);
}

static void test_key_reused(struct fixture *fixture, const void *unused)
{
    struct adapter_key other = KEY;
    other.fingerprint = 7;
    assert_result(write_sql(fixture, &KEY, WRITE_SQL), EXECUTE_DONE);
    assert_result(write_sql(fixture, &other, WRITE_SQL), EXECUTE_KEY_REUSED);
    g_assert_cmpuint(fixture->answer.results_count, ==, 0);
    assert_result(close_key(fixture, &other), EXECUTE_KEY_REUSED);
    backend_expect(fixture->server, COUNT_SQL, "1");
}

static void test_key_closed(struct fixture *fixture, const void *unused)
{
    assert_result(close_key(fixture, &KEY), EXECUTE_KEY_CLOSED);
    assert_at_end(fixture);
    assert_result(close_key(fixture, &KEY), EXECUTE_KEY_CLOSED);
    assert_at_end(fixture);
    assert_result(write_sql(fixture, &KEY, WRITE_SQL), EXECUTE_KEY_CLOSED);
    assert_at_end(fixture);
    backend_expect(fixture->server, COUNT_SQL, "0");
}

static void test_error_rolls_back(struct fixture *fixture, const void *unused)
{
    struct sql_statement statements[] = {
        backend_statement(WRITE_SQL),
        backend_statement("INSERT INTO missing VALUES (1)"),
    };
    enum execute_result result = adapter_write(fixture->connection, &KEY, statements, 2,
                                               backend_test_deadline(), NULL, &fixture->answer);
    assert_result(result, EXECUTE_FAILED);
    g_assert_cmpstr(fixture->answer.sqlstate, ==, "42P01");
    g_assert_true(backend_connection_is_clean(fixture->connection));
    backend_expect(fixture->server, COUNT_SQL, "0");
    backend_expect(fixture->server, LEDGER_SQL, "0");
    assert_result(write_sql(fixture, &KEY, WRITE_SQL), EXECUTE_DONE);
}

static void test_answer_too_large(struct fixture *fixture, const void *unused)
{
    struct sql_statement statement =
        backend_statement("INSERT INTO bookings VALUES ('a'), ('b'), ('c') RETURNING place");
    struct result_limits limits = {.rows_max = 2};
    enum execute_result result = adapter_write(fixture->connection, &KEY, &statement, 1,
                                               backend_test_deadline(), &limits, &fixture->answer);
    assert_result(result, EXECUTE_ANSWER_TOO_LARGE);
    backend_expect(fixture->server, COUNT_SQL, "0");
    backend_expect(fixture->server, LEDGER_SQL, "0");
}

static void test_statement_that_commits(struct fixture *fixture, const void *unused)
{
    struct sql_statement statements[] = {
        backend_statement(WRITE_SQL),
        backend_statement("COMMIT"),
    };
    enum execute_result result = adapter_write(fixture->connection, NULL, statements, 2,
                                               backend_test_deadline(), NULL, &fixture->answer);
    assert_result(result, EXECUTE_LOST);
    g_assert_false(backend_connection_is_clean(fixture->connection));
}

static void test_not_primary(struct fixture *fixture, const void *unused)
{
    struct server *replica = fixture_start_replica("b", fixture->server);
    struct backend_connection *connection = backend_open(replica);
    struct sql_statement statement = backend_statement(WRITE_SQL);
    /* Wait until the table is replicated, so that its absence is not the error. */
    struct adapter_call wait = {
        .command = ADAPTER_COMMAND_WAIT_APPLIED,
        .position = held(fixture),
        .wait_ms = 60000,
    };
    assert_result(adapter_run(connection, &wait, backend_test_deadline(), &fixture->answer),
                  EXECUTE_DONE);
    enum execute_result result = adapter_write(connection, &KEY, &statement, 1,
                                               backend_test_deadline(), NULL, &fixture->answer);
    assert_result(result, EXECUTE_NOT_PRIMARY);
    g_assert_true(backend_connection_is_clean(connection));
    backend_connection_close(connection);
    server_stop(replica);
}

/* Fences the primary with a newer term, as a coordinator that replaces it does. */
static void fence(struct fixture *fixture)
{
    struct backend_connection *coordinator = backend_open(fixture->server);
    struct adapter_call call = {.command = ADAPTER_COMMAND_FENCE, .term = 2, .coordinator = "d2"};
    struct execute_answer answer;
    execute_answer_init(&answer);
    assert_result(adapter_run(coordinator, &call, backend_test_deadline(), &answer), EXECUTE_DONE);
    g_assert_cmpuint(answer.status.promised_term, ==, 2);
    execute_answer_clear(&answer);
    backend_connection_close(coordinator);
}

static void test_fenced(struct fixture *fixture, const void *unused)
{
    fence(fixture);
    assert_result(write_sql(fixture, &KEY, WRITE_SQL), EXECUTE_NOT_PRIMARY);
    backend_expect(fixture->server, COUNT_SQL, "0");
}

static void test_fenced_within_transaction(struct fixture *fixture, const void *unused)
{
    struct adapter_transaction_options options = {.key = KEY};
    struct sql_statement statement = backend_statement(WRITE_SQL);
    assert_result(
        adapter_begin(fixture->connection, &options, backend_test_deadline(), &fixture->answer),
        EXECUTE_DONE);
    assert_result(adapter_statement(fixture->connection, &statement, 1, backend_test_deadline(),
                                    NULL, &fixture->answer),
                  EXECUTE_DONE);
    fence(fixture);
    assert_result(
        adapter_commit(fixture->connection, &options, backend_test_deadline(), &fixture->answer),
        EXECUTE_NOT_PRIMARY);
    g_assert_true(backend_connection_is_clean(fixture->connection));
    backend_expect(fixture->server, COUNT_SQL, "0");
}

/* The point at which an answer is lost, and the required result. */
struct lost_answer {
    const char *name;
    enum answer_fault fault;
    const char *match;
    bool keyed;
    enum execute_result expected;
    const char *bookings;         /* number of committed bookings afterwards */
    enum execute_result resolved; /* result of closing the key afterwards */
};

static const struct lost_answer LOSSES[] = {
    {"begin", ANSWER_FAULT_CLOSE, "BEGIN", true, EXECUTE_NOT_SENT, "0", EXECUTE_KEY_CLOSED},
    {"claim", ANSWER_FAULT_CLOSE, "INSERT INTO swiftworks_ledger", true, EXECUTE_NOT_SENT, "0",
     EXECUTE_KEY_CLOSED},
    {"statement", ANSWER_FAULT_CLOSE, "bookings", true, EXECUTE_NOT_SENT, "0", EXECUTE_KEY_CLOSED},
    {"statement-truncated", ANSWER_FAULT_TRUNCATE, "bookings", true, EXECUTE_NOT_SENT, "0",
     EXECUTE_KEY_CLOSED},
    {"results", ANSWER_FAULT_CLOSE, "UPDATE swiftworks_ledger", true, EXECUTE_LOST, "1",
     EXECUTE_ALREADY_DONE},
    {"commit", ANSWER_FAULT_CLOSE, "COMMIT", true, EXECUTE_LOST, "1", EXECUTE_ALREADY_DONE},
    {"commit-truncated", ANSWER_FAULT_TRUNCATE, "COMMIT", true, EXECUTE_LOST, "1",
     EXECUTE_ALREADY_DONE},
    {"position", ANSWER_FAULT_CLOSE, "swiftworks_last_commit", true, EXECUTE_LOST, "1",
     EXECUTE_ALREADY_DONE},
    {"unkeyed-statement", ANSWER_FAULT_CLOSE, "bookings", false, EXECUTE_NOT_SENT, "0",
     EXECUTE_KEY_CLOSED},
    {"unkeyed-commit", ANSWER_FAULT_CLOSE, "COMMIT", false, EXECUTE_LOST, "1", EXECUTE_KEY_CLOSED},
};

static void test_lost_answer(struct fixture *fixture, const void *data)
{
    const struct lost_answer *loss = data;
    backend_plan_fault(fixture->server, loss->fault, loss->match);
    assert_result(write_sql(fixture, loss->keyed ? &KEY : NULL, WRITE_SQL), loss->expected);
    g_assert_cmpuint(fixture->answer.results_count, ==, 0);
    g_assert_false(backend_connection_is_clean(fixture->connection));
    reconnect(fixture);
    assert_result(close_key(fixture, &KEY), loss->resolved);
    backend_expect(fixture->server, COUNT_SQL, loss->bookings);
}

/* A replay whose answer is lost leaves no transaction open and runs nothing. */
static void test_lost_resolution(struct fixture *fixture, const void *unused)
{
    assert_result(write_sql(fixture, &KEY, WRITE_SQL), EXECUTE_DONE);
    backend_plan_fault(fixture->server, ANSWER_FAULT_CLOSE, "FROM swiftworks_ledger");
    assert_result(write_sql(fixture, &KEY, WRITE_SQL), EXECUTE_NOT_SENT);
    reconnect(fixture);
    assert_result(write_sql(fixture, &KEY, WRITE_SQL), EXECUTE_ALREADY_DONE);
    backend_expect(fixture->server, COUNT_SQL, "1");
}

/* Two transactions with the same key: the later commit finds the key claimed and has no effect. */
static void test_concurrent_same_key(struct fixture *fixture, const void *unused)
{
    struct adapter_transaction_options options = {.key = KEY};
    struct backend_connection *other = backend_open(fixture->server);
    assert_result(adapter_begin(other, &options, backend_test_deadline(), &fixture->answer),
                  EXECUTE_DONE);
    assert_result(write_sql(fixture, &KEY, WRITE_SQL), EXECUTE_DONE);
    assert_result(adapter_commit(other, &options, backend_test_deadline(), &fixture->answer),
                  EXECUTE_ALREADY_DONE);
    g_assert_true(backend_connection_is_clean(other));
    backend_connection_close(other);
    backend_expect(fixture->server, COUNT_SQL, "1");
}

/* A key closed while its transaction is open: the commit has no effect. */
static void test_closed_before_commit(struct fixture *fixture, const void *unused)
{
    struct adapter_transaction_options options = {.key = KEY};
    struct backend_connection *other = backend_open(fixture->server);
    assert_result(adapter_begin(other, &options, backend_test_deadline(), &fixture->answer),
                  EXECUTE_DONE);
    assert_result(close_key(fixture, &KEY), EXECUTE_KEY_CLOSED);
    struct sql_statement statement = backend_statement(WRITE_SQL);
    assert_result(
        adapter_statement(other, &statement, 1, backend_test_deadline(), NULL, &fixture->answer),
        EXECUTE_DONE);
    assert_result(adapter_commit(other, &options, backend_test_deadline(), &fixture->answer),
                  EXECUTE_KEY_CLOSED);
    backend_connection_close(other);
    backend_expect(fixture->server, COUNT_SQL, "0");
}

/* Opens a transaction that holds the stand-in's single write lock. */
static struct backend_connection *open_write_transaction(struct fixture *fixture)
{
    struct adapter_transaction_options options = {0};
    struct sql_statement statement = backend_statement(WRITE_SQL);
    struct backend_connection *other = backend_open(fixture->server);
    assert_result(adapter_begin(other, &options, backend_test_deadline(), &fixture->answer),
                  EXECUTE_DONE);
    assert_result(
        adapter_statement(other, &statement, 1, backend_test_deadline(), NULL, &fixture->answer),
        EXECUTE_DONE);
    return other;
}

/* The deadline passes while the statement waits: it was not committed and never will be. */
static void test_deadline(struct fixture *fixture, const void *unused)
{
    struct sql_statement statement = backend_statement(WRITE_SQL);
    struct backend_connection *other = open_write_transaction(fixture);
    enum execute_result result = adapter_write(fixture->connection, &KEY, &statement, 1,
                                               backend_deadline_in(20), NULL, &fixture->answer);
    assert_result(result, EXECUTE_NOT_SENT);
    assert_result(adapter_rollback(other, backend_test_deadline()), EXECUTE_DONE);
    backend_connection_close(other);
    reconnect(fixture);
    assert_result(close_key(fixture, &KEY), EXECUTE_KEY_CLOSED);
    backend_expect(fixture->server, COUNT_SQL, "0");
}

/* A transaction that reads from a snapshot can't write after another transaction's commit. */
static void test_conflict(struct fixture *fixture, const void *unused)
{
    struct sql_statement statements[] = {
        backend_statement("ROLLBACK"),
        backend_statement("BEGIN ISOLATION LEVEL REPEATABLE READ"),
        backend_statement(COUNT_SQL),
    };
    struct sql_statement write = backend_statement(WRITE_SQL);
    struct adapter_transaction_options options = {0};
    struct backend_connection *other = backend_open(fixture->server);
    assert_result(adapter_begin(other, &options, backend_test_deadline(), &fixture->answer),
                  EXECUTE_DONE);
    assert_result(
        adapter_statement(other, statements, 3, backend_test_deadline(), NULL, &fixture->answer),
        EXECUTE_DONE);
    assert_result(write_sql(fixture, NULL, WRITE_SQL), EXECUTE_DONE);
    assert_result(
        adapter_statement(other, &write, 1, backend_test_deadline(), NULL, &fixture->answer),
        EXECUTE_CONFLICT);
    g_assert_cmpstr(fixture->answer.sqlstate, ==, "40001");
    assert_result(adapter_rollback(other, backend_test_deadline()), EXECUTE_DONE);
    g_assert_true(backend_connection_is_clean(other));
    backend_connection_close(other);
}

static void test_expire(struct fixture *fixture, const void *unused)
{
    uint64_t removed;
    backend_write(fixture->server,
                  "INSERT INTO swiftworks_ledger (key, fingerprint, state, created_at) VALUES "
                  "('old1', '1', 'done', 1), ('old2', '1', 'done', 2), ('old3', '1', 'done', 3)");
    assert_result(write_sql(fixture, &KEY, WRITE_SQL), EXECUTE_DONE);
    execute_answer_clear(&fixture->answer);
    assert_result(adapter_expire_ledger(fixture->connection, 7, 2, backend_test_deadline(),
                                        &removed, &fixture->answer),
                  EXECUTE_DONE);
    g_assert_cmpuint(removed, ==, 2);
    backend_expect(fixture->server, LEDGER_SQL, "2");
    assert_result(write_sql(fixture, &KEY, WRITE_SQL), EXECUTE_ALREADY_DONE);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, function)                                                                        \
    g_test_add("/backend/adapter/write/" name, struct fixture, NULL, set_up, function, tear_down)
    ADD("without-key", test_without_key);
    ADD("replay", test_replay);
    ADD("replay-of-failing-write", test_replay_of_failing_write);
    ADD("large-results-are-not-kept", test_large_results_are_not_kept);
    ADD("key-reused", test_key_reused);
    ADD("key-closed", test_key_closed);
    ADD("error-rolls-back", test_error_rolls_back);
    ADD("answer-too-large", test_answer_too_large);
    ADD("statement-that-commits", test_statement_that_commits);
    ADD("not-primary", test_not_primary);
    ADD("fenced", test_fenced);
    ADD("fenced-within-transaction", test_fenced_within_transaction);
    ADD("lost-resolution", test_lost_resolution);
    ADD("concurrent-same-key", test_concurrent_same_key);
    ADD("closed-before-commit", test_closed_before_commit);
    ADD("deadline", test_deadline);
    ADD("conflict", test_conflict);
    ADD("expire", test_expire);
    for (size_t i = 0; i < G_N_ELEMENTS(LOSSES); i++) {
        g_autofree char *path = g_strconcat("/backend/adapter/write/lost/", LOSSES[i].name, NULL);
        g_test_add(path, struct fixture, &LOSSES[i], set_up, test_lost_answer, tear_down);
    }
    return g_test_run();
}
