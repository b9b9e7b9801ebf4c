/* The session token: key files, encoding, verification and merging of positions. */
#include "session/token.h"

#include "core/error.h"
#include "generated/errors.h"
#include "wire/codec.h"

#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define TOKEN_VERSION           1
#define TOKEN_HEADER_BYTES      5
#define TOKEN_KEY_BYTES         crypto_generichash_KEYBYTES
#define TOKEN_MAC_BYTES         crypto_generichash_BYTES
#define TOKEN_BASE64            sodium_base64_VARIANT_URLSAFE_NO_PADDING
#define TOKEN_ALPHABET          "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
#define KEY_FILE_BYTES_MAX      65536
#define KEY_FILE_MODE_FORBIDDEN 077

struct token_key {
    uint32_t id;
    uint8_t secret[TOKEN_KEY_BYTES];
};

struct token_keys {
    size_t count;
    struct token_key keys[TOKEN_KEYS_MAX];
};

static void set_key_error(GError **error, const char *name, unsigned line, const char *reason)
{
    g_set_error(error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION, "%s:%u: %s", name, line, reason);
}

static const struct token_key *find_key(const struct token_keys *keys, uint32_t id)
{
    for (size_t i = 0; i < keys->count; i++) {
        if (keys->keys[i].id == id) {
            return &keys->keys[i];
        }
    }
    return NULL;
}

/* Adds the key of one line, which is neither empty nor a comment. Returns NULL, or the reason why
 * the line is invalid. */
static const char *parse_key_line(struct token_keys *keys, const char *line)
{
    g_auto(GStrv) words = g_strsplit(line, " ", 0);
    if (g_strv_length(words) != 2) {
        return "expected a key id, one space and the key in hexadecimal";
    }
    guint64 id = 0;
    if (!g_ascii_string_to_unsigned(words[0], 10, 1, G_MAXUINT32, &id, NULL)) {
        return "the key id is not a number from 1 to 4294967295";
    }
    if (find_key(keys, (uint32_t)id) != NULL) {
        return "duplicate key id";
    }
    if (keys->count == TOKEN_KEYS_MAX) {
        return "too many keys";
    }
    struct token_key *key = &keys->keys[keys->count];
    size_t length = 0;
    const char *end = NULL;
    size_t digits = strlen(words[1]);
    if (digits != 2 * TOKEN_KEY_BYTES ||
        sodium_hex2bin(key->secret, sizeof(key->secret), words[1], digits, NULL, &length, &end) !=
            0 ||
        length != TOKEN_KEY_BYTES || end != words[1] + digits) {
        return "the key is not 64 hexadecimal digits";
    }
    key->id = (uint32_t)id;
    keys->count++;
    return NULL;
}

struct token_keys *token_keys_parse(const char *text, const char *name, GError **error)
{
    if (sodium_init() < 0) {
        set_key_error(error, name, 0, "libsodium can't be initialized");
        return NULL;
    }
    struct token_keys *keys = g_new0(struct token_keys, 1);
    g_auto(GStrv) lines = g_strsplit(text, "\n", 0);
    for (unsigned i = 0; lines[i] != NULL; i++) {
        char *line = g_strstrip(lines[i]);
        if (line[0] == '\0' || line[0] == '#') {
            continue;
        }
        const char *reason = parse_key_line(keys, line);
        sodium_memzero(line, strlen(line));
        if (reason != NULL) {
            set_key_error(error, name, i + 1, reason);
            token_keys_free(keys);
            return NULL;
        }
    }
    if (keys->count == 0) {
        set_key_error(error, name, 0, "no key is given");
        token_keys_free(keys);
        return NULL;
    }
    return keys;
}

/* Reads at most `size` bytes of an open key file. Returns their number, or -1 with errno set. */
static ssize_t read_key_file(int file, char *buffer, size_t size)
{
    size_t length = 0;
    while (length < size) {
        ssize_t part = read(file, buffer + length, size - length);
        if (part < 0 && errno == EINTR) {
            continue;
        }
        if (part < 0) {
            return -1;
        }
        if (part == 0) {
            break;
        }
        length += (size_t)part;
    }
    return (ssize_t)length;
}

static struct token_keys *load_open_file(int file, const char *path, GError **error)
{
    struct stat status;
    if (fstat(file, &status) != 0 || !S_ISREG(status.st_mode)) {
        set_key_error(error, path, 0, "not a regular file");
        return NULL;
    }
    if ((status.st_mode & KEY_FILE_MODE_FORBIDDEN) != 0) {
        set_key_error(error, path, 0, "the file must not be open to group or others");
        return NULL;
    }
    g_autofree char *text = g_malloc0(KEY_FILE_BYTES_MAX + 1);
    ssize_t length = read_key_file(file, text, KEY_FILE_BYTES_MAX);
    if (length < 0 || length == KEY_FILE_BYTES_MAX) {
        set_key_error(error, path, 0, length < 0 ? g_strerror(errno) : "the file is too large");
        return NULL;
    }
    struct token_keys *keys = token_keys_parse(text, path, error);
    sodium_memzero(text, (size_t)length);
    return keys;
}

struct token_keys *token_keys_load(const char *path, GError **error)
{
    int file = open(path, O_RDONLY | O_CLOEXEC | O_NONBLOCK);
    if (file < 0) {
        set_key_error(error, path, 0, g_strerror(errno));
        return NULL;
    }
    struct token_keys *keys = load_open_file(file, path, error);
    close(file);
    return keys;
}

void token_keys_free(struct token_keys *keys)
{
    if (keys == NULL) {
        return;
    }
    sodium_memzero(keys, sizeof(*keys));
    g_free(keys);
}

static void write_key_id(uint8_t *to, uint32_t id)
{
    uint32_t ordered = GUINT32_TO_BE(id);
    memcpy(to, &ordered, sizeof(ordered));
}

static uint32_t read_key_id(const uint8_t *from)
{
    uint32_t ordered = 0;
    memcpy(&ordered, from, sizeof(ordered));
    return GUINT32_FROM_BE(ordered);
}

static void compute_mac(const struct token_key *key, const uint8_t *data, size_t length,
                        uint8_t *mac)
{
    crypto_generichash(mac, TOKEN_MAC_BYTES, data, length, key->secret, sizeof(key->secret));
}

static GByteArray *encode_positions(const struct group_position *positions, size_t count)
{
    cbor_item_t *array = codec_build_array(count);
    for (size_t i = 0; i < count; i++) {
        codec_array_add(array, group_position_to_cbor(&positions[i]));
    }
    return codec_serialize(array);
}

char *token_encode(const struct token_keys *keys, const struct group_position *positions,
                   size_t count)
{
    g_assert(count <= TOKEN_GROUPS_MAX);
    const struct token_key *key = &keys->keys[0];
    uint8_t header[TOKEN_HEADER_BYTES] = {TOKEN_VERSION};
    write_key_id(header + 1, key->id);
    g_autoptr(GByteArray) token = g_byte_array_new();
    g_byte_array_append(token, header, sizeof(header));
    g_autoptr(GByteArray) body = encode_positions(positions, count);
    g_byte_array_append(token, body->data, body->len);
    uint8_t mac[TOKEN_MAC_BYTES];
    compute_mac(key, token->data, token->len, mac);
    g_byte_array_append(token, mac, sizeof(mac));
    size_t size = sodium_base64_encoded_len(token->len, TOKEN_BASE64);
    char *text = g_malloc(size);
    sodium_bin2base64(text, size, token->data, token->len, TOKEN_BASE64);
    return text;
}

static bool set_token_error(GError **error, const char *reason)
{
    g_set_error(error, SW_ERROR, ERROR_KIND_BAD_SESSION, "The session token %s.", reason);
    return false;
}

static bool positions_contain(const struct group_position *positions, size_t count, uint32_t group)
{
    for (size_t i = 0; i < count; i++) {
        if (positions[i].group == group) {
            return true;
        }
    }
    return false;
}

static bool read_positions(const cbor_item_t *array, struct group_position *positions, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (!group_position_from_cbor(codec_array_item(array, i), &positions[i], NULL) ||
            positions_contain(positions, i, positions[i].group)) {
            return false;
        }
    }
    return true;
}

static bool decode_positions(const uint8_t *data, size_t length, struct group_position **positions,
                             size_t *count)
{
    cbor_item_t *array = codec_load(data, length, NULL);
    if (array == NULL) {
        return false;
    }
    size_t found = 0;
    bool valid = codec_read_array(array, "session", TOKEN_GROUPS_MAX, &found, NULL);
    if (valid && found > 0) {
        g_autofree struct group_position *list = g_new0(struct group_position, found);
        valid = read_positions(array, list, found);
        if (valid) {
            *positions = g_steal_pointer(&list);
            *count = found;
        }
    }
    cbor_decref(&array);
    return valid;
}

/* Decodes base64url into `token`, which has TOKEN_TEXT_MAX bytes. The alphabet is checked
 * separately, because libsodium 1.0.18 accepts some bytes above 127 as characters of it. */
static bool decode_text(const char *text, size_t text_length, uint8_t *token, size_t *length)
{
    const char *end = NULL;
    return strspn(text, TOKEN_ALPHABET) == text_length &&
           sodium_base642bin(token, TOKEN_TEXT_MAX, text, text_length, NULL, length, &end,
                             TOKEN_BASE64) == 0 &&
           end == text + text_length;
}

bool token_decode(const struct token_keys *keys, const char *text,
                  struct group_position **positions, size_t *count, GError **error)
{
    *positions = NULL;
    *count = 0;
    size_t text_length = strnlen(text, TOKEN_TEXT_MAX + 1);
    if (text_length > TOKEN_TEXT_MAX) {
        return set_token_error(error, "is too long");
    }
    uint8_t token[TOKEN_TEXT_MAX];
    size_t length = 0;
    if (!decode_text(text, text_length, token, &length)) {
        return set_token_error(error, "is not base64url");
    }
    if (length < TOKEN_HEADER_BYTES + TOKEN_MAC_BYTES) {
        return set_token_error(error, "is too short");
    }
    if (token[0] != TOKEN_VERSION) {
        return set_token_error(error, "is of an unknown version");
    }
    const struct token_key *key = find_key(keys, read_key_id(token + 1));
    if (key == NULL) {
        return set_token_error(error, "is signed with an unknown key");
    }
    size_t signed_length = length - TOKEN_MAC_BYTES;
    uint8_t mac[TOKEN_MAC_BYTES];
    compute_mac(key, token, signed_length, mac);
    if (sodium_memcmp(mac, token + signed_length, TOKEN_MAC_BYTES) != 0) {
        return set_token_error(error, "is not signed by this deployment");
    }
    if (!decode_positions(token + TOKEN_HEADER_BYTES, signed_length - TOKEN_HEADER_BYTES, positions,
                          count)) {
        return set_token_error(error, "holds no valid positions");
    }
    return true;
}

bool session_merge(struct group_position **positions, size_t *count, uint32_t group,
                   struct log_position position)
{
    for (size_t i = 0; i < *count; i++) {
        struct group_position *seen = &(*positions)[i];
        if (seen->group != group) {
            continue;
        }
        struct log_position known = {.term = seen->term, .offset = seen->offset};
        if (log_position_compare(position, known) > 0) {
            seen->term = position.term;
            seen->offset = position.offset;
        }
        return true;
    }
    if (*count == TOKEN_GROUPS_MAX) {
        return false;
    }
    *positions = g_renew(struct group_position, *positions, *count + 1);
    (*positions)[*count] =
        (struct group_position){.group = group, .term = position.term, .offset = position.offset};
    (*count)++;
    return true;
}
