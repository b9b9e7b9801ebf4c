/* Mutated bodies, tokens and statements: for any input the parsers return a value within their
 * limits or an error of an expected kind. */
#include "core/error.h"
#include "frontend/request_body.h"
#include "generated/errors.h"
#include "mutator.h"
#include "session/token.h"
#include "sql/classify.h"

#include <pg_query.h>
#include <sodium.h>
#include <string.h>

#define SEED             20260214
#define BODY_ROUNDS      60000
#define TOKEN_ROUNDS     30000
#define STATEMENT_ROUNDS 30000

#define KEY "1 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n"

static const struct request_body_limits limits = {.statements_max = 5, .parameters_max = 6};

static void check_statement(const struct sql_statement *statement)
{
    g_assert_nonnull(statement->sql);
    g_assert_true(g_utf8_validate(statement->sql, -1, NULL));
    g_assert_cmpuint(statement->parameters_count, <=, limits.parameters_max);
    for (size_t i = 0; i < statement->parameters_count; i++) {
        const struct sql_value *value = &statement->parameters[i];
        g_assert_cmpint(value->is_null, ==, value->text == NULL);
        g_assert_true(value->is_null || g_utf8_validate(value->text, -1, NULL));
    }
}

static bool check_body(const GByteArray *text, enum endpoint endpoint)
{
    struct request request;
    request_init(&request);
    uint32_t position = 0;
    GError *error = NULL;
    bool valid = request_body_parse((const char *)text->data, text->len, endpoint, &limits,
                                    &request, &position, &error);
    if (valid) {
        g_assert_no_error(error);
        g_assert_cmpuint(request.statements_count, <=, limits.statements_max);
        for (size_t i = 0; i < request.statements_count; i++) {
            check_statement(&request.statements[i]);
        }
    } else {
        g_assert_true(g_error_matches(error, SW_ERROR, ERROR_KIND_BAD_REQUEST) ||
                      g_error_matches(error, SW_ERROR, ERROR_KIND_TOO_LARGE));
        g_assert_true(g_utf8_validate(error->message, -1, NULL));
        g_assert_cmpuint(position, <=, text->len + 1);
    }
    g_clear_error(&error);
    request_clear(&request);
    return valid;
}

static void test_bodies(void)
{
    struct mutator mutator;
    mutator_open(&mutator, "frontend/corpus/body", SEED);
    unsigned valid = 0;
    for (unsigned round = 0; round < BODY_ROUNDS; round++) {
        g_autoptr(GByteArray) text = mutator_next(&mutator);
        enum endpoint endpoint = (enum endpoint)(round % (ENDPOINT_TRANSACTION_ROLLBACK + 1));
        valid += check_body(text, endpoint) ? 1 : 0;
    }
    g_test_message("%u of %d bodies valid", valid, BODY_ROUNDS);
    g_assert_cmpuint(valid, >, 0);
    mutator_close(&mutator);
}

static void check_positions(const struct token_keys *keys, struct group_position *positions,
                            size_t count)
{
    g_assert_cmpuint(count, <=, TOKEN_GROUPS_MAX);
    g_autofree char *again = token_encode(keys, positions, count);
    struct group_position *same = NULL;
    size_t same_count = 0;
    g_assert_true(token_decode(keys, again, &same, &same_count, NULL));
    g_assert_cmpuint(same_count, ==, count);
    for (size_t i = 0; i < count; i++) {
        g_assert_cmpuint(positions[i].group, ==, same[i].group);
        g_assert_cmpuint(positions[i].term, ==, same[i].term);
        g_assert_cmpuint(positions[i].offset, ==, same[i].offset);
    }
    g_free(same);
}

static bool check_token(const struct token_keys *keys, const char *text)
{
    struct group_position *positions = NULL;
    size_t count = 0;
    GError *error = NULL;
    bool valid = token_decode(keys, text, &positions, &count, &error);
    if (valid) {
        check_positions(keys, positions, count);
        g_free(positions);
    } else {
        g_assert_error(error, SW_ERROR, ERROR_KIND_BAD_SESSION);
        g_clear_error(&error);
    }
    return valid;
}

/* No mutation of a token's text is accepted. */
static void test_tokens(void)
{
    struct token_keys *keys = token_keys_parse(KEY, "keys", NULL);
    struct mutator mutator;
    mutator_open(&mutator, "frontend/corpus/token", SEED);
    gsize length = 0;
    const char *origin = g_bytes_get_data(g_ptr_array_index(mutator.corpus, 0), &length);
    for (unsigned round = 0; round < TOKEN_ROUNDS; round++) {
        g_autoptr(GByteArray) changed = mutator_next(&mutator);
        g_autofree char *text = g_strndup((const char *)changed->data, changed->len);
        bool same = strlen(text) == length && memcmp(text, origin, length) == 0;
        g_assert_cmpint(check_token(keys, text), ==, same);
    }
    mutator_close(&mutator);
    token_keys_free(keys);
}

/* Signs any content, as a faulty daemon with the same key might do. */
static char *sign(const GByteArray *content)
{
    uint8_t secret[crypto_generichash_KEYBYTES];
    for (size_t i = 0; i < sizeof(secret); i++) {
        secret[i] = (uint8_t)i;
    }
    uint8_t mac[crypto_generichash_BYTES];
    crypto_generichash(mac, sizeof(mac), content->data, content->len, secret, sizeof(secret));
    g_autoptr(GByteArray) token = g_byte_array_new();
    g_byte_array_append(token, content->data, content->len);
    g_byte_array_append(token, mac, sizeof(mac));
    size_t size = sodium_base64_encoded_len(token->len, sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    char *text = g_malloc(size);
    return sodium_bin2base64(text, size, token->data, token->len,
                             sodium_base64_VARIANT_URLSAFE_NO_PADDING);
}

static void test_signed_tokens(void)
{
    struct token_keys *keys = token_keys_parse(KEY, "keys", NULL);
    struct mutator mutator;
    mutator_open(&mutator, "frontend/corpus/token", SEED);
    gsize length = 0;
    const char *origin = g_bytes_get_data(g_ptr_array_index(mutator.corpus, 0), &length);
    uint8_t content[256];
    size_t content_length = 0;
    g_assert_cmpint(sodium_base642bin(content, sizeof(content), origin, length, NULL,
                                      &content_length, NULL,
                                      sodium_base64_VARIANT_URLSAFE_NO_PADDING),
                    ==, 0);
    content_length -= crypto_generichash_BYTES;
    unsigned valid = 0;
    for (unsigned round = 0; round < TOKEN_ROUNDS; round++) {
        g_autoptr(GByteArray) changed = g_byte_array_new();
        g_byte_array_append(changed, content, (guint)content_length);
        guint changes = 1 + round % 3;
        for (guint i = 0; i < changes; i++) {
            mutator_change(&mutator, changed);
        }
        g_autofree char *text = sign(changed);
        valid += check_token(keys, text) ? 1 : 0;
    }
    g_test_message("%u of %d signed tokens valid", valid, TOKEN_ROUNDS);
    g_assert_cmpuint(valid, >, 0);
    mutator_close(&mutator);
    token_keys_free(keys);
}

static bool check_sql(const char *sql)
{
    struct sql_class found;
    GError *error = NULL;
    bool served = sql_classify(sql, &found, &error);
    if (served) {
        g_assert_no_error(error);
        g_assert_true(found.access == ACCESS_MODE_READ || found.access == ACCESS_MODE_WRITE);
    } else {
        g_assert_true(g_error_matches(error, SW_ERROR, ERROR_KIND_BAD_REQUEST) ||
                      g_error_matches(error, SW_ERROR, ERROR_KIND_STATEMENT_REFUSED) ||
                      g_error_matches(error, SW_ERROR, ERROR_KIND_TOO_LARGE));
        g_assert_cmpuint(found.error_position, <=, g_utf8_strlen(sql, -1) + 1);
    }
    g_clear_error(&error);
    return served;
}

/* The body parser ensures that statements are UTF-8 without NUL, so the mutations keep to that. */
static void test_statements(void)
{
    struct mutator mutator;
    mutator_open_lines(&mutator, "frontend/corpus/sql", SEED);
    unsigned served = 0;
    for (unsigned round = 0; round < STATEMENT_ROUNDS; round++) {
        g_autoptr(GByteArray) changed = mutator_next(&mutator);
        g_autofree char *text = g_strndup((const char *)changed->data, changed->len);
        g_autofree char *sql = g_utf8_make_valid(text, -1);
        served += check_sql(sql) ? 1 : 0;
    }
    g_test_message("%u of %d statements served", served, STATEMENT_ROUNDS);
    g_assert_cmpuint(served, >, 0);
    mutator_close(&mutator);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/mutations/bodies", test_bodies);
    g_test_add_func("/mutations/tokens", test_tokens);
    g_test_add_func("/mutations/signed-tokens", test_signed_tokens);
    g_test_add_func("/mutations/statements", test_statements);
    int result = g_test_run();
    pg_query_exit();
    return result;
}
