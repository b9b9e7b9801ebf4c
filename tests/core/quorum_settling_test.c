/* A change of a group's databases completes only in this order: most daemons know it, all
 * operations with the previous set have ended, a majority of the databases holds all acknowledged
 * writes. */
#include "core/quorum_settling.h"

#include <glib.h>

#define SECONDS(n) ((n)*NANOSECONDS_PER_SECOND)
#define WAIT       SECONDS(400)
#define DATABASES  4
#define TERM       7

/* A group of four databases led by database 0; all hold offset 10. */
static struct group_view view_at(time_ns now)
{
    struct group_view view = {.term = TERM, .database_count = DATABASES};
    for (uint32_t i = 0; i < DATABASES; i++) {
        view.databases[i] = (struct database_view){
            .reachable = true,
            .observed_at = now,
            .status = {.role = i == 0 ? DATABASE_ROLE_PRIMARY : DATABASE_ROLE_REPLICA,
                       .term = TERM,
                       .promised_term = TERM,
                       .held = {TERM, 10}},
        };
    }
    return view;
}

/* A group that reached agreement at second 1. */
static struct quorum_settling agreed(void)
{
    struct quorum_settling settling;
    struct group_view view = view_at(SECONDS(1));
    quorum_settling_start(&settling, WAIT);
    quorum_settling_observe(&settling, &view, true, SECONDS(1));
    g_assert_cmpint(settling.state, ==, QUORUM_SETTLING_WAITING);
    return settling;
}

static void test_in_order(void)
{
    struct quorum_settling settling;
    struct group_view view = view_at(SECONDS(1000));
    quorum_settling_start(&settling, WAIT);
    quorum_settling_observe(&settling, &view, false, SECONDS(1000));
    g_assert_cmpint(settling.state, ==, QUORUM_SETTLING_AGREEING);
    quorum_settling_observe(&settling, &view, true, SECONDS(1000));
    g_assert_cmpint(settling.state, ==, QUORUM_SETTLING_WAITING);
    view = view_at(SECONDS(1400) - 1);
    quorum_settling_observe(&settling, &view, true, SECONDS(1400) - 1);
    g_assert_cmpint(settling.state, ==, QUORUM_SETTLING_WAITING);
    view = view_at(SECONDS(1400));
    quorum_settling_observe(&settling, &view, true, SECONDS(1400));
    g_assert_cmpint(settling.state, ==, QUORUM_SETTLING_DONE);
}

/* A status of the primary from before the end of the wait may not include the last acknowledged
 * writes. */
static void test_old_observation(void)
{
    struct quorum_settling settling = agreed();
    struct group_view view = view_at(SECONDS(100));
    quorum_settling_observe(&settling, &view, true, SECONDS(500));
    g_assert_cmpint(settling.state, ==, QUORUM_SETTLING_COPYING);
}

/* From three databases to four: two of the old three hold the needed position, which is no majority
 * of four. */
static void test_new_database_lags(void)
{
    struct quorum_settling settling = agreed();
    struct group_view view = view_at(SECONDS(500));
    view.databases[2].reachable = false;
    view.databases[3].status.held.offset = 9;
    quorum_settling_observe(&settling, &view, true, SECONDS(500));
    g_assert_cmpint(settling.state, ==, QUORUM_SETTLING_COPYING);
    /* The primary's log has grown; only its end after the wait counts. */
    view.databases[0].status.held.offset = 20;
    view.databases[3].status.held.offset = 10;
    quorum_settling_observe(&settling, &view, true, SECONDS(501));
    g_assert_cmpint(settling.state, ==, QUORUM_SETTLING_DONE);
}

/* From three databases to two: both must hold the needed position. */
static void test_two_are_left(void)
{
    struct quorum_settling settling = agreed();
    struct group_view view = view_at(SECONDS(500));
    view.database_count = 2;
    view.databases[1].status.held.offset = 9;
    quorum_settling_observe(&settling, &view, true, SECONDS(500));
    g_assert_cmpint(settling.state, ==, QUORUM_SETTLING_COPYING);
    view.databases[1].status.held.offset = 10;
    quorum_settling_observe(&settling, &view, true, SECONDS(501));
    g_assert_cmpint(settling.state, ==, QUORUM_SETTLING_DONE);
}

/* Logs of another term, and databases that promised a newer one, give no evidence. */
static void test_change_of_primary(void)
{
    struct quorum_settling settling = agreed();
    struct group_view view = view_at(SECONDS(500));
    view.databases[0].status.promised_term = TERM + 1;
    quorum_settling_observe(&settling, &view, true, SECONDS(500));
    g_assert_cmpint(settling.state, ==, QUORUM_SETTLING_NO_LEADER);
    view = view_at(SECONDS(501));
    for (uint32_t i = 1; i < DATABASES; i++) {
        view.databases[i].status.held = (struct log_position){TERM - 1, 99};
    }
    quorum_settling_observe(&settling, &view, true, SECONDS(501));
    g_assert_cmpint(settling.state, ==, QUORUM_SETTLING_COPYING);
    view = view_at(SECONDS(502));
    view.databases[2].status.promised_term = TERM + 1;
    view.databases[3].status.promised_term = TERM + 1;
    quorum_settling_observe(&settling, &view, true, SECONDS(502));
    g_assert_cmpint(settling.state, ==, QUORUM_SETTLING_COPYING);
}

/* A position once held by a majority stays so through failovers. */
static void test_stays_done(void)
{
    struct quorum_settling settling = agreed();
    struct group_view view = view_at(SECONDS(500));
    quorum_settling_observe(&settling, &view, true, SECONDS(500));
    view.primary = -1;
    quorum_settling_observe(&settling, &view, false, SECONDS(600));
    g_assert_cmpint(settling.state, ==, QUORUM_SETTLING_DONE);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/quorum-settling/in-order", test_in_order);
    g_test_add_func("/quorum-settling/old-observation", test_old_observation);
    g_test_add_func("/quorum-settling/new-database-lags", test_new_database_lags);
    g_test_add_func("/quorum-settling/two-are-left", test_two_are_left);
    g_test_add_func("/quorum-settling/change-of-primary", test_change_of_primary);
    g_test_add_func("/quorum-settling/stays-done", test_stays_done);
    return g_test_run();
}
