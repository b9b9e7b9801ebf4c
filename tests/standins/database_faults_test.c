/* Faults of the stand-in database, injected through its admin listener. */
#include <curl/curl.h>
#include <json-glib/json-glib.h>

#include "database_fixture.h"

struct fixture {
    struct server *server;
    PGconn *connection;
};

static void set_up(struct fixture *fixture, const void *data)
{
    struct server_options options = fixture_options();
    options.admin = "127.0.0.1:0";
    fixture->server = fixture_start(&options);
    fixture->connection = fixture_connect(fixture->server);
    fixture_run(fixture->connection, "CREATE TABLE flags (id BIGINT PRIMARY KEY, on_at TEXT)");
}

static void tear_down(struct fixture *fixture, const void *data)
{
    PQfinish(fixture->connection);
    server_stop(fixture->server);
}

static size_t append(char *bytes, size_t size, size_t count, void *data)
{
    g_string_append_len(data, bytes, (gssize)(size * count));
    return size * count;
}

/* Calls the admin listener and returns its JSON reply. Free with json_node_unref. */
static JsonNode *call_admin(const struct fixture *fixture, bool post, const char *path,
                            long expected_status)
{
    g_autofree char *url =
        g_strdup_printf("http://127.0.0.1:%u%s", server_admin_port(fixture->server), path);
    g_autoptr(GString) text = g_string_new(NULL);
    long status = 0;
    CURL *call = curl_easy_init();
    curl_easy_setopt(call, CURLOPT_URL, url);
    curl_easy_setopt(call, CURLOPT_WRITEFUNCTION, append);
    curl_easy_setopt(call, CURLOPT_WRITEDATA, text);
    if (post) {
        curl_easy_setopt(call, CURLOPT_POSTFIELDS, "");
    }
    g_assert_cmpint(curl_easy_perform(call), ==, CURLE_OK);
    curl_easy_getinfo(call, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_cleanup(call);
    g_assert_cmpint(status, ==, expected_status);
    return json_from_string(text->str, NULL);
}

static void run_fault(const struct fixture *fixture, const char *parameters)
{
    g_autofree char *path = g_strdup_printf("/fault?name=%s", parameters);
    json_node_unref(call_admin(fixture, true, path, 200));
}

/* Waits until the table has this many rows. */
static void wait_for_rows(const struct fixture *fixture, const char *count)
{
    bool reached = false;
    while (!reached) {
        g_autofree char *rows = fixture_value(fixture->connection, "SELECT count(*) FROM flags");
        reached = g_str_equal(rows, count);
    }
}

static void test_admin_pages(struct fixture *fixture, const void *data)
{
    fixture_run(fixture->connection, "INSERT INTO flags VALUES (1, 'now'), (2, NULL)");
    g_autoptr(JsonNode) dump = call_admin(fixture, false, "/dump?table=flags", 200);
    g_autofree char *rows = json_to_string(dump, FALSE);
    g_assert_cmpstr(rows, ==,
                    "{\"rows\":[{\"id\":1,\"on_at\":\"now\"},{\"id\":2,\"on_at\":null}]}");
    json_node_unref(call_admin(fixture, false, "/dump?table=none", 404));
    json_node_unref(call_admin(fixture, true, "/fault?name=none", 400));
    g_autoptr(JsonNode) log = call_admin(fixture, false, "/log", 200);
    g_assert_cmpint(json_object_get_int_member(json_node_get_object(log), "count"), ==, 2);
    g_autoptr(JsonNode) health = call_admin(fixture, false, "/healthz", 200);
    g_assert_cmpstr(json_object_get_string_member(json_node_get_object(health), "role"), ==,
                    "primary");
    g_autoptr(JsonNode) violations = call_admin(fixture, false, "/violations", 200);
    JsonObject *counts = json_node_get_object(violations);
    g_assert_cmpint(json_object_get_int_member(counts, "over_connection_limit"), ==, 0);
    g_assert_cmpint(json_object_get_int_member(counts, "lower_term_write"), ==, 0);
    g_assert_cmpint(json_object_get_int_member(counts, "peak_connections"), ==, 1);
    g_assert_cmpint(json_object_get_int_member(counts, "peak_slots"), ==, 1);
}

static void test_cut_zone(struct fixture *fixture, const void *data)
{
    PGconn *cut = fixture_try_connect(fixture->server, "z2");
    run_fault(fixture, "cut_zone&zone=z2");
    g_assert_true(PQsendQuery(cut, "INSERT INTO flags (id) VALUES (1)"));
    fixture_run(fixture->connection, "INSERT INTO flags (id) VALUES (2)");
    g_assert_true(PQconsumeInput(cut));
    g_assert_true(PQisBusy(cut));
    fixture_expect(fixture->connection, "SELECT count(*) FROM flags", "1");
    run_fault(fixture, "heal");
    PGresult *result = PQgetResult(cut);
    g_assert_cmpstr(PQcmdStatus(result), ==, "INSERT 0 1");
    PQclear(result);
    PQfinish(cut);
}

/* Sends a commit whose answer is lost. Returns the connection on which it was sent. */
static PGconn *lose_commit(const struct fixture *fixture, const char *fault)
{
    PGconn *connection = fixture_connect(fixture->server);
    run_fault(fixture, fault);
    fixture_run(connection, "BEGIN");
    fixture_run(connection, "INSERT INTO flags (id) VALUES (1)");
    g_assert_true(PQsendQuery(connection, "COMMIT"));
    wait_for_rows(fixture, "1");
    return connection;
}

static void test_dropped_answer(struct fixture *fixture, const void *data)
{
    PGconn *connection = lose_commit(fixture, "drop_answer&count=1&match=COMMIT");
    g_assert_true(PQconsumeInput(connection));
    g_assert_true(PQisBusy(connection));
    g_assert_cmpint(PQstatus(connection), ==, CONNECTION_OK);
    PQfinish(connection);
    fixture_run(fixture->connection, "BEGIN; INSERT INTO flags (id) VALUES (2); COMMIT");
}

static void test_close_after(struct fixture *fixture, const void *data)
{
    PGconn *connection = lose_commit(fixture, "close_after&count=1&match=COMMIT");
    PGresult *result = PQgetResult(connection);
    g_assert_cmpint(PQresultStatus(result), ==, PGRES_FATAL_ERROR);
    g_assert_cmpint(PQstatus(connection), ==, CONNECTION_BAD);
    PQclear(result);
    PQfinish(connection);
}

static void test_truncated_answer(struct fixture *fixture, const void *data)
{
    fixture_run(fixture->connection, "INSERT INTO flags VALUES (1, 'a'), (2, 'b'), (3, 'c')");
    PGconn *connection = fixture_connect(fixture->server);
    run_fault(fixture, "truncate_answer&count=1");
    fixture_run(connection, "SELECT * FROM swiftworks_status()");
    PGresult *result = fixture_query(connection, "SELECT * FROM flags");
    g_assert_cmpint(PQresultStatus(result), ==, PGRES_FATAL_ERROR);
    g_assert_cmpint(PQstatus(connection), ==, CONNECTION_BAD);
    PQclear(result);
    PQfinish(connection);
}

static void test_freeze_and_slowness_end(struct fixture *fixture, const void *data)
{
    int64_t start = g_get_monotonic_time();
    run_fault(fixture, "freeze&value_ms=30");
    fixture_run(fixture->connection, "SELECT 1");
    g_assert_cmpint(g_get_monotonic_time() - start, >=, 30000);
    run_fault(fixture, "slow_us&value=20000");
    start = g_get_monotonic_time();
    fixture_run(fixture->connection, "SELECT 1");
    g_assert_cmpint(g_get_monotonic_time() - start, >=, 20000);
    run_fault(fixture, "lag_ms&value=5");
    run_fault(fixture, "heal");
    g_assert_cmpint(fixture->server->slots.service_time_us, ==, 0);
}

static void test_delays(void)
{
    struct server_options options = fixture_options();
    options.zone_delay_us = 20000;
    options.open_delay_ms = 20;
    struct server *server = fixture_start(&options);
    PGconn *near = fixture_connect(server);
    int64_t start = g_get_monotonic_time();
    PGconn *far = fixture_try_connect(server, "z2");
    g_assert_cmpint(g_get_monotonic_time() - start, >=, 40000);
    start = g_get_monotonic_time();
    fixture_run(far, "SELECT 1");
    g_assert_cmpint(g_get_monotonic_time() - start, >=, 40000);
    PQfinish(near);
    PQfinish(far);
    server_stop(server);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    curl_global_init(CURL_GLOBAL_DEFAULT);
#define ADD(name, function)                                                                        \
    g_test_add("/standin-database/faults/" name, struct fixture, NULL, set_up, function, tear_down)
    ADD("admin-pages", test_admin_pages);
    ADD("cut-zone", test_cut_zone);
    ADD("dropped-answer", test_dropped_answer);
    ADD("close-after", test_close_after);
    ADD("truncated-answer", test_truncated_answer);
    ADD("freeze-and-slowness-end", test_freeze_and_slowness_end);
    g_test_add_func("/standin-database/faults/delays", test_delays);
    return g_test_run();
}
