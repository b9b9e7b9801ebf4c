/* Routing of reads and writes for given views of one group. */
#include "core/route.h"

#include <glib.h>

#define NOW (100 * NANOSECONDS_PER_SECOND)

static struct database_view database(enum database_role role, uint64_t applied, uint32_t rtt_us)
{
    struct database_view view = {
        .status = {.role = role,
                   .term = 1,
                   .promised_term = 1,
                   .held = {1, applied},
                   .applied = {1, applied}},
        .reachable = true,
        .observed_at = NOW,
        .round_trip_us = rtt_us,
    };
    return view;
}

/* Primary at offset 10000, 1000 entries per second; replica 1 lags by 100 ms, replica 2 by 5 s. */
static struct group_view make_view(void)
{
    struct group_view view = {.term = 1, .primary = 0, .database_count = 3};
    view.databases[0] = database(DATABASE_ROLE_PRIMARY, 10000, 300);
    view.databases[1] = database(DATABASE_ROLE_REPLICA, 9900, 3000);
    view.databases[2] = database(DATABASE_ROLE_REPLICA, 5000, 300);
    view.sample_count = 10;
    for (uint32_t i = 0; i < view.sample_count; i++) {
        view.samples[i].at = NOW - i * NANOSECONDS_PER_SECOND;
        view.samples[i].held = (struct log_position){1, 10000 - 1000 * (uint64_t)i};
    }
    return view;
}

static struct route_read_request make_request(uint64_t session_offset)
{
    struct route_read_request request = {
        .now = NOW,
        .guard_wait_max_ms = 200,
        .replicas_allowed = true,
        .primary_allowed = true,
    };
    if (session_offset > 0) {
        request.session = (struct log_position){1, session_offset};
    }
    return request;
}

static void test_old_token_takes_nearest_replica(void)
{
    struct group_view view = make_view();
    struct route_read_request request = make_request(4000);
    struct route_decision decision = route_read(&view, &request);
    g_assert_cmpint(decision.database, ==, 2);
    g_assert_cmpint(decision.reason, ==, ROUTE_REASON_REPLICA_FRESH);
    g_assert_cmpint(decision.refused[1], ==, ROUTE_REASON_FARTHER);
}

static void test_fresh_token_waits_at_replica(void)
{
    struct group_view view = make_view();
    struct route_read_request request = make_request(10000);
    struct route_decision decision = route_read(&view, &request);
    g_assert_cmpint(decision.database, ==, 1);
    g_assert_cmpint(decision.reason, ==, ROUTE_REASON_REPLICA_GUARDED);
    g_assert_cmpuint(decision.guard.offset, ==, 10000);
    g_assert_cmpint(decision.refused[2], ==, ROUTE_REASON_BEHIND);
}

static void test_no_wait_allowed_goes_to_primary(void)
{
    struct group_view view = make_view();
    struct route_read_request request = make_request(10000);
    request.guard_wait_max_ms = 0;
    struct route_decision decision = route_read(&view, &request);
    g_assert_cmpint(decision.database, ==, 0);
    g_assert_cmpint(decision.reason, ==, ROUTE_REASON_PRIMARY_READ);
}

static void test_exhausted_allowance_refuses(void)
{
    struct group_view view = make_view();
    struct route_read_request request = make_request(10000);
    request.guard_wait_max_ms = 0;
    request.primary_allowed = false;
    struct route_decision decision = route_read(&view, &request);
    g_assert_cmpint(decision.database, ==, -1);
    g_assert_cmpint(decision.refused[0], ==, ROUTE_REASON_RESERVED);
}

static void test_staleness_bound_without_token(void)
{
    struct group_view view = make_view();
    struct route_read_request request = make_request(0);
    request.max_staleness_ms = 2000;
    struct route_decision decision = route_read(&view, &request);
    g_assert_cmpint(decision.database, ==, 1);
    g_assert_cmpuint(decision.guard.offset, ==, 8000);
    g_assert_cmpint(decision.refused[2], ==, ROUTE_REASON_BEHIND);
}

static void test_daemon_without_samples_keeps_staleness_bound(void)
{
    struct group_view view = make_view();
    struct route_read_request request = make_request(0);
    request.max_staleness_ms = 2000;
    request.now = NOW + 3 * NANOSECONDS_PER_SECOND;
    struct route_decision decision = route_read(&view, &request);
    g_assert_cmpint(decision.database, ==, 0);
}

static void test_newer_term_excludes_old_follower(void)
{
    struct group_view view = make_view();
    view.term = 2;
    view.databases[0].status.term = 2;
    view.databases[0].status.applied = (struct log_position){2, 10001};
    struct route_read_request request = make_request(0);
    request.session = (struct log_position){2, 10001};
    struct route_decision decision = route_read(&view, &request);
    g_assert_cmpint(decision.database, ==, 0);
    g_assert_cmpint(decision.refused[1], ==, ROUTE_REASON_OLDER_TERM);
}

static void test_leaving_and_unreachable_get_no_reads(void)
{
    struct group_view view = make_view();
    struct route_read_request request = make_request(0);
    view.databases[1].status.leaving = true;
    view.databases[2].reachable = false;
    struct route_decision decision = route_read(&view, &request);
    g_assert_cmpint(decision.database, ==, 0);
    g_assert_cmpint(decision.refused[1], ==, ROUTE_REASON_LEAVING);
    g_assert_cmpint(decision.refused[2], ==, ROUTE_REASON_UNREACHABLE);
}

static void test_load_spreads_reads(void)
{
    struct group_view view = make_view();
    view.databases[1].round_trip_us = 300;
    struct route_read_request request = make_request(4000);
    request.slots[1] = 5;
    request.slots[2] = 5;
    request.in_flight[2] = 3;
    g_assert_cmpint(route_read(&view, &request).database, ==, 1);
    request.in_flight[1] = 5;
    g_assert_cmpint(route_read(&view, &request).database, ==, 2);
}

static void test_write_goes_to_primary_only(void)
{
    struct group_view view = make_view();
    g_assert_cmpint(route_write(&view).database, ==, 0);
    view.writes_paused = true;
    g_assert_cmpint(route_write(&view).reason, ==, ROUTE_REASON_WRITES_PAUSED);
    view.writes_paused = false;
    view.primary = -1;
    g_assert_cmpint(route_write(&view).reason, ==, ROUTE_REASON_NO_PRIMARY);
}

static void test_every_reason_has_a_name(void)
{
    for (int reason = 0; reason < ROUTE_REASON_COUNT; reason++) {
        g_assert_nonnull(route_reason_name((enum route_reason)reason));
    }
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/route/old-token", test_old_token_takes_nearest_replica);
    g_test_add_func("/route/fresh-token", test_fresh_token_waits_at_replica);
    g_test_add_func("/route/no-wait", test_no_wait_allowed_goes_to_primary);
    g_test_add_func("/route/exhausted-allowance", test_exhausted_allowance_refuses);
    g_test_add_func("/route/staleness-bound", test_staleness_bound_without_token);
    g_test_add_func("/route/no-recent-samples", test_daemon_without_samples_keeps_staleness_bound);
    g_test_add_func("/route/newer-term", test_newer_term_excludes_old_follower);
    g_test_add_func("/route/leaving", test_leaving_and_unreachable_get_no_reads);
    g_test_add_func("/route/load", test_load_spreads_reads);
    g_test_add_func("/route/write", test_write_goes_to_primary_only);
    g_test_add_func("/route/reason-names", test_every_reason_has_a_name);
    return g_test_run();
}
