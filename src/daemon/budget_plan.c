/* Division of a database's connections; see the header. */
#include "daemon/budget_plan.h"

#include "core/error.h"
#include "generated/errors.h"

void budget_plan_make(struct budget_plan *plan, uint32_t connections, uint32_t owners)
{
    uint32_t control = BUDGET_OWNER_SETS * owners * BUDGET_CONTROL_CONNECTIONS;
    plan->connections = connections;
    plan->owners = owners;
    plan->control = control;
    budget_options_for(&plan->options, connections > control ? connections - control : 0, owners);
}

bool budget_plan_holds(const struct budget_plan *plan)
{
    const struct budget_options *options = &plan->options;
    uint32_t total = plan->control + options->opening_reserve + budget_numbers(options);
    return total <= plan->connections &&
           options->opening_reserve >= BUDGET_OWNER_SETS * plan->owners && options->handover > 0 &&
           budget_share(options) > 0;
}

static bool check_database(const struct database_configuration *database, uint32_t owners,
                           GError **error)
{
    struct budget_plan plan;
    budget_plan_make(&plan, database->connections, owners);
    if (budget_plan_holds(&plan)) {
        return true;
    }
    uint32_t opening = BUDGET_OWNER_SETS * owners;
    g_set_error(
        error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION,
        "database \"%s\" accepts %u connections, too few for %u owners: %u are reserved for "
        "probes and evidence (%u sets of owners x %u owners x %u), %u for opening, and the "
        "rest must provide one for each owner and one for handover",
        database->name, database->connections, owners, plan.control, (uint32_t)BUDGET_OWNER_SETS,
        owners, (uint32_t)BUDGET_CONTROL_CONNECTIONS, opening);
    return false;
}

bool budget_plan_check(const struct configuration *configuration, uint32_t owners, GError **error)
{
    for (guint i = 0; i < configuration->groups->len; i++) {
        const struct group_configuration *group = g_ptr_array_index(configuration->groups, i);
        for (uint32_t j = 0; j < group->database_count; j++) {
            if (!check_database(&group->databases[j], owners, error)) {
                return false;
            }
        }
    }
    return true;
}
