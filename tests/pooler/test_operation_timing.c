/* Tests of operation timing: all time is in exactly one stage, the client's pauses are not counted,
 * and the owner's times are separated from the network's round trip. No network, no clock. */
#include <glib.h>

#include <string.h>

#include "pooler/shared/database_use.h"
#include "pooler/shared/metrics.h"
#include "pooler/shared/operation_timing.h"

#define MS NANOSECONDS_PER_MILLISECOND

static const time_ns start = 1000 * MS;

static void
single_statement_waits_for_an_opening(void)
{
    operation_timing_t timing;
    operation_timing_begin(&timing, STAGE_OWN, start);
    operation_timing_enter(&timing, STAGE_QUEUE, start + 1 * MS);
    operation_timing_enter(&timing, STAGE_OPENING, start + 4 * MS);
    operation_timing_enter(&timing, STAGE_OPENING, start + 10 * MS); /* entered again */
    operation_timing_enter(&timing, STAGE_DATABASE, start + 16 * MS);
    operation_timing_enter(&timing, STAGE_PAUSE, start + 20 * MS);
    g_assert_cmpuint(timing.spent[STAGE_OWN], ==, 1 * MS);
    g_assert_cmpuint(timing.spent[STAGE_QUEUE], ==, 3 * MS);
    g_assert_cmpuint(timing.spent[STAGE_OPENING], ==, 12 * MS);
    g_assert_cmpuint(timing.spent[STAGE_DATABASE], ==, 4 * MS);
    g_assert_cmpuint(operation_timing_total(&timing), ==, 20 * MS);
}

static void
pauses_inside_a_transaction_do_not_count(void)
{
    operation_timing_t timing;
    operation_timing_begin(&timing, STAGE_OWN, start);
    operation_timing_enter(&timing, STAGE_PAUSE, start);
    operation_timing_enter(&timing, STAGE_OWN, start + 500 * MS);
    operation_timing_enter(&timing, STAGE_DATABASE, start + 501 * MS);
    operation_timing_enter(&timing, STAGE_PAUSE, start + 505 * MS);
    g_assert_cmpuint(operation_timing_total(&timing), ==, 5 * MS);
    g_assert_cmpuint(timing.spent[STAGE_PAUSE], ==, 500 * MS);
}

static void
time_beyond_the_owners_report_is_the_hop(void)
{
    operation_timing_t at_client;
    operation_timing_t at_owner;
    uint32_t report[STAGE_COUNT];
    operation_timing_begin(&at_owner, STAGE_OWN, start);
    operation_timing_enter(&at_owner, STAGE_QUEUE, start);
    operation_timing_enter(&at_owner, STAGE_BEGIN, start + 7 * MS);
    operation_timing_enter(&at_owner, STAGE_DATABASE, start + 9 * MS);
    operation_timing_enter(&at_owner, STAGE_PAUSE, start + 14 * MS);
    size_t count = operation_timing_report(&at_owner, report);
    g_assert_cmpuint(count, ==, STAGE_BEGIN + 1); /* trailing zeros are not sent */

    operation_timing_begin(&at_client, STAGE_OWN, start);
    operation_timing_enter(&at_client, STAGE_HOP, start + 1 * MS);
    operation_timing_merge(&at_client, report, count, start + 19 * MS);
    operation_timing_enter(&at_client, STAGE_PAUSE, start + 20 * MS);
    g_assert_cmpuint(at_client.spent[STAGE_OWNER_QUEUE], ==, 7 * MS);
    g_assert_cmpuint(at_client.spent[STAGE_QUEUE], ==, 0);
    g_assert_cmpuint(at_client.spent[STAGE_BEGIN], ==, 2 * MS);
    g_assert_cmpuint(at_client.spent[STAGE_DATABASE], ==, 5 * MS);
    g_assert_cmpuint(at_client.spent[STAGE_HOP], ==, 4 * MS);
    g_assert_cmpuint(at_client.spent[STAGE_OWN], ==, 2 * MS);
    g_assert_cmpuint(operation_timing_total(&at_client), ==, 20 * MS);
}

static void
without_a_report_all_time_is_the_hop(void)
{
    operation_timing_t timing;
    operation_timing_begin(&timing, STAGE_HOP, start);
    operation_timing_merge(&timing, NULL, 0, start + 9 * MS);
    g_assert_cmpuint(timing.spent[STAGE_HOP], ==, 9 * MS);
}

static void
unknown_stages_count_as_the_hop(void)
{
    operation_timing_t timing;
    uint32_t report[STAGE_COUNT + 3] = {[STAGE_DATABASE] = 3000, [STAGE_COUNT + 2] = 4000};
    operation_timing_begin(&timing, STAGE_HOP, start);
    operation_timing_merge(&timing, report, G_N_ELEMENTS(report), start + 9 * MS);
    g_assert_cmpuint(timing.spent[STAGE_DATABASE], ==, 3 * MS);
    g_assert_cmpuint(timing.spent[STAGE_PAUSE], ==, 0);
    g_assert_cmpuint(timing.spent[STAGE_HOP], ==, 6 * MS);
}

static void
report_longer_than_the_wait_does_not_extend_the_total(void)
{
    operation_timing_t timing;
    uint32_t report[STAGE_COUNT] = {[STAGE_QUEUE] = 8000, [STAGE_DATABASE] = 8000};
    operation_timing_begin(&timing, STAGE_HOP, start);
    operation_timing_merge(&timing, report, STAGE_COUNT, start + 10 * MS);
    g_assert_cmpuint(operation_timing_total(&timing), ==, 10 * MS);
    g_assert_cmpuint(timing.spent[STAGE_HOP], ==, 0);
}

static void
refused_attempt_and_backoff_count_as_retry(void)
{
    operation_timing_t timing;
    operation_timing_begin(&timing, STAGE_DATABASE, start);
    operation_timing_retry(&timing, start + 2 * MS);
    operation_timing_enter(&timing, STAGE_DATABASE, start + 17 * MS);
    operation_timing_enter(&timing, STAGE_PAUSE, start + 20 * MS);
    g_assert_cmpuint(timing.spent[STAGE_RETRY], ==, 17 * MS);
    g_assert_cmpuint(timing.spent[STAGE_DATABASE], ==, 3 * MS);
}

static void
earlier_time_does_not_subtract(void)
{
    operation_timing_t timing;
    operation_timing_begin(&timing, STAGE_OWN, start);
    operation_timing_enter(&timing, STAGE_QUEUE, start - 5 * MS);
    operation_timing_enter(&timing, STAGE_PAUSE, start - 5 * MS);
    g_assert_cmpuint(operation_timing_total(&timing), ==, 0);
}

static void
each_stage_has_a_name(void)
{
    for (int stage = 0; stage <= STAGE_COUNT; stage++) {
        g_assert_nonnull(operation_stage_name((operation_stage_t)stage));
    }
}

static void
metrics_show_stages_by_kind_and_priority(void)
{
    struct metrics metrics = {0};
    struct metrics sum = {0};
    operation_timing_t timing;
    operation_timing_begin(&timing, STAGE_DATABASE, start);
    operation_timing_enter(&timing, STAGE_PAUSE, start + 30 * MS);
    metrics_operation(&metrics, ROUTE_KIND_PRIMARY, 0, &timing);
    metrics_operation(&metrics, ROUTE_KIND_PRIMARY, 0, &timing);
    metrics_operation(&metrics, ROUTE_KIND_READ_YOUR_WRITES, 99, &timing);
    metrics_add(&sum, &metrics);
    g_autoptr(GString) text = g_string_new(NULL);
    metrics_print(&sum, text);
    g_assert_nonnull(strstr(text->str, "swiftworks_operation_seconds_count{route=\"primary\","
                                       "priority=\"0\"} 2\n"));
    g_assert_nonnull(strstr(text->str, "swiftworks_operation_stage_seconds_sum{route=\"primary\","
                                       "priority=\"0\",stage=\"database\"} 0.06\n"));
    g_assert_nonnull(strstr(text->str, "swiftworks_operation_seconds_count{route="
                                       "\"read_your_writes\",priority=\"3\"} 1\n"));
    g_assert_null(strstr(text->str, "stage=\"proof\"")); /* no time was spent in it */
    g_assert_null(strstr(text->str, "priority=\"1\""));
}

static void
metrics_show_uses_of_databases(void)
{
    database_uses_t uses = {0};
    database_use_count(&uses, true, DATABASE_USE_READ, 250 * MS);
    database_use_count(&uses, true, DATABASE_USE_READ, 250 * MS);
    database_use_count(&uses, false, DATABASE_USE_REFUSED, 2 * MS);
    g_autoptr(GString) text = g_string_new(NULL);
    database_use_print(&uses, "ledger", text);
    g_assert_cmpstr(text->str, ==,
                    "swiftworks_database_use_seconds_total{service=\"ledger\",role=\"replica\","
                    "use=\"refused\"} 0.002\n"
                    "swiftworks_database_uses_total{service=\"ledger\",role=\"replica\","
                    "use=\"refused\"} 1\n"
                    "swiftworks_database_use_seconds_total{service=\"ledger\",role=\"primary\","
                    "use=\"read\"} 0.5\n"
                    "swiftworks_database_uses_total{service=\"ledger\",role=\"primary\","
                    "use=\"read\"} 2\n");
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/operation timing/opening", single_statement_waits_for_an_opening);
    g_test_add_func("/operation timing/pauses", pauses_inside_a_transaction_do_not_count);
    g_test_add_func("/operation timing/owner", time_beyond_the_owners_report_is_the_hop);
    g_test_add_func("/operation timing/older owner", without_a_report_all_time_is_the_hop);
    g_test_add_func("/operation timing/newer owner", unknown_stages_count_as_the_hop);
    g_test_add_func("/operation timing/fast clock",
                    report_longer_than_the_wait_does_not_extend_the_total);
    g_test_add_func("/operation timing/retry", refused_attempt_and_backoff_count_as_retry);
    g_test_add_func("/operation timing/earlier time", earlier_time_does_not_subtract);
    g_test_add_func("/operation timing/names", each_stage_has_a_name);
    g_test_add_func("/operation timing/metrics", metrics_show_stages_by_kind_and_priority);
    g_test_add_func("/operation timing/uses", metrics_show_uses_of_databases);
    return g_test_run();
}
