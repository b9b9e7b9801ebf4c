/* Checks, before a new version changes the databases of groups, that these groups have completed
 * the previous change: see core/quorum_settling.h. */
#ifndef SW_CTL_SETTLED_CHECK_H
#define SW_CTL_SETTLED_CHECK_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* A publish_check: `user` is the NULL-terminated array of admin URLs. True if for each group a
 * daemon that owns it, and has version `base` in force, reports it as settled. Otherwise fails with
 * ERROR_KIND_NOT_READY and each daemon's reason. */
bool settled_check(void *user, uint64_t base, const GPtrArray *changes, GError **error);

#endif
