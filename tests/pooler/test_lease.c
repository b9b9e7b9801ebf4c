/**
 * @file
 * @brief When the coordinator hands its lease over, and to which pooler; the lease row; and when a
 * free lease is taken.
 */
#include "pooler/control/control_internal.h"

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
    fixture->control.lease.renewed_at = fixture->now;
}

/* The store may not answer, or refuse each call at once. In both cases the renewal is overdue. */
static void
test_renewal_overdue(fixture_t *fixture, gconstpointer unused)
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

/* A stronger machine is preferred to a more recent answer of the store: the coordinator processes
 * the heartbeats of all poolers. */
static void
test_preferred_successor(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_peer strong = peer(500, 300);
    struct pooler_peer weak = peer(120, 10);
    struct pooler_peer recent = peer(500, 20);
    strong.contact.last_heartbeat_at = weak.contact.last_heartbeat_at =
        recent.contact.last_heartbeat_at = fixture->now;
    g_assert_true(control_coordinator_prefers(&strong, NULL, fixture->now));
    g_assert_true(control_coordinator_prefers(&strong, &weak, fixture->now));
    g_assert_false(control_coordinator_prefers(&weak, &strong, fixture->now));
    g_assert_true(control_coordinator_prefers(&recent, &strong, fixture->now));
}

/* Adds poolers to the fleet until it has `count`. */
static void
add_members(struct control *control, unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        uint32_t spread = i * 2654435761U; /* compresses no better than real addresses */
        g_autofree char *address = g_strdup_printf("10.%u.%u.%u:7440", spread >> 24,
                                                   spread >> 16 & 255, spread >> 8 & 255);
        fleet_join(control->fleet, address, "zone-1", 1, 120, i + 1);
    }
}

/* Number of poolers in the lease row. */
static size_t
count_members_in_row(const struct control *control)
{
    struct lease_record record = {.holder = g_strdup("front-1"), .address = g_strdup("10.0.0.1:1")};
    struct lease_record read = {0};
    g_autoptr(GError) error = NULL;
    GByteArray *bytes = control_lease_encode(control, &record);
    g_assert_cmpuint(bytes->len * 4 / 3, <, 65536); /* limit of the store, in base64 */
    g_assert_true(control_lease_decode(bytes->data, bytes->len, &read, &error));
    g_assert_cmpstr(read.holder, ==, "front-1");
    size_t count = read.fleet.members_count;
    lease_record_clear(&read);
    lease_record_clear(&record);
    g_byte_array_unref(bytes);
    return count;
}

/* The store limits the size of rows: the fleet must not make the lease row too large. */
static void
test_row_size(fixture_t *fixture, gconstpointer unused)
{
    struct control *control = &fixture->control;
    control->fleet = fleet_new();
    add_members(control, 30);
    g_assert_cmpuint(count_members_in_row(control), ==, 30);
    add_members(control, 300);
    g_assert_cmpuint(count_members_in_row(control), ==, 300);
    add_members(control, 1000);
    g_assert_cmpuint(count_members_in_row(control), ==, 1000);
    add_members(control, 2000);
    g_assert_cmpuint(count_members_in_row(control), ==, 2000);
    add_members(control, 8000);
    g_assert_cmpuint(count_members_in_row(control), ==, 0);
    fleet_free(control->fleet);
}

/* A weak machine waits before it takes a free lease, each time it becomes free, so that a stronger
 * one can take it. */
static void
test_weak_machine_defers(fixture_t *fixture, gconstpointer unused)
{
    struct control *control = &fixture->control;
    time_ns now = fixture->now;
    control->fleet = fleet_new();
    control->workers_count = 1;
    fixture->settings.pooler.cpu_share = 0.12;
    g_assert_false(control_lease_defers(control, true, now)); /* no other pooler is known */
    fleet_join(control->fleet, "10.0.0.1:7440", "zone-1", 1, 120, 1);
    g_assert_false(control_lease_defers(control, true, now));
    fleet_join(control->fleet, "10.0.0.2:7440", "zone-1", 1, 500, 2);
    g_assert_false(control_lease_defers(control, false, now));
    g_assert_true(control_lease_defers(control, true, now));
    g_assert_true(control_lease_defers(control, true, now + 300 * MS));
    g_assert_false(control_lease_defers(control, true, now + 500 * MS));
    g_assert_false(control_lease_defers(control, false, now + 600 * MS));
    g_assert_true(control_lease_defers(control, true, now + 5000 * MS));
    fixture->settings.pooler.cpu_share = 0.5;
    g_assert_false(control_lease_defers(control, true, now + 5000 * MS));
    fleet_free(control->fleet);
}

#define ADD(name, test) g_test_add("/pooler/lease/" name, fixture_t, NULL, set_up, test, NULL)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("renewal-overdue", test_renewal_overdue);
    ADD("preferred-successor", test_preferred_successor);
    ADD("row-size", test_row_size);
    ADD("weak-machine-defers", test_weak_machine_defers);
    return g_test_run();
}
