/**
 * @file
 * @brief Tests of the choice of a group's owners, the poolers that open connections to its
 * databases: when there are owners, how many, their distribution over zones, and how few change
 * when poolers join or leave. Tests of the fleet's member list that the coordinator sends.
 */
#include "pooler/control/control_internal.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

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
    control->fleet = fleet_new();
    control->followers = g_ptr_array_new_with_free_func(g_free);
    return control;
}

static void
control_free(struct control *control)
{
    g_clear_pointer(&control->configuration, configuration_unref);
    g_hash_table_unref(control->poolers);
    g_ptr_array_unref(control->followers);
    g_free(control->coordinator_address);
    g_free(control->connected_address);
    fleet_free(control->fleet);
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
    pooler->peer = (struct peer *)fixture; /* only compared with NULL */
    pooler->contact.last_heartbeat_at = fixture->now;
    pooler->workers = 1;
    pooler->millicores = 120;
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
        ((struct pooler_peer *)value)->contact.last_heartbeat_at = fixture->now;
    }
    control_fleet_decide(fixture->control, fixture->now);
}

static const fleet_owners_t *
owners_at(struct control *control, const fixture_t *fixture, unsigned service)
{
    GPtrArray *services = fixture->control->configuration->services;
    return control_fleet_owners(control, g_ptr_array_index(services, service));
}

static const fleet_owners_t *
owners(const fixture_t *fixture, unsigned service)
{
    return owners_at(fixture->control, fixture, service);
}

static const fleet_member_t *
owner_at(const fleet_owners_t *owners, guint index)
{
    return g_ptr_array_index(owners->members, index);
}

static unsigned
count_in_zone(const fleet_owners_t *owners, const char *zone)
{
    unsigned count = 0;
    for (guint i = 0; i < owners->members->len; i++) {
        count += g_str_equal(owner_at(owners, i)->zone, zone);
    }
    return count;
}

/* The owners' addresses, in order. */
static char *
print_owners(const fleet_owners_t *owners)
{
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < owners->members->len; i++) {
        g_string_append_printf(text, "%s ", owner_at(owners, i)->address);
    }
    return g_string_free(text, FALSE);
}

/* If there are enough connections for all poolers, a group has no owners. */
static void
test_direct(fixture_t *fixture, gconstpointer unused)
{
    configure(fixture, 34);
    g_assert_null(owners(fixture, 0));
    for (unsigned i = 0; i < 6; i++) {
        add_pooler(fixture, i);
    }
    decide(fixture);
    g_assert_true(owners(fixture, 0)->direct);
    g_assert_cmpuint(owners(fixture, 0)->members->len, ==, 0);
}

/* A fleet that loses a pooler and gets it back does not switch between direct connections and
 * owners: seven poolers can't have four of 27 connections each, six can. */
static void
test_hysteresis(fixture_t *fixture, gconstpointer unused)
{
    configure(fixture, 30);
    for (unsigned i = 0; i < 7; i++) {
        add_pooler(fixture, i);
    }
    decide(fixture);
    g_assert_false(owners(fixture, 0)->direct);
    for (unsigned i = 7; i < 27; i++) {
        add_pooler(fixture, i);
    }
    decide(fixture);
    configure(fixture, 3 + 4 * 26);
    g_assert_false(owners(fixture, 0)->direct);
    g_hash_table_remove(fixture->control->poolers, "front-3");
    decide(fixture);
    g_assert_false(owners(fixture, 0)->direct);
    for (unsigned i = 4; i < 8; i++) {
        g_autofree char *name = g_strdup_printf("front-%u", i);
        g_hash_table_remove(fixture->control->poolers, name);
    }
    decide(fixture);
    g_assert_true(owners(fixture, 0)->direct);
    add_pooler(fixture, 4);
    add_pooler(fixture, 5);
    add_pooler(fixture, 6);
    decide(fixture);
    g_assert_true(owners(fixture, 0)->direct);
}

/* The connections of all owners and of one more stay within the database's limit. */
static void
test_budget(fixture_t *fixture, gconstpointer unused)
{
    for (unsigned i = 0; i < 67; i++) {
        add_pooler(fixture, i);
    }
    for (uint32_t limit = 6; limit < 250; limit += 7) {
        configure(fixture, limit);
        decide(fixture);
        const fleet_owners_t *owned = owners(fixture, 0);
        g_assert_cmpuint(owned->members->len, >=, 2);
        g_assert_cmpuint((owned->members->len + 1) * owned->connections, <=, MAX(limit - 3, 3));
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
        const fleet_owners_t *owned = owners(fixture, service);
        unsigned each = owned->members->len / ZONES;
        g_assert_cmpuint(count_in_zone(owned, "zone-0"), ==, each);
        g_assert_cmpuint(count_in_zone(owned, "zone-1"), ==, each);
        g_assert_cmpuint(count_in_zone(owned, "zone-2"), ==, each);
        for (guint i = 0; i < owned->members->len; i++) {
            g_hash_table_add(used, owner_at(owned, i)->address);
        }
    }
    /* Different groups have different owners. */
    g_assert_cmpuint(g_hash_table_size(used), >, 24);
}

static unsigned
count_kept(char *const *before, const fleet_owners_t *after)
{
    unsigned kept = 0;
    for (size_t i = 0; before[i] != NULL; i++) {
        kept += before[i][0] != '\0' && fleet_owners_include(after, before[i]);
    }
    return kept;
}

/* An owner that leaves is replaced and the others stay. Without a change nothing is sent again. */
static void
test_leaving_owner(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_fleet message;
    char *before[SERVICES];
    configure(fixture, 39);
    for (unsigned i = 0; i < 67; i++) {
        add_pooler(fixture, i);
    }
    decide(fixture);
    for (unsigned i = 0; i < SERVICES; i++) {
        before[i] = print_owners(owners(fixture, i));
    }
    pooler_fleet_init(&message);
    uint64_t sent = control_fleet_fill(fixture->control, 0, &message);
    g_assert_cmpuint(message.members_count, ==, 67);
    pooler_fleet_clear(&message);
    decide(fixture);
    pooler_fleet_init(&message);
    g_assert_cmpuint(control_fleet_fill(fixture->control, sent, &message), ==, sent);
    g_assert_cmpuint(message.version, ==, 0);
    pooler_fleet_clear(&message);
    g_hash_table_remove(fixture->control->poolers, "front-11");
    decide(fixture);
    pooler_fleet_init(&message);
    control_fleet_fill(fixture->control, sent, &message);
    g_assert_cmpuint(message.members_count, ==, 1);
    g_assert_true(message.members[0].gone);
    pooler_fleet_clear(&message);
    for (unsigned i = 0; i < SERVICES; i++) {
        const fleet_owners_t *now = owners(fixture, i);
        g_auto(GStrv) old = g_strsplit(before[i], " ", -1);
        guint count = g_strv_length(old) - 1;
        g_assert_cmpuint(now->members->len, ==, count);
        g_assert_cmpuint(count_kept(old, now), >=, count - 1);
        g_free(before[i]);
    }
}

static void
send_fleet(const fixture_t *fixture, struct control *other)
{
    struct pooler_fleet message;
    pooler_fleet_init(&message);
    control_fleet_fill(fixture->control, control_fleet_version(other), &message);
    control_fleet_take(other, &message);
    pooler_fleet_clear(&message);
}

static void
assert_same_owners(const fixture_t *fixture, struct control *other)
{
    for (unsigned i = 0; i < SERVICES; i++) {
        g_autofree char *here = print_owners(owners(fixture, i));
        g_autofree char *there = print_owners(owners_at(other, fixture, i));
        g_assert_cmpstr(here, ==, there);
    }
}

/* A pooler that receives each change computes the same owners as one that receives the complete
 * list. */
static void
test_incremental_updates(fixture_t *fixture, gconstpointer unused)
{
    struct control *other = control_new(&fixture->settings);
    struct control *late = control_new(&fixture->settings);
    GRand *random = g_rand_new_with_seed(7);
    configure(fixture, 39);
    for (unsigned round = 0; round < 60; round++) {
        unsigned index = (unsigned)g_rand_int_range(random, 0, 40);
        g_autofree char *name = g_strdup_printf("front-%u", index);
        if (!g_hash_table_remove(fixture->control->poolers, name)) {
            add_pooler(fixture, index);
        }
        decide(fixture);
        send_fleet(fixture, other);
        if (fleet_size(fixture->control->fleet) > 0) {
            assert_same_owners(fixture, other);
        }
    }
    send_fleet(fixture, late);
    assert_same_owners(fixture, late);
    g_rand_free(random);
    control_free(other);
    control_free(late);
}

/* A list that is older than the known one is ignored, and so is a change relative to an unknown
 * list. */
static void
test_outdated_updates(fixture_t *fixture, gconstpointer unused)
{
    struct control *other = control_new(&fixture->settings);
    struct pooler_fleet old;
    struct pooler_fleet change;
    configure(fixture, 39);
    add_pooler(fixture, 0);
    decide(fixture);
    pooler_fleet_init(&old);
    uint64_t sent = control_fleet_fill(fixture->control, 0, &old);
    add_pooler(fixture, 1);
    decide(fixture);
    pooler_fleet_init(&change);
    control_fleet_fill(fixture->control, sent, &change);
    control_fleet_take(other, &change);
    g_assert_cmpuint(fleet_size(other->fleet), ==, 0);
    send_fleet(fixture, other);
    control_fleet_take(other, &old);
    g_assert_cmpuint(fleet_size(other->fleet), ==, 2);
    pooler_fleet_clear(&old);
    pooler_fleet_clear(&change);
    control_free(other);
}

/* A new coordinator sends the complete list, as it may not know what the previous one sent. */
static void
test_new_coordinator(fixture_t *fixture, gconstpointer unused)
{
    struct control *other = control_new(&fixture->settings);
    configure(fixture, 39);
    for (unsigned i = 0; i < 12; i++) {
        add_pooler(fixture, i);
    }
    decide(fixture);
    send_fleet(fixture, other);
    fleet_leave(fixture->control->fleet, "10.0.0.5:7440",
                1); /* the new coordinator does not know this member */
    fixture->control->lease.held = true;
    fixture->control->lease.token++;
    send_fleet(fixture, other);
    g_assert_cmpuint(fleet_size(other->fleet), ==, 11);
    assert_same_owners(fixture, other);
    control_free(other);
}

static void
make_unresponsive(const fixture_t *fixture, unsigned from, unsigned to)
{
    for (unsigned i = from; i < to; i++) {
        g_autofree char *name = g_strdup_printf("front-%u", i);
        struct pooler_peer *pooler = g_hash_table_lookup(fixture->control->poolers, name);
        pooler->contact.last_heartbeat_at = fixture->now - 2000 * MS;
    }
}

/* If many poolers are unresponsive at once, the cause is a slow coordinator, and the fleet is kept.
 * A few unresponsive poolers, and poolers whose process has ended, are removed. */
static void
test_slow_coordinator(fixture_t *fixture, gconstpointer unused)
{
    struct control *control = fixture->control;
    configure(fixture, 39);
    for (unsigned i = 0; i < 40; i++) {
        add_pooler(fixture, i);
    }
    decide(fixture);
    make_unresponsive(fixture, 0, 30);
    control_fleet_decide(control, fixture->now);
    g_assert_cmpuint(fleet_size(control->fleet), ==, 40);
    for (unsigned i = 10; i < 30; i++) { /* partitioned: removed, or the connection timed out */
        g_autofree char *name = g_strdup_printf("front-%u", i);
        if (i < 20) {
            g_hash_table_remove(control->poolers, name);
        } else {
            ((struct pooler_peer *)g_hash_table_lookup(control->poolers, name))->peer = NULL;
        }
    }
    control_fleet_decide(control, fixture->now + 500 * MS);
    g_assert_cmpuint(fleet_size(control->fleet), ==, 40);
    control_fleet_decide(control, fixture->now + 16000 * MS);
    g_assert_cmpuint(fleet_size(control->fleet), ==, 0);
    for (unsigned i = 0; i < 40; i++) {
        add_pooler(fixture, i);
    }
    decide(fixture);
    g_assert_cmpuint(fleet_size(control->fleet), ==, 40);
    make_unresponsive(fixture, 0, 5);
    control_fleet_decide(control, fixture->now);
    g_assert_cmpuint(fleet_size(control->fleet), ==, 35);
    decide(fixture);
    for (unsigned i = 7; i < 37; i++) { /* ended processes, any number */
        g_autofree char *name = g_strdup_printf("front-%u", i);
        struct pooler_peer *pooler = g_hash_table_lookup(control->poolers, name);
        pooler->peer = NULL;
        pooler->process_ended = true;
    }
    control_fleet_decide(control, fixture->now);
    g_assert_cmpuint(fleet_size(control->fleet), ==, 10);
}

/* A new coordinator keeps members that have not contacted it yet for some seconds. */
static void
test_inherited_fleet(fixture_t *fixture, gconstpointer unused)
{
    struct control *control = fixture->control;
    configure(fixture, 39);
    for (unsigned i = 0; i < 40; i++) {
        add_pooler(fixture, i);
    }
    decide(fixture);
    g_hash_table_remove_all(control->poolers);
    control->coordinator_since = fixture->now;
    add_pooler(fixture, 3);
    control_fleet_decide(control, fixture->now + 1000 * MS);
    g_assert_cmpuint(fleet_size(control->fleet), ==, 40);
    for (unsigned i = 0; i < 35; i++) {
        add_pooler(fixture, i);
    }
    control_fleet_decide(control, fixture->now + 1000 * MS);
    g_assert_cmpuint(fleet_size(control->fleet), ==, 40);
    fixture->now += 2500 * MS;
    decide(fixture);
    g_assert_cmpuint(fleet_size(control->fleet), ==, 35);
}

/* A pooler with four times the processor capacity owns about four times as many groups. */
static void
test_weights(fixture_t *fixture, gconstpointer unused)
{
    fleet_t *fleet = fleet_new();
    unsigned strong = 0;
    unsigned all = 0;
    for (unsigned i = 0; i < 60; i++) {
        g_autofree char *address = g_strdup_printf("10.0.0.%u:7440", i + 1);
        fleet_join(fleet, address, "zone", 1, i < 12 ? 480 : 120, i + 1);
    }
    fleet_set_counted(fleet, 60, 61);
    for (unsigned i = 0; i < 300; i++) {
        g_autofree char *service = g_strdup_printf("ledger-%u", i);
        const fleet_owners_t *owners = fleet_owners(fleet, service, 60);
        for (guint k = 0; k < owners->members->len; k++) {
            strong += owner_at(owners, k)->weight == 480;
            all++;
        }
    }
    g_assert_cmpuint(strong * 100, >, all * 40);
    g_assert_cmpuint(strong * 100, <, all * 60);
    fleet_free(fleet);
}

/* The member of a zone with the highest score by the full formula, which is the zone's first owner.
 */
static const char *
best_of_zone(const GPtrArray *addresses, const char *service, unsigned zone)
{
    uint64_t seed = XXH3_64bits(service, strlen(service));
    const char *best = NULL;
    double best_score = 0;
    for (guint i = zone; i < addresses->len; i += ZONES) {
        const char *address = addresses->pdata[i];
        uint64_t hash = XXH3_64bits_withSeed(address, strlen(address), seed);
        double draw = ((double)(hash >> 11) + 0.5) / (double)(UINT64_C(1) << 53);
        double score = -(i % 20 == 0 ? 1000.0 : 120.0) / log(draw);
        if (score > best_score) {
            best = address;
            best_score = score;
        }
    }
    return best;
}

/* A starting pooler computes the owners of all groups, and skips most members by a bound on their
 * scores. The result must be that of the full scores, as poolers of all versions have to compute
 * the same owners. */
static void
test_bounded_scores(fixture_t *fixture, gconstpointer unused)
{
    fleet_t *fleet = fleet_new();
    g_autoptr(GPtrArray) addresses = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; i < 985; i++) {
        g_autofree char *zone = g_strdup_printf("zone-%u", i % ZONES);
        g_ptr_array_add(addresses, g_strdup_printf("10.%u.%u.%u:7440", i % 7, i / 200, i % 200));
        fleet_join(fleet, addresses->pdata[i], zone, 1, i % 20 == 0 ? 1000 : 120, i + 1);
    }
    fleet_set_counted(fleet, 985, 985);
    for (unsigned i = 0; i < 200; i++) {
        g_autofree char *service = g_strdup_printf("ledger-%u", i);
        const fleet_owners_t *owners = fleet_owners(fleet, service, 400);
        for (unsigned zone = 0; zone < ZONES; zone++) {
            g_assert_true(fleet_owners_include(owners, best_of_zone(addresses, service, zone)));
        }
    }
    fleet_free(fleet);
}

/* After the loss of all poolers, a starting one takes the number of poolers that share the
 * connections from the lease row, until a coordinator sends it. */
static void
test_share_from_the_lease_row(fixture_t *fixture, gconstpointer unused)
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
    control->fleet_count = 3;
    g_assert_cmpuint(control_direct_share(control, service), ==, 4);
}

/* A coordinator that returns at its known address: a pooler that is connected to another pooler
 * receives newer orders and reconnects to that address, but not if it is connected there already,
 * and not repeatedly. */
static void
test_coordinator_at_its_old_address(fixture_t *fixture, gconstpointer unused)
{
    struct control *control = fixture->control;
    time_ns now = fixture->now + 10 * NANOSECONDS_PER_SECOND;
    g_free(control->coordinator_address);
    control->coordinator_address = g_strdup("10.0.0.1:8082");
    control->newest_token = 1;
    control->orders_known = UINT64_C(1) << EPOCH_SHIFT;
    g_assert_false(control_member_must_reconnect(control, NULL, now));
    g_assert_false(control_member_must_reconnect(control, "10.0.0.1:8082", now));
    g_assert_true(control_member_must_reconnect(control, "10.0.0.2:8082", now));
    control->orders_known = (UINT64_C(2) << EPOCH_SHIFT) + 3;
    g_assert_true(control_member_must_reconnect(control, "10.0.0.1:8082", now));
    control->redirected_at = now - NANOSECONDS_PER_MILLISECOND;
    g_assert_false(control_member_must_reconnect(control, "10.0.0.1:8082", now));
    control->redirected_at = 0;
    control->at_coordinator = true;
    g_assert_false(control_member_must_reconnect(control, "10.0.0.1:8082", now));
    g_clear_pointer(&control->coordinator_address, g_free);
}

/* A follower of the store turns out to be the new coordinator, as the previous one handed its lease
 * over: its address is recorded, so that this pooler can redirect others to it. */
static void
test_coordinator_found(fixture_t *fixture, gconstpointer unused)
{
    struct control *control = fixture->control;
    control->coordinator_address = g_strdup("10.0.0.1:8082");
    control->connected_address = g_strdup("10.0.0.2:8082");
    control->at_coordinator = false;
    control_member_found_coordinator(control);
    g_assert_cmpstr(control->coordinator_address, ==, "10.0.0.2:8082");
    g_assert_true(control->at_coordinator);
    g_clear_pointer(&control->coordinator_address,
                    g_free); /* this pooler was the coordinator before */
    control->at_coordinator = false;
    control_member_found_coordinator(control);
    g_assert_cmpstr(control->coordinator_address, ==, "10.0.0.2:8082");
}

/* The coordinator's known address is outdated, and the first two followers still redirect to it:
 * the third is tried nevertheless. */
static void
test_outdated_redirects(fixture_t *fixture, gconstpointer unused)
{
    struct control *control = fixture->control;
    unsigned reached = 0;
    fixture->settings.pooler.name = (char *)"front-1";
    control->coordinator_address = g_strdup("10.0.0.1:8082");
    for (unsigned i = 2; i <= 4; i++) {
        g_ptr_array_add(control->followers, g_strdup_printf("10.0.0.%u:8082", i));
    }
    g_assert_cmpstr(control_member_next_address(control), ==, "10.0.0.1:8082");
    for (unsigned round = 0; round < 3; round++) {
        const char *address = control_member_next_address(control);
        for (unsigned i = 0; i < control->followers->len; i++) {
            bool same = g_str_equal(address, g_ptr_array_index(control->followers, i));
            reached |= same ? 1U << i : 0;
        }
        control->connect_now = true; /* redirected to the outdated address */
        g_assert_cmpstr(control_member_next_address(control), ==, "10.0.0.1:8082");
        control->connect_now = false;
    }
    g_assert_cmpuint(reached, ==, 7);
}

/* All poolers except one report in their heartbeats that they have this list. */
static void
confirm(fixture_t *fixture, uint64_t version, const char *all_but)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, fixture->control->poolers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct pooler_peer *pooler = value;
        pooler->contact.last_heartbeat_at = fixture->now;
        if (g_strcmp0(pooler->name, all_but) != 0) {
            pooler->fleet_reported = version;
            pooler->fleet_reported_as_of = fixture->now;
        }
    }
}

static bool
is_entering_after(fixture_t *fixture, const char *address, unsigned ms)
{
    const fleet_member_t *member =
        g_hash_table_lookup(fleet_members(fixture->control->fleet), address);
    fixture->now += ms * NANOSECONDS_PER_MILLISECOND;
    control_fleet_decide(fixture->control, fixture->now);
    return member->entering;
}

/* A pooler that joins starts to count operations a second later, and only once all others have
 * confirmed the list with its places and the store's row has it, too, so that no pooler reads an
 * older list. */
static void
test_joiner_waits_for_confirmation(fixture_t *fixture, gconstpointer unused)
{
    struct control *control = fixture->control;
    const char *address = "10.0.0.5:7440";
    for (unsigned i = 0; i < 4; i++) {
        add_pooler(fixture, i);
    }
    for (unsigned i = 0; i < 6; i++) {
        decide(fixture);
    }
    add_pooler(fixture, 4);
    control_fleet_decide(control, fixture->now);
    uint64_t version = control_fleet_version(control);
    confirm(fixture, version, NULL);
    bool entering = is_entering_after(fixture, address, 250);
    g_assert_true(entering); /* the row may have an older list */
    control_fleet_note_stored(control, version - 1, fixture->now);
    entering = is_entering_after(fixture, address, 10);
    g_assert_true(entering);
    control_fleet_note_stored(control, version, fixture->now);
    entering = is_entering_after(fixture, address, 250);
    g_assert_true(entering); /* their heartbeats are older than that */
    confirm(fixture, version, "front-2");
    entering = is_entering_after(fixture, address, 250);
    g_assert_true(entering);
    confirm(fixture, version, NULL);
    entering = is_entering_after(fixture, address, 250);
    g_assert_false(entering);
}

/* A new coordinator chooses owners once as many poolers have contacted it as the fleet had. It
 * waits longer for the others if all can serve directly meanwhile. */
static void
test_gathering_after_a_handover(fixture_t *fixture, gconstpointer unused)
{
    struct control *control = fixture->control;
    control->workers_count = 1;
    control->coordinator_since = fixture->now;
    control->members_before = 6;
    control->fleet_count = 6;
    configure(fixture, 16);
    for (unsigned i = 0; i < 5; i++) {
        add_pooler(fixture, i);
    }
    g_assert_true(control_fleet_is_gathering(control, fixture->now + 500 * MS));
    g_assert_false(control_fleet_is_gathering(control, fixture->now + 2000 * MS));
    configure(fixture, 6); /* too few connections for all poolers */
    g_assert_true(control_fleet_is_gathering(control, fixture->now + 300 * MS));
    g_assert_false(control_fleet_is_gathering(control, fixture->now + 500 * MS));
    add_pooler(fixture, 5);
    g_assert_false(control_fleet_is_gathering(control, fixture->now));
}

#define ADD(name, test) g_test_add("/pooler/owners/" name, fixture_t, NULL, set_up, test, tear_down)

/* A coordinator in a partitioned zone removes the other zones' poolers from the fleet. They still
 * count as members in other zones for as long as they may return, so its zone still detects that it
 * is separated from most of the fleet. */
static void
test_partition_with_the_coordinator(fixture_t *fixture, gconstpointer unused)
{
    fixture->settings.pooler.zone = "zone-0";
    configure(fixture, 30);
    for (unsigned i = 0; i < 9; i++) {
        add_pooler(fixture, i);
    }
    decide(fixture);
    const zone_reachability_inputs_t before = control_reachability_inputs(fixture->control);
    for (unsigned i = 0; i < 9; i++) {
        g_autofree char *address = g_strdup_printf("10.0.0.%u:7440", i + 1);
        if (i % ZONES != 0) {
            fleet_leave(fixture->control->fleet, address,
                        fleet_version(fixture->control->fleet) + 1);
        }
    }
    const zone_reachability_inputs_t after = control_reachability_inputs(fixture->control);
    g_assert_cmpuint(before.in_other_zones, >, before.members / 2);
    g_assert_cmpuint(after.in_other_zones, ==, before.in_other_zones);
    g_assert_cmpuint(after.members, ==, before.members);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("direct", test_direct);
    ADD("budget", test_budget);
    ADD("spread", test_spread);
    ADD("leaving-owner", test_leaving_owner);
    ADD("hysteresis", test_hysteresis);
    ADD("incremental-updates", test_incremental_updates);
    ADD("outdated-updates", test_outdated_updates);
    ADD("new-coordinator", test_new_coordinator);
    ADD("weights", test_weights);
    ADD("bounded-scores", test_bounded_scores);
    ADD("slow-coordinator", test_slow_coordinator);
    ADD("inherited-fleet", test_inherited_fleet);
    ADD("share-from-the-lease-row", test_share_from_the_lease_row);
    ADD("gathering-after-a-handover", test_gathering_after_a_handover);
    ADD("coordinator-at-its-old-address", test_coordinator_at_its_old_address);
    ADD("coordinator-found", test_coordinator_found);
    ADD("outdated-redirects", test_outdated_redirects);
    ADD("joiner-waits-for-confirmation", test_joiner_waits_for_confirmation);
    ADD("partition-with-the-coordinator", test_partition_with_the_coordinator);
    return g_test_run();
}
