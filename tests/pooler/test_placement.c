/**
 * @file
 * @brief Which of a group's databases a read goes to: under uneven load, across zones, over
 * connections still to be opened, and to replicas that have not yet applied what it must see.
 */
#include "pooler/routing/placement.h"

#include <glib.h>

/* Two of four slots in use near, and the same database in another zone, 2 ms away: the third
 * statement stays near. */
static void
test_free_slots_near_are_used_before_another_zone(void)
{
    place_t near = {.rtt_ms = 0.3, .service_ms = 9, .running = 2, .slots = 4};
    place_t far = {.rtt_ms = 2, .service_ms = 9, .opening_ms = 14, .slots = 4};
    g_assert_cmpfloat(placement_cost_ms(&near), <, placement_cost_ms(&far));
    near.running = 8;
    g_assert_cmpfloat(placement_cost_ms(&near), <, placement_cost_ms(&far));
    near.running = 16;
    g_assert_cmpfloat(placement_cost_ms(&near), >, placement_cost_ms(&far));
}

/* Two databases at rest whose averages differ as those of equal ones do: the near one is taken. */
static void
test_noise_is_no_reason_to_leave_the_zone(void)
{
    place_t near = {.rtt_ms = 0.3, .service_ms = 12, .running = 1, .slots = 4};
    place_t far = {.rtt_ms = 2, .service_ms = 9, .slots = 4, .other_zone = true};
    g_assert_cmpfloat(placement_cost_ms(&near), <, placement_cost_ms(&far));
    near.service_ms = 25;
    g_assert_cmpfloat(placement_cost_ms(&near), >, placement_cost_ms(&far));
}

/* An idle connection in another zone comes before one that is still to be opened near. */
static void
test_an_opening_costs_more_than_the_way(void)
{
    place_t near = {.rtt_ms = 0.3, .service_ms = 9, .opening_ms = 14, .slots = 4};
    place_t far = {.rtt_ms = 2, .service_ms = 9, .slots = 4};
    g_assert_cmpfloat(placement_cost_ms(&near), >, placement_cost_ms(&far));
}

/* Replicas of 45 ms, 150 ms behind; a hot primary takes 400 ms: the read waits for a replica. At a
 * primary at rest it goes there at once. */
static void
test_a_replica_fresh_soon_beats_a_hot_primary(void)
{
    place_t replica = {.rtt_ms = 1, .service_ms = 45, .fresh_in_ms = 100, .slots = 6};
    place_t primary = {
        .rtt_ms = 1, .service_ms = 400, .slots = 6, .is_primary = true, .primary_only_share = 0.5};
    g_assert_cmpfloat(placement_cost_ms(&replica), <, placement_cost_ms(&primary));
    primary.service_ms = 45;
    g_assert_cmpfloat(placement_cost_ms(&replica), >, placement_cost_ms(&primary));
}

/* Among equals a read leaves the primary to what only it can run, until replicas are busier. */
static void
test_the_primary_is_left_to_writes(void)
{
    place_t replica = {.rtt_ms = 0.5, .service_ms = 15, .running = 1, .slots = 4};
    place_t primary = {
        .rtt_ms = 0.5, .service_ms = 15, .slots = 4, .is_primary = true, .primary_only_share = 0.4};
    g_assert_cmpfloat(placement_cost_ms(&replica), <, placement_cost_ms(&primary));
    replica.running = 9;
    g_assert_cmpfloat(placement_cost_ms(&replica), >, placement_cost_ms(&primary));
}

/* A slow database is tried again seconds after it was left out. */
static void
test_a_slow_spell_fades(void)
{
    double slow = placement_decayed_ms(90, 10, 0);
    double later = placement_decayed_ms(90, 10, 10 * NANOSECONDS_PER_SECOND);
    g_assert_cmpfloat(slow, ==, 90);
    g_assert_cmpfloat(later, <, 25);
    g_assert_cmpfloat(later, >, 10);
}

/* The way is the least that was seen, and follows a change of it within some openings. */
static void
test_way(void)
{
    double way = placement_update_rtt(0, 5);
    g_assert_cmpfloat(way, ==, 5);
    for (unsigned i = 0; i < 8; i++) {
        way = placement_update_rtt(way, 1);
    }
    g_assert_cmpfloat(way, <, 1.1);
    way = placement_update_rtt(way, 20);
    g_assert_cmpfloat(way, <, 2.1);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pooler/placement/free_slots",
                    test_free_slots_near_are_used_before_another_zone);
    g_test_add_func("/pooler/placement/noise", test_noise_is_no_reason_to_leave_the_zone);
    g_test_add_func("/pooler/placement/opening", test_an_opening_costs_more_than_the_way);
    g_test_add_func("/pooler/placement/fresh_soon", test_a_replica_fresh_soon_beats_a_hot_primary);
    g_test_add_func("/pooler/placement/primary", test_the_primary_is_left_to_writes);
    g_test_add_func("/pooler/placement/fades", test_a_slow_spell_fades);
    g_test_add_func("/pooler/placement/way", test_way);
    return g_test_run();
}
