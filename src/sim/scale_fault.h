/* One kind of fault at a time on a hollow fleet that is else quiet, and how it comes out of it. */
#ifndef SW_SIM_SCALE_FAULT_H
#define SW_SIM_SCALE_FAULT_H

#include "sim/scale_day.h"

enum scale_fault_kind {
    SCALE_FAULT_PRIMARY,     /* machines of primaries are lost, one group after the other */
    SCALE_FAULT_COORDINATOR, /* the same, and the daemon that first begins to fence with each */
    SCALE_FAULT_RACK,        /* racks, one after the other, each in another region */
    SCALE_FAULT_SWITCH,      /* a rack is cut off, and comes back */
    SCALE_FAULT_ZONE,        /* a zone */
    SCALE_FAULT_REGION,      /* a region is cut off, and comes back */
    SCALE_FAULT_STORE,       /* a third of the daemons ends at once and starts again */
    SCALE_FAULT_COUNT,
};

struct scale_fault_options {
    enum scale_fault_kind kind;
    uint32_t repeats; /* of primary, coordinator and rack */
    time_ns outage;   /* of a region or switch */
};

struct scale_fault_outcome {
    enum scale_fault_kind kind;
    uint32_t repeats;
    time_ns outage;
    struct scale_day_outcome day; /* at the end */
    bool settled;                 /* views, configuration and service became whole again */
    time_ns settle_time;          /* from the last fault, or the heal, until then */
    uint32_t daemons_hit;         /* that were cut off, or started again */
    uint32_t hit_serving;         /* of them, before the heal */
    uint32_t others_serving;
    uint32_t groups_hit;  /* of a cut-off region */
    uint32_t hit_led;     /* of them, led before the heal in the view of an owner that serves */
    uint32_t others_led;  /* of the other groups */
    uint64_t state_most;  /* octets of the fullest daemon before the heal */
    uint64_t store_reads; /* by all daemons */
    uint64_t store_refused;
};

/* Lower-case name, and the kind of a name. False if there is none such. */
const char *scale_fault_name(enum scale_fault_kind kind);
bool scale_fault_find(const char *name, enum scale_fault_kind *kind);

/* Starts the fleet, lets it settle, measures the faults and what follows. */
void scale_fault_run(struct scale_fleet *fleet, const struct scale_fault_options *options,
                     struct scale_fault_outcome *outcome);

#endif
