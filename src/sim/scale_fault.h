/* Runs one kind of fault on a simulated fleet that is otherwise idle, and measures its recovery. */
#ifndef SW_SIM_SCALE_FAULT_H
#define SW_SIM_SCALE_FAULT_H

#include "sim/scale_day.h"

enum scale_fault_kind {
    SCALE_FAULT_PRIMARY,     /* machines of primaries are lost, one group after the other */
    SCALE_FAULT_COORDINATOR, /* the same, and in each case also the daemon that first begins to
                                fence */
    SCALE_FAULT_RACK,        /* racks are lost, one after the other, in different regions */
    SCALE_FAULT_SWITCH,      /* a rack is partitioned for a time */
    SCALE_FAULT_ZONE,        /* a zone is lost */
    SCALE_FAULT_REGION,      /* a region is partitioned for a time */
    SCALE_FAULT_STORE,       /* a third of the daemons ends at once and restarts */
    SCALE_FAULT_COUNT,
};

struct scale_fault_options {
    enum scale_fault_kind kind;
    uint32_t repeats; /* of primary, coordinator and rack */
    time_ns outage;   /* duration of the partition of a region or rack */
};

struct scale_fault_outcome {
    enum scale_fault_kind kind;
    uint32_t repeats;
    time_ns outage;
    struct scale_day_outcome day; /* at the end */
    bool settled;                 /* views, configuration and service have recovered */
    time_ns settle_time;          /* from the last fault, or the end of the partition, until then */
    uint32_t daemons_affected;    /* daemons that were partitioned or restarted */
    uint32_t affected_serving;    /* of these, those that served before the end of the partition */
    uint32_t others_serving;
    uint32_t groups_affected; /* groups of a partitioned region */
    uint32_t affected_led;    /* of these, those that had a primary in the view of a serving owner
                                 before the end of the partition */
    uint32_t others_led;      /* the same for the other groups */
    uint64_t state_bytes_max; /* bytes of the daemon with the largest state, before the end of the
                                 partition */
    uint64_t store_reads;     /* by all daemons */
    uint64_t store_refused;
};

/* The name of a kind, and the kind of a name. False if the name is unknown. */
const char *scale_fault_name(enum scale_fault_kind kind);
bool scale_fault_find(const char *name, enum scale_fault_kind *kind);

/* Starts the fleet, lets it settle, and measures the faults and the recovery. */
void scale_fault_run(struct scale_fleet *fleet, const struct scale_fault_options *options,
                     struct scale_fault_outcome *outcome);

#endif
