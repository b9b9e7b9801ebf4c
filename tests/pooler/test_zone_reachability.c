/* Whether a zone is stale_minority off from the others: what is asked in vain, and what else could
 * explain it. */
#include <glib.h>

#include "pooler/control/zone_reachability.h"

#define MS     NANOSECONDS_PER_MILLISECOND
#define SECOND NANOSECONDS_PER_SECOND

/* Two of three poolers are in other zones, and what is known of the store is old. */
static const zone_reachability_inputs_t stale_minority = {9, 6, SECOND};

static zone_reachability_t
contacted_at(time_ns moment)
{
    zone_reachability_t reach = {0};
    zone_reachability_note_contact(&reach, moment);
    return reach;
}

/* Asks from `first` on, one each 100 ms. */
static void
ping_without_reply(zone_reachability_t *reach, time_ns first, unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        zone_reachability_note_timeout(reach, first + i * 100 * MS);
    }
}

/* All questions in vain for more than half a second, and the store's word 2 s old. */
static void
test_cut_off(void)
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

/* The first sign of another zone ends it. */
static void
test_back(void)
{
    zone_reachability_t reach = contacted_at(10 * SECOND);
    ping_without_reply(&reach, 11 * SECOND, 6);
    zone_reachability_evaluate(&reach, &stale_minority, 12 * SECOND);
    g_assert_true(reach.partitioned);
    zone_reachability_note_contact(&reach, 13 * SECOND);
    zone_reachability_note_timeout(&reach, 12 * SECOND + 900 * MS); /* asked before */
    g_assert_true(zone_reachability_evaluate(&reach, &stale_minority, 13 * SECOND + 10 * MS));
    g_assert_false(reach.partitioned);
}

/* Two or three machines that are gone or slow are no partition. */
static void
test_few_silent(void)
{
    zone_reachability_t reach = contacted_at(10 * SECOND);
    ping_without_reply(&reach, 11 * SECOND, 3);
    zone_reachability_evaluate(&reach, &stale_minority, 12 * SECOND);
    g_assert_false(reach.partitioned);
}

/* Four that refuse at once, as a fleet that restarts does, are not yet one. */
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

/* While the store's word comes, others may be lost: this zone serves. */
static void
test_store_is_heard(void)
{
    zone_reachability_t reach = contacted_at(10 * SECOND);
    const zone_reachability_inputs_t view = {9, 6, 12 * SECOND};
    ping_without_reply(&reach, 11 * SECOND, 20);
    zone_reachability_evaluate(&reach, &view, 13 * SECOND);
    g_assert_false(reach.partitioned);
}

/* The greater part of a fleet goes on, and so does half of it: the other half may know no more. */
static void
test_most_are_here(void)
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

/* A process that starts in a zone that is stale_minority off: its neighbours told it the fleet, and
 * what they knew of the store is old. After the loss of all the store itself is heard first. */
static void
test_start(void)
{
    zone_reachability_t reach = {0};
    const zone_reachability_inputs_t fresh = {9, 6, 20 * SECOND};
    g_assert_true(zone_reachability_needs_ping(&reach, 20 * SECOND));
    zone_reachability_evaluate(&reach, &fresh, 20 * SECOND + 100 * MS);
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
    g_test_add_func("/zone-reachability/cut-off", test_cut_off);
    g_test_add_func("/zone-reachability/back", test_back);
    g_test_add_func("/zone-reachability/few-silent", test_few_silent);
    g_test_add_func("/zone-reachability/refused-at-once", test_refused_at_once);
    g_test_add_func("/zone-reachability/store-is-heard", test_store_is_heard);
    g_test_add_func("/zone-reachability/most-are-here", test_most_are_here);
    g_test_add_func("/zone-reachability/start", test_start);
    return g_test_run();
}
