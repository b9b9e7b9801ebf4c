/* The acknowledgement rule: only a majority within the write's own term counts. */
#include "core/acknowledge.h"

#include <glib.h>

static const struct log_position written = {.term = 3, .offset = 10};

static struct database_status status_of(uint64_t promised, uint64_t held_term, uint64_t held_offset)
{
    struct database_status status = {
        .term = held_term,
        .promised_term = promised,
        .held = {.term = held_term, .offset = held_offset},
    };
    return status;
}

static enum acknowledge_verdict verdict_of(const struct database_status *statuses, uint32_t count)
{
    struct acknowledge_evidence evidence;
    acknowledge_start(&evidence, written, 3);
    for (uint32_t i = 0; i < count; i++) {
        acknowledge_add(&evidence, i, &statuses[i]);
    }
    return acknowledge_judge(&evidence);
}

static void test_majority_holds(void)
{
    struct database_status statuses[] = {status_of(3, 3, 10), status_of(3, 3, 12)};
    g_assert_cmpint(verdict_of(statuses, 1), ==, ACKNOWLEDGE_PENDING);
    g_assert_cmpint(verdict_of(statuses, 2), ==, ACKNOWLEDGE_HELD);
}

static void test_newer_promise_gives_no_evidence(void)
{
    struct database_status statuses[] = {status_of(3, 3, 10), status_of(4, 3, 10),
                                         status_of(4, 3, 10)};
    g_assert_cmpint(verdict_of(statuses, 2), ==, ACKNOWLEDGE_PENDING);
    g_assert_cmpint(verdict_of(statuses, 3), ==, ACKNOWLEDGE_FENCED);
}

static void test_short_log_gives_no_evidence(void)
{
    struct database_status statuses[] = {status_of(3, 3, 10), status_of(3, 3, 9),
                                         status_of(3, 2, 50)};
    g_assert_cmpint(verdict_of(statuses, 3), ==, ACKNOWLEDGE_PENDING);
}

static void test_member_fenced_after_it_held(void)
{
    struct acknowledge_evidence evidence;
    struct database_status held = status_of(3, 3, 10);
    struct database_status fenced = status_of(4, 3, 10);
    acknowledge_start(&evidence, written, 3);
    acknowledge_add(&evidence, 0, &held);
    acknowledge_add(&evidence, 0, &fenced);
    acknowledge_add(&evidence, 1, &held);
    g_assert_cmpint(acknowledge_judge(&evidence), ==, ACKNOWLEDGE_PENDING);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/acknowledge/majority-holds", test_majority_holds);
    g_test_add_func("/acknowledge/newer-promise", test_newer_promise_gives_no_evidence);
    g_test_add_func("/acknowledge/short-log", test_short_log_gives_no_evidence);
    g_test_add_func("/acknowledge/fenced-after-held", test_member_fenced_after_it_held);
    return g_test_run();
}
