/* Merges the traces that several daemons recorded of the same group. */
#ifndef SW_SIM_TRACE_MERGE_H
#define SW_SIM_TRACE_MERGE_H

#include <glib.h>
#include <stdbool.h>

/* Writes the records of `traces` (paths, NULL at the end) to `path`, in the order of the wall clock
 * and, for each daemon, in their own order. The first trace is of daemon 0. */
bool trace_merge(const char *path, const char *const *traces, GError **error);

#endif
