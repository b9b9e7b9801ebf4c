/* JSON of the admin API's status and events. Any thread. */
#ifndef SW_DAEMON_ADMIN_STATUS_H
#define SW_DAEMON_ADMIN_STATUS_H

#include <glib.h>
#include <stdint.h>

struct daemon;

/* {"daemon", "zone", "configuration", "members": [...], "groups": [...]}: the groups that this
 * daemon owns with their primary, term and owners, and each database's role, positions, connections
 * and slots. */
void admin_status_write(struct daemon *daemon, GString *out);

/* {"events": [...]}: the journal's entries after a sequence number, oldest first. */
void admin_events_write(struct daemon *daemon, uint64_t since, GString *out);

#endif
