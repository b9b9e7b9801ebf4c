/* The pooler's log: GLib's structured messages, written as one JSON object per line to standard
 * output. A file's log domain is written as the field "part". Lines above the budget of a second
 * are dropped; the next line that is written carries their number as "left_out". */
#ifndef SW_POOLER_LOG_H
#define SW_POOLER_LOG_H

#include <stdint.h>

/* Installs the log writer. To be called before any thread starts. */
void pooler_log_start(uint32_t lines_per_second);

/* Number of lines dropped so far. Any thread. */
uint64_t pooler_log_left_out(void);

#endif
