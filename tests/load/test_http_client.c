/* Tests of the HTTP client and of a whole run, against a fake daemon. */
#include <curl/curl.h>
#include <glib/gstdio.h>

#include "fake_daemon.h"
#include "load/prepare.h"
#include "load/runner.h"

#define DONE_BODY "{\"outcome\":\"done\",\"rows\":[]}"

static const char *const SERVED_HEADERS[] = {
    "Swiftworks-Session",
    "token-2",
    "Swiftworks-Served-By",
    "daemon=d1; database=a2; role=replica; term=3; offset=41",
    NULL,
};

static struct client_answer call_once(struct client *client, const char *address,
                                      struct operation *operation)
{
    const struct client_request request = {
        .address = address,
        .tenant = "atlas",
        .operation = operation,
        .session_token = "token-1",
        .timeout_ms = 5000,
    };
    struct client_answer answer = {0};
    client->call(client, &request, &answer);
    return answer;
}

static void test_read_is_done(void)
{
    const struct fake_reply reply = {
        200, "{\"outcome\":\"done\",\"rows\":[[\"r.0/1\"],[\"r.0/2\"]]}", SERVED_HEADERS};
    struct fake_daemon *fake = fake_daemon_new(&reply, 1);
    struct client *client = http_client_new();
    struct operation *read = operation_read_new(1, "r.0/");
    struct client_answer answer = call_once(client, fake_daemon_address(fake), read);
    g_assert_cmpint(answer.outcome, ==, ATTEMPT_DONE);
    g_assert_cmpuint(answer.rows->len, ==, 2);
    g_assert_cmpstr(g_ptr_array_index(answer.rows, 1), ==, "r.0/2");
    g_assert_cmpstr(answer.session_token, ==, "token-2");
    g_assert_cmpstr(answer.served_by.daemon, ==, "d1");
    g_assert_cmpstr(answer.served_by.role, ==, "replica");
    g_assert_cmpuint(answer.served_by.term, ==, 3);
    g_assert_cmpuint(answer.served_by.offset, ==, 41);
    g_autofree char *token = fake_daemon_header(fake, "Swiftworks-Session");
    g_autofree char *timeout = fake_daemon_header(fake, "Request-Timeout-Ms");
    g_autofree char *key = fake_daemon_header(fake, "Idempotency-Key");
    g_autofree char *path = fake_daemon_path(fake);
    g_assert_cmpstr(token, ==, "token-1");
    g_assert_cmpstr(timeout, ==, "5000");
    g_assert_null(key);
    g_assert_cmpstr(path, ==, "/v1/tenants/atlas/statements");
    client_answer_clear(&answer);
    operation_free(read);
    client->free(client);
    fake_daemon_free(fake);
}

static void test_batch_is_one_transaction(void)
{
    const struct fake_reply reply = {200, "{\"outcome\":\"done\",\"results\":[]}", NULL};
    struct fake_daemon *fake = fake_daemon_new(&reply, 1);
    struct client *client = http_client_new();
    struct operation *batch = operation_batch_new(1, "r.0/", "r.0/1", "r");
    batch->key = g_strdup("key-1");
    struct client_answer answer = call_once(client, fake_daemon_address(fake), batch);
    g_assert_cmpint(answer.outcome, ==, ATTEMPT_DONE);
    g_autofree char *path = fake_daemon_path(fake);
    g_autofree char *key = fake_daemon_header(fake, "Idempotency-Key");
    g_autofree char *body = fake_daemon_body(fake);
    g_assert_cmpstr(path, ==, "/v1/tenants/atlas/transactions");
    g_assert_cmpstr(key, ==, "key-1");
    g_autoptr(JsonNode) node = json_from_string(body, NULL);
    JsonArray *statements = json_object_get_array_member(json_node_get_object(node), "statements");
    g_assert_cmpuint(json_array_get_length(statements), ==, 2);
    JsonObject *first = json_array_get_object_element(statements, 0);
    g_assert_cmpstr(json_object_get_string_member(first, "access"), ==, "write");
    client_answer_clear(&answer);
    operation_free(batch);
    client->free(client);
    fake_daemon_free(fake);
}

static void test_refusal(void)
{
    static const char *const headers[] = {"Retry-After-Ms", "340", NULL};
    const struct fake_reply reply = {503,
                                     "{\"outcome\":\"refused\",\"error\":{\"kind\":\"overloaded\","
                                     "\"text\":\"No slot.\"},\"retry\":\"yes\"}",
                                     headers};
    struct fake_daemon *fake = fake_daemon_new(&reply, 1);
    struct client *client = http_client_new();
    struct operation *entry = operation_entry_new(1, "r.0/", "r.0/1");
    struct client_answer answer = call_once(client, fake_daemon_address(fake), entry);
    g_assert_cmpint(answer.outcome, ==, ATTEMPT_REFUSED);
    g_assert_cmpstr(answer.error, ==, "overloaded");
    g_assert_cmpint(answer.retry, ==, ERROR_RETRY_YES);
    g_assert_cmpuint(answer.retry_after_ms, ==, 340);
    client_answer_clear(&answer);
    operation_free(entry);
    client->free(client);
    fake_daemon_free(fake);
}

/* A truncated or foreign answer makes the attempt lost: it must never pass for a complete one. */
static void test_invalid_answers_are_lost(void)
{
    static const char *const BODIES[] = {
        "",
        "<html>",
        "[]",
        "{\"outcome\":\"done\",\"rows\":[[\"r.0/1\"],[",
        "{\"outcome\":\"done\"}",
        "{\"outcome\":\"perhaps\"}",
        "{\"outcome\":\"refused\"}",
        "{\"outcome\":\"refused\",\"error\":{\"kind\":\"overloaded\"},\"retry\":\"often\"}",
    };
    struct client *client = http_client_new();
    struct operation *read = operation_read_new(1, "r.0/");
    for (size_t i = 0; i < G_N_ELEMENTS(BODIES); i++) {
        const struct fake_reply reply = {200, BODIES[i], NULL};
        struct fake_daemon *fake = fake_daemon_new(&reply, 1);
        struct client_answer answer = call_once(client, fake_daemon_address(fake), read);
        g_assert_cmpint(answer.outcome, ==, ATTEMPT_LOST);
        client_answer_clear(&answer);
        fake_daemon_free(fake);
    }
    operation_free(read);
    client->free(client);
}

/* libcurl resends a request when a kept-alive connection closes without a reply. The write may have
 * run by then, so the client must send it only once. */
static void test_dead_connection_sends_once(void)
{
    const struct fake_reply replies[] = {{200, DONE_BODY, NULL}, {0, NULL, NULL}};
    struct fake_daemon *fake = fake_daemon_new(replies, G_N_ELEMENTS(replies));
    struct client *client = http_client_new();
    struct operation *entry = operation_entry_new(1, "r.0/", "r.0/1");
    struct client_answer first = call_once(client, fake_daemon_address(fake), entry);
    g_assert_cmpint(first.outcome, ==, ATTEMPT_DONE);
    struct client_answer second = call_once(client, fake_daemon_address(fake), entry);
    g_assert_cmpint(second.outcome, ==, ATTEMPT_LOST);
    g_assert_cmpuint(fake_daemon_requests(fake), ==, 2);
    client_answer_clear(&first);
    client_answer_clear(&second);
    operation_free(entry);
    client->free(client);
    fake_daemon_free(fake);
}

static void test_no_listener_is_not_sent(void)
{
    const struct fake_reply reply = {200, DONE_BODY, NULL};
    struct fake_daemon *fake = fake_daemon_new(&reply, 1);
    g_autofree char *address = g_strdup(fake_daemon_address(fake));
    fake_daemon_free(fake);
    struct client *client = http_client_new();
    struct operation *entry = operation_entry_new(1, "r.0/", "r.0/1");
    struct client_answer answer = call_once(client, address, entry);
    g_assert_cmpint(answer.outcome, ==, ATTEMPT_NOT_SENT);
    client_answer_clear(&answer);
    operation_free(entry);
    client->free(client);
}

static struct runner_options run_options(GStrv addresses, GStrv tenants)
{
    return (struct runner_options){
        .addresses = addresses,
        .tenants = tenants,
        .client_new = http_client_new,
        .workload = {.run = "r", .sessions = 2, .seed = 3, .batch_share = 0.5},
        .duration_s = 0.3,
        .pause_ms = 5,
        .timeout_ms = 2000,
        .operation_timeout_ms = 2000,
        .gap_threshold_ms = 100,
    };
}

/* A run records each of its attempts, and its sessions use the daemons alternately. */
static void test_run_records_and_moves(void)
{
    const struct fake_reply reply = {200, DONE_BODY, SERVED_HEADERS};
    struct fake_daemon *fakes[2] = {fake_daemon_new(&reply, 1), fake_daemon_new(&reply, 1)};
    char *addresses[] = {(char *)fake_daemon_address(fakes[0]),
                         (char *)fake_daemon_address(fakes[1]), NULL};
    char *tenants[] = {"atlas", NULL};
    struct runner_options options = run_options(addresses, tenants);
    g_autofree char *path = NULL;
    int descriptor = g_file_open_tmp("historyXXXXXX", &path, NULL);
    options.history = fdopen(descriptor, "w");
    uint64_t ended_ns;
    struct summary *summary = runner_run(&options, &ended_ns);
    fclose(options.history);
    g_autoptr(GPtrArray) records =
        g_ptr_array_new_with_free_func((GDestroyNotify)history_record_free);
    g_autoptr(GError) error = NULL;
    history_read_file(path, records, &error);
    g_assert_no_error(error);
    g_unlink(path);
    guint received = fake_daemon_requests(fakes[0]) + fake_daemon_requests(fakes[1]);
    g_assert_cmpuint(fake_daemon_requests(fakes[0]), >, 0);
    g_assert_cmpuint(fake_daemon_requests(fakes[1]), >, 0);
    g_assert_cmpuint(records->len, ==, received);
    g_assert_cmpuint(summary->attempts, ==, received);
    g_assert_cmpuint(summary->by_outcome[ATTEMPT_DONE], ==, received);
    summary_free(summary);
    fake_daemon_free(fakes[0]);
    fake_daemon_free(fakes[1]);
}

/* Refusals are followed as the answer says: after a closed key a new key is used, with the same id.
 */
static void test_run_follows_the_answer(void)
{
    const struct fake_reply replies[] = {
        {409, "{\"outcome\":\"refused\",\"error\":{\"kind\":\"key_closed\"},\"retry\":\"new_key\"}",
         NULL},
        {200, DONE_BODY, NULL},
    };
    struct fake_daemon *fake = fake_daemon_new(replies, G_N_ELEMENTS(replies));
    char *addresses[] = {(char *)fake_daemon_address(fake), NULL};
    char *tenants[] = {"atlas", NULL};
    struct runner_options options = run_options(addresses, tenants);
    options.workload.sessions = 1;
    g_autofree char *path = NULL;
    int descriptor = g_file_open_tmp("historyXXXXXX", &path, NULL);
    options.history = fdopen(descriptor, "w");
    uint64_t ended_ns;
    summary_free(runner_run(&options, &ended_ns));
    fclose(options.history);
    g_autoptr(GPtrArray) records =
        g_ptr_array_new_with_free_func((GDestroyNotify)history_record_free);
    g_assert_true(history_read_file(path, records, NULL));
    g_unlink(path);
    g_assert_cmpuint(records->len, >=, 2);
    const struct history_record *first = g_ptr_array_index(records, 0);
    const struct history_record *second = g_ptr_array_index(records, 1);
    g_assert_cmpstr(first->id, ==, second->id);
    g_assert_cmpstr(first->key, !=, second->key);
    g_assert_cmpuint(second->attempt, ==, 1);
    fake_daemon_free(fake);
}

static void test_prepare_retries_until_ready(void)
{
    const struct fake_reply replies[] = {
        {503, "{\"outcome\":\"refused\",\"error\":{\"kind\":\"not_ready\"},\"retry\":\"yes\"}",
         NULL},
        {200, DONE_BODY, SERVED_HEADERS},
    };
    struct fake_daemon *fake = fake_daemon_new(replies, G_N_ELEMENTS(replies));
    char *addresses[] = {(char *)fake_daemon_address(fake), NULL};
    char *tenants[] = {"atlas", NULL};
    struct runner_options options = run_options(addresses, tenants);
    g_autoptr(GError) error = NULL;
    g_autofree char *token = NULL;
    g_assert_true(prepare_tables(&options, &token, &error));
    g_assert_no_error(error);
    g_assert_cmpstr(token, ==, "token-2");
    g_assert_cmpuint(fake_daemon_requests(fake), ==, OPERATION_SCHEMA_COUNT + 1);
    fake_daemon_free(fake);
}

int main(int count, char **arguments)
{
    g_test_init(&count, &arguments, NULL);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    g_test_add_func("/load/http_client/read_is_done", test_read_is_done);
    g_test_add_func("/load/http_client/batch_is_one_transaction", test_batch_is_one_transaction);
    g_test_add_func("/load/http_client/refusal", test_refusal);
    g_test_add_func("/load/http_client/invalid_answers_are_lost", test_invalid_answers_are_lost);
    g_test_add_func("/load/http_client/dead_connection_sends_once",
                    test_dead_connection_sends_once);
    g_test_add_func("/load/http_client/no_listener_is_not_sent", test_no_listener_is_not_sent);
    g_test_add_func("/load/runner/records_and_moves", test_run_records_and_moves);
    g_test_add_func("/load/runner/follows_the_answer", test_run_follows_the_answer);
    g_test_add_func("/load/prepare/retries_until_ready", test_prepare_retries_until_ready);
    int result = g_test_run();
    curl_global_cleanup();
    return result;
}
