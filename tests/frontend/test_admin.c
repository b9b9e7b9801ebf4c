/* The admin listener: built-in paths, routes, parameters and limits. */
#include "core/error.h"
#include "frontend/admin.h"
#include "frontend/listen.h"
#include "generated/errors.h"
#include "http_client.h"

#include <curl/curl.h>
#include <stdatomic.h>
#include <string.h>

static void answer_echo(const struct admin_request *request, struct admin_answer *answer,
                        void *user)
{
    uint64_t count = 7;
    bool all = false;
    g_autoptr(GError) error = NULL;
    if (!admin_query_number(request, "count", 100, &count, &error) ||
        !admin_query_flag(request, "all", &all, &error)) {
        admin_answer_error(answer, error);
        return;
    }
    const char *name = admin_query_text(request, "name");
    size_t length = 0;
    const char *body = admin_request_body(request, &length);
    g_string_append_printf(answer->body, "%s %s %s %u %d [%.*s] %s", (const char *)user,
                           admin_request_segment(request, 0),
                           admin_request_segment(request, 1) == NULL ? "none" : "two",
                           (unsigned)count, all, (int)length, body, name == NULL ? "-" : name);
}

static void answer_status(const struct admin_request *request, struct admin_answer *answer,
                          void *user)
{
    answer->status = 202;
    g_string_append(answer->body, "{}\n");
}

static bool is_ready(GString *reason, void *user)
{
    const atomic_bool *ready = user;
    g_string_append(reason, "no configuration");
    return atomic_load(ready);
}

struct listener {
    struct admin *admin;
    struct metrics *metrics;
    atomic_bool ready;
};

static void listener_start(struct listener *listener)
{
    atomic_init(&listener->ready, false);
    listener->metrics = metrics_new();
    struct admin_options options;
    admin_options_init(&options);
    options.metrics = listener->metrics;
    options.ready = is_ready;
    options.user = &listener->ready;
    options.body_bytes_max = 50;
    listener->admin = admin_new(&options);
    admin_route(listener->admin, "GET", "/v1/status", answer_status, NULL);
    admin_route(listener->admin, "GET", "/v1/databases/*", answer_echo, (void *)"get");
    admin_route(listener->admin, "POST", "/v1/databases/*", answer_echo, (void *)"post");
    GError *error = NULL;
    g_assert_true(admin_start(listener->admin, &error));
    g_assert_no_error(error);
}

static void listener_stop(struct listener *listener)
{
    admin_stop(listener->admin);
    metrics_free(listener->metrics);
}

static void assert_answer(struct listener *listener, const char *method, const char *path,
                          const char *body, long status, const char *type, const char *expected)
{
    struct exchange exchange;
    http_exchange(admin_port(listener->admin), method, path, body, body == NULL ? 0 : strlen(body),
                  NULL, &exchange);
    g_assert_cmpint(exchange.status, ==, status);
    g_autofree char *content_type = exchange_header(&exchange, "Content-Type");
    g_assert_cmpstr(content_type, ==, type);
    g_assert_cmpstr(exchange.body->str, ==, expected);
    exchange_clear(&exchange);
}

#define TEXT        "text/plain; charset=utf-8"
#define JSON        "application/json"
#define ERROR(text) "{\"error\":{\"kind\":\"bad_request\",\"text\":\"" text "\"}}\n"

static void test_builtin_paths(void)
{
    struct listener listener;
    listener_start(&listener);
    metric_counter_add(metrics_counter(listener.metrics, "x_total", "X.", NULL), 5);
    assert_answer(&listener, "GET", "/metrics", NULL, 200,
                  "text/plain; version=0.0.4; charset=utf-8",
                  "# HELP x_total X.\n# TYPE x_total counter\nx_total 5\n");
    assert_answer(&listener, "GET", "/healthz", NULL, 200, TEXT, "ok\n");
    assert_answer(&listener, "HEAD", "/healthz", NULL, 200, TEXT, "");
    assert_answer(&listener, "GET", "/readyz", NULL, 503, TEXT, "not ready: no configuration\n");
    atomic_store(&listener.ready, true);
    assert_answer(&listener, "GET", "/readyz", NULL, 200, TEXT, "ready\n");
    listener_stop(&listener);
}

static void test_routes(void)
{
    struct listener listener;
    listener_start(&listener);
    assert_answer(&listener, "GET", "/v1/status", NULL, 202, JSON, "{}\n");
    assert_answer(&listener, "GET", "/v1/databases/g7-b", NULL, 200, JSON,
                  "get g7-b none 7 0 [] -");
    assert_answer(&listener, "POST", "/v1/databases/x?count=100&all=true&name=a%20b", "body", 200,
                  JSON, "post x none 100 1 [body] a b");
    assert_answer(&listener, "GET", "/", NULL, 400, JSON, ERROR("the path is not known"));
    assert_answer(&listener, "GET", "/v1/status/", NULL, 400, JSON, ERROR("the path is not known"));
    assert_answer(&listener, "GET", "/v1/databases/", NULL, 400, JSON,
                  ERROR("the path is not known"));
    assert_answer(&listener, "GET", "/v1/databases/a/b", NULL, 400, JSON,
                  ERROR("the path is not known"));
    assert_answer(&listener, "DELETE", "/v1/status", NULL, 400, JSON,
                  ERROR("the path does not support this method"));
    listener_stop(&listener);
}

static void test_parameters(void)
{
    struct listener listener;
    listener_start(&listener);
    assert_answer(&listener, "GET", "/v1/databases/x?count=101", NULL, 400, JSON,
                  ERROR("count is not a number from 0 to 100"));
    assert_answer(&listener, "GET", "/v1/databases/x?count=", NULL, 400, JSON,
                  ERROR("count is not a number from 0 to 100"));
    assert_answer(&listener, "GET", "/v1/databases/x?all=yes", NULL, 400, JSON,
                  ERROR("all is neither true nor false"));
    g_autofree char *fits = g_strnfill(50, 'b');
    g_autofree char *expected = g_strdup_printf("post x none 7 0 [%s] -", fits);
    assert_answer(&listener, "POST", "/v1/databases/x", fits, 200, JSON, expected);
    g_autofree char *over = g_strnfill(51, 'b');
    assert_answer(&listener, "POST", "/v1/databases/x", over, 413, JSON,
                  "{\"error\":{\"kind\":\"too_large\",\"text\":\"the body is too large\"}}\n");
    listener_stop(&listener);
}

/* An error that is not of SW_ERROR is reported as an internal error. */
static void test_error_of_other_domain(void)
{
    struct admin_answer answer = {.body = g_string_new("partial")};
    g_autoptr(GError) error = g_error_new_literal(G_FILE_ERROR, G_FILE_ERROR_NOENT, "no \"x\"");
    admin_answer_error(&answer, error);
    g_assert_cmpuint(answer.status, ==, 500);
    g_assert_cmpstr(answer.body->str, ==,
                    "{\"error\":{\"kind\":\"internal\",\"text\":\"no \\\"x\\\"\"}}\n");
    g_string_free(answer.body, TRUE);
}

/* Addresses of callers that may use methods other than GET. */
static void test_loopback(void)
{
    static const struct {
        const char *address;
        bool loopback;
    } table[] = {
        {"127.0.0.1", true}, {"127.255.0.9", true}, {"128.0.0.1", false}, {"10.127.0.0", false},
        {"::1", true},       {"::2", false},        {"::", false},        {"0.0.0.0", false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
        union listen_address address;
        g_assert_true(listen_address_parse(table[i].address, 80, &address, NULL));
        g_assert_cmpuint(listen_address_port(&address), ==, 80);
        g_assert_cmpint(listen_address_is_loopback(&address.any), ==, table[i].loopback);
    }
}

static void test_start_errors(void)
{
    struct listener listener;
    listener_start(&listener);
    struct admin_options options;
    admin_options_init(&options);
    options.port = admin_port(listener.admin);
    struct admin *second = admin_new(&options);
    GError *error = NULL;
    g_assert_false(admin_start(second, &error));
    g_assert_error(error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION);
    g_clear_error(&error);
    admin_stop(second);
    listener_stop(&listener);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    g_test_add_func("/admin/builtin-paths", test_builtin_paths);
    g_test_add_func("/admin/routes", test_routes);
    g_test_add_func("/admin/parameters", test_parameters);
    g_test_add_func("/admin/error-of-other-domain", test_error_of_other_domain);
    g_test_add_func("/admin/loopback", test_loopback);
    g_test_add_func("/admin/start-errors", test_start_errors);
    int result = g_test_run();
    curl_global_cleanup();
    return result;
}
