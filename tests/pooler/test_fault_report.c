/* What poolers say of databases, where they were away themselves. */
#include <glib.h>

#include "pooler/control/fault_report.h"

#define MS     NANOSECONDS_PER_MILLISECOND
#define SECOND NANOSECONDS_PER_SECOND

/* Heard each quarter of a second from then on. */
static void
send_heartbeats(contact_t *contact, time_ns from, time_ns until)
{
    for (time_ns now = from; now <= until; now += 250 * MS) {
        contact_note(contact, now);
    }
}

/* One that is heard all along is believed at once, and so is what a coordinator that has just begun
 * hears first. */
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

/* A pooler is back from a partition of 5 s, and has not looked again at a primary that serves
 * everybody. */
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
        fault_report_counts(&contact, 6100, 18 * SECOND + 500 * MS)); /* it had looked again */
}

/* What it finds after it is back counts at once. */
static void
test_found_after_the_return(void)
{
    contact_t contact = {.listening_since = 9 * SECOND};
    send_heartbeats(&contact, 10 * SECOND, 12 * SECOND);
    send_heartbeats(&contact, 17 * SECOND, 17 * SECOND + 500 * MS);
    g_assert_true(fault_report_counts(&contact, 400, 17 * SECOND + 500 * MS));
    g_assert_false(fault_report_counts(&contact, 600, 17 * SECOND + 500 * MS));
}

/* One that was away for so long that it had been forgotten, or from before the coordinator began,
 * is back as well. */
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
    g_test_add_func("/opinion/heard-all-along", test_always_connected);
    g_test_add_func("/opinion/back-from-a-partition", test_returned_from_a_partition);
    g_test_add_func("/opinion/found-after-the-return", test_found_after_the_return);
    g_test_add_func("/opinion/first-heard-late", test_first_heartbeat_late);
    return g_test_run();
}
