/**
 * @file
 * @brief How far a pooler relies on what another one tells it of the store.
 *
 * Seen on real processes: after the loss of all poolers, four of eight served by an old
 * configuration for as long as their connection to the coordinator lasted, to the run's end. The
 * store had forgotten its history just as they were told that they need not ask it any more. So
 * they had dropped what they knew of the tables' versions, read nothing anew, and were sent no rows
 * either: the coordinator took its earlier ones to be on their way. Each message still said that it
 * knew the store as of now, and that was enough to be relied on. The same follows from any message
 * that is late, or that leaves out what the receiver lacks. `forgotten-history` is that course;
 * `tests/soak/soak.py --seed 1 --seconds 70 --faults=incident` showed it on processes.
 */
#include "control_fixture.h"
#include "standins/session_platform/row_store.h"

#include <string.h>

/* Within which a configuration must be in force, and a heartbeat's interval. */
#define BOUND_NS     (3000 * MS)
#define HEARTBEAT_NS (250 * MS)

typedef struct fixture {
    struct control *coordinator;
    struct control *member;
    struct pooler_settings settings;
    struct pooler_peer pooler; /* the member, as the coordinator knows it */
    struct row_store *store;
    struct event_base *base;
    time_ns now;
} fixture_t;

static struct control *
control_new(fixture_t *fixture)
{
    struct control *control = control_fixture_new(&fixture->settings);
    control_fixture_use_store(control, fixture->base, row_store_port(fixture->store));
    return control;
}

static bool
refuse_promotion(void *user, const char *service, const char *database)
{
    return false;
}

static void
set_up(fixture_t *fixture, gconstpointer unused)
{
    fixture->settings.pooler.link_mbps = 1000;
    fixture->settings.store.heartbeat_ms = 1200;
    fixture->settings.store.apply_ms = BOUND_NS / MS;
    fixture->settings.store.reads_per_s = 2000;
    fixture->base = event_base_new();
    fixture->store = row_store_start(refuse_promotion, NULL);
    fixture->coordinator = control_new(fixture);
    fixture->member = control_new(fixture);
    fixture->now = backend_now();
}

static void
tear_down(fixture_t *fixture, gconstpointer unused)
{
    control_fixture_free(fixture->coordinator);
    control_fixture_free(fixture->member);
    row_store_stop(fixture->store);
    event_base_free(fixture->base);
}

/* The coordinator learns a row from the store, and that this is all so far. */
static void
learn(fixture_t *fixture, uint64_t version)
{
    struct control *coordinator = fixture->coordinator;
    g_autofree char *text = g_strdup_printf("value %" G_GUINT64_FORMAT, version);
    g_autoptr(GBytes) value = g_bytes_new(text, strlen(text));
    control_take_row(coordinator, STORE_TABLE_CONFIGURATION, "row", version, value);
    coordinator->feeds[STORE_TABLE_CONFIGURATION].version = version;
    coordinator->feeds[STORE_TABLE_DIRECTORY].version = version;
}

/* The store has answered the coordinator just now. */
static void
refresh(fixture_t *fixture)
{
    control_feed_prove(&fixture->coordinator->feeds[STORE_TABLE_CONFIGURATION], fixture->now);
    control_feed_prove(&fixture->coordinator->feeds[STORE_TABLE_DIRECTORY], fixture->now);
}

/* One heartbeat of the member, and the grant that answers it. */
static void
exchange(fixture_t *fixture)
{
    struct pooler_relay told;
    struct pooler_grant grant;
    time_ns requested_at = fixture->now + HEARTBEAT_NS;
    fixture->now = requested_at + 1;
    refresh(fixture);
    pooler_relay_init(&told);
    control_relay_fill_offer(fixture->member, fixture->now, &told);
    struct pooler_peer *pooler = &fixture->pooler;
    pooler->confirmed = (row_versions_t){told.configuration_row, told.directory_row};
    pooler->known.configuration = MAX(pooler->known.configuration, told.configuration_row);
    pooler->known.directory = MAX(pooler->known.directory, told.directory_row);
    pooler_grant_init(&grant);
    control_relay_fill_pooler(fixture->coordinator, pooler, fixture->now, &grant.relay);
    control_relay_take(fixture->member, &grant.relay);
    control_relayed_accept(fixture->member, &grant.relay, requested_at);
    pooler_relay_clear(&told);
    pooler_grant_clear(&grant);
}

static uint64_t
version_of(const struct control *control)
{
    const struct known_row *row =
        g_hash_table_lookup(control->feeds[STORE_TABLE_CONFIGURATION].rows, "row");
    return row == NULL ? 0 : row->version;
}

static bool
calls(const struct control *control)
{
    return control->feeds[STORE_TABLE_CONFIGURATION].calling ||
           control->feeds[STORE_TABLE_DIRECTORY].calling;
}

/* Until the store has answered all calls of the member. */
static void
finish_calls(fixture_t *fixture)
{
    while (calls(fixture->member)) {
        event_base_loop(fixture->base, EVLOOP_ONCE);
    }
}

/* The store forgets its history while the member asks it, and the member is told meanwhile that it
 * need not ask. What the coordinator learns later reaches the member all the same, also where the
 * store refuses the member from then on. */
static void
test_forgotten_history(fixture_t *fixture, gconstpointer unused)
{
    learn(fixture, 4);
    exchange(fixture);
    exchange(fixture);
    g_assert_cmpuint(version_of(fixture->member), ==, 4);
    row_store_set_faults(fixture->store, &(struct row_store_faults){.no_history = true});
    fixture->now += BOUND_NS; /* nobody has told it anything for long */
    control_feeds_tick(fixture->member, fixture->now);
    g_assert_true(calls(fixture->member));
    exchange(fixture);
    finish_calls(fixture);
    row_store_set_faults(fixture->store, &(struct row_store_faults){.refuse = true});
    for (uint64_t version = 9; version <= 12; version++) {
        learn(fixture, version);
        for (unsigned i = 0; i < BOUND_NS / HEARTBEAT_NS; i++) {
            exchange(fixture);
            control_feeds_tick(fixture->member, fixture->now);
            finish_calls(fixture);
        }
        g_assert_cmpuint(version_of(fixture->member), ==, version);
    }
}

/* Rows that do not come while messages without rows do: the member asks the store within the
 * bound. */
static void
test_rows_that_do_not_come(fixture_t *fixture, gconstpointer unused)
{
    learn(fixture, 4);
    exchange(fixture);
    exchange(fixture);
    learn(fixture, 9);
    fixture->pooler.known = (row_versions_t){9, 9}; /* sent, as the coordinator sees it */
    for (time_ns passed = 0; passed < BOUND_NS * 3 / 4; passed += HEARTBEAT_NS) {
        exchange(fixture);
        fixture->pooler.known = (row_versions_t){9, 9};
    }
    g_assert_cmpuint(version_of(fixture->member), ==, 4);
    g_assert_true(
        control_relayed_needs_store(fixture->member, STORE_TABLE_CONFIGURATION, fixture->now));
}

/* A coordinator that the store no longer answers is left in time to ask the store before the bound,
 * however often it says something meanwhile. */
static void
test_coordinator_without_store(fixture_t *fixture, gconstpointer unused)
{
    learn(fixture, 4);
    exchange(fixture);
    exchange(fixture);
    time_ns answered = fixture->now;
    while (fixture->now < answered + BOUND_NS * 3 / 4) {
        struct pooler_grant grant;
        time_ns requested_at = fixture->now + HEARTBEAT_NS;
        fixture->now = requested_at + 1;
        pooler_grant_init(&grant);
        control_relay_fill_pooler(fixture->coordinator, &fixture->pooler, fixture->now,
                                  &grant.relay);
        control_relay_take(fixture->member, &grant.relay);
        control_relayed_accept(fixture->member, &grant.relay, requested_at);
        pooler_grant_clear(&grant);
    }
    g_assert_true(
        control_relayed_needs_store(fixture->member, STORE_TABLE_CONFIGURATION, fixture->now));
}

/* A message that was long on its way, or lay in the buffer of a process that stood still, is as old
 * as it is: counted from when it was requested_at for, not from when it came. */
static void
test_late_message(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_grant grant;
    learn(fixture, 4);
    exchange(fixture);
    exchange(fixture);
    time_ns requested_at = fixture->now;
    refresh(fixture);
    pooler_grant_init(&grant);
    control_relay_fill_pooler(fixture->coordinator, &fixture->pooler, fixture->now, &grant.relay);
    fixture->now += BOUND_NS;
    control_relay_take(fixture->member, &grant.relay);
    control_relayed_accept(fixture->member, &grant.relay, requested_at);
    g_assert_true(
        control_relayed_needs_store(fixture->member, STORE_TABLE_CONFIGURATION, fixture->now));
    control_relayed_accept(fixture->member, &grant.relay, 0); /* sent unasked: of an unknown age */
    g_assert_true(
        control_relayed_needs_store(fixture->member, STORE_TABLE_CONFIGURATION, fixture->now));
    pooler_grant_clear(&grant);
}

/* In time, a coordinator that the store answers is relied on without a gap. */
static void
test_healthy_coordinator(fixture_t *fixture, gconstpointer unused)
{
    for (uint64_t version = 4; version < 40; version++) {
        learn(fixture, version);
        exchange(fixture);
        g_assert_cmpuint(version_of(fixture->member), ==, version);
        g_assert_false(
            control_relayed_needs_store(fixture->member, STORE_TABLE_CONFIGURATION, fixture->now));
    }
}

#define ADD(name, test)                                                                            \
    g_test_add("/pooler/relayed/" name, fixture_t, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("forgotten-history", test_forgotten_history);
    ADD("rows-that-do-not-come", test_rows_that_do_not_come);
    ADD("coordinator-without-store", test_coordinator_without_store);
    ADD("late-message", test_late_message);
    ADD("healthy-coordinator", test_healthy_coordinator);
    return g_test_run();
}
