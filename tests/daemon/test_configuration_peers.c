/* Configurations from other daemons are checked: content that does not match is rejected, and
 * delayed messages about old versions do not take a daemon back. */
#include "fake_peer.h"
#include "published_fixture.h"

#include <string.h>

#include "daemon/configuration_content.h"

/* So long that no test reaches it. */
#define BOUND_LONG_MS 600000

/* One daemon that serves version 1, a simulated peer that sends wrong data, and version 2, not yet
 * published. */
struct peers_test {
    struct published_cluster *deployment;
    struct fake_peer *peer;
    GBytes *first;  /* canonical content of version 1 */
    GBytes *second; /* canonical content of version 2 */
    char *first_hash;
    char *second_hash;
    char *second_bundle;
    struct configuration_mark second_mark;
};

static struct daemon *daemon_of(const struct peers_test *test)
{
    return test->deployment->cluster->daemons[0];
}

static void set_up(struct peers_test *test, gconstpointer unused)
{
    struct published_cluster *deployment = published_start(BOUND_LONG_MS);
    test->deployment = deployment;
    test->peer = fake_peer_start();
    test->second_bundle = published_with_tenant(deployment, "guide");
    test->first = publisher_canonical(deployment->bundle);
    test->second = publisher_canonical(test->second_bundle);
    test->first_hash = publisher_hash(deployment->bundle);
    test->second_hash = publisher_hash(test->second_bundle);
    test->second_mark = configuration_mark_of(2, test->second_hash);
    g_free(published_publish(deployment, deployment->bundle, 1));
    published_start_daemons(deployment, 1);
    published_await(deployment, 1);
}

static void tear_down(struct peers_test *test, gconstpointer unused)
{
    published_stop(test->deployment);
    fake_peer_stop(test->peer);
    g_bytes_unref(test->first);
    g_bytes_unref(test->second);
    g_free(test->first_hash);
    g_free(test->second_hash);
    g_free(test->second_bundle);
}

static unsigned count_events(const struct peers_test *test, const char *kind, const char *text)
{
    return published_count_events(test->deployment, 0, kind, text);
}

/* The peer claims version 2 and sends `answer`, which must not be used; then the store gets version
 * 2. */
static void check_refused(struct peers_test *test, const struct fake_answer *answer,
                          const char *reason)
{
    fake_peer_set_answers(test->peer, answer, answer);
    fake_peer_gossip(test->peer, daemon_of(test), test->second_mark, test->second_mark);
    AWAIT(published_status(test->deployment, 0).newest == 2);
    AWAIT(fake_peer_request_count(test->peer) > 0);
    if (reason != NULL) {
        AWAIT(count_events(test, "configuration_refused", reason) > 0);
    }
    published_check_all_have(test->deployment, test->first_hash);
    g_free(published_publish(test->deployment, test->second_bundle, 2));
    published_await(test->deployment, 2);
    published_check_all_have(test->deployment, test->second_hash);
    g_assert_cmpuint(count_events(test, "configuration_applied", "from the store"), ==, 2);
}

static void test_wrong_hash(struct peers_test *test, gconstpointer unused)
{
    struct fake_answer answer = {.version = 2, .hash = test->second_hash, .content = test->first};
    check_refused(test, &answer, "does not match its hash");
}

/* Content and hash of the reply match, but gossip announced another hash. */
static void test_other_content(struct peers_test *test, gconstpointer unused)
{
    struct fake_answer answer = {.version = 2, .hash = test->first_hash, .content = test->first};
    check_refused(test, &answer, "does not match its hash");
}

static void test_undecodable_content(struct peers_test *test, gconstpointer unused)
{
    struct fake_answer answer = {
        .version = 2, .hash = test->second_hash, .content = test->second, .undecodable = true};
    check_refused(test, &answer, "can't be decoded");
}

static void test_older_content(struct peers_test *test, gconstpointer unused)
{
    struct fake_answer answer = {.version = 1, .hash = test->first_hash, .content = test->first};
    check_refused(test, &answer, NULL);
}

/* A difference that yields other content, or none, does not prevent the use of the complete
 * content. */
static void check_difference(struct peers_test *test, const struct fake_answer *difference)
{
    struct fake_answer whole = {.version = 2, .hash = test->second_hash, .content = test->second};
    fake_peer_set_answers(test->peer, &whole, difference);
    fake_peer_gossip(test->peer, daemon_of(test), test->second_mark, test->second_mark);
    AWAIT(published_status(test->deployment, 0).version == 2);
    published_check_all_have(test->deployment, test->second_hash);
    g_assert_cmpuint(fake_peer_request_count(test->peer), ==, 2);
    g_assert_cmpuint(count_events(test, "configuration_refused", ""), ==, 0);
}

static void test_wrong_difference(struct peers_test *test, gconstpointer unused)
{
    g_autoptr(GBytes) between = g_bytes_new_static("{", 1);
    struct fake_answer difference = {.version = 2,
                                     .hash = test->second_hash,
                                     .base_version = 1,
                                     .keep_start = 7,
                                     .keep_end = 9,
                                     .content = between};
    check_difference(test, &difference);
}

static void test_difference_too_long(struct peers_test *test, gconstpointer unused)
{
    g_autoptr(GBytes) between = g_bytes_new_static("{", 1);
    struct fake_answer difference = {.version = 2,
                                     .hash = test->second_hash,
                                     .base_version = 1,
                                     .keep_start = UINT32_MAX,
                                     .keep_end = UINT32_MAX,
                                     .content = between};
    check_difference(test, &difference);
}

static void test_difference_of_other_base(struct peers_test *test, gconstpointer unused)
{
    struct fake_answer difference = {
        .version = 2, .hash = test->second_hash, .base_version = 9, .content = test->second};
    check_difference(test, &difference);
}

/* Gossip about version 1 is delayed until version 2 is in force everywhere. */
static void test_delayed_gossip(struct peers_test *test, gconstpointer unused)
{
    struct configuration_mark first_mark = configuration_mark_of(1, test->first_hash);
    struct configuration_mark wrong_mark = {.version = 1, .hash = 17};
    struct fake_answer answer = {.version = 1, .hash = test->first_hash, .content = test->first};
    fake_peer_set_answers(test->peer, &answer, &answer);
    g_free(published_publish(test->deployment, test->second_bundle, 2));
    published_await(test->deployment, 2);
    fake_peer_gossip(test->peer, daemon_of(test), first_mark, first_mark);
    fake_peer_gossip(test->peer, daemon_of(test), wrong_mark, (struct configuration_mark){0});
    fake_peer_gossip(test->peer, daemon_of(test), (struct configuration_mark){0}, first_mark);
    g_assert_cmpuint(published_status(test->deployment, 0).newest, ==, 2);
    g_assert_cmpuint(fake_peer_request_count(test->peer), ==, 0);
    published_check_all_have(test->deployment, test->second_hash);
    /* The delayed gossip does not block the next version either. */
    g_autofree char *third = published_with_tenant(test->deployment, "porter");
    g_autofree char *third_hash = published_publish(test->deployment, third, 3);
    published_await(test->deployment, 3);
    published_check_all_have(test->deployment, third_hash);
}

/* A peer with an older version is listed as a straggler. */
static void test_straggler(struct peers_test *test, gconstpointer unused)
{
    struct configuration_mark first_mark = configuration_mark_of(1, test->first_hash);
    g_free(published_publish(test->deployment, test->second_bundle, 2));
    published_await(test->deployment, 2);
    fake_peer_gossip(test->peer, daemon_of(test), first_mark, first_mark);
    AWAIT(published_status(test->deployment, 0).straggler_count == 1);
    struct configuration_status status = published_status(test->deployment, 0);
    g_assert_cmpuint(status.stragglers[0].version, ==, 1);
    g_assert_cmpuint(status.stragglers[0].member, ==, membership_id_of_name("fake"));
    fake_peer_gossip(test->peer, daemon_of(test), test->second_mark, test->second_mark);
    AWAIT(published_status(test->deployment, 0).straggler_count == 0);
}

#define ADD(name, function)                                                                        \
    g_test_add("/daemon/configuration-peers/" name, struct peers_test, NULL, set_up, function,     \
               tear_down)

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    ADD("wrong_hash", test_wrong_hash);
    ADD("other_content", test_other_content);
    ADD("undecodable_content", test_undecodable_content);
    ADD("older_content", test_older_content);
    ADD("wrong_difference", test_wrong_difference);
    ADD("difference_too_long", test_difference_too_long);
    ADD("difference_of_other_base", test_difference_of_other_base);
    ADD("delayed_gossip", test_delayed_gossip);
    ADD("straggler", test_straggler);
    return g_test_run();
}
