/* The line of JSON that a run of the simulated fleet prints. */
#ifndef SW_SIM_SCALE_REPORT_H
#define SW_SIM_SCALE_REPORT_H

#include "sim/scale_day.h"
#include "sim/scale_fault.h"
#include "sim/scale_fleet.h"
#include "sim/scale_watch.h"

/* The parameters that identify a run. */
struct scale_report_run {
    const char *commit;
    const char *command;
    uint32_t databases;
    uint32_t seed;
    double wall_seconds;
    const struct scale_fault_outcome *fault; /* NULL for a day */
};

/* The report as one line of JSON. Free with g_free. */
char *scale_report_line(struct scale_fleet *fleet, const struct scale_day_options *day,
                        const struct scale_day_outcome *outcome,
                        const struct scale_report_run *run);

/* The same for a run that measured a watcher. */
char *scale_report_watch_line(const struct scale_watch_options *options,
                              const struct scale_watch_measures *measures,
                              const struct scale_report_run *run);

#endif
