/* Answers between a daemon and the primary are lost: a write with a key runs once and is answered,
 * one without a key is never sent again, and the reported outcome is the real one. */
#include "cluster_fixture.h"

#include <string.h>

/* The wait for a dropped answer takes most of this time; the rest suffices for another attempt. */
#define DROP_TIMEOUT_MS 2400

#define INSERT_STAY "INSERT INTO stays VALUES ('a', 'guest')"

static struct cluster *start(void)
{
    struct cluster_options options = {.daemons = 2};
    return cluster_start(&options);
}

/* A statement of a keyed write loses its answer: the write is run again, or its outcome is found.
 */
static void check_keyed(enum answer_fault fault, const char *match)
{
    struct cluster *cluster = start();
    struct http_answer answer;
    struct http_call call = {.sql = INSERT_STAY, .key = "key", .timeout_ms = DROP_TIMEOUT_MS};
    cluster_lose_answers(cluster, 0, fault, 1, match);
    cluster_call(cluster, 0, &answer, call);
    http_assert_done(&answer);
    http_answer_clear(&answer);
    g_assert_cmpint(cluster_count(cluster, 0, "stays"), ==, 1);
    cluster_stop(cluster);
}

static void test_keyed_insert_closed(void)
{
    check_keyed(ANSWER_FAULT_CLOSE, "INSERT INTO stays");
}

static void test_keyed_insert_truncated(void)
{
    check_keyed(ANSWER_FAULT_TRUNCATE, "INSERT INTO stays");
}

static void test_keyed_insert_dropped(void)
{
    check_keyed(ANSWER_FAULT_DROP, "INSERT INTO stays");
}

static void test_keyed_commit_closed(void)
{
    check_keyed(ANSWER_FAULT_CLOSE, "COMMIT");
}

static void test_keyed_commit_dropped(void)
{
    check_keyed(ANSWER_FAULT_DROP, "COMMIT");
}

static void test_keyed_position_closed(void)
{
    check_keyed(ANSWER_FAULT_CLOSE, "swiftworks_last_commit");
}

static void test_keyed_position_dropped(void)
{
    check_keyed(ANSWER_FAULT_DROP, "swiftworks_last_commit");
}

/* A write without a key whose COMMIT is not answered has an unknown outcome and was sent once. */
static void test_unkeyed_commit_closed(void)
{
    struct cluster *cluster = start();
    struct http_answer answer;
    cluster_lose_answers(cluster, 0, ANSWER_FAULT_CLOSE, 1, "COMMIT");
    cluster_call(cluster, 0, &answer,
                 (struct http_call){.sql = "INSERT INTO stays VALUES (random(), 'guest')"});
    http_assert_error(&answer, "unknown", "outcome_unknown");
    http_answer_clear(&answer);
    g_assert_cmpint(cluster_count(cluster, 0, "stays"), ==, 1);
    cluster_stop(cluster);
}

/* A connection lost before COMMIT was sent proves that nothing was committed: even without a key
 * the write may run again. */
static void test_unkeyed_insert_closed(void)
{
    struct cluster *cluster = start();
    struct http_answer answer;
    cluster_lose_answers(cluster, 0, ANSWER_FAULT_CLOSE, 1, "INSERT INTO stays");
    cluster_call(cluster, 0, &answer, (struct http_call){.sql = INSERT_STAY});
    http_assert_done(&answer);
    http_answer_clear(&answer);
    g_assert_cmpint(cluster_count(cluster, 0, "stays"), ==, 1);
    cluster_stop(cluster);
}

/* Both daemons receive the same key at the same time, repeatedly. */
static void test_same_key_at_two_daemons(void)
{
    struct cluster *cluster = start();
    for (unsigned round = 0; round < 8; round++) {
        g_autofree char *key = g_strdup_printf("key-%u", round);
        struct http_call call = {.sql = "INSERT INTO stays VALUES (random(), 'guest')", .key = key};
        struct http_poster *posters[4];
        unsigned replayed = 0;
        for (unsigned i = 0; i < G_N_ELEMENTS(posters); i++) {
            posters[i] = http_post_start(cluster_port(cluster, i % 2), &call);
        }
        for (unsigned i = 0; i < G_N_ELEMENTS(posters); i++) {
            struct http_answer answer;
            http_join(posters[i], &answer);
            http_assert_done(&answer);
            replayed += answer.replayed;
            http_answer_clear(&answer);
        }
        g_assert_cmpuint(replayed, ==, G_N_ELEMENTS(posters) - 1);
        g_assert_cmpint(cluster_count(cluster, 0, "stays"), ==, round + 1);
    }
    cluster_stop(cluster);
}

/* The second answer equals the first, results included. */
static void test_key_repeated(void)
{
    struct cluster *cluster = start();
    struct http_answer answer;
    struct http_call call = {.sql = "INSERT INTO stays VALUES ('a', 'x') RETURNING guest",
                             .key = "key"};
    for (unsigned i = 0; i < 2; i++) {
        cluster_call(cluster, i, &answer, call);
        http_assert_done(&answer);
        g_assert_cmpint(answer.replayed, ==, i == 1);
        g_assert_cmpuint(http_rows(&answer), ==, 1);
        g_autofree char *guest = http_cell(&answer, 0, 0);
        g_assert_cmpstr(guest, ==, "x");
        http_answer_clear(&answer);
    }
    cluster_stop(cluster);
}

static void test_key_reused(void)
{
    struct cluster *cluster = start();
    struct http_answer answer;
    g_free(cluster_write(cluster, 0, "key", INSERT_STAY));
    cluster_call(cluster, 1, &answer,
                 (struct http_call){.sql = "INSERT INTO stays VALUES ('b', '')", .key = "key"});
    http_assert_error(&answer, "refused", "key_reused");
    http_answer_clear(&answer);
    g_assert_cmpint(cluster_count(cluster, 0, "stays"), ==, 1);
    /* The same key of another tenant is a different key. */
    cluster_call(cluster, 1, &answer,
                 (struct http_call){.tenant = "agency",
                                    .sql = "INSERT INTO stays VALUES ('b', '')",
                                    .key = "key"});
    http_assert_done(&answer);
    http_answer_clear(&answer);
    cluster_stop(cluster);
}

static void test_key_required(void)
{
    struct cluster *cluster = start();
    struct http_answer answer;
    cluster_call(cluster, 0, &answer, (struct http_call){.tenant = "desk", .sql = INSERT_STAY});
    http_assert_error(&answer, "refused", "bad_request");
    http_answer_clear(&answer);
    g_assert_cmpint(cluster_count(cluster, 0, "stays"), ==, 0);
    cluster_stop(cluster);
}

/* The first attempt is lost and the second gets a database error. That error is reported, as no
 * effect of the first can remain; the key may then be used for the corrected request. */
static void test_error_after_lost_attempt(void)
{
    struct cluster *cluster = start();
    struct http_answer answer;
    g_free(cluster_write(cluster, 0, "first", INSERT_STAY));
    cluster_lose_answers(cluster, 0, ANSWER_FAULT_CLOSE, 1, "INSERT INTO swiftworks_ledger");
    cluster_call(cluster, 0, &answer, (struct http_call){.sql = INSERT_STAY, .key = "second"});
    http_assert_error(&answer, "failed", "database_error");
    g_assert_cmpstr(answer.sqlstate, ==, "23505");
    http_answer_clear(&answer);
    g_assert_cmpint(cluster_count(cluster, 0, "stays"), ==, 1);
    cluster_stop(cluster);
}

/* Statements that the open write transaction has executed. */
static unsigned statements_written(struct cluster *cluster)
{
    struct database *database = cluster->databases[0]->database;
    pthread_mutex_lock(&database->lock);
    bool writing = database->writer_owner != NULL;
    unsigned written = writing ? database->writer_owner->entry->statements->len : 0;
    pthread_mutex_unlock(&database->lock);
    return written;
}

/* COMMIT is delayed in a partitioned link while its caller is answered, and takes effect later. The
 * second round trip of a keyed write records its results before COMMIT; partitioned during the
 * first statement of that round trip, COMMIT waits in the link. */
static void check_late_commit(const char *key)
{
    struct cluster_options options = {.databases = 1, .daemons = 1, .provokes_failures = true};
    struct cluster *cluster = cluster_start(&options);
    struct http_answer answer;
    struct http_call call = {.sql = INSERT_STAY, .key = key, .timeout_ms = 2500};
    unsigned first_round_trip = key != NULL ? 2 : 1;
    cluster_set_service_time(cluster, 0, 200000);
    struct http_poster *poster = http_post_start(cluster_port(cluster, 0), &call);
    AWAIT(statements_written(cluster) == first_round_trip);
    AWAIT(cluster_slots_used(cluster, 0) == 1);
    cluster_partition(cluster, 0);
    http_join(poster, &answer);
    http_assert_error(&answer, "unknown", "outcome_unknown");
    http_answer_clear(&answer);
    cluster_clear_faults(cluster);
    cluster_await_ready(cluster);
    AWAIT(cluster_count(cluster, 0, "stays") == 1);
    if (key != NULL) {
        g_free(cluster_write(cluster, 0, key, INSERT_STAY));
        g_assert_cmpint(cluster_count(cluster, 0, "stays"), ==, 1);
    }
    cluster_stop(cluster);
}

static void test_late_commit_keyed(void)
{
    check_late_commit("key");
}

static void test_late_commit_unkeyed(void)
{
    check_late_commit(NULL);
}

/* A batch is one transaction: all of it is executed or nothing. */
static void test_batch(void)
{
    struct cluster *cluster = start();
    struct http_answer answer;
    cluster_call(cluster, 0, &answer,
                 (struct http_call){.path = "transactions",
                                    .key = "whole",
                                    .body = "{\"statements\": ["
                                            "{\"sql\": \"INSERT INTO stays VALUES ('a', '')\"},"
                                            "{\"sql\": \"INSERT INTO stays VALUES ('b', '')\"}]}"});
    http_assert_done(&answer);
    http_answer_clear(&answer);
    cluster_call(cluster, 0, &answer,
                 (struct http_call){.path = "transactions",
                                    .key = "broken",
                                    .body = "{\"statements\": ["
                                            "{\"sql\": \"INSERT INTO stays VALUES ('c', '')\"},"
                                            "{\"sql\": \"INSERT INTO stays VALUES ('a', '')\"}]}"});
    http_assert_error(&answer, "failed", "database_error");
    http_answer_clear(&answer);
    g_assert_cmpint(cluster_count(cluster, 0, "stays"), ==, 2);
    cluster_stop(cluster);
}

static void test_batch_of_reads(void)
{
    struct cluster *cluster = start();
    struct http_answer answer;
    g_autofree char *session = cluster_write(cluster, 0, "key", INSERT_STAY);
    cluster_call(cluster, 1, &answer,
                 (struct http_call){.path = "transactions",
                                    .session = session,
                                    .body = "{\"statements\": [{\"sql\": \"SELECT * FROM stays\"},"
                                            "{\"sql\": \"SELECT id FROM stays WHERE 1 = 0\"}]}"});
    http_assert_done(&answer);
    g_assert_cmpuint(http_batch_rows(&answer, 0), ==, 1);
    g_assert_cmpuint(http_batch_rows(&answer, 1), ==, 0);
    g_assert_nonnull(strstr(answer.served_by, "role=replica"));
    http_answer_clear(&answer);
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/writes/keyed/insert_closed", test_keyed_insert_closed);
    g_test_add_func("/daemon/writes/keyed/insert_truncated", test_keyed_insert_truncated);
    g_test_add_func("/daemon/writes/keyed/insert_dropped", test_keyed_insert_dropped);
    g_test_add_func("/daemon/writes/keyed/commit_closed", test_keyed_commit_closed);
    g_test_add_func("/daemon/writes/keyed/commit_dropped", test_keyed_commit_dropped);
    g_test_add_func("/daemon/writes/keyed/position_closed", test_keyed_position_closed);
    g_test_add_func("/daemon/writes/keyed/position_dropped", test_keyed_position_dropped);
    g_test_add_func("/daemon/writes/unkeyed/commit_closed", test_unkeyed_commit_closed);
    g_test_add_func("/daemon/writes/unkeyed/insert_closed", test_unkeyed_insert_closed);
    g_test_add_func("/daemon/writes/key/two_daemons", test_same_key_at_two_daemons);
    g_test_add_func("/daemon/writes/key/repeated", test_key_repeated);
    g_test_add_func("/daemon/writes/key/reused", test_key_reused);
    g_test_add_func("/daemon/writes/key/required", test_key_required);
    g_test_add_func("/daemon/writes/error_after_lost_attempt", test_error_after_lost_attempt);
    g_test_add_func("/daemon/writes/late_commit/keyed", test_late_commit_keyed);
    g_test_add_func("/daemon/writes/late_commit/unkeyed", test_late_commit_unkeyed);
    g_test_add_func("/daemon/writes/batch", test_batch);
    g_test_add_func("/daemon/writes/batch_of_reads", test_batch_of_reads);
    return g_test_run();
}
