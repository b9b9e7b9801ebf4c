/* Commands that a test sends to the session stand-ins at run time: one command a line on standard
 * input, each answered by one line, "done" or "error: REASON". `look` prints its result before
 * that.
 *
 *   configure JSON      set the operator's configuration; answered once it is in the store
 *   store WORD          well, refuse, silent, lose (answers of writes), forget (history),
 *                       or restore MS: to the state of MS milliseconds ago
 *   database ID WORD    well, down, silent, busy, deaf, lagging, lose (answers), cut (no
 *                       replication, record not renewed), draining, gone, or slots COUNT FACTOR
 *   dump PATH           write all statements run and the leaders' logs as lines of JSON
 *   look                print each service's leader and the lease */
#ifndef SW_STANDINS_COMMANDS_H
#define SW_STANDINS_COMMANDS_H

#include "standins/session_platform/platform.h"

/* Runs one line and prints "done" or "error: REASON". */
void command_run(struct platform *platform, char *line);

#endif
