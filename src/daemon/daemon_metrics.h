/* What the daemon measures, for /metrics. The two measures of the project come first: reads by the
 * role that served them, and the time for which writes had no primary. Any thread. */
#ifndef SW_DAEMON_DAEMON_METRICS_H
#define SW_DAEMON_DAEMON_METRICS_H

#include "core/types.h"
#include "daemon/foreign_traffic.h"
#include "frontend/metrics.h"

struct daemon;
struct daemon_metrics;
struct task;

/* Which way a datagram of the control plane went. */
enum datagram_direction {
    DATAGRAM_SENT,
    DATAGRAM_RECEIVED,
    DATAGRAM_DIRECTION_COUNT,
};

/* Makes the daemon's metrics in a registry of their own. */
struct daemon_metrics *daemon_metrics_new(void);
void daemon_metrics_free(struct daemon_metrics *metrics);

/* The registry, for the admin listener and the frontend. */
struct metrics *daemon_metrics_registry(struct daemon_metrics *metrics);

/* Adds gauges that read the daemon's parts; once they all run. */
void daemon_metrics_watch(struct daemon_metrics *metrics, struct daemon *daemon);

/* Counts an answered task. */
void daemon_metrics_count(struct daemon_metrics *metrics, const struct task *task, time_ns now);

/* Counts one datagram between daemons: its payload, without the headers of UDP and IP. */
void daemon_metrics_datagram(struct daemon_metrics *metrics, enum datagram_direction direction,
                             size_t octets);

/* Counts one message of another deployment. */
void daemon_metrics_foreign(struct daemon_metrics *metrics, enum foreign_traffic traffic);

/* Tells whether a group takes writes; the time between is the failover gap as this daemon sees it.
 */
void daemon_metrics_group_writable(struct daemon_metrics *metrics, uint32_t group, bool writable,
                                   time_ns now);

#endif
