/* swiftctl as a function, so that tests can run it in their own process. */
#ifndef SW_CTL_CTL_H
#define SW_CTL_CTL_H

#include <stdio.h>

#include "ctl/exit_code.h"

/* Runs swiftctl with the words after its name (NULL-terminated, copied). Appends the text for
 * standard output to `output` and that for standard error to `errors`. */
enum exit_code ctl_run(const char *const *words, GString *output, GString *errors);

/* The same, with progress lines written to `terminal`; NULL: none. */
enum exit_code ctl_run_shown(const char *const *words, GString *output, GString *errors,
                             FILE *terminal);

#endif
