/* Checks the guarantees on writes: what the attempts of each write allow in the final state, and
 * the order of terms among acknowledgements. Part of the checker. */
#ifndef SW_LOAD_CHECKER_WRITES_H
#define SW_LOAD_CHECKER_WRITES_H

#include "load/checker.h"

/* Adds a violation, found at `record`, concerning the row `id`. */
void check_report_add(struct check_report *report, enum violation_kind kind,
                      const struct history_record *record, const char *id);

/* Checks the writes among `records`, which are in the order of sending. */
void check_writes(struct check_report *report, const GPtrArray *records,
                  const struct final_state *state);

#endif
