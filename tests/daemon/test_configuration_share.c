/* What travels between daemons of a configuration: differences, compression, answers. */
#include <glib.h>
#include <json-glib/json-glib.h>
#include <string.h>

#include "configuration/canonical.h"
#include "configuration/problem.h"
#include "daemon/configuration_content.h"
#include "daemon/configuration_patch.h"
#include "daemon/configuration_share.h"

#define PATCH_ROUNDS 500

static GBytes *bytes_of(const char *json)
{
    return g_bytes_new(json, strlen(json));
}

static void check_patch(const char *before, const char *after, const char *patch)
{
    g_autoptr(GBytes) left = bytes_of(before);
    g_autoptr(GBytes) right = bytes_of(after);
    g_autoptr(GBytes) made = configuration_patch_make(left, right);
    g_autoptr(GBytes) expected = bytes_of(patch);
    g_assert_cmpmem(g_bytes_get_data(made, NULL), g_bytes_get_size(made),
                    g_bytes_get_data(expected, NULL), g_bytes_get_size(expected));
    g_autoptr(GBytes) applied = configuration_patch_apply(left, made);
    g_assert_true(g_bytes_equal(applied, right));
}

static void test_patch(void)
{
    check_patch("{\"a\":1}", "{\"a\":1}", "{}");
    check_patch("{\"a\":1}", "{\"a\":2}", "{\"a\":2}");
    check_patch("{\"a\":1,\"b\":2}", "{\"b\":2}", "{\"a\":null}");
    check_patch("{}", "{\"a\":{\"b\":1}}", "{\"a\":{\"b\":1}}");
    check_patch("{\"a\":{\"b\":1,\"c\":2}}", "{\"a\":{\"b\":1,\"c\":3}}", "{\"a\":{\"c\":3}}");
    check_patch("{\"a\":[1,2]}", "{\"a\":[1]}", "{\"a\":[1]}");
    check_patch("{\"a\":{\"b\":1}}", "{\"a\":7}", "{\"a\":7}");
    check_patch("{\"a\":7}", "{\"a\":{\"b\":1}}", "{\"a\":{\"b\":1}}");
}

/* A small object whose members, nested up to `depth`, are drawn from few names and values. */
static JsonObject *random_object(GRand *random, int depth)
{
    static const char *const names[] = {"groups", "tenants", "x", "y"};
    JsonObject *object = json_object_new();
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        switch (g_rand_int_range(random, 0, 4)) {
        case 0:
            json_object_set_int_member(object, names[i], g_rand_int_range(random, 0, 3));
            break;
        case 1:
            json_object_set_string_member(object, names[i], "value");
            break;
        case 2:
            if (depth > 0) {
                json_object_set_object_member(object, names[i], random_object(random, depth - 1));
            }
            break;
        default:
            break;
        }
    }
    return object;
}

static GBytes *random_json(GRand *random)
{
    g_autoptr(JsonNode) root = json_node_new(JSON_NODE_OBJECT);
    json_node_take_object(root, random_object(random, 3));
    return canonical_json(root);
}

static void test_patch_random(void)
{
    g_autoptr(GRand) random = g_rand_new_with_seed(7);
    for (int i = 0; i < PATCH_ROUNDS; i++) {
        g_autoptr(GBytes) before = random_json(random);
        g_autoptr(GBytes) after = random_json(random);
        g_autoptr(GBytes) patch = configuration_patch_make(before, after);
        g_autoptr(GBytes) applied = configuration_patch_apply(before, patch);
        g_assert_true(g_bytes_equal(applied, after));
    }
}

static void test_patch_nonsense(void)
{
    g_autoptr(GBytes) object = bytes_of("{\"a\":1}");
    static const char *const nonsense[] = {"", "{", "[]", "7", "{\"a\":1,\"a\":2}"};
    for (size_t i = 0; i < G_N_ELEMENTS(nonsense); i++) {
        g_autoptr(GBytes) bad = bytes_of(nonsense[i]);
        g_assert_null(configuration_patch_apply(object, bad));
        g_assert_null(configuration_patch_make(bad, object));
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

/* Few octets that stand for more than the largest bundle. */
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

/* Versions 1 and 2 in force one after the other, with the difference between them. */
struct share_test {
    struct configuration_share *share;
    struct configuration *first;
    struct configuration *second;
    struct configuration_mark first_mark;
    GBytes *difference;
};

static void put_in_force(struct configuration_share *share, uint64_t version,
                         struct configuration *configuration, struct configuration_mark base,
                         GBytes *difference)
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
    g_autoptr(GBytes) patch = configuration_patch_make(configuration_canonical(test->first),
                                                       configuration_canonical(test->second));
    test->difference = configuration_compress(patch);
}

static void tear_down(struct share_test *test, gconstpointer unused)
{
    configuration_share_free(test->share);
    configuration_unref(test->first);
    configuration_unref(test->second);
    g_bytes_unref(test->difference);
}

static void check_answer(struct share_test *test, struct configuration_request request,
                         uint64_t version, uint64_t base_version, GBytes *content)
{
    struct configuration_reply reply;
    configuration_reply_init(&reply);
    configuration_share_answer(test->share, &request, &reply);
    g_assert_cmpuint(reply.version, ==, version);
    g_assert_cmpuint(reply.base_version, ==, base_version);
    if (content != NULL) {
        g_autoptr(GBytes) unpacked = configuration_decompress(reply.content, reply.content_length);
        g_assert_true(g_bytes_equal(unpacked, content));
    }
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
    g_autoptr(GBytes) patch = configuration_patch_make(first, second);

    check_answer(test, any, 0, 0, NULL);
    put_in_force(test->share, 1, test->first, (struct configuration_mark){0}, NULL);
    check_answer(test, any, 1, 0, first);
    check_answer(test, has_first, 0, 0, NULL);
    put_in_force(test->share, 2, test->second, test->first_mark, test->difference);
    check_answer(test, any, 2, 0, second);
    check_answer(test, has_first, 2, 1, patch);
    check_answer(test, has_other, 2, 0, second);
    check_answer(test, later, 0, 0, NULL);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/configuration-share/patch", test_patch);
    g_test_add_func("/configuration-share/patch-random", test_patch_random);
    g_test_add_func("/configuration-share/patch-nonsense", test_patch_nonsense);
    g_test_add_func("/configuration-share/compression", test_compression);
    g_test_add_func("/configuration-share/compression-bound", test_compression_bound);
    g_test_add_func("/configuration-share/mark", test_mark);
    g_test_add("/configuration-share/answers", struct share_test, NULL, set_up, test_answers,
               tear_down);
    return g_test_run();
}
