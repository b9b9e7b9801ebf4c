/**
 * @file
 * @brief Tests of the streaming JSON reader: the reported objects and their fields, and rejected
 * texts.
 */
#include "platform/flat_json.h"

#include <string.h>

/* Writes one line per reported object. */
static void
note(void *user, const char *section, const flat_object_t *object)
{
    static const char *const names[] = {"a", "b", "n"};
    GString *out = user;
    g_string_append_printf(out, "%s:", section);
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        const char *value = flat_text(object, names[i]);
        g_string_append_printf(out, " %s=%d/%s/%g", names[i], flat_kind(object, names[i]),
                               value == NULL ? "" : value, flat_number(object, names[i]));
    }
    g_string_append_c(out, '\n');
}

static bool
read_all(const char *text, GString *out)
{
    g_autoptr(GError) error = NULL;
    bool ok = flat_json_read(text, strlen(text), note, out, &error);
    g_assert_true(ok == (error == NULL));
    return ok;
}

static void
test_objects(void)
{
    g_autoptr(GString) out = g_string_new(NULL);
    g_assert_true(read_all("{\"a\":\"x\",\"list\":[{\"a\":1,\"deeper\":{\"b\":7,\"list\":[{}]}},"
                           "{\"b\":2.5}],\"one\":{\"n\":true,\"b\":[1]},\"b\":null}",
                           out));
    g_assert_cmpstr(out->str, ==,
                    "list: a=2//1 b=0//0 n=0//0\n"
                    "list: a=0//0 b=3//2.5 n=0//0\n"
                    "one: a=0//0 b=7//0 n=4//0\n"
                    ": a=1/x/0 b=6//0 n=0//0\n");
}

static void
test_last_of_a_name(void)
{
    g_autoptr(GString) out = g_string_new(NULL);
    g_assert_true(read_all("{\"a\":\"x\",\"a\":\"y\\u00e9\\n\"}", out));
    g_assert_nonnull(strstr(out->str, "a=1/y\303\251\n/0"));
}

static void
add_text(void *user, const char *text)
{
    g_string_append_printf(user, "%s,", text);
}

static void
write_keys(void *user, const char *section, const flat_object_t *object)
{
    flat_each_text(object, "keys", add_text, user);
    g_string_append_printf(user, "%s;", section);
}

static void
test_lists_of_texts(void)
{
    static const char text[] =
        "{\"t\":[{\"keys\":[\"k1\",\"k2\",3]},{\"keys\":[]},{\"keys\":\"k\"}]}";
    g_autoptr(GString) out = g_string_new(NULL);
    g_assert_true(flat_json_read(text, strlen(text), write_keys, out, NULL));
    g_assert_cmpstr(out->str, ==, "k1,k2,t;t;t;;");
}

static void
test_rejected(void)
{
    static const char *const texts[] = {"",
                                        "[]",
                                        "1",
                                        "\"a\"",
                                        "{",
                                        "{\"a\":}",
                                        "{} {}",
                                        "{\"a\":1}x",
                                        "null",
                                        "{\"a\"}",
                                        "{'a':1}",
                                        "{\"\\u0000\":1}",
                                        "{\"a\":\"\\u0000\"}",
                                        "{\"a\":\"\xff\"}",
                                        "{\"a\":99999999999999999999}"};
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        g_autoptr(GString) out = g_string_new(NULL);
        g_assert_false(read_all(texts[i], out));
    }
    g_autoptr(GString) deep = g_string_new("{\"a\":");
    for (int i = 0; i < 100; i++) {
        g_string_append_c(deep, '[');
    }
    g_autoptr(GString) out = g_string_new(NULL);
    g_assert_false(read_all(deep->str, out));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pooler/flat_json/objects", test_objects);
    g_test_add_func("/pooler/flat_json/last-of-a-name", test_last_of_a_name);
    g_test_add_func("/pooler/flat_json/lists-of-texts", test_lists_of_texts);
    g_test_add_func("/pooler/flat_json/rejected", test_rejected);
    return g_test_run();
}
