/* Bounds how many requests of one tenant a daemon runs at a time in one group, so that a tenant
 * without measure cannot fill the queues before the databases. Any thread. */
#ifndef SW_DAEMON_TENANT_GATE_H
#define SW_DAEMON_TENANT_GATE_H

#include <stdbool.h>
#include <stdint.h>

struct tenant_gate;

struct tenant_gate *tenant_gate_new(void);

/* No request may be inside. */
void tenant_gate_free(struct tenant_gate *gate);

/* Lets one more request of the tenant in, unless `limit` are inside; 0 is no limit. */
bool tenant_gate_enter(struct tenant_gate *gate, const char *tenant, uint32_t limit);

/* Ends a request that was let in. */
void tenant_gate_leave(struct tenant_gate *gate, const char *tenant);

#endif
