/* Canonical JSON and its hash: two bundles that differ only in white space and in the order of
 * members have the same bytes and the same hash. */
#ifndef SW_CONFIGURATION_CANONICAL_H
#define SW_CONFIGURATION_CANONICAL_H

#include <json-glib/json-glib.h>

/* The canonical text of a tree: members sorted by name at every level, no white space. Sorts the
 * tree in place. The caller owns the bytes. */
GBytes *canonical_json(JsonNode *root);

/* SHA-256 of the bytes in lower-case hexadecimal: the bundle's name in the object store. The
 * caller frees it. */
char *canonical_hash(GBytes *canonical);

#endif
