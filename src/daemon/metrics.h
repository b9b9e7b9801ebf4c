/* What the daemon counts, for /metrics. The two measures of the project come first: the share of
 * reads that replicas served, and how long writes could not land. Counting is atomic; any thread.
 */
#ifndef SW_DAEMON_METRICS_H
#define SW_DAEMON_METRICS_H

#include <glib.h>

#include "core/types.h"

struct daemon_metrics;
struct task;

struct daemon_metrics *metrics_new(void);
void metrics_free(struct daemon_metrics *metrics);

/* Counts an answered task: outcome, kind, reason, time. */
void metrics_count_reply(struct daemon_metrics *metrics, const struct task *task, time_ns now);

/* Prometheus text. The caller frees it. */
char *metrics_text(struct daemon_metrics *metrics);

#endif
