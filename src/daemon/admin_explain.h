/* JSON for `swiftctl explain`: how a request would be routed now, and how an earlier one was
 * handled. Any thread. */
#ifndef SW_DAEMON_ADMIN_EXPLAIN_H
#define SW_DAEMON_ADMIN_EXPLAIN_H

#include <glib.h>
#include <stdbool.h>

struct daemon;

/* Writes the database that a tenant's read or write would be routed to now, and why each other
 * database is not eligible. Fails with ERROR_KIND_UNKNOWN_TENANT. */
bool admin_explain_write(struct daemon *daemon, const char *tenant, bool write, GString *out,
                         GError **error);

/* Writes {"daemon", "request", "reaches_to", "records": [...]}: the records that this daemon has of
 * a request, oldest first. There are none if it did not receive the request or later ones replaced
 * its record. */
void admin_explain_request(struct daemon *daemon, const char *request_id, GString *out);

#endif
