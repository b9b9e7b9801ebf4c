/**
 * @file
 * @brief Orders of promotions and the coordinator's lease: what was ordered under a lease and has
 * not left the process when that lease ends does not leave it later. The coordinator is a control
 * thread's state without its event loop, with a simulated store and promotion service.
 */
#include "control_fixture.h"
#include "standins/session_platform/row_store.h"

#define GROUPS     3
#define TIMEOUT_NS (8000 * MS)

/* Longer than the time limit of a call to the promotion service. */
#define AFTER_CALLS_NS (2500 * MS)

typedef struct fixture {
    struct row_store *store;
    struct event_base *base;
    struct pooler_settings settings;
    struct control *control;
    unsigned orders; /* that reached the promotion service */
} fixture_t;

static bool
count_order(void *user, const char *service, const char *database)
{
    fixture_t *fixture = user;
    fixture->orders++;
    return true;
}

static void
step(fixture_t *fixture)
{
    struct timeval soon = {0, 1000};
    event_base_loopexit(fixture->base, &soon);
    event_base_dispatch(fixture->base);
}

static void
run_for(fixture_t *fixture, time_ns length)
{
    time_ns until = backend_now() + length;
    while (backend_now() < until) {
        step(fixture);
    }
}

/* A coordinator that has just acquired the lease and controls three groups. */
static void
set_up(fixture_t *fixture, gconstpointer unused)
{
    fixture->base = event_base_new();
    fixture->store = row_store_start(count_order, fixture);
    row_store_put(fixture->store, "op", store_configuration_key,
                  "{\"version\":5,\"routes\":[],\"limits\":{},\"services\":["
                  "{\"name\":\"g0\",\"maxConns\":9,\"syncReplicas\":1},"
                  "{\"name\":\"g1\",\"maxConns\":9,\"syncReplicas\":1},"
                  "{\"name\":\"g2\",\"maxConns\":9,\"syncReplicas\":1}]}");
    fixture->control = control_fixture_pooler_new(&fixture->settings, fixture->base,
                                                  row_store_port(fixture->store), 0);
    struct control *control = fixture->control;
    time_ns until = backend_now() + TIMEOUT_NS;
    while (control->controlled == NULL || g_hash_table_size(control->controlled) < GROUPS) {
        g_assert_cmpuint(backend_now(), <, until);
        control_feeds_tick(control, backend_now());
        control_lease_tick(control, backend_now());
        if (control->lease.held) {
            control_groups_tick(control, backend_now());
        }
        step(fixture);
    }
    run_for(fixture, 50 * MS);
    control->lease.until = backend_now() + 2000 * MS;
}

static void
tear_down(fixture_t *fixture, gconstpointer unused)
{
    control_lease_end(fixture->control, "the test is over");
    run_for(fixture, 20 * MS);
    control_fixture_pooler_free(fixture->control);
    row_store_stop(fixture->store);
    event_base_free(fixture->base);
}

static void
order_all(fixture_t *fixture)
{
    struct control *control = fixture->control;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->controlled);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controlled_group *group = value;
        control->failover_actions.promote(control, group->failover, "database");
    }
}

static void
hang_calls(fixture_t *fixture, bool hang)
{
    row_store_set_faults(fixture->store, &(struct row_store_faults){.hold_promotions = hang});
}

static void
test_every_group_is_ordered(fixture_t *fixture, gconstpointer unused)
{
    order_all(fixture);
    run_for(fixture, 200 * MS);
    g_assert_cmpuint(fixture->orders, ==, GROUPS);
}

/* Two coordinators promote: the calls of the former one hang, its lease ends, and what had waited
 * behind the first call is sent once that has timed out, after orders of the next holder. */
static void
test_none_after_the_lease_has_ended(fixture_t *fixture, gconstpointer unused)
{
    hang_calls(fixture, true);
    order_all(fixture);
    run_for(fixture, 100 * MS);
    control_lease_end(fixture->control, "another pooler holds it");
    hang_calls(fixture, false);
    run_for(fixture, AFTER_CALLS_NS);
    g_assert_cmpuint(fixture->orders, ==, 0);
}

/* The same where the lease expires and nothing tells so. */
static void
test_none_after_the_lease_has_expired(fixture_t *fixture, gconstpointer unused)
{
    hang_calls(fixture, true);
    fixture->control->lease.until = backend_now() + 700 * MS;
    order_all(fixture);
    run_for(fixture, 750 * MS);
    hang_calls(fixture, false);
    run_for(fixture, AFTER_CALLS_NS);
    g_assert_cmpuint(fixture->orders, ==, 0);
}

/* A group that repeats its order while the first one is still waiting has one order. */
static void
test_repeated_order(fixture_t *fixture, gconstpointer unused)
{
    order_all(fixture);
    order_all(fixture);
    run_for(fixture, 200 * MS);
    g_assert_cmpuint(fixture->orders, ==, GROUPS);
}

#define ADD(name, test) g_test_add("/pooler/orders/" name, fixture_t, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_log_set_always_fatal(G_LOG_LEVEL_ERROR);
    ADD("every-group", test_every_group_is_ordered);
    ADD("lease-ended", test_none_after_the_lease_has_ended);
    ADD("lease-expired", test_none_after_the_lease_has_expired);
    ADD("repeated", test_repeated_order);
    return g_test_run();
}
