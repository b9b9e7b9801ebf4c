/* Division of a database's connections, and rejection of a configuration with too few. */
#include "daemon/budget_plan.h"

#include <string.h>

#include "configuration/problem.h"

#define OWNERS_UP_TO      9
#define CONNECTIONS_UP_TO 200

/* A plan that holds by its own check fits the connections, with one number for each owner and one
 * for handover. */
static void test_adds_up(void)
{
    for (uint32_t connections = 0; connections <= CONNECTIONS_UP_TO; connections++) {
        for (uint32_t owners = 1; owners <= OWNERS_UP_TO; owners++) {
            struct budget_plan plan;
            budget_plan_make(&plan, connections, owners);
            if (!budget_plan_holds(&plan)) {
                continue;
            }
            uint32_t share = budget_share(&plan.options);
            uint32_t total = 2 * owners * 2 + 2 * owners + owners * share + plan.options.handover;
            g_assert_cmpuint(total, <=, connections);
            g_assert_cmpuint(share, >=, 1);
            g_assert_cmpuint(plan.options.handover, >=, 1);
        }
    }
}

/* Limits of 35 and 65 connections with three owners. */
static void test_typical_limits(void)
{
    struct budget_plan plan;
    budget_plan_make(&plan, 35, 3);
    g_assert_true(budget_plan_holds(&plan));
    g_assert_cmpuint(budget_share(&plan.options), ==, 5);
    budget_plan_make(&plan, 65, 3);
    g_assert_true(budget_plan_holds(&plan));
    g_assert_cmpuint(budget_share(&plan.options), ==, 13);
}

/* A plan that holds also holds with more connections. */
static void test_grows_with_connections(void)
{
    for (uint32_t owners = 1; owners <= OWNERS_UP_TO; owners++) {
        bool held = false;
        for (uint32_t connections = 0; connections <= CONNECTIONS_UP_TO; connections++) {
            struct budget_plan plan;
            budget_plan_make(&plan, connections, owners);
            bool holds = budget_plan_holds(&plan);
            g_assert_true(holds || !held);
            held = holds;
        }
        g_assert_true(held);
    }
}

static struct configuration *parse(uint32_t connections)
{
    g_autofree char *text =
        g_strdup_printf("{\"zones\": {\"imlil\": {\"id\": 1}}, \"groups\": {\"bookings\": "
                        "{\"id\": 7, \"databases\": [{\"name\": \"refuge-1\", \"zone\": \"imlil\", "
                        "\"host\": \"127.0.0.1\", \"port\": 5432, \"slots\": 5, "
                        "\"connections\": %u}]}}, \"templates\": {}, \"tenants\": {}}",
                        connections);
    g_autoptr(GPtrArray) problems = configuration_problems_new();
    struct configuration *configuration = NULL;
    bool parsed = configuration_parse(text, strlen(text), "test", &configuration, problems);
    g_autofree char *faults = configuration_problems_text(problems);
    g_assert_cmpstr(faults, ==, "");
    g_assert_true(parsed);
    return configuration;
}

static void test_refuses_too_few(void)
{
    g_autoptr(GError) error = NULL;
    struct configuration *configuration = parse(20);
    g_assert_false(budget_plan_check(configuration, 3, &error));
    g_assert_nonnull(strstr(error->message, "\"refuge-1\""));
    g_assert_nonnull(strstr(error->message, "20 connections"));
    g_assert_nonnull(strstr(error->message, "3 owners"));
    configuration_unref(configuration);
}

static void test_accepts_enough(void)
{
    g_autoptr(GError) error = NULL;
    struct configuration *configuration = parse(35);
    g_assert_true(budget_plan_check(configuration, 3, &error));
    g_assert_no_error(error);
    configuration_unref(configuration);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/daemon/budget-plan/adds-up", test_adds_up);
    g_test_add_func("/daemon/budget-plan/typical-limits", test_typical_limits);
    g_test_add_func("/daemon/budget-plan/grows-with-connections", test_grows_with_connections);
    g_test_add_func("/daemon/budget-plan/refuses-too-few", test_refuses_too_few);
    g_test_add_func("/daemon/budget-plan/accepts-enough", test_accepts_enough);
    return g_test_run();
}
