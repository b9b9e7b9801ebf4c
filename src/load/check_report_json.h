/* The verdict of the checker as JSON. */
#ifndef SW_LOAD_CHECK_REPORT_JSON_H
#define SW_LOAD_CHECK_REPORT_JSON_H

#include "load/checker.h"

/* The report, with at most `listed_max` violations and unknown ids named; the counts are whole. */
JsonNode *check_report_to_json(const struct check_report *report, guint listed_max);

#endif
