/* swiftctl as a function, so that tests run it in their own process. */
#ifndef SW_CTL_CTL_H
#define SW_CTL_CTL_H

#include <stdio.h>

#include "ctl/exit_code.h"

/* Runs swiftctl with the words after its name (NULL-ended, copied). Appends to `output` and
 * `errors` what goes to standard output and standard error. */
enum exit_code ctl_run(const char *const *words, GString *output, GString *errors);

/* The same, with progress shown on `terminal` meanwhile; NULL: nowhere. */
enum exit_code ctl_run_shown(const char *const *words, GString *output, GString *errors,
                             FILE *terminal);

#endif
