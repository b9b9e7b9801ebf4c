/* Whether a zone counts as partitioned from the others: pings without a response, and other
 * explanations of them. */
#include <glib.h>

#include "pooler/control/zone_reachability.h"

#define MS     NANOSECONDS_PER_MILLISECOND
#define SECOND NANOSECONDS_PER_SECOND

/* Inputs of a zone with a third of the fleet, while what is known of the store is old. */
static const zone_reachability_inputs_t stale_minority = {9, 6, SECOND};

static zone_reachability_t
contacted_at(time_ns moment)
{
    zone_reachability_t reach = {0};
    zone_reachability_note_contact(&reach, moment);
    return reach;
}

/* Reports pings without a response, sent every 100 ms from `first` on. */
static void
ping_without_reply(zone_reachability_t *reach, time_ns first, unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        zone_reachability_note_timeout(reach, first + i * 100 * MS);
    }
}

/* No ping was answered for more than half a second, and what is known of the store is 2 s old. */
static void
test_partitioned(void)
{
    zone_reachability_t reach = contacted_at(10 * SECOND);
    g_assert_false(zone_reachability_needs_ping(&reach, 10 * SECOND + 400 * MS));
    g_assert_true(zone_reachability_needs_ping(&reach, 10 * SECOND + 500 * MS));
    ping_without_reply(&reach, 10 * SECOND + 500 * MS, 6);
    g_assert_false(zone_reachability_evaluate(&reach, &stale_minority, 11 * SECOND));
    g_assert_true(zone_reachability_evaluate(&reach, &stale_minority, 11 * SECOND + 100 * MS));
    g_assert_true(reach.partitioned);
    g_assert_false(zone_reachability_evaluate(&reach, &stale_minority, 12 * SECOND));
    g_assert_true(reach.partitioned);
}

/* The first message from another zone ends the partition. */
static void
test_partition_ends(void)
{
    zone_reachability_t reach = contacted_at(10 * SECOND);
    ping_without_reply(&reach, 11 * SECOND, 6);
    zone_reachability_evaluate(&reach, &stale_minority, 12 * SECOND);
    g_assert_true(reach.partitioned);
    zone_reachability_note_contact(&reach, 13 * SECOND);
    zone_reachability_note_timeout(&reach, 12 * SECOND + 900 * MS); /* sent before the message */
    g_assert_true(zone_reachability_evaluate(&reach, &stale_minority, 13 * SECOND + 10 * MS));
    g_assert_false(reach.partitioned);
}

/* Two or three machines that have failed or are slow are no partition. */
static void
test_few_timeouts(void)
{
    zone_reachability_t reach = contacted_at(10 * SECOND);
    ping_without_reply(&reach, 11 * SECOND, 3);
    zone_reachability_evaluate(&reach, &stale_minority, 12 * SECOND);
    g_assert_false(reach.partitioned);
}

/* Refusals by four poolers at once, as when a fleet restarts, are no partition yet. */
static void
test_refused_at_once(void)
{
    zone_reachability_t reach = contacted_at(10 * SECOND);
    for (unsigned i = 0; i < 8; i++) {
        zone_reachability_note_timeout(&reach, 11 * SECOND);
    }
    zone_reachability_evaluate(&reach, &stale_minority, 11 * SECOND + 100 * MS);
    g_assert_false(reach.partitioned);
}

/* While the store's rows are recent, the other zones may have failed: this zone serves. */
static void
test_store_recent(void)
{
    zone_reachability_t reach = contacted_at(10 * SECOND);
    const zone_reachability_inputs_t inputs = {9, 6, 12 * SECOND};
    ping_without_reply(&reach, 11 * SECOND, 20);
    zone_reachability_evaluate(&reach, &inputs, 13 * SECOND);
    g_assert_false(reach.partitioned);
}

/* The larger part of a fleet keeps serving, and so does one half: the other half may have no more
 * information. */
static void
test_majority_here(void)
{
    zone_reachability_t reach = contacted_at(10 * SECOND);
    const zone_reachability_inputs_t half = {8, 4, SECOND};
    const zone_reachability_inputs_t alone = {3, 0, SECOND};
    ping_without_reply(&reach, 11 * SECOND, 20);
    zone_reachability_evaluate(&reach, &half, 13 * SECOND);
    g_assert_false(reach.partitioned);
    zone_reachability_evaluate(&reach, &alone, 13 * SECOND);
    g_assert_false(reach.partitioned);
}

/* A process starts in a partitioned zone: its neighbours sent it the fleet, and their rows of the
 * store are old. After the loss of all poolers, the store itself answers first. */
static void
test_start(void)
{
    zone_reachability_t reach = {0};
    const zone_reachability_inputs_t recent = {9, 6, 20 * SECOND};
    g_assert_true(zone_reachability_needs_ping(&reach, 20 * SECOND));
    zone_reachability_evaluate(&reach, &recent, 20 * SECOND + 100 * MS);
    g_assert_false(reach.partitioned);
    zone_reachability_evaluate(&reach, &stale_minority, 20 * SECOND + 100 * MS);
    g_assert_true(reach.partitioned);
    zone_reachability_note_contact(&reach, 20 * SECOND + 150 * MS);
    zone_reachability_evaluate(&reach, &stale_minority, 20 * SECOND + 160 * MS);
    g_assert_false(reach.partitioned);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/zone-reachability/partitioned", test_partitioned);
    g_test_add_func("/zone-reachability/partition-ends", test_partition_ends);
    g_test_add_func("/zone-reachability/few-timeouts", test_few_timeouts);
    g_test_add_func("/zone-reachability/refused-at-once", test_refused_at_once);
    g_test_add_func("/zone-reachability/store-recent", test_store_recent);
    g_test_add_func("/zone-reachability/majority-here", test_majority_here);
    g_test_add_func("/zone-reachability/start", test_start);
    return g_test_run();
}
