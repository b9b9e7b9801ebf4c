/* Identity of a deployment. Addresses are given out again, so that a daemon may be sent what was
 * meant for one of another deployment: between daemons, what says that it is of another deployment
 * is dropped. Who says nothing, an older daemon or one without a name, is taken for one of the own.
 * See docs/design/membership.md. */
#ifndef SW_CORE_DEPLOYMENT_H
#define SW_CORE_DEPLOYMENT_H

#include <stdbool.h>
#include <stdint.h>

/* Identity that stands for no name. */
#define DEPLOYMENT_UNNAMED 0u

/* Identity of a deployment of this name; DEPLOYMENT_UNNAMED if it is empty. */
uint32_t deployment_hash(const char *name);

/* True if both have a name, and not the same. */
static inline bool deployment_differs(uint32_t own, uint32_t other)
{
    return own != DEPLOYMENT_UNNAMED && other != DEPLOYMENT_UNNAMED && own != other;
}

#endif
