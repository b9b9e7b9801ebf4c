/* One overload run; see overload.h. */
#include "sim/overload.h"

#include <string.h>

#include "sim/overload_load.h"

/* Time for the last operation to end. */
#define SETTLE_TIME (5 * SIM_SECOND)

/* Averaged over the time of the load. */
static double messages_per_s(const struct sim_run *run)
{
    double seconds = (double)(OVERLOAD_TIME + OVERLOAD_REST_TIME) / (double)SIM_SECOND;

    return (double)run->slot_messages / seconds / run->daemon_count / run->database_count;
}

void overload_run(const struct overload_options *options, struct overload_result *result)
{
    struct sim_scenario scenario = *options->scenario;
    struct sim_run *run;
    struct overload_load *load;

    scenario.clients = 0;
    scenario.writers = false;
    scenario.duration = OVERLOAD_TIME + OVERLOAD_REST_TIME;
    scenario.settle = SETTLE_TIME;
    run = sim_run_new(&scenario, options->seed, SIM_MUTATION_NONE, false);
    load = overload_load_new(run, options);
    sim_run_execute(run);
    memset(result, 0, sizeof(*result));
    overload_load_evaluate(load, result);
    result->slots = scenario.database.slots;
    for (uint32_t i = 0; i < run->database_count; i++) {
        result->slots_peak = MAX(result->slots_peak, run->slots_peak[i]);
        result->running_peak = MAX(result->running_peak, run->databases[i].running_peak);
    }
    result->messages_per_s = messages_per_s(run);
    overload_load_free(load);
    sim_run_free(run);
}
