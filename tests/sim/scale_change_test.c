/* Changes of primary in a simulated fleet of 48 daemons, with the real control of groups. Their
 * bound holds when machines, racks and a zone are lost, also if the coordinator is lost with them.
 * Further: what a partitioned region serves, and how a fleet starts with a store that limits its
 * rate. */
#include "scale_fixture.h"
#include "sim/scale_fault.h"

#define DAEMONS   48
#define DATABASES 107

/* Bound of a change of primary. */
#define CHANGE_BOUND SECONDS(8)

static struct scale_fleet *run_fault(enum scale_fault_kind kind, uint32_t repeats, uint32_t seed,
                                     uint32_t store_rate, struct scale_fault_outcome *outcome)
{
    struct scale_fleet_options options;
    scale_fleet_options_default(&options, DAEMONS, DATABASES, seed);
    options.encode = false;
    options.watch.enabled = true;
    options.store_rate = store_rate;
    struct scale_fleet *fleet = scale_fleet_new(&options);
    struct scale_fault_options fault = {.kind = kind, .repeats = repeats, .outage = SECONDS(60)};
    scale_fault_run(fleet, &fault, outcome);
    return fleet;
}

/* Every group that lost its primary gets a new one that all its owners know, in time. */
static void assert_changed(struct scale_fleet *fleet, uint32_t least)
{
    struct scale_measures *measures = scale_fleet_measures(fleet);
    g_assert_cmpuint(measures->changes_blocked, ==, 0);
    g_assert_cmpuint(measures->changes_unfinished, ==, 0);
    g_assert_cmpuint(measures->changes_uninformed, ==, 0);
    g_assert_cmpuint(measures->changes_unneeded, ==, 0);
    g_assert_cmpuint(measures->change_whole.values->len, >=, least);
    g_assert_cmpuint(scale_samples_percentile(&measures->change_whole, 1), <, CHANGE_BOUND);
    g_assert_cmpuint(measures->budget_violations, ==, 0);
    for (uint32_t group = 0; group < scale_fleet_groups(fleet); group++) {
        g_assert_cmpint(scale_fleet_primary(fleet, group), >=, 0);
    }
}

/* Daemons that start first own many groups until the others have joined, and probe each database
 * rarely. After they have handed groups over they probe the remaining ones more often. They must
 * not suspect a primary whose last probe is old only because of the earlier interval. */
static void test_handing_over_suspects_nobody(void)
{
    for (uint32_t seed = 1; seed <= 3; seed++) {
        struct scale_fleet_options options;
        scale_fleet_options_default(&options, DAEMONS, DATABASES, seed);
        options.encode = false;
        options.watch.enabled = true;
        struct scale_fleet *fleet = scale_fleet_new(&options);
        scale_fleet_run(fleet, SECONDS(30));
        g_assert_cmpuint(scale_fleet_measures(fleet)->primaries_suspected, ==, 0);
        scale_fleet_free(fleet);
    }
}

static void test_primaries_lost(void)
{
    struct scale_fault_outcome outcome;
    struct scale_fleet *fleet = run_fault(SCALE_FAULT_PRIMARY, 20, 1, 0, &outcome);
    assert_changed(fleet, 20);
    scale_fleet_free(fleet);
}

static void test_coordinator_dies_too(void)
{
    struct scale_fault_outcome outcome;
    struct scale_fleet *fleet = run_fault(SCALE_FAULT_COORDINATOR, 10, 2, 0, &outcome);
    assert_changed(fleet, 10);
    g_assert_cmpuint(fixture_count_running(fleet), <, DAEMONS);
    scale_fleet_free(fleet);
}

static void test_racks_lost(void)
{
    for (uint32_t seed = 1; seed <= 3; seed++) {
        struct scale_fault_outcome outcome;
        struct scale_fleet *fleet = run_fault(SCALE_FAULT_RACK, 3, seed, 0, &outcome);
        assert_changed(fleet, 1);
        g_assert_true(outcome.settled);
        scale_fleet_free(fleet);
    }
}

/* A switch fails for a time: primaries behind it are replaced, and return as replicas. Daemons
 * behind it must not hold those dead that only they can't reach, nor gossip that after their
 * return. */
static void test_switch_cut(void)
{
    struct scale_fault_outcome outcome;
    struct scale_fleet *fleet = run_fault(SCALE_FAULT_SWITCH, 1, 1, 0, &outcome);
    assert_changed(fleet, 1);
    g_assert_cmpuint(outcome.daemons_affected, >, 0);
    g_assert_cmpuint(outcome.affected_serving, ==, 0);
    g_assert_cmpuint(outcome.others_serving, ==, DAEMONS - outcome.daemons_affected);
    g_assert_cmpuint(outcome.others_led, ==, scale_fleet_groups(fleet));
    g_assert_true(outcome.settled);
    g_assert_cmpuint(scale_fleet_measures(fleet)->false_deaths, ==, 0);
    scale_fleet_free(fleet);
}

static void test_zone_lost(void)
{
    struct scale_fault_outcome outcome;
    struct scale_fleet *fleet = run_fault(SCALE_FAULT_ZONE, 1, 1, 0, &outcome);
    assert_changed(fleet, 1);
    scale_fleet_free(fleet);
}

/* Without the store and a majority a region must not serve by a configuration that may be outdated.
 * Its groups change no primary, because all their databases are reachable. */
static void test_region_cut(void)
{
    struct scale_fault_outcome outcome;
    struct scale_fleet *fleet = run_fault(SCALE_FAULT_REGION, 1, 1, 0, &outcome);
    g_assert_cmpuint(outcome.daemons_affected, >, 0);
    g_assert_cmpuint(outcome.affected_serving, ==, 0);
    g_assert_cmpuint(outcome.others_serving, ==, DAEMONS - outcome.daemons_affected);
    g_assert_cmpuint(outcome.others_led, ==, scale_fleet_groups(fleet) - outcome.groups_affected);
    g_assert_true(outcome.settled);
    g_assert_cmpuint(outcome.settle_time, <, SECONDS(8));
    g_assert_cmpuint(scale_fleet_measures(fleet)->changes_unneeded, ==, 0);
    scale_fleet_free(fleet);
}

/* The store answers fewer reads a second than daemons start. All daemons come into service
 * nevertheless, and those that kept running serve throughout. */
static void test_store_limits_its_rate(void)
{
    struct scale_fault_outcome outcome;
    struct scale_fleet *fleet = run_fault(SCALE_FAULT_STORE, 1, 1, 5, &outcome);
    g_assert_cmpuint(outcome.store_refused, >, 0);
    g_assert_true(outcome.settled);
    g_assert_cmpuint(scale_fleet_measures(fleet)->stops, ==, 0);
    scale_fleet_free(fleet);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/change/handing-over-suspects-nobody", test_handing_over_suspects_nobody);
    g_test_add_func("/change/primaries-lost", test_primaries_lost);
    g_test_add_func("/change/coordinator-dies-too", test_coordinator_dies_too);
    g_test_add_func("/change/racks-lost", test_racks_lost);
    g_test_add_func("/change/switch-cut", test_switch_cut);
    g_test_add_func("/change/zone-lost", test_zone_lost);
    g_test_add_func("/change/region-cut", test_region_cut);
    g_test_add_func("/change/store-limits-its-rate", test_store_limits_its_rate);
    return g_test_run();
}
