/* Encoding of configurations between daemons: differences, compression, replies. */
#include <glib.h>
#include <string.h>

#include "configuration/problem.h"
#include "daemon/configuration_content.h"
#include "daemon/configuration_difference.h"
#include "daemon/configuration_share.h"

#define DIFFERENCE_ROUNDS 2000

static GBytes *bytes_of(const char *text)
{
    return g_bytes_new(text, strlen(text));
}

/* Makes the difference of two texts, checks that it turns one into the other, and the lengths that
 * it keeps. */
static void check_difference(const char *before, const char *after, uint32_t keep_start,
                             uint32_t keep_end)
{
    g_autoptr(GBytes) left = bytes_of(before);
    g_autoptr(GBytes) right = bytes_of(after);
    struct configuration_difference difference;
    configuration_difference_make(left, right, &difference);
    g_autoptr(GBytes) applied = configuration_difference_apply(left, &difference);
    g_assert_true(g_bytes_equal(applied, right));
    g_assert_cmpuint(difference.keep_start, ==, keep_start);
    g_assert_cmpuint(difference.keep_end, ==, keep_end);
    configuration_difference_clear(&difference);
}

static void test_difference(void)
{
    check_difference("abc", "abc", 3, 0);
    check_difference("abc", "axc", 1, 1);
    check_difference("abc", "", 0, 0);
    check_difference("", "abc", 0, 0);
    check_difference("abc", "xyz", 0, 0);
    check_difference("abc", "abcd", 3, 0);
    check_difference("abc", "zabc", 0, 3);
    check_difference("aaa", "aaaaa", 3, 0);
    check_difference("aaaaa", "aaa", 3, 0);
    check_difference("{\"x\":1,\"y\":2}", "{\"x\":1,\"xx\":7,\"y\":2}", 8, 5);
}

/* A short text from a small alphabet, so that common prefixes and suffixes occur by chance. */
static char *random_text(GRand *random)
{
    gsize length = (gsize)g_rand_int_range(random, 0, 12);
    char *text = g_malloc0(length + 1);
    for (gsize i = 0; i < length; i++) {
        text[i] = (char)('a' + g_rand_int_range(random, 0, 2));
    }
    return text;
}

static void test_difference_random(void)
{
    g_autoptr(GRand) random = g_rand_new_with_seed(7);
    for (int i = 0; i < DIFFERENCE_ROUNDS; i++) {
        g_autofree char *before = random_text(random);
        g_autofree char *after = random_text(random);
        g_autoptr(GBytes) left = bytes_of(before);
        g_autoptr(GBytes) right = bytes_of(after);
        struct configuration_difference difference;
        configuration_difference_make(left, right, &difference);
        g_autoptr(GBytes) applied = configuration_difference_apply(left, &difference);
        g_assert_true(g_bytes_equal(applied, right));
        configuration_difference_clear(&difference);
    }
}

static void test_difference_nonsense(void)
{
    g_autoptr(GBytes) content = bytes_of("abc");
    g_autoptr(GBytes) packed = configuration_compress(content);
    const struct configuration_difference nonsense[] = {
        {.keep_start = 4, .between = packed},
        {.keep_end = 4, .between = packed},
        {.keep_start = 2, .keep_end = 2, .between = packed},
        {.keep_start = UINT32_MAX, .keep_end = UINT32_MAX, .between = packed},
        {.between = content},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(nonsense); i++) {
        g_assert_null(configuration_difference_apply(content, &nonsense[i]));
    }
}

static void test_compression(void)
{
    static const gsize lengths[] = {0, 1, 65535, 65536, 65537, 3 * 65536};
    for (size_t i = 0; i < G_N_ELEMENTS(lengths); i++) {
        g_autofree char *text = g_strnfill(lengths[i], 'a');
        g_autoptr(GBytes) content = g_bytes_new(text, lengths[i]);
        g_autoptr(GBytes) packed = configuration_compress(content);
        g_autoptr(GBytes) unpacked =
            configuration_decompress(g_bytes_get_data(packed, NULL), g_bytes_get_size(packed));
        g_assert_true(g_bytes_equal(content, unpacked));
        g_assert_null(
            configuration_decompress(g_bytes_get_data(packed, NULL), g_bytes_get_size(packed) - 1));
    }
    g_assert_null(configuration_decompress((const uint8_t *)"nonsense", 8));
    g_assert_null(configuration_decompress(NULL, 0));
}

/* A few bytes that decompress to more than the largest bundle. */
static void test_compression_bound(void)
{
    gsize length = CONFIGURATION_BYTES_MAX + 1;
    g_autoptr(GBytes) content = g_bytes_new_take(g_malloc0(length), length);
    g_autoptr(GBytes) packed = configuration_compress(content);
    g_assert_cmpuint(g_bytes_get_size(packed), <, 65536);
    g_assert_null(
        configuration_decompress(g_bytes_get_data(packed, NULL), g_bytes_get_size(packed)));
}

static struct configuration *parse(const char *description)
{
    g_autofree char *text =
        g_strdup_printf("{\"description\": \"%s\", \"zones\": {\"north\": {\"id\": 1}}, "
                        "\"groups\": {}, \"templates\": {}, \"tenants\": {}}",
                        description);
    struct configuration *configuration = NULL;
    g_autoptr(GPtrArray) problems = configuration_problems_new();
    bool good = configuration_parse(text, strlen(text), "test", &configuration, problems);
    g_assert_true(good);
    return configuration;
}

static void test_mark(void)
{
    struct configuration *configuration = parse("one");
    const char *hash = configuration_hash(configuration);
    struct configuration_mark mark = configuration_mark_of(5, hash);
    g_autofree char *digits = g_strdup_printf("%016" G_GINT64_MODIFIER "x", mark.hash);
    g_assert_cmpuint(mark.version, ==, 5);
    g_assert_true(g_str_has_prefix(hash, digits));
    g_assert_cmpuint(configuration_mark_of(5, "short").hash, ==, 0);
    configuration_unref(configuration);
}

/* Versions 1 and 2, put in force one after the other, with the difference between them. */
struct share_test {
    struct configuration_share *share;
    struct configuration *first;
    struct configuration *second;
    struct configuration_mark first_mark;
};

static void put_in_force(struct configuration_share *share, uint64_t version,
                         struct configuration *configuration, struct configuration_mark base,
                         struct configuration_difference *difference)
{
    struct published_configuration *published =
        published_configuration_new(version, configuration, base, difference);
    configuration_share_set(share, published);
    published_configuration_unref(published);
}

static void set_up(struct share_test *test, gconstpointer unused)
{
    test->share = configuration_share_new();
    test->first = parse("one");
    test->second = parse("two");
    test->first_mark = configuration_mark_of(1, configuration_hash(test->first));
}

static void tear_down(struct share_test *test, gconstpointer unused)
{
    configuration_share_free(test->share);
    configuration_unref(test->first);
    configuration_unref(test->second);
}

/* Checks the reply to a request: version 0 is no content, base version 0 the complete `content`,
 * any other base version a difference that leads from `before` to `content`. */
static void check_answer(struct share_test *test, struct configuration_request request,
                         uint64_t version, uint64_t base_version, GBytes *before, GBytes *content)
{
    struct configuration_reply reply;
    configuration_reply_init(&reply);
    configuration_share_answer(test->share, &request, &reply);
    g_assert_cmpuint(reply.version, ==, version);
    g_assert_cmpuint(reply.base_version, ==, base_version);
    g_autoptr(GBytes) packed = g_bytes_new_static(reply.content, reply.content_length);
    g_autoptr(GBytes) got = NULL;
    if (base_version != 0) {
        struct configuration_difference difference = {reply.keep_start, reply.keep_end, packed};
        got = configuration_difference_apply(before, &difference);
    } else if (version != 0) {
        got = configuration_decompress(reply.content, reply.content_length);
    }
    g_assert_true((got == NULL && content == NULL) || g_bytes_equal(got, content));
    configuration_reply_clear(&reply);
}

static void test_answers(struct share_test *test, gconstpointer unused)
{
    struct configuration_request any = {.version = 1};
    struct configuration_request later = {.version = 3};
    struct configuration_request has_first = {
        .version = 2, .have_version = 1, .have_hash = test->first_mark.hash};
    struct configuration_request has_other = {.version = 2, .have_version = 1, .have_hash = 17};
    GBytes *first = configuration_canonical(test->first);
    GBytes *second = configuration_canonical(test->second);
    struct configuration_difference difference;
    configuration_difference_make(first, second, &difference);

    check_answer(test, any, 0, 0, NULL, NULL);
    put_in_force(test->share, 1, test->first, (struct configuration_mark){0}, NULL);
    check_answer(test, any, 1, 0, NULL, first);
    check_answer(test, has_first, 0, 0, NULL, NULL);
    put_in_force(test->share, 2, test->second, test->first_mark, &difference);
    check_answer(test, any, 2, 0, NULL, second);
    check_answer(test, has_first, 2, 1, first, second);
    check_answer(test, has_other, 2, 0, NULL, second);
    check_answer(test, later, 0, 0, NULL, NULL);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/configuration-share/difference", test_difference);
    g_test_add_func("/configuration-share/difference-random", test_difference_random);
    g_test_add_func("/configuration-share/difference-nonsense", test_difference_nonsense);
    g_test_add_func("/configuration-share/compression", test_compression);
    g_test_add_func("/configuration-share/compression-bound", test_compression_bound);
    g_test_add_func("/configuration-share/mark", test_mark);
    g_test_add("/configuration-share/answers", struct share_test, NULL, set_up, test_answers,
               tear_down);
    return g_test_run();
}
