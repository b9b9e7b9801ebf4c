/* Published configurations in complete deployments: an accepted version is soon in force on every
 * daemon, despite races and outages of the store, and no daemon returns to an older one. */
#include "published_fixture.h"

#include <string.h>

#include "backend/clock.h"
#include "core/error.h"
#include "daemon/control.h"
#include "generated/errors.h"

#define DAEMONS 3

/* So long that no test reaches it. */
#define BOUND_LONG_MS 600000

/* Reached intentionally. */
#define BOUND_SHORT_MS 2000

static void check_readiness(struct published_cluster *test, unsigned daemon, long expected,
                            const char *reason)
{
    long status = 0;
    g_autofree char *body = published_admin_get(test, daemon, "/readyz", &status);
    g_assert_cmpint(status, ==, expected);
    g_assert_nonnull(strstr(body, reason));
}

/* Checks the configuration in /v1/status. */
static void check_status(struct published_cluster *test, unsigned daemon, int64_t version,
                         const char *hash)
{
    long status = 0;
    g_autofree char *body = published_admin_get(test, daemon, "/v1/status", &status);
    g_autoptr(JsonNode) root = json_from_string(body, NULL);
    g_assert_nonnull(root);
    JsonObject *status_json =
        json_object_get_object_member(json_node_get_object(root), "configuration");
    g_assert_cmpstr(json_object_get_string_member(status_json, "source"), ==, "published");
    g_assert_cmpstr(json_object_get_string_member(status_json, "hash"), ==, hash);
    g_assert_cmpint(json_object_get_int_member(status_json, "version"), ==, version);
    g_assert_cmpint(json_object_get_int_member(status_json, "newest_version"), ==, version);
    g_assert_cmpint(json_object_get_int_member(status_json, "straggler_count"), ==, 0);
    g_assert_true(json_object_get_boolean_member(status_json, "serving"));
    g_assert_cmpint(json_object_get_int_member(status_json, "confirmed_age_ms"), <, BOUND_LONG_MS);
}

/* Starts a deployment that serves version 1. */
static void serve(struct published_cluster *test, unsigned daemons)
{
    g_free(published_publish(test, test->bundle, 1));
    published_start_daemons(test, daemons);
    published_await(test, 1);
}

static struct published_cluster *start_serving(uint32_t bound_ms, unsigned daemons)
{
    struct published_cluster *test = published_start(bound_ms);
    serve(test, daemons);
    return test;
}

static void test_publish(void)
{
    struct published_cluster *test = published_start(BOUND_LONG_MS);
    published_start_daemons(test, DAEMONS);
    published_check_read(test, 0, "refuge", "not_ready");
    check_readiness(test, 0, 503, "no configuration");
    g_free(published_publish(test, test->bundle, 1));
    published_await(test, 1);
    check_readiness(test, 0, 200, "");
    published_check_read(test, 2, "guide", "unknown_tenant");
    g_autofree char *bundle = published_with_tenant(test, "guide");
    g_autofree char *hash = published_publish(test, bundle, 2);
    AWAIT(published_all_serve(test, 2));
    for (unsigned i = 0; i < DAEMONS; i++) {
        published_check_read(test, i, "guide", NULL);
    }
    published_check_all_have(test, hash);
    AWAIT(published_status(test, 0).straggler_count == 0);
    check_status(test, 0, 2, hash);
    published_stop(test);
}

/* One of two operators that publish on the same base. */
struct racer {
    struct publisher *publisher;
    const char *bundle;
    bool won;
    GError *error;
};

static gpointer race(gpointer data)
{
    struct racer *racer = data;
    racer->won = publisher_publish(racer->publisher, racer->bundle, 1, &racer->error);
    return NULL;
}

static void test_racing_publishers(void)
{
    struct published_cluster *test = start_serving(BOUND_LONG_MS, DAEMONS);
    g_autofree char *left = published_with_tenant(test, "left");
    g_autofree char *right = published_with_tenant(test, "right");
    struct racer racers[] = {
        {.publisher = test->publisher, .bundle = left},
        {.publisher = test->publisher, .bundle = right},
    };
    GThread *threads[G_N_ELEMENTS(racers)];
    for (size_t i = 0; i < G_N_ELEMENTS(racers); i++) {
        threads[i] = g_thread_new("racer", race, &racers[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(racers); i++) {
        g_thread_join(threads[i]);
    }
    g_assert_true(racers[0].won != racers[1].won);
    const struct racer *winner = racers[0].won ? &racers[0] : &racers[1];
    struct racer *loser = racers[0].won ? &racers[1] : &racers[0];
    g_assert_error(loser->error, SW_ERROR, ERROR_KIND_PUBLISH_CONFLICT);
    g_clear_error(&loser->error);
    AWAIT(published_all_serve(test, 2));
    g_autofree char *winning = publisher_hash(winner->bundle);
    published_check_all_have(test, winning);
    /* The operator that lost publishes again, on top of the winner's version. */
    g_autofree char *hash = published_publish(test, loser->bundle, 3);
    AWAIT(published_all_serve(test, 3));
    published_check_all_have(test, hash);
    published_stop(test);
}

/* The store answers only one daemon, and goes down as soon as that one has the new version. */
static void test_store_down_after_acceptance(void)
{
    struct published_cluster *test = published_start(BOUND_SHORT_MS);
    g_free(published_publish(test, test->bundle, 1));
    published_start_daemons(test, 1);
    test->store_unreachable = true;
    published_start_daemons(test, DAEMONS);
    published_await(test, 1);
    g_autofree char *bundle = published_with_tenant(test, "guide");
    g_autofree char *hash = published_publish(test, bundle, 2);
    AWAIT(published_status(test, 0).version == 2);
    publisher_set_down(test->publisher, true);
    time_ns down_since = backend_now();
    AWAIT(published_all_serve(test, 2));
    published_check_all_have(test, hash);
    for (unsigned i = 1; i < DAEMONS; i++) {
        g_assert_cmpuint(published_count_events(test, i, "configuration_applied", "store"), ==, 0);
    }
    /* Long after the bound all daemons still serve, as a majority confirms each other's version. */
    time_ns past = down_since + 2 * BOUND_SHORT_MS * NANOSECONDS_PER_MILLISECOND;
    for (unsigned i = 0; i < DAEMONS; i++) {
        AWAIT(published_status(test, i).confirmed_at > past);
        published_check_read(test, i, "guide", NULL);
        g_assert_cmpuint(published_count_events(test, i, "configuration_stopped", ""), ==, 0);
    }
    published_stop(test);
}

/* A daemon without stored state restarts while the store is down. */
static void test_restart_without_store(void)
{
    struct published_cluster *test = start_serving(BOUND_LONG_MS, DAEMONS);
    g_autofree char *bundle = published_with_tenant(test, "guide");
    g_autofree char *hash = published_publish(test, bundle, 2);
    AWAIT(published_all_serve(test, 2));
    publisher_set_down(test->publisher, true);
    for (unsigned i = 0; i < DAEMONS; i++) {
        cluster_stop_daemon(test->cluster, i);
        published_start_daemons(test, DAEMONS);
        published_await(test, 2);
        published_check_read(test, i, "guide", NULL);
        g_assert_cmpuint(published_count_events(test, i, "configuration_applied", "store"), ==, 0);
    }
    published_check_all_have(test, hash);
    published_stop(test);
}

static void cut_zone(struct cluster *cluster, const char *zone)
{
    for (unsigned i = 0; i < cluster->options.databases; i++) {
        faults_cut_zone(&cluster->databases[i]->faults, zone);
    }
}

static bool sees_a_database(const struct cluster *cluster, unsigned daemon)
{
    struct group_view view = cluster_view(cluster, daemon);
    bool any = false;
    for (uint32_t i = 0; i < view.database_count; i++) {
        any = any || view.databases[i].reachable;
    }
    return any;
}

/* A group is removed while its old owner waits for a new owner that can't start: the wait ends. Its
 * databases continue in a group with another number. */
static void test_group_removed_in_a_move(void)
{
    struct published_cluster *test = published_start(BOUND_LONG_MS);
    test->handover_max_ms = BOUND_LONG_MS;
    g_free(published_publish(test, test->bundle, 1));
    published_start_daemons(test, DAEMONS);
    published_await(test, 1);
    struct control *control = test->cluster->daemons[0]->control;
    cut_zone(test->cluster, cluster_zones[2]);
    AWAIT(!sees_a_database(test->cluster, 2));
    control_set_leaving(control, true);
    AWAIT(published_count_events(test, 0, "ownership_lost", "") > 0);
    g_assert_true(control_holds_groups(control));
    g_autofree char *bundle = published_edit(test, "\"id\": 7", "\"id\": 8");
    g_free(published_publish(test, bundle, 2));
    AWAIT(!control_holds_groups(control));
    cluster_clear_faults(test->cluster);
    AWAIT(published_all_serve(test, 2));
    published_check_read(test, 1, "refuge", NULL);
    published_stop(test);
}

/* A slow store still delivers the accepted version. */
static void test_slow_store(void)
{
    struct published_cluster *test = start_serving(BOUND_LONG_MS, DAEMONS);
    publisher_set_slow(test->publisher, 300);
    g_autofree char *bundle = published_with_tenant(test, "guide");
    g_autofree char *hash = published_publish(test, bundle, 2);
    AWAIT(published_all_serve(test, 2));
    published_check_all_have(test, hash);
    published_stop(test);
}

/* A store that does not respond does not delay requests to other daemons. */
static void test_restart_with_hanging_store(void)
{
    struct published_cluster *test = start_serving(BOUND_LONG_MS, DAEMONS);
    g_autofree char *hash = published_hash(test, 0);
    publisher_set_slow(test->publisher, BOUND_LONG_MS);
    cluster_stop_daemon(test->cluster, 1);
    published_start_daemons(test, DAEMONS);
    published_await(test, 1);
    published_check_all_have(test, hash);
    g_assert_cmpuint(published_count_events(test, 1, "configuration_applied", "store"), ==, 0);
    published_stop(test);
}

/* Without store and peers a daemon stops serving, reports why, and serves again once the store is
 * back. */
static void test_no_store_no_peers(void)
{
    struct published_cluster *test = start_serving(BOUND_SHORT_MS, DAEMONS);
    publisher_set_down(test->publisher, true);
    cluster_stop_daemon(test->cluster, 1);
    cluster_stop_daemon(test->cluster, 2);
    /* After planned stops of the others, no daemon confirms the remaining one. */
    AWAIT(!published_status(test, 0).serving);
    struct configuration_status status = published_status(test, 0);
    g_assert_nonnull(strstr(status.reason, "confirm"));
    g_assert_cmpuint(published_count_events(test, 0, "configuration_stopped", "confirm"), ==, 1);
    published_check_read(test, 0, "refuge", "not_ready");
    check_readiness(test, 0, 503, "confirm");
    publisher_set_down(test->publisher, false);
    published_await(test, 1);
    published_check_read(test, 0, "refuge", NULL);
    published_stop(test);
}

static uint64_t promised_term(const struct published_cluster *test, uint32_t database)
{
    struct group_runtime *group = daemon_take_group(test->cluster->daemons[0], CLUSTER_GROUP);
    struct group_view view;
    group_runtime_read_view(group, &view);
    group_runtime_unref(group);
    return view.databases[database].status.promised_term;
}

/* A daemon whose configuration may have been replaced might count a majority of databases that the
 * group no longer has. It must change no primary until it is confirmed again. */
static void test_unconfirmed_deposes_no_primary(void)
{
    struct published_cluster *test = published_start(BOUND_SHORT_MS);
    test->cluster->options.provokes_failures = true;
    serve(test, DAEMONS);
    publisher_set_down(test->publisher, true);
    cluster_stop_daemon(test->cluster, 1);
    cluster_stop_daemon(test->cluster, 2);
    AWAIT(!published_status(test, 0).serving);
    uint64_t promised = promised_term(test, 1);
    cluster_partition(test->cluster, 0);
    /* The second attempt starts after the first one's commands were answered or timed out. */
    AWAIT(published_count_events(test, 0, "fence_started", "") >= 2);
    for (uint32_t i = 1; i < 3; i++) {
        g_assert_cmpuint(promised_term(test, i), ==, promised);
    }
    publisher_set_down(test->publisher, false);
    published_await(test, 1);
    g_assert_cmpuint(promised_term(test, 1), >, promised);
    published_stop(test);
}

/* The next change of a group's databases waits until the owners report that the last one is
 * complete. */
static void test_change_of_databases(void)
{
    struct published_cluster *test = start_serving(BOUND_LONG_MS, DAEMONS);
    g_autofree char *first = published_hash(test, 0);
    g_autofree char *more =
        published_edit(test, "\"databases\": [",
                       "\"databases\": [{\"name\": \"one-more\", \"zone\": \"imlil\", "
                       "\"host\": \"127.0.0.1\", \"port\": 1, \"slots\": 1, "
                       "\"connections\": 9},");
    g_autoptr(GString) output = g_string_new(NULL);
    enum exit_code exit_code = published_by_ctl(test, more, 1, -1, output);
    g_assert_cmpint(exit_code, ==, EXIT_CODE_REFUSED);
    g_assert_nonnull(strstr(output->str, "changes its databases"));
    g_assert_nonnull(strstr(output->str, "daemons may still use its previous set of databases"));
    published_check_all_have(test, first);
    published_stop(test);
}

/* A version that no daemon can parse is not put in force anywhere, until it is replaced by a valid
 * one. All daemons stop serving meanwhile. */
static void test_unparsable_bundle(void)
{
    struct published_cluster *test = start_serving(BOUND_SHORT_MS, DAEMONS);
    g_autofree char *first = published_hash(test, 0);
    publisher_force(test->publisher, "{\"zones\":7}", 2);
    for (unsigned i = 0; i < DAEMONS; i++) {
        AWAIT(published_status(test, i).newest == 2);
        AWAIT(!published_status(test, i).serving);
        g_assert_nonnull(strstr(published_status(test, i).reason, "version 2 is the newest"));
        published_check_read(test, i, "refuge", "not_ready");
    }
    published_check_all_have(test, first);
    unsigned refused = 0;
    for (unsigned i = 0; i < DAEMONS; i++) {
        refused += published_count_events(test, i, "configuration_refused", "version=2");
    }
    g_assert_cmpuint(refused, >, 0);
    g_autofree char *bundle = published_with_tenant(test, "guide");
    g_autofree char *hash = published_publish(test, bundle, 3);
    published_await(test, 3);
    published_check_all_have(test, hash);
    published_stop(test);
}

static uint32_t count_writes(struct group_runtime *group)
{
    pthread_mutex_lock(&group->writes_lock);
    uint32_t running = group->writes_running;
    pthread_mutex_unlock(&group->writes_lock);
    return running;
}

/* The number of slots changes during an open transaction: it commits, and later requests use the
 * new slots. */
static void test_group_change(void)
{
    struct published_cluster *test = start_serving(BOUND_LONG_MS, DAEMONS);
    struct http_answer answer;
    cluster_call(test->cluster, 0, &answer,
                 (struct http_call){.path = "transactions", .body = "{\"begin\": true}"});
    http_assert_done(&answer);
    g_autofree char *transaction = g_strdup(answer.transaction);
    http_answer_clear(&answer);
    cluster_call(test->cluster, 0, &answer,
                 (struct http_call){.transaction = transaction,
                                    .sql = "INSERT INTO stays VALUES ('open', 'amina')"});
    http_assert_done(&answer);
    http_answer_clear(&answer);

    struct group_runtime *before = daemon_take_group(test->cluster->daemons[0], CLUSTER_GROUP);
    g_autofree char *bundle = published_edit(test, "\"slots\": 5", "\"slots\": 4");
    g_free(published_publish(test, bundle, 2));
    AWAIT(published_all_serve(test, 2));
    for (unsigned i = 0; i < DAEMONS; i++) {
        published_check_read(test, i, "refuge", NULL);
    }
    struct group_runtime *after = daemon_take_group(test->cluster->daemons[0], CLUSTER_GROUP);
    g_assert_true(before != after);
    g_assert_cmpuint(after->databases[0].configuration.slots, ==, 4);
    g_assert_true(before->databases[0].pool == after->databases[0].pool);

    cluster_call(test->cluster, 0, &answer,
                 (struct http_call){.transaction = transaction, .path = "commit"});
    http_assert_done(&answer);
    http_answer_clear(&answer);
    g_assert_cmpuint(count_writes(before), ==, 0);
    g_assert_cmpuint(count_writes(after), ==, 0);
    group_runtime_unref(before);
    group_runtime_unref(after);
    AWAIT(cluster_count(test->cluster, 0, "stays WHERE id = 'open'") == 1);
    published_stop(test);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    /* The outages made here cause warnings in the log. */
    g_log_set_always_fatal(G_LOG_FATAL_MASK | G_LOG_LEVEL_CRITICAL);
    g_test_add_func("/daemon/configuration/publish", test_publish);
    g_test_add_func("/daemon/configuration/racing_publishers", test_racing_publishers);
    g_test_add_func("/daemon/configuration/store_down_after_acceptance",
                    test_store_down_after_acceptance);
    g_test_add_func("/daemon/configuration/restart_without_store", test_restart_without_store);
    g_test_add_func("/daemon/configuration/group_removed_in_a_move", test_group_removed_in_a_move);
    g_test_add_func("/daemon/configuration/slow_store", test_slow_store);
    g_test_add_func("/daemon/configuration/restart_with_hanging_store",
                    test_restart_with_hanging_store);
    g_test_add_func("/daemon/configuration/no_store_no_peers", test_no_store_no_peers);
    g_test_add_func("/daemon/configuration/unconfirmed_deposes_no_primary",
                    test_unconfirmed_deposes_no_primary);
    g_test_add_func("/daemon/configuration/change_of_databases", test_change_of_databases);
    g_test_add_func("/daemon/configuration/unparsable_bundle", test_unparsable_bundle);
    g_test_add_func("/daemon/configuration/group_change", test_group_change);
    return g_test_run();
}
