/* Counters and latency histograms. Each worker has its own and is the only writer; the control
 * thread reads them all. */
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

/* Upper bounds of the latency buckets, in milliseconds; the last bucket is unbounded. */
#define METRICS_BUCKETS 12
extern const uint32_t metrics_bucket_ms[METRICS_BUCKETS - 1];

/* Priorities that are counted separately, 0 to 3; lower ones (greater numbers) count as 3. */
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
    METRICS_FORWARDED,              /* transactions and single statements forwarded to owners */
    METRICS_SERVED_FOR_OTHERS,      /* the same, accepted from other poolers */
    METRICS_FORWARD_BYTES,          /* bytes sent to other poolers by forwarding, all messages */
    METRICS_FORWARD_BYTES_RECEIVED, /* bytes received from other poolers by forwarding */
    METRICS_TOKEN_BYTES,            /* of the bytes sent: requests for rate-limit tokens */
    METRICS_PING_BYTES,             /* of the bytes sent: pings */
    METRICS_OPENED_READY,           /* connections opened to keep the configured number ready */
    METRICS_OPENED_STATEMENT,       /* connections opened for a queued statement */
    METRICS_OPENED_AHEAD,           /* connections opened for an announced statement */
    METRICS_AHEAD_USED,             /* of those opened ahead: used by a statement */
    METRICS_AHEAD_UNUSED,           /* of those opened ahead: closed unused */
    METRICS_OPENED_PROOF,           /* connections opened for a leadership check */
    METRICS_OPENED_PROBE,           /* connections opened to probe a faulty database */
    METRICS_CONNECTIONS_REPLACED,   /* connections closed to make a slot for another tenant's */
    METRICS_CONNECTIONS_REUSED,     /* statements and transactions that used an idle connection */
    METRICS_REFUSED_KEYS, /* session starts and statements refused because their key is unknown */
    METRICS_REFUSED_UNPROVEN,  /* the same, because it was not proven that the key is still valid */
    METRICS_REFUSED_RATE,      /* operations refused above their tenant's limit */
    METRICS_REFUSED_NO_HOME,   /* operations refused as no home of the limit answered */
    METRICS_TOKENS_REQUESTED,  /* tokens requested from other poolers */
    METRICS_TOKENS_UNANSWERED, /* of these requests: not answered in time */
    METRICS_READS_HELD,        /* reads deferred until a replica would be fresh enough */
    METRICS_TOKENS_HEDGED,     /* tokens requested from a second home, the first being slow */
    METRICS_TOKENS_LATE,       /* tokens granted after the request was abandoned: unused */
    METRICS_OPERATIONS_LATE,   /* operations over their route's latency objective */
    METRICS_RETURNS_SERVED,    /* requests that followed the advised retry time and were served */
    METRICS_RETURNS_REFUSED,   /* the same, refused again or failed */
    METRICS_SESSIONS_CLOSED_PARTITIONED, /* idle sessions closed in a network partition */
    METRICS_WINDOWS_NARROWED,            /* times that a slow database's window was narrowed */
    METRICS_COUNTER_COUNT,
};

/** @brief Why a statement was refused before it was sent: the label `reason` of
 *  swiftworks_refused_statements_total. */
enum metrics_refusal {
    METRICS_REFUSAL_LATE,         /* it would miss its route's latency objective */
    METRICS_REFUSAL_DISPLACED,    /* it was queued, and statements of higher priority came */
    METRICS_REFUSAL_PRIMARY_LOST, /* only the primary can serve it, and that is unreachable */
    METRICS_REFUSAL_WAITED,       /* it was queued for the longest time allowed */
    METRICS_REFUSAL_COUNT,
};

/** @brief Histogram of the time that operations of one route kind and priority spent in one stage
 * or in total. */
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
    /* By stage; the last is the operation's total time. */
    stage_metrics_t stages[METRICS_ROUTE_KINDS][METRICS_PRIORITIES][STAGE_COUNT + 1];
};

/* Adds one to a counter. */
void metrics_count(struct metrics *metrics, enum metrics_counter counter);

/* Adds `by` to a counter. */
void metrics_count_by(struct metrics *metrics, enum metrics_counter counter, uint64_t by);

/* Counts a statement that was refused before it was sent. `priority` of its route. */
void metrics_refuse(struct metrics *metrics, enum metrics_refusal why, uint32_t priority);

/** @return the reason's text for log lines. */
const char *metrics_refusal_text(enum metrics_refusal why);

/* Counts a statement answered after `latency`. */
void metrics_answer(struct metrics *metrics, enum route_kind kind, enum answer_code code,
                    time_ns latency);

/** @brief Counts a finished operation, with its times by stage. */
void metrics_operation(struct metrics *metrics, enum route_kind kind, uint32_t priority,
                       const operation_timing_t *timing);

/* Adds one worker's figures to a sum. */
void metrics_add(struct metrics *sum, const struct metrics *metrics);

/** @return the route kind's name for logs and metrics. */
const char *metrics_route_name(enum route_kind kind);

/* Writes the figures in Prometheus' text format. */
void metrics_print(const struct metrics *metrics, GString *out);

#endif
