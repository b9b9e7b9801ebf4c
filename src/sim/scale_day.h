/* An ordinary day of a large deployment, compressed into minutes of virtual time. */
#ifndef SW_SIM_SCALE_DAY_H
#define SW_SIM_SCALE_DAY_H

#include "sim/scale_fleet.h"

/* How much of what happens. */
struct scale_day_options {
    time_ns length;
    uint32_t failures; /* machines lost, each replaced later */
    uint32_t restarts; /* planned, under the same address */
    uint32_t primary_changes;
    uint32_t configuration_changes;
    time_ns zone_cut;     /* length of a cut of one zone; 0: none */
    time_ns region_cut;   /* length of a cut of one region; 0: none */
    time_ns store_outage; /* 0: none */
};

/* What is left at the end, when all has settled. */
struct scale_day_outcome {
    uint32_t running;
    uint32_t stragglers;      /* running daemons without the newest configuration */
    uint32_t not_serving;     /* running daemons that refuse requests */
    uint32_t views_differing; /* running daemons whose live members are not those that run */
};

/* The day of the target size for this many daemons. Failures and restarts go with their number;
 * changes of configuration and of primaries do not. */
void scale_day_options_for(struct scale_day_options *options, uint32_t daemons, time_ns length);

/* A day on which nothing happens. */
void scale_day_options_quiet(struct scale_day_options *options, time_ns length);

/* Starts the fleet, lets it settle with a first configuration, whose version it returns, and starts
 * measuring. */
uint64_t scale_day_start(struct scale_fleet *fleet);

/* Looks at what runs: is all settled on this configuration? */
void scale_day_judge(struct scale_fleet *fleet, uint64_t newest, struct scale_day_outcome *outcome);

/* Starts the fleet, lets it settle, measures the day, and lets it settle again. */
void scale_day_run(struct scale_fleet *fleet, const struct scale_day_options *options,
                   struct scale_day_outcome *outcome);

#endif
