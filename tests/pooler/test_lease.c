/**
 * @file
 * @brief When the coordinator takes the store for lost to it, and whom it leaves the lease to.
 */
#include "pooler/control_internal.h"

#include <string.h>

typedef struct fixture {
    struct control control;
    struct pooler_settings settings;
    time_ns now;
} fixture_t;

static void
set_up(fixture_t *fixture, gconstpointer unused)
{
    fixture->now = 100 * NANOSECONDS_PER_SECOND;
    fixture->control.settings = &fixture->settings;
    fixture->control.lease.held = true;
    fixture->control.lease.answered_at = fixture->now;
}

/* The store may be silent, or refuse each call at once: both leave the lease to run out. */
static void
test_overdue(fixture_t *fixture, gconstpointer unused)
{
    struct control *control = &fixture->control;
    time_ns now = fixture->now;
    g_assert_false(control_lease_is_failing(control, now + 600 * MS));
    g_assert_cmpuint(control_lease_overdue(control, now + 600 * MS), ==, 0);
    control->lease.calling = true;
    control->lease.call_sent = now + 600 * MS;
    g_assert_false(control_lease_is_failing(control, now + 1200 * MS));
    g_assert_true(control_lease_is_failing(control, now + 1400 * MS));
    control->lease.calling = false; /* refused, and sent again */
    control->lease.call_sent = now + 1350 * MS;
    g_assert_true(control_lease_is_failing(control, now + 1400 * MS));
    control->lease.held = false;
    g_assert_false(control_lease_is_failing(control, now + 1400 * MS));
}

static struct pooler_peer
peer(uint32_t millicores, uint32_t store_age_ms)
{
    return (struct pooler_peer){.millicores = millicores, .store_age_ms = store_age_ms};
}

/* A strong machine goes before one that heard the store later: it will hear all the others. */
static void
test_successor(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_peer strong = peer(500, 300);
    struct pooler_peer weak = peer(120, 10);
    struct pooler_peer recent = peer(500, 20);
    strong.heard_at = weak.heard_at = recent.heard_at = fixture->now;
    g_assert_true(control_coordinator_prefers(&strong, NULL, fixture->now));
    g_assert_true(control_coordinator_prefers(&strong, &weak, fixture->now));
    g_assert_false(control_coordinator_prefers(&weak, &strong, fixture->now));
    g_assert_true(control_coordinator_prefers(&recent, &strong, fixture->now));
}

#define ADD(name, test) g_test_add("/pooler/lease/" name, fixture_t, NULL, set_up, test, NULL)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("overdue", test_overdue);
    ADD("successor", test_successor);
    return g_test_run();
}
