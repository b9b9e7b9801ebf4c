/* Faults found in a configuration bundle. The parser collects all of them, so that an operator
 * mends a file in one go. Each names the file, the place, the value and what is allowed. */
#ifndef SW_CONFIGURATION_PROBLEM_H
#define SW_CONFIGURATION_PROBLEM_H

#include <glib.h>

/* One fault. Owned by the array that holds it. */
struct configuration_problem {
    char *source;  /* file name as the caller gave it */
    char *path;    /* JSON Pointer (RFC 6901) of the value, or "line N" where none is known */
    char *value;   /* the value as JSON, shortened; NULL where it is missing */
    char *fault;   /* what is wrong, such as "is out of range" */
    char *allowed; /* what would be right, such as "integer 1 to 1000" */
};

/* An array of struct configuration_problem that frees its elements. */
GPtrArray *configuration_problems_new(void);

/* Adds a problem; copies the texts. `value` may be NULL. */
void configuration_problems_add(GPtrArray *problems, const char *source, const char *path,
                                const char *value, const char *fault, const char *allowed);

/* "SOURCE: PATH: VALUE FAULT; allowed: ALLOWED". The caller frees it. */
char *configuration_problem_text(const struct configuration_problem *problem);

/* All problems, one a line, each line ended. The caller frees it. */
char *configuration_problems_text(const GPtrArray *problems);

#endif
