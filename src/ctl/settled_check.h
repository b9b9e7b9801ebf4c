/* Asks daemons whether groups whose databases a new version changes are done with the change
 * before: see core/quorum_settling.h. */
#ifndef SW_CTL_SETTLED_CHECK_H
#define SW_CTL_SETTLED_CHECK_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* A publish_check: `user` is the NULL-ended array of admin URLs. True if for each group a daemon
 * that owns it, and has version `base` in force, says that it is settled. Otherwise fails with
 * ERROR_KIND_NOT_READY, naming what each daemon says. */
bool settled_check(void *user, uint64_t base, const GPtrArray *changes, GError **error);

#endif
