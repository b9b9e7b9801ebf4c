/* The platform's clients against the stand-in: results of calls, and the result of each kind of
 * fault. */
#include "storage/machine_list.h"
#include "storage/object_client.h"
#include "storage/table_client.h"

#include "platform_fixture.h"

#define TABLE PLATFORM_STANDIN_TABLE

/* A stand-in and one client of each kind. */
struct client_test {
    struct platform_fixture platform;
    struct table_client *table;
    struct object_client *objects;
};

static void set_up(struct client_test *test, gconstpointer unused)
{
    platform_fixture_start_plain(&test->platform);
    test->table = table_client_new(&test->platform.settings);
    test->objects = object_client_new(&test->platform.settings);
}

static void tear_down(struct client_test *test, gconstpointer unused)
{
    table_client_free(test->table);
    object_client_free(test->objects);
    platform_fixture_stop(&test->platform);
}

/* Puts an item "p"/`sort` with a version under a condition. */
static enum platform_result put(struct client_test *test, const char *sort, uint64_t version,
                                struct table_condition condition)
{
    struct table_item *item = table_item_new("p", sort);
    struct table_write write = {.table = TABLE, .item = item, .condition = condition};

    table_item_set_number(item, "version", version);
    enum platform_result result = table_client_put(test->table, &write, NULL);
    table_item_free(item);
    return result;
}

static uint64_t get_version(struct client_test *test, const char *sort)
{
    struct table_item *item = NULL;
    uint64_t version = 0;

    enum platform_result result = table_client_get(test->table, TABLE, "p", sort, &item, NULL);
    g_assert_cmpint(result, ==, PLATFORM_RESULT_OK);
    g_assert_true(table_item_get_number(item, "version", &version));
    table_item_free(item);
    return version;
}

static const struct table_condition absent = {.kind = TABLE_CONDITION_ABSENT};

static struct table_condition version_is(uint64_t version)
{
    return (struct table_condition){TABLE_CONDITION_NUMBER_EQUALS, "version", version};
}

static void test_conditional_put(struct client_test *test, gconstpointer unused)
{
    struct table_item *item = NULL;

    g_assert_cmpint(table_client_get(test->table, TABLE, "p", "a", &item, NULL), ==,
                    PLATFORM_RESULT_NOT_FOUND);
    g_assert_cmpint(put(test, "a", 1, absent), ==, PLATFORM_RESULT_OK);
    g_assert_cmpint(put(test, "a", 2, absent), ==, PLATFORM_RESULT_CONDITION_FAILED);
    g_assert_cmpint(put(test, "a", 2, version_is(7)), ==, PLATFORM_RESULT_CONDITION_FAILED);
    g_assert_cmpint(put(test, "a", G_MAXUINT64, version_is(1)), ==, PLATFORM_RESULT_OK);
    g_assert_cmpuint(get_version(test, "a"), ==, G_MAXUINT64);
}

static void test_transaction(struct client_test *test, gconstpointer unused)
{
    struct table_item *first = table_item_new("p", "a");
    struct table_item *second = table_item_new("p", "b");
    struct table_write writes[] = {{TABLE, first, absent}, {TABLE, second, absent}};
    struct table_item *found = NULL;

    g_assert_cmpint(put(test, "b", 1, absent), ==, PLATFORM_RESULT_OK);
    g_assert_cmpint(table_client_transact(test->table, writes, 2, NULL), ==,
                    PLATFORM_RESULT_CONDITION_FAILED);
    g_assert_cmpint(table_client_get(test->table, TABLE, "p", "a", &found, NULL), ==,
                    PLATFORM_RESULT_NOT_FOUND);
    writes[1].condition = version_is(1);
    g_assert_cmpint(table_client_transact(test->table, writes, 2, NULL), ==, PLATFORM_RESULT_OK);
    table_item_free(first);
    table_item_free(second);
}

static void test_query_pages(struct client_test *test, gconstpointer unused)
{
    g_autoptr(GPtrArray) items = g_ptr_array_new_with_free_func((GDestroyNotify)table_item_free);
    struct table_query query = {.table = TABLE, .partition = "p", .descending = true, .limit = 2};
    bool more = false;

    put(test, "a", 1, absent);
    put(test, "b", 2, absent);
    put(test, "c", 3, absent);
    g_assert_cmpint(table_client_query(test->table, &query, items, &more, NULL), ==,
                    PLATFORM_RESULT_OK);
    g_assert_cmpuint(items->len, ==, 2);
    g_assert_true(more);
    query.start_after = table_item_get_text(g_ptr_array_index(items, 1), TABLE_ITEM_SORT);
    g_assert_cmpstr(query.start_after, ==, "b");
    g_assert_cmpint(table_client_query(test->table, &query, items, &more, NULL), ==,
                    PLATFORM_RESULT_OK);
    g_assert_cmpuint(items->len, ==, 3);
    g_assert_false(more);
}

/* A write whose answer is lost gives UNKNOWN and is sent exactly once. The first put leaves a
 * reusable connection, on which libcurl would repeat the write by itself. */
static void test_lost_answer_is_unknown(struct client_test *test, gconstpointer unused)
{
    g_assert_cmpint(put(test, "warm", 1, absent), ==, PLATFORM_RESULT_OK);
    platform_fixture_fault(&test->platform, PLATFORM_FAULT_ANSWER_LOST, PLATFORM_SERVICE_TABLE, 0,
                           1);
    uint64_t before = platform_standin_counts(test->platform.standin).table_requests;

    g_assert_cmpint(put(test, "a", 1, absent), ==, PLATFORM_RESULT_UNKNOWN);
    g_assert_cmpuint(platform_standin_counts(test->platform.standin).table_requests, ==,
                     before + 1);
    g_assert_cmpuint(get_version(test, "a"), ==, 1);
}

static void test_throttling(struct client_test *test, gconstpointer unused)
{
    g_autoptr(GBytes) bytes = g_bytes_new_static("x", 1);

    platform_fixture_fault(&test->platform, PLATFORM_FAULT_THROTTLE, PLATFORM_SERVICE_BOTH, 0, 2);
    g_assert_cmpint(put(test, "a", 1, absent), ==, PLATFORM_RESULT_THROTTLED);
    g_assert_cmpint(object_client_put_new(test->objects, "k", bytes, NULL), ==,
                    PLATFORM_RESULT_THROTTLED);
    g_assert_cmpint(put(test, "a", 1, absent), ==, PLATFORM_RESULT_OK);
}

/* The stand-in delays the answer beyond the client's time-out, until the stand-in is stopped. */
static void test_answer_after_the_time_out_is_unknown(struct client_test *test,
                                                      gconstpointer unused)
{
    const struct platform_fault slow = {.kind = PLATFORM_FAULT_SLOW,
                                        .service = PLATFORM_SERVICE_TABLE,
                                        .count = 1,
                                        .delay_ms = 600000};
    struct platform_settings settings = test->platform.settings;

    settings.call_timeout_ms = 1000;
    struct table_client *short_timeout_client = table_client_new(&settings);
    struct table_item *item = table_item_new("p", "a");
    struct table_write write = {.table = TABLE, .item = item};
    platform_standin_add_fault(test->platform.standin, &slow);
    g_assert_cmpint(table_client_put(short_timeout_client, &write, NULL), ==,
                    PLATFORM_RESULT_UNKNOWN);
    table_item_free(item);
    table_client_free(short_timeout_client);
}

static void test_unreachable_store_is_unavailable(void)
{
    struct platform_settings settings = platform_settings_default();
    struct refusing_port port;
    g_autoptr(GError) error = NULL;
    struct table_item *item = NULL;

    refusing_port_open(&port);
    settings.table_url = port.url;
    struct table_client *client = table_client_new(&settings);
    g_assert_cmpint(table_client_get(client, TABLE, "p", "a", &item, &error), ==,
                    PLATFORM_RESULT_UNAVAILABLE);
    g_assert_cmpint(error->code, ==, ERROR_KIND_STORE_UNAVAILABLE);
    table_client_free(client);
    refusing_port_close(&port);
}

static void test_unknown_table_is_refused(struct client_test *test, gconstpointer unused)
{
    g_autoptr(GError) error = NULL;
    struct table_item *item = NULL;

    g_assert_cmpint(table_client_get(test->table, "absent", "p", "a", &item, &error), ==,
                    PLATFORM_RESULT_REFUSED);
    g_assert_cmpstr(error->message, ==,
                    "table service: ResourceNotFoundException: Requested resource not found");
}

static void test_objects(struct client_test *test, gconstpointer unused)
{
    g_autoptr(GBytes) bytes = g_bytes_new_static("first", 5);
    g_autoptr(GBytes) other = g_bytes_new_static("other", 5);
    g_autoptr(GBytes) found = NULL;
    GBytes *none = NULL;

    g_assert_cmpint(object_client_get(test->objects, "a/b", 100, &none, NULL), ==,
                    PLATFORM_RESULT_NOT_FOUND);
    g_assert_cmpint(object_client_put_new(test->objects, "a/b", bytes, NULL), ==,
                    PLATFORM_RESULT_OK);
    g_assert_cmpint(object_client_put_new(test->objects, "a/b", other, NULL), ==,
                    PLATFORM_RESULT_CONDITION_FAILED);
    g_assert_cmpint(object_client_get(test->objects, "a/b", 100, &found, NULL), ==,
                    PLATFORM_RESULT_OK);
    g_assert_true(g_bytes_equal(found, bytes));
}

static void test_large_object(struct client_test *test, gconstpointer unused)
{
    gsize length = 4 * 1024 * 1024;
    g_autoptr(GBytes) bytes = g_bytes_new_take(g_strnfill(length, 'x'), length);
    g_autoptr(GBytes) found = NULL;
    GBytes *none = NULL;

    g_assert_cmpint(object_client_put_new(test->objects, "large", bytes, NULL), ==,
                    PLATFORM_RESULT_OK);
    g_assert_cmpint(object_client_get(test->objects, "large", length, &found, NULL), ==,
                    PLATFORM_RESULT_OK);
    g_assert_true(g_bytes_equal(found, bytes));
    g_assert_cmpint(object_client_get(test->objects, "large", length - 1, &none, NULL), ==,
                    PLATFORM_RESULT_UNKNOWN);
}

static void test_machine_list(struct client_test *test, gconstpointer unused)
{
    g_autoptr(GPtrArray) machines = machine_list_new();
    const struct machine live = {(char *)"d1", (char *)"north", (char *)"127.0.0.1:7000", false};
    const struct machine leaving = {(char *)"d2", (char *)"south", (char *)"127.0.0.1:7001", true};
    static const char table[] = PLATFORM_STANDIN_MACHINE_TABLE;

    machine_list_write(test->table, table, &live, NULL);
    machine_list_write(test->table, table, &leaving, NULL);
    g_assert_cmpint(machine_list_read(test->table, table, machines, NULL), ==, PLATFORM_RESULT_OK);
    g_assert_cmpuint(machines->len, ==, 2);
    const struct machine *second = g_ptr_array_index(machines, 1);
    g_assert_cmpstr(second->id, ==, "d2");
    g_assert_cmpstr(second->zone, ==, "south");
    g_assert_cmpstr(second->address, ==, "127.0.0.1:7001");
    g_assert_true(second->leaving);
    g_assert_cmpint(machine_list_remove(test->table, table, "d1", NULL), ==, PLATFORM_RESULT_OK);
    g_ptr_array_set_size(machines, 0);
    machine_list_read(test->table, table, machines, NULL);
    g_assert_cmpuint(machines->len, ==, 1);
}

static void add(const char *path, void (*function)(struct client_test *, gconstpointer))
{
    g_test_add(path, struct client_test, NULL, set_up, function, tear_down);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    add("/platform/table/conditional-put", test_conditional_put);
    add("/platform/table/transaction", test_transaction);
    add("/platform/table/pages", test_query_pages);
    add("/platform/table/lost-answer", test_lost_answer_is_unknown);
    add("/platform/table/unknown-table", test_unknown_table_is_refused);
    add("/platform/table/time-out", test_answer_after_the_time_out_is_unknown);
    g_test_add_func("/platform/table/unreachable", test_unreachable_store_is_unavailable);
    add("/platform/throttling", test_throttling);
    add("/platform/objects/put-and-get", test_objects);
    add("/platform/objects/large", test_large_object);
    add("/platform/machines", test_machine_list);
    return g_test_run();
}
