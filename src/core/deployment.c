/* Identity of a deployment; see the header. */
#include "core/deployment.h"

#include <string.h>
#include <xxhash.h>

uint32_t deployment_hash(const char *name)
{
    if (name[0] == '\0') {
        return DEPLOYMENT_UNNAMED;
    }
    uint32_t hash = XXH32(name, strlen(name), 0);
    return hash == DEPLOYMENT_UNNAMED ? 1 : hash;
}
