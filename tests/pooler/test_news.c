/**
 * @file
 * @brief Orders and members as a coordinator sends them to hundreds of poolers: compressed once for
 * all receivers that have the same versions, with the same content as uncompressed.
 */
#include "pooler/control/control_internal.h"

#include <string.h>

#define GROUPS  1000
#define POOLERS 300
#define TOKEN   UINT64_C(3)

typedef struct fixture {
    struct control *control;
    struct controlled_group groups[GROUPS];
    struct failover failovers[GROUPS];
} fixture_t;

static void
set_up(fixture_t *fixture, gconstpointer unused)
{
    struct control *control = g_new0(struct control, 1);
    GRand *random = g_rand_new_with_seed(7);
    fixture->control = control;
    control->fleet = fleet_new();
    control->lease.held = true;
    control->lease.token = TOKEN;
    control->controlled = g_hash_table_new(g_str_hash, g_str_equal);
    control->orders_version = TOKEN << EPOCH_SHIFT;
    for (unsigned i = 0; i < GROUPS; i++) {
        struct failover *failover = &fixture->failovers[i];
        failover->service = g_strdup_printf("s%08x", g_rand_int(random));
        failover->primary = g_strdup_printf("i-%08x%02x", g_rand_int(random), i % 256);
        failover->epoch = (TOKEN << EPOCH_SHIFT) + 1;
        failover->phase = GROUP_PHASE_OPEN;
        failover->term = 1;
        fixture->groups[i].failover = failover;
        fixture->groups[i].orders_version = ++control->orders_version;
        g_hash_table_insert(control->controlled, failover->service, &fixture->groups[i]);
    }
    for (unsigned i = 0; i < POOLERS; i++) {
        g_autofree char *address = g_strdup_printf("10.0.%u.%u:7440", i / 200, i % 200 + 1);
        fleet_join(control->fleet, address, i % 2 == 0 ? "north-a" : "north-b", 1, 120,
                   (TOKEN << EPOCH_SHIFT) + 1);
    }
    g_rand_free(random);
}

static void
tear_down(fixture_t *fixture, gconstpointer unused)
{
    for (unsigned i = 0; i < GROUPS; i++) {
        g_free(fixture->failovers[i].service);
        g_free(fixture->failovers[i].primary);
    }
    control_news_clear(&fixture->control->news);
    g_hash_table_unref(fixture->control->controlled);
    fleet_free(fixture->control->fleet);
    g_free(fixture->control);
}

/* Encodes, decodes and decompresses the grant for a pooler. `bytes` is the length of the message.
 */
static struct pooler_grant
send_grant(const fixture_t *fixture, struct pooler_peer *pooler, size_t *bytes)
{
    struct pooler_grant sent;
    struct pooler_grant received;
    g_autoptr(GError) error = NULL;
    pooler_grant_init(&sent);
    control_news_fill(fixture->control, pooler, &sent);
    GByteArray *message = pooler_grant_encode(&sent);
    *bytes = message->len;
    g_assert_true(pooler_grant_decode(message->data, message->len, &received, &error));
    g_assert_true(control_news_decompress(&received, &error));
    g_assert_no_error(error);
    g_byte_array_unref(message);
    pooler_grant_clear(&sent);
    return received;
}

static int
compare_orders(const void *a, const void *b)
{
    return strcmp(((const struct pooler_group_order *)a)->service,
                  ((const struct pooler_group_order *)b)->service);
}

static void
assert_same(struct pooler_grant *a, struct pooler_grant *b)
{
    g_assert_cmpuint(a->orders_version, ==, b->orders_version);
    g_assert_cmpuint(a->groups_count, ==, b->groups_count);
    qsort(a->groups, a->groups_count, sizeof *a->groups, compare_orders);
    qsort(b->groups, b->groups_count, sizeof *b->groups, compare_orders);
    for (size_t i = 0; i < a->groups_count; i++) {
        g_assert_cmpstr(a->groups[i].service, ==, b->groups[i].service);
        g_assert_cmpstr(a->groups[i].primary, ==, b->groups[i].primary);
        g_assert_cmpuint(a->groups[i].epoch, ==, b->groups[i].epoch);
        g_assert_cmpuint(a->groups[i].term, ==, b->groups[i].term);
        g_assert_cmpint(a->groups[i].phase, ==, b->groups[i].phase);
    }
    g_assert_cmpuint(a->fleet.version, ==, b->fleet.version);
    g_assert_cmpuint(a->fleet.base, ==, b->fleet.base);
    g_assert_cmpuint(a->fleet.members_count, ==, b->fleet.members_count);
}

/* A new coordinator of 300 poolers and 1,000 groups sends every pooler everything, in less than
 * half the bytes and with the same content as to an older pooler, which does not support compressed
 * updates. */
static void
test_new_coordinator_of_300(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_peer newer = {.takes_news = true};
    struct pooler_peer older = {0};
    size_t compressed_bytes = 0;
    size_t plain_bytes = 0;
    struct pooler_grant compressed = send_grant(fixture, &newer, &compressed_bytes);
    struct pooler_grant plain = send_grant(fixture, &older, &plain_bytes);
    g_assert_cmpuint(plain.groups_count, ==, GROUPS);
    g_assert_cmpuint(plain.fleet.members_count, ==, POOLERS);
    assert_same(&compressed, &plain);
    g_assert_cmpuint(compressed_bytes, <, plain_bytes / 2);
    g_assert_cmpuint(newer.orders_sent, ==, older.orders_sent);
    g_assert_cmpuint(newer.fleet_sent, ==, older.fleet_sent);
    pooler_grant_clear(&compressed);
    pooler_grant_clear(&plain);
    for (unsigned i = 1; i < POOLERS; i++) { /* compressed once for all of them */
        struct pooler_peer pooler = {.takes_news = true};
        struct pooler_grant more = send_grant(fixture, &pooler, &compressed_bytes);
        pooler_grant_clear(&more);
    }
    g_assert_cmpuint(fixture->control->news.entries->len, ==, 1);
}

/* A group changes its primary. A pooler that has everything else gets just that order,
 * uncompressed. A pooler that connects afterwards gets all orders with the new one, not the cached
 * message. */
static void
test_change_of_primary(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_peer pooler = {.takes_news = true};
    size_t bytes = 0;
    struct pooler_grant first = send_grant(fixture, &pooler, &bytes);
    pooler_grant_clear(&first);
    first = send_grant(fixture, &pooler, &bytes);
    g_assert_cmpuint(first.groups_count, ==, 0);
    g_assert_cmpuint(first.orders_version, ==, fixture->control->orders_version);
    pooler_grant_clear(&first);
    fixture->failovers[5].epoch++;
    fixture->failovers[5].phase = GROUP_PHASE_CLOSED;
    fixture->groups[5].orders_version = ++fixture->control->orders_version;
    first = send_grant(fixture, &pooler, &bytes);
    g_assert_cmpuint(first.groups_count, ==, 1);
    g_assert_cmpint(first.groups[0].phase, ==, GROUP_PHASE_CLOSED);
    g_assert_cmpuint(bytes, <, 200);
    pooler_grant_clear(&first);
    struct pooler_peer late = {.takes_news = true};
    struct pooler_peer older = {0};
    struct pooler_grant compressed = send_grant(fixture, &late, &bytes);
    struct pooler_grant plain = send_grant(fixture, &older, &bytes);
    assert_same(&compressed, &plain);
    pooler_grant_clear(&compressed);
    pooler_grant_clear(&plain);
}

/* With a different version at each pooler, the cache stays bounded and nothing is lost. */
static void
test_different_versions(fixture_t *fixture, gconstpointer unused)
{
    uint64_t first = (TOKEN << EPOCH_SHIFT) + 1;
    for (unsigned i = 0; i < POOLERS; i++) {
        struct pooler_peer newer = {.takes_news = true, .orders_sent = first + i};
        struct pooler_peer older = {.orders_sent = first + i};
        size_t bytes = 0;
        struct pooler_grant compressed = send_grant(fixture, &newer, &bytes);
        struct pooler_grant plain = send_grant(fixture, &older, &bytes);
        assert_same(&compressed, &plain);
        pooler_grant_clear(&compressed);
        pooler_grant_clear(&plain);
    }
    g_assert_cmpuint(fixture->control->news.entries->len, <=, 32);
}

/* 140 poolers connect to a follower while there is no coordinator. Each gets everything that the
 * follower knows, compressed once, and nothing twice. */
static void
test_nonauthoritative_reply(fixture_t *fixture, gconstpointer unused)
{
    struct control *control = fixture->control;
    control->groups = g_hash_table_new(g_str_hash, g_str_equal);
    control->orders_known = control->orders_version;
    for (unsigned i = 0; i < GROUPS; i++) {
        struct group_state *group = control_group(control, fixture->failovers[i].service);
        group->epoch = fixture->failovers[i].epoch;
        group->phase = GROUP_PHASE_OPEN;
        group->primary = fixture->failovers[i].primary;
    }
    struct pooler_heartbeat newer = {.takes_news = true};
    struct pooler_heartbeat older = {0};
    struct pooler_grant compressed;
    struct pooler_grant plain;
    pooler_grant_init(&compressed);
    pooler_grant_init(&plain);
    for (unsigned i = 0; i < 140; i++) {
        pooler_grant_clear(&compressed);
        control_news_fill_nonauthoritative(control, &newer, &compressed);
        g_assert_cmpuint(compressed.news_unpacked, >, 0);
    }
    g_assert_cmpuint(control->nonauthoritative_news.entries->len, ==, 1);
    g_assert_true(control_news_decompress(&compressed, NULL));
    control_news_fill_nonauthoritative(control, &older, &plain);
    g_assert_cmpuint(plain.groups_count, ==, GROUPS);
    assert_same(&compressed, &plain);
    pooler_grant_clear(&compressed);
    newer.orders_known = control->orders_known;
    newer.fleet_version = control_fleet_version(control);
    control_news_fill_nonauthoritative(control, &newer, &compressed);
    g_assert_cmpuint(compressed.news_unpacked + compressed.groups_count + compressed.fleet.version,
                     ==, 0);
    pooler_grant_clear(&compressed);
    pooler_grant_clear(&plain);
    control_news_clear(&control->nonauthoritative_news);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct group_state *group = value;
        g_free((char *)group->shared->service);
        g_free(group->shared);
        g_free(group);
    }
    g_hash_table_unref(control->groups);
}

/* A corrupt message is reported as an error, and its content is not taken over. */
static void
test_corrupt_message(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_peer pooler = {.takes_news = true};
    struct pooler_grant grant;
    g_autoptr(GError) error = NULL;
    pooler_grant_init(&grant);
    control_news_fill(fixture->control, &pooler, &grant);
    g_assert_cmpuint(grant.news_unpacked, >, 0);
    grant.news_unpacked--;
    g_assert_false(control_news_decompress(&grant, &error));
    g_assert_nonnull(error);
    g_assert_cmpuint(grant.groups_count, ==, 0);
    pooler_grant_clear(&grant);
}

/* A coordinator starts with an unchanged fleet, announces it, and later lets a member start
 * counting operations. A pooler for which the first announcement contained no change must receive
 * the later one. Otherwise it finds no home of any tenant's limit and refuses the tenants for as
 * long as this coordinator holds the lease. */
static void
test_change_after_an_unchanged_fleet(fixture_t *fixture, gconstpointer unused)
{
    const char *address = "10.0.0.1:7440";
    const uint64_t before = ((TOKEN - 1) << EPOCH_SHIFT) + 1;
    struct control follower = {.fleet = fleet_new()};
    size_t bytes = 0;
    fleet_free(fixture->control->fleet);
    fixture->control->fleet = fleet_new();
    fleet_join(fixture->control->fleet, address, "north-a", 1, 120, before);
    fleet_join(follower.fleet, address, "north-a", 1, 120, before);
    struct pooler_peer pooler = {.takes_news = true, .fleet_sent = before};
    for (unsigned round = 0; round < 2; round++) {
        struct pooler_grant grant = send_grant(fixture, &pooler, &bytes);
        control_fleet_take(&follower, &grant.fleet);
        pooler_grant_clear(&grant);
        fleet_set_counting(fixture->control->fleet, address, false, false,
                           control_fleet_version(fixture->control) + 1);
    }
    const fleet_member_t *member = g_hash_table_lookup(fleet_members(follower.fleet), address);
    g_assert_nonnull(member);
    if (member->entering) {
        g_test_message("the follower has not learned that the member counts");
        g_test_fail();
    }
    fleet_free(follower.fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, test) g_test_add("/pooler/news/" name, fixture_t, NULL, set_up, test, tear_down)
    ADD("new-coordinator-of-300", test_new_coordinator_of_300);
    ADD("change-of-primary", test_change_of_primary);
    ADD("different-versions", test_different_versions);
    ADD("nonauthoritative-reply", test_nonauthoritative_reply);
    ADD("corrupt-message", test_corrupt_message);
    ADD("change-after-an-unchanged-fleet", test_change_after_an_unchanged_fleet);
    return g_test_run();
}
