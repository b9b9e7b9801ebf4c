/* The admin API's calls that read and set log levels. Any thread. */
#ifndef SW_DAEMON_ADMIN_LOG_H
#define SW_DAEMON_ADMIN_LOG_H

#include <glib.h>
#include <stdbool.h>

struct daemon;

/* Writes {"parts": [{"part", "level"}]} for one part, or for all where `part` is NULL or "all".
 * Fails with ERROR_KIND_BAD_REQUEST if there is no such part. */
bool admin_log_write(const char *part, GString *out, GError **error);

/* Sets the level of a part, or of all parts by "all", records the change in the journal, and
 * answers as admin_log_write. Fails likewise where part or level is missing or unknown; then
 * nothing was changed. */
bool admin_log_set(struct daemon *daemon, const char *part, const char *level, GString *out,
                   GError **error);

#endif
