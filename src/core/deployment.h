/* Identity of a deployment. Addresses are reused, so a daemon may receive messages meant for a
 * daemon of another deployment. Messages between daemons that name another deployment are dropped.
 * A message without a name, from an older daemon or one without a deployment name, is accepted. See
 * docs/design/membership.md. */
#ifndef SW_CORE_DEPLOYMENT_H
#define SW_CORE_DEPLOYMENT_H

#include <stdbool.h>
#include <stdint.h>

/* Identity of a deployment without a name. */
#define DEPLOYMENT_UNNAMED 0u

/* Identity of the deployment with this name; DEPLOYMENT_UNNAMED if the name is empty. */
uint32_t deployment_hash(const char *name);

/* True if both deployments have names and the names differ. */
static inline bool deployment_differs(uint32_t own, uint32_t other)
{
    return own != DEPLOYMENT_UNNAMED && other != DEPLOYMENT_UNNAMED && own != other;
}

#endif
