/* The session token: the newest log position that a session has seen in each group. The client
 * sends it with every request, so that any daemon can serve the next one and none stores sessions.
 *
 * Text of a token: base64url without padding over
 *     version (1 byte) | key id (4 bytes, big-endian) | positions (CBOR) | MAC (32 bytes)
 * where the positions are an array of group_position and the MAC is keyed BLAKE2b over all
 * preceding bytes. A change of the layout requires a new version. */
#ifndef SW_SESSION_TOKEN_H
#define SW_SESSION_TOKEN_H

#include "core/types.h"
#include "generated/messages.h"

#include <glib.h>

/* Longest text of a token, in bytes. */
#define TOKEN_TEXT_MAX 4096

/* Most groups in one token. */
#define TOKEN_GROUPS_MAX 64

/* Most keys in one file. */
#define TOKEN_KEYS_MAX 16

/* The signing keys of a deployment, newest first. Immutable; any thread may use them. */
struct token_keys;

/* Reads a key file: a line `ID HEX` for each key, where ID is 1 to 4294967295 and HEX the 32 bytes
 * in 64 digits; empty lines and lines that start with `#` are skipped. The first key signs new
 * tokens; all keys verify. Group and others must have no permission on the file. On failure returns
 * NULL with SW_ERROR, code ERROR_KIND_INVALID_CONFIGURATION, whose message names path and line. */
struct token_keys *token_keys_load(const char *path, GError **error);

/* As above, from the text of the file. Errors name `name` in place of the path. */
struct token_keys *token_keys_parse(const char *text, const char *name, GError **error);

/* Overwrites the keys and frees them. NULL is allowed. */
void token_keys_free(struct token_keys *keys);

/* The token of `count` positions, signed with the first key. Each group occurs at most once;
 * `count` is at most TOKEN_GROUPS_MAX. The caller frees the text. */
char *token_encode(const struct token_keys *keys, const struct group_position *positions,
                   size_t count);

/* Verifies and decodes a token. The caller frees `positions` with g_free; NULL if the token has
 * none. On failure sets ERROR_KIND_BAD_SESSION, and `positions` and `count` are NULL and 0. */
bool token_decode(const struct token_keys *keys, const char *text,
                  struct group_position **positions, size_t *count, GError **error);

/* Records that the session has seen `position` in `group`: the group's entry becomes the later of
 * its present position and this one. A new group's entry is appended with g_renew. Returns false
 * and records nothing if the group is new and the list has TOKEN_GROUPS_MAX entries. */
bool session_merge(struct group_position **positions, size_t *count, uint32_t group,
                   struct log_position position);

#endif
