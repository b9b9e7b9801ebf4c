/* Log levels by part: which lines are written, changes through the admin API, and that the list of
 * parts matches the sources. */
#include <glib/gstdio.h>
#include <string.h>

#include "core/error.h"
#include "daemon/admin_log.h"
#include "daemon/daemon.h"
#include "daemon/journal.h"
#include "daemon/log.h"
#include "generated/errors.h"

static void test_levels(void)
{
    log_set_level(NULL, LOG_LEVEL_MESSAGE);
    g_assert_true(log_is_enabled("control", LOG_LEVEL_MESSAGE));
    g_assert_false(log_is_enabled("control", LOG_LEVEL_INFO));
    g_assert_true(log_set_level("control", LOG_LEVEL_DEBUG));
    g_assert_true(log_is_enabled("control", LOG_LEVEL_DEBUG));
    g_assert_false(log_is_enabled("members", LOG_LEVEL_INFO));
    g_assert_false(log_set_level("frobnicator", LOG_LEVEL_DEBUG));
    log_set_level(NULL, LOG_LEVEL_WARNING);
    g_assert_false(log_is_enabled("control", LOG_LEVEL_MESSAGE));
    g_assert_false(log_is_enabled("some library", LOG_LEVEL_MESSAGE));
    g_assert_true(log_is_enabled("some library", LOG_LEVEL_WARNING));
}

/* In a child process, since the writer can be set only once. */
static void test_written_lines(void)
{
    if (g_test_subprocess()) {
        log_start(LOG_FORMAT_PLAIN, LOG_LEVEL_MESSAGE);
        log_set_level("members", LOG_LEVEL_INFO);
        g_log_structured("members", G_LOG_LEVEL_INFO, "MESSAGE", "written");
        g_log_structured("owners", G_LOG_LEVEL_INFO, "MESSAGE", "suppressed");
        for (int i = 0; i < 3; i++) {
            g_log_structured("owners", G_LOG_LEVEL_MESSAGE, "MESSAGE", "again");
        }
        g_log_structured("owners", G_LOG_LEVEL_MESSAGE, "MESSAGE", "end");
        return;
    }
    g_test_trap_subprocess(NULL, 0, 0);
    g_test_trap_assert_passed();
    g_test_trap_assert_stderr(
        "*members: written\n*owners: again\n*log: (last message repeated 2 times)\n"
        "*owners: end\n*");
    g_test_trap_assert_stderr_unmatched("*suppressed*");
}

static void expect_refused(struct daemon *daemon, const char *part, const char *level)
{
    g_autoptr(GString) out = g_string_new(NULL);
    g_autoptr(GError) error = NULL;
    g_assert_false(admin_log_set(daemon, part, level, out, &error));
    g_assert_error(error, SW_ERROR, (gint)ERROR_KIND_BAD_REQUEST);
}

/* A valid change is answered, takes effect and is recorded as an event; an invalid one changes
 * nothing. */
static void test_operator_call(void)
{
    struct daemon daemon = {.journal = journal_new()};
    g_autoptr(GString) out = g_string_new(NULL);
    log_set_level(NULL, LOG_LEVEL_MESSAGE);
    g_assert_true(admin_log_set(&daemon, "requests", "info", out, NULL));
    g_assert_nonnull(strstr(out->str, "\"info\""));
    g_assert_cmpint(log_level_of("requests"), ==, LOG_LEVEL_INFO);
    g_assert_cmpint(log_level_of("control"), ==, LOG_LEVEL_MESSAGE);
    expect_refused(&daemon, "requests", "loud");
    expect_refused(&daemon, "frobnicator", "info");
    expect_refused(&daemon, NULL, "info");
    g_assert_true(admin_log_set(&daemon, "all", "error", out, NULL));
    g_assert_cmpint(log_level_of("requests"), ==, LOG_LEVEL_ERROR);
    g_autoptr(GArray) entries = journal_since(daemon.journal, 0);
    g_assert_cmpuint(entries->len, ==, 2);
    const struct journal_entry *first = &g_array_index(entries, struct journal_entry, 0);
    g_assert_cmpstr(first->kind, ==, "log_level");
    g_assert_cmpstr(first->text, ==, "part requests: info");
    journal_free(daemon.journal);
}

static bool is_part(const char *name)
{
    for (size_t i = 0; log_part(i) != NULL; i++) {
        if (strcmp(log_part(i), name) == 0) {
            return true;
        }
    }
    return false;
}

/* Number of log domains defined by the sources of a folder; fails the test for one that is not a
 * part. */
static unsigned check_domains(const char *folder)
{
    g_autoptr(GRegex) domain = g_regex_new("#define G_LOG_DOMAIN \"([^\"]+)\"", 0, 0, NULL);
    g_autofree char *path = g_test_build_filename(G_TEST_DIST, "..", "src", folder, NULL);
    g_autoptr(GDir) directory = g_dir_open(path, 0, NULL);
    unsigned found = 0;
    g_assert_nonnull(directory);
    for (const char *name = g_dir_read_name(directory); name != NULL;
         name = g_dir_read_name(directory)) {
        g_autofree char *file = g_build_filename(path, name, NULL);
        g_autofree char *text = NULL;
        g_autoptr(GMatchInfo) match = NULL;
        if (g_file_get_contents(file, &text, NULL, NULL) &&
            g_regex_match(domain, text, 0, &match)) {
            g_autofree char *part = g_match_info_fetch(match, 1);
            if (!is_part(part)) {
                g_error("%s logs as %s, which is no part of the log", file, part);
            }
            found++;
        }
    }
    return found;
}

static void test_parts(void)
{
    static const char *const others[] = {"backend", "frontend", "wire", "storage"};
    g_assert_cmpuint(check_domains("daemon"), >, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
        check_domains(others[i]);
    }
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/daemon/log/levels", test_levels);
    g_test_add_func("/daemon/log/written_lines", test_written_lines);
    g_test_add_func("/daemon/log/operator_call", test_operator_call);
    g_test_add_func("/daemon/log/parts", test_parts);
    return g_test_run();
}
