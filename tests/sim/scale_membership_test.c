/* Membership over a modelled network: join, leave, kill, pause, restart, partitions and old gossip.
 */
#include "scale_fixture.h"

#define ZONES   6
#define DAEMONS 24

static struct scale_fleet *settled_fleet(uint32_t seed)
{
    struct scale_fleet *fleet = fixture_fleet(ZONES, DAEMONS, 0, seed);
    scale_fleet_run(fleet, SECONDS(15));
    g_assert_true(fixture_views_agree(fleet));
    return fleet;
}

static void test_all_join(void)
{
    for (uint32_t seed = 1; seed <= 5; seed++) {
        scale_fleet_free(settled_fleet(seed));
    }
}

static void test_kill_is_noticed(void)
{
    struct scale_fleet *fleet = settled_fleet(1);
    scale_fleet_kill(fleet, 7, false);
    scale_fleet_run(fleet, SECONDS(15));
    g_assert_cmpuint(fixture_count_state(fleet, 7, MEMBER_STATE_DEAD), ==, DAEMONS - 1);
    g_assert_true(fixture_views_agree(fleet));
    scale_fleet_free(fleet);
}

static void test_leave_is_no_death(void)
{
    struct scale_fleet *fleet = settled_fleet(2);
    scale_fleet_stop(fleet, 3, 0);
    scale_fleet_run(fleet, SECONDS(3));
    struct member member;
    g_assert_true(
        membership_find(scale_fleet_membership(fleet, 20), scale_fleet_id(fleet, 3), &member));
    g_assert_true(member.leaving);
    scale_fleet_run(fleet, SECONDS(12));
    g_assert_cmpuint(fixture_count_state(fleet, 3, MEMBER_STATE_LEFT), ==, DAEMONS - 1);
    g_assert_cmpuint(scale_fleet_measures(fleet)->suspicions, ==, 0);
    scale_fleet_free(fleet);
}

static void test_restart_under_the_same_address(void)
{
    struct scale_fleet *fleet = settled_fleet(3);
    uint64_t start = membership_self(scale_fleet_membership(fleet, 5)).start;
    scale_fleet_kill(fleet, 5, false);
    scale_fleet_run(fleet, MILLISECONDS(300));
    scale_fleet_start(fleet, 5, false);
    scale_fleet_run(fleet, SECONDS(15));
    g_assert_true(fixture_views_agree(fleet));
    struct member member;
    g_assert_true(
        membership_find(scale_fleet_membership(fleet, 0), scale_fleet_id(fleet, 5), &member));
    g_assert_cmpuint(member.start, >, start);
    scale_fleet_free(fleet);
}

static void test_pause_dies_and_returns(void)
{
    struct scale_fleet *fleet = settled_fleet(4);
    scale_fleet_pause(fleet, 9);
    scale_fleet_run(fleet, SECONDS(20));
    g_assert_cmpuint(fixture_count_state(fleet, 9, MEMBER_STATE_DEAD), ==, DAEMONS - 1);
    scale_fleet_resume(fleet, 9);
    scale_fleet_run(fleet, SECONDS(20));
    g_assert_true(fixture_views_agree(fleet));
    scale_fleet_free(fleet);
}

/* A daemon that was paused does not suspect the others because it received nothing meanwhile. */
static void test_no_suspicion_after_pause(void)
{
    struct scale_fleet *fleet = settled_fleet(5);
    scale_fleet_pause(fleet, 9);
    scale_fleet_run(fleet, SECONDS(2));
    scale_fleet_resume(fleet, 9);
    uint64_t before = membership_suspicions(scale_fleet_membership(fleet, 9));
    scale_fleet_run(fleet, SECONDS(10));
    g_assert_cmpuint(membership_suspicions(scale_fleet_membership(fleet, 9)), ==, before);
    scale_fleet_free(fleet);
}

/* A partitioned zone is unreachable. Its members are not held dead, and all views agree at once
 * after the partition. */
static void test_zone_cut_and_heal(void)
{
    struct scale_fleet *fleet = settled_fleet(6);
    scale_fleet_cut_zone(fleet, 2, true);
    scale_fleet_run(fleet, SECONDS(60));
    for (uint32_t i = 0; i < DAEMONS; i++) {
        bool inside = scale_fleet_zone(fleet, i) == 2;
        bool reaches =
            membership_zone_reachable(scale_fleet_membership(fleet, i), 2, scale_fleet_now(fleet));
        g_assert_cmpint(reaches, ==, inside);
    }
    g_assert_cmpuint(scale_fleet_measures(fleet)->false_deaths, ==, 0);
    scale_fleet_cut_zone(fleet, 2, false);
    scale_fleet_run(fleet, SECONDS(5));
    g_assert_true(fixture_views_agree(fleet));
    for (uint32_t i = 0; i < DAEMONS; i++) {
        g_assert_true(
            membership_zone_reachable(scale_fleet_membership(fleet, i), 2, scale_fleet_now(fleet)));
    }
    scale_fleet_free(fleet);
}

/* Changes on either side of a partition are known on both sides after its end. */
static void test_region_cut_for_an_hour(void)
{
    struct scale_fleet *fleet = settled_fleet(7);
    scale_fleet_cut_region(fleet, 1, true);
    scale_fleet_run(fleet, SECONDS(600));
    scale_fleet_kill(fleet, 4, false);
    scale_fleet_kill(fleet, 1, true);
    scale_fleet_stop(fleet, 10, SECONDS(10));
    scale_fleet_run(fleet, SECONDS(600));
    scale_fleet_start(fleet, 1, true);
    scale_fleet_run(fleet, SECONDS(2400));
    scale_fleet_cut_region(fleet, 1, false);
    scale_fleet_run(fleet, SECONDS(20));
    g_assert_true(fixture_views_agree(fleet));
    g_assert_cmpuint(scale_fleet_measures(fleet)->false_deaths, ==, 0);
    scale_fleet_free(fleet);
}

/* The halves of a split zone learn through other zones that no daemon has died. */
static void test_split_zone(void)
{
    struct scale_fleet *fleet = settled_fleet(8);
    scale_fleet_split_zone(fleet, 1, true);
    scale_fleet_run(fleet, SECONDS(60));
    scale_fleet_split_zone(fleet, 1, false);
    scale_fleet_run(fleet, SECONDS(30));
    g_assert_true(fixture_views_agree(fleet));
    scale_fleet_free(fleet);
}

/* The same without another zone. */
static void test_split_of_the_only_zone(void)
{
    struct scale_fleet *fleet = fixture_fleet(1, 8, 0, 9);
    scale_fleet_run(fleet, SECONDS(15));
    scale_fleet_split_zone(fleet, 0, true);
    scale_fleet_run(fleet, SECONDS(120));
    g_assert_cmpint(fixture_state(fleet, 0, 1), ==, MEMBER_STATE_DEAD);
    scale_fleet_split_zone(fleet, 0, false);
    scale_fleet_run(fleet, SECONDS(60));
    g_assert_true(fixture_views_agree(fleet));
    scale_fleet_free(fleet);
}

/* Copies the record of a daemon, as another holds it now, as a gossip update. */
static struct gossip_member snapshot(struct scale_fleet *fleet, uint32_t observer, uint32_t about,
                                     enum member_state state)
{
    struct member member;
    g_assert_true(membership_find(scale_fleet_membership(fleet, observer),
                                  scale_fleet_id(fleet, about), &member));
    return (struct gossip_member){
        .member = member.id,
        .start = member.start,
        .incarnation = member.incarnation,
        .state = state,
        .address = member.address.address,
        .port = member.address.port,
        .zone = member.zone,
        .region = member.region,
    };
}

/* Delivers a recorded update to all daemons at a later time. */
static void inject_to_all(struct scale_fleet *fleet, uint32_t from, struct gossip_member *update)
{
    struct gossip_message message;
    gossip_message_init(&message);
    message.kind = GOSSIP_KIND_PUSH;
    message.deployment = 1;
    message.sender = snapshot(fleet, (from + 1) % DAEMONS, from, MEMBER_STATE_ALIVE);
    message.updates = update;
    message.updates_count = 1;
    for (uint32_t i = 0; i < DAEMONS; i++) {
        if (i != from && scale_fleet_is_running(fleet, i)) {
            scale_fleet_inject(fleet, from, i, &message, 0);
        }
    }
    scale_fleet_run(fleet, MILLISECONDS(1));
}

static void test_old_gossip_never_reverts(void)
{
    struct scale_fleet *fleet = settled_fleet(10);
    struct gossip_member old_alive = snapshot(fleet, 0, 11, MEMBER_STATE_ALIVE);
    struct gossip_member old_dead = snapshot(fleet, 0, 12, MEMBER_STATE_DEAD);
    scale_fleet_kill(fleet, 11, false);
    scale_fleet_kill(fleet, 12, false);
    scale_fleet_run(fleet, SECONDS(1));
    scale_fleet_start(fleet, 12, false);
    scale_fleet_run(fleet, SECONDS(20));
    inject_to_all(fleet, 3, &old_alive);
    g_assert_cmpuint(fixture_count_state(fleet, 11, MEMBER_STATE_DEAD), ==, DAEMONS - 1);
    inject_to_all(fleet, 3, &old_dead);
    g_assert_cmpuint(fixture_count_state(fleet, 12, MEMBER_STATE_ALIVE), ==, DAEMONS - 2);
    scale_fleet_free(fleet);
}

/* A false suspicion, from any daemon, is refuted before the suspected daemon is held dead. */
static void test_suspicion_is_refuted(void)
{
    struct scale_fleet *fleet = settled_fleet(11);
    struct gossip_member lie = snapshot(fleet, 0, 8, MEMBER_STATE_SUSPECT);
    inject_to_all(fleet, 3, &lie);
    scale_fleet_run(fleet, SECONDS(15));
    g_assert_cmpuint(fixture_count_state(fleet, 8, MEMBER_STATE_ALIVE), ==, DAEMONS - 1);
    g_assert_cmpuint(scale_fleet_measures(fleet)->false_deaths, ==, 0);
    scale_fleet_free(fleet);
}

/* A daemon joins even if only one address of its machine list is still in use. */
static void test_lagging_machine_list(void)
{
    struct scale_fleet *fleet = settled_fleet(12);
    for (uint32_t i = 1; i < DAEMONS / 2; i++) {
        scale_fleet_kill(fleet, i, true);
    }
    scale_fleet_run(fleet, SECONDS(20));
    scale_fleet_start(fleet, 2, true);
    struct member_address seeds[] = {
        {0x00000002, 7946},
        {0x00000005, 7946},
        {DAEMONS, 7946},
    };
    membership_set_seeds(scale_fleet_membership(fleet, 2), seeds, G_N_ELEMENTS(seeds));
    scale_fleet_run(fleet, SECONDS(30));
    g_assert_true(fixture_views_agree(fleet));
    scale_fleet_free(fleet);
}

/* A process that was paused while another one took over its name stops sending gossip. */
static void test_superseded_process_stops_gossip(void)
{
    struct scale_fleet *fleet = settled_fleet(13);
    struct gossip_member later = snapshot(fleet, 0, 6, MEMBER_STATE_ALIVE);
    later.start += 1000000;
    inject_to_all(fleet, 3, &later);
    g_assert_true(membership_superseded(scale_fleet_membership(fleet, 6)));
    scale_fleet_free(fleet);
}

static void test_another_deployment_is_ignored(void)
{
    struct scale_fleet *fleet = settled_fleet(14);
    struct gossip_message message;
    gossip_message_init(&message);
    message.kind = GOSSIP_KIND_PUSH;
    message.deployment = 2;
    message.sender = (struct gossip_member){.member = 99, .start = 1, .address = 1, .port = 1};
    scale_fleet_inject(fleet, 0, 1, &message, 0);
    scale_fleet_run(fleet, SECONDS(1));
    struct member member;
    g_assert_false(membership_find(scale_fleet_membership(fleet, 1), 99, &member));
    scale_fleet_free(fleet);
}

/* The same seed gives the same run. */
static void test_deterministic(void)
{
    uint64_t sent[2];
    for (int run = 0; run < 2; run++) {
        struct scale_fleet *fleet = fixture_fleet(ZONES, DAEMONS, 30, 15);
        scale_fleet_run(fleet, SECONDS(20));
        scale_fleet_kill(fleet, 3, false);
        scale_fleet_run(fleet, SECONDS(20));
        sent[run] = 0;
        for (uint32_t i = 0; i < DAEMONS; i++) {
            struct scale_counters counters = scale_fleet_counters(fleet, i);
            sent[run] = sent[run] * 31 + counters.sent[SCALE_TRAFFIC_GOSSIP];
        }
        scale_fleet_free(fleet);
    }
    g_assert_cmpuint(sent[0], ==, sent[1]);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/membership/all-join", test_all_join);
    g_test_add_func("/membership/kill-is-noticed", test_kill_is_noticed);
    g_test_add_func("/membership/leave-is-no-death", test_leave_is_no_death);
    g_test_add_func("/membership/restart-under-the-same-address",
                    test_restart_under_the_same_address);
    g_test_add_func("/membership/pause-dies-and-returns", test_pause_dies_and_returns);
    g_test_add_func("/membership/no-suspicion-after-pause", test_no_suspicion_after_pause);
    g_test_add_func("/membership/zone-cut-and-heal", test_zone_cut_and_heal);
    g_test_add_func("/membership/region-cut-for-an-hour", test_region_cut_for_an_hour);
    g_test_add_func("/membership/split-zone", test_split_zone);
    g_test_add_func("/membership/split-of-the-only-zone", test_split_of_the_only_zone);
    g_test_add_func("/membership/old-gossip-never-reverts", test_old_gossip_never_reverts);
    g_test_add_func("/membership/suspicion-is-refuted", test_suspicion_is_refuted);
    g_test_add_func("/membership/lagging-machine-list", test_lagging_machine_list);
    g_test_add_func("/membership/superseded-process-stops-gossip",
                    test_superseded_process_stops_gossip);
    g_test_add_func("/membership/another-deployment-is-ignored",
                    test_another_deployment_is_ignored);
    g_test_add_func("/membership/deterministic", test_deterministic);
    return g_test_run();
}
