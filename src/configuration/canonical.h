/* Canonical JSON and its hash: two bundles that say the same have the same bytes and hash,
 * whatever their white space and order of members. */
#ifndef SW_CONFIGURATION_CANONICAL_H
#define SW_CONFIGURATION_CANONICAL_H

#include <json-glib/json-glib.h>

/* Members sorted by name at every level, no white space, one ending. The caller owns it. */
GBytes *canonical_json(JsonNode *root);

/* SHA-256 of the bytes in lower-case hexadecimal: the bundle's name in the object store. The
 * caller frees it. */
char *canonical_hash(GBytes *canonical);

#endif
