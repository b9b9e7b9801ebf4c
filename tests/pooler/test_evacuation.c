/**
 * @file
 * @brief Evacuation of zones: which databases take no new work, and from when on nothing is sent to
 * them.
 */
#include "control_fixture.h"

#define BOUND_NS (5000 * MS)

typedef struct fixture {
    struct pooler_settings settings;
    struct control *control;
} fixture_t;

static void
set_up(fixture_t *fixture, gconstpointer unused)
{
    fixture->settings.store.heartbeat_ms = 1200;
    fixture->settings.store.evacuate_ms = BOUND_NS / MS;
    fixture->control = control_fixture_new(&fixture->settings);
}

static void
tear_down(fixture_t *fixture, gconstpointer unused)
{
    control_fixture_free(fixture->control);
}

/* Applies the operator's row, or its deletion, as the store reports it. */
static void
put_request(fixture_t *fixture, const char *key, uint64_t version, bool present)
{
    g_autoptr(GBytes) value = present ? g_bytes_new_static("{}", 2) : NULL;
    control_take_row(fixture->control, STORE_TABLE_CONFIGURATION, key, version, value);
}

static evacuation_phase_t
phase(const fixture_t *fixture, const char *zone, time_ns now)
{
    return evacuations_phase(&fixture->control->evacuations, zone, now);
}

/* New work stops at once, and all work within the bound. Other zones are not affected, nor do keys
 * that are no evacuation have an effect. */
static void
test_phases(fixture_t *fixture, gconstpointer unused)
{
    time_ns before = backend_now();
    g_assert_cmpint((int)phase(fixture, "z1", before), ==, (int)EVACUATION_NONE);
    put_request(fixture, "evacuate/z1", 5, true);
    g_assert_true(fixture->control->view_dirty);
    time_ns now = backend_now();
    g_assert_cmpint((int)phase(fixture, "z1", now), ==, (int)EVACUATION_DRAINING);
    g_assert_cmpint((int)phase(fixture, "z1", before + BOUND_NS), ==, (int)EVACUATION_CLOSED);
    g_assert_cmpint((int)phase(fixture, "z1", now + BOUND_NS * 100), ==, (int)EVACUATION_CLOSED);
    g_assert_cmpint((int)phase(fixture, "z2", now + BOUND_NS), ==, (int)EVACUATION_NONE);
    put_request(fixture, "evacuate/", 6, true);
    put_request(fixture, "evacuated/z2", 7, true);
    g_assert_cmpint((int)phase(fixture, "z2", now + BOUND_NS), ==, (int)EVACUATION_NONE);
}

/* A zone takes work again some time after its request was withdrawn. A request within this time
 * continues the evacuation, and a later one starts a new evacuation. */
static void
test_withdrawn(fixture_t *fixture, gconstpointer unused)
{
    evacuations_t *evacuations = &fixture->control->evacuations;
    time_ns at = 100 * NANOSECONDS_PER_SECOND;
    g_assert_true(evacuations_set(evacuations, "z1", true, at));
    g_assert_false(evacuations_set(evacuations, "z1", true, at + MS));
    at += BOUND_NS;
    g_assert_true(evacuations_set(evacuations, "z1", false, at));
    g_assert_false(evacuations_set(evacuations, "z1", false, at + MS));
    g_assert_cmpint((int)phase(fixture, "z1", at + 1000 * MS), ==, (int)EVACUATION_CLOSED);
    g_assert_true(evacuations_set(evacuations, "z1", true, at + 1100 * MS));
    g_assert_cmpint((int)phase(fixture, "z1", at + 1200 * MS), ==, (int)EVACUATION_CLOSED);
    g_assert_true(evacuations_set(evacuations, "z1", false, at + 1300 * MS));
    at += 10 * NANOSECONDS_PER_SECOND;
    g_assert_cmpint((int)phase(fixture, "z1", at), ==, (int)EVACUATION_NONE);
    g_assert_true(evacuations_set(evacuations, "z1", true, at));
    g_assert_cmpint((int)phase(fixture, "z1", at), ==, (int)EVACUATION_DRAINING);
}

/* A restored store may not have the request until the operator writes it again: the zone stays
 * evacuated meanwhile. */
static void
test_restored(fixture_t *fixture, gconstpointer unused)
{
    put_request(fixture, "evacuate/z1", 5, true);
    struct feed *feed = &fixture->control->feeds[STORE_TABLE_CONFIGURATION];
    feed->version = 6;
    control_rows_drop_earlier(feed, store_version(1, 4));
    feed->version = store_version(1, 4);
    g_assert_cmpint((int)phase(fixture, "z1", backend_now()), ==, (int)EVACUATION_DRAINING);
    put_request(fixture, "evacuate/z1", store_version(1, 5), true);
    g_assert_cmpint((int)phase(fixture, "z1", backend_now() + BOUND_NS), ==,
                    (int)EVACUATION_CLOSED);
}

/* A database in the zone takes no new work, so that another one is made the primary. One in another
 * zone does, unless it is draining. */
static void
test_databases(fixture_t *fixture, gconstpointer unused)
{
    struct directory_entry inside = {.id = "a", .zone = "z1"};
    struct directory_entry outside = {.id = "b", .zone = "z2"};
    time_ns now = backend_now();
    g_assert_true(control_takes_work(fixture->control, &inside, now));
    put_request(fixture, "evacuate/z1", 5, true);
    now = backend_now();
    g_assert_false(control_takes_work(fixture->control, &inside, now));
    g_assert_true(control_takes_work(fixture->control, &outside, now));
    put_request(fixture, "evacuate/z1", 6, false);
    now = backend_now() + 5 * NANOSECONDS_PER_SECOND;
    g_assert_true(control_takes_work(fixture->control, &inside, now));
    outside.draining = true;
    g_assert_false(control_takes_work(fixture->control, &outside, now));
}

#define ADD(name, test)                                                                            \
    g_test_add("/pooler/evacuation/" name, fixture_t, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("phases", test_phases);
    ADD("withdrawn", test_withdrawn);
    ADD("restored", test_restored);
    ADD("databases", test_databases);
    return g_test_run();
}
