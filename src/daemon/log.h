/* The log: GLib's structured messages, written as lines of text or JSON on standard error, or to
 * the journal. The log domain of each file is the fixed prefix of its part. Repeated lines are
 * counted, not written. */
#ifndef SW_DAEMON_LOG_H
#define SW_DAEMON_LOG_H

#include "generated/settings.h"

/* Installs the writer. Before any thread starts. */
void log_start(enum log_format format, enum log_level level);

/* Changes the level of one part, or of all if `part` is NULL. Any thread. */
void log_set_level(const char *part, enum log_level level);

#endif
