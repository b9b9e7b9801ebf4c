/* The JSON of the operators' questions: status, events, explain. Any thread. */
#ifndef SW_DAEMON_ADMIN_STATUS_H
#define SW_DAEMON_ADMIN_STATUS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct daemon;

/* {"daemon", "zone", "configuration", "members": [...], "groups": [...]}: groups that this daemon
 * owns with their primary, term, owners, and each database's role, positions, connections and
 * slots. */
void admin_status_write(struct daemon *daemon, GString *out);

/* {"events": [...]} after a sequence number, oldest first. */
void admin_events_write(struct daemon *daemon, uint64_t since, GString *out);

/* Where a tenant's read or write would go now, and why the other databases were passed over. Fails
 * with ERROR_KIND_UNKNOWN_TENANT. */
bool admin_explain_write(struct daemon *daemon, const char *tenant, bool write, GString *out,
                         GError **error);

#endif
