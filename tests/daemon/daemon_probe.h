/* Access to a daemon's internal state, for tests that include the stand-ins' headers: both define a
 * struct transaction, so that no file can include both. */
#ifndef SW_TESTS_DAEMON_DAEMON_PROBE_H
#define SW_TESTS_DAEMON_DAEMON_PROBE_H

#include "daemon/daemon.h"

/* Interactive transactions open at the daemon. */
uint32_t daemon_open_transactions(const struct daemon *daemon);

#endif
