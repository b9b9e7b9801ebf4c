/* Figures of a run, collected record by record: outcomes, latencies, the share of reads that
 * replicas served, and the gaps without an acknowledged write. */
#ifndef SW_LOAD_SUMMARY_H
#define SW_LOAD_SUMMARY_H

#include <json-glib/json-glib.h>

#include "load/histogram.h"
#include "load/history.h"

/* A time without an acknowledged write that is longer than the threshold. */
struct write_gap {
    uint64_t start_ns; /* since the start of the run */
    uint64_t length_ns;
};

/* Counts of one second of the run. */
struct summary_second {
    uint64_t done;
    uint64_t not_done;
};

/* Figures of one run. Used by one thread, or under its owner's lock. */
struct summary {
    uint64_t started_ns;
    uint64_t gap_threshold_ns;
    uint64_t attempts;
    uint64_t by_outcome[ATTEMPT_OUTCOME_COUNT];
    GHashTable *by_error;           /* error kind -> count */
    struct histogram read_latency;  /* of successful attempts, from sending to answer */
    struct histogram write_latency; /* likewise */
    struct histogram
        due_latency; /* of successful operations, from the time at which they were due */
    uint64_t reads_by_replica;
    uint64_t reads_by_primary;
    uint64_t abandoned; /* operations ended before their first attempt, or at their deadline */
    uint64_t writes;    /* attempts of writes */
    uint64_t last_acknowledged_ns;
    uint64_t longest_gap_ns;
    GArray *gaps;    /* struct write_gap, in the order of time */
    GArray *seconds; /* struct summary_second */
};

struct summary *summary_new(uint64_t started_ns, uint64_t gap_threshold_ns);
void summary_free(struct summary *summary);

/* Adds one attempt. Attempts must be added roughly in the order of their answers. */
void summary_add(struct summary *summary, const struct history_record *record);

/* Ends the run. A gap that is still open is counted until `ended_ns`. */
void summary_end(struct summary *summary, uint64_t ended_ns);

/* The figures as JSON; `ended_ns` as given to summary_end. The caller frees the node. */
JsonNode *summary_to_json(const struct summary *summary, uint64_t ended_ns);

#endif
