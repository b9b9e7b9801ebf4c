#include "mutator.h"

#include <string.h>

#define MUTATIONS_MAX 3
#define BYTES_MAX     4096

/* Texts that have a special meaning to the parsers. */
static const char *const pieces[] = {
    "{",           "}",        "[",       "]",       "\"",          "\\",
    "\\u0000",     "\\ud800",  ",",       ":",       "null",        "true",
    "-",           "1e999",    "0",       "\xff",    "\xc3",        "\xc3\xa9",
    "\"sql\"",     "(",        ")",       ";",       "--",          "/*",
    "'",           "$$",       "SELECT ", " FROM ",  "SET ",        "DELETE FROM ",
    "swiftworks_", "pg_temp.", "::",      " UNION ", " FOR UPDATE", "99999999999999999999",
    "\n",          "\t",       "=",       "_",
};

static GPtrArray *corpus_new(void)
{
    return g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Names of the files in a directory, sorted, so that a run does not depend on the order of the
 * directory. */
static GPtrArray *list_files(const char *path)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GError *error = NULL;
    GDir *directory = g_dir_open(path, 0, &error);
    g_assert_no_error(error);
    const char *name = g_dir_read_name(directory);
    while (name != NULL) {
        g_ptr_array_add(names, g_build_filename(path, name, NULL));
        name = g_dir_read_name(directory);
    }
    g_dir_close(directory);
    g_ptr_array_sort(names, compare_names);
    return names;
}

void mutator_open(struct mutator *mutator, const char *directory, guint32 seed)
{
    mutator->random = g_rand_new_with_seed(seed);
    mutator->corpus = corpus_new();
    g_autofree char *path = g_test_build_filename(G_TEST_DIST, directory, NULL);
    g_autoptr(GPtrArray) names = list_files(path);
    for (guint i = 0; i < names->len; i++) {
        char *text = NULL;
        gsize length = 0;
        g_assert_true(g_file_get_contents(g_ptr_array_index(names, i), &text, &length, NULL));
        g_ptr_array_add(mutator->corpus, g_bytes_new_take(text, length));
    }
    g_assert_cmpuint(mutator->corpus->len, >, 0);
}

void mutator_open_lines(struct mutator *mutator, const char *directory, guint32 seed)
{
    mutator_open(mutator, directory, seed);
    GPtrArray *lines = corpus_new();
    for (guint i = 0; i < mutator->corpus->len; i++) {
        gsize length = 0;
        const char *text = g_bytes_get_data(g_ptr_array_index(mutator->corpus, i), &length);
        g_autofree char *copy = g_strndup(text, length);
        g_auto(GStrv) parts = g_strsplit(copy, "\n", 0);
        for (char **part = parts; *part != NULL; part++) {
            if (**part != '\0') {
                g_ptr_array_add(lines, g_bytes_new(*part, strlen(*part)));
            }
        }
    }
    g_ptr_array_unref(mutator->corpus);
    mutator->corpus = lines;
}

void mutator_close(struct mutator *mutator)
{
    g_rand_free(mutator->random);
    g_ptr_array_unref(mutator->corpus);
}

/* A random number below `end`, which must not be 0. */
static guint below(struct mutator *mutator, guint end)
{
    return (guint)g_rand_int_range(mutator->random, 0, (gint32)end);
}

static void insert(GByteArray *text, guint at, const void *data, guint length)
{
    guint before = text->len;
    g_byte_array_set_size(text, before + length);
    memmove(text->data + at + length, text->data + at, before - at);
    memcpy(text->data + at, data, length);
}

static void flip_bit(struct mutator *mutator, GByteArray *text)
{
    text->data[below(mutator, text->len)] ^= (guint8)(1U << below(mutator, 8));
}

static void replace_byte(struct mutator *mutator, GByteArray *text)
{
    text->data[below(mutator, text->len)] = (guint8)below(mutator, 256);
}

static void remove_range(struct mutator *mutator, GByteArray *text)
{
    guint at = below(mutator, text->len);
    g_byte_array_remove_range(text, at, 1 + below(mutator, text->len - at));
}

static void cut_end(struct mutator *mutator, GByteArray *text)
{
    g_byte_array_set_size(text, below(mutator, text->len + 1));
}

static void insert_piece(struct mutator *mutator, GByteArray *text)
{
    const char *piece = pieces[below(mutator, G_N_ELEMENTS(pieces))];
    insert(text, below(mutator, text->len + 1), piece, (guint)strlen(piece));
}

static void repeat_range(struct mutator *mutator, GByteArray *text)
{
    guint at = below(mutator, text->len);
    guint length = 1 + below(mutator, text->len - at);
    g_autofree guint8 *copy = g_memdup2(text->data + at, length);
    guint times = 1 + below(mutator, 8);
    for (guint i = 0; i < times && text->len + length < BYTES_MAX; i++) {
        insert(text, at, copy, length);
    }
}

static void splice_other(struct mutator *mutator, GByteArray *text)
{
    GBytes *other = g_ptr_array_index(mutator->corpus, below(mutator, mutator->corpus->len));
    gsize length = 0;
    const guint8 *data = g_bytes_get_data(other, &length);
    guint from = below(mutator, (guint)length);
    insert(text, below(mutator, text->len + 1), data + from, (guint)length - from);
}

void mutator_change(struct mutator *mutator, GByteArray *text)
{
    static void (*const changes[])(struct mutator * mutator, GByteArray * text) = {
        flip_bit,     replace_byte, remove_range, cut_end,
        insert_piece, insert_piece, repeat_range, splice_other,
    };
    if (text->len == 0) {
        insert_piece(mutator, text);
        return;
    }
    changes[below(mutator, G_N_ELEMENTS(changes))](mutator, text);
}

GByteArray *mutator_next(struct mutator *mutator)
{
    GBytes *origin = g_ptr_array_index(mutator->corpus, below(mutator, mutator->corpus->len));
    gsize length = 0;
    const guint8 *data = g_bytes_get_data(origin, &length);
    GByteArray *text = g_byte_array_new();
    g_byte_array_append(text, data, (guint)length);
    guint count = 1 + below(mutator, MUTATIONS_MAX);
    for (guint i = 0; i < count; i++) {
        mutator_change(mutator, text);
    }
    return text;
}
