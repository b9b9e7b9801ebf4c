/**
 * @file
 * @brief Which poolers own a group's connections: when, how many, spread over zones, and how little
 * changes when poolers come and go.
 */
#include "pooler/control_internal.h"

#include <string.h>

#define SERVICES 8
#define ZONES    3

typedef struct fixture {
    struct control *control;
    struct pooler_settings settings;
    time_ns now;
} fixture_t;

static void
free_pooler(gpointer data)
{
    struct pooler_peer *pooler = data;
    g_free(pooler->name);
    g_free(pooler->zone);
    g_free(pooler->forward_address);
    g_free(pooler);
}

static struct control *
control_new(const struct pooler_settings *settings)
{
    struct control *control = g_new0(struct control, 1);
    control->settings = settings;
    control->poolers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pooler);
    control->lease.token = 3;
    control_owners_init(control);
    return control;
}

static void
control_free(struct control *control)
{
    g_clear_pointer(&control->configuration, configuration_unref);
    g_hash_table_unref(control->poolers);
    g_hash_table_unref(control->ownerships);
    g_free(control);
}

static void
configure(const fixture_t *fixture, uint32_t connections)
{
    struct configuration *configuration = configuration_new();
    for (unsigned i = 0; i < SERVICES; i++) {
        g_autofree char *name = g_strdup_printf("ledger-%u", i);
        configuration_add_service(configuration, name, connections, 1);
    }
    g_clear_pointer(&fixture->control->configuration, configuration_unref);
    fixture->control->configuration = configuration;
}

static void
add_pooler(const fixture_t *fixture, unsigned index)
{
    struct pooler_peer *pooler = g_new0(struct pooler_peer, 1);
    pooler->name = g_strdup_printf("front-%u", index);
    pooler->zone = g_strdup_printf("zone-%u", index % ZONES);
    pooler->forward_address = g_strdup_printf("10.0.%u.%u:7440", index / 200, index % 200 + 1);
    pooler->peer = (struct peer *)fixture; /* compared with NULL only */
    pooler->heard_at = fixture->now;
    pooler->workers = 1;
    g_hash_table_replace(fixture->control->poolers, pooler->name, pooler);
}

static void
set_up(fixture_t *fixture, gconstpointer unused)
{
    fixture->now = 100 * NANOSECONDS_PER_SECOND;
    fixture->control = control_new(&fixture->settings);
}

static void
tear_down(fixture_t *fixture, gconstpointer unused)
{
    control_free(fixture->control);
}

static void
decide(fixture_t *fixture)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    fixture->now += 2 * NANOSECONDS_PER_SECOND;
    g_hash_table_iter_init(&iterator, fixture->control->poolers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ((struct pooler_peer *)value)->heard_at = fixture->now;
    }
    control_owners_decide(fixture->control, fixture->now);
}

static const struct pooler_ownership *
ownership(const fixture_t *fixture, unsigned service)
{
    g_autofree char *name = g_strdup_printf("ledger-%u", service);
    return control_owners_of(fixture->control, name);
}

static uint64_t
fill(const fixture_t *fixture, uint64_t told, struct pooler_grant *grant)
{
    return control_owners_fill(fixture->control, told, &grant->ownerships,
                               &grant->ownerships_count);
}

static unsigned
count_in_zone(const struct pooler_ownership *ownership, const char *zone)
{
    unsigned count = 0;
    for (size_t i = 0; i < ownership->owners_count; i++) {
        count += g_str_equal(ownership->owners[i].zone, zone);
    }
    return count;
}

/* Where connections are enough, nobody owns. */
static void
test_direct(fixture_t *fixture, gconstpointer unused)
{
    configure(fixture, 34);
    for (unsigned i = 0; i < 6; i++) {
        add_pooler(fixture, i);
    }
    decide(fixture);
    g_assert_null(ownership(fixture, 0));
}

/* The owners' connections, and one more owner's, stay within the database's. */
static void
test_budget(fixture_t *fixture, gconstpointer unused)
{
    for (unsigned i = 0; i < 67; i++) {
        add_pooler(fixture, i);
    }
    for (uint32_t limit = 6; limit < 250; limit += 7) {
        configure(fixture, limit);
        decide(fixture);
        const struct pooler_ownership *owned = ownership(fixture, 0);
        g_assert_nonnull(owned);
        g_assert_cmpuint(owned->owners_count, >=, 2);
        g_assert_cmpuint((owned->owners_count + 1) * owned->connections, <=, MAX(limit - 3, 3));
    }
}

static void
test_spread(fixture_t *fixture, gconstpointer unused)
{
    g_autoptr(GHashTable) used = g_hash_table_new(g_str_hash, g_str_equal);
    configure(fixture, 39);
    for (unsigned i = 0; i < 67; i++) {
        add_pooler(fixture, i);
    }
    decide(fixture);
    for (unsigned service = 0; service < SERVICES; service++) {
        const struct pooler_ownership *owned = ownership(fixture, service);
        unsigned each = (unsigned)owned->owners_count / ZONES;
        g_assert_cmpuint(count_in_zone(owned, "zone-0"), ==, each);
        g_assert_cmpuint(count_in_zone(owned, "zone-1"), ==, each);
        g_assert_cmpuint(count_in_zone(owned, "zone-2"), ==, each);
        for (size_t i = 0; i < owned->owners_count; i++) {
            g_hash_table_add(used, owned->owners[i].address);
        }
    }
    /* Groups do not all choose the same poolers. */
    g_assert_cmpuint(g_hash_table_size(used), >, 24);
}

static unsigned
count_kept(const struct pooler_ownership *before, const struct pooler_ownership *after)
{
    unsigned kept = 0;
    for (size_t i = 0; i < before->owners_count; i++) {
        for (size_t k = 0; k < after->owners_count; k++) {
            kept += g_str_equal(before->owners[i].address, after->owners[k].address);
        }
    }
    return kept;
}

/* A pooler that leaves is replaced, and the others stay; without a change nothing is told anew. */
static void
test_leaving_owner(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_grant before;
    struct pooler_grant after;
    configure(fixture, 39);
    for (unsigned i = 0; i < 67; i++) {
        add_pooler(fixture, i);
    }
    decide(fixture);
    pooler_grant_init(&before);
    uint64_t told = fill(fixture, 0, &before);
    g_assert_cmpuint(before.ownerships_count, ==, SERVICES);
    decide(fixture);
    pooler_grant_init(&after);
    g_assert_cmpuint(fill(fixture, told, &after), ==, told);
    g_assert_cmpuint(after.ownerships_count, ==, 0);
    pooler_grant_clear(&after);
    g_hash_table_remove(fixture->control->poolers, "front-11");
    decide(fixture);
    for (size_t i = 0; i < before.ownerships_count; i++) {
        const struct pooler_ownership *old = &before.ownerships[i];
        const struct pooler_ownership *now = control_owners_of(fixture->control, old->service);
        g_assert_cmpuint(now->owners_count, ==, old->owners_count);
        g_assert_cmpuint(count_kept(old, now), >=, old->owners_count - 1);
    }
    pooler_grant_clear(&before);
}

/* Another pooler takes over what is newer, and keeps what it has. */
static void
test_told(fixture_t *fixture, gconstpointer unused)
{
    struct control *other = control_new(&fixture->settings);
    struct pooler_grant grant;
    configure(fixture, 39);
    for (unsigned i = 0; i < 30; i++) {
        add_pooler(fixture, i);
    }
    decide(fixture);
    pooler_grant_init(&grant);
    fill(fixture, 0, &grant);
    control_owners_take(other, grant.ownerships, grant.ownerships_count);
    const struct pooler_ownership *taken = control_owners_of(other, "ledger-3");
    uint64_t version = taken->version;
    g_assert_cmpuint(version, ==, ownership(fixture, 3)->version);
    grant.ownerships[0].version = 1;
    grant.ownerships[0].connections = 77;
    control_owners_take(other, grant.ownerships, grant.ownerships_count);
    g_assert_cmpuint(control_owners_of(other, grant.ownerships[0].service)->connections, !=, 77);
    pooler_grant_clear(&grant);
    control_free(other);
}

/* A pooler that starts after the loss of all knows from the lease's row how many share the
 * connections, until a coordinator tells. */
static void
test_share_by_the_row(fixture_t *fixture, gconstpointer unused)
{
    struct control *control = fixture->control;
    control->workers_count = 1;
    configure(fixture, 16);
    const struct service *service = g_ptr_array_index(control->configuration->services, 0);
    g_assert_cmpuint(control_direct_share(control, service), ==, 0);
    control->lease.record.poolers = 6;
    g_assert_cmpuint(control_direct_share(control, service), ==, 2);
    control->lease.record.poolers = 90;
    g_assert_cmpuint(control_direct_share(control, service), ==, 0);
    control->members_told = 3;
    g_assert_cmpuint(control_direct_share(control, service), ==, 4);
}

/* A new coordinator names owners once it hears as many poolers as there were; it waits longer for
 * the rest where all can serve meanwhile. */
static void
test_gathers(fixture_t *fixture, gconstpointer unused)
{
    struct control *control = fixture->control;
    control->workers_count = 1;
    control->coordinator_since = fixture->now;
    control->members_before = 6;
    control->members_told = 6;
    configure(fixture, 16);
    for (unsigned i = 0; i < 5; i++) {
        add_pooler(fixture, i);
    }
    g_assert_true(control_owners_early(control, fixture->now + 500 * MS));
    g_assert_false(control_owners_early(control, fixture->now + 2000 * MS));
    configure(fixture, 6); /* too few for each */
    g_assert_true(control_owners_early(control, fixture->now + 300 * MS));
    g_assert_false(control_owners_early(control, fixture->now + 500 * MS));
    add_pooler(fixture, 5);
    g_assert_false(control_owners_early(control, fixture->now));
}

#define ADD(name, test) g_test_add("/pooler/owners/" name, fixture_t, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("direct", test_direct);
    ADD("budget", test_budget);
    ADD("spread", test_spread);
    ADD("leaving-owner", test_leaving_owner);
    ADD("told", test_told);
    ADD("share-by-the-row", test_share_by_the_row);
    ADD("gathers", test_gathers);
    return g_test_run();
}
