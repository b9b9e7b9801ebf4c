/* The file with the platform's key: its required permissions, and errors that do not quote its
 * content. */
#include <glib/gstdio.h>
#include <string.h>

#include "core/error.h"
#include "daemon/configuration_fetcher.h"
#include "generated/errors.h"

#define SECRET "hut-key-17 s3cr3t"

struct secret_case {
    const char *text;
    int mode;
    const char *fault; /* NULL: the file is read */
};

static const struct secret_case cases[] = {
    {SECRET "\n", 0600, NULL},
    {SECRET "\n", 0400, NULL},
    {SECRET "\n", 0640, "the file must not be open to group or others"},
    {SECRET "\n", 0604, "the file must not be open to group or others"},
    {SECRET " more\n", 0600, "must hold an access key id, a space and the secret"},
    {"", 0600, "must hold an access key id, a space and the secret"},
};

static void check_case(const char *path, const struct secret_case *secret_case)
{
    g_autofree char *access_key = NULL;
    g_autofree char *secret_key = NULL;
    g_autoptr(GError) error = NULL;
    g_file_set_contents_full(path, secret_case->text, -1, G_FILE_SET_CONTENTS_NONE, 0600, &error);
    g_assert_no_error(error);
    g_assert_cmpint(g_chmod(path, secret_case->mode), ==, 0);
    bool read = configuration_fetcher_read_keys(path, &access_key, &secret_key, &error);
    g_assert_cmpint(read, ==, secret_case->fault == NULL);
    if (read) {
        g_assert_cmpstr(access_key, ==, "hut-key-17");
        g_assert_cmpstr(secret_key, ==, "s3cr3t");
        return;
    }
    g_autofree char *expected = g_strdup_printf("%s: %s", path, secret_case->fault);
    g_assert_error(error, SW_ERROR, (gint)ERROR_KIND_INVALID_CONFIGURATION);
    g_assert_cmpstr(error->message, ==, expected);
}

static void test_platform_key(void)
{
    g_autofree char *directory = g_dir_make_tmp("swiftworks-secrets-XXXXXX", NULL);
    g_autofree char *path = g_build_filename(directory, "platform-key", NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        check_case(path, &cases[i]);
        g_unlink(path);
    }
    g_rmdir(directory);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/daemon/secrets/platform_key", test_platform_key);
    return g_test_run();
}
