/* The session token: what a session has seen of each group, carried by the caller so that any
 * daemon can serve its next request and no daemon keeps a session.
 *
 * Text of a token: base64url without padding over
 *     version (1 octet) | key id (4 octets, big-endian) | positions (CBOR) | MAC (32 octets)
 * where the positions are an array of group_position and the MAC is keyed BLAKE2b over all before
 * it. A new layout takes a new version. */
#ifndef SW_SESSION_TOKEN_H
#define SW_SESSION_TOKEN_H

#include "core/types.h"
#include "generated/messages.h"

#include <glib.h>

/* Longest text of a token, in octets. */
#define TOKEN_TEXT_MAX 4096

/* Groups in one token, at most. */
#define TOKEN_GROUPS_MAX 64

/* Keys in one file, at most. */
#define TOKEN_KEYS_MAX 16

/* The keys of a deployment, newest first. Immutable; any thread may use it. */
struct token_keys;

/* Reads a key file: a line `ID HEX` for each key, where ID is 1 to 4294967295 and HEX the 32 octets
 * in 64 digits; empty lines and lines that start with `#` are skipped. The first key signs, all
 * verify. The file must not be readable by group or others. Returns NULL with SW_ERROR, code
 * ERROR_KIND_INVALID_CONFIGURATION, naming the path and line. */
struct token_keys *token_keys_load(const char *path, GError **error);

/* The same for the file's text; `name` stands for the path in errors. */
struct token_keys *token_keys_parse(const char *text, const char *name, GError **error);

void token_keys_free(struct token_keys *keys);

/* The token of `count` positions, one per group and at most TOKEN_GROUPS_MAX, signed with the first
 * key. The caller frees the text. */
char *token_encode(const struct token_keys *keys, const struct group_position *positions,
                   size_t count);

/* Checks a token and gives its positions, which the caller frees by g_free; NULL where there are
 * none. Fails with ERROR_KIND_BAD_SESSION and leaves `positions` and `count` empty. */
bool token_decode(const struct token_keys *keys, const char *text,
                  struct group_position **positions, size_t *count, GError **error);

/* Notes that the session has seen `position` in `group`: keeps the later of it and what stands.
 * `positions` grows by g_realloc. False where the group is new and the list holds
 * TOKEN_GROUPS_MAX already: the position is not noted. */
bool session_merge(struct group_position **positions, size_t *count, uint32_t group,
                   struct log_position position);

#endif
