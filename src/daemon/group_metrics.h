/* Metrics of the groups that this daemon owns and their databases, made anew at each scrape: the
 * series of a group end when it goes to other owners, so that labels are bounded by what is owned.
 */
#ifndef SW_DAEMON_GROUP_METRICS_H
#define SW_DAEMON_GROUP_METRICS_H

#include <glib.h>

/* Appends all families in the Prometheus text format; `user` is the struct daemon. For
 * metrics_collector. */
void group_metrics_collect(GString *out, void *user);

#endif
