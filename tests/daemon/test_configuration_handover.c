/* The publisher hands an accepted version over to daemons: it is in force everywhere although the
 * store goes down right after its acceptance, and a version that was not accepted never is. */
#include "published_fixture.h"

#include <string.h>

#define DAEMONS 3

/* So long that no test reaches it. */
#define BOUND_MS 600000

/* Starts daemons that never reach the store; nothing is published. */
static struct published_cluster *start_without_store(void)
{
    struct published_cluster *test = published_start(BOUND_MS);
    test->store_unreachable = true;
    published_start_daemons(test, DAEMONS);
    return test;
}

static void publish(struct published_cluster *test, const char *bundle, uint64_t base, int daemon)
{
    g_autoptr(GString) output = g_string_new(NULL);
    enum exit_code exit_code = published_by_ctl(test, bundle, base, daemon, output);
    g_assert_cmpint(exit_code, ==, EXIT_CODE_DONE);
    g_assert_nonnull(strstr(output->str, "in force: http://"));
    g_assert_null(strstr(output->str, "not in force"));
}

/* Behaves as if the store went down right after each acceptance: no daemon ever reads it. */
static void test_store_down_at_once(void)
{
    struct published_cluster *test = start_without_store();
    publish(test, test->bundle, 0, 0);
    published_await(test, 1);
    g_autofree char *bundle = published_with_tenant(test, "guide");
    g_autofree char *hash = publisher_hash(bundle);
    publish(test, bundle, 1, 1);
    publisher_set_down(test->publisher, true);
    AWAIT(published_all_serve(test, 2));
    published_check_all_have(test, hash);
    for (unsigned i = 0; i < DAEMONS; i++) {
        published_check_read(test, i, "guide", NULL);
        g_assert_cmpuint(published_count_events(test, i, "configuration_applied", "store"), ==, 0);
    }
    published_stop(test);
}

/* Two consecutive versions are handed to different daemons: a daemon that is behind applies the
 * second once it has the first. */
static void test_versions_in_a_row(void)
{
    struct published_cluster *test = start_without_store();
    g_autofree char *second = published_with_tenant(test, "guide");
    g_autofree char *third = published_with_tenant(test, "porter");
    g_autofree char *hash = publisher_hash(third);
    publish(test, test->bundle, 0, 0);
    publish(test, second, 1, 1);
    publish(test, third, 2, 2);
    published_await(test, 3);
    published_check_all_have(test, hash);
    published_stop(test);
}

/* Of two operators that publish on the same base one is accepted; the other's version is not handed
 * over. */
static void test_lost_race(void)
{
    struct published_cluster *test = start_without_store();
    g_autofree char *winner = published_with_tenant(test, "left");
    g_autofree char *loser = published_with_tenant(test, "right");
    g_autofree char *hash = publisher_hash(winner);
    g_autoptr(GString) output = g_string_new(NULL);
    publish(test, test->bundle, 0, 0);
    published_await(test, 1);
    g_free(published_publish(test, winner, 2));
    enum exit_code exit_code = published_by_ctl(test, loser, 1, -1, output);
    g_assert_cmpint(exit_code, ==, EXIT_CODE_CONFLICT);
    /* As after a crash of the winner's publisher before the handover: publishing again hands over.
     */
    publish(test, winner, 2, 0);
    AWAIT(published_all_serve(test, 2));
    published_check_all_have(test, hash);
    published_stop(test);
}

/* Moving the store's head is the acceptance; swiftctl reports that no daemon has the version. */
static void test_no_daemon(void)
{
    struct published_cluster *test = published_start(BOUND_MS);
    published_start_daemons(test, 1);
    g_autoptr(GString) output = g_string_new(NULL);
    enum exit_code exit_code = published_by_ctl(test, test->bundle, 0, 1, output);
    g_assert_cmpint(exit_code, ==, EXIT_CODE_DONE);
    g_assert_nonnull(strstr(output->str, "handed to no daemon"));
    published_await(test, 1);
    published_stop(test);
}

/* Hands a bundle over as version `version` without publishing it. */
static void hand_over(struct published_cluster *test, const char *bundle, uint64_t version,
                      const char *hash, const char *base_hash, long expected)
{
    long status = 0;
    g_autoptr(GBytes) canonical = publisher_canonical(bundle);
    g_autofree char *path =
        g_strdup_printf("/v1/configuration?version=%" G_GUINT64_FORMAT "&hash=%s&base_hash=%s",
                        version, hash, base_hash);
    g_free(published_admin_post(test, 0, path, canonical, &status));
    g_assert_cmpint(status, ==, expected);
}

static bool was_refused(const struct published_cluster *test, const char *text)
{
    return published_count_events(test, 0, "configuration_refused", text) > 0;
}

/* A version that was not accepted is not put in force while the store is reachable. */
static void test_never_accepted(void)
{
    struct published_cluster *test = published_start(BOUND_MS);
    g_autofree char *first = published_publish(test, test->bundle, 1);
    published_start_daemons(test, DAEMONS);
    published_await(test, 1);
    g_autofree char *bundle = published_with_tenant(test, "guide");
    g_autofree char *hash = publisher_hash(bundle);
    hand_over(test, bundle, 2, hash, first, 200);
    AWAIT(was_refused(test, "version=2 from the publisher: the store's head is not this version"));
    hand_over(test, bundle, 1, hash, "", 200);
    hand_over(test, bundle, 2, first, first, 400);
    hand_over(test, bundle, 0, hash, "", 400);
    /* All daemons get the version that is accepted as version 2 instead. */
    g_autofree char *other = published_with_tenant(test, "porter");
    g_autofree char *accepted = published_publish(test, other, 2);
    AWAIT(published_all_serve(test, 2));
    published_check_all_have(test, accepted);
    published_stop(test);
}

/* Without the store, only the direct successor of the version in force is accepted from the
 * publisher. */
static void test_not_the_successor(void)
{
    struct published_cluster *test = start_without_store();
    publish(test, test->bundle, 0, 0);
    published_await(test, 1);
    g_autofree char *first = publisher_hash(test->bundle);
    g_autofree char *bundle = published_with_tenant(test, "guide");
    g_autofree char *hash = publisher_hash(bundle);
    hand_over(test, bundle, 9, hash, first, 200);
    AWAIT(was_refused(test, "version=9 from the publisher: its base is not the version in force"));
    hand_over(test, bundle, 2, hash, hash, 200);
    AWAIT(was_refused(test, "version=2 from the publisher: its base is not the version in force"));
    g_assert_cmpuint(published_status(test, 0).newest, ==, 1);
    published_check_all_have(test, first);
    published_stop(test);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    /* The outages made here cause warnings in the log. */
    g_log_set_always_fatal(G_LOG_FATAL_MASK | G_LOG_LEVEL_CRITICAL);
    g_test_add_func("/daemon/configuration/handover/store_down_at_once", test_store_down_at_once);
    g_test_add_func("/daemon/configuration/handover/versions_in_a_row", test_versions_in_a_row);
    g_test_add_func("/daemon/configuration/handover/lost_race", test_lost_race);
    g_test_add_func("/daemon/configuration/handover/no_daemon", test_no_daemon);
    g_test_add_func("/daemon/configuration/handover/never_accepted", test_never_accepted);
    g_test_add_func("/daemon/configuration/handover/not_the_successor", test_not_the_successor);
    return g_test_run();
}
