/* Declarations shared by all commands of swiftctl: a command's description, the parsing of its
 * options, and its output. */
#ifndef SW_CTL_COMMAND_H
#define SW_CTL_COMMAND_H

#include <stdbool.h>
#include <stdio.h>

#include <glib.h>

#include "ctl/exit_code.h"
#include "storage/http_client.h"

/* Groups of options that a command accepts besides its own and --output. */
enum command_options {
    COMMAND_OPTIONS_NONE = 0,
    COMMAND_OPTIONS_PLATFORM = 1 << 0, /* how to reach the platform's store */
    COMMAND_OPTIONS_ADMIN = 1 << 1,    /* how to reach a daemon */
    COMMAND_OPTIONS_ADMINS = 1 << 2,   /* together with the one above: --admin may be repeated */
};

/* One run of swiftctl. Used by one thread. */
struct invocation {
    char *
        *arguments; /* words after the command's name; after the parsing of options only operands */
    GString *output; /* for standard output */
    GString *errors; /* for standard error */
    char *format;    /* --output */
    bool json;
    FILE *terminal; /* terminal for progress lines; NULL: none */
    char *table_url;
    char *object_url;
    char *bucket;
    char *table;
    char *region;
    char **admin_urls; /* --admin, NULL if not given */
    gint timeout_ms;

    /* If set, command_parse passes each list of options to it and ends the command without a run.
     */
    void (*list)(void *user, const GOptionEntry *entries);
    void *list_user;
};

/* One command. */
struct command {
    const char *name;
    const char *operands; /* as shown by --help, such as "OLD NEW" */
    const char *summary;  /* one short sentence */
    const char *details;  /* further text for --help, or NULL */
    const char *examples; /* lines, each with its line end */
    guint operands_min;
    guint operands_max;
    guint options; /* of enum command_options */
    enum exit_code (*run)(const struct command *command, struct invocation *invocation);
};

/* Parses the options and checks the number of operands. True: the command may run. False: help or
 * an error was written, and the command ends with `exit_code`. `entries` are the command's own
 * options, NULL if none. */
bool command_parse(const struct command *command, struct invocation *invocation,
                   const GOptionEntry *entries, enum exit_code *exit_code);

/* The operand at an index, or NULL. */
const char *command_operand(const struct invocation *invocation, guint index);

/* Writes an error and returns the matching exit code. */
enum exit_code command_fail(struct invocation *invocation, const GError *error);

/* As command_fail, with the given kind and text. */
enum exit_code command_fail_text(struct invocation *invocation, enum exit_code exit_code,
                                 const char *kind, const char *text);

/* The platform's settings from options, else the environment, else defaults. The invocation or the
 * environment owns the strings. A missing table service is a usage error. */
bool command_platform_settings(struct invocation *invocation, struct platform_settings *settings,
                               GError **error);

/* Admin URL number `index`, from the options, else the environment, else the default; NULL after
 * the last. There is always at least one. */
const char *command_admin_url(const struct invocation *invocation, guint index);

#endif
