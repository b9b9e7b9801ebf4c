/* Failure detection, failover and repair by one watcher of three databases in three zones. */
#include "group_control_fixture.h"

#include <glib.h>

static void peer_suspects(struct rig *rig, uint64_t watcher, uint64_t term)
{
    rig_opinion(
        rig, (struct group_opinion){
                 .watcher = watcher, .term = term, .primary = 0, .suspects = true, .reachable = 6});
}

/* Makes the primary unreachable and a peer confirm the suspicion; returns the commands in
 * `fences`. */
static void fail_primary(struct rig *rig, uint64_t fences[3])
{
    rig->reachable[0] = false;
    g_assert_false(rig_run(rig, 600 * MS, GROUP_ACTION_FENCE));
    peer_suspects(rig, PEER1, 5);
    for (int i = 0; i < 10 && rig_find(rig, GROUP_ACTION_FENCE) == NULL; i++) {
        rig->now += 50 * MS;
        rig_probe(rig, 1);
        if (rig_find(rig, GROUP_ACTION_FENCE) != NULL) {
            break;
        }
        rig_probe(rig, 2);
        if (rig_find(rig, GROUP_ACTION_FENCE) != NULL) {
            break;
        }
        peer_suspects(rig, PEER1, 5);
    }
    for (uint32_t i = 0; i < 3; i++) {
        const struct group_action *action = rig_find_for(rig, GROUP_ACTION_FENCE, i);
        g_assert_nonnull(action);
        g_assert_cmpuint(action->term, ==, 6);
        fences[i] = action->command;
    }
}

static void test_healthy(void)
{
    struct rig rig;
    rig_start(&rig);
    const struct group_view *view = group_control_view(rig.control);
    g_assert_cmpint(view->primary, ==, 0);
    g_assert_cmpuint(view->term, ==, 5);
    g_assert_cmpuint(view->sample_count, ==, 1);
    g_assert_cmpuint(view->samples[0].at, ==, rig.now - MS);
    g_assert_false(rig_run(&rig, 10000 * MS, GROUP_ACTION_FENCE));
    g_assert_cmpuint(view->sample_count, ==, GROUP_SAMPLES_MAX);
    g_assert_cmpuint(view->samples[0].at, >, view->samples[1].at);
    rig_stop(&rig);
}

static void test_first_primary(void)
{
    struct rig rig;
    rig_start_with(&rig, 1, NULL);
    group_control_free(rig.control);
    rig.control = group_control_new(&rig.options, rig.now);
    rig_set_watchers(&rig, 1);
    for (uint32_t i = 0; i < 3; i++) {
        rig.databases[i] = (struct database_status){.role = DATABASE_ROLE_REPLICA};
    }
    g_assert_true(rig_run(&rig, 2000 * MS, GROUP_ACTION_FENCE));
    g_assert_cmpuint(rig_find(&rig, GROUP_ACTION_FENCE)->term, ==, 1);
    rig_stop(&rig);
}

/* A new watcher that does not reach the primary and has no opinions of the others yet must not
 * depose a healthy primary. It sees promised terms above its own only because it knows no term. */
static void test_new_watcher_does_not_depose(void)
{
    struct rig rig;
    rig_start_with(&rig, 3, NULL);
    group_control_free(rig.control);
    rig.control = group_control_new(&rig.options, rig.now);
    rig_set_watchers(&rig, 3);
    rig.reachable[0] = false;
    g_assert_false(rig_run(&rig, 1900 * MS, GROUP_ACTION_FENCE));
    for (int second = 0; second < 10; second++) {
        rig_peer_without_suspicion(&rig, PEER1);
        rig_peer_without_suspicion(&rig, PEER2);
        g_assert_false(rig_run(&rig, 1000 * MS, GROUP_ACTION_FENCE));
    }
    /* As the only watcher it must act by itself. */
    rig_set_watchers(&rig, 1);
    g_assert_true(rig_run(&rig, 1000 * MS, GROUP_ACTION_FENCE));
    rig_stop(&rig);
}

static void test_one_watcher_does_not_depose(void)
{
    struct rig rig;
    rig_start(&rig);
    rig.reachable[0] = false;
    for (int second = 0; second < 10; second++) {
        rig_peer_without_suspicion(&rig, PEER1);
        rig_peer_without_suspicion(&rig, PEER2);
        g_assert_false(rig_run(&rig, 1000 * MS, GROUP_ACTION_FENCE));
    }
    g_assert_false(group_control_view(rig.control)->databases[0].reachable);
    /* A suspicion of another term does not count. */
    peer_suspects(&rig, PEER1, 4);
    g_assert_null(rig_find(&rig, GROUP_ACTION_FENCE));
    rig_stop(&rig);
}

static void test_unresponsive_watchers_abstain(void)
{
    struct rig rig;
    rig_start(&rig);
    rig.reachable[0] = false;
    g_assert_false(rig_run(&rig, 2000 * MS, GROUP_ACTION_FENCE));
    g_assert_true(rig_run(&rig, 1000 * MS, GROUP_ACTION_FENCE));
    rig_stop(&rig);
}

static void test_isolated_watcher_does_not_depose(void)
{
    struct rig rig;
    rig_start(&rig);
    rig.reachable[0] = false;
    rig.reachable[1] = false;
    g_assert_false(rig_run(&rig, 10000 * MS, GROUP_ACTION_FENCE));
    rig_stop(&rig);
}

static void single_watcher_deposes(struct group_control_options *options)
{
    options->single_watcher_deposes = true;
}

static void test_mutation_single_watcher(void)
{
    struct rig rig;
    rig_start_with(&rig, 3, single_watcher_deposes);
    rig.reachable[0] = false;
    g_assert_true(rig_run(&rig, 5000 * MS, GROUP_ACTION_FENCE));
    rig_stop(&rig);
}

static void test_failover(void)
{
    struct rig rig;
    uint64_t fences[3];
    rig_start(&rig);
    rig.databases[2].held = (struct log_position){5, 11};
    fail_primary(&rig, fences);
    rig_complete(&rig, fences[1], GROUP_COMMAND_OK, rig_promise(&rig, 1, 6));
    g_assert_null(rig_find(&rig, GROUP_ACTION_PROMOTE));
    rig_complete(&rig, fences[2], GROUP_COMMAND_OK, rig_promise(&rig, 2, 6));
    const struct group_action *action = rig_find(&rig, GROUP_ACTION_PROMOTE);
    g_assert_nonnull(action);
    g_assert_cmpuint(action->database, ==, 2);
    g_assert_cmpuint(action->term, ==, 6);
    rig_complete(&rig, action->command, GROUP_COMMAND_OK, rig_promote(&rig, 2, 6));
    g_assert_true(rig_recorded(&rig, GROUP_RECORD_PROMOTED, GROUP_REASON_PRIMARY_LOST));
    g_assert_nonnull(rig_find_for(&rig, GROUP_ACTION_FOLLOW, 0));
    g_assert_cmpuint(rig_find_for(&rig, GROUP_ACTION_FOLLOW, 1)->primary, ==, 2);
    g_assert_nonnull(rig_find(&rig, GROUP_ACTION_PUBLISH_VIEW));
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, 2);
    g_assert_cmpuint(group_control_view(rig.control)->term, ==, 6);
    const struct group_action *sent = rig_find(&rig, GROUP_ACTION_SEND_OPINION);
    g_assert_cmpuint(sent->opinion.term, ==, 6);
    g_assert_cmpint(sent->opinion.primary, ==, 2);
    g_assert_false(sent->opinion.suspects);
    rig_stop(&rig);
}

static void test_leaving_member_is_chosen_last(void)
{
    struct rig rig;
    uint64_t fences[3];
    rig_start(&rig);
    rig.databases[1].leaving = true;
    fail_primary(&rig, fences);
    rig_complete(&rig, fences[1], GROUP_COMMAND_OK, rig_promise(&rig, 1, 6));
    rig_complete(&rig, fences[2], GROUP_COMMAND_OK, rig_promise(&rig, 2, 6));
    g_assert_cmpuint(rig_find(&rig, GROUP_ACTION_PROMOTE)->database, ==, 2);
    rig_stop(&rig);
}

static void test_refused_fence_backs_off(void)
{
    struct rig rig;
    uint64_t fences[3];
    rig_start(&rig);
    fail_primary(&rig, fences);
    rig_complete(&rig, fences[1], GROUP_COMMAND_REFUSED, rig_promise(&rig, 1, 9));
    rig_complete(&rig, fences[2], GROUP_COMMAND_REFUSED, rig_promise(&rig, 2, 9));
    g_assert_true(rig_recorded(&rig, GROUP_RECORD_ATTEMPT_FAILED, GROUP_REASON_REFUSED));
    g_assert_null(rig_find(&rig, GROUP_ACTION_FENCE));
    /* A late grant of the failed attempt has no effect. */
    rig_complete(&rig, fences[0], GROUP_COMMAND_OK, rig_promise(&rig, 0, 6));
    g_assert_null(rig_find(&rig, GROUP_ACTION_PROMOTE));
    rig.reachable[0] = false;
    g_assert_true(rig_run(&rig, 2000 * MS, GROUP_ACTION_FENCE));
    g_assert_cmpuint(rig_find(&rig, GROUP_ACTION_FENCE)->term, ==, 10);
    rig_stop(&rig);
}

static void test_lost_fence_is_repeated_in_its_term(void)
{
    struct rig rig;
    uint64_t fences[3];
    rig_start(&rig);
    fail_primary(&rig, fences);
    rig_complete(&rig, fences[1], GROUP_COMMAND_LOST, rig.databases[1]);
    rig.now += 60 * MS;
    rig_feed(&rig, (struct group_event){.kind = GROUP_EVENT_TICK});
    const struct group_action *action = rig_find_for(&rig, GROUP_ACTION_FENCE, 1);
    g_assert_nonnull(action);
    g_assert_cmpuint(action->term, ==, 6);
    rig_stop(&rig);
}

/* Runs a failover up to the promote command for database 1; returns the command. */
static uint64_t reach_promote(struct rig *rig)
{
    uint64_t fences[3];
    rig_start(rig);
    fail_primary(rig, fences);
    rig_complete(rig, fences[2], GROUP_COMMAND_OK, rig_promise(rig, 2, 6));
    rig_complete(rig, fences[1], GROUP_COMMAND_OK, rig_promise(rig, 1, 6));
    g_assert_cmpuint(rig_find(rig, GROUP_ACTION_PROMOTE)->database, ==, 1);
    return rig_find(rig, GROUP_ACTION_PROMOTE)->command;
}

static void test_lost_promote_had_taken_effect(void)
{
    struct rig rig;
    uint64_t command = reach_promote(&rig);
    rig_complete(&rig, command, GROUP_COMMAND_LOST, rig.databases[1]);
    g_assert_nonnull(rig_find_for(&rig, GROUP_ACTION_PROBE, 1));
    g_assert_null(rig_find(&rig, GROUP_ACTION_PROMOTE));
    rig_promote(&rig, 1, 6);
    rig.now += 2 * MS;
    rig_probe(&rig, 1);
    g_assert_null(rig_find(&rig, GROUP_ACTION_PROMOTE));
    g_assert_true(rig_recorded(&rig, GROUP_RECORD_PROMOTED, GROUP_REASON_PRIMARY_LOST));
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, 1);
    rig_stop(&rig);
}

static void test_lost_promote_had_not_arrived(void)
{
    struct rig rig;
    uint64_t command = reach_promote(&rig);
    rig_complete(&rig, command, GROUP_COMMAND_LOST, rig.databases[1]);
    rig.now += 2 * MS;
    rig_probe(&rig, 1);
    const struct group_action *action = rig_find(&rig, GROUP_ACTION_PROMOTE);
    g_assert_nonnull(action);
    g_assert_cmpuint(action->term, ==, 6);
    g_assert_cmpuint(action->command, !=, command);
    rig_stop(&rig);
}

static void test_newer_primary_ends_attempt(void)
{
    struct rig rig;
    uint64_t fences[3];
    rig_start(&rig);
    fail_primary(&rig, fences);
    rig_opinion(&rig,
                (struct group_opinion){
                    .watcher = PEER2, .term = 8, .primary = 2, .reachable = 7, .promised = 8});
    g_assert_true(rig_recorded(&rig, GROUP_RECORD_ATTEMPT_FAILED, GROUP_REASON_NEWER_PRIMARY));
    g_assert_nonnull(rig_find_for(&rig, GROUP_ACTION_PROBE, 2));
    /* An opinion is no proof: the view has no primary until the database itself reports it. */
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, -1);
    rig_promote(&rig, 2, 8);
    rig_probe(&rig, 2);
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, 2);
    rig_stop(&rig);
}

static void test_own_stall_is_not_suspicion(void)
{
    struct rig rig;
    rig_start(&rig);
    rig.now += 5000 * MS;
    rig_feed(&rig, (struct group_event){.kind = GROUP_EVENT_TICK});
    g_assert_false(rig_recorded(&rig, GROUP_RECORD_SUSPECTED, GROUP_REASON_NONE));
    g_assert_true(group_control_view(rig.control)->databases[0].reachable);
    rig_stop(&rig);
}

static void test_fenced_primary_is_not_trusted(void)
{
    struct rig rig;
    rig_start(&rig);
    rig_promise(&rig, 0, 6);
    rig_probe(&rig, 0);
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, -1);
    /* An old status that arrives late does not restore it. */
    rig.databases[0].promised_term = 5;
    rig_probe(&rig, 0);
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, -1);
    rig_stop(&rig);
}

/* The primary restarted without its state within the detection time. */
static void test_primary_without_state_is_replaced(void)
{
    struct rig rig;
    rig_start(&rig);
    rig.databases[0] = (struct database_status){.role = DATABASE_ROLE_REPLICA};
    rig.now += 50 * MS;
    rig_probe(&rig, 0);
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, 0);
    g_assert_false(rig_run(&rig, 100 * MS, GROUP_ACTION_FENCE));
    g_assert_false(rig_run(&rig, 50 * MS, GROUP_ACTION_FENCE));
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, -1);
    peer_suspects(&rig, PEER1, 5);
    g_assert_false(rig_run(&rig, 200 * MS, GROUP_ACTION_FENCE));
    peer_suspects(&rig, PEER1, 5);
    for (int i = 0; i < 10 && rig_find(&rig, GROUP_ACTION_FENCE) == NULL; i++) {
        peer_suspects(&rig, PEER1, 5);
        rig_run(&rig, 50 * MS, GROUP_ACTION_FENCE);
    }
    const struct group_action *fence = rig_find_for(&rig, GROUP_ACTION_FENCE, 0);
    g_assert_nonnull(fence);
    uint64_t commands[3];
    for (uint32_t i = 0; i < 3; i++) {
        commands[i] = rig_find_for(&rig, GROUP_ACTION_FENCE, i)->command;
    }
    /* Its grant makes no majority with one other grant: both other databases must grant. */
    rig_complete(&rig, commands[0], GROUP_COMMAND_OK, rig_promise(&rig, 0, 6));
    rig_complete(&rig, commands[1], GROUP_COMMAND_OK, rig_promise(&rig, 1, 6));
    rig.now += 40 * MS;
    rig_feed(&rig, (struct group_event){.kind = GROUP_EVENT_TICK});
    g_assert_null(rig_find(&rig, GROUP_ACTION_PROMOTE));
    rig_complete(&rig, commands[2], GROUP_COMMAND_OK, rig_promise(&rig, 2, 6));
    g_assert_cmpuint(rig_find(&rig, GROUP_ACTION_PROMOTE)->database, ==, 1);
    rig_stop(&rig);
}

static void test_interrupted_failover_is_completed(void)
{
    struct rig rig;
    rig_start(&rig);
    rig_promise(&rig, 1, 6);
    rig_promise(&rig, 2, 6);
    rig_probe(&rig, 1);
    rig_probe(&rig, 2);
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, -1);
    g_assert_null(rig_find(&rig, GROUP_ACTION_FENCE));
    g_assert_true(rig_run(&rig, 1000 * MS, GROUP_ACTION_FENCE));
    g_assert_cmpuint(rig_find(&rig, GROUP_ACTION_FENCE)->term, ==, 7);
    rig_stop(&rig);
}

static void test_members_get_follow_commands(void)
{
    struct rig rig;
    rig_start(&rig);
    rig.databases[2].term = 4;
    rig.databases[2].promised_term = 4;
    group_control_free(rig.control);
    rig.control = group_control_new(&rig.options, rig.now);
    rig_set_watchers(&rig, 3);
    rig_probe(&rig, 2);
    rig_probe(&rig, 0);
    /* A status from before the primary was known proves nothing: the database may have got the
     * follow command since. */
    g_assert_null(rig_find_for(&rig, GROUP_ACTION_FOLLOW, 2));
    rig.now += 10 * MS;
    rig_probe(&rig, 2);
    const struct group_action *action = rig_find_for(&rig, GROUP_ACTION_FOLLOW, 2);
    g_assert_nonnull(action);
    g_assert_cmpuint(action->term, ==, 5);
    g_assert_cmpuint(action->primary, ==, 0);
    rig_stop(&rig);
}

static void test_stray_promise_is_repaired(void)
{
    struct rig rig;
    rig_start_with(&rig, 1, NULL);
    rig_promise(&rig, 2, 8);
    g_assert_false(rig_run(&rig, 1500 * MS, GROUP_ACTION_FENCE));
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, 0);
    bool paused = false;
    for (int i = 0; i < 40 && !paused; i++) {
        rig.now += 50 * MS;
        for (uint32_t database = 0; database < 3 && !paused; database++) {
            rig_probe(&rig, database);
            paused = rig_recorded(&rig, GROUP_RECORD_CHANGE_STARTED, GROUP_REASON_STRAY_PROMISE);
        }
    }
    g_assert_true(paused);
    uint64_t change = rig_find(&rig, GROUP_ACTION_PUBLISH_VIEW)->change;
    g_assert_cmpuint(change, !=, 0);
    rig_feed(&rig, (struct group_event){.kind = GROUP_EVENT_WRITES_DRAINED, .change = change});
    g_assert_cmpuint(rig_find(&rig, GROUP_ACTION_FENCE)->term, ==, 9);
    rig_stop(&rig);
}

/* With one member unreachable, the other's stray promise prevents all writes from being
 * confirmed. */
static void test_blocking_stray_promise_is_repaired_at_once(void)
{
    struct rig rig;
    rig_start(&rig);
    rig_promise(&rig, 1, 8);
    rig.reachable[2] = false;
    g_assert_true(rig_run(&rig, 1500 * MS, GROUP_ACTION_FENCE));
    g_assert_cmpuint(rig_find(&rig, GROUP_ACTION_FENCE)->term, ==, 9);
    g_assert_true(rig_recorded(&rig, GROUP_RECORD_FENCE_STARTED, GROUP_REASON_STRAY_PROMISE));
    g_assert_false(group_control_view(rig.control)->writes_paused);
    rig_stop(&rig);
}

static void test_zone_votes(void)
{
    const struct suspicion_vote isolated_zone[] = {
        {0, true}, {0, true}, {0, true}, {1, false}, {2, false}};
    const struct suspicion_vote lost_zone[] = {
        {0, false}, {0, false}, {0, false}, {1, true}, {2, true}};
    const struct suspicion_vote two_zones[] = {{0, true}, {1, false}};
    const struct suspicion_vote two_zones_agree[] = {{0, true}, {1, true}};
    const struct suspicion_vote one_zone[] = {{0, true}, {0, false}};
    const struct suspicion_vote alone[] = {{0, true}};
    g_assert_false(suspicion_confirmed(isolated_zone, 5));
    g_assert_true(suspicion_confirmed(lost_zone, 5));
    g_assert_false(suspicion_confirmed(two_zones, 2));
    g_assert_true(suspicion_confirmed(two_zones_agree, 2));
    g_assert_false(suspicion_confirmed(one_zone, 2));
    g_assert_true(suspicion_confirmed(alone, 1));
    g_assert_false(suspicion_confirmed(alone, 0));
}

static void test_ranks_are_distinct(void)
{
    const uint64_t watchers[3] = {SELF, PEER1, PEER2};
    uint32_t seen = 0;
    for (int i = 0; i < 3; i++) {
        seen |= UINT32_C(1) << suspicion_rank(7, 5, watchers[i], watchers, 3);
    }
    g_assert_cmpuint(seen, ==, 7);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/group_control/healthy", test_healthy);
    g_test_add_func("/group_control/first_primary", test_first_primary);
    g_test_add_func("/group_control/new_watcher_does_not_depose", test_new_watcher_does_not_depose);
    g_test_add_func("/group_control/one_watcher_does_not_depose", test_one_watcher_does_not_depose);
    g_test_add_func("/group_control/unresponsive_watchers_abstain",
                    test_unresponsive_watchers_abstain);
    g_test_add_func("/group_control/isolated_watcher_does_not_depose",
                    test_isolated_watcher_does_not_depose);
    g_test_add_func("/group_control/mutation_single_watcher", test_mutation_single_watcher);
    g_test_add_func("/group_control/failover", test_failover);
    g_test_add_func("/group_control/leaving_member_is_chosen_last",
                    test_leaving_member_is_chosen_last);
    g_test_add_func("/group_control/refused_fence_backs_off", test_refused_fence_backs_off);
    g_test_add_func("/group_control/lost_fence_is_repeated_in_its_term",
                    test_lost_fence_is_repeated_in_its_term);
    g_test_add_func("/group_control/lost_promote_had_taken_effect",
                    test_lost_promote_had_taken_effect);
    g_test_add_func("/group_control/lost_promote_had_not_arrived",
                    test_lost_promote_had_not_arrived);
    g_test_add_func("/group_control/newer_primary_ends_attempt", test_newer_primary_ends_attempt);
    g_test_add_func("/group_control/own_stall_is_not_suspicion", test_own_stall_is_not_suspicion);
    g_test_add_func("/group_control/fenced_primary_is_not_trusted",
                    test_fenced_primary_is_not_trusted);
    g_test_add_func("/group_control/primary_without_state_is_replaced",
                    test_primary_without_state_is_replaced);
    g_test_add_func("/group_control/interrupted_failover_is_completed",
                    test_interrupted_failover_is_completed);
    g_test_add_func("/group_control/members_get_follow_commands", test_members_get_follow_commands);
    g_test_add_func("/group_control/stray_promise_is_repaired", test_stray_promise_is_repaired);
    g_test_add_func("/group_control/blocking_stray_promise_is_repaired_at_once",
                    test_blocking_stray_promise_is_repaired_at_once);
    g_test_add_func("/suspicion/zone_votes", test_zone_votes);
    g_test_add_func("/suspicion/ranks_are_distinct", test_ranks_are_distinct);
    return g_test_run();
}
