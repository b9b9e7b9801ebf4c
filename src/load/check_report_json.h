/* The checker's report as JSON. */
#ifndef SW_LOAD_CHECK_REPORT_JSON_H
#define SW_LOAD_CHECK_REPORT_JSON_H

#include "load/checker.h"

/* The report as JSON. It lists at most `listed_max` violations and unknown ids; its counts cover
 * all. */
JsonNode *check_report_to_json(const struct check_report *report, guint listed_max);

#endif
