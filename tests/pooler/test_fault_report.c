/* Fault reports of poolers that were themselves partitioned or frozen. */
#include <glib.h>

#include "pooler/control/fault_report.h"

#define MS     NANOSECONDS_PER_MILLISECOND
#define SECOND NANOSECONDS_PER_SECOND

/* One heartbeat each 250 ms in this time. */
static void
send_heartbeats(contact_t *contact, time_ns from, time_ns until)
{
    for (time_ns now = from; now <= until; now += 250 * MS) {
        contact_note(contact, now);
    }
}

/* Reports of a pooler without interruptions count at once, and so do the first ones that a new
 * coordinator receives. */
static void
test_always_connected(void)
{
    contact_t contact = {.listening_since = 9 * SECOND};
    contact_note(&contact, 10 * SECOND);
    g_assert_true(fault_report_counts(&contact, 5000, 10 * SECOND));
    send_heartbeats(&contact, 10 * SECOND, 12 * SECOND);
    g_assert_true(fault_report_counts(&contact, 20, 12 * SECOND));
    g_assert_true(contact_is_recent(&contact, 12 * SECOND + 700 * MS));
    g_assert_false(contact_is_recent(&contact, 12 * SECOND + 701 * MS));
}

/* After a partition of 5 s, a pooler has not yet checked the primary again, which serves all other
 * poolers. */
static void
test_returned_from_a_partition(void)
{
    contact_t contact = {.listening_since = 9 * SECOND};
    send_heartbeats(&contact, 10 * SECOND, 12 * SECOND);
    send_heartbeats(&contact, 17 * SECOND, 17 * SECOND);
    g_assert_false(fault_report_counts(&contact, 4600, 17 * SECOND));
    send_heartbeats(&contact, 17 * SECOND + 250 * MS, 18 * SECOND);
    g_assert_false(fault_report_counts(&contact, 5600, 18 * SECOND));
    send_heartbeats(&contact, 18 * SECOND + 250 * MS, 18 * SECOND + 500 * MS);
    g_assert_true(
        fault_report_counts(&contact, 6100, 18 * SECOND + 500 * MS)); /* it has checked again */
}

/* A fault that begins after the return counts at once. */
static void
test_found_after_the_return(void)
{
    contact_t contact = {.listening_since = 9 * SECOND};
    send_heartbeats(&contact, 10 * SECOND, 12 * SECOND);
    send_heartbeats(&contact, 17 * SECOND, 17 * SECOND + 500 * MS);
    g_assert_true(fault_report_counts(&contact, 400, 17 * SECOND + 500 * MS));
    g_assert_false(fault_report_counts(&contact, 600, 17 * SECOND + 500 * MS));
}

/* A pooler also counts as returned if it was removed meanwhile, or was absent before the
 * coordinator started. */
static void
test_first_heartbeat_late(void)
{
    contact_t contact = {.listening_since = 9 * SECOND};
    contact_note(&contact, 17 * SECOND);
    g_assert_false(fault_report_counts(&contact, 4600, 17 * SECOND));
    g_assert_true(fault_report_counts(&contact, 6100, 18 * SECOND + 500 * MS));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fault-report/always-connected", test_always_connected);
    g_test_add_func("/fault-report/returned-from-a-partition", test_returned_from_a_partition);
    g_test_add_func("/fault-report/found-after-the-return", test_found_after_the_return);
    g_test_add_func("/fault-report/first-heartbeat-late", test_first_heartbeat_late);
    return g_test_run();
}
