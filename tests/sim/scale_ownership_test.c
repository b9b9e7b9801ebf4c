/* Ownership and budgets over a modelled network: no database gets more connections than its limit,
 * and every group is served throughout planned moves. */
#include "scale_fixture.h"

#define ZONES     6
#define DAEMONS   24
#define DATABASES 60

static struct scale_fleet *settled_fleet(uint32_t seed)
{
    struct scale_fleet *fleet = fixture_fleet(ZONES, DAEMONS, DATABASES, seed);
    scale_fleet_run(fleet, SECONDS(30));
    return fleet;
}

/* Number of running daemons with enough connections to serve the group. */
static uint32_t count_servers(struct scale_fleet *fleet, uint32_t group)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < DAEMONS; i++) {
        count += scale_fleet_serves(fleet, i, group);
    }
    return count;
}

static void test_three_owners_each(void)
{
    struct scale_fleet *fleet = settled_fleet(1);
    for (uint32_t group = 0; group < scale_fleet_groups(fleet); group++) {
        g_assert_cmpuint(count_servers(fleet, group), ==, 3);
    }
    g_assert_cmpuint(scale_fleet_measures(fleet)->budget_violations, ==, 0);
    scale_fleet_free(fleet);
}

/* While daemons restart one by one, each group always has at least two daemons that serve it. */
static void test_rolling_restart_keeps_servers(void)
{
    struct scale_fleet *fleet = settled_fleet(2);
    for (uint32_t daemon = 0; daemon < DAEMONS; daemon++) {
        scale_fleet_stop(fleet, daemon, SECONDS(3));
        for (int step = 0; step < 200; step++) {
            scale_fleet_run(fleet, MILLISECONDS(100));
            for (uint32_t group = 0; group < scale_fleet_groups(fleet); group++) {
                g_assert_cmpuint(count_servers(fleet, group), >=, 2);
            }
        }
    }
    g_assert_cmpuint(scale_fleet_measures(fleet)->budget_violations, ==, 0);
    scale_fleet_free(fleet);
}

static void test_lost_owner_is_replaced(void)
{
    struct scale_fleet *fleet = settled_fleet(3);
    scale_fleet_kill(fleet, 5, true);
    scale_fleet_run(fleet, SECONDS(30));
    for (uint32_t group = 0; group < scale_fleet_groups(fleet); group++) {
        g_assert_cmpuint(count_servers(fleet, group), ==, 3);
    }
    scale_fleet_free(fleet);
}

/* Churn, partitions, splits and pauses combined. */
static void test_limit_holds_under_faults(void)
{
    for (uint32_t seed = 1; seed <= 12; seed++) {
        struct scale_fleet *fleet = settled_fleet(50 + seed);
        for (uint32_t second = 0; second < 240; second++) {
            uint32_t daemon = scale_fleet_random(fleet, DAEMONS);
            uint16_t zone = (uint16_t)scale_fleet_random(fleet, ZONES);
            bool on = scale_fleet_random(fleet, 2) == 0;
            switch (scale_fleet_random(fleet, 8)) {
            case 0:
                scale_fleet_kill(fleet, daemon, on);
                break;
            case 1:
            case 2:
                scale_fleet_start(fleet, daemon, on);
                break;
            case 3:
                scale_fleet_stop(fleet, daemon, SECONDS(2));
                break;
            case 4:
                scale_fleet_pause(fleet, daemon);
                break;
            case 5:
                scale_fleet_resume(fleet, daemon);
                break;
            case 6:
                scale_fleet_cut_zone(fleet, zone, on);
                break;
            default:
                scale_fleet_split_zone(fleet, zone, on);
                break;
            }
            scale_fleet_run(fleet, SECONDS(1));
        }
        g_assert_cmpuint(scale_fleet_measures(fleet)->budget_violations, ==, 0);
        scale_fleet_free(fleet);
    }
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/ownership/three-owners-each", test_three_owners_each);
    g_test_add_func("/ownership/rolling-restart-keeps-servers", test_rolling_restart_keeps_servers);
    g_test_add_func("/ownership/lost-owner-is-replaced", test_lost_owner_is_replaced);
    g_test_add_func("/ownership/limit-holds-under-faults", test_limit_holds_under_faults);
    return g_test_run();
}
