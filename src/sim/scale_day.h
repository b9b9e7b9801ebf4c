/* An ordinary day of a large deployment, compressed into minutes of virtual time. */
#ifndef SW_SIM_SCALE_DAY_H
#define SW_SIM_SCALE_DAY_H

#include "sim/scale_fleet.h"

/* The number and length of the day's events. */
struct scale_day_options {
    time_ns length;
    uint32_t failures; /* machines lost, each replaced later */
    uint32_t restarts; /* planned, under the same address */
    uint32_t primary_changes;
    uint32_t configuration_changes;
    time_ns zone_cut;     /* length of the partition of one zone; 0: none */
    time_ns region_cut;   /* length of the partition of one region; 0: none */
    time_ns store_outage; /* 0: none */
};

/* The state at the end, after the fleet has settled. */
struct scale_day_outcome {
    uint32_t running;
    uint32_t outdated_daemons; /* running daemons without the newest configuration */
    uint32_t not_serving;      /* running daemons that refuse requests */
    uint32_t views_differing;  /* running daemons whose live members are not the running daemons */
};

/* The options of a day for this many daemons. Failures and restarts are in proportion to their
 * number; changes of configuration and of primaries are not. */
void scale_day_options_for(struct scale_day_options *options, uint32_t daemons, time_ns length);

/* A day without events. */
void scale_day_options_quiet(struct scale_day_options *options, time_ns length);

/* Starts the fleet, lets it settle on a first configuration, whose version it returns, and starts
 * measuring. */
uint64_t scale_day_start(struct scale_fleet *fleet);

/* Compares the running daemons with the state that all should have settled on. */
void scale_day_evaluate(struct scale_fleet *fleet, uint64_t newest,
                        struct scale_day_outcome *outcome);

/* Starts the fleet, lets it settle, measures the day, and lets the fleet settle again. */
void scale_day_run(struct scale_fleet *fleet, const struct scale_day_options *options,
                   struct scale_day_outcome *outcome);

#endif
