/* Handover of one group by its former owner: the reports of the new owners, or their absence,
 * determine when it stops serving. It never waits longer than the handover time. */
#include "core/handover.h"

#define DATABASES 3
#define ALL       7U
#define MAX_TIME  (5 * NANOSECONDS_PER_SECOND)
#define START     (100 * NANOSECONDS_PER_SECOND)
#define STEP      (25 * NANOSECONDS_PER_MILLISECOND)

#define FIRST  UINT64_C(11)
#define SECOND UINT64_C(12)
#define THIRD  UINT64_C(13)

static void begin(struct handover *handover)
{
    const uint64_t owners[] = {FIRST, SECOND};
    handover_init(handover, DATABASES, MAX_TIME, START);
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

static void test_duplicate_and_foreign_notices_have_no_effect(void)
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

/* An owner that is paused, partitioned, or failed and not yet detected: no report arrives. */
static void test_wait_for_unresponsive_owner_ends(void)
{
    struct handover handover;
    begin(&handover);
    for (time_ns now = START; now < START + MAX_TIME; now += STEP) {
        report_warm(&handover, FIRST, now);
        handover_set_reachable(&handover, ALL, now);
        g_assert_cmpuint(handover_databases_to_query(&handover, SECOND, now), ==, ALL);
        assert_state(&handover, now, HANDOVER_STATE_WAITING);
    }
    assert_state(&handover, START + MAX_TIME, HANDOVER_STATE_TIMED_OUT);
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

/* An owner that was warm left and came back: its old report does not count. */
static void test_returning_owner_is_not_warm(void)
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

/* The same after a restart too short to be detected: the owner is queried again and does not
 * reply. */
static void test_old_reports_expire(void)
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

/* The former owner does not reach the databases for a short time, which makes no owner warm. */
static void test_databases_briefly_unreachable(void)
{
    struct handover handover;
    begin(&handover);
    for (time_ns now = START; now < START + NANOSECONDS_PER_SECOND; now += STEP) {
        handover_set_reachable(&handover, 0, now);
        assert_state(&handover, now, HANDOVER_STATE_WAITING);
    }
}

/* No owner can be warm at a failed database. */
static void test_failed_database_is_ignored(void)
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
    g_test_add_func("/handover/duplicate-and-foreign-notices-have-no-effect",
                    test_duplicate_and_foreign_notices_have_no_effect);
    g_test_add_func("/handover/no-owner-left", test_no_owner_left);
    g_test_add_func("/handover/wait-for-unresponsive-owner-ends",
                    test_wait_for_unresponsive_owner_ends);
    g_test_add_func("/handover/dead-owner-is-replaced", test_dead_owner_is_replaced);
    g_test_add_func("/handover/returning-owner-is-not-warm", test_returning_owner_is_not_warm);
    g_test_add_func("/handover/old-reports-expire", test_old_reports_expire);
    g_test_add_func("/handover/databases-briefly-unreachable", test_databases_briefly_unreachable);
    g_test_add_func("/handover/failed-database-is-ignored", test_failed_database_is_ignored);
    return g_test_run();
}
