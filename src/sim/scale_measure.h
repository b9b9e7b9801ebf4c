/* The measures of a simulated fleet: traffic, processor time and state per daemon, spreading times,
 * and violations. */
#ifndef SW_SIM_SCALE_MEASURE_H
#define SW_SIM_SCALE_MEASURE_H

#include "core/types.h"

#include <glib.h>

/* Classes of traffic. */
enum scale_traffic {
    SCALE_TRAFFIC_GOSSIP,
    SCALE_TRAFFIC_CONFIGURATION,
    SCALE_TRAFFIC_GROUP_STATUS,
    SCALE_TRAFFIC_BUDGET,
    SCALE_TRAFFIC_OPINION,
    SCALE_TRAFFIC_COUNT,
};

const char *scale_traffic_name(enum scale_traffic traffic);

/* Parts of a daemon's state. */
enum scale_part {
    SCALE_PART_MEMBERSHIP,
    SCALE_PART_OWNERSHIP,
    SCALE_PART_BUDGETS,
    SCALE_PART_DISSEMINATION,
    SCALE_PART_CURRENCY,
    SCALE_PART_CONTROL,
    SCALE_PART_COUNT,
};

const char *scale_part_name(enum scale_part part);

/* Counters of one daemon since the measurement started. */
struct scale_counters {
    uint64_t sent[SCALE_TRAFFIC_COUNT];
    uint64_t sent_bytes[SCALE_TRAFFIC_COUNT]; /* encoded, without UDP, TCP and IP headers */
    uint64_t received;
    uint64_t received_bytes;
    uint64_t core_ns;  /* processor time in core objects */
    uint64_t codec_ns; /* processor time to encode and decode */
    uint64_t store_reads;
    uint64_t store_refused; /* of these, rejected by the store's rate limit */
    uint64_t probes;        /* requests to databases, including commands */
    time_ns running;        /* virtual time that the daemon was up */
};

/* A list of durations, for percentiles. */
struct scale_samples {
    GArray *values; /* uint64_t ns */
    bool sorted;
};

void scale_samples_init(struct scale_samples *samples);
void scale_samples_clear(struct scale_samples *samples);
void scale_samples_add(struct scale_samples *samples, uint64_t value);

/* The value that this share (0 to 1) of the samples does not exceed; 0 without samples. */
uint64_t scale_samples_percentile(struct scale_samples *samples, double share);

struct scale_measures {
    time_ns started;
    struct scale_samples configuration; /* per daemon and change: until in force */
    struct scale_samples
        configuration_all; /* per change: until in force at all that were not partitioned */
    struct scale_samples configuration_healed; /* per partitioned daemon: from the end of the
                                                  partition until in force */
    struct scale_samples status; /* per daemon and change of primary: until received */
    struct scale_samples
        status_all; /* per change: until received by all that were not partitioned */
    struct scale_samples status_healed;
    /* Per change of primary: from the loss until the watchers agree, until a majority has promised,
     * until the new one leads, until all owners have learned of it; and the sum. */
    struct scale_samples change_detect;
    struct scale_samples change_fence;
    struct scale_samples change_promote;
    struct scale_samples change_learn;
    struct scale_samples change_whole;
    uint64_t changes_blocked; /* fewer than a majority of the databases were up and reachable */
    uint64_t
        primaries_suspected; /* by a watcher, though they led and the watcher could reach them */
    uint64_t changes_unfinished; /* without a new primary */
    uint64_t changes_uninformed; /* owners, not partitioned, that did not learn of a change */
    uint64_t changes_unneeded;   /* terms begun in groups that had lost no primary, or had been
                                    changed already */
    struct scale_samples death_detected; /* per observer: until it holds the daemon to be dead */
    struct scale_samples leave_detected; /* per observer: until it holds the daemon to be leaving */
    uint64_t suspicions;                 /* raised by any daemon */
    uint64_t false_suspicions;           /* of a daemon that ran and was reachable */
    uint64_t false_deaths;
    uint64_t stops;             /* a daemon that was not partitioned stopped serving */
    uint64_t budget_violations; /* connections above a database's limit */
    uint32_t connections_max;   /* highest number at any database */
    uint64_t numbers_refused;   /* opened, but another connection held the number */
};

void scale_measures_init(struct scale_measures *measures, time_ns now);
void scale_measures_clear(struct scale_measures *measures);

#endif
