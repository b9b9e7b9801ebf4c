/* A compressed day of a small simulated fleet, with the real codec: the fleet settles, no limit is
 * violated, and the report contains its figures. */
#include "scale_fixture.h"
#include "sim/scale_day.h"
#include "sim/scale_report.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define DAEMONS   18
#define DATABASES 40

static struct scale_fleet *run_day(uint32_t seed, struct scale_day_options *day,
                                   struct scale_day_outcome *outcome)
{
    struct scale_fleet_options options;
    scale_fleet_options_default(&options, DAEMONS, DATABASES, seed);
    struct scale_fleet *fleet = scale_fleet_new(&options);
    scale_day_options_for(day, DAEMONS, SECONDS(120));
    day->configuration_changes = 60;
    scale_day_run(fleet, day, outcome);
    return fleet;
}

static void test_day_settles(void)
{
    for (uint32_t seed = 1; seed <= 3; seed++) {
        struct scale_day_options day;
        struct scale_day_outcome outcome;
        struct scale_fleet *fleet = run_day(seed, &day, &outcome);
        g_assert_cmpuint(outcome.outdated_daemons, ==, 0);
        g_assert_cmpuint(outcome.not_serving, ==, 0);
        g_assert_cmpuint(outcome.views_differing, ==, 0);
        const struct scale_measures *measures = scale_fleet_measures(fleet);
        g_assert_cmpuint(measures->budget_violations, ==, 0);
        g_assert_cmpuint(measures->false_deaths, ==, 0);
        scale_fleet_free(fleet);
    }
}

static void test_report_is_one_line_of_json(void)
{
    struct scale_day_options day;
    struct scale_day_outcome outcome;
    struct scale_fleet *fleet = run_day(4, &day, &outcome);
    struct scale_report_run run = {.commit = "none", .command = "test", .databases = DATABASES};
    g_autofree char *line = scale_report_line(fleet, &day, &outcome, &run);
    g_assert_null(strchr(line, '\n'));
    g_autoptr(JsonNode) root = json_from_string(line, NULL);
    g_assert_nonnull(root);
    JsonObject *report = json_node_get_object(root);
    g_assert_cmpint(json_object_get_int_member(report, "daemons"), ==, DAEMONS);
    JsonObject *sent = json_object_get_object_member(report, "sent");
    JsonObject *all = json_object_get_object_member(sent, "all");
    JsonObject *bytes = json_object_get_object_member(all, "octets_per_s");
    g_assert_cmpfloat(json_object_get_double_member(bytes, "mean"), >, 0);
    scale_fleet_free(fleet);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/day/settles", test_day_settles);
    g_test_add_func("/day/report-is-one-line-of-json", test_report_is_one_line_of_json);
    return g_test_run();
}
