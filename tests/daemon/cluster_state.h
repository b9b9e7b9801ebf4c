/* What a deployment looks like at a moment, in words: for a test that waited in vain. */
#ifndef SW_TESTS_DAEMON_CLUSTER_STATE_H
#define SW_TESTS_DAEMON_CLUSTER_STATE_H

#include "cluster_fixture.h"

/* One line for each database (by its own account), and for each daemon that runs: its members,
 * whether it owns the group, its view of it, and what is open. The caller frees it. */
char *cluster_state_describe(const struct cluster *cluster);

#endif
