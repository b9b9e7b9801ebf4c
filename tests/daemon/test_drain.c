/* Planned changes under load: a leaving database or daemon gets no new work, and no request fails
 * because of it. */
#include "callers.h"

#include <string.h>

#include "daemon/control.h"
#include "database_fixture.h"

#define CALLERS 8

/* Rounds of every caller before and after a change. */
#define ROUNDS 5

static bool is_leaving(struct cluster *cluster, unsigned database)
{
    struct database *target = cluster->databases[database]->database;
    pthread_mutex_lock(&target->lock);
    bool leaving = target->leaving;
    pthread_mutex_unlock(&target->lock);
    return leaving;
}

/* Order number of the last drain request that the database accepted; 0 if none. */
static uint64_t leaving_order(struct cluster *cluster, unsigned database)
{
    struct database *target = cluster->databases[database]->database;
    pthread_mutex_lock(&target->lock);
    uint64_t order = target->leaving_order;
    pthread_mutex_unlock(&target->lock);
    return order;
}

static bool all_see_leaving(struct cluster *cluster, unsigned database, bool leaving)
{
    for (unsigned i = 0; i < CLUSTER_DAEMONS_MAX; i++) {
        if (cluster->daemons[i] != NULL &&
            cluster_view(cluster, i).databases[database].status.leaving != leaving) {
            return false;
        }
    }
    return true;
}

/* Restarts the count of statements that run in the database's slots at the same time. */
static void reset_peak(struct cluster *cluster, unsigned database)
{
    struct slots *slots = &cluster->databases[database]->slots;
    pthread_mutex_lock(&slots->lock);
    slots->peak = 0;
    pthread_mutex_unlock(&slots->lock);
}

static void drain(struct cluster *cluster, unsigned daemon, unsigned database, bool leaving)
{
    control_drain_database(cluster->daemons[daemon]->control, CLUSTER_GROUP, database, leaving);
}

/* Work that began before may still end. After that, the database must get none. */
static void expect_no_work(struct cluster *cluster, struct callers *callers, unsigned database)
{
    callers_await(callers, ROUNDS);
    AWAIT(cluster_slots_used(cluster, database) == 0);
    reset_peak(cluster, database);
    callers_await(callers, ROUNDS);
    g_assert_cmpuint(slots_peak(&cluster->databases[database]->slots), ==, 0);
}

static void test_replica(void)
{
    struct cluster *cluster = cluster_start(NULL);
    struct callers callers;
    callers_start(&callers, cluster, CALLERS);
    callers_await(&callers, ROUNDS);
    drain(cluster, 0, 1, true);
    AWAIT(is_leaving(cluster, 1) && all_see_leaving(cluster, 1, true));
    expect_no_work(cluster, &callers, 1);
    drain(cluster, 2, 1, false);
    AWAIT(!is_leaving(cluster, 1) && all_see_leaving(cluster, 1, false));
    reset_peak(cluster, 1);
    AWAIT(slots_peak(&cluster->databases[1]->slots) > 0);
    callers_stop(&callers, cluster);
    cluster_stop(cluster);
}

/* The last request takes effect, whichever daemon received it, even if both reach the database at
 * the same time. */
static void test_undrained_while_unreachable(void)
{
    struct cluster *cluster = cluster_start(NULL);
    cluster_partition(cluster, 1);
    drain(cluster, 0, 1, true);
    AWAIT(cluster_view(cluster, 0).databases[1].status.leaving);
    drain(cluster, 2, 1, false);
    cluster_clear_faults(cluster);
    AWAIT(leaving_order(cluster, 1) > 0 && !is_leaving(cluster, 1) &&
          all_see_leaving(cluster, 1, false));
    cluster_stop(cluster);
}

static void test_primary(void)
{
    struct cluster *cluster = cluster_start(NULL);
    struct callers callers;
    callers_start(&callers, cluster, CALLERS);
    callers_await(&callers, ROUNDS);
    drain(cluster, 1, 0, true);
    AWAIT(cluster_primary(cluster) > 0 && all_see_leaving(cluster, 0, true));
    expect_no_work(cluster, &callers, 0);
    drain(cluster, 0, 0, false);
    AWAIT(all_see_leaving(cluster, 0, false));
    callers_await(&callers, ROUNDS);
    callers_stop(&callers, cluster);
    cluster_stop(cluster);
}

/* The second is drained while the first is still leaving. */
static void test_two_databases(void)
{
    struct cluster *cluster = cluster_start(NULL);
    struct callers callers;
    callers_start(&callers, cluster, CALLERS);
    drain(cluster, 0, 0, true);
    drain(cluster, 1, 1, true);
    AWAIT(cluster_primary(cluster) == 2);
    AWAIT(all_see_leaving(cluster, 0, true) && all_see_leaving(cluster, 1, true));
    callers_await(&callers, ROUNDS);
    callers_stop(&callers, cluster);
    cluster_stop(cluster);
}

/* The planned change waits for the open transaction, and the transaction does not wait for the
 * change. */
static void test_primary_with_open_transaction(void)
{
    struct cluster *cluster = cluster_start(NULL);
    struct http_answer answer;
    cluster_call(
        cluster, 0, &answer,
        (struct http_call){.path = "transactions", .body = "{\"begin\": true}", .key = "key"});
    http_assert_done(&answer);
    g_autofree char *id = g_steal_pointer(&answer.transaction);
    http_answer_clear(&answer);
    drain(cluster, 1, 0, true);
    AWAIT(cluster_view(cluster, 1).writes_paused);
    cluster_call(
        cluster, 1, &answer,
        (struct http_call){.transaction = id, .sql = "INSERT INTO stays VALUES ('a', '')"});
    http_assert_done(&answer);
    http_answer_clear(&answer);
    cluster_call(cluster, 2, &answer, (struct http_call){.transaction = id, .path = "commit"});
    http_assert_done(&answer);
    http_answer_clear(&answer);
    AWAIT(cluster_primary(cluster) > 0);
    g_assert_cmpint(cluster_count(cluster, (unsigned)cluster_primary(cluster), "stays"), ==, 1);
    cluster_stop(cluster);
}

/* The callers use the daemons that are not stopping. */
static void check_stop(const char *const *overrides)
{
    struct cluster_options options = {.overrides = overrides};
    struct cluster *cluster = cluster_start(&options);
    struct callers callers;
    callers_start(&callers, cluster, CALLERS);
    callers_await(&callers, ROUNDS);
    /* Each of the three daemons leaves; it may be an owner, a former owner or none. */
    for (unsigned i = 0; i < 3; i++) {
        callers_use_daemons(&callers, cluster, i);
        callers_await(&callers, 1);
        GThread *stop = cluster_start_stop(cluster, i);
        callers_await(&callers, ROUNDS);
        g_assert_cmpuint(cluster_join_stop(stop), ==, 0);
        callers_await(&callers, ROUNDS);
        cluster_start_daemon(cluster, i);
        cluster_await_ready(cluster);
    }
    callers_stop(&callers, cluster);
    cluster_stop(cluster);
}

static void test_stop_of_daemons(void)
{
    check_stop(NULL);
}

static void test_stop_of_owners(void)
{
    static const char *const overrides[] = {"ownership.owners_per_group=1", NULL};
    check_stop(overrides);
}

/* Callers keep calling the stopping daemon: it accepts a call or refuses it, and aborts none that
 * reached it. */
static void test_stop_under_own_callers(void)
{
    struct cluster *cluster = cluster_start(NULL);
    struct callers callers;
    callers_start(&callers, cluster, CALLERS);
    atomic_store(&callers.retry_refused, true);
    for (unsigned i = 0; i < 3; i++) {
        callers_await(&callers, ROUNDS);
        GThread *stop = cluster_start_stop(cluster, i);
        callers_await(&callers, ROUNDS);
        g_assert_cmpuint(cluster_join_stop(stop), ==, 0);
        callers_await(&callers, ROUNDS);
        cluster_start_daemon(cluster, i);
        cluster_await_ready(cluster);
        callers_use_daemons(&callers, cluster, CLUSTER_DAEMONS_MAX);
    }
    callers_stop(&callers, cluster);
    cluster_stop(cluster);
}

/* Callers of the stopping daemon: each call that reached it gets a complete answer. */
static void test_stop_with_own_callers(void)
{
    struct cluster *cluster = cluster_start(NULL);
    struct http_poster *posters[CALLERS];
    unsigned port = cluster_port(cluster, 0);
    cluster_hold_slots(cluster, true);
    for (unsigned i = 0; i < CALLERS; i++) {
        g_autofree char *sql = g_strdup_printf("INSERT INTO stays VALUES ('%u', '')", i);
        g_autofree char *key = g_strdup_printf("key-%u", i);
        struct http_call call = {.sql = i % 2 == 0 ? sql : "SELECT 1", .key = key};
        posters[i] = http_post_start(port, &call);
    }
    AWAIT(atomic_load(&cluster->daemons[0]->tasks_open) == CALLERS);
    GThread *stop = cluster_start_stop(cluster, 0);
    cluster_hold_slots(cluster, false);
    g_assert_cmpuint(cluster_join_stop(stop), ==, 0);
    for (unsigned i = 0; i < CALLERS; i++) {
        struct http_answer answer;
        http_join(posters[i], &answer);
        http_assert_done(&answer);
        http_answer_clear(&answer);
    }
    g_assert_cmpint(cluster_count(cluster, 0, "stays"), ==, CALLERS / 2);
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/drain/replica", test_replica);
    g_test_add_func("/daemon/drain/undrained_while_unreachable", test_undrained_while_unreachable);
    g_test_add_func("/daemon/drain/primary", test_primary);
    g_test_add_func("/daemon/drain/two_databases", test_two_databases);
    g_test_add_func("/daemon/drain/open_transaction", test_primary_with_open_transaction);
    g_test_add_func("/daemon/drain/stop_with_own_callers", test_stop_with_own_callers);
    g_test_add_func("/daemon/drain/stop_under_own_callers", test_stop_under_own_callers);
    g_test_add_func("/daemon/drain/stop_of_daemons", test_stop_of_daemons);
    g_test_add_func("/daemon/drain/stop_of_owners", test_stop_of_owners);
    return g_test_run();
}
