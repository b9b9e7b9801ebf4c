/* Canonical JSON and its hash: two bundles that say the same have the same bytes and hash,
 * whatever their white space and order of members. */
#ifndef SW_CONFIGURATION_CANONICAL_H
#define SW_CONFIGURATION_CANONICAL_H

#include <json-glib/json-glib.h>

/* The canonical text of a tree that may be changed: sorts members by name at every level, in place,
 * and writes it without white space. The caller owns the bytes. */
GBytes *canonical_json(JsonNode *root);

/* SHA-256 of the bytes in lower-case hexadecimal: the bundle's name in the object store. The
 * caller frees it. */
char *canonical_hash(GBytes *canonical);

#endif
