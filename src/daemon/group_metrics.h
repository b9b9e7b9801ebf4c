/* Metrics of the groups that this daemon owns and of their databases, generated at each scrape. A
 * group's series end when it moves to other owners, so that the number of label values is bounded
 * by the groups owned. */
#ifndef SW_DAEMON_GROUP_METRICS_H
#define SW_DAEMON_GROUP_METRICS_H

#include <glib.h>

/* Appends all families in the Prometheus text format; `user` is the struct daemon. For
 * metrics_collector. */
void group_metrics_collect(GString *out, void *user);

#endif
