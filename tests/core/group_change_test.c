/* Planned changes at one watcher: drains, their cancellation, and the pause of writes. */
#include "group_control_fixture.h"

#include <glib.h>

static void drain(struct rig *rig, uint32_t database)
{
    rig_feed(rig, (struct group_event){.kind = GROUP_EVENT_DRAIN, .database = database});
}

/* Sets the mark as the database does: a request with an older order has no effect. */
static void mark(struct rig *rig, uint32_t database, bool leaving, uint64_t order)
{
    struct database_status *status = &rig->databases[database];
    if (order >= status->leaving_order) {
        status->leaving = leaving;
        status->leaving_order = order;
    }
}

static void complete_mark(struct rig *rig, const struct group_action *action)
{
    struct group_action taken = *action;
    mark(rig, taken.database, taken.leaving, taken.order);
    rig_complete(rig, taken.command, GROUP_COMMAND_OK, rig->databases[taken.database]);
}

static void test_drain_replica(void)
{
    struct rig rig;
    rig_start(&rig);
    drain(&rig, 1);
    const struct group_action *action = rig_find_for(&rig, GROUP_ACTION_SET_LEAVING, 1);
    g_assert_nonnull(action);
    g_assert_true(action->leaving);
    g_assert_true(group_control_view(rig.control)->databases[1].status.leaving);
    complete_mark(&rig, action);
    rig_feed(&rig, (struct group_event){.kind = GROUP_EVENT_UNDRAIN, .database = 1});
    action = rig_find_for(&rig, GROUP_ACTION_SET_LEAVING, 1);
    g_assert_nonnull(action);
    g_assert_false(action->leaving);
    rig_stop(&rig);
}

/* Once the database reports that it is leaving, any watcher may cancel the drain. */
static void test_drain_cancelled_at_another_watcher(void)
{
    struct rig rig;
    rig_start(&rig);
    drain(&rig, 1);
    const struct group_action *action = rig_find_for(&rig, GROUP_ACTION_SET_LEAVING, 1);
    complete_mark(&rig, action);
    rig.now += 10 * MS;
    rig_probe(&rig, 1);
    mark(&rig, 1, false, rig.databases[1].leaving_order + 1); /* by another watcher */
    g_assert_false(rig_run(&rig, 2000 * MS, GROUP_ACTION_SET_LEAVING));
    g_assert_false(group_control_view(rig.control)->databases[1].status.leaving);
    rig_stop(&rig);
}

/* The drain is cancelled before its mark is visible: the mark may still arrive. */
static void test_drain_cancelled_before_its_mark(void)
{
    struct rig rig;
    rig_start(&rig);
    drain(&rig, 1);
    struct group_action drained = *rig_find_for(&rig, GROUP_ACTION_SET_LEAVING, 1);
    rig_feed(&rig, (struct group_event){.kind = GROUP_EVENT_UNDRAIN, .database = 1});
    rig.now += 10 * MS;
    rig_probe(&rig, 1);
    complete_mark(&rig, &drained);
    g_assert_true(rig_find_for(&rig, GROUP_ACTION_SET_LEAVING, 1) != NULL ||
                  rig_run(&rig, 2000 * MS, GROUP_ACTION_SET_LEAVING));
    g_assert_false(rig_find_for(&rig, GROUP_ACTION_SET_LEAVING, 1)->leaving);
    rig_stop(&rig);
}

static void request(struct rig *rig, enum group_event_kind kind, uint64_t order)
{
    rig_feed(rig, (struct group_event){.kind = kind, .database = 1, .order = order});
}

/* The drain is requested while the database is unreachable, and cancelled later at another watcher
 * whose command reaches the database first. */
static void test_drain_cancelled_while_unreachable(void)
{
    struct rig rig;
    rig_start(&rig);
    rig.reachable[1] = false;
    g_assert_false(rig_run(&rig, 1000 * MS, GROUP_ACTION_SET_LEAVING));
    request(&rig, GROUP_EVENT_DRAIN, 700);
    g_assert_false(rig_run(&rig, 1000 * MS, GROUP_ACTION_SET_LEAVING));
    g_assert_true(group_control_view(rig.control)->databases[1].status.leaving);
    mark(&rig, 1, false, 900);
    rig.reachable[1] = true;
    g_assert_false(rig_run(&rig, 2000 * MS, GROUP_ACTION_SET_LEAVING));
    g_assert_false(group_control_view(rig.control)->databases[1].status.leaving);
    rig_stop(&rig);
}

/* The cancelling watcher sends its command although the database has no mark, so that an older
 * drain command that is still in transit has no effect. */
static void test_cancellation_arrives_before_the_drain(void)
{
    struct rig rig;
    rig_start(&rig);
    request(&rig, GROUP_EVENT_UNDRAIN, 900);
    const struct group_action *action = rig_find_for(&rig, GROUP_ACTION_SET_LEAVING, 1);
    g_assert_nonnull(action);
    g_assert_false(action->leaving);
    complete_mark(&rig, action);
    mark(&rig, 1, true, 700);
    g_assert_false(rig_run(&rig, 2000 * MS, GROUP_ACTION_SET_LEAVING));
    g_assert_false(group_control_view(rig.control)->databases[1].status.leaving);
    rig_stop(&rig);
}

/* A request from a clock that is behind still gets a higher order than the requests that its
 * watcher knows. */
static void test_last_request_wins_despite_clocks(void)
{
    struct rig rig;
    rig_start(&rig);
    mark(&rig, 1, true, 5000);
    rig_probe(&rig, 1);
    request(&rig, GROUP_EVENT_UNDRAIN, 10);
    g_assert_cmpuint(rig_find_for(&rig, GROUP_ACTION_SET_LEAVING, 1)->order, ==, 5001);
    request(&rig, GROUP_EVENT_DRAIN, 10);
    request(&rig, GROUP_EVENT_DRAIN, 9000);
    const struct group_action *action = rig_find_for(&rig, GROUP_ACTION_SET_LEAVING, 1);
    g_assert_cmpuint(action->order, ==, 9000);
    g_assert_true(action->leaving);
    rig_stop(&rig);
}

/* Starts a drain of the primary up to the pause; returns the id of the change. */
static uint64_t reach_pause(struct rig *rig)
{
    rig_start(rig);
    rig_peer_without_suspicion(rig, PEER1);
    rig_peer_without_suspicion(rig, PEER2);
    drain(rig, 0);
    for (int i = 0; i < 120 && !group_control_view(rig->control)->writes_paused; i++) {
        rig->now += 10 * MS;
        if (i % 4 == 0) {
            rig_peer_without_suspicion(rig, PEER1);
        } else if (i % 4 == 1) {
            rig_peer_without_suspicion(rig, PEER2);
        } else {
            rig_probe(rig, (uint32_t)i / 4 % 3);
        }
    }
    g_assert_true(group_control_view(rig->control)->writes_paused);
    g_assert_false(group_control_view(rig->control)->databases[0].status.leaving);
    return rig_find(rig, GROUP_ACTION_PUBLISH_VIEW)->change;
}

static void peer_drained(struct rig *rig, uint64_t watcher, uint64_t change)
{
    rig_opinion(
        rig, (struct group_opinion){
                 .watcher = watcher, .term = 5, .primary = 0, .reachable = 7, .drained = change});
}

static void test_drain_primary(void)
{
    struct rig rig;
    uint64_t change = reach_pause(&rig);
    rig_feed(&rig, (struct group_event){.kind = GROUP_EVENT_WRITES_DRAINED, .change = change});
    rig.now += 2 * MS;
    rig.databases[0].held = (struct log_position){5, 14};
    peer_drained(&rig, PEER1, change);
    g_assert_null(rig_find(&rig, GROUP_ACTION_FENCE));
    peer_drained(&rig, PEER2, change);
    /* Every owner's writes have ended; now the target must hold the same log as the primary. */
    g_assert_null(rig_find(&rig, GROUP_ACTION_FENCE));
    rig.now += 2 * MS;
    rig_probe(&rig, 0);
    rig_probe(&rig, 1);
    g_assert_null(rig_find(&rig, GROUP_ACTION_FENCE));
    rig.databases[1].held = (struct log_position){5, 14};
    rig.databases[2].held = (struct log_position){5, 14};
    rig_probe(&rig, 1);
    const uint64_t fence[3] = {rig_find_for(&rig, GROUP_ACTION_FENCE, 0)->command,
                               rig_find_for(&rig, GROUP_ACTION_FENCE, 1)->command,
                               rig_find_for(&rig, GROUP_ACTION_FENCE, 2)->command};
    for (uint32_t i = 0; i < 3; i++) {
        rig_complete(&rig, fence[i], GROUP_COMMAND_OK, rig_promise(&rig, i, 6));
    }
    const struct group_action *action = rig_find(&rig, GROUP_ACTION_PROMOTE);
    g_assert_nonnull(action);
    g_assert_cmpuint(action->database, ==, 1);
    rig_complete(&rig, action->command, GROUP_COMMAND_OK, rig_promote(&rig, 1, 6));
    g_assert_true(rig_recorded(&rig, GROUP_RECORD_PROMOTED, GROUP_REASON_DRAIN));
    g_assert_false(group_control_view(rig.control)->writes_paused);
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, 1);
    g_assert_true(group_control_view(rig.control)->databases[0].status.leaving);
    rig_stop(&rig);
}

static void test_drain_primary_times_out(void)
{
    struct rig rig;
    uint64_t change = reach_pause(&rig);
    rig_feed(&rig, (struct group_event){.kind = GROUP_EVENT_WRITES_DRAINED, .change = change});
    peer_drained(&rig, PEER1, change);
    bool aborted = false;
    for (int i = 0; i < 10 && !aborted; i++) {
        rig.now += 50 * MS;
        rig_feed(&rig, (struct group_event){.kind = GROUP_EVENT_TICK});
        g_assert_null(rig_find(&rig, GROUP_ACTION_FENCE));
        aborted = rig_recorded(&rig, GROUP_RECORD_CHANGE_ABORTED, GROUP_REASON_TIMEOUT);
    }
    g_assert_true(aborted);
    g_assert_false(group_control_view(rig.control)->writes_paused);
    rig_stop(&rig);
}

/* With transactions open all the time the drain still completes, and pauses writes only for a small
 * part of the time. */
static void test_drain_completes_with_open_transactions(void)
{
    struct rig rig;
    reach_pause(&rig);
    time_ns started_at = rig.now;
    time_ns paused = 0;
    while (rig_find(&rig, GROUP_ACTION_FENCE) == NULL && rig.now < started_at + 10000 * MS) {
        rig.now += 5 * MS;
        paused += group_control_view(rig.control)->writes_paused ? 5 * MS : 0;
        uint32_t source = (uint32_t)(rig.now / (5 * MS)) % 5;
        if (source < 3) {
            rig_probe(&rig, source);
        } else {
            rig_peer_without_suspicion(&rig, source == 3 ? PEER1 : PEER2);
        }
    }
    g_assert_nonnull(rig_find(&rig, GROUP_ACTION_FENCE));
    g_assert_cmpuint(rig.now - started_at, <, 5000 * MS);
    g_assert_cmpuint(paused, <, 1000 * MS);
    rig_stop(&rig);
}

/* While another watcher coordinates the change, this one does not start its own between its
 * attempts. */
static void test_drain_has_one_coordinator(void)
{
    struct rig rig;
    rig_start(&rig);
    rig_peer_without_suspicion(&rig, PEER1);
    rig_peer_without_suspicion(&rig, PEER2);
    struct group_opinion change = {
        .watcher = PEER1, .term = 5, .primary = 0, .reachable = 7, .change = 99};
    rig_opinion(&rig, change);
    drain(&rig, 0);
    for (int i = 0; i < 60; i++) {
        rig.now += 50 * MS;
        rig_probe(&rig, (uint32_t)i % 3);
        g_assert_false(rig_recorded(&rig, GROUP_RECORD_CHANGE_STARTED, GROUP_REASON_DRAIN));
        /* The coordinator pauses writes for 100 ms in each second. */
        change.change = i % 20 < 2 ? 99 + (uint64_t)i : 0;
        rig_opinion(&rig, change);
        g_assert_false(rig_recorded(&rig, GROUP_RECORD_CHANGE_STARTED, GROUP_REASON_DRAIN));
        rig_peer_without_suspicion(&rig, PEER2);
    }
    rig_stop(&rig);
}

static void test_pause_by_a_peer(void)
{
    struct rig rig;
    rig_start(&rig);
    rig_opinion(&rig, (struct group_opinion){
                          .watcher = PEER1, .term = 5, .primary = 0, .reachable = 7, .change = 99});
    g_assert_true(group_control_view(rig.control)->writes_paused);
    g_assert_cmpuint(rig_find(&rig, GROUP_ACTION_PUBLISH_VIEW)->change, ==, 99);
    rig_feed(&rig, (struct group_event){.kind = GROUP_EVENT_WRITES_DRAINED, .change = 99});
    g_assert_cmpuint(rig_find(&rig, GROUP_ACTION_SEND_OPINION)->opinion.drained, ==, 99);
    /* No further opinion of the coordinator arrives: the pause expires. */
    g_assert_false(rig_run(&rig, 400 * MS, GROUP_ACTION_FENCE));
    g_assert_false(group_control_view(rig.control)->writes_paused);
    rig_stop(&rig);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/group_control/drain_replica", test_drain_replica);
    g_test_add_func("/group_control/drain_cancelled_at_another_watcher",
                    test_drain_cancelled_at_another_watcher);
    g_test_add_func("/group_control/drain_cancelled_before_its_mark",
                    test_drain_cancelled_before_its_mark);
    g_test_add_func("/group_control/drain_cancelled_while_unreachable",
                    test_drain_cancelled_while_unreachable);
    g_test_add_func("/group_control/cancellation_arrives_before_the_drain",
                    test_cancellation_arrives_before_the_drain);
    g_test_add_func("/group_control/last_request_wins_despite_clocks",
                    test_last_request_wins_despite_clocks);
    g_test_add_func("/group_control/drain_primary", test_drain_primary);
    g_test_add_func("/group_control/drain_primary_times_out", test_drain_primary_times_out);
    g_test_add_func("/group_control/drain_completes_with_open_transactions",
                    test_drain_completes_with_open_transactions);
    g_test_add_func("/group_control/drain_has_one_coordinator", test_drain_has_one_coordinator);
    g_test_add_func("/group_control/pause_by_a_peer", test_pause_by_a_peer);
    return g_test_run();
}
