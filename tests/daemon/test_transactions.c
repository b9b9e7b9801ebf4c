/* Interactive transactions in a complete deployment: each is open at one daemon and can be used
 * through all. */
#include "cluster_fixture.h"

#include <string.h>

#include "daemon_probe.h"

/* A deadline that is not reached even on a busy machine. */
#define LONG_TIMEOUT_MS 20000

/* Starts a deployment with this idle time-out of transactions; 0 for the fixture's default. */
static struct cluster *start(unsigned transaction_idle_ms)
{
    struct cluster_options options = {.transaction_idle_ms = transaction_idle_ms};
    return cluster_start(&options);
}

/* The current primary. It may differ from the one at the start, as an owner that joins late on a
 * slow machine may find no primary and elect another. */
static unsigned primary_of(const struct cluster *cluster)
{
    int primary = cluster_primary(cluster);
    g_assert_cmpint(primary, >=, 0);
    return (unsigned)primary;
}

static int64_t count_stays(const struct cluster *cluster)
{
    return cluster_count(cluster, primary_of(cluster), "stays");
}

/* Begins a transaction at a daemon and returns the id, which the caller frees. */
static char *begin(struct cluster *cluster, unsigned daemon, const char *key, const char *access)
{
    struct http_answer answer;
    g_autofree char *body = g_strdup_printf("{\"begin\": true, \"access\": \"%s\"}", access);
    cluster_call(cluster, daemon, &answer,
                 (struct http_call){.path = "transactions", .body = body, .key = key});
    http_assert_done(&answer);
    char *id = g_steal_pointer(&answer.transaction);
    g_assert_nonnull(id);
    http_answer_clear(&answer);
    return id;
}

/* Runs a statement, which must succeed; returns the first cell of its first row, if any. */
static char *statement(struct cluster *cluster, unsigned daemon, const char *id, const char *sql)
{
    struct http_answer answer;
    cluster_call(cluster, daemon, &answer, (struct http_call){.transaction = id, .sql = sql});
    http_assert_done(&answer);
    char *cell = http_rows(&answer) > 0 ? http_cell(&answer, 0, 0) : NULL;
    http_answer_clear(&answer);
    return cell;
}

/* Commits or rolls back, which must succeed; returns the session token, if any. */
static char *end(struct cluster *cluster, unsigned daemon, const char *id, const char *how,
                 const char *key)
{
    struct http_answer answer;
    cluster_call(cluster, daemon, &answer,
                 (struct http_call){.transaction = id, .path = how, .key = key});
    http_assert_done(&answer);
    char *session = g_steal_pointer(&answer.session);
    http_answer_clear(&answer);
    return session;
}

static void expect_error(struct cluster *cluster, unsigned daemon, struct http_call call,
                         const char *outcome, const char *kind)
{
    struct http_answer answer;
    cluster_call(cluster, daemon, &answer, call);
    http_assert_error(&answer, outcome, kind);
    http_answer_clear(&answer);
}

static unsigned open_transactions(struct cluster *cluster, unsigned daemon)
{
    return daemon_open_transactions(cluster->daemons[daemon]);
}

static void test_through_all_daemons(void)
{
    struct cluster *cluster = start(0);
    struct http_answer answer;
    g_autofree char *id = begin(cluster, 0, "key", "write");
    g_free(statement(cluster, 1, id, "INSERT INTO stays VALUES ('a', '')"));
    g_free(statement(cluster, 2, id, "INSERT INTO stays VALUES ('b', '')"));
    g_autofree char *own = statement(cluster, 0, id, "SELECT count(*) FROM stays");
    g_assert_cmpstr(own, ==, "2");
    g_assert_cmpint(count_stays(cluster), ==, 0);
    g_autofree char *session = end(cluster, 2, id, "commit", NULL);
    g_assert_nonnull(session);
    cluster_call(cluster, 1, &answer,
                 (struct http_call){.sql = "SELECT * FROM stays", .session = session});
    http_assert_done(&answer);
    g_assert_cmpuint(http_rows(&answer), ==, 2);
    http_answer_clear(&answer);
    cluster_stop(cluster);
}

static void test_rollback(void)
{
    struct cluster *cluster = start(0);
    g_autofree char *id = begin(cluster, 0, NULL, "write");
    g_free(statement(cluster, 0, id, "INSERT INTO stays VALUES ('a', '')"));
    g_free(end(cluster, 1, id, "rollback", NULL));
    expect_error(cluster, 2, (struct http_call){.transaction = id, .sql = "SELECT 1"}, "refused",
                 "unknown_transaction");
    g_assert_cmpint(count_stays(cluster), ==, 0);
    cluster_stop(cluster);
}

/* A transaction is not visible to another tenant. */
static void test_other_tenant(void)
{
    struct cluster *cluster = start(0);
    g_autofree char *id = begin(cluster, 0, NULL, "write");
    struct http_call call = {.tenant = "agency", .transaction = id, .sql = "SELECT 1"};
    expect_error(cluster, 0, call, "refused", "unknown_transaction");
    expect_error(cluster, 1, call, "refused", "unknown_transaction");
    g_free(end(cluster, 0, id, "rollback", NULL));
    cluster_stop(cluster);
}

static void test_idle(void)
{
    struct cluster *cluster = start(200);
    g_autofree char *keyed = begin(cluster, 0, "key", "write");
    g_free(statement(cluster, 0, keyed, "INSERT INTO stays VALUES ('a', '')"));
    AWAIT(open_transactions(cluster, 0) == 0);
    g_autofree char *unkeyed = begin(cluster, 0, NULL, "write");
    g_free(statement(cluster, 0, unkeyed, "INSERT INTO stays VALUES ('b', '')"));
    AWAIT(open_transactions(cluster, 0) == 0);
    for (unsigned i = 0; i < 3; i++) {
        expect_error(cluster, i, (struct http_call){.transaction = keyed, .sql = "SELECT 1"},
                     "refused", "unknown_transaction");
        expect_error(cluster, i,
                     (struct http_call){.transaction = keyed, .path = "commit", .key = "key"},
                     "failed", "transaction_aborted");
        /* Without a key it is not known whether an earlier commit was executed. */
        expect_error(cluster, i, (struct http_call){.transaction = unkeyed, .path = "commit"},
                     "unknown", "outcome_unknown");
    }
    g_assert_cmpint(count_stays(cluster), ==, 0);
    cluster_stop(cluster);
}

/* The database's answer to COMMIT is lost: the outcome is found by the key, and again when the
 * commit is repeated at another daemon. */
static void test_commit_answer_lost(void)
{
    struct cluster *cluster = start(0);
    struct http_answer answer;
    g_autofree char *id = begin(cluster, 0, "key", "write");
    g_free(statement(cluster, 0, id, "INSERT INTO stays VALUES ('a', '')"));
    cluster_lose_answers(cluster, primary_of(cluster), ANSWER_FAULT_CLOSE, 1, "COMMIT");
    g_free(end(cluster, 0, id, "commit", NULL));
    for (unsigned i = 0; i < 3; i++) {
        cluster_call(cluster, i, &answer,
                     (struct http_call){.transaction = id, .path = "commit", .key = "key"});
        http_assert_done(&answer);
        g_assert_true(answer.replayed);
        g_assert_nonnull(answer.session);
        http_answer_clear(&answer);
    }
    g_assert_cmpint(count_stays(cluster), ==, 1);
    cluster_stop(cluster);
}

static void test_unkeyed_commit_answer_lost(void)
{
    struct cluster *cluster = start(0);
    g_autofree char *id = begin(cluster, 0, NULL, "write");
    g_free(statement(cluster, 0, id, "INSERT INTO stays VALUES ('a', '')"));
    cluster_lose_answers(cluster, primary_of(cluster), ANSWER_FAULT_CLOSE, 1, "COMMIT");
    expect_error(cluster, 1, (struct http_call){.transaction = id, .path = "commit"}, "unknown",
                 "outcome_unknown");
    g_assert_cmpint(count_stays(cluster), ==, 1);
    cluster_stop(cluster);
}

/* The key of a closed transaction can't be used for anything else. */
static void test_key_of_closed_transaction(void)
{
    struct cluster *cluster = start(200);
    g_autofree char *id = begin(cluster, 0, "key", "write");
    AWAIT(open_transactions(cluster, 0) == 0);
    expect_error(cluster, 1, (struct http_call){.transaction = id, .path = "commit", .key = "key"},
                 "failed", "transaction_aborted");
    expect_error(cluster, 0,
                 (struct http_call){.sql = "INSERT INTO stays VALUES ('a', '')", .key = "key"},
                 "refused", "key_reused");
    expect_error(
        cluster, 0,
        (struct http_call){.path = "transactions", .body = "{\"begin\": true}", .key = "key"},
        "refused", "key_reused");
    g_assert_cmpint(count_stays(cluster), ==, 0);
    cluster_stop(cluster);
}

static void test_never_mix(void)
{
    struct cluster *cluster = start(0);
    g_autofree char *first = begin(cluster, 0, NULL, "write");
    g_autofree char *second = begin(cluster, 0, NULL, "write");
    g_autofree char *third = begin(cluster, 1, NULL, "write");
    g_free(statement(cluster, 0, first, "INSERT INTO stays VALUES ('a', '')"));
    for (unsigned i = 0; i < 3; i++) {
        g_autofree char *seen_by_second =
            statement(cluster, i, second, "SELECT count(*) FROM stays");
        g_autofree char *seen_by_third = statement(cluster, i, third, "SELECT count(*) FROM stays");
        g_autofree char *seen_by_first = statement(cluster, i, first, "SELECT count(*) FROM stays");
        g_assert_cmpstr(seen_by_second, ==, "0");
        g_assert_cmpstr(seen_by_third, ==, "0");
        g_assert_cmpstr(seen_by_first, ==, "1");
    }
    g_free(end(cluster, 0, second, "rollback", NULL));
    g_free(end(cluster, 1, first, "commit", NULL));
    g_autofree char *after = statement(cluster, 2, third, "SELECT count(*) FROM stays");
    g_assert_cmpstr(after, ==, "1");
    g_free(end(cluster, 0, third, "rollback", NULL));
    cluster_stop(cluster);
}

static void test_failed_statement(void)
{
    struct cluster *cluster = start(0);
    g_autofree char *id = begin(cluster, 0, "key", "write");
    g_free(statement(cluster, 0, id, "INSERT INTO stays VALUES ('a', '')"));
    expect_error(cluster, 1,
                 (struct http_call){.transaction = id, .sql = "INSERT INTO stays VALUES ('a', '')"},
                 "failed", "database_error");
    expect_error(cluster, 0, (struct http_call){.transaction = id, .sql = "SELECT 1"}, "refused",
                 "unknown_transaction");
    expect_error(cluster, 0, (struct http_call){.transaction = id, .path = "commit", .key = "key"},
                 "failed", "transaction_aborted");
    g_assert_cmpint(count_stays(cluster), ==, 0);
    cluster_stop(cluster);
}

/* The transaction's statement is known to be at the database, and is held there until another
 * request for the transaction was made. */
static void test_busy(void)
{
    struct cluster *cluster = start(0);
    struct http_answer answer;
    g_autofree char *id = begin(cluster, 0, NULL, "write");
    struct http_call insert = {.transaction = id,
                               .sql = "INSERT INTO stays VALUES ('a', '')",
                               .timeout_ms = LONG_TIMEOUT_MS};
    cluster_hold_statements(cluster, primary_of(cluster), insert.sql);
    struct http_poster *poster = http_post_start(cluster_port(cluster, 0), &insert);
    AWAIT(cluster_held_statements(cluster, primary_of(cluster)) == 1);
    struct http_call commit = {.transaction = id, .path = "commit", .timeout_ms = LONG_TIMEOUT_MS};
    expect_error(cluster, 1, commit, "refused", "bad_request");
    cluster_release_statements(cluster, primary_of(cluster));
    http_join(poster, &answer);
    http_assert_done(&answer);
    http_answer_clear(&answer);
    g_free(end(cluster, 0, id, "commit", NULL));
    g_assert_cmpint(count_stays(cluster), ==, 1);
    cluster_stop(cluster);
}

/* A read-only transaction runs at a replica and can't write. */
static void test_read_only(void)
{
    struct cluster *cluster = start(0);
    cluster_await_replicated(cluster); /* for the table to exist at the replicas */
    g_autofree char *id = begin(cluster, 0, NULL, "read");
    g_autofree char *count = statement(cluster, 1, id, "SELECT count(*) FROM stays");
    g_assert_cmpstr(count, ==, "0");
    g_free(end(cluster, 2, id, "commit", NULL));
    g_autofree char *other = begin(cluster, 0, NULL, "read");
    expect_error(
        cluster, 0,
        (struct http_call){.transaction = other, .sql = "INSERT INTO stays VALUES ('a', '')"},
        "failed", "database_error");
    cluster_await_replicated(cluster);
    g_assert_cmpint(count_stays(cluster), ==, 0);
    cluster_stop(cluster);
}

/* A planned stop waits for the open transaction, which continues through the other daemons. After
 * the daemon has left, requests do not wait for it. */
static void test_owner_stops(void)
{
    static const char *const overrides[] = {"routing.unavailable_wait_ms=60000", NULL};
    struct cluster_options options = {.overrides = overrides};
    struct cluster *cluster = cluster_start(&options);
    g_autofree char *id = begin(cluster, 0, "key", "write");
    GThread *stop = cluster_start_stop(cluster, 0);
    g_free(statement(cluster, 1, id, "INSERT INTO stays VALUES ('a', '')"));
    g_free(statement(cluster, 2, id, "INSERT INTO stays VALUES ('b', '')"));
    g_autofree char *session = end(cluster, 1, id, "commit", NULL);
    g_assert_nonnull(session);
    g_assert_cmpuint(cluster_join_stop(stop), ==, 0);
    g_assert_cmpint(count_stays(cluster), ==, 2);
    /* The outcome is available although the transaction's daemon has left. */
    g_free(end(cluster, 2, id, "commit", "key"));
    cluster_stop(cluster);
}

/* Checks the answer to a commit that was executed before. It is done or unknown, unless the
 * request's deadline expired before the request had arrived completely. */
static void expect_done_or_late(const struct http_answer *answer)
{
    g_autofree char *body = answer->body != NULL ? json_to_string(answer->body, FALSE) : NULL;
    bool late = body != NULL && strstr(body, "took longer to arrive") != NULL;
    if (g_strcmp0(answer->outcome, "done") != 0 && !late) {
        http_assert_error(answer, "unknown", "outcome_unknown");
    }
}

/* A commit that was executed is never reported as not run when it is repeated, however short the
 * deadline. */
static void test_repeated_commit_short_deadline(void)
{
    enum { TIMES = 50 };
    struct cluster *cluster = start(0);
    g_autofree char *id = begin(cluster, 0, "key", "write");
    g_free(statement(cluster, 0, id, "INSERT INTO stays VALUES ('a', '')"));
    g_free(end(cluster, 0, id, "commit", "key"));
    for (unsigned i = 0; i < TIMES; i++) {
        struct http_answer answer;
        struct http_call commit = {
            .transaction = id, .path = "commit", .key = "key", .timeout_ms = 1 + i % 2};
        cluster_call(cluster, i % 3, &answer, commit);
        expect_done_or_late(&answer);
        http_answer_clear(&answer);
    }
    cluster_stop(cluster);
}

/* Begins, writes, and makes the database end the transaction as idle for too long. */
static char *begin_and_expire(struct cluster *cluster, const char *key)
{
    char *id = begin(cluster, 0, key, "write");
    g_free(statement(cluster, 0, id, "INSERT INTO stays VALUES ('a', '')"));
    cluster_end_idle_transactions(cluster, primary_of(cluster), true);
    AWAIT(!cluster_has_writer(cluster, primary_of(cluster)));
    cluster_end_idle_transactions(cluster, primary_of(cluster), false);
    return id;
}

/* The database has ended the transaction: it is rolled back, and its caller gets that outcome. */
static void test_ended_by_database(void)
{
    struct cluster *cluster = start(0);
    g_autofree char *unkeyed = begin_and_expire(cluster, NULL);
    expect_error(cluster, 1, (struct http_call){.transaction = unkeyed, .path = "commit"}, "failed",
                 "transaction_aborted");
    g_autofree char *keyed = begin_and_expire(cluster, "key");
    expect_error(cluster, 1,
                 (struct http_call){.transaction = keyed, .path = "commit", .key = "key"}, "failed",
                 "transaction_aborted");
    g_autofree char *continued = begin_and_expire(cluster, NULL);
    expect_error(cluster, 1, (struct http_call){.transaction = continued, .sql = "SELECT 1"},
                 "failed", "transaction_aborted");
    AWAIT(open_transactions(cluster, 0) == 0);
    g_assert_cmpint(count_stays(cluster), ==, 0);
    cluster_stop(cluster);
}

/* Statements in progress at the databases. */
static unsigned slots_used(const struct cluster *cluster)
{
    unsigned used = 0;
    for (unsigned i = 0; i < cluster->options.databases; i++) {
        used += cluster_slots_used(cluster, i);
    }
    return used;
}

/* A commit that waits for a worker past its deadline is not executed, and the transaction must end.
 */
static void test_commit_after_deadline(void)
{
    static const char *const overrides[] = {"daemon.worker_threads=1",
                                            "failover.suspect_after_ms=60000", NULL};
    struct cluster_options options = {.daemons = 1, .overrides = overrides};
    struct cluster *cluster = cluster_start(&options);
    struct http_answer answer;
    g_autofree char *id = begin(cluster, 0, NULL, "write");
    g_free(statement(cluster, 0, id, "INSERT INTO stays VALUES ('a', '')"));
    for (unsigned i = 0; i < 3; i++) {
        cluster_set_service_time(cluster, i, 500000);
    }
    struct http_call read = {.sql = "SELECT 1"};
    struct http_poster *poster = http_post_start(cluster_port(cluster, 0), &read);
    AWAIT(slots_used(cluster) == 1);
    cluster_call(cluster, 0, &answer,
                 (struct http_call){.transaction = id, .path = "commit", .timeout_ms = 20});
    g_assert_cmpstr(answer.outcome, !=, "done");
    bool rolled_back = strcmp(answer.outcome, "failed") == 0;
    http_answer_clear(&answer);
    http_join(poster, &answer);
    http_assert_done(&answer);
    http_answer_clear(&answer);
    AWAIT(open_transactions(cluster, 0) == 0);
    if (rolled_back) {
        g_assert_cmpint(count_stays(cluster), ==, 0);
    }
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/transactions/through_all_daemons", test_through_all_daemons);
    g_test_add_func("/daemon/transactions/rollback", test_rollback);
    g_test_add_func("/daemon/transactions/other_tenant", test_other_tenant);
    g_test_add_func("/daemon/transactions/idle", test_idle);
    g_test_add_func("/daemon/transactions/commit_answer_lost", test_commit_answer_lost);
    g_test_add_func("/daemon/transactions/unkeyed_commit_answer_lost",
                    test_unkeyed_commit_answer_lost);
    g_test_add_func("/daemon/transactions/key_of_closed", test_key_of_closed_transaction);
    g_test_add_func("/daemon/transactions/never_mix", test_never_mix);
    g_test_add_func("/daemon/transactions/failed_statement", test_failed_statement);
    g_test_add_func("/daemon/transactions/busy", test_busy);
    g_test_add_func("/daemon/transactions/read_only", test_read_only);
    g_test_add_func("/daemon/transactions/owner_stops", test_owner_stops);
    g_test_add_func("/daemon/transactions/repeated_commit_short_deadline",
                    test_repeated_commit_short_deadline);
    g_test_add_func("/daemon/transactions/ended_by_database", test_ended_by_database);
    g_test_add_func("/daemon/transactions/commit_after_deadline", test_commit_after_deadline);
    return g_test_run();
}
