/* Requests that wait for each other must not wait for the same workers: whatever occupies a
 * daemon's workers, the work that it waits for makes progress. The requests' deadlines exceed the
 * test's time-out. */
#include "cluster_fixture.h"

#include "daemon/worker_pool.h"

/* Enough rounds for two requests to cross in at least one of them. */
#define ROUNDS 10

#define LONG_DEADLINES                                                                             \
    "daemon.worker_threads=1", "request.default_timeout_ms=60000", "request.max_timeout_ms=60000"

static const char *const one_owner[] = {LONG_DEADLINES, "ownership.owners_per_group=1", NULL};
static const char *const two_owners[] = {LONG_DEADLINES, "ownership.owners_per_group=2", NULL};

static char *begin(struct cluster *cluster, unsigned daemon)
{
    struct http_answer answer;
    cluster_call(cluster, daemon, &answer,
                 (struct http_call){.path = "transactions", .body = "{\"begin\": true}"});
    http_assert_done(&answer);
    char *id = g_steal_pointer(&answer.transaction);
    http_answer_clear(&answer);
    return id;
}

static struct http_poster *post(struct cluster *cluster, unsigned daemon, struct http_call call)
{
    return http_post_start(cluster_port(cluster, daemon), &call);
}

/* Waits for an answer, which must be done. The caller frees the transaction's id, if any. */
static char *await_done(struct http_poster *poster)
{
    struct http_answer answer;
    AWAIT(http_has_ended(poster));
    http_join(poster, &answer);
    http_assert_done(&answer);
    char *id = g_steal_pointer(&answer.transaction);
    http_answer_clear(&answer);
    return id;
}

static void end(struct cluster *cluster, unsigned daemon, const char *id, const char *how)
{
    g_free(await_done(post(cluster, daemon, (struct http_call){.transaction = id, .path = how})));
}

static void await_backlog(struct cluster *cluster, uint32_t backlog)
{
    AWAIT(worker_pool_backlog(cluster->daemons[0]->workers) >= backlog);
}

/* Open transactions hold all connections, and callers wait to begin more. */
static void test_begins_wait_for_ends(void)
{
    /* Of 12 connections one owner's share is 5; at the start it may use one more. */
    enum { OPEN = 5, WAITING = OPEN - 1 };
    struct cluster_options options = {.daemons = 1,
                                      .slots = 5,
                                      .connections = 12,
                                      .request_timeout_ms = 60000,
                                      .overrides = one_owner};
    struct cluster *cluster = cluster_start(&options);
    char *ids[OPEN];
    struct http_poster *begins[OPEN];
    for (unsigned i = 0; i < OPEN; i++) {
        ids[i] = begin(cluster, 0);
    }
    for (unsigned i = 0; i < OPEN; i++) {
        begins[i] = post(cluster, 0,
                         (struct http_call){.path = "transactions", .body = "{\"begin\": true}"});
    }
    /* One of the waiting requests occupies the worker. */
    await_backlog(cluster, WAITING - 1);
    for (unsigned i = 0; i < OPEN; i++) {
        end(cluster, 0, ids[i], "rollback");
        g_free(ids[i]);
    }
    for (unsigned i = 0; i < OPEN; i++) {
        g_autofree char *id = await_done(begins[i]);
        end(cluster, 0, id, "rollback");
    }
    cluster_stop(cluster);
}

/* Statements wait at the database for the lock of a transaction whose commit is sent after them. */
static void test_statements_wait_for_commit(void)
{
    struct cluster_options options = {
        .daemons = 1, .request_timeout_ms = 60000, .overrides = one_owner};
    struct cluster *cluster = cluster_start(&options);
    g_autofree char *first = begin(cluster, 0);
    g_autofree char *second = begin(cluster, 0);
    g_autofree char *third = begin(cluster, 0);
    struct http_call insert = {.transaction = first, .sql = "INSERT INTO stays VALUES ('a', '')"};
    g_free(await_done(post(cluster, 0, insert)));
    insert.transaction = second;
    insert.sql = "INSERT INTO stays VALUES ('b', '')";
    struct http_poster *waits = post(cluster, 0, insert);
    insert.transaction = third;
    insert.sql = "INSERT INTO stays VALUES ('c', '')";
    struct http_poster *waits_longer = post(cluster, 0, insert);
    /* The database's lock time-out is ten seconds; after it these would not be done. */
    end(cluster, 0, first, "commit");
    while (!http_has_ended(waits) && !http_has_ended(waits_longer)) {
        g_usleep(1000);
    }
    bool second_came_first = http_has_ended(waits);
    g_free(await_done(second_came_first ? waits : waits_longer));
    end(cluster, 0, second_came_first ? second : third, "commit");
    g_free(await_done(second_came_first ? waits_longer : waits));
    end(cluster, 0, second_came_first ? third : second, "commit");
    g_assert_cmpint(cluster_count(cluster, 0, "stays"), ==, 3);
    cluster_stop(cluster);
}

/* Each daemon's only worker forwards requests to the other daemon. */
static void test_daemons_forward_to_each_other(void)
{
    enum { OPEN = 6 };
    struct cluster_options options = {
        .daemons = 2, .request_timeout_ms = 60000, .overrides = two_owners};
    struct cluster *cluster = cluster_start(&options);
    char *ids[OPEN];
    for (unsigned i = 0; i < OPEN; i++) {
        ids[i] = begin(cluster, i % 2);
    }
    /* Long enough for requests to queue at both daemons. */
    cluster_set_service_time(cluster, 0, 5000);
    for (unsigned round = 0; round < ROUNDS; round++) {
        struct http_poster *posters[OPEN];
        for (unsigned i = 0; i < OPEN; i++) {
            struct http_call call = {.transaction = ids[i], .sql = "SELECT 1"};
            posters[i] = post(cluster, (i + 1) % 2, call);
        }
        for (unsigned i = 0; i < OPEN; i++) {
            g_free(await_done(posters[i]));
        }
    }
    for (unsigned i = 0; i < OPEN; i++) {
        end(cluster, i % 2, ids[i], "rollback");
        g_free(ids[i]);
    }
    cluster_stop(cluster);
}

/* A daemon's only worker forwards a request that is not answered for a long time. */
static void test_forwarding_holds_up_no_other(void)
{
    struct cluster_options options = {
        .daemons = 2, .request_timeout_ms = 60000, .overrides = one_owner};
    struct cluster *cluster = cluster_start(&options);
    unsigned forwarder = cluster_is_owner(cluster, 0) ? 1 : 0;
    g_autofree char *holder = begin(cluster, 1 - forwarder);
    struct http_call insert = {.transaction = holder, .sql = "INSERT INTO stays VALUES ('a', '')"};
    g_free(await_done(post(cluster, 1 - forwarder, insert)));
    insert.transaction = NULL;
    insert.key = "waits-for-the-lock";
    insert.sql = "INSERT INTO stays VALUES ('b', '')";
    struct http_poster *waits = post(cluster, forwarder, insert);
    AWAIT(atomic_load(&cluster->daemons[1 - forwarder]->tasks_open) == 1);
    struct http_call read = {.sql = "SELECT 1"};
    g_free(await_done(post(cluster, forwarder, read)));
    /* The database's lock time-out is ten seconds. */
    g_assert_false(http_has_ended(waits));
    end(cluster, 1 - forwarder, holder, "rollback");
    g_free(await_done(waits));
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/workers/begins_wait_for_ends", test_begins_wait_for_ends);
    g_test_add_func("/daemon/workers/statements_wait_for_commit", test_statements_wait_for_commit);
    g_test_add_func("/daemon/workers/forward_to_each_other", test_daemons_forward_to_each_other);
    g_test_add_func("/daemon/workers/forwarding_holds_up_no_other",
                    test_forwarding_holds_up_no_other);
    return g_test_run();
}
