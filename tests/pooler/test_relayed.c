/**
 * @file
 * @brief Validity of relayed state.
 *
 * Guards against a pooler that serves by an old configuration for as long as its connection to the
 * coordinator lasts, which happened to four of eight poolers after the loss of all. The store had
 * lost its history just as the poolers received valid relayed state. They had reset the known
 * versions of their tables, did not read them again, and got no rows either, as the coordinator
 * counted earlier rows as sent and not confirmed. Each message still stated a recent age, which
 * alone made the state valid. The same follows from a late message, or from one that leaves out
 * rows that the receiver is missing. `history-gone` reproduces this without processes;
 * `tests/soak/soak.py --seed 1 --seconds 70 --faults=incident` does with processes.
 */
#include "control_fixture.h"
#include "standins/session_platform/row_store.h"

#include <string.h>

/* Time within which a configuration must be in force, and the interval of heartbeats. */
#define BOUND_NS     (3000 * MS)
#define HEARTBEAT_NS (250 * MS)

typedef struct fixture {
    struct control *coordinator;
    struct control *member;
    struct pooler_settings settings;
    struct pooler_peer pooler; /* the member, as the coordinator sees it */
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

/* The coordinator reads a row from the store, which has no other changes. */
static void
add_row(fixture_t *fixture, uint64_t version)
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
prove_current(fixture_t *fixture)
{
    control_feed_prove(&fixture->coordinator->feeds[STORE_TABLE_CONFIGURATION], fixture->now);
    control_feed_prove(&fixture->coordinator->feeds[STORE_TABLE_DIRECTORY], fixture->now);
}

/* One heartbeat of the member, and the grant that answers it. */
static void
exchange(fixture_t *fixture)
{
    struct pooler_relay offer;
    struct pooler_grant grant;
    time_ns requested_at = fixture->now + HEARTBEAT_NS;
    fixture->now = requested_at + 1;
    prove_current(fixture);
    pooler_relay_init(&offer);
    control_relay_fill_offer(fixture->member, fixture->now, &offer);
    struct pooler_peer *pooler = &fixture->pooler;
    pooler->confirmed = (row_versions_t){offer.configuration_row, offer.directory_row};
    pooler->known.configuration = MAX(pooler->known.configuration, offer.configuration_row);
    pooler->known.directory = MAX(pooler->known.directory, offer.directory_row);
    pooler_grant_init(&grant);
    control_relay_fill_pooler(fixture->coordinator, pooler, fixture->now, &grant.relay);
    control_relay_take(fixture->member, &grant.relay);
    control_relayed_accept(fixture->member, &grant.relay, requested_at);
    pooler_relay_clear(&offer);
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
has_open_call(const struct control *control)
{
    return control->feeds[STORE_TABLE_CONFIGURATION].calling ||
           control->feeds[STORE_TABLE_DIRECTORY].calling;
}

/* Runs until the store has answered all calls of the member. */
static void
finish_calls(fixture_t *fixture)
{
    while (has_open_call(fixture->member)) {
        event_base_loop(fixture->base, EVLOOP_ONCE);
    }
}

/* The store loses its history while the member has a call open, and the member gets valid relayed
 * state meanwhile. Later rows of the coordinator must still reach the member, even if the store
 * refuses the member from then on. */
static void
test_history_gone(fixture_t *fixture, gconstpointer unused)
{
    add_row(fixture, 4);
    exchange(fixture);
    exchange(fixture);
    g_assert_cmpuint(version_of(fixture->member), ==, 4);
    row_store_set_faults(fixture->store, &(struct row_store_faults){.no_history = true});
    fixture->now += BOUND_NS; /* the relayed state has expired */
    control_feeds_tick(fixture->member, fixture->now);
    g_assert_true(has_open_call(fixture->member));
    exchange(fixture);
    finish_calls(fixture);
    row_store_set_faults(fixture->store, &(struct row_store_faults){.refuse = true});
    for (uint64_t version = 9; version <= 12; version++) {
        add_row(fixture, version);
        for (unsigned i = 0; i < BOUND_NS / HEARTBEAT_NS; i++) {
            exchange(fixture);
            control_feeds_tick(fixture->member, fixture->now);
            finish_calls(fixture);
        }
        g_assert_cmpuint(version_of(fixture->member), ==, version);
    }
}

/* Rows are lost while messages without rows arrive: the member reads the store within the bound. */
static void
test_missing_rows(fixture_t *fixture, gconstpointer unused)
{
    add_row(fixture, 4);
    exchange(fixture);
    exchange(fixture);
    add_row(fixture, 9);
    fixture->pooler.known = (row_versions_t){9, 9}; /* the coordinator counts them as sent */
    for (time_ns passed = 0; passed < BOUND_NS * 3 / 4; passed += HEARTBEAT_NS) {
        exchange(fixture);
        fixture->pooler.known = (row_versions_t){9, 9};
    }
    g_assert_cmpuint(version_of(fixture->member), ==, 4);
    g_assert_true(
        control_relayed_needs_store(fixture->member, STORE_TABLE_CONFIGURATION, fixture->now));
}

/* If the store no longer answers the coordinator, the member reads the store itself before the
 * bound, however many messages the coordinator sends. */
static void
test_coordinator_without_store(fixture_t *fixture, gconstpointer unused)
{
    add_row(fixture, 4);
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

/* The age of a late message, or of one that waited in the buffer of a stopped process, counts from
 * the time of the request, not of the receipt. */
static void
test_late_message(fixture_t *fixture, gconstpointer unused)
{
    struct pooler_grant grant;
    add_row(fixture, 4);
    exchange(fixture);
    exchange(fixture);
    time_ns requested_at = fixture->now;
    prove_current(fixture);
    pooler_grant_init(&grant);
    control_relay_fill_pooler(fixture->coordinator, &fixture->pooler, fixture->now, &grant.relay);
    fixture->now += BOUND_NS;
    control_relay_take(fixture->member, &grant.relay);
    control_relayed_accept(fixture->member, &grant.relay, requested_at);
    g_assert_true(
        control_relayed_needs_store(fixture->member, STORE_TABLE_CONFIGURATION, fixture->now));
    control_relayed_accept(fixture->member, &grant.relay,
                           0); /* not requested, so its age is unknown */
    g_assert_true(
        control_relayed_needs_store(fixture->member, STORE_TABLE_CONFIGURATION, fixture->now));
    pooler_grant_clear(&grant);
}

/* With a healthy coordinator, relayed state stays valid without interruption. */
static void
test_healthy_coordinator(fixture_t *fixture, gconstpointer unused)
{
    for (uint64_t version = 4; version < 40; version++) {
        add_row(fixture, version);
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
    ADD("history-gone", test_history_gone);
    ADD("missing-rows", test_missing_rows);
    ADD("coordinator-without-store", test_coordinator_without_store);
    ADD("late-message", test_late_message);
    ADD("healthy-coordinator", test_healthy_coordinator);
    return g_test_run();
}
