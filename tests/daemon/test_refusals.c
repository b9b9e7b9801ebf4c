/* Requests that can't be served get their final answer at once, with a correct reason and a retry
 * delay. */
#include "cluster_fixture.h"

#include <string.h>

#define INSERT_STAY "INSERT INTO stays VALUES ('a', '')"

static void expect(struct cluster *cluster, struct http_call call, const char *outcome,
                   const char *kind, bool retry)
{
    struct http_answer answer;
    struct http_poster *poster = http_post_start(cluster_port(cluster, 0), &call);
    AWAIT(http_has_ended(poster));
    http_join(poster, &answer);
    http_assert_error(&answer, outcome, kind);
    g_assert_cmpint(answer.retry_after != NULL, ==, retry);
    http_answer_clear(&answer);
}

static void test_unknown_tenant(void)
{
    struct cluster_options options = {.daemons = 1};
    struct cluster *cluster = cluster_start(&options);
    expect(cluster, (struct http_call){.tenant = "nobody", .sql = "SELECT 1"}, "refused",
           "unknown_tenant", false);
    cluster_stop(cluster);
}

/* The deadlines exceed the test's time-out: answers must not wait for them. */
static void test_no_database(void)
{
    static const char *const overrides[] = {"routing.unavailable_wait_ms=300",
                                            "request.default_timeout_ms=60000",
                                            "request.max_timeout_ms=60000", NULL};
    struct cluster_options options = {.daemons = 1,
                                      .request_timeout_ms = 60000,
                                      .provokes_failures = true,
                                      .overrides = overrides};
    struct cluster *cluster = cluster_start(&options);
    for (unsigned i = 0; i < 3; i++) {
        cluster_partition(cluster, i);
    }
    for (unsigned i = 0; i < 3; i++) {
        AWAIT(!cluster_view(cluster, 0).databases[i].reachable);
    }
    expect(cluster, (struct http_call){.sql = INSERT_STAY}, "refused", "no_primary", true);
    expect(cluster, (struct http_call){.sql = INSERT_STAY, .key = "key"}, "refused", "no_primary",
           true);
    expect(cluster, (struct http_call){.sql = "SELECT 1"}, "refused", "no_fresh_replica", true);
    expect(cluster, (struct http_call){.path = "transactions", .body = "{\"begin\": true}"},
           "refused", "no_primary", true);
    cluster_clear_faults(cluster);
    cluster_await_ready(cluster);
    g_assert_cmpint(cluster_count(cluster, 0, "stays"), ==, 0);
    cluster_stop(cluster);
}

/* Opens a transaction that has written and so blocks all other writers at the stand-in database. */
static char *block_writers(struct cluster *cluster)
{
    struct http_answer answer;
    cluster_call(cluster, 0, &answer,
                 (struct http_call){.path = "transactions", .body = "{\"begin\": true}"});
    http_assert_done(&answer);
    char *id = g_steal_pointer(&answer.transaction);
    http_answer_clear(&answer);
    cluster_call(cluster, 0, &answer, (struct http_call){.transaction = id, .sql = INSERT_STAY});
    http_assert_done(&answer);
    http_answer_clear(&answer);
    return id;
}

static void unblock_writers(struct cluster *cluster, const char *id)
{
    struct http_answer answer;
    cluster_call(cluster, 0, &answer, (struct http_call){.transaction = id, .path = "commit"});
    http_assert_done(&answer);
    http_answer_clear(&answer);
}

static uint32_t in_flight(struct cluster *cluster, unsigned database)
{
    struct group_runtime *group = daemon_take_group(cluster->daemons[0], CLUSTER_GROUP);
    uint32_t count = atomic_load(&group->databases[database].in_flight);
    group_runtime_unref(group);
    return count;
}

/* One slot and a queue of length one: all other requests are refused while these two still wait. */
static void test_overload(void)
{
    enum { WRITERS = 10, TAKEN = 2 };
    static const char *const overrides[] = {"routing.queue_limit=1", NULL};
    struct cluster_options options = {.daemons = 1, .slots = 1, .overrides = overrides};
    struct cluster *cluster = cluster_start(&options);
    struct http_poster *posters[WRITERS];
    g_autofree char *id = block_writers(cluster);
    for (unsigned i = 0; i < WRITERS; i++) {
        g_autofree char *sql = g_strdup_printf("INSERT INTO stays VALUES ('w%u', '')", i);
        struct http_call call = {.sql = sql};
        posters[i] = http_post_start(cluster_port(cluster, 0), &call);
    }
    unsigned ended = 0;
    while (ended < WRITERS - TAKEN) {
        ended = 0;
        for (unsigned i = 0; i < WRITERS; i++) {
            ended += http_has_ended(posters[i]);
        }
        g_usleep(1000);
    }
    g_assert_cmpuint(ended, ==, WRITERS - TAKEN);
    unblock_writers(cluster, id);
    unsigned done = 0;
    for (unsigned i = 0; i < WRITERS; i++) {
        struct http_answer answer;
        http_join(posters[i], &answer);
        if (g_strcmp0(answer.outcome, "done") == 0) {
            done++;
        } else {
            http_assert_error(&answer, "refused", "overloaded");
            g_assert_nonnull(answer.retry_after);
        }
        http_answer_clear(&answer);
    }
    g_assert_cmpuint(done, ==, TAKEN);
    g_assert_cmpint(cluster_count(cluster, 0, "stays"), ==, TAKEN + 1);
    cluster_stop(cluster);
}

/* A request queued behind one that waits longer than its deadline is answered at its deadline. */
static void test_deadline_in_queue(void)
{
    struct cluster_options options = {.daemons = 1, .slots = 1};
    struct cluster *cluster = cluster_start(&options);
    struct http_answer answer;
    g_autofree char *id = block_writers(cluster);
    struct http_call first = {.sql = "INSERT INTO stays VALUES ('b', '')"};
    struct http_call second = {.sql = "INSERT INTO stays VALUES ('c', '')", .timeout_ms = 200};
    struct http_poster *holder = http_post_start(cluster_port(cluster, 0), &first);
    AWAIT(in_flight(cluster, 0) == 1);
    struct http_poster *queued = http_post_start(cluster_port(cluster, 0), &second);
    AWAIT(http_has_ended(queued));
    g_assert_false(http_has_ended(holder));
    http_join(queued, &answer);
    http_assert_error(&answer, "refused", "overloaded");
    g_assert_nonnull(answer.retry_after);
    http_answer_clear(&answer);
    unblock_writers(cluster, id);
    http_join(holder, &answer);
    http_assert_done(&answer);
    http_answer_clear(&answer);
    g_assert_cmpint(cluster_count(cluster, 0, "stays"), ==, 2);
    cluster_stop(cluster);
}

static int64_t count_row(struct cluster *cluster, unsigned number)
{
    g_autofree char *from = g_strdup_printf("stays WHERE id = '%u'", number);
    return cluster_count(cluster, 0, from);
}

/* Deadlines that expire at any stage: a write reported as not run is not present, and does not
 * appear later. */
static void test_short_deadlines(void)
{
    enum { WRITES = 24 };
    struct cluster_options options = {.daemons = 1};
    struct cluster *cluster = cluster_start(&options);
    bool not_run[WRITES] = {false};
    cluster_set_service_time(cluster, 0, 2000);
    for (unsigned i = 0; i < WRITES; i++) {
        struct http_answer answer;
        g_autofree char *sql = g_strdup_printf("INSERT INTO stays VALUES ('%u', '')", i);
        cluster_call(cluster, 0, &answer, (struct http_call){.sql = sql, .timeout_ms = i + 1});
        g_assert_nonnull(answer.outcome);
        not_run[i] =
            strcmp(answer.outcome, "refused") == 0 || strcmp(answer.outcome, "failed") == 0;
        if (strcmp(answer.outcome, "done") == 0) {
            g_assert_cmpint(count_row(cluster, i), ==, 1);
        }
        http_answer_clear(&answer);
    }
    g_free(cluster_write(cluster, 0, "last", "INSERT INTO stays VALUES ('last', '')"));
    for (unsigned i = 0; i < WRITES; i++) {
        g_assert_cmpint(count_row(cluster, i), <=, not_run[i] ? 0 : 1);
    }
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/refusals/unknown_tenant", test_unknown_tenant);
    g_test_add_func("/daemon/refusals/no_database", test_no_database);
    g_test_add_func("/daemon/refusals/overload", test_overload);
    g_test_add_func("/daemon/refusals/deadline_in_queue", test_deadline_in_queue);
    g_test_add_func("/daemon/refusals/short_deadlines", test_short_deadlines);
    return g_test_run();
}
