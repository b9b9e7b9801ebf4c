/* The difference of two bundles as a JSON Merge Patch (RFC 7396), so that a change of one tenant
 * costs a few octets between daemons, not the whole bundle. Pure; a patch that does not lead to the
 * wanted bundle is found out by the bundle's hash. */
#ifndef SW_DAEMON_CONFIGURATION_PATCH_H
#define SW_DAEMON_CONFIGURATION_PATCH_H

#include <glib.h>

/* What turns the canonical JSON `before` into `after`, as JSON. NULL if either can't be read. */
GBytes *configuration_patch_make(GBytes *before, GBytes *after);

/* The canonical JSON that a patch makes of `before`. NULL if either can't be read. */
GBytes *configuration_patch_apply(GBytes *before, GBytes *patch);

#endif
