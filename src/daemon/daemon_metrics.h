/* Metrics of the daemon, for /metrics. The first two are the project's main objectives: reads by
 * the role that served them, and the time for which writes had no primary. Any thread. */
#ifndef SW_DAEMON_DAEMON_METRICS_H
#define SW_DAEMON_DAEMON_METRICS_H

#include "core/types.h"
#include "daemon/foreign_traffic.h"
#include "frontend/metrics.h"

struct daemon;
struct daemon_metrics;
struct task;

/* Direction of a datagram of the control plane. */
enum datagram_direction {
    DATAGRAM_SENT,
    DATAGRAM_RECEIVED,
    DATAGRAM_DIRECTION_COUNT,
};

/* Creates the daemon's metrics in a registry of their own. */
struct daemon_metrics *daemon_metrics_new(void);
void daemon_metrics_free(struct daemon_metrics *metrics);

/* The registry, for the admin listener and the frontend. */
struct metrics *daemon_metrics_registry(struct daemon_metrics *metrics);

/* Adds gauges that read the daemon's parts. All parts must run. */
void daemon_metrics_watch(struct daemon_metrics *metrics, struct daemon *daemon);

/* Counts an answered task. */
void daemon_metrics_count(struct daemon_metrics *metrics, const struct task *task, time_ns now);

/* Counts the payload of one datagram between daemons, without the UDP and IP headers. */
void daemon_metrics_datagram(struct daemon_metrics *metrics, enum datagram_direction direction,
                             size_t bytes);

/* Counts one message from another deployment. */
void daemon_metrics_foreign(struct daemon_metrics *metrics, enum foreign_traffic traffic);

/* Reports whether a group accepts writes. The time between false and true is the failover gap as
 * this daemon sees it. */
void daemon_metrics_group_writable(struct daemon_metrics *metrics, uint32_t group, bool writable,
                                   time_ns now);

#endif
