/* Small deployments with one daemon in each zone: no other daemon of its zone can declare such a
 * daemon dead. Nevertheless its groups must get other owners within seconds, and get it back when
 * it returns. */
#include "scale_fixture.h"

#define ZONES     4
#define DATABASES 24
#define OWNERS    3

/* Time by which a lost daemon is replaced: zone_timeout, a few probe periods, and the time to open
 * connections. */
#define REPLACED_AFTER SECONDS(15)

/* Time by which a daemon that has returned owns its groups again. */
#define RETURNED_AFTER SECONDS(15)

#define LOST 2

static struct scale_fleet *settled_fleet(uint32_t seed, uint32_t daemons)
{
    struct scale_fleet *fleet = fixture_fleet(ZONES, daemons, DATABASES, seed);
    scale_fleet_run(fleet, SECONDS(30));
    return fleet;
}

/* True if `about` is among the group's owners in the observer's view. */
static bool owns_in_view(struct scale_fleet *fleet, uint32_t observer, uint32_t about,
                         uint32_t group)
{
    uint64_t owners[OWNERSHIP_OWNERS_MAX];
    size_t count = ownership_owners(scale_fleet_ownership(fleet, observer), group, owners);
    for (size_t i = 0; i < count; i++) {
        if (owners[i] == scale_fleet_id(fleet, about)) {
            return true;
        }
    }
    return false;
}

/* Number of groups that a daemon owns in the view of another. */
static uint32_t count_owned(struct scale_fleet *fleet, uint32_t observer, uint32_t about)
{
    uint32_t count = 0;
    for (uint32_t group = 0; group < scale_fleet_groups(fleet); group++) {
        count += owns_in_view(fleet, observer, about, group);
    }
    return count;
}

/* The same, over the views of all other running daemons. */
static uint32_t count_owned_by_others(struct scale_fleet *fleet, uint32_t about)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i++) {
        if (i != about && scale_fleet_is_running(fleet, i)) {
            count += count_owned(fleet, i, about);
        }
    }
    return count;
}

static uint32_t count_owners(struct scale_fleet *fleet, uint32_t observer, uint32_t group)
{
    uint64_t owners[OWNERSHIP_OWNERS_MAX];
    return (uint32_t)ownership_owners(scale_fleet_ownership(fleet, observer), group, owners);
}

static uint32_t count_servers(struct scale_fleet *fleet, uint32_t group)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i++) {
        count += scale_fleet_serves(fleet, i, group);
    }
    return count;
}

static void check_three_servers(struct scale_fleet *fleet)
{
    for (uint32_t group = 0; group < scale_fleet_groups(fleet); group++) {
        g_assert_cmpuint(count_servers(fleet, group), ==, OWNERS);
    }
}

static void check_no_violation(struct scale_fleet *fleet)
{
    g_assert_cmpuint(scale_fleet_measures(fleet)->budget_violations, ==, 0);
}

/* The groups of a killed daemon have three owners again, and it is not declared dead. */
static void test_killed(void)
{
    for (uint32_t seed = 1; seed <= 5; seed++) {
        struct scale_fleet *fleet = settled_fleet(seed, ZONES);
        g_assert_cmpuint(count_owned_by_others(fleet, LOST), >, 0);
        scale_fleet_kill(fleet, LOST, false);
        scale_fleet_run(fleet, REPLACED_AFTER);
        g_assert_cmpuint(count_owned_by_others(fleet, LOST), ==, 0);
        g_assert_cmpuint(fixture_count_state(fleet, LOST, MEMBER_STATE_ALIVE), ==, ZONES - 1);
        check_three_servers(fleet);
        check_no_violation(fleet);
        scale_fleet_free(fleet);
    }
}

/* A second lost daemon is not removed: two of four are no majority. The owners, who are the
 * watchers, remain three, so no group depends on a single watcher. */
static void test_second_loss(void)
{
    for (uint32_t seed = 1; seed <= 5; seed++) {
        struct scale_fleet *fleet = settled_fleet(seed, ZONES);
        scale_fleet_kill(fleet, LOST, false);
        scale_fleet_run(fleet, REPLACED_AFTER);
        scale_fleet_kill(fleet, 3, false);
        scale_fleet_run(fleet, SECONDS(60));
        for (uint32_t group = 0; group < scale_fleet_groups(fleet); group++) {
            g_assert_cmpuint(count_owners(fleet, 0, group), ==, OWNERS);
            g_assert_cmpuint(count_owners(fleet, 1, group), ==, OWNERS);
        }
        check_no_violation(fleet);
        scale_fleet_free(fleet);
    }
}

/* The partitioned side changes nothing in its own view. After the partition all is as before. */
static void test_cut_for_a_minute(void)
{
    for (uint32_t seed = 1; seed <= 5; seed++) {
        struct scale_fleet *fleet = settled_fleet(seed, ZONES);
        uint32_t before = count_owned_by_others(fleet, LOST);
        uint32_t own = count_owned(fleet, LOST, LOST);
        scale_fleet_cut_zone(fleet, LOST, true);
        scale_fleet_run(fleet, REPLACED_AFTER);
        g_assert_cmpuint(count_owned_by_others(fleet, LOST), ==, 0);
        scale_fleet_run(fleet, SECONDS(60) - REPLACED_AFTER);
        g_assert_cmpuint(count_owned(fleet, LOST, LOST), ==, own);
        g_assert_cmpuint(count_owners(fleet, LOST, 0), ==, OWNERS);
        scale_fleet_cut_zone(fleet, LOST, false);
        scale_fleet_run(fleet, RETURNED_AFTER);
        g_assert_cmpuint(count_owned_by_others(fleet, LOST), ==, before);
        check_three_servers(fleet);
        check_no_violation(fleet);
        scale_fleet_free(fleet);
    }
}

/* A restart within the time moves no groups. */
static void test_short_restart(void)
{
    struct scale_fleet *fleet = settled_fleet(7, ZONES);
    uint32_t before = count_owned_by_others(fleet, LOST);
    scale_fleet_kill(fleet, LOST, false);
    for (int i = 0; i < 40; i++) {
        scale_fleet_run(fleet, MILLISECONDS(100));
        g_assert_cmpuint(count_owned_by_others(fleet, LOST), ==, before);
    }
    scale_fleet_start(fleet, LOST, false);
    for (int i = 0; i < 200; i++) {
        scale_fleet_run(fleet, MILLISECONDS(100));
        g_assert_cmpuint(count_owned_by_others(fleet, LOST), ==, before);
    }
    check_three_servers(fleet);
    scale_fleet_free(fleet);
}

static void test_pause_and_return(void)
{
    struct scale_fleet *fleet = settled_fleet(8, ZONES);
    uint32_t before = count_owned_by_others(fleet, LOST);
    scale_fleet_pause(fleet, LOST);
    scale_fleet_run(fleet, REPLACED_AFTER);
    g_assert_cmpuint(count_owned_by_others(fleet, LOST), ==, 0);
    scale_fleet_resume(fleet, LOST);
    scale_fleet_run(fleet, RETURNED_AFTER);
    g_assert_cmpuint(count_owned_by_others(fleet, LOST), ==, before);
    check_three_servers(fleet);
    check_no_violation(fleet);
    scale_fleet_free(fleet);
}

/* When a new daemon starts in the zone, the lost one must not become an owner again before it is
 * declared dead. */
static void test_replaced_machine(void)
{
    for (uint32_t seed = 1; seed <= 5; seed++) {
        struct scale_fleet *fleet = settled_fleet(seed, ZONES);
        uint64_t lost = scale_fleet_id(fleet, LOST);
        scale_fleet_kill(fleet, LOST, true);
        scale_fleet_run(fleet, REPLACED_AFTER);
        scale_fleet_start(fleet, LOST, true);
        for (int i = 0; i < 300; i++) {
            uint64_t owners[OWNERSHIP_OWNERS_MAX];
            scale_fleet_run(fleet, MILLISECONDS(100));
            for (uint32_t group = 0; group < scale_fleet_groups(fleet); group++) {
                size_t count = ownership_owners(scale_fleet_ownership(fleet, 0), group, owners);
                for (size_t j = 0; j < count; j++) {
                    g_assert_cmpuint(owners[j], !=, lost);
                }
            }
        }
        check_three_servers(fleet);
        check_no_violation(fleet);
        scale_fleet_free(fleet);
    }
}

/* With one datagram in twenty lost, no daemon is taken for absent within an hour. */
static void test_loss_moves_nothing(void)
{
    struct scale_fleet_options options;
    scale_fleet_options_default(&options, ZONES, DATABASES, 9);
    options.network.zones = ZONES;
    options.network.in_zone.loss = 0.05;
    options.network.in_region.loss = 0.05;
    options.network.between_regions.loss = 0.05;
    options.encode = false;
    struct scale_fleet *fleet = scale_fleet_new(&options);
    scale_fleet_run(fleet, SECONDS(30));
    uint32_t before = count_owned_by_others(fleet, LOST);
    g_assert_cmpuint(before, >, 0);
    for (int second = 0; second < 3600; second++) {
        scale_fleet_run(fleet, SECONDS(1));
        for (uint32_t i = 0; i < ZONES * ZONES; i++) {
            struct member member;
            g_assert_true(membership_find(scale_fleet_membership(fleet, i / ZONES),
                                          scale_fleet_id(fleet, i % ZONES), &member));
            g_assert_false(member.absent);
        }
        g_assert_cmpuint(count_owned_by_others(fleet, LOST), ==, before);
    }
    check_no_violation(fleet);
    scale_fleet_free(fleet);
}

/* A partition of a zone with two daemons moves nothing. */
static void test_larger_zone_keeps_owners(void)
{
    struct scale_fleet *fleet = settled_fleet(10, 2 * ZONES);
    uint32_t before = count_owned(fleet, 0, LOST) + count_owned(fleet, 0, LOST + ZONES);
    scale_fleet_cut_zone(fleet, LOST, true);
    scale_fleet_run(fleet, SECONDS(60));
    uint32_t after = count_owned(fleet, 0, LOST) + count_owned(fleet, 0, LOST + ZONES);
    g_assert_cmpuint(after, ==, before);
    scale_fleet_free(fleet);
}

/* A daemon that is dropped from the member list after hours is no owner any more either. */
static void test_forgotten(void)
{
    struct scale_fleet_options options;
    scale_fleet_options_default(&options, 2 * ZONES, DATABASES, 11);
    options.network.zones = ZONES;
    options.membership.forget_time = SECONDS(60);
    options.encode = false;
    struct scale_fleet *fleet = scale_fleet_new(&options);
    scale_fleet_run(fleet, SECONDS(30));
    scale_fleet_kill(fleet, LOST, false);
    scale_fleet_kill(fleet, LOST + ZONES, false);
    scale_fleet_run(fleet, SECONDS(90));
    g_assert_cmpuint(fixture_count_state(fleet, LOST, MEMBER_STATE_LEFT), ==, 2 * ZONES - 2);
    g_assert_cmpuint(count_owned_by_others(fleet, LOST), ==, 0);
    g_assert_cmpuint(count_owned_by_others(fleet, LOST + ZONES), ==, 0);
    check_three_servers(fleet);
    scale_fleet_free(fleet);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/absence/killed", test_killed);
    g_test_add_func("/absence/second-loss", test_second_loss);
    g_test_add_func("/absence/cut-for-a-minute", test_cut_for_a_minute);
    g_test_add_func("/absence/short-restart", test_short_restart);
    g_test_add_func("/absence/pause-and-return", test_pause_and_return);
    g_test_add_func("/absence/replaced-machine", test_replaced_machine);
    g_test_add_func("/absence/loss-moves-nothing", test_loss_moves_nothing);
    g_test_add_func("/absence/larger-zone-keeps-owners", test_larger_zone_keeps_owners);
    g_test_add_func("/absence/forgotten", test_forgotten);
    return g_test_run();
}
