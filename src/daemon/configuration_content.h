/* Encoding of a bundle between daemons: compressed with zlib, so that the largest bundle fits into
 * one message, and identified by its version and content hash. Pure functions; any thread. */
#ifndef SW_DAEMON_CONFIGURATION_CONTENT_H
#define SW_DAEMON_CONFIGURATION_CONTENT_H

#include <glib.h>

#include "core/membership.h"

/* The mark that gossip carries for a version: the version and the first 8 bytes of the content
 * hash. The hash is 0 if `hash` is not a content hash. */
struct configuration_mark configuration_mark_of(uint64_t version, const char *hash);

/* The content, compressed. */
GBytes *configuration_compress(GBytes *content);

/* Decompresses bytes; NULL if they are malformed or the result exceeds CONFIGURATION_BYTES_MAX. */
GBytes *configuration_decompress(const uint8_t *bytes, gsize length);

#endif
