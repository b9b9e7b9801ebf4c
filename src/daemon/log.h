/* The log: GLib's structured messages, written as text or JSON lines to standard error, or to the
 * system journal. The log domain of each file is the fixed prefix of its part. Repeated lines are
 * counted instead of written. */
#ifndef SW_DAEMON_LOG_H
#define SW_DAEMON_LOG_H

#include <stdbool.h>
#include <stddef.h>

#include "generated/settings.h"

/* Installs the writer. Must run before any thread starts. */
void log_start(enum log_format format, enum log_level level);

/* Changes the level of one part, or of all lines if `part` is NULL, until the process ends. False
 * if there is no such part. Any thread. */
bool log_set_level(const char *part, enum log_level level);

/* True if a line of this part and level would be written. Takes no lock. Any thread. */
bool log_is_enabled(const char *part, enum log_level level);

/* Names of the parts by index from 0; NULL after the last. */
const char *log_part(size_t index);

/* The level of a part. Any thread. */
enum log_level log_level_of(const char *part);

/* "error", "warning", "message", "info" or "debug", and back; false for any other text. */
const char *log_level_name(enum log_level level);
bool log_level_from_name(const char *name, enum log_level *level);

#endif
