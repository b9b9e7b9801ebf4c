/* Planned changes as one watcher sees them: drains, what takes them back, and the pause of writes.
 */
#include "group_control_fixture.h"

#include <glib.h>

static void drain(struct rig *rig, uint32_t database)
{
    rig_feed(rig, (struct group_event){.kind = GROUP_EVENT_DRAIN, .database = database});
}

/* The mark as the database keeps it: an older request changes nothing. */
static void mark(struct rig *rig, uint32_t database, bool leaving, uint64_t order)
{
    struct database_status *status = &rig->databases[database];
    if (order >= status->leaving_order) {
        status->leaving = leaving;
        status->leaving_order = order;
    }
}

static void take_mark(struct rig *rig, const struct group_action *action)
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
    take_mark(&rig, action);
    rig_feed(&rig, (struct group_event){.kind = GROUP_EVENT_UNDRAIN, .database = 1});
    action = rig_find_for(&rig, GROUP_ACTION_SET_LEAVING, 1);
    g_assert_nonnull(action);
    g_assert_false(action->leaving);
    rig_stop(&rig);
}

/* Once the database says that it leaves, it is for any watcher to take that back. */
static void test_drain_taken_back_elsewhere(void)
{
    struct rig rig;
    rig_start(&rig);
    drain(&rig, 1);
    const struct group_action *action = rig_find_for(&rig, GROUP_ACTION_SET_LEAVING, 1);
    take_mark(&rig, action);
    rig.now += 10 * MS;
    rig_probe(&rig, 1);
    mark(&rig, 1, false, rig.databases[1].leaving_order + 1); /* by another watcher */
    g_assert_false(rig_run(&rig, 2000 * MS, GROUP_ACTION_SET_LEAVING));
    g_assert_false(group_control_view(rig.control)->databases[1].status.leaving);
    rig_stop(&rig);
}

/* Taken back before the mark is seen: the mark may still come. */
static void test_drain_taken_back_at_once(void)
{
    struct rig rig;
    rig_start(&rig);
    drain(&rig, 1);
    struct group_action drained = *rig_find_for(&rig, GROUP_ACTION_SET_LEAVING, 1);
    rig_feed(&rig, (struct group_event){.kind = GROUP_EVENT_UNDRAIN, .database = 1});
    rig.now += 10 * MS;
    rig_probe(&rig, 1);
    take_mark(&rig, &drained);
    g_assert_true(rig_find_for(&rig, GROUP_ACTION_SET_LEAVING, 1) != NULL ||
                  rig_run(&rig, 2000 * MS, GROUP_ACTION_SET_LEAVING));
    g_assert_false(rig_find_for(&rig, GROUP_ACTION_SET_LEAVING, 1)->leaving);
    rig_stop(&rig);
}

static void wish(struct rig *rig, enum group_event_kind kind, uint64_t order)
{
    rig_feed(rig, (struct group_event){.kind = kind, .database = 1, .order = order});
}

/* Asked while the database is out of reach, and taken back later at another watcher, whose command
 * comes first once it is back. */
static void test_drain_taken_back_while_out_of_reach(void)
{
    struct rig rig;
    rig_start(&rig);
    rig.reachable[1] = false;
    g_assert_false(rig_run(&rig, 1000 * MS, GROUP_ACTION_SET_LEAVING));
    wish(&rig, GROUP_EVENT_DRAIN, 700);
    g_assert_false(rig_run(&rig, 1000 * MS, GROUP_ACTION_SET_LEAVING));
    g_assert_true(group_control_view(rig.control)->databases[1].status.leaving);
    mark(&rig, 1, false, 900);
    rig.reachable[1] = true;
    g_assert_false(rig_run(&rig, 2000 * MS, GROUP_ACTION_SET_LEAVING));
    g_assert_false(group_control_view(rig.control)->databases[1].status.leaving);
    rig_stop(&rig);
}

/* The one that takes it back tells the database so although it is not marked: the older drain,
 * still on its way to it, then changes nothing. */
static void test_taking_back_comes_before_the_drain(void)
{
    struct rig rig;
    rig_start(&rig);
    wish(&rig, GROUP_EVENT_UNDRAIN, 900);
    const struct group_action *action = rig_find_for(&rig, GROUP_ACTION_SET_LEAVING, 1);
    g_assert_nonnull(action);
    g_assert_false(action->leaving);
    take_mark(&rig, action);
    mark(&rig, 1, true, 700);
    g_assert_false(rig_run(&rig, 2000 * MS, GROUP_ACTION_SET_LEAVING));
    g_assert_false(group_control_view(rig.control)->databases[1].status.leaving);
    rig_stop(&rig);
}

/* A clock that is behind does not put a request before one that its watcher knows of. */
static void test_last_word_wins_over_clocks(void)
{
    struct rig rig;
    rig_start(&rig);
    mark(&rig, 1, true, 5000);
    rig_probe(&rig, 1);
    wish(&rig, GROUP_EVENT_UNDRAIN, 10);
    g_assert_cmpuint(rig_find_for(&rig, GROUP_ACTION_SET_LEAVING, 1)->order, ==, 5001);
    wish(&rig, GROUP_EVENT_DRAIN, 10);
    wish(&rig, GROUP_EVENT_DRAIN, 9000);
    const struct group_action *action = rig_find_for(&rig, GROUP_ACTION_SET_LEAVING, 1);
    g_assert_cmpuint(action->order, ==, 9000);
    g_assert_true(action->leaving);
    rig_stop(&rig);
}

/* Starts the drain of the primary up to the pause; returns the change's id. */
static uint64_t reach_pause(struct rig *rig)
{
    rig_start(rig);
    rig_peer_calm(rig, PEER1);
    rig_peer_calm(rig, PEER2);
    drain(rig, 0);
    for (int i = 0; i < 120 && !group_control_view(rig->control)->writes_paused; i++) {
        rig->now += 10 * MS;
        if (i % 4 == 0) {
            rig_peer_calm(rig, PEER1);
        } else if (i % 4 == 1) {
            rig_peer_calm(rig, PEER2);
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
    /* Every owner's writes ended; now the target must hold what the primary holds. */
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

/* Transactions are always open somewhere: the drain ends all the same, and pauses seldom. */
static void test_drain_ends_beside_open_transactions(void)
{
    struct rig rig;
    reach_pause(&rig);
    time_ns started_at = rig.now;
    time_ns paused = 0;
    while (rig_find(&rig, GROUP_ACTION_FENCE) == NULL && rig.now < started_at + 10000 * MS) {
        rig.now += 5 * MS;
        paused += group_control_view(rig.control)->writes_paused ? 5 * MS : 0;
        uint32_t turn = (uint32_t)(rig.now / (5 * MS)) % 5;
        if (turn < 3) {
            rig_probe(&rig, turn);
        } else {
            rig_peer_calm(&rig, turn == 3 ? PEER1 : PEER2);
        }
    }
    g_assert_nonnull(rig_find(&rig, GROUP_ACTION_FENCE));
    g_assert_cmpuint(rig.now - started_at, <, 5000 * MS);
    g_assert_cmpuint(paused, <, 1000 * MS);
    rig_stop(&rig);
}

/* While another watcher runs the change, this one does not begin its own in between. */
static void test_drain_has_one_coordinator(void)
{
    struct rig rig;
    rig_start(&rig);
    rig_peer_calm(&rig, PEER1);
    rig_peer_calm(&rig, PEER2);
    struct group_opinion change = {
        .watcher = PEER1, .term = 5, .primary = 0, .reachable = 7, .change = 99};
    rig_opinion(&rig, change);
    drain(&rig, 0);
    for (int i = 0; i < 60; i++) {
        rig.now += 50 * MS;
        rig_probe(&rig, (uint32_t)i % 3);
        g_assert_false(rig_recorded(&rig, GROUP_RECORD_CHANGE_STARTED, GROUP_REASON_DRAIN));
        /* Tries for 100 ms in each second. */
        change.change = i % 20 < 2 ? 99 + (uint64_t)i : 0;
        rig_opinion(&rig, change);
        g_assert_false(rig_recorded(&rig, GROUP_RECORD_CHANGE_STARTED, GROUP_REASON_DRAIN));
        rig_peer_calm(&rig, PEER2);
    }
    rig_stop(&rig);
}

static void test_pause_asked_by_a_peer(void)
{
    struct rig rig;
    rig_start(&rig);
    rig_opinion(&rig, (struct group_opinion){
                          .watcher = PEER1, .term = 5, .primary = 0, .reachable = 7, .change = 99});
    g_assert_true(group_control_view(rig.control)->writes_paused);
    g_assert_cmpuint(rig_find(&rig, GROUP_ACTION_PUBLISH_VIEW)->change, ==, 99);
    rig_feed(&rig, (struct group_event){.kind = GROUP_EVENT_WRITES_DRAINED, .change = 99});
    g_assert_cmpuint(rig_find(&rig, GROUP_ACTION_SEND_OPINION)->opinion.drained, ==, 99);
    /* The coordinator falls silent: the pause ends by itself. */
    g_assert_false(rig_run(&rig, 400 * MS, GROUP_ACTION_FENCE));
    g_assert_false(group_control_view(rig.control)->writes_paused);
    rig_stop(&rig);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/group_control/drain_replica", test_drain_replica);
    g_test_add_func("/group_control/drain_taken_back_elsewhere", test_drain_taken_back_elsewhere);
    g_test_add_func("/group_control/drain_taken_back_at_once", test_drain_taken_back_at_once);
    g_test_add_func("/group_control/drain_taken_back_while_out_of_reach",
                    test_drain_taken_back_while_out_of_reach);
    g_test_add_func("/group_control/taking_back_comes_before_the_drain",
                    test_taking_back_comes_before_the_drain);
    g_test_add_func("/group_control/last_word_wins_over_clocks", test_last_word_wins_over_clocks);
    g_test_add_func("/group_control/drain_primary", test_drain_primary);
    g_test_add_func("/group_control/drain_primary_times_out", test_drain_primary_times_out);
    g_test_add_func("/group_control/drain_ends_beside_open_transactions",
                    test_drain_ends_beside_open_transactions);
    g_test_add_func("/group_control/drain_has_one_coordinator", test_drain_has_one_coordinator);
    g_test_add_func("/group_control/pause_asked_by_a_peer", test_pause_asked_by_a_peer);
    return g_test_run();
}
