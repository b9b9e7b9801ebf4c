/* Counters and latency histograms. Each worker has its own, written by it alone; the control thread
 * reads them all. */
#ifndef SW_POOLER_METRICS_H
#define SW_POOLER_METRICS_H

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

#include "core/types.h"
#include "pooler/shared/configuration.h"
#include "pooler/shared/operation_timing.h"
#include "pooler/shared/wire.h"

#define METRICS_ROUTE_KINDS 3

/* Upper bounds of the latency buckets, in milliseconds; the last bucket has none. */
#define METRICS_BUCKETS 12
extern const uint32_t metrics_bucket_ms[METRICS_BUCKETS - 1];

/* Priorities that are counted apart, 0 to 3; less urgent ones count as 3. */
#define METRICS_PRIORITIES 4

enum metrics_counter {
    METRICS_SESSIONS_OPENED,
    METRICS_SESSIONS_CLOSED,
    METRICS_CONNECTIONS_OPENED,
    METRICS_CONNECTIONS_FAILED,
    METRICS_CONNECTIONS_BROKEN,
    METRICS_READS_AT_PRIMARY,
    METRICS_READS_AT_REPLICA,
    METRICS_RETRIES,
    METRICS_LAGGING,
    METRICS_PERMIT_MISSING,
    METRICS_QUEUED,
    METRICS_FORWARDED,              /* transactions and single statements left to owners */
    METRICS_SERVED_FOR_OTHERS,      /* the same, taken from other poolers */
    METRICS_FORWARD_BYTES,          /* sent between poolers for statements and answers, all kinds */
    METRICS_FORWARD_BYTES_RECEIVED, /* the same, received */
    METRICS_TOKEN_BYTES,            /* of those sent: for tokens of limits */
    METRICS_PING_BYTES,             /* of those sent: to see whether the other side lives */
    METRICS_OPENED_READY,           /* connections opened to be ready */
    METRICS_OPENED_STATEMENT,       /* for a statement that waits */
    METRICS_OPENED_AHEAD,           /* for a statement that is likely to come */
    METRICS_AHEAD_USED,             /* of those opened ahead: used by a statement */
    METRICS_AHEAD_UNUSED,           /* of those opened ahead: closed unused */
    METRICS_OPENED_PROOF,           /* for a question whether the primary leads */
    METRICS_OPENED_PROBE,           /* to see whether a faulty database is back */
    METRICS_CONNECTIONS_REPLACED,   /* connections closed so that another tenant's has room */
    METRICS_CONNECTIONS_REUSED,     /* statements and transactions that found a connection of their
                                       tenant */
    METRICS_REFUSED_KEYS,           /* starts and statements whose key nobody holds */
    METRICS_REFUSED_UNPROVEN,       /* statements refused for want of proof that their key stands */
    METRICS_REFUSED_RATE,           /* operations above their tenant's limit */
    METRICS_REFUSED_NO_HOME, /* operations for which no home of the limit granted or refused a token
                              */
    METRICS_TOKENS_REQUESTED,  /* tokens to begin operations, asked of other poolers */
    METRICS_TOKENS_UNANSWERED, /* of these, without an answer in time */
    METRICS_READS_HELD,        /* reads that waited until a replica would be fresh enough */
    METRICS_TOKENS_HEDGED,     /* tokens asked for while another home was slow to answer */
    METRICS_TOKENS_LATE,       /* tokens granted when nobody waited any more: lost to the tenants */
    METRICS_OPERATIONS_LATE,   /* operations past their route's objective at this pooler */
    METRICS_BACK_SERVED,  /* requests served of clients that came back when they were told to */
    METRICS_BACK_REFUSED, /* the same, refused again or failed */
    METRICS_SESSIONS_CLOSED_PARTITIONED, /* sessions at rest closed, as the zone is cut off */
    METRICS_WINDOWS_NARROWED, /* times that a slow database was limited to its share of slots */
    METRICS_COUNTER_COUNT,
};

/** @brief Why a statement was refused before it was sent: the label `reason` of
 *  swiftworks_refused_statements_total. */
enum metrics_refusal {
    METRICS_REFUSAL_LATE,         /* it would be late */
    METRICS_REFUSAL_DISPLACED,    /* it waited, and more urgent ones came */
    METRICS_REFUSAL_PRIMARY_LOST, /* the primary is out of reach */
    METRICS_REFUSAL_WAITED,       /* it has waited for as long as it may */
    METRICS_REFUSAL_COUNT,
};

/** @brief Histogram of the time that operations of one kind and priority spent in one stage, or as
 * a whole. */
typedef struct stage_metrics {
    _Atomic uint64_t buckets[METRICS_BUCKETS];
    _Atomic uint64_t sum_us;
} stage_metrics_t;

struct metrics {
    _Atomic uint64_t counters[METRICS_COUNTER_COUNT];
    _Atomic uint64_t refusals[METRICS_REFUSAL_COUNT][METRICS_PRIORITIES];
    _Atomic uint64_t answers[METRICS_ROUTE_KINDS][ANSWER_CODE_COUNT];
    _Atomic uint64_t latency[METRICS_ROUTE_KINDS][METRICS_BUCKETS];
    _Atomic uint64_t latency_sum_us[METRICS_ROUTE_KINDS];
    /* By stage; the last is an operation's whole time. */
    stage_metrics_t stages[METRICS_ROUTE_KINDS][METRICS_PRIORITIES][STAGE_COUNT + 1];
};

/* Adds one, or `by`, to a counter. */
void metrics_count(struct metrics *metrics, enum metrics_counter counter);

void metrics_count_by(struct metrics *metrics, enum metrics_counter counter, uint64_t by);

/* One statement that was never sent, of a route of this priority, is refused. */
void metrics_refuse(struct metrics *metrics, enum metrics_refusal why, uint32_t priority);

/** @brief What a refusal's log line calls its reason. */
const char *metrics_refusal_text(enum metrics_refusal why);

/* One statement answered after `latency`. */
void metrics_answer(struct metrics *metrics, enum route_kind kind, enum answer_code code,
                    time_ns latency);

/** @brief One operation is over, and its time was spent as `timing` tells. */
void metrics_operation(struct metrics *metrics, enum route_kind kind, uint32_t priority,
                       const operation_timing_t *timing);

/* Adds the figures of one worker to a sum. */
void metrics_add(struct metrics *sum, const struct metrics *metrics);

/** @return the route kind's name for logs and metrics. */
const char *metrics_route_name(enum route_kind kind);

/* Writes the figures in Prometheus' text form. */
void metrics_print(const struct metrics *metrics, GString *out);

#endif
