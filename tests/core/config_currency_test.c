/* Configuration currency: no older version is applied, no unconfirmed one is served, and the
 * sources of a fetch are tried in order. */
#include "core/config_currency.h"

#define SECONDS(n) ((n)*NANOSECONDS_PER_SECOND)

static struct configuration_mark mark(uint64_t version)
{
    return (struct configuration_mark){version, version + 100};
}

/* One daemon's currency with the actions of the last call. */
struct fixture {
    struct currency *currency;
    GArray *actions;
    struct currency_evidence evidence;
};

static void fixture_init_with(struct fixture *fixture, const struct currency_options *options)
{
    *fixture = (struct fixture){0};
    fixture->currency = currency_new(options, SECONDS(1) / 2);
    fixture->actions = g_array_new(FALSE, FALSE, sizeof(struct currency_action));
}

static void fixture_init(struct fixture *fixture)
{
    struct currency_options options;
    currency_options_default(&options);
    fixture_init_with(fixture, &options);
}

static void fixture_clear(struct fixture *fixture)
{
    currency_free(fixture->currency);
    g_array_free(fixture->actions, TRUE);
}

static bool has_action(const struct fixture *fixture, enum currency_action_kind kind)
{
    for (guint i = 0; i < fixture->actions->len; i++) {
        if (g_array_index(fixture->actions, struct currency_action, i).kind == kind) {
            return true;
        }
    }
    return false;
}

static void announce(struct fixture *fixture, uint64_t version, uint64_t holder, time_ns now)
{
    g_array_set_size(fixture->actions, 0);
    currency_announced(fixture->currency, mark(version), holder, now, fixture->actions);
}

static void fetched(struct fixture *fixture, uint64_t version, time_ns now)
{
    g_array_set_size(fixture->actions, 0);
    currency_fetched(fixture->currency, mark(version), now, fixture->actions);
}

static void tick(struct fixture *fixture, time_ns now)
{
    g_array_set_size(fixture->actions, 0);
    currency_tick(fixture->currency, &fixture->evidence, now, fixture->actions);
}

static void test_fresh_daemon_waits_for_confirmation(void)
{
    struct fixture fixture;
    fixture_init(&fixture);
    announce(&fixture, 7, 55, SECONDS(1));
    g_assert_true(has_action(&fixture, CURRENCY_ACTION_FETCH_PEER));
    fetched(&fixture, 7, SECONDS(2));
    g_assert_true(has_action(&fixture, CURRENCY_ACTION_APPLY));
    tick(&fixture, SECONDS(2));
    g_assert_false(currency_serving(fixture.currency));
    g_assert_true(has_action(&fixture, CURRENCY_ACTION_READ_HEAD));
    fixture.evidence.peers_confirmed_at = SECONDS(2);
    tick(&fixture, SECONDS(3));
    g_assert_false(currency_serving(fixture.currency));
    fixture.evidence.synced = true;
    tick(&fixture, SECONDS(3));
    g_assert_true(has_action(&fixture, CURRENCY_ACTION_SERVE));
    fixture_clear(&fixture);
}

/* Content that arrives without a request, from a publisher, in any order with announcements. */
static void test_content_without_request(void)
{
    struct fixture fixture;
    fixture_init(&fixture);
    fetched(&fixture, 3, SECONDS(1));
    g_assert_true(has_action(&fixture, CURRENCY_ACTION_APPLY));
    announce(&fixture, 5, 0, SECONDS(1));
    fetched(&fixture, 4, SECONDS(1));
    g_assert_false(has_action(&fixture, CURRENCY_ACTION_APPLY));
    fetched(&fixture, 5, SECONDS(1));
    g_assert_true(has_action(&fixture, CURRENCY_ACTION_APPLY));
    fetched(&fixture, 5, SECONDS(1));
    g_assert_false(has_action(&fixture, CURRENCY_ACTION_APPLY));
    fetched(&fixture, 6, SECONDS(1));
    g_assert_true(has_action(&fixture, CURRENCY_ACTION_APPLY));
    announce(&fixture, 5, 77, SECONDS(1));
    fetched(&fixture, 5, SECONDS(1));
    g_assert_false(has_action(&fixture, CURRENCY_ACTION_APPLY));
    g_assert_cmpuint(currency_newest(fixture.currency).version, ==, 6);
    fixture_clear(&fixture);
}

/* A confirmation from before a daemon's start does not cover what it received since. */
static void test_confirmation_before_the_start_does_not_count(void)
{
    struct fixture fixture;
    fixture_init(&fixture);
    fetched(&fixture, 3, SECONDS(1));
    fixture.evidence.synced = true;
    fixture.evidence.peers_confirmed_at = SECONDS(1) / 4;
    tick(&fixture, SECONDS(1));
    g_assert_false(currency_serving(fixture.currency));
    fixture_clear(&fixture);
}

/* A confirmation received while a newer version is known does not cover the one in force. */
static void test_confirmation_while_behind_does_not_count(void)
{
    struct fixture fixture;
    fixture_init(&fixture);
    fetched(&fixture, 3, SECONDS(1));
    announce(&fixture, 4, 0, SECONDS(2));
    fixture.evidence.store_confirmed_at = SECONDS(3);
    tick(&fixture, SECONDS(3));
    g_assert_false(currency_serving(fixture.currency));
    fixture_clear(&fixture);
}

static void test_stops_without_confirmation(void)
{
    struct fixture fixture;
    fixture_init(&fixture);
    fetched(&fixture, 3, SECONDS(1));
    fixture.evidence.store_confirmed_at = SECONDS(1);
    tick(&fixture, SECONDS(2));
    g_assert_true(currency_serving(fixture.currency));
    tick(&fixture, SECONDS(11));
    g_assert_true(currency_serving(fixture.currency));
    tick(&fixture, SECONDS(12));
    g_assert_true(has_action(&fixture, CURRENCY_ACTION_STOP));
    fixture.evidence.store_confirmed_at = SECONDS(13);
    tick(&fixture, SECONDS(13));
    g_assert_true(has_action(&fixture, CURRENCY_ACTION_SERVE));
    fixture_clear(&fixture);
}

/* A daemon that knows a newer configuration and can't fetch it stops after the bound, although
 * peers and store respond. */
static void test_stops_when_it_can_not_get_the_newest(void)
{
    struct fixture fixture;
    fixture_init(&fixture);
    fetched(&fixture, 3, SECONDS(1));
    fixture.evidence.store_confirmed_at = SECONDS(1);
    tick(&fixture, SECONDS(1));
    announce(&fixture, 4, 0, SECONDS(2));
    for (time_ns now = SECONDS(2); now <= SECONDS(13); now += SECONDS(1)) {
        fixture.evidence.store_confirmed_at = now;
        tick(&fixture, now);
        g_assert_cmpint(currency_serving(fixture.currency), ==, now <= SECONDS(11));
    }
    fixture_clear(&fixture);
}

/* Announces and delivers versions in any order; returns how often an older one was applied. */
static uint32_t count_reverts(const struct currency_options *options)
{
    struct fixture fixture;
    fixture_init_with(&fixture, options);
    g_autoptr(GRand) random = g_rand_new_with_seed(3);
    uint32_t reverts = 0;
    uint64_t newest = 0;
    for (int step = 0; step < 5000; step++) {
        uint64_t version = (uint64_t)g_rand_int_range(random, 1, 2 + step / 10);
        time_ns now = SECONDS(1) + (time_ns)step * NANOSECONDS_PER_MILLISECOND;
        if (g_rand_boolean(random)) {
            announce(&fixture, version, (uint64_t)g_rand_int_range(random, 0, 5), now);
        } else {
            uint64_t applied = currency_applied(fixture.currency).version;
            fetched(&fixture, version, now);
            if (!options->apply_older) {
                bool due = version > applied && version >= newest;
                g_assert_cmpint(has_action(&fixture, CURRENCY_ACTION_APPLY), ==, due);
            }
            reverts += has_action(&fixture, CURRENCY_ACTION_APPLY) && version < newest;
        }
        newest = MAX(newest, currency_newest(fixture.currency).version);
    }
    g_assert_cmpuint(newest, >, 400);
    fixture_clear(&fixture);
    return reverts;
}

static void test_never_applies_older(void)
{
    struct currency_options options;
    currency_options_default(&options);
    uint32_t reverts = count_reverts(&options);
    options.apply_older = true;
    uint32_t reverts_without_check = count_reverts(&options);
    g_assert_cmpuint(reverts, ==, 0);
    g_assert_cmpuint(reverts_without_check, >, 0);
}

/* Holders are tried first, the most recent before the others; then the store. */
static void test_sources_in_order(void)
{
    struct fixture fixture;
    fixture_init(&fixture);
    announce(&fixture, 2, 11, SECONDS(1));
    const struct currency_action *action =
        &g_array_index(fixture.actions, struct currency_action, 0);
    g_assert_cmpuint(action->peer, ==, 11);
    announce(&fixture, 2, 12, SECONDS(1));
    g_assert_cmpuint(fixture.actions->len, ==, 0);
    currency_fetch_failed(fixture.currency, SECONDS(1), fixture.actions);
    action = &g_array_index(fixture.actions, struct currency_action, 0);
    g_assert_cmpuint(action->peer, ==, 12);
    g_array_set_size(fixture.actions, 0);
    currency_fetch_failed(fixture.currency, SECONDS(2), fixture.actions);
    g_assert_true(has_action(&fixture, CURRENCY_ACTION_FETCH_STORE));
    fixture_clear(&fixture);
}

/* A fetch without a reply does not block the next. */
static void test_fetch_times_out(void)
{
    struct fixture fixture;
    fixture_init(&fixture);
    announce(&fixture, 2, 11, SECONDS(1));
    announce(&fixture, 2, 12, SECONDS(1));
    tick(&fixture, SECONDS(2));
    g_assert_false(has_action(&fixture, CURRENCY_ACTION_FETCH_PEER));
    tick(&fixture, SECONDS(3));
    g_assert_true(has_action(&fixture, CURRENCY_ACTION_FETCH_PEER));
    fixture_clear(&fixture);
}

/* Daemons that are confirmed by peers do not query the store. */
static void test_confirmed_daemon_does_not_query_the_store(void)
{
    struct fixture fixture;
    fixture_init(&fixture);
    fixture.evidence.synced = true;
    fetched(&fixture, 2, SECONDS(1));
    uint32_t reads = 0;
    for (time_ns now = SECONDS(1); now < SECONDS(60); now += SECONDS(1) / 2) {
        fixture.evidence.peers_confirmed_at = now;
        tick(&fixture, now);
        reads += has_action(&fixture, CURRENCY_ACTION_READ_HEAD);
    }
    g_assert_cmpuint(reads, ==, 0);
    fixture_clear(&fixture);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/currency/fresh-daemon-waits-for-confirmation",
                    test_fresh_daemon_waits_for_confirmation);
    g_test_add_func("/currency/content-without-request", test_content_without_request);
    g_test_add_func("/currency/confirmation-before-the-start-does-not-count",
                    test_confirmation_before_the_start_does_not_count);
    g_test_add_func("/currency/confirmation-while-behind-does-not-count",
                    test_confirmation_while_behind_does_not_count);
    g_test_add_func("/currency/stops-without-confirmation", test_stops_without_confirmation);
    g_test_add_func("/currency/stops-when-it-can-not-get-the-newest",
                    test_stops_when_it_can_not_get_the_newest);
    g_test_add_func("/currency/never-applies-older", test_never_applies_older);
    g_test_add_func("/currency/sources-in-order", test_sources_in_order);
    g_test_add_func("/currency/fetch-times-out", test_fetch_times_out);
    g_test_add_func("/currency/confirmed-daemon-does-not-query-the-store",
                    test_confirmed_daemon_does_not_query_the_store);
    return g_test_run();
}
