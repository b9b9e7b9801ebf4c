/* Measures the role of watcher: one daemon that watches so many groups, on virtual time. */
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
    double probes;         /* answered by databases */
    double opinions;       /* sent, to each of two other watchers */
    double opinion_octets; /* of these, encoded */
    double core_percent;   /* of a core, in the control of the groups */
    double codec_percent;  /* of a core, to encode opinions sent and decode those received */
    double state_octets;   /* of the groups' control */
};

/* Watches healthy groups of three databases, with two other watchers that tell their opinions. */
void scale_watch_run(const struct scale_watch_options *options,
                     struct scale_watch_measures *measures);

#endif
