/* Text description of a deployment's current state, for tests that waited without success. */
#ifndef SW_TESTS_DAEMON_CLUSTER_STATE_H
#define SW_TESTS_DAEMON_CLUSTER_STATE_H

#include "cluster_fixture.h"

/* One line per database with the state that it reports, and lines for each running daemon: its
 * members, whether it owns the group, its view of the group, and its open work. The caller frees
 * the text. */
char *cluster_state_describe(const struct cluster *cluster);

#endif
