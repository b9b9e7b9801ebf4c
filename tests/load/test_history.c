/* Tests of the history's JSON form. */
#include <glib/gstdio.h>
#include <string.h>

#include "load/history.h"

static void test_round_trip(void)
{
    const char *line =
        "{\"session\":\"s1\",\"tenant\":\"atlas\",\"operation\":3,\"attempt\":1,\"kind\":\"read\","
        "\"range\":\"s1.0/\",\"address\":\"127.0.0.1:9\",\"due_ns\":1,\"sent_ns\":2,"
        "\"answered_ns\":3,\"outcome\":\"done\",\"retry\":\"no\",\"daemon\":\"d1\","
        "\"database\":\"a2\",\"role\":\"replica\",\"term\":4,\"offset\":5,\"rows\":[\"s1.0/1\"]}";
    g_autoptr(GError) error = NULL;
    struct history_record *record = history_record_from_json(line, &error);
    g_assert_no_error(error);
    g_assert_cmpuint(record->served_by.offset, ==, 5);
    g_assert_cmpuint(record->rows->len, ==, 1);
    g_autofree char *again = history_record_to_json(record);
    g_assert_cmpstr(again, ==, line);
    history_record_free(record);
}

static void test_refuses(gconstpointer context)
{
    g_autoptr(GError) error = NULL;
    g_assert_null(history_record_from_json(context, &error));
    g_assert_nonnull(error);
}

static void test_file_error_names_line(void)
{
    g_autofree char *path = NULL;
    int descriptor = g_file_open_tmp("historyXXXXXX", &path, NULL);
    g_assert_cmpint(descriptor, >=, 0);
    g_close(descriptor, NULL);
    g_assert_true(g_file_set_contents(path, "\n{}\n", -1, NULL));
    g_autoptr(GPtrArray) records =
        g_ptr_array_new_with_free_func((GDestroyNotify)history_record_free);
    g_autoptr(GError) error = NULL;
    g_assert_false(history_read_file(path, records, &error));
    g_assert_nonnull(strstr(error->message, ":2:"));
    g_unlink(path);
}

int main(int count, char **arguments)
{
    g_test_init(&count, &arguments, NULL);
    g_test_add_func("/load/history/round_trip", test_round_trip);
    g_test_add_data_func("/load/history/refuses_text", "no json", test_refuses);
    g_test_add_data_func("/load/history/refuses_array", "[]", test_refuses);
    g_test_add_data_func("/load/history/refuses_unknown_outcome",
                         "{\"session\":\"s\",\"tenant\":\"t\",\"kind\":\"read\",\"range\":\"r\","
                         "\"outcome\":\"maybe\"}",
                         test_refuses);
    g_test_add_data_func("/load/history/refuses_write_without_id",
                         "{\"session\":\"s\",\"tenant\":\"t\",\"kind\":\"entry\",\"range\":\"r\","
                         "\"outcome\":\"done\"}",
                         test_refuses);
    g_test_add_func("/load/history/file_error_names_line", test_file_error_names_line);
    return g_test_run();
}
