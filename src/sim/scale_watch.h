/* Measures the watcher's role: one daemon that watches many groups, in virtual time. */
#ifndef SW_SIM_SCALE_WATCH_H
#define SW_SIM_SCALE_WATCH_H

#include "core/types.h"

struct scale_watch_options {
    uint32_t groups;
    time_ns length;
    time_ns probe_interval; /* of each database */
};

/* Rates are per second of virtual time, for all groups. */
struct scale_watch_measures {
    double probes;        /* answered by databases */
    double opinions;      /* sent, to each of two other watchers */
    double opinion_bytes; /* encoded */
    double core_percent;  /* processor time of the groups' control, in percent of one core */
    double codec_percent; /* processor time to encode sent opinions and decode received ones, in
                             percent of one core */
    double state_bytes;   /* of the groups' control */
};

/* Watches healthy groups of three databases, with two other watchers that send their opinions. */
void scale_watch_run(const struct scale_watch_options *options,
                     struct scale_watch_measures *measures);

#endif
