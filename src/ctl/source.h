/* Where a command takes a configuration from: a file, or a published version. */
#ifndef SW_CTL_SOURCE_H
#define SW_CTL_SOURCE_H

#include "configuration/configuration.h"
#include "configuration/version_store.h"
#include "ctl/command.h"

/* As shown in help: operands of this form name a published version. */
#define SOURCE_HELP "FILE, @VERSION or @latest"

/* Loads a configuration: "@17" is version 17, "@latest" the head, all else a file. The caller
 * unreferences it. NULL with `error` set; faults of the configuration are one a line in its text.
 */
struct configuration *source_load(struct invocation *invocation, const char *operand,
                                  GError **error);

/* Reads and parses a file, with all faults in `problems`. NULL with `error` set if it can't be read
 * (G_FILE_ERROR) or is not valid (invalid_configuration). */
struct configuration *source_load_file(const char *path, GPtrArray *problems, GError **error);

/* A store by the invocation's options; NULL with `error` set. */
struct version_store *source_open_store(struct invocation *invocation, GError **error);

/* Reads "@VERSION" or "VERSION" as a number above 0; false if it is not one. */
bool source_parse_version(const char *text, uint64_t *version);

#endif
