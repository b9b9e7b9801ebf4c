/* Limits the number of requests that a daemon runs at a time for one tenant in one group, so that
 * one tenant cannot fill the queues of the databases. Any thread. */
#ifndef SW_DAEMON_TENANT_GATE_H
#define SW_DAEMON_TENANT_GATE_H

#include <stdbool.h>
#include <stdint.h>

struct tenant_gate;

struct tenant_gate *tenant_gate_new(void);

/* Requires that no request is counted. */
void tenant_gate_free(struct tenant_gate *gate);

/* Counts one more request of the tenant. Returns false if `limit` are already running; 0 is no
 * limit. */
bool tenant_gate_enter(struct tenant_gate *gate, const char *tenant, uint32_t limit);

/* Ends a request that was counted. */
void tenant_gate_leave(struct tenant_gate *gate, const char *tenant);

#endif
