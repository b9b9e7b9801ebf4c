/* Faults found in a configuration bundle. The parser collects all of them, so that an operator
 * can correct a file in one pass. Each names the file, the path, the value and the allowed values.
 */
#ifndef SW_CONFIGURATION_PROBLEM_H
#define SW_CONFIGURATION_PROBLEM_H

#include <glib.h>

/* One fault. Owns its strings; owned by the array. */
struct configuration_problem {
    char *source;  /* file name as the caller gave it */
    char *path;    /* JSON Pointer (RFC 6901) of the value, or "line N" if the path is unknown */
    char *value;   /* the value as JSON, shortened; NULL if missing or not shown */
    char *fault;   /* what is wrong, such as "is out of range" */
    char *allowed; /* the valid values, such as "integer 1 to 1000" */
};

/* An array of struct configuration_problem that frees its elements. */
GPtrArray *configuration_problems_new(void);

/* Adds a problem; copies the texts. `value` may be NULL. */
void configuration_problems_add(GPtrArray *problems, const char *source, const char *path,
                                const char *value, const char *fault, const char *allowed);

/* "SOURCE: PATH: VALUE FAULT; allowed: ALLOWED". The caller frees it. */
char *configuration_problem_text(const struct configuration_problem *problem);

/* All problems, one per line, each terminated by a newline. The caller frees it. */
char *configuration_problems_text(const GPtrArray *problems);

#endif
