/* Stalled replication at one watcher: a primary that responds and leads, but replicates to no
 * majority. */
#include "core/group_control.h"

#include <glib.h>
#include <string.h>

#define MS NANOSECONDS_PER_MILLISECOND

#define SELF 11
#define PEER 22

#define DATABASES     3
#define DATABASES_MAX 5

/* One watcher, its three or five databases, and another watcher in another zone. */
struct rig {
    struct group_control *control;
    struct group_actions actions;
    struct group_control_options options;
    struct database_status databases[DATABASES_MAX];
    bool reachable[DATABASES_MAX];
    bool peer_suspects;
    uint64_t sequence;
    time_ns now;
    uint64_t fences[DATABASES_MAX]; /* command ids of the last attempt */
    uint64_t fence_term;            /* of the last attempt; 0 if there was none */
    uint32_t promoted;              /* database of the last promote command */
    enum group_reason reason;       /* of the last attempt */
    enum group_reason suspected_for;
    uint32_t suspected; /* number of suspicions */
};

static void count_record(struct rig *rig, const struct group_record *record)
{
    if (record->kind == GROUP_RECORD_FENCE_STARTED) {
        rig->reason = record->reason;
    }
    if (record->kind == GROUP_RECORD_SUSPECTED) {
        rig->suspected_for = record->reason;
        rig->suspected += 1;
    }
}

static void feed(struct rig *rig, struct group_event event)
{
    event.now = rig->now;
    group_control_step(rig->control, &event, &rig->actions);
    for (uint32_t i = 0; i < rig->actions.count; i++) {
        const struct group_action *action = &rig->actions.items[i];

        if (action->kind == GROUP_ACTION_FENCE) {
            rig->fences[action->database] = action->command;
            rig->fence_term = action->term;
        }
        if (action->kind == GROUP_ACTION_PROMOTE) {
            rig->promoted = action->database;
        }
        if (action->kind == GROUP_ACTION_RECORD_EVENT) {
            count_record(rig, &action->record);
        }
    }
}

static void probe(struct rig *rig, uint32_t database)
{
    feed(rig, (struct group_event){.kind = GROUP_EVENT_PROBE,
                                   .database = database,
                                   .reachable = rig->reachable[database],
                                   .round_trip = MS,
                                   .status = rig->databases[database]});
}

static void receive_peer_opinion(struct rig *rig)
{
    rig->sequence += 1;
    feed(rig, (struct group_event){.kind = GROUP_EVENT_OPINION,
                                   .opinion = {.watcher = PEER,
                                               .sequence = rig->sequence,
                                               .term = 5,
                                               .primary = 0,
                                               .suspects = rig->peer_suspects,
                                               .reachable = 7}});
}

/* Starts with a healthy group: database 0 leads term 5, the others follow it, all hold offset
 * 10. */
static void start_with(struct rig *rig, uint32_t count)
{
    struct group_event watchers = {.kind = GROUP_EVENT_WATCHERS,
                                   .watcher_count = 2,
                                   .watchers = {{.id = SELF, .zone = 0}, {.id = PEER, .zone = 1}}};

    memset(rig, 0, sizeof(*rig));
    rig->now = 1000 * MS;
    rig->promoted = DATABASES_MAX;
    rig->peer_suspects = true;
    group_control_options_init(&rig->options);
    rig->options.group = 7;
    rig->options.watcher = SELF;
    rig->options.database_count = count;
    rig->options.jitter = 0;
    for (uint32_t i = 0; i < rig->options.database_count; i++) {
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
    rig->control = group_control_new(&rig->options, rig->now);
    feed(rig, watchers);
}

static void start(struct rig *rig)
{
    start_with(rig, DATABASES);
}

static void stop(struct rig *rig)
{
    group_control_free(rig->control);
}

/* Advances in rounds of probes until an attempt begins. True if one did. */
static bool run(struct rig *rig, time_ns duration)
{
    time_ns end = rig->now + duration;

    rig->fence_term = 0;
    while (rig->now < end && rig->fence_term == 0) {
        rig->now += 100 * MS;
        for (uint32_t i = 0; i < rig->options.database_count; i++) {
            probe(rig, i);
        }
        if (rig->fence_term == 0) {
            receive_peer_opinion(rig);
        }
    }
    return rig->fence_term != 0;
}

static void expect_attempt(struct rig *rig, time_ns within)
{
    bool begun = run(rig, within);

    g_assert_true(begun);
}

static void expect_no_attempt(struct rig *rig, time_ns duration)
{
    bool begun = run(rig, duration);

    g_assert_false(begun);
}

static void write_at_primary(struct rig *rig)
{
    rig->databases[0].held.offset += 1;
}

static void grant(struct rig *rig, uint32_t database)
{
    rig->databases[database].promised_term = rig->fence_term;
    feed(rig, (struct group_event){.kind = GROUP_EVENT_COMMAND,
                                   .command = rig->fences[database],
                                   .result = GROUP_COMMAND_OK,
                                   .status = rig->databases[database]});
}

/* The primary grants first and holds the longest log, but another database leads: one that got the
 * promises of a majority without it. */
static void test_replaced(void)
{
    struct rig rig;

    start(&rig);
    expect_no_attempt(&rig, 1000 * MS);
    write_at_primary(&rig);
    expect_no_attempt(&rig, 1400 * MS);
    expect_attempt(&rig, 1000 * MS);
    g_assert_cmpint(rig.suspected_for, ==, GROUP_REASON_REPLICATION_STALLED);
    g_assert_cmpint(rig.reason, ==, GROUP_REASON_REPLICATION_STALLED);
    grant(&rig, 0);
    grant(&rig, 2);
    g_assert_cmpuint(rig.promoted, ==, DATABASES_MAX);
    grant(&rig, 1);
    g_assert_cmpuint(rig.promoted, ==, 1);
    stop(&rig);
}

/* Without the vote of the other zone there is no attempt. */
static void test_zones_vote(void)
{
    struct rig rig;

    start(&rig);
    expect_no_attempt(&rig, 1000 * MS);
    rig.peer_suspects = false;
    write_at_primary(&rig);
    expect_no_attempt(&rig, 10000 * MS);
    g_assert_cmpuint(rig.suspected, ==, 1);
    stop(&rig);
}

/* Without writes a stalled replication can't be told from an idle one, and does no harm. */
static void test_idle(void)
{
    struct rig rig;

    start(&rig);
    expect_no_attempt(&rig, 30000 * MS);
    g_assert_cmpuint(rig.suspected, ==, 0);
    stop(&rig);
}

/* One replica holds the complete log, so writes are confirmed. */
static void test_one_replica_suffices(void)
{
    struct rig rig;

    start(&rig);
    for (int i = 0; i < 100; i++) {
        write_at_primary(&rig);
        rig.databases[2].held = rig.databases[0].held;
        expect_no_attempt(&rig, 100 * MS);
    }
    g_assert_cmpuint(rig.suspected, ==, 0);
    stop(&rig);
}

/* Both replicas are far behind and catch up slowly while the primary continues to write. */
static void test_slow_progress(void)
{
    struct rig rig;

    start(&rig);
    expect_no_attempt(&rig, 500 * MS);
    rig.databases[0].held.offset += 10000;
    for (int i = 0; i < 20; i++) {
        rig.databases[0].held.offset += 100;
        rig.databases[1].held.offset += 1;
        rig.databases[2].held.offset += 1;
        expect_no_attempt(&rig, 1000 * MS);
    }
    g_assert_cmpuint(rig.suspected, ==, 0);
    stop(&rig);
}

/* Applied positions don't count: a replica that holds the log may apply it late. */
static void test_late_applying(void)
{
    struct rig rig;

    start(&rig);
    rig.databases[0].held.offset = 20;
    rig.databases[0].applied.offset = 20;
    rig.databases[1].held.offset = 20;
    rig.databases[2].held.offset = 20;
    expect_no_attempt(&rig, 10000 * MS);
    g_assert_cmpuint(rig.suspected, ==, 0);
    stop(&rig);
}

/* Unresponsive replicas are no evidence of a stall, and the time without response does not
 * count. */
static void test_unresponsive_replicas(void)
{
    struct rig rig;

    start(&rig);
    expect_no_attempt(&rig, 500 * MS);
    write_at_primary(&rig);
    rig.reachable[1] = false;
    expect_no_attempt(&rig, 5000 * MS);
    rig.reachable[2] = false;
    expect_no_attempt(&rig, 5000 * MS);
    rig.reachable[1] = true;
    rig.reachable[2] = true;
    expect_no_attempt(&rig, 1000 * MS);
    g_assert_cmpuint(rig.suspected, ==, 0);
    stop(&rig);
}

/* A watcher that stalled itself has not observed a stall of the replicas. */
static void test_own_stall(void)
{
    struct rig rig;

    start(&rig);
    expect_no_attempt(&rig, 500 * MS);
    write_at_primary(&rig);
    expect_no_attempt(&rig, 500 * MS);
    rig.now += 5000 * MS;
    expect_no_attempt(&rig, 500 * MS);
    g_assert_cmpuint(rig.suspected, ==, 0);
    stop(&rig);
}

/* Makes `leader` the primary of the term and the others its followers; it can't replicate
 * either. */
static void lead(struct rig *rig, uint32_t leader, uint64_t term)
{
    for (uint32_t i = 0; i < DATABASES; i++) {
        rig->databases[i].role = DATABASE_ROLE_REPLICA;
        rig->databases[i].term = term;
        rig->databases[i].promised_term = term;
    }
    rig->databases[leader].role = DATABASE_ROLE_PRIMARY;
    rig->databases[leader].held = (struct log_position){term, 100 + term};
}

/* Where no database can replicate, each replacement doubles the time limit, up to factor 16. */
static void test_backs_off(void)
{
    struct rig rig;
    time_ns bound;

    start(&rig);
    feed(&rig, (struct group_event){.kind = GROUP_EVENT_WATCHERS,
                                    .watcher_count = 1,
                                    .watchers = {{.id = SELF, .zone = 0}}});
    expect_no_attempt(&rig, 500 * MS);
    write_at_primary(&rig);
    bound = rig.options.replication_stall_after;
    for (uint32_t i = 0; i < 6; i++) {
        expect_no_attempt(&rig, bound - 100 * MS);
        expect_attempt(&rig, 1000 * MS);
        lead(&rig, 1 + i % 2, rig.fence_term);
        for (uint32_t j = 0; j < DATABASES; j++) {
            probe(&rig, j);
        }
        bound = MIN(bound * 2, 16 * rig.options.replication_stall_after);
    }
    stop(&rig);
}

/* Of five databases, one replica keeps up and three receive nothing: its progress does not prove
 * that the primary replicates to a majority. */
static void test_one_of_five_keeps_up(void)
{
    struct rig rig;

    start_with(&rig, 5);
    for (int i = 0; i < 15; i++) {
        write_at_primary(&rig);
        rig.databases[4].held = rig.databases[0].held;
        expect_no_attempt(&rig, 100 * MS);
    }
    write_at_primary(&rig);
    expect_attempt(&rig, 500 * MS);
    for (uint32_t i = 0; i < 3; i++) {
        grant(&rig, i);
        g_assert_cmpuint(rig.promoted, ==, DATABASES_MAX);
    }
    grant(&rig, 4);
    rig.now += rig.options.fence_grace;
    feed(&rig, (struct group_event){.kind = GROUP_EVENT_TICK});
    g_assert_cmpuint(rig.promoted, ==, 4);
    stop(&rig);
}

/* A replica responds to probes but to no fence: after EXCLUSIONS_MAX failed attempts the old
 * primary may lead again, since there is no other candidate. */
static void test_chosen_again_after_failures(void)
{
    struct rig rig;
    uint32_t attempts = 0;

    start(&rig);
    expect_no_attempt(&rig, 500 * MS);
    write_at_primary(&rig);
    while (rig.promoted == DATABASES_MAX && attempts < 10) {
        expect_attempt(&rig, 6000 * MS);
        attempts += 1;
        grant(&rig, 0);
        grant(&rig, 1);
        rig.now += rig.options.fence_grace;
        feed(&rig, (struct group_event){.kind = GROUP_EVENT_TICK});
    }
    g_assert_cmpuint(attempts, ==, 4);
    g_assert_cmpuint(rig.promoted, ==, 0);
    stop(&rig);
}

/* Probes at a longer interval can't show a failure within the shorter times. */
static void test_detection_gets_shorter(void)
{
    struct rig rig;

    start(&rig);
    group_control_set_detection(rig.control, 8000 * MS, 8000 * MS);
    expect_no_attempt(&rig, 500 * MS);
    write_at_primary(&rig);
    expect_no_attempt(&rig, 3000 * MS);
    group_control_set_detection(rig.control, 400 * MS, 400 * MS);
    expect_no_attempt(&rig, 1000 * MS);
    g_assert_cmpuint(rig.suspected, ==, 0);
    expect_attempt(&rig, 1000 * MS);
    stop(&rig);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/group_replication/replaced", test_replaced);
    g_test_add_func("/group_replication/zones_vote", test_zones_vote);
    g_test_add_func("/group_replication/idle", test_idle);
    g_test_add_func("/group_replication/one_replica_suffices", test_one_replica_suffices);
    g_test_add_func("/group_replication/slow_progress", test_slow_progress);
    g_test_add_func("/group_replication/late_applying", test_late_applying);
    g_test_add_func("/group_replication/unresponsive_replicas", test_unresponsive_replicas);
    g_test_add_func("/group_replication/own_stall", test_own_stall);
    g_test_add_func("/group_replication/backs_off", test_backs_off);
    g_test_add_func("/group_replication/one_of_five_keeps_up", test_one_of_five_keeps_up);
    g_test_add_func("/group_replication/chosen_again_after_failures",
                    test_chosen_again_after_failures);
    g_test_add_func("/group_replication/detection_gets_shorter", test_detection_gets_shorter);
    return g_test_run();
}
