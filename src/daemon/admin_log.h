/* The operators' calls on the log's levels. Any thread. */
#ifndef SW_DAEMON_ADMIN_LOG_H
#define SW_DAEMON_ADMIN_LOG_H

#include <glib.h>
#include <stdbool.h>

struct daemon;

/* {"parts": [{"part", "level"}]}: of one part, or of all where `part` is NULL or "all". Fails with
 * ERROR_KIND_BAD_REQUEST if there is no such part. */
bool admin_log_write(const char *part, GString *out, GError **error);

/* Sets the level of a part, or of all by "all", notes it in the journal, and answers as above.
 * Fails likewise where part or level is missing or unknown; then nothing was changed. */
bool admin_log_set(struct daemon *daemon, const char *part, const char *level, GString *out,
                   GError **error);

#endif
