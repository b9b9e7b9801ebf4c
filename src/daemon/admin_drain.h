/* JSON of the progress of a drain. Any thread. */
#ifndef SW_DAEMON_ADMIN_DRAIN_H
#define SW_DAEMON_ADMIN_DRAIN_H

#include <glib.h>
#include <stdbool.h>

struct daemon;
struct group_runtime;

/* Progress for a database, from the reports of all owners: {"database", "leaving", "role",
 * "slots_in_use", "connections_in_use", "owners": [{"address", "known", "unused"}],
 * "owners_unused", "owners_count", "safe"}. Returns false if the group has no such database. */
bool admin_drain_database(struct daemon *daemon, struct group_runtime *group, const char *name,
                          GString *out);

/* Progress for this daemon: {"daemon", "leaving", "groups", "transactions_open", "tasks_open",
 * "safe"}. */
void admin_drain_daemon(struct daemon *daemon, GString *out);

#endif
