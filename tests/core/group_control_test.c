/* Scenarios of one watcher's control of a group of three databases in three zones. */
#include "core/group_control.h"

#include <glib.h>
#include <string.h>

#define MS NANOSECONDS_PER_MILLISECOND

#define SELF  11
#define PEER1 22
#define PEER2 33

/* One watcher and what its three databases would answer. */
struct rig {
    struct group_control *control;
    struct group_actions actions;
    struct group_control_options options;
    struct database_status databases[3];
    bool reachable[3];
    uint64_t sequence[100];
    time_ns now;
};

static void feed(struct rig *rig, struct group_event event)
{
    event.now = rig->now;
    group_control_step(rig->control, &event, &rig->actions);
    g_assert_cmpuint(rig->actions.wake_at, >, rig->now);
}

static const struct group_action *find(const struct rig *rig, enum group_action_kind kind)
{
    for (uint32_t i = 0; i < rig->actions.count; i++) {
        if (rig->actions.items[i].kind == kind) {
            return &rig->actions.items[i];
        }
    }
    return NULL;
}

static const struct group_action *find_for(const struct rig *rig, enum group_action_kind kind,
                                           uint32_t database)
{
    for (uint32_t i = 0; i < rig->actions.count; i++) {
        const struct group_action *action = &rig->actions.items[i];
        if (action->kind == kind && action->database == database) {
            return action;
        }
    }
    return NULL;
}

static bool recorded(const struct rig *rig, enum group_record_kind kind, enum group_reason reason)
{
    for (uint32_t i = 0; i < rig->actions.count; i++) {
        const struct group_action *action = &rig->actions.items[i];
        if (action->kind == GROUP_ACTION_RECORD_EVENT && action->record.kind == kind &&
            action->record.reason == reason) {
            return true;
        }
    }
    return false;
}

static void set_watchers(struct rig *rig, uint32_t count)
{
    struct group_event event = {.kind = GROUP_EVENT_WATCHERS, .watcher_count = count};
    const uint64_t ids[3] = {SELF, PEER1, PEER2};
    for (uint32_t i = 0; i < count; i++) {
        event.watchers[i] = (struct group_watcher){.id = ids[i], .zone = i};
    }
    feed(rig, event);
}

static void probe(struct rig *rig, uint32_t database)
{
    feed(rig, (struct group_event){.kind = GROUP_EVENT_PROBE,
                                   .database = database,
                                   .reachable = rig->reachable[database],
                                   .round_trip = MS,
                                   .status = rig->databases[database]});
}

/* A healthy group: database 0 leads term 5, the others follow it, all hold offset 10. */
static void start_with(struct rig *rig, uint32_t watchers,
                       void (*adjust)(struct group_control_options *))
{
    memset(rig, 0, sizeof(*rig));
    rig->now = 1000 * MS;
    group_control_options_init(&rig->options);
    rig->options.group = 7;
    rig->options.watcher = SELF;
    rig->options.database_count = 3;
    rig->options.jitter = 0;
    for (uint32_t i = 0; i < 3; i++) {
        rig->options.database_zone[i] = i;
        rig->reachable[i] = true;
        rig->databases[i] = (struct database_status){
            .role = i == 0 ? DATABASE_ROLE_PRIMARY : DATABASE_ROLE_REPLICA,
            .term = 5,
            .promised_term = 5,
            .held = {5, 10},
            .applied = {5, 10},
        };
    }
    if (adjust != NULL) {
        adjust(&rig->options);
    }
    rig->control = group_control_new(&rig->options, rig->now);
    set_watchers(rig, watchers);
    for (uint32_t i = 0; i < 3; i++) {
        probe(rig, i);
    }
}

static void start(struct rig *rig)
{
    start_with(rig, 3, NULL);
}

static void stop(struct rig *rig)
{
    group_control_free(rig->control);
}

/* Advances by whole ticks, probing as a shell would. Stops early once `until` comes up. */
static bool run(struct rig *rig, time_ns duration, enum group_action_kind until)
{
    time_ns end = rig->now + duration;
    while (rig->now < end) {
        rig->now += 50 * MS;
        for (uint32_t i = 0; i < 3; i++) {
            probe(rig, i);
            if (find(rig, until) != NULL) {
                return true;
            }
        }
    }
    return false;
}

static void opinion(struct rig *rig, struct group_opinion opinion)
{
    rig->sequence[opinion.watcher] += 1;
    opinion.sequence = rig->sequence[opinion.watcher];
    feed(rig, (struct group_event){.kind = GROUP_EVENT_OPINION, .opinion = opinion});
}

static void peer_suspects(struct rig *rig, uint64_t watcher, uint64_t term)
{
    opinion(rig,
            (struct group_opinion){
                .watcher = watcher, .term = term, .primary = 0, .suspects = true, .reachable = 6});
}

static void peer_calm(struct rig *rig, uint64_t watcher)
{
    opinion(rig,
            (struct group_opinion){.watcher = watcher, .term = 5, .primary = 0, .reachable = 7});
}

/* Answers the command of `action` as the database would. */
static void complete(struct rig *rig, uint64_t command, enum group_command_result result,
                     struct database_status status)
{
    feed(rig,
         (struct group_event){
             .kind = GROUP_EVENT_COMMAND, .command = command, .result = result, .status = status});
}

static struct database_status promise(struct rig *rig, uint32_t database, uint64_t term)
{
    rig->databases[database].promised_term = term;
    return rig->databases[database];
}

/* Kills the primary and lets this watcher and one peer agree; leaves the fences in `fences`. */
static void lose_primary(struct rig *rig, uint64_t fences[3])
{
    rig->reachable[0] = false;
    g_assert_false(run(rig, 600 * MS, GROUP_ACTION_FENCE));
    peer_suspects(rig, PEER1, 5);
    for (int i = 0; i < 10 && find(rig, GROUP_ACTION_FENCE) == NULL; i++) {
        rig->now += 50 * MS;
        probe(rig, 1);
        if (find(rig, GROUP_ACTION_FENCE) != NULL) {
            break;
        }
        probe(rig, 2);
        if (find(rig, GROUP_ACTION_FENCE) != NULL) {
            break;
        }
        peer_suspects(rig, PEER1, 5);
    }
    for (uint32_t i = 0; i < 3; i++) {
        const struct group_action *action = find_for(rig, GROUP_ACTION_FENCE, i);
        g_assert_nonnull(action);
        g_assert_cmpuint(action->term, ==, 6);
        fences[i] = action->command;
    }
}

static struct database_status promote(struct rig *rig, uint32_t database, uint64_t term)
{
    rig->databases[database].role = DATABASE_ROLE_PRIMARY;
    rig->databases[database].term = term;
    rig->databases[database].promised_term = term;
    rig->databases[database].held = (struct log_position){term, 12};
    return rig->databases[database];
}

static void test_healthy(void)
{
    struct rig rig;
    start(&rig);
    const struct group_view *view = group_control_view(rig.control);
    g_assert_cmpint(view->primary, ==, 0);
    g_assert_cmpuint(view->term, ==, 5);
    g_assert_cmpuint(view->sample_count, ==, 1);
    g_assert_cmpuint(view->samples[0].at, ==, rig.now - MS);
    g_assert_false(run(&rig, 10000 * MS, GROUP_ACTION_FENCE));
    g_assert_cmpuint(view->sample_count, ==, GROUP_SAMPLES_MAX);
    g_assert_cmpuint(view->samples[0].at, >, view->samples[1].at);
    stop(&rig);
}

static void test_first_primary(void)
{
    struct rig rig;
    start_with(&rig, 1, NULL);
    group_control_free(rig.control);
    rig.control = group_control_new(&rig.options, rig.now);
    set_watchers(&rig, 1);
    for (uint32_t i = 0; i < 3; i++) {
        rig.databases[i] = (struct database_status){.role = DATABASE_ROLE_REPLICA};
    }
    g_assert_true(run(&rig, 2000 * MS, GROUP_ACTION_FENCE));
    g_assert_cmpuint(find(&rig, GROUP_ACTION_FENCE)->term, ==, 1);
    stop(&rig);
}

/* A watcher that takes the group up and doesn't reach its primary, while the others are healthy and
 * not heard yet: promises are above the term it knows only since it knows none. */
static void test_new_watcher_does_not_depose(void)
{
    struct rig rig;
    start_with(&rig, 3, NULL);
    group_control_free(rig.control);
    rig.control = group_control_new(&rig.options, rig.now);
    set_watchers(&rig, 3);
    rig.reachable[0] = false;
    g_assert_false(run(&rig, 1900 * MS, GROUP_ACTION_FENCE));
    for (int second = 0; second < 10; second++) {
        peer_calm(&rig, PEER1);
        peer_calm(&rig, PEER2);
        g_assert_false(run(&rig, 1000 * MS, GROUP_ACTION_FENCE));
    }
    /* Alone, it must do it all. */
    set_watchers(&rig, 1);
    g_assert_true(run(&rig, 1000 * MS, GROUP_ACTION_FENCE));
    stop(&rig);
}

static void test_one_watcher_does_not_depose(void)
{
    struct rig rig;
    start(&rig);
    rig.reachable[0] = false;
    for (int second = 0; second < 10; second++) {
        peer_calm(&rig, PEER1);
        peer_calm(&rig, PEER2);
        g_assert_false(run(&rig, 1000 * MS, GROUP_ACTION_FENCE));
    }
    g_assert_false(group_control_view(rig.control)->databases[0].reachable);
    /* A suspicion of another term does not count. */
    peer_suspects(&rig, PEER1, 4);
    g_assert_null(find(&rig, GROUP_ACTION_FENCE));
    stop(&rig);
}

static void test_silent_watchers_abstain(void)
{
    struct rig rig;
    start(&rig);
    rig.reachable[0] = false;
    g_assert_false(run(&rig, 2000 * MS, GROUP_ACTION_FENCE));
    g_assert_true(run(&rig, 1000 * MS, GROUP_ACTION_FENCE));
    stop(&rig);
}

static void test_isolated_watcher_does_not_depose(void)
{
    struct rig rig;
    start(&rig);
    rig.reachable[0] = false;
    rig.reachable[1] = false;
    g_assert_false(run(&rig, 10000 * MS, GROUP_ACTION_FENCE));
    stop(&rig);
}

static void single_watcher_deposes(struct group_control_options *options)
{
    options->single_watcher_deposes = true;
}

static void test_mutation_single_watcher(void)
{
    struct rig rig;
    start_with(&rig, 3, single_watcher_deposes);
    rig.reachable[0] = false;
    g_assert_true(run(&rig, 5000 * MS, GROUP_ACTION_FENCE));
    stop(&rig);
}

static void test_failover(void)
{
    struct rig rig;
    uint64_t fences[3];
    start(&rig);
    rig.databases[2].held = (struct log_position){5, 11};
    lose_primary(&rig, fences);
    complete(&rig, fences[1], GROUP_COMMAND_OK, promise(&rig, 1, 6));
    g_assert_null(find(&rig, GROUP_ACTION_PROMOTE));
    complete(&rig, fences[2], GROUP_COMMAND_OK, promise(&rig, 2, 6));
    const struct group_action *action = find(&rig, GROUP_ACTION_PROMOTE);
    g_assert_nonnull(action);
    g_assert_cmpuint(action->database, ==, 2);
    g_assert_cmpuint(action->term, ==, 6);
    complete(&rig, action->command, GROUP_COMMAND_OK, promote(&rig, 2, 6));
    g_assert_true(recorded(&rig, GROUP_RECORD_PROMOTED, GROUP_REASON_PRIMARY_LOST));
    g_assert_nonnull(find_for(&rig, GROUP_ACTION_FOLLOW, 0));
    g_assert_cmpuint(find_for(&rig, GROUP_ACTION_FOLLOW, 1)->primary, ==, 2);
    g_assert_nonnull(find(&rig, GROUP_ACTION_PUBLISH_VIEW));
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, 2);
    g_assert_cmpuint(group_control_view(rig.control)->term, ==, 6);
    const struct group_action *sent = find(&rig, GROUP_ACTION_SEND_OPINION);
    g_assert_cmpuint(sent->opinion.term, ==, 6);
    g_assert_cmpint(sent->opinion.primary, ==, 2);
    g_assert_false(sent->opinion.suspects);
    stop(&rig);
}

static void test_leaving_member_is_chosen_last(void)
{
    struct rig rig;
    uint64_t fences[3];
    start(&rig);
    rig.databases[1].leaving = true;
    lose_primary(&rig, fences);
    complete(&rig, fences[1], GROUP_COMMAND_OK, promise(&rig, 1, 6));
    complete(&rig, fences[2], GROUP_COMMAND_OK, promise(&rig, 2, 6));
    g_assert_cmpuint(find(&rig, GROUP_ACTION_PROMOTE)->database, ==, 2);
    stop(&rig);
}

static void test_refused_fence_backs_off(void)
{
    struct rig rig;
    uint64_t fences[3];
    start(&rig);
    lose_primary(&rig, fences);
    complete(&rig, fences[1], GROUP_COMMAND_REFUSED, promise(&rig, 1, 9));
    complete(&rig, fences[2], GROUP_COMMAND_REFUSED, promise(&rig, 2, 9));
    g_assert_true(recorded(&rig, GROUP_RECORD_ATTEMPT_FAILED, GROUP_REASON_REFUSED));
    g_assert_null(find(&rig, GROUP_ACTION_FENCE));
    /* The late grant of the old attempt changes nothing. */
    complete(&rig, fences[0], GROUP_COMMAND_OK, promise(&rig, 0, 6));
    g_assert_null(find(&rig, GROUP_ACTION_PROMOTE));
    rig.reachable[0] = false;
    g_assert_true(run(&rig, 2000 * MS, GROUP_ACTION_FENCE));
    g_assert_cmpuint(find(&rig, GROUP_ACTION_FENCE)->term, ==, 10);
    stop(&rig);
}

static void test_lost_fence_is_repeated_in_its_term(void)
{
    struct rig rig;
    uint64_t fences[3];
    start(&rig);
    lose_primary(&rig, fences);
    complete(&rig, fences[1], GROUP_COMMAND_LOST, rig.databases[1]);
    rig.now += 60 * MS;
    feed(&rig, (struct group_event){.kind = GROUP_EVENT_TICK});
    const struct group_action *action = find_for(&rig, GROUP_ACTION_FENCE, 1);
    g_assert_nonnull(action);
    g_assert_cmpuint(action->term, ==, 6);
    stop(&rig);
}

/* Brings the rig to the point where database 1 was told to lead; returns the command. */
static uint64_t reach_promote(struct rig *rig)
{
    uint64_t fences[3];
    start(rig);
    lose_primary(rig, fences);
    complete(rig, fences[2], GROUP_COMMAND_OK, promise(rig, 2, 6));
    complete(rig, fences[1], GROUP_COMMAND_OK, promise(rig, 1, 6));
    g_assert_cmpuint(find(rig, GROUP_ACTION_PROMOTE)->database, ==, 1);
    return find(rig, GROUP_ACTION_PROMOTE)->command;
}

static void test_lost_promote_had_taken_effect(void)
{
    struct rig rig;
    uint64_t command = reach_promote(&rig);
    complete(&rig, command, GROUP_COMMAND_LOST, rig.databases[1]);
    g_assert_nonnull(find_for(&rig, GROUP_ACTION_PROBE, 1));
    g_assert_null(find(&rig, GROUP_ACTION_PROMOTE));
    promote(&rig, 1, 6);
    rig.now += 2 * MS;
    probe(&rig, 1);
    g_assert_null(find(&rig, GROUP_ACTION_PROMOTE));
    g_assert_true(recorded(&rig, GROUP_RECORD_PROMOTED, GROUP_REASON_PRIMARY_LOST));
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, 1);
    stop(&rig);
}

static void test_lost_promote_had_not_arrived(void)
{
    struct rig rig;
    uint64_t command = reach_promote(&rig);
    complete(&rig, command, GROUP_COMMAND_LOST, rig.databases[1]);
    rig.now += 2 * MS;
    probe(&rig, 1);
    const struct group_action *action = find(&rig, GROUP_ACTION_PROMOTE);
    g_assert_nonnull(action);
    g_assert_cmpuint(action->term, ==, 6);
    g_assert_cmpuint(action->command, !=, command);
    stop(&rig);
}

static void test_newer_primary_ends_attempt(void)
{
    struct rig rig;
    uint64_t fences[3];
    start(&rig);
    lose_primary(&rig, fences);
    opinion(&rig, (struct group_opinion){
                      .watcher = PEER2, .term = 8, .primary = 2, .reachable = 7, .promised = 8});
    g_assert_true(recorded(&rig, GROUP_RECORD_ATTEMPT_FAILED, GROUP_REASON_NEWER_PRIMARY));
    g_assert_nonnull(find_for(&rig, GROUP_ACTION_PROBE, 2));
    /* Hearsay is no proof: the view has no primary until the database itself says so. */
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, -1);
    promote(&rig, 2, 8);
    probe(&rig, 2);
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, 2);
    stop(&rig);
}

static void test_own_stall_is_not_suspicion(void)
{
    struct rig rig;
    start(&rig);
    rig.now += 5000 * MS;
    feed(&rig, (struct group_event){.kind = GROUP_EVENT_TICK});
    g_assert_false(recorded(&rig, GROUP_RECORD_SUSPECTED, GROUP_REASON_NONE));
    g_assert_true(group_control_view(rig.control)->databases[0].reachable);
    stop(&rig);
}

static void test_fenced_primary_is_not_trusted(void)
{
    struct rig rig;
    start(&rig);
    promise(&rig, 0, 6);
    probe(&rig, 0);
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, -1);
    /* An old answer that arrives late does not bring it back. */
    rig.databases[0].promised_term = 5;
    probe(&rig, 0);
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, -1);
    stop(&rig);
}

/* The primary restarted empty within the detection time. */
static void test_forgetful_primary_is_replaced(void)
{
    struct rig rig;
    start(&rig);
    rig.databases[0] = (struct database_status){.role = DATABASE_ROLE_REPLICA};
    rig.now += 50 * MS;
    probe(&rig, 0);
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, 0);
    g_assert_false(run(&rig, 100 * MS, GROUP_ACTION_FENCE));
    g_assert_false(run(&rig, 50 * MS, GROUP_ACTION_FENCE));
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, -1);
    peer_suspects(&rig, PEER1, 5);
    g_assert_false(run(&rig, 200 * MS, GROUP_ACTION_FENCE));
    peer_suspects(&rig, PEER1, 5);
    for (int i = 0; i < 10 && find(&rig, GROUP_ACTION_FENCE) == NULL; i++) {
        peer_suspects(&rig, PEER1, 5);
        run(&rig, 50 * MS, GROUP_ACTION_FENCE);
    }
    const struct group_action *fence = find_for(&rig, GROUP_ACTION_FENCE, 0);
    g_assert_nonnull(fence);
    uint64_t commands[3];
    for (uint32_t i = 0; i < 3; i++) {
        commands[i] = find_for(&rig, GROUP_ACTION_FENCE, i)->command;
    }
    /* Its grant does not make a majority with one other: both others must grant. */
    complete(&rig, commands[0], GROUP_COMMAND_OK, promise(&rig, 0, 6));
    complete(&rig, commands[1], GROUP_COMMAND_OK, promise(&rig, 1, 6));
    rig.now += 40 * MS;
    feed(&rig, (struct group_event){.kind = GROUP_EVENT_TICK});
    g_assert_null(find(&rig, GROUP_ACTION_PROMOTE));
    complete(&rig, commands[2], GROUP_COMMAND_OK, promise(&rig, 2, 6));
    g_assert_cmpuint(find(&rig, GROUP_ACTION_PROMOTE)->database, ==, 1);
    stop(&rig);
}

static void test_interrupted_failover_is_taken_up(void)
{
    struct rig rig;
    start(&rig);
    promise(&rig, 1, 6);
    promise(&rig, 2, 6);
    probe(&rig, 1);
    probe(&rig, 2);
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, -1);
    g_assert_null(find(&rig, GROUP_ACTION_FENCE));
    g_assert_true(run(&rig, 1000 * MS, GROUP_ACTION_FENCE));
    g_assert_cmpuint(find(&rig, GROUP_ACTION_FENCE)->term, ==, 7);
    stop(&rig);
}

static void test_members_are_told_to_follow(void)
{
    struct rig rig;
    start(&rig);
    rig.databases[2].term = 4;
    rig.databases[2].promised_term = 4;
    group_control_free(rig.control);
    rig.control = group_control_new(&rig.options, rig.now);
    set_watchers(&rig, 3);
    probe(&rig, 2);
    probe(&rig, 0);
    /* What was seen before the primary was known tells nothing: it may have been told since. */
    g_assert_null(find_for(&rig, GROUP_ACTION_FOLLOW, 2));
    rig.now += 10 * MS;
    probe(&rig, 2);
    const struct group_action *action = find_for(&rig, GROUP_ACTION_FOLLOW, 2);
    g_assert_nonnull(action);
    g_assert_cmpuint(action->term, ==, 5);
    g_assert_cmpuint(action->primary, ==, 0);
    stop(&rig);
}

static void test_stray_promise_is_repaired(void)
{
    struct rig rig;
    start_with(&rig, 1, NULL);
    promise(&rig, 2, 8);
    g_assert_false(run(&rig, 1500 * MS, GROUP_ACTION_FENCE));
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, 0);
    bool paused = false;
    for (int i = 0; i < 40 && !paused; i++) {
        rig.now += 50 * MS;
        for (uint32_t database = 0; database < 3 && !paused; database++) {
            probe(&rig, database);
            paused = recorded(&rig, GROUP_RECORD_CHANGE_STARTED, GROUP_REASON_STRAY_PROMISE);
        }
    }
    g_assert_true(paused);
    uint64_t change = find(&rig, GROUP_ACTION_PUBLISH_VIEW)->change;
    g_assert_cmpuint(change, !=, 0);
    feed(&rig, (struct group_event){.kind = GROUP_EVENT_WRITES_DRAINED, .change = change});
    g_assert_cmpuint(find(&rig, GROUP_ACTION_FENCE)->term, ==, 9);
    stop(&rig);
}

/* With one member away, the other's stray promise keeps every write from being confirmed. */
static void test_urgent_stray_promise_is_repaired_at_once(void)
{
    struct rig rig;
    start(&rig);
    promise(&rig, 1, 8);
    rig.reachable[2] = false;
    g_assert_true(run(&rig, 1500 * MS, GROUP_ACTION_FENCE));
    g_assert_cmpuint(find(&rig, GROUP_ACTION_FENCE)->term, ==, 9);
    g_assert_true(recorded(&rig, GROUP_RECORD_FENCE_STARTED, GROUP_REASON_STRAY_PROMISE));
    g_assert_false(group_control_view(rig.control)->writes_paused);
    stop(&rig);
}

static void drain(struct rig *rig, uint32_t database)
{
    feed(rig, (struct group_event){.kind = GROUP_EVENT_DRAIN, .database = database});
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
    complete(rig, taken.command, GROUP_COMMAND_OK, rig->databases[taken.database]);
}

static void test_drain_replica(void)
{
    struct rig rig;
    start(&rig);
    drain(&rig, 1);
    const struct group_action *action = find_for(&rig, GROUP_ACTION_SET_LEAVING, 1);
    g_assert_nonnull(action);
    g_assert_true(action->leaving);
    g_assert_true(group_control_view(rig.control)->databases[1].status.leaving);
    take_mark(&rig, action);
    feed(&rig, (struct group_event){.kind = GROUP_EVENT_UNDRAIN, .database = 1});
    action = find_for(&rig, GROUP_ACTION_SET_LEAVING, 1);
    g_assert_nonnull(action);
    g_assert_false(action->leaving);
    stop(&rig);
}

/* Once the database says that it leaves, it is for any watcher to take that back. */
static void test_drain_taken_back_elsewhere(void)
{
    struct rig rig;
    start(&rig);
    drain(&rig, 1);
    const struct group_action *action = find_for(&rig, GROUP_ACTION_SET_LEAVING, 1);
    take_mark(&rig, action);
    rig.now += 10 * MS;
    probe(&rig, 1);
    mark(&rig, 1, false, rig.databases[1].leaving_order + 1); /* by another watcher */
    g_assert_false(run(&rig, 2000 * MS, GROUP_ACTION_SET_LEAVING));
    g_assert_false(group_control_view(rig.control)->databases[1].status.leaving);
    stop(&rig);
}

/* Taken back before the mark is seen: the mark may still come. */
static void test_drain_taken_back_at_once(void)
{
    struct rig rig;
    start(&rig);
    drain(&rig, 1);
    struct group_action drained = *find_for(&rig, GROUP_ACTION_SET_LEAVING, 1);
    feed(&rig, (struct group_event){.kind = GROUP_EVENT_UNDRAIN, .database = 1});
    rig.now += 10 * MS;
    probe(&rig, 1);
    take_mark(&rig, &drained);
    g_assert_true(find_for(&rig, GROUP_ACTION_SET_LEAVING, 1) != NULL ||
                  run(&rig, 2000 * MS, GROUP_ACTION_SET_LEAVING));
    g_assert_false(find_for(&rig, GROUP_ACTION_SET_LEAVING, 1)->leaving);
    stop(&rig);
}

static void wish(struct rig *rig, enum group_event_kind kind, uint64_t order)
{
    feed(rig, (struct group_event){.kind = kind, .database = 1, .order = order});
}

/* Asked while the database is out of reach, and taken back later at another watcher, whose command
 * comes first once it is back. */
static void test_drain_taken_back_while_out_of_reach(void)
{
    struct rig rig;
    start(&rig);
    rig.reachable[1] = false;
    g_assert_false(run(&rig, 1000 * MS, GROUP_ACTION_SET_LEAVING));
    wish(&rig, GROUP_EVENT_DRAIN, 700);
    g_assert_false(run(&rig, 1000 * MS, GROUP_ACTION_SET_LEAVING));
    g_assert_true(group_control_view(rig.control)->databases[1].status.leaving);
    mark(&rig, 1, false, 900);
    rig.reachable[1] = true;
    g_assert_false(run(&rig, 2000 * MS, GROUP_ACTION_SET_LEAVING));
    g_assert_false(group_control_view(rig.control)->databases[1].status.leaving);
    stop(&rig);
}

/* The one that takes it back tells the database so although it is not marked: the older drain,
 * still on its way to it, then changes nothing. */
static void test_taking_back_comes_before_the_drain(void)
{
    struct rig rig;
    start(&rig);
    wish(&rig, GROUP_EVENT_UNDRAIN, 900);
    const struct group_action *action = find_for(&rig, GROUP_ACTION_SET_LEAVING, 1);
    g_assert_nonnull(action);
    g_assert_false(action->leaving);
    take_mark(&rig, action);
    mark(&rig, 1, true, 700);
    g_assert_false(run(&rig, 2000 * MS, GROUP_ACTION_SET_LEAVING));
    g_assert_false(group_control_view(rig.control)->databases[1].status.leaving);
    stop(&rig);
}

/* A clock that is behind does not put a request before one that its watcher knows of. */
static void test_last_word_wins_over_clocks(void)
{
    struct rig rig;
    start(&rig);
    mark(&rig, 1, true, 5000);
    probe(&rig, 1);
    wish(&rig, GROUP_EVENT_UNDRAIN, 10);
    g_assert_cmpuint(find_for(&rig, GROUP_ACTION_SET_LEAVING, 1)->order, ==, 5001);
    wish(&rig, GROUP_EVENT_DRAIN, 10);
    wish(&rig, GROUP_EVENT_DRAIN, 9000);
    const struct group_action *action = find_for(&rig, GROUP_ACTION_SET_LEAVING, 1);
    g_assert_cmpuint(action->order, ==, 9000);
    g_assert_true(action->leaving);
    stop(&rig);
}

/* Starts the drain of the primary up to the pause; returns the change's id. */
static uint64_t reach_pause(struct rig *rig)
{
    start(rig);
    peer_calm(rig, PEER1);
    peer_calm(rig, PEER2);
    drain(rig, 0);
    for (int i = 0; i < 120 && !group_control_view(rig->control)->writes_paused; i++) {
        rig->now += 10 * MS;
        if (i % 4 == 0) {
            peer_calm(rig, PEER1);
        } else if (i % 4 == 1) {
            peer_calm(rig, PEER2);
        } else {
            probe(rig, (uint32_t)i / 4 % 3);
        }
    }
    g_assert_true(group_control_view(rig->control)->writes_paused);
    g_assert_false(group_control_view(rig->control)->databases[0].status.leaving);
    return find(rig, GROUP_ACTION_PUBLISH_VIEW)->change;
}

static void peer_drained(struct rig *rig, uint64_t watcher, uint64_t change)
{
    opinion(rig,
            (struct group_opinion){
                .watcher = watcher, .term = 5, .primary = 0, .reachable = 7, .drained = change});
}

static void test_drain_primary(void)
{
    struct rig rig;
    uint64_t change = reach_pause(&rig);
    feed(&rig, (struct group_event){.kind = GROUP_EVENT_WRITES_DRAINED, .change = change});
    rig.now += 2 * MS;
    rig.databases[0].held = (struct log_position){5, 14};
    peer_drained(&rig, PEER1, change);
    g_assert_null(find(&rig, GROUP_ACTION_FENCE));
    peer_drained(&rig, PEER2, change);
    /* Every owner's writes ended; now the target must hold what the primary holds. */
    g_assert_null(find(&rig, GROUP_ACTION_FENCE));
    rig.now += 2 * MS;
    probe(&rig, 0);
    probe(&rig, 1);
    g_assert_null(find(&rig, GROUP_ACTION_FENCE));
    rig.databases[1].held = (struct log_position){5, 14};
    rig.databases[2].held = (struct log_position){5, 14};
    probe(&rig, 1);
    const uint64_t fence[3] = {find_for(&rig, GROUP_ACTION_FENCE, 0)->command,
                               find_for(&rig, GROUP_ACTION_FENCE, 1)->command,
                               find_for(&rig, GROUP_ACTION_FENCE, 2)->command};
    for (uint32_t i = 0; i < 3; i++) {
        complete(&rig, fence[i], GROUP_COMMAND_OK, promise(&rig, i, 6));
    }
    const struct group_action *action = find(&rig, GROUP_ACTION_PROMOTE);
    g_assert_nonnull(action);
    g_assert_cmpuint(action->database, ==, 1);
    complete(&rig, action->command, GROUP_COMMAND_OK, promote(&rig, 1, 6));
    g_assert_true(recorded(&rig, GROUP_RECORD_PROMOTED, GROUP_REASON_DRAIN));
    g_assert_false(group_control_view(rig.control)->writes_paused);
    g_assert_cmpint(group_control_view(rig.control)->primary, ==, 1);
    g_assert_true(group_control_view(rig.control)->databases[0].status.leaving);
    stop(&rig);
}

static void test_drain_primary_times_out(void)
{
    struct rig rig;
    uint64_t change = reach_pause(&rig);
    feed(&rig, (struct group_event){.kind = GROUP_EVENT_WRITES_DRAINED, .change = change});
    peer_drained(&rig, PEER1, change);
    bool aborted = false;
    for (int i = 0; i < 10 && !aborted; i++) {
        rig.now += 50 * MS;
        feed(&rig, (struct group_event){.kind = GROUP_EVENT_TICK});
        g_assert_null(find(&rig, GROUP_ACTION_FENCE));
        aborted = recorded(&rig, GROUP_RECORD_CHANGE_ABORTED, GROUP_REASON_TIMEOUT);
    }
    g_assert_true(aborted);
    g_assert_false(group_control_view(rig.control)->writes_paused);
    stop(&rig);
}

/* Transactions are always open somewhere: the drain ends all the same, and pauses seldom. */
static void test_drain_ends_beside_open_transactions(void)
{
    struct rig rig;
    reach_pause(&rig);
    time_ns started_at = rig.now;
    time_ns paused = 0;
    while (find(&rig, GROUP_ACTION_FENCE) == NULL && rig.now < started_at + 10000 * MS) {
        rig.now += 5 * MS;
        paused += group_control_view(rig.control)->writes_paused ? 5 * MS : 0;
        uint32_t turn = (uint32_t)(rig.now / (5 * MS)) % 5;
        if (turn < 3) {
            probe(&rig, turn);
        } else {
            peer_calm(&rig, turn == 3 ? PEER1 : PEER2);
        }
    }
    g_assert_nonnull(find(&rig, GROUP_ACTION_FENCE));
    g_assert_cmpuint(rig.now - started_at, <, 5000 * MS);
    g_assert_cmpuint(paused, <, 1000 * MS);
    stop(&rig);
}

/* While another watcher runs the change, this one does not begin its own in between. */
static void test_drain_has_one_coordinator(void)
{
    struct rig rig;
    start(&rig);
    peer_calm(&rig, PEER1);
    peer_calm(&rig, PEER2);
    struct group_opinion change = {
        .watcher = PEER1, .term = 5, .primary = 0, .reachable = 7, .change = 99};
    opinion(&rig, change);
    drain(&rig, 0);
    for (int i = 0; i < 60; i++) {
        rig.now += 50 * MS;
        probe(&rig, (uint32_t)i % 3);
        g_assert_false(recorded(&rig, GROUP_RECORD_CHANGE_STARTED, GROUP_REASON_DRAIN));
        /* Tries for 100 ms in each second. */
        change.change = i % 20 < 2 ? 99 + (uint64_t)i : 0;
        opinion(&rig, change);
        g_assert_false(recorded(&rig, GROUP_RECORD_CHANGE_STARTED, GROUP_REASON_DRAIN));
        peer_calm(&rig, PEER2);
    }
    stop(&rig);
}

static void test_pause_asked_by_a_peer(void)
{
    struct rig rig;
    start(&rig);
    opinion(&rig, (struct group_opinion){
                      .watcher = PEER1, .term = 5, .primary = 0, .reachable = 7, .change = 99});
    g_assert_true(group_control_view(rig.control)->writes_paused);
    g_assert_cmpuint(find(&rig, GROUP_ACTION_PUBLISH_VIEW)->change, ==, 99);
    feed(&rig, (struct group_event){.kind = GROUP_EVENT_WRITES_DRAINED, .change = 99});
    g_assert_cmpuint(find(&rig, GROUP_ACTION_SEND_OPINION)->opinion.drained, ==, 99);
    /* The coordinator falls silent: the pause ends by itself. */
    g_assert_false(run(&rig, 400 * MS, GROUP_ACTION_FENCE));
    g_assert_false(group_control_view(rig.control)->writes_paused);
    stop(&rig);
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
    g_test_add_func("/group_control/silent_watchers_abstain", test_silent_watchers_abstain);
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
    g_test_add_func("/group_control/forgetful_primary_is_replaced",
                    test_forgetful_primary_is_replaced);
    g_test_add_func("/group_control/interrupted_failover_is_taken_up",
                    test_interrupted_failover_is_taken_up);
    g_test_add_func("/group_control/members_are_told_to_follow", test_members_are_told_to_follow);
    g_test_add_func("/group_control/stray_promise_is_repaired", test_stray_promise_is_repaired);
    g_test_add_func("/group_control/urgent_stray_promise_is_repaired_at_once",
                    test_urgent_stray_promise_is_repaired_at_once);
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
    g_test_add_func("/suspicion/zone_votes", test_zone_votes);
    g_test_add_func("/suspicion/ranks_are_distinct", test_ranks_are_distinct);
    return g_test_run();
}
