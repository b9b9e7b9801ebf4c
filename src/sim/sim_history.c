/* Storage of a run's history. */
#include "sim/sim_history.h"

void sim_history_init(struct sim_history *history)
{
    history->attempts = g_ptr_array_new();
    history->records = g_array_new(FALSE, TRUE, sizeof(struct sim_record));
    history->faults = g_array_new(FALSE, TRUE, sizeof(struct sim_fault_mark));
}

void sim_history_clear(struct sim_history *history)
{
    g_ptr_array_unref(history->attempts);
    g_array_unref(history->records);
    g_array_unref(history->faults);
}
