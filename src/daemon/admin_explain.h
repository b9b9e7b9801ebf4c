/* The JSON of `explain`: where a request would go now, and what became of one. Any thread. */
#ifndef SW_DAEMON_ADMIN_EXPLAIN_H
#define SW_DAEMON_ADMIN_EXPLAIN_H

#include <glib.h>
#include <stdbool.h>

struct daemon;

/* Where a tenant's read or write would go now, and why the other databases were passed over. Fails
 * with ERROR_KIND_UNKNOWN_TENANT. */
bool admin_explain_write(struct daemon *daemon, const char *tenant, bool write, GString *out,
                         GError **error);

/* {"daemon", "request", "reaches_to", "records": [...]}: what this daemon has kept of a request,
 * oldest first; none if it never came here, or was pushed out by later ones. */
void admin_explain_request(struct daemon *daemon, const char *request_id, GString *out);

#endif
