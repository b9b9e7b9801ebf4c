/* Configuration over a modelled network: it comes into force everywhere, is never replaced by an
 * older one, and daemons refuse service while they can't confirm that it is current. */
#include "scale_fixture.h"

#define ZONES   6
#define DAEMONS 24

/* A fleet that serves with its first configuration. */
static struct scale_fleet *serving_fleet(uint32_t seed)
{
    struct scale_fleet *fleet = fixture_fleet(ZONES, DAEMONS, 0, seed);
    scale_fleet_run(fleet, SECONDS(5));
    uint64_t version = scale_fleet_publish(fleet);
    scale_fleet_run(fleet, SECONDS(15));
    g_assert_cmpuint(fixture_count_serving(fleet, version), ==, DAEMONS);
    return fleet;
}

static void test_in_force_everywhere(void)
{
    for (uint32_t seed = 1; seed <= 5; seed++) {
        struct scale_fleet *fleet = serving_fleet(seed);
        uint64_t version = scale_fleet_publish(fleet);
        scale_fleet_run(fleet, SECONDS(5));
        g_assert_cmpuint(fixture_count_serving(fleet, version), ==, DAEMONS);
        scale_fleet_free(fleet);
    }
}

/* Daemons that reach neither a majority nor the store stop serving within the bound, and serve
 * again only with the newest configuration. */
static void test_cut_zone_stops_serving(void)
{
    struct scale_fleet *fleet = serving_fleet(6);
    scale_fleet_cut_zone(fleet, 2, true);
    uint64_t version = scale_fleet_publish(fleet);
    scale_fleet_run(fleet, SECONDS(12));
    for (uint32_t i = 0; i < DAEMONS; i++) {
        bool inside = scale_fleet_zone(fleet, i) == 2;
        g_assert_cmpint(currency_serving(scale_fleet_currency(fleet, i)), ==, !inside);
    }
    scale_fleet_cut_zone(fleet, 2, false);
    scale_fleet_run(fleet, SECONDS(6));
    g_assert_cmpuint(fixture_count_serving(fleet, version), ==, DAEMONS);
    scale_fleet_free(fleet);
}

/* While the store is down, a majority of the members suffices as confirmation. */
static void test_store_down_changes_nothing(void)
{
    struct scale_fleet *fleet = serving_fleet(7);
    scale_fleet_set_store_up(fleet, false);
    scale_fleet_run(fleet, SECONDS(120));
    g_assert_cmpuint(fixture_count_serving(fleet, 1), ==, DAEMONS);
    scale_fleet_free(fleet);
}

static void test_fresh_daemon_with_the_store_down(void)
{
    struct scale_fleet *fleet = serving_fleet(8);
    uint64_t version = scale_fleet_publish(fleet);
    scale_fleet_run(fleet, SECONDS(5));
    scale_fleet_set_store_up(fleet, false);
    scale_fleet_stop(fleet, 4, SECONDS(2));
    scale_fleet_run(fleet, SECONDS(20));
    g_assert_cmpuint(fixture_count_serving(fleet, version), ==, DAEMONS);
    scale_fleet_free(fleet);
}

/* A new daemon that reaches only partitioned daemons with an old configuration does not serve with
 * it. */
static void test_fresh_daemon_among_the_stale(void)
{
    struct scale_fleet *fleet = serving_fleet(9);
    scale_fleet_cut_zone(fleet, 3, true);
    uint64_t version = scale_fleet_publish(fleet);
    uint32_t fresh = 3 + ZONES;
    g_assert_cmpuint(scale_fleet_zone(fleet, fresh), ==, 3);
    scale_fleet_kill(fleet, fresh, false);
    scale_fleet_run(fleet, SECONDS(2));
    scale_fleet_start(fleet, fresh, false);
    struct member_address stale = membership_self(scale_fleet_membership(fleet, 3)).address;
    membership_set_seeds(scale_fleet_membership(fleet, fresh), &stale, 1);
    for (int i = 0; i < 300; i++) {
        scale_fleet_run(fleet, SECONDS(1));
        g_assert_false(currency_serving(scale_fleet_currency(fleet, fresh)));
    }
    scale_fleet_cut_zone(fleet, 3, false);
    scale_fleet_run(fleet, SECONDS(10));
    g_assert_cmpuint(fixture_count_serving(fleet, version), ==, DAEMONS);
    scale_fleet_free(fleet);
}

/* Length of the runs under faults, and the age from which a replaced configuration must no longer
 * be served. */
#define FAULT_SECONDS 300
#define GONE_SECONDS  12

/* Injects one random fault. The applied version of a killed daemon is counted from 0 again. */
static void random_fault(struct scale_fleet *fleet, uint64_t *applied)
{
    uint32_t daemon = scale_fleet_random(fleet, DAEMONS);
    uint16_t zone = (uint16_t)(1 + scale_fleet_random(fleet, ZONES - 1));
    switch (scale_fleet_random(fleet, 12)) {
    case 0:
        scale_fleet_publish(fleet);
        break;
    case 1:
        scale_fleet_kill(fleet, daemon, false);
        applied[daemon] = 0;
        break;
    case 2:
    case 3:
        scale_fleet_start(fleet, daemon, scale_fleet_random(fleet, 2) == 0);
        break;
    case 4:
        scale_fleet_pause(fleet, daemon);
        break;
    case 5:
    case 6:
        scale_fleet_resume(fleet, daemon);
        break;
    case 7:
        scale_fleet_cut_zone(fleet, zone, true);
        break;
    case 8:
    case 9:
        scale_fleet_cut_zone(fleet, zone, false);
        break;
    default:
        break;
    }
}

/* Checks that no process applied an older version, and returns how many daemons serve without a
 * configuration accepted long ago. A paused daemon serves nothing. */
static uint32_t count_stale(struct scale_fleet *fleet, uint64_t *applied, uint64_t needed)
{
    uint32_t stale = 0;
    for (uint32_t i = 0; i < DAEMONS; i++) {
        if (!scale_fleet_is_running(fleet, i) || scale_fleet_is_paused(fleet, i)) {
            continue;
        }
        const struct currency *currency = scale_fleet_currency(fleet, i);
        uint64_t version = currency_applied(currency).version;
        g_assert_cmpuint(version, >=, applied[i]);
        applied[i] = version;
        stale += currency_serving(currency) && version < needed;
    }
    return stale;
}

static uint32_t run_under_faults(const struct scale_fleet_options *options)
{
    struct scale_fleet *fleet = scale_fleet_new(options);
    scale_fleet_run(fleet, SECONDS(5));
    scale_fleet_publish(fleet);
    scale_fleet_run(fleet, SECONDS(15));
    uint64_t applied[DAEMONS] = {0};
    uint64_t accepted[FAULT_SECONDS] = {0};
    uint32_t stale = 0;
    for (uint32_t second = 0; second < FAULT_SECONDS; second++) {
        random_fault(fleet, applied);
        scale_fleet_run(fleet, SECONDS(1));
        accepted[second] = scale_fleet_newest(fleet);
        uint64_t needed = second < GONE_SECONDS ? 1 : accepted[second - GONE_SECONDS];
        stale += count_stale(fleet, applied, needed);
    }
    scale_fleet_free(fleet);
    return stale;
}

/* Under churn, partitions and pauses, the version applied by a process only grows, and any serving
 * daemon has all configurations accepted more than 12 s before. Without the bound on currency this
 * fails. */
static void test_never_reverts_under_faults(void)
{
    uint32_t stale = 0;
    uint32_t stale_without_bound = 0;
    for (uint32_t seed = 101; seed <= 110; seed++) {
        struct scale_fleet_options options;
        scale_fleet_options_default(&options, DAEMONS, 0, seed);
        options.network.zones = ZONES;
        options.encode = false;
        stale += run_under_faults(&options);
        options.currency.ignore_bound = true;
        stale_without_bound += run_under_faults(&options);
    }
    g_assert_cmpuint(stale, ==, 0);
    g_assert_cmpuint(stale_without_bound, >, 0);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/configuration/in-force-everywhere", test_in_force_everywhere);
    g_test_add_func("/configuration/cut-zone-stops-serving", test_cut_zone_stops_serving);
    g_test_add_func("/configuration/store-down-changes-nothing", test_store_down_changes_nothing);
    g_test_add_func("/configuration/fresh-daemon-with-the-store-down",
                    test_fresh_daemon_with_the_store_down);
    g_test_add_func("/configuration/fresh-daemon-among-the-stale",
                    test_fresh_daemon_among_the_stale);
    g_test_add_func("/configuration/never-reverts-under-faults", test_never_reverts_under_faults);
    return g_test_run();
}
