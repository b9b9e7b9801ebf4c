/* Sessions in a complete deployment: a session sees on any daemon what it has written or seen
 * before. */
#include "cluster_fixture.h"

#include <string.h>

/* Replica lag that the guard's wait covers, and lag that it never covers. */
#define SHORT_LAG_MS 60
#define LONG_LAG_MS  600000

static void insert_stay(struct cluster *cluster, unsigned daemon, unsigned number, char **session)
{
    g_autofree char *key = g_strdup_printf("stay-%u", number);
    g_autofree char *sql =
        g_strdup_printf("INSERT INTO stays VALUES ('s%u', 'guest %u')", number, number);
    g_free(*session);
    *session = cluster_write(cluster, daemon, key, sql);
}

/* Reads the number of stays and keeps the new token. */
static unsigned count_stays(struct cluster *cluster, unsigned daemon, char **session,
                            char **served_by)
{
    struct http_answer answer;
    cluster_call(cluster, daemon, &answer,
                 (struct http_call){.sql = "SELECT count(*) FROM stays", .session = *session});
    http_assert_done(&answer);
    g_autofree char *count = http_cell(&answer, 0, 0);
    if (answer.session != NULL) {
        g_free(*session);
        *session = g_steal_pointer(&answer.session);
    }
    if (served_by != NULL) {
        *served_by = g_steal_pointer(&answer.served_by);
    }
    http_answer_clear(&answer);
    return (unsigned)g_ascii_strtoull(count, NULL, 10);
}

static void set_replica_lags(struct cluster *cluster, int64_t milliseconds)
{
    cluster_set_lag(cluster, 1, milliseconds);
    cluster_set_lag(cluster, 2, milliseconds);
}

static void test_read_your_write(void)
{
    struct cluster *cluster = cluster_start(NULL);
    g_autofree char *session = NULL;
    set_replica_lags(cluster, SHORT_LAG_MS);
    for (unsigned i = 0; i < 12; i++) {
        insert_stay(cluster, i % 3, i, &session);
        g_assert_cmpuint(count_stays(cluster, (i + 1) % 3, &session, NULL), ==, i + 1);
    }
    cluster_stop(cluster);
}

/* Replicas do not catch up in time: the primary answers within the tenant's limit, and a tenant
 * without primary reads is refused with a retry delay. */
static void test_read_your_write_far_behind(void)
{
    struct cluster *cluster = cluster_start(NULL);
    g_autofree char *session = NULL;
    set_replica_lags(cluster, LONG_LAG_MS);
    insert_stay(cluster, 0, 0, &session);
    for (unsigned i = 0; i < 3; i++) {
        g_autofree char *served_by = NULL;
        g_assert_cmpuint(count_stays(cluster, i, &session, &served_by), ==, 1);
        g_assert_nonnull(strstr(served_by, "role=primary"));
    }
    struct http_answer answer;
    cluster_call(cluster, 1, &answer,
                 (struct http_call){
                     .tenant = "screen", .sql = "SELECT count(*) FROM stays", .session = session});
    http_assert_error(&answer, "refused", "no_fresh_replica");
    g_assert_nonnull(answer.retry_after);
    http_answer_clear(&answer);
    cluster_stop(cluster);
}

/* One replica is current, the other far behind: a session that has seen the newer state never sees
 * the older one, whichever daemon and replica serve it next. */
static void test_monotonic_reads(void)
{
    struct cluster *cluster = cluster_start(NULL);
    g_autofree char *writer = NULL;
    g_autofree char *reader = NULL;
    cluster_await_replicated(cluster);
    cluster_set_lag(cluster, 2, LONG_LAG_MS);
    unsigned seen = 0;
    for (unsigned i = 0; i < 10; i++) {
        insert_stay(cluster, i % 3, i, &writer);
        for (unsigned daemon = 0; daemon < 3; daemon++) {
            unsigned count = count_stays(cluster, daemon, &reader, NULL);
            g_assert_cmpuint(count, >=, seen);
            seen = count;
        }
    }
    cluster_stop(cluster);
}

/* Begins a transaction, lets another session write, and reads the number of stays. Keeps the last
 * token received. */
static unsigned count_in_transaction(struct cluster *cluster, const char *begin, unsigned number,
                                     char **session)
{
    struct http_answer answer;
    cluster_call(cluster, 0, &answer, (struct http_call){.path = "transactions", .body = begin});
    http_assert_done(&answer);
    g_autofree char *transaction = g_steal_pointer(&answer.transaction);
    *session = g_steal_pointer(&answer.session);
    http_answer_clear(&answer);
    g_autofree char *writer = NULL;
    insert_stay(cluster, 1, number, &writer);
    AWAIT(cluster_count(cluster, 1, "stays") == cluster_count(cluster, 0, "stays"));
    cluster_call(cluster, 0, &answer,
                 (struct http_call){.transaction = transaction,
                                    .sql = "SELECT count(*) FROM stays",
                                    .session = *session});
    http_assert_done(&answer);
    g_autofree char *count = http_cell(&answer, 0, 0);
    g_free(*session);
    *session = g_steal_pointer(&answer.session);
    http_answer_clear(&answer);
    cluster_call(cluster, 0, &answer,
                 (struct http_call){.transaction = transaction, .path = "rollback"});
    http_assert_done(&answer);
    http_answer_clear(&answer);
    return (unsigned)g_ascii_strtoull(count, NULL, 10);
}

static void await_reachable(struct cluster *cluster, unsigned database, bool reachable)
{
    for (unsigned i = 0; i < 3; i++) {
        AWAIT(cluster_view(cluster, i).databases[database].reachable == reachable);
    }
}

/* What a transaction has read counts as seen. It runs while only the current replica is reachable;
 * the session continues while only the lagging one is. */
static void check_monotonic_after_transaction(const char *begin)
{
    struct cluster_options options = {.provokes_failures = true};
    struct cluster *cluster = cluster_start(&options);
    g_autofree char *session = NULL;
    cluster_await_replicated(cluster);
    cluster_set_lag(cluster, 2, LONG_LAG_MS);
    cluster_partition(cluster, 2);
    await_reachable(cluster, 2, false);
    unsigned count = count_in_transaction(cluster, begin, 0, &session);
    g_assert_cmpuint(count, ==, 1);
    faults_heal(&cluster->databases[2]->faults);
    await_reachable(cluster, 2, true);
    cluster_partition(cluster, 1);
    await_reachable(cluster, 1, false);
    for (unsigned i = 0; i < 6; i++) {
        g_assert_cmpuint(count_stays(cluster, i % 3, &session, NULL), ==, 1);
    }
    cluster_stop(cluster);
}

static void test_monotonic_after_read_transaction(void)
{
    check_monotonic_after_transaction("{\"begin\": true, \"access\": \"read\"}");
}

static void test_monotonic_after_write_transaction(void)
{
    check_monotonic_after_transaction("{\"begin\": true}");
}

static void await_failover(struct cluster *cluster, int old)
{
    AWAIT(cluster_primary(cluster) != old);
    for (unsigned i = 0; i < CLUSTER_DAEMONS_MAX; i++) {
        if (cluster->daemons[i] != NULL) {
            AWAIT(cluster_view(cluster, i).primary == cluster_primary(cluster));
        }
    }
}

static void test_token_from_before_failover(void)
{
    struct cluster_options options = {.provokes_failures = true};
    struct cluster *cluster = cluster_start(&options);
    g_autofree char *session = NULL;
    insert_stay(cluster, 0, 0, &session);
    cluster_partition(cluster, 0);
    await_failover(cluster, 0);
    for (unsigned i = 0; i < 3; i++) {
        g_assert_cmpuint(count_stays(cluster, i, &session, NULL), ==, 1);
    }
    insert_stay(cluster, 1, 1, &session);
    for (unsigned i = 0; i < 3; i++) {
        g_assert_cmpuint(count_stays(cluster, i, &session, NULL), ==, 2);
    }
    cluster_stop(cluster);
}

/* A daemon that has just started waits for its first view; it neither refuses the request nor
 * serves it without a view. */
static void test_daemon_just_started(void)
{
    static const char *const overrides[] = {"daemon.worker_threads=1",
                                            "routing.unavailable_wait_ms=15000", NULL};
    struct cluster_options options = {.overrides = overrides};
    struct cluster *cluster = cluster_start_databases(&options);
    cluster_start_daemon(cluster, 0);
    g_autofree char *session =
        cluster_write(cluster, 0, "make", "CREATE TABLE stays (id text PRIMARY KEY, guest text)");
    set_replica_lags(cluster, SHORT_LAG_MS);
    insert_stay(cluster, 0, 0, &session);
    cluster_start_daemon(cluster, 1);
    g_assert_cmpuint(count_stays(cluster, 1, &session, NULL), ==, 1);
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/sessions/read_your_write", test_read_your_write);
    g_test_add_func("/daemon/sessions/far_behind", test_read_your_write_far_behind);
    g_test_add_func("/daemon/sessions/monotonic_reads", test_monotonic_reads);
    g_test_add_func("/daemon/sessions/monotonic_after_read_transaction",
                    test_monotonic_after_read_transaction);
    g_test_add_func("/daemon/sessions/monotonic_after_write_transaction",
                    test_monotonic_after_write_transaction);
    g_test_add_func("/daemon/sessions/before_failover", test_token_from_before_failover);
    g_test_add_func("/daemon/sessions/daemon_just_started", test_daemon_just_started);
    return g_test_run();
}
