/* The operators' calls; see the header. */
#include "daemon/admin_api.h"

#include "daemon/daemon.h"

bool admin_api_start(struct daemon *daemon, GError **error)
{
    return true;
}

void admin_api_stop(struct daemon *daemon)
{
}
