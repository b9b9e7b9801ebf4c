/* The pooler's log: GLib's structured messages as one JSON object a line on standard output. Each
 * file's log domain is the fixed prefix of its part. Lines over the budget of a second are counted
 * by part and left out; the count is logged. */
#ifndef SW_POOLER_LOG_H
#define SW_POOLER_LOG_H

#include <stdint.h>

/* Installs the writer. Before any thread starts. */
void pooler_log_start(uint32_t lines_per_second);

/* Lines left out so far. Any thread. */
uint64_t pooler_log_left_out(void);

#endif
