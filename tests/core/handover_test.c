/* Hand-over of one group by its old owner: what the new owners tell, or fail to tell, decides when
 * the old one stops serving; it never waits for longer than the time for hand-over. */
#include "core/handover.h"

#define DATABASES 3
#define ALL       7U
#define MOST      (5 * NANOSECONDS_PER_SECOND)
#define START     (100 * NANOSECONDS_PER_SECOND)
#define STEP      (25 * NANOSECONDS_PER_MILLISECOND)

#define FIRST  UINT64_C(11)
#define SECOND UINT64_C(12)
#define THIRD  UINT64_C(13)

static void begin(struct handover *handover)
{
    const uint64_t owners[] = {FIRST, SECOND};
    handover_init(handover, DATABASES, MOST, START);
    handover_set_owners(handover, owners, G_N_ELEMENTS(owners));
}

static void report_warm(struct handover *handover, uint64_t owner, time_ns now)
{
    for (uint32_t i = 0; i < DATABASES; i++) {
        handover_owner_warm(handover, owner, i, now);
    }
}

static void assert_state(const struct handover *handover, time_ns now, enum handover_state expected)
{
    g_assert_cmpint(handover_state(handover, now), ==, expected);
}

static void test_waits_for_all_owners(void)
{
    struct handover handover;
    begin(&handover);
    assert_state(&handover, START, HANDOVER_STATE_WAITING);
    g_assert_cmpuint(handover_databases_to_query(&handover, FIRST, START), ==, ALL);
    report_warm(&handover, FIRST, START + STEP);
    g_assert_cmpuint(handover_databases_to_query(&handover, FIRST, START + STEP), ==, 0);
    assert_state(&handover, START + STEP, HANDOVER_STATE_WAITING);
    handover_owner_warm(&handover, SECOND, 0, START + STEP);
    handover_owner_warm(&handover, SECOND, 2, START + STEP);
    g_assert_cmpuint(handover_databases_to_query(&handover, SECOND, START + STEP), ==, 2);
    assert_state(&handover, START + STEP, HANDOVER_STATE_WAITING);
    handover_owner_warm(&handover, SECOND, 1, START + 2 * STEP);
    assert_state(&handover, START + 2 * STEP, HANDOVER_STATE_WARM);
}

static void test_doubled_and_foreign_notices_change_nothing(void)
{
    struct handover handover;
    begin(&handover);
    report_warm(&handover, FIRST, START);
    report_warm(&handover, FIRST, START);
    report_warm(&handover, THIRD, START);
    handover_owner_warm(&handover, SECOND, DATABASES, START);
    assert_state(&handover, START, HANDOVER_STATE_WAITING);
}

static void test_no_owner_left(void)
{
    struct handover handover;
    begin(&handover);
    handover_set_owners(&handover, NULL, 0);
    assert_state(&handover, START, HANDOVER_STATE_WARM);
}

/* Paused, cut off or dead and not yet known to be: nothing is heard of it. */
static void test_silent_owner_is_waited_for_no_longer(void)
{
    struct handover handover;
    begin(&handover);
    for (time_ns now = START; now < START + MOST; now += STEP) {
        report_warm(&handover, FIRST, now);
        handover_set_reachable(&handover, ALL, now);
        g_assert_cmpuint(handover_databases_to_query(&handover, SECOND, now), ==, ALL);
        assert_state(&handover, now, HANDOVER_STATE_WAITING);
    }
    assert_state(&handover, START + MOST, HANDOVER_STATE_TIMED_OUT);
}

static void test_dead_owner_is_replaced(void)
{
    const uint64_t after[] = {SECOND, THIRD};
    struct handover handover;
    begin(&handover);
    report_warm(&handover, SECOND, START);
    handover_set_owners(&handover, after, G_N_ELEMENTS(after));
    assert_state(&handover, START + STEP, HANDOVER_STATE_WAITING);
    g_assert_cmpuint(handover_databases_to_query(&handover, FIRST, START + STEP), ==, 0);
    g_assert_cmpuint(handover_databases_to_query(&handover, THIRD, START + STEP), ==, ALL);
    report_warm(&handover, THIRD, START + STEP);
    assert_state(&handover, START + STEP, HANDOVER_STATE_WARM);
}

/* An owner that was warm went and came back: it has to tell anew. */
static void test_flapping_owner_starts_cold(void)
{
    const uint64_t both[] = {FIRST, SECOND};
    struct handover handover;
    begin(&handover);
    report_warm(&handover, FIRST, START);
    handover_set_owners(&handover, &both[1], 1);
    handover_set_owners(&handover, both, G_N_ELEMENTS(both));
    report_warm(&handover, SECOND, START);
    assert_state(&handover, START, HANDOVER_STATE_WAITING);
    g_assert_cmpuint(handover_databases_to_query(&handover, FIRST, START), ==, ALL);
}

/* The same when its restart was too short to be seen: it is asked again, and does not answer. */
static void test_old_answers_run_out(void)
{
    struct handover handover;
    begin(&handover);
    report_warm(&handover, FIRST, START);
    time_ns later = START + NANOSECONDS_PER_SECOND;
    handover_set_reachable(&handover, ALL, later);
    report_warm(&handover, SECOND, later);
    g_assert_cmpuint(handover_databases_to_query(&handover, FIRST, later), ==, ALL);
    assert_state(&handover, later, HANDOVER_STATE_WAITING);
}

/* The old owner itself does not reach the databases for a moment: that makes nobody warm. */
static void test_moment_without_databases(void)
{
    struct handover handover;
    begin(&handover);
    for (time_ns now = START; now < START + NANOSECONDS_PER_SECOND; now += STEP) {
        handover_set_reachable(&handover, 0, now);
        assert_state(&handover, now, HANDOVER_STATE_WAITING);
    }
}

/* Nobody is warm at a database that has failed. */
static void test_failed_database_is_left_out(void)
{
    struct handover handover;
    begin(&handover);
    time_ns later = START + NANOSECONDS_PER_SECOND;
    handover_set_reachable(&handover, ALL & ~2U, later);
    for (uint32_t i = 0; i < DATABASES; i += 2) {
        handover_owner_warm(&handover, FIRST, i, later);
        handover_owner_warm(&handover, SECOND, i, later);
    }
    assert_state(&handover, later, HANDOVER_STATE_WARM);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/handover/waits-for-all-owners", test_waits_for_all_owners);
    g_test_add_func("/handover/doubled-and-foreign-notices-change-nothing",
                    test_doubled_and_foreign_notices_change_nothing);
    g_test_add_func("/handover/no-owner-left", test_no_owner_left);
    g_test_add_func("/handover/silent-owner-is-waited-for-no-longer",
                    test_silent_owner_is_waited_for_no_longer);
    g_test_add_func("/handover/dead-owner-is-replaced", test_dead_owner_is_replaced);
    g_test_add_func("/handover/flapping-owner-starts-cold", test_flapping_owner_starts_cold);
    g_test_add_func("/handover/old-answers-run-out", test_old_answers_run_out);
    g_test_add_func("/handover/moment-without-databases", test_moment_without_databases);
    g_test_add_func("/handover/failed-database-is-left-out", test_failed_database_is_left_out);
    return g_test_run();
}
