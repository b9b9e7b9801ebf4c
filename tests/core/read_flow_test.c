/* Scenarios of one read: a stale reply is never returned, a lost one is tried at another
 * database. */
#include "core/read_flow.h"

#include <glib.h>
#include <string.h>

static void make_view(struct group_view *view)
{
    memset(view, 0, sizeof(*view));
    view->term = 1;
    view->database_count = 3;
    for (uint32_t i = 0; i < 3; i++) {
        view->databases[i].reachable = true;
        view->databases[i].status.term = 1;
        view->databases[i].status.applied = (struct log_position){1, 10};
    }
}

static struct read_step start(struct read_flow *flow, const struct group_view *view)
{
    struct read_options options = {
        .deadline = NANOSECONDS_PER_SECOND,
        .attempts_max = 4,
        .unavailable_wait_ms = 100,
        .route = {.session = {1, 10}, .replicas_allowed = true, .primary_allowed = true},
    };
    read_flow_init(flow, &options);
    struct read_event event = {.kind = READ_EVENT_START, .now = 1};
    return read_flow_next(flow, &event, view);
}

static struct read_step feed(struct read_flow *flow, const struct group_view *view,
                             enum read_event_kind kind, uint64_t applied)
{
    struct read_event event = {.kind = kind, .now = 2, .status = {.applied = {1, applied}}};
    return read_flow_next(flow, &event, view);
}

static void test_stale_reply_goes_to_another_database(void)
{
    struct group_view view;
    struct read_flow flow;
    make_view(&view);
    struct read_step first = start(&flow, &view);
    g_assert_cmpint(first.kind, ==, READ_STEP_READ);
    struct read_step second = feed(&flow, &view, READ_EVENT_ANSWERED, 9);
    g_assert_cmpint(second.kind, ==, READ_STEP_READ);
    g_assert_cmpint(second.database, !=, first.database);
    struct read_step last = feed(&flow, &view, READ_EVENT_ANSWERED, 12);
    g_assert_cmpint(last.outcome, ==, OUTCOME_DONE);
    g_assert_cmpuint(last.seen.offset, ==, 12);
}

static void test_lost_replies_try_each_database_once(void)
{
    struct group_view view;
    struct read_flow flow;
    uint32_t tried = 0;
    make_view(&view);
    struct read_step step = start(&flow, &view);
    while (step.kind == READ_STEP_READ) {
        g_assert_false(tried & (1u << step.database));
        tried |= 1u << step.database;
        step = feed(&flow, &view, READ_EVENT_LOST, 0);
    }
    g_assert_cmpuint(tried, ==, 7);
    g_assert_cmpint(step.kind, ==, READ_STEP_WAIT);
}

static void test_nothing_reachable_is_refused_with_retry_after(void)
{
    struct group_view view;
    struct read_flow flow;
    make_view(&view);
    for (uint32_t i = 0; i < 3; i++) {
        view.databases[i].reachable = false;
    }
    struct read_step step = start(&flow, &view);
    while (step.kind == READ_STEP_WAIT) {
        struct read_event event = {.kind = READ_EVENT_TIMER, .now = step.until};
        step = read_flow_next(&flow, &event, &view);
    }
    g_assert_cmpint(step.outcome, ==, OUTCOME_REFUSED);
    g_assert_cmpint(step.error, ==, ERROR_KIND_NO_FRESH_REPLICA);
    g_assert_cmpuint(step.retry_after_ms, >, 0);
}

/* No replica is fresh enough in time and the primary is reserved: the read is refused for that
 * reason, not for a deadline that is still far away. */
static void test_stale_replies_everywhere_are_no_deadline_error(void)
{
    struct group_view view;
    struct read_flow flow;
    make_view(&view);
    struct read_step step = start(&flow, &view);
    while (step.kind != READ_STEP_ANSWER) {
        enum read_event_kind kind =
            step.kind == READ_STEP_READ ? READ_EVENT_ANSWERED : READ_EVENT_TIMER;
        step = feed(&flow, &view, kind, 9);
    }
    g_assert_cmpint(step.outcome, ==, OUTCOME_REFUSED);
    g_assert_cmpint(step.error, ==, ERROR_KIND_NO_FRESH_REPLICA);
    g_assert_cmpuint(step.retry_after_ms, >, 0);
}

/* The flow waits for a replica that is about to catch up without a connection, and no longer than
 * allowed. */
static void test_waits_for_a_replica_then_takes_the_primary(void)
{
    struct group_view view;
    struct read_flow flow;
    make_view(&view);
    view.databases[1].status.applied.offset = 9;
    view.databases[2].status.applied.offset = 9;
    struct read_options options = {
        .deadline = NANOSECONDS_PER_SECOND,
        .attempts_max = 4,
        .guard_wait_max_ms = 50,
        .route = {.session = {1, 10}, .replicas_allowed = true, .primary_allowed = true},
    };
    view.sample_count = 1;
    view.samples[0] = (struct position_sample){.at = 1, .held = {1, 10}};
    read_flow_init(&flow, &options);
    struct read_event event = {.kind = READ_EVENT_START, .now = 2};
    struct read_step step = read_flow_next(&flow, &event, &view);
    while (step.kind == READ_STEP_PROBE) {
        g_assert_cmpint(step.database, !=, 0);
        event = (struct read_event){.kind = READ_EVENT_TIMER, .now = step.until};
        step = read_flow_next(&flow, &event, &view);
    }
    g_assert_cmpint(step.kind, ==, READ_STEP_READ);
    g_assert_cmpint(step.database, ==, 0);
    g_assert_cmpuint(event.now, <=, 60 * NANOSECONDS_PER_MILLISECOND);
}

static void test_reads_from_the_replica_that_caught_up(void)
{
    struct group_view view;
    struct read_flow flow;
    make_view(&view);
    view.databases[1].status.applied.offset = 9;
    view.databases[2].status.applied.offset = 9;
    struct read_options options = {
        .deadline = NANOSECONDS_PER_SECOND,
        .attempts_max = 4,
        .guard_wait_max_ms = 50,
        .route = {.session = {1, 10}, .replicas_allowed = true, .primary_allowed = true},
    };
    view.sample_count = 1;
    view.samples[0] = (struct position_sample){.at = 1, .held = {1, 10}};
    read_flow_init(&flow, &options);
    struct read_event event = {.kind = READ_EVENT_START, .now = 2};
    struct read_step step = read_flow_next(&flow, &event, &view);
    g_assert_cmpint(step.kind, ==, READ_STEP_PROBE);
    view.databases[2].status.applied.offset = 10;
    event = (struct read_event){.kind = READ_EVENT_TIMER, .now = step.until};
    step = read_flow_next(&flow, &event, &view);
    g_assert_cmpint(step.kind, ==, READ_STEP_READ);
    g_assert_cmpint(step.database, ==, 2);
    g_assert_cmpint(step.reason, ==, ROUTE_REASON_REPLICA_GUARDED);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/read-flow/stale-reply", test_stale_reply_goes_to_another_database);
    g_test_add_func("/read-flow/lost-replies", test_lost_replies_try_each_database_once);
    g_test_add_func("/read-flow/unreachable", test_nothing_reachable_is_refused_with_retry_after);
    g_test_add_func("/read-flow/stale-everywhere",
                    test_stale_replies_everywhere_are_no_deadline_error);
    g_test_add_func("/read-flow/waits", test_waits_for_a_replica_then_takes_the_primary);
    g_test_add_func("/read-flow/caught-up", test_reads_from_the_replica_that_caught_up);
    return g_test_run();
}
