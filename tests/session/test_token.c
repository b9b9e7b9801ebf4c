/* Session tokens: reference encoding, key rotation, tampering, limits, key files and merging. */
#include "core/error.h"
#include "generated/errors.h"
#include "session/token.h"
#include "wire/codec.h"

#include <glib/gstdio.h>
#include <sodium.h>
#include <string.h>
#include <sys/stat.h>

#define KEY_1 "1 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n"
#define KEY_2 "70000 ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff\n"

/* Token of the positions (0, 3, 7) and (44, 2, 65536) under KEY_1, computed by an independent
 * implementation. */
static const char golden[] = "AQAAAAGCogIDAwejARgsAgIDGgABAADAmor9cfASQr_mB2vn6iMUk_Z2oZQJ"
                             "2vZ0bbZOxyBMYg";

static struct token_keys *parse_keys(const char *text)
{
    GError *error = NULL;
    struct token_keys *keys = token_keys_parse(text, "keys", &error);
    g_assert_no_error(error);
    return keys;
}

static void assert_refused(const struct token_keys *keys, const char *text, const char *reason)
{
    struct group_position *positions = NULL;
    size_t count = 1;
    GError *error = NULL;
    g_assert_false(token_decode(keys, text, &positions, &count, &error));
    g_assert_error(error, SW_ERROR, ERROR_KIND_BAD_SESSION);
    if (reason != NULL) {
        g_assert_cmpstr(error->message, ==, reason);
    }
    g_assert_null(positions);
    g_assert_cmpuint(count, ==, 0);
    g_clear_error(&error);
}

static void assert_decodes(const struct token_keys *keys, const char *text,
                           const struct group_position *expected, size_t expected_count)
{
    struct group_position *positions = NULL;
    size_t count = 0;
    GError *error = NULL;
    g_assert_true(token_decode(keys, text, &positions, &count, &error));
    g_assert_no_error(error);
    g_assert_cmpuint(count, ==, expected_count);
    for (size_t i = 0; i < count; i++) {
        g_assert_cmpuint(positions[i].group, ==, expected[i].group);
        g_assert_cmpuint(positions[i].term, ==, expected[i].term);
        g_assert_cmpuint(positions[i].offset, ==, expected[i].offset);
    }
    g_free(positions);
}

static void test_golden(void)
{
    struct token_keys *keys = parse_keys(KEY_1);
    const struct group_position positions[] = {{0, 3, 7}, {44, 2, 65536}};
    g_autofree char *text = token_encode(keys, positions, 2);
    g_assert_cmpstr(text, ==, golden);
    assert_decodes(keys, golden, positions, 2);
    token_keys_free(keys);
}

static void test_round_trip(void)
{
    struct token_keys *keys = parse_keys(KEY_2);
    struct group_position positions[TOKEN_GROUPS_MAX];
    for (size_t count = 0; count <= TOKEN_GROUPS_MAX; count++) {
        for (size_t i = 0; i < count; i++) {
            positions[i] =
                (struct group_position){UINT32_MAX - (uint32_t)i, UINT64_MAX, UINT64_MAX - i};
        }
        g_autofree char *text = token_encode(keys, positions, count);
        g_assert_cmpuint(strlen(text), <=, TOKEN_TEXT_MAX);
        assert_decodes(keys, text, positions, count);
    }
    token_keys_free(keys);
}

static void test_rotation(void)
{
    struct token_keys *before = parse_keys(KEY_1);
    struct token_keys *during = parse_keys("# new key first\n" KEY_2 "\n" KEY_1);
    struct token_keys *after = parse_keys(KEY_2);
    const struct group_position positions[] = {{5, 6, 7}};
    g_autofree char *old_text = token_encode(before, positions, 1);
    g_autofree char *new_text = token_encode(during, positions, 1);
    assert_decodes(during, old_text, positions, 1);
    assert_decodes(during, new_text, positions, 1);
    assert_decodes(after, new_text, positions, 1);
    assert_refused(after, old_text, "The session token is signed with an unknown key.");
    assert_refused(before, new_text, "The session token is signed with an unknown key.");
    struct token_keys *other = parse_keys("1 " /* the id of KEY_1 with another secret */
                                          "aa0102030405060708090a0b0c0d0e0f"
                                          "101112131415161718191a1b1c1d1e1f\n");
    assert_refused(other, old_text, "The session token is not signed by this deployment.");
    token_keys_free(before);
    token_keys_free(during);
    token_keys_free(after);
    token_keys_free(other);
}

/* A token with any byte replaced by any other, any prefix of a token, and a token with any byte
 * appended must be rejected. libsodium 1.0.18 accepts some bytes above 127 as characters of the
 * alphabet. */
static void test_tampering(void)
{
    struct token_keys *keys = parse_keys(KEY_1 KEY_2);
    g_autofree char *text = g_strdup(golden);
    for (size_t i = 0; text[i] != '\0'; i++) {
        for (unsigned byte = 1; byte <= UINT8_MAX; byte++) {
            if ((char)byte == golden[i]) {
                continue;
            }
            text[i] = (char)byte;
            assert_refused(keys, text, NULL);
        }
        text[i] = golden[i];
    }
    for (size_t length = 0; length < strlen(golden); length++) {
        g_autofree char *shorter = g_strndup(golden, length);
        assert_refused(keys, shorter, NULL);
    }
    for (unsigned byte = 1; byte <= UINT8_MAX; byte++) {
        g_autofree char *longer = g_strdup_printf("%s%c", golden, (char)byte);
        assert_refused(keys, longer, NULL);
    }
    token_keys_free(keys);
}

static void test_size(void)
{
    struct token_keys *keys = parse_keys(KEY_1);
    g_autofree char *longest = g_strnfill(TOKEN_TEXT_MAX, 'A');
    assert_refused(keys, longest, "The session token is of an unknown version.");
    g_autofree char *too_long = g_strnfill(TOKEN_TEXT_MAX + 1, 'A');
    assert_refused(keys, too_long, "The session token is too long.");
    assert_refused(keys, "", "The session token is too short.");
    assert_refused(keys, "AQ==", "The session token is not base64url.");
    token_keys_free(keys);
}

/* A token with arbitrary version and body and a valid MAC under KEY_1. */
static char *sign(uint8_t version, const uint8_t *body, size_t length)
{
    uint8_t secret[crypto_generichash_KEYBYTES];
    for (size_t i = 0; i < sizeof(secret); i++) {
        secret[i] = (uint8_t)i;
    }
    g_autoptr(GByteArray) token = g_byte_array_new();
    const uint8_t header[] = {version, 0, 0, 0, 1};
    g_byte_array_append(token, header, sizeof(header));
    g_byte_array_append(token, body, (guint)length);
    uint8_t mac[crypto_generichash_BYTES];
    crypto_generichash(mac, sizeof(mac), token->data, token->len, secret, sizeof(secret));
    g_byte_array_append(token, mac, sizeof(mac));
    size_t size = sodium_base64_encoded_len(token->len, sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    char *text = g_malloc(size);
    return sodium_bin2base64(text, size, token->data, token->len,
                             sodium_base64_VARIANT_URLSAFE_NO_PADDING);
}

static void assert_signed_refused(uint8_t version, const uint8_t *body, size_t length,
                                  const char *reason)
{
    struct token_keys *keys = parse_keys(KEY_1);
    g_autofree char *text = sign(version, body, length);
    assert_refused(keys, text, reason);
    token_keys_free(keys);
}

/* Invalid bodies with a valid MAC, as a daemon of another release with the same key might sign,
 * must be rejected without a crash. */
static void test_signed_content(void)
{
    const char *invalid = "The session token holds no valid positions.";
    const uint8_t empty[] = {0x80};
    struct token_keys *keys = parse_keys(KEY_1);
    g_autofree char *valid = sign(1, empty, sizeof(empty));
    assert_decodes(keys, valid, NULL, 0);
    token_keys_free(keys);
    assert_signed_refused(0, empty, sizeof(empty), "The session token is of an unknown version.");
    assert_signed_refused(2, empty, sizeof(empty), "The session token is of an unknown version.");
    assert_signed_refused(1, empty, 0, invalid);
    const uint8_t trailing[] = {0x80, 0x80};
    assert_signed_refused(1, trailing, sizeof(trailing), invalid);
    const uint8_t number[] = {0x05};
    assert_signed_refused(1, number, sizeof(number), invalid);
    const uint8_t no_map[] = {0x81, 0x05};
    assert_signed_refused(1, no_map, sizeof(no_map), invalid);
    const uint8_t text_term[] = {0x81, 0xa1, 0x02, 0x61, 'x'};
    assert_signed_refused(1, text_term, sizeof(text_term), invalid);
    const uint8_t huge_count[] = {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff};
    assert_signed_refused(1, huge_count, sizeof(huge_count), invalid);
    const uint8_t same_group[] = {0x82, 0xa1, 0x01, 0x05, 0xa1, 0x01, 0x05};
    assert_signed_refused(1, same_group, sizeof(same_group), invalid);
    uint8_t too_many[2 + TOKEN_GROUPS_MAX + 1];
    memset(too_many, 0xa0, sizeof(too_many));
    too_many[0] = 0x98;
    too_many[1] = TOKEN_GROUPS_MAX + 1;
    assert_signed_refused(1, too_many, sizeof(too_many), invalid);
}

static void test_key_text(void)
{
    static const struct {
        const char *text;
        const char *reason;
    } table[] = {
        {"", "keys:0: no key is given"},
        {"# nothing\n\n", "keys:0: no key is given"},
        {"1\n", "keys:1: expected a key id, one space and the key in hexadecimal"},
        {"\n1  00\n", "keys:2: expected a key id, one space and the key in hexadecimal"},
        {"0 00\n", "keys:1: the key id is not a number from 1 to 4294967295"},
        {"4294967296 00\n", "keys:1: the key id is not a number from 1 to 4294967295"},
        {"x 00\n", "keys:1: the key id is not a number from 1 to 4294967295"},
        {"1 00\n", "keys:1: the key is not 64 hexadecimal digits"},
        {"1 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1eZZ\n",
         "keys:1: the key is not 64 hexadecimal digits"},
        {"1 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f00\n",
         "keys:1: the key is not 64 hexadecimal digits"},
        {KEY_1 KEY_2 KEY_1, "keys:3: duplicate key id"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
        GError *error = NULL;
        g_assert_null(token_keys_parse(table[i].text, "keys", &error));
        g_assert_error(error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION);
        g_assert_cmpstr(error->message, ==, table[i].reason);
        g_clear_error(&error);
    }
}

static void test_too_many_keys(void)
{
    g_autoptr(GString) text = g_string_new(NULL);
    for (unsigned i = 1; i <= TOKEN_KEYS_MAX + 1; i++) {
        g_string_append_printf(text, "%u %s", i, KEY_1 + strlen("1 "));
    }
    GError *error = NULL;
    g_assert_null(token_keys_parse(text->str, "keys", &error));
    g_assert_cmpstr(error->message, ==, "keys:17: too many keys");
    g_clear_error(&error);
}

static void assert_not_loaded(const char *path, const char *reason)
{
    GError *error = NULL;
    g_assert_null(token_keys_load(path, &error));
    g_assert_error(error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION);
    g_autofree char *expected = g_strdup_printf("%s:0: %s", path, reason);
    g_assert_cmpstr(error->message, ==, expected);
    g_clear_error(&error);
}

static void test_key_file(void)
{
    g_autofree char *directory = g_dir_make_tmp("token-XXXXXX", NULL);
    g_autofree char *path = g_build_filename(directory, "keys", NULL);
    assert_not_loaded(path, "No such file or directory");
    assert_not_loaded(directory, "not a regular file");
    g_assert_true(g_file_set_contents(path, KEY_1, -1, NULL));
    const mode_t open_modes[] = {0640, 0604, 0620, 0602, 0610, 0601};
    for (size_t i = 0; i < G_N_ELEMENTS(open_modes); i++) {
        g_assert_cmpint(g_chmod(path, (int)open_modes[i]), ==, 0);
        assert_not_loaded(path, "the file must not be open to group or others");
    }
    g_assert_cmpint(g_chmod(path, 0400), ==, 0);
    GError *error = NULL;
    struct token_keys *keys = token_keys_load(path, &error);
    g_assert_no_error(error);
    const struct group_position positions[] = {{0, 3, 7}, {44, 2, 65536}};
    assert_decodes(keys, golden, positions, 2);
    token_keys_free(keys);
    g_unlink(path);
    g_autofree char *large = g_strnfill(70000, '#');
    g_assert_true(g_file_set_contents(path, large, -1, NULL));
    g_assert_cmpint(g_chmod(path, 0600), ==, 0);
    assert_not_loaded(path, "the file is too large");
    g_unlink(path);
    g_rmdir(directory);
}

static void test_merge(void)
{
    struct group_position *positions = NULL;
    size_t count = 0;
    g_assert_true(session_merge(&positions, &count, 4, (struct log_position){2, 10}));
    g_assert_true(session_merge(&positions, &count, 4, (struct log_position){2, 9}));
    g_assert_cmpuint(positions[0].offset, ==, 10);
    g_assert_true(session_merge(&positions, &count, 4, (struct log_position){2, 11}));
    g_assert_cmpuint(positions[0].offset, ==, 11);
    g_assert_true(session_merge(&positions, &count, 4, (struct log_position){3, 1}));
    g_assert_cmpuint(positions[0].term, ==, 3);
    g_assert_cmpuint(positions[0].offset, ==, 1);
    g_assert_true(session_merge(&positions, &count, 4, (struct log_position){2, 900}));
    g_assert_cmpuint(positions[0].term, ==, 3);
    g_assert_cmpuint(count, ==, 1);
    for (uint32_t group = 100; count < TOKEN_GROUPS_MAX; group++) {
        g_assert_true(session_merge(&positions, &count, group, (struct log_position){1, group}));
    }
    g_assert_false(session_merge(&positions, &count, 5, (struct log_position){1, 1}));
    g_assert_cmpuint(count, ==, TOKEN_GROUPS_MAX);
    g_assert_true(session_merge(&positions, &count, 4, (struct log_position){3, 2}));
    g_assert_cmpuint(positions[0].offset, ==, 2);
    g_free(positions);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/token/golden", test_golden);
    g_test_add_func("/token/round-trip", test_round_trip);
    g_test_add_func("/token/rotation", test_rotation);
    g_test_add_func("/token/tampering", test_tampering);
    g_test_add_func("/token/size", test_size);
    g_test_add_func("/token/signed-content", test_signed_content);
    g_test_add_func("/token/key-text", test_key_text);
    g_test_add_func("/token/too-many-keys", test_too_many_keys);
    g_test_add_func("/token/key-file", test_key_file);
    g_test_add_func("/token/merge", test_merge);
    return g_test_run();
}
