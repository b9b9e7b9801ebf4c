/**
 * @file
 * @brief Choice of a database by cost: under uneven load, across zones, with connections still to
 * be opened, and with replicas that have not yet applied the required position.
 */
#include "pooler/routing/placement.h"

#include <glib.h>

/* While a database in this zone has free slots, and even with some more statements than slots, it
 * costs less than an equal database at a round-trip time of 2 ms without an open connection. */
static void
test_free_slots_are_used_before_another_zone(void)
{
    place_t local = {.rtt_ms = 0.3, .service_ms = 9, .running = 2, .slots = 4};
    place_t remote = {.rtt_ms = 2, .service_ms = 9, .opening_ms = 14, .slots = 4};
    g_assert_cmpfloat(placement_cost_ms(&local), <, placement_cost_ms(&remote));
    local.running = 8;
    g_assert_cmpfloat(placement_cost_ms(&local), <, placement_cost_ms(&remote));
    local.running = 16;
    g_assert_cmpfloat(placement_cost_ms(&local), >, placement_cost_ms(&remote));
}

/* If the averages of two lightly loaded databases differ by no more than those of equal databases
 * do by chance, the one in this zone is chosen. */
static void
test_noise_does_not_change_the_zone(void)
{
    place_t local = {.rtt_ms = 0.3, .service_ms = 12, .running = 1, .slots = 4};
    place_t remote = {.rtt_ms = 2, .service_ms = 9, .slots = 4, .other_zone = true};
    g_assert_cmpfloat(placement_cost_ms(&local), <, placement_cost_ms(&remote));
    local.service_ms = 25;
    g_assert_cmpfloat(placement_cost_ms(&local), >, placement_cost_ms(&remote));
}

/* An idle connection to another zone is preferred to opening one in this zone. */
static void
test_opening_costs_more_than_another_zone(void)
{
    place_t local = {.rtt_ms = 0.3, .service_ms = 9, .opening_ms = 14, .slots = 4};
    place_t remote = {.rtt_ms = 2, .service_ms = 9, .slots = 4};
    g_assert_cmpfloat(placement_cost_ms(&local), >, placement_cost_ms(&remote));
}

/* A read waits 100 ms for a replica with a service time of 45 ms if the overloaded primary takes
 * 400 ms. It goes to a primary that takes 45 ms at once. */
static void
test_waiting_for_a_replica_beats_an_overloaded_primary(void)
{
    place_t replica = {.rtt_ms = 1, .service_ms = 45, .fresh_in_ms = 100, .slots = 6};
    place_t primary = {
        .rtt_ms = 1, .service_ms = 400, .slots = 6, .is_primary = true, .primary_only_share = 0.5};
    g_assert_cmpfloat(placement_cost_ms(&replica), <, placement_cost_ms(&primary));
    primary.service_ms = 45;
    g_assert_cmpfloat(placement_cost_ms(&replica), >, placement_cost_ms(&primary));
}

/* At equal load a read goes to a replica, to keep the primary free for statements that only it can
 * run, until the replica is much busier. */
static void
test_reads_prefer_replicas(void)
{
    place_t replica = {.rtt_ms = 0.5, .service_ms = 15, .running = 1, .slots = 4};
    place_t primary = {
        .rtt_ms = 0.5, .service_ms = 15, .slots = 4, .is_primary = true, .primary_only_share = 0.4};
    g_assert_cmpfloat(placement_cost_ms(&replica), <, placement_cost_ms(&primary));
    replica.running = 9;
    g_assert_cmpfloat(placement_cost_ms(&replica), >, placement_cost_ms(&primary));
}

/* The average of a slow database decays while it is unused, so that it is tried again after some
 * seconds. */
static void
test_average_decays(void)
{
    double slow = placement_decayed_ms(90, 10, 0);
    double later = placement_decayed_ms(90, 10, 10 * NANOSECONDS_PER_SECOND);
    g_assert_cmpfloat(slow, ==, 90);
    g_assert_cmpfloat(later, <, 25);
    g_assert_cmpfloat(later, >, 10);
}

/* The round-trip time follows lower samples within a few openings and hardly follows a higher one.
 */
static void
test_rtt(void)
{
    double rtt = placement_update_rtt(0, 5);
    g_assert_cmpfloat(rtt, ==, 5);
    for (unsigned i = 0; i < 8; i++) {
        rtt = placement_update_rtt(rtt, 1);
    }
    g_assert_cmpfloat(rtt, <, 1.1);
    rtt = placement_update_rtt(rtt, 20);
    g_assert_cmpfloat(rtt, <, 2.1);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pooler/placement/free_slots", test_free_slots_are_used_before_another_zone);
    g_test_add_func("/pooler/placement/noise", test_noise_does_not_change_the_zone);
    g_test_add_func("/pooler/placement/opening", test_opening_costs_more_than_another_zone);
    g_test_add_func("/pooler/placement/fresh_soon",
                    test_waiting_for_a_replica_beats_an_overloaded_primary);
    g_test_add_func("/pooler/placement/primary", test_reads_prefer_replicas);
    g_test_add_func("/pooler/placement/decay", test_average_decays);
    g_test_add_func("/pooler/placement/rtt", test_rtt);
    return g_test_run();
}
