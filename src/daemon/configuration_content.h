/* How a bundle travels between daemons: compressed by zlib, so that the largest bundle fits a
 * message, and named by its version and content hash. Pure; any thread. */
#ifndef SW_DAEMON_CONFIGURATION_CONTENT_H
#define SW_DAEMON_CONFIGURATION_CONTENT_H

#include <glib.h>

#include "core/membership.h"

/* The mark of a version: gossip carries the first 8 octets of the content hash. Hash 0 if `hash` is
 * not a content hash. */
struct configuration_mark configuration_mark_of(uint64_t version, const char *hash);

/* The content, compressed. */
GBytes *configuration_compress(GBytes *content);

/* Compressed octets as they were before; NULL if they are none or exceed CONFIGURATION_BYTES_MAX.
 */
GBytes *configuration_decompress(const uint8_t *octets, gsize length);

#endif
