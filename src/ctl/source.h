/* Loads the configuration that a command's operand names: a file, or a published version. */
#ifndef SW_CTL_SOURCE_H
#define SW_CTL_SOURCE_H

#include "configuration/configuration.h"
#include "configuration/version_store.h"
#include "ctl/command.h"

/* For help texts: the forms of an operand that names a configuration. */
#define SOURCE_HELP "FILE, @VERSION or @latest"

/* Loads a configuration: "@17" is version 17, "@latest" the newest one, anything else a file. The
 * caller unreferences it. NULL with `error` set; its text lists the configuration's faults, one a
 * line. */
struct configuration *source_load(struct invocation *invocation, const char *operand,
                                  GError **error);

/* Reads and parses a file, with all faults in `problems`. NULL with `error` set if it can't be read
 * (G_FILE_ERROR) or is not valid (invalid_configuration). */
struct configuration *source_load_file(const char *path, GPtrArray *problems, GError **error);

/* Opens the store by the invocation's options; NULL with `error` set. */
struct version_store *source_open_store(struct invocation *invocation, GError **error);

/* Parses "@VERSION" or "VERSION" as a number above 0; false if it is not one. */
bool source_parse_version(const char *text, uint64_t *version);

#endif
