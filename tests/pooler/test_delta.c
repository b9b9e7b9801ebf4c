/**
 * @file
 * @brief Deltas of texts: applying a delta gives the second text, a small change gives a small
 * delta, and a corrupt delta is rejected.
 */
#include "pooler/control/delta.h"

#include <string.h>

#define ROUNDS 300

static GBytes *
bytes_of(const char *text)
{
    return g_bytes_new(text, strlen(text));
}

/* A configuration with this many routes. The route at `changed` has another service. */
static GBytes *
configuration(unsigned version, unsigned routes, unsigned changed)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(text, "{\"version\":%u,\"routes\":[", version);
    for (unsigned i = 0; i < routes; i++) {
        g_string_append_printf(text,
                               "{\"name\":\"route-%u\",\"service\":\"%s\",\"timeoutMs\":1000},", i,
                               i == changed ? "other" : "ledger");
    }
    g_string_append(text, "{}]}");
    return g_string_free_to_bytes(text);
}

static gsize
apply_delta_of(GBytes *from, GBytes *to)
{
    g_autoptr(GError) error = NULL;
    g_autoptr(GBytes) delta = delta_make(from, to);
    g_autoptr(GBytes) made = delta_apply(from, delta, delta_hash(to), &error);
    g_assert_no_error(error);
    g_assert_true(g_bytes_equal(made, to));
    return g_bytes_get_size(delta);
}

static void
test_one_change(void)
{
    g_autoptr(GBytes) from = configuration(1, 5000, 5000);
    g_autoptr(GBytes) to = configuration(2, 5000, 3210);
    g_assert_cmpuint(g_bytes_get_size(from), >, 250000);
    g_assert_cmpuint(apply_delta_of(from, to), <, 300);
}

static void
test_routes_come_and_go(void)
{
    g_autoptr(GBytes) few = configuration(1, 100, 7);
    g_autoptr(GBytes) many = configuration(2, 140, 7);
    g_assert_cmpuint(apply_delta_of(few, many), <, 4000);
    g_assert_cmpuint(apply_delta_of(many, few), <, 300);
}

static void
test_edges(void)
{
    static const char *const texts[] = {
        "",
        "}",
        "}}}}",
        "no piece at all",
        "{}",
        "{\"a\":1}",
        "a text of more than one piece}, and its end, which is long"};
    for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
        for (gsize j = 0; j < G_N_ELEMENTS(texts); j++) {
            g_autoptr(GBytes) from = bytes_of(texts[i]);
            g_autoptr(GBytes) to = bytes_of(texts[j]);
            apply_delta_of(from, to);
        }
    }
}

/* Texts with few different letters and many repetitions. */
static GBytes *
random_text(GRand *random)
{
    gint32 length = g_rand_int_range(random, 0, 600);
    char *text = g_malloc((gsize)length + 1);
    for (gint32 i = 0; i < length; i++) {
        text[i] = "a}{"[g_rand_int_range(random, 0, 3)];
    }
    return g_bytes_new_take(text, (gsize)length);
}

static void
test_random_texts(void)
{
    GRand *random = g_rand_new_with_seed(7);
    for (unsigned i = 0; i < ROUNDS; i++) {
        g_autoptr(GBytes) from = random_text(random);
        g_autoptr(GBytes) to = random_text(random);
        apply_delta_of(from, to);
    }
    g_rand_free(random);
}

/* Received bytes may be corrupt: whatever they are, the result is the right text or an error. */
static void
test_corrupt(void)
{
    GRand *random = g_rand_new_with_seed(8);
    g_autoptr(GBytes) from = configuration(1, 50, 3);
    g_autoptr(GBytes) to = configuration(2, 50, 4);
    g_autoptr(GBytes) delta = delta_make(from, to);
    for (unsigned i = 0; i < ROUNDS; i++) {
        gsize length = 0;
        gconstpointer data = g_bytes_get_data(delta, &length);
        guint8 *broken = g_memdup2(data, length);
        broken[g_rand_int_range(random, 0, (gint32)length)] ^=
            (guint8)g_rand_int_range(random, 1, 256);
        gsize kept = (gsize)g_rand_int_range(random, 0, (gint32)length + 1);
        g_autoptr(GBytes) received = g_bytes_new_take(broken, i % 2 == 0 ? length : kept);
        g_autoptr(GError) error = NULL;
        g_autoptr(GBytes) made = delta_apply(from, received, delta_hash(to), &error);
        g_assert_true(made == NULL ? error != NULL : g_bytes_equal(made, to));
    }
    g_rand_free(random);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pooler/delta/one-change", test_one_change);
    g_test_add_func("/pooler/delta/routes-come-and-go", test_routes_come_and_go);
    g_test_add_func("/pooler/delta/edges", test_edges);
    g_test_add_func("/pooler/delta/random-texts", test_random_texts);
    g_test_add_func("/pooler/delta/corrupt", test_corrupt);
    return g_test_run();
}
