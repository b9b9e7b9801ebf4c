/* swiftctl: the operators' command. */
#include <locale.h>
#include <stdio.h>
#include <unistd.h>

#include "ctl/ctl.h"

int main(int argc, char **argv)
{
    g_autoptr(GString) output = g_string_new(NULL);
    g_autoptr(GString) errors = g_string_new(NULL);

    setlocale(LC_ALL, "");
    FILE *terminal = isatty(STDERR_FILENO) ? stderr : NULL;
    enum exit_code exit_code =
        ctl_run_shown((const char *const *)argv + 1, output, errors, terminal);
    fputs(output->str, stdout);
    fputs(errors->str, stderr);
    return exit_code;
}
