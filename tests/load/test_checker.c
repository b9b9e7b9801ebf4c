/* Replays small recorded histories against their expected reports: every .jsonl in histories/ has
 * an .expected.json of the same name. */
#include <json-glib/json-glib.h>
#include <string.h>

#include "load/checker.h"

#define HISTORY_SUFFIX  ".jsonl"
#define EXPECTED_SUFFIX ".expected.json"

static JsonObject *read_expected(const char *name, JsonParser *parser)
{
    g_autofree char *file = g_strconcat(name, EXPECTED_SUFFIX, NULL);
    g_autofree char *path = g_test_build_filename(G_TEST_DIST, "load", "histories", file, NULL);
    g_autoptr(GError) error = NULL;
    json_parser_load_from_file(parser, path, &error);
    g_assert_no_error(error);
    return json_node_get_object(json_parser_get_root(parser));
}

static GPtrArray *read_records(const char *name)
{
    g_autofree char *file = g_strconcat(name, HISTORY_SUFFIX, NULL);
    g_autofree char *path = g_test_build_filename(G_TEST_DIST, "load", "histories", file, NULL);
    GPtrArray *records = g_ptr_array_new_with_free_func((GDestroyNotify)history_record_free);
    g_autoptr(GError) error = NULL;
    history_read_file(path, records, &error);
    g_assert_no_error(error);
    g_assert_cmpuint(records->len, >, 0);
    return records;
}

static void add_rows(GHashTable *table, JsonObject *expected, const char *member)
{
    JsonArray *ids = json_object_get_array_member(expected, member);
    for (guint i = 0; i < json_array_get_length(ids); i++) {
        final_state_add(table, json_array_get_string_element(ids, i));
    }
}

static void assert_counts(const struct check_report *report, JsonObject *expected)
{
    JsonObject *violations = json_object_get_object_member(expected, "violations");
    for (int kind = 0; kind < VIOLATION_KIND_COUNT; kind++) {
        const char *name = violation_kind_name((enum violation_kind)kind);
        gint64 count = json_object_get_int_member_with_default(violations, name, 0);
        if ((gint64)report->counts[kind] != count) {
            g_test_message("%s: %d found", name, (int)report->counts[kind]);
        }
        g_assert_cmpint((gint64)report->counts[kind], ==, count);
    }
    g_assert_cmpint(report->unknown_ids->len, ==,
                    json_object_get_int_member(expected, "unknown_writes"));
}

static void test_recorded_history(gconstpointer context)
{
    const char *name = context;
    g_autoptr(JsonParser) parser = json_parser_new();
    JsonObject *expected = read_expected(name, parser);
    g_autoptr(GPtrArray) records = read_records(name);
    struct final_state *state = final_state_new();
    add_rows(state->entries, expected, "entries");
    add_rows(state->bookings, expected, "bookings");
    struct check_report *report = check_history(records, state);
    assert_counts(report, expected);
    check_report_free(report);
    final_state_free(state);
}

/* Without a final state, only reads and terms are checked. */
static void test_without_final_state(void)
{
    g_autoptr(GPtrArray) records = read_records("lost_write");
    struct check_report *report = check_history(records, NULL);
    g_assert_cmpuint(report->violations->len, ==, 0);
    g_assert_cmpuint(report->acknowledged_writes, ==, 1);
    check_report_free(report);
}

/* The order of the records does not matter, because histories of several clients are concatenated.
 */
static void test_any_order(void)
{
    g_autoptr(GPtrArray) records = read_records("read_your_writes");
    gpointer first = g_ptr_array_index(records, 0);
    g_ptr_array_index(records, 0) = g_ptr_array_index(records, 1);
    g_ptr_array_index(records, 1) = first;
    struct check_report *report = check_history(records, NULL);
    g_assert_cmpuint(report->counts[VIOLATION_READ_YOUR_WRITES], ==, 1);
    check_report_free(report);
}

static void add_recorded_histories(void)
{
    g_autofree char *path = g_test_build_filename(G_TEST_DIST, "load", "histories", NULL);
    g_autoptr(GDir) directory = g_dir_open(path, 0, NULL);
    g_assert_nonnull(directory);
    const char *file;
    while ((file = g_dir_read_name(directory)) != NULL) {
        if (!g_str_has_suffix(file, HISTORY_SUFFIX)) {
            continue;
        }
        char *name = g_strndup(file, strlen(file) - strlen(HISTORY_SUFFIX));
        g_autofree char *test = g_strconcat("/load/checker/", name, NULL);
        g_test_add_data_func_full(test, name, test_recorded_history, g_free);
    }
}

int main(int count, char **arguments)
{
    g_test_init(&count, &arguments, NULL);
    add_recorded_histories();
    g_test_add_func("/load/checker/without_final_state", test_without_final_state);
    g_test_add_func("/load/checker/any_order", test_any_order);
    return g_test_run();
}
