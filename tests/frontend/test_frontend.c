/* Requests and answers over a loopback socket, with a fake daemon that answers the frontend. */
#include "generated/errors.h"
#include "harness.h"

#include <curl/curl.h>
#include <string.h>
#include <unistd.h>

#define STATEMENTS   "/v1/tenants/hut/statements"
#define TRANSACTIONS "/v1/tenants/hut/transactions"

static void assert_header(const struct exchange *exchange, const char *name, const char *expected)
{
    g_autofree char *value = exchange_header(exchange, name);
    g_assert_cmpstr(value, ==, expected);
}

static void assert_body_has(const struct exchange *exchange, const char *text)
{
    if (strstr(exchange->body->str, text) == NULL) {
        g_error("no %s in %s", text, exchange->body->str);
    }
}

static void test_statement(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    const char *const headers[] = {"Idempotency-Key: k1", "Request-Id: r1",
                                   "Request-Timeout-Ms: 5000", NULL};
    struct poster *poster = harness_post_start(
        &harness, STATEMENTS, "{\"sql\":\"SELECT $1\",\"parameters\":[12.5,null,\"x\",true]}",
        headers);
    struct submitted *submitted = harness_take(&harness);
    const struct request *request = submitted->request;
    g_assert_cmpint(request->kind, ==, REQUEST_KIND_STATEMENT);
    g_assert_cmpstr(request->request_id, ==, "r1");
    g_assert_cmpstr(request->tenant, ==, "hut");
    g_assert_cmpstr(request->idempotency_key, ==, "k1");
    g_assert_cmpuint(request->group, ==, HARNESS_GROUP);
    g_assert_cmpuint(request->budget_ms, <=, 5000);
    g_assert_true(request->read_only);
    g_assert_cmpuint(request->statements_count, ==, 1);
    g_assert_cmpstr(request->statements[0].sql, ==, "SELECT $1");
    g_assert_cmpint(request->statements[0].access, ==, ACCESS_MODE_READ);
    g_assert_cmpuint(request->statements[0].parameters_count, ==, 4);
    g_assert_cmpstr(request->statements[0].parameters[0].text, ==, "12.5");
    g_assert_true(request->statements[0].parameters[1].is_null);
    harness_answer_text(submitted, "fr\"ee", 3, 44);
    struct exchange exchange;
    harness_join(poster, &exchange);
    g_assert_cmpint(exchange.status, ==, 200);
    g_assert_cmpstr(
        exchange.body->str, ==,
        "{\"outcome\":\"done\",\"command\":\"SELECT 1\",\"columns\":[{\"name\":\"note\","
        "\"type\":\"text\"}],\"rows\":[[\"fr\\\"ee\"]]}\n");
    assert_header(&exchange, "Content-Type", "application/json");
    assert_header(&exchange, "Request-Id", "r1");
    assert_header(&exchange, "Swiftworks-Outcome", "done");
    assert_header(&exchange, "Swiftworks-Served-By",
                  "daemon=d1; database=g7-b; role=replica; term=3; offset=44");
    assert_header(&exchange, "Retry-After", NULL);
    assert_header(&exchange, "Swiftworks-Replayed", NULL);
    assert_header(&exchange, "Connection", NULL);
    exchange_clear(&exchange);
    g_assert_cmpuint(harness_stop(&harness), ==, 0);
}

/* Posts a body that the daemon must receive, answers it, and returns the request as received. */
static struct request *post_and_answer(struct harness *harness, const char *path, const char *body,
                                       const char *const *headers, const struct reply *reply,
                                       struct exchange *exchange)
{
    struct poster *poster = harness_post_start(harness, path, body, headers);
    struct submitted *submitted = harness_take(harness);
    struct request *request = g_new0(struct request, 1);
    request_copy(request, submitted->request);
    harness_answer(submitted, reply);
    harness_join(poster, exchange);
    return request;
}

static void free_request(struct request *request)
{
    request_clear(request);
    g_free(request);
}

static void test_batch(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    char insert[] = "INSERT 0 1";
    char select[] = "SELECT 0";
    struct sql_result results[] = {{.command = insert}, {.command = select}};
    struct reply reply;
    reply_init(&reply);
    reply.results = results;
    reply.results_count = 2;
    struct exchange exchange;
    struct request *request = post_and_answer(
        &harness, TRANSACTIONS,
        "{\"statements\":[{\"sql\":\"INSERT INTO t VALUES (1)\"},{\"sql\":\"SELECT 1\"}]}", NULL,
        &reply, &exchange);
    g_assert_cmpint(request->kind, ==, REQUEST_KIND_BATCH);
    g_assert_false(request->read_only);
    g_assert_cmpint(request->statements[0].access, ==, ACCESS_MODE_WRITE);
    g_assert_cmpint(request->statements[1].access, ==, ACCESS_MODE_READ);
    g_assert_cmpstr(exchange.body->str, ==,
                    "{\"outcome\":\"done\",\"results\":["
                    "{\"command\":\"INSERT 0 1\",\"columns\":[],\"rows\":[]},"
                    "{\"command\":\"SELECT 0\",\"columns\":[],\"rows\":[]}]}\n");
    free_request(request);
    exchange_clear(&exchange);
    request = post_and_answer(&harness, TRANSACTIONS,
                              "{\"statements\":[{\"sql\":\"SELECT 2\"},{\"sql\":\"SELECT 1\"}]}",
                              NULL, &reply, &exchange);
    g_assert_true(request->read_only);
    free_request(request);
    exchange_clear(&exchange);
    harness_stop(&harness);
}

static void test_interactive(void)
{
    static const struct {
        const char *path;
        const char *body;
        enum request_kind kind;
        const char *transaction;
        bool read_only;
    } steps[] = {
        {TRANSACTIONS, "{\"begin\":true}", REQUEST_KIND_BEGIN, NULL, false},
        {TRANSACTIONS, "{\"begin\":true,\"access\":\"read\"}", REQUEST_KIND_BEGIN, NULL, true},
        {TRANSACTIONS "/d1.5-9/statements", "{\"sql\":\"DELETE FROM t\"}", REQUEST_KIND_CONTINUE,
         "d1.5-9", false},
        {TRANSACTIONS "/d1.5-9/statements", "{\"sql\":\"TABLE t\"}", REQUEST_KIND_CONTINUE,
         "d1.5-9", true},
        {TRANSACTIONS "/d1.5-9/commit", "", REQUEST_KIND_COMMIT, "d1.5-9", false},
        {TRANSACTIONS "/d1.5-9/rollback", "{}", REQUEST_KIND_ROLLBACK, "d1.5-9", false},
    };
    struct harness harness;
    harness_start(&harness, NULL);
    char transaction[] = "d1.5-9";
    struct reply reply;
    reply_init(&reply);
    reply.transaction_id = transaction;
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        struct exchange exchange;
        struct request *request =
            post_and_answer(&harness, steps[i].path, steps[i].body, NULL, &reply, &exchange);
        g_assert_cmpint(request->kind, ==, steps[i].kind);
        g_assert_cmpstr(request->transaction_id, ==, steps[i].transaction);
        g_assert_cmpint(request->read_only, ==, steps[i].read_only);
        g_assert_cmpstr(exchange.body->str, ==,
                        "{\"outcome\":\"done\",\"transaction\":\"d1.5-9\"}\n");
        free_request(request);
        exchange_clear(&exchange);
    }
    harness_stop(&harness);
}

/* The fingerprint must distinguish a repeated request from another request with the same
 * idempotency key. */
static void test_fingerprint(void)
{
    static const struct {
        const char *path;
        const char *body;
    } requests[] = {
        {STATEMENTS, "{\"sql\":\"SELECT 1\"}"},
        {STATEMENTS, "{\"sql\":\"SELECT 2\"}"},
        {TRANSACTIONS "/a/statements", "{\"sql\":\"SELECT 1\"}"},
        {TRANSACTIONS "/b/statements", "{\"sql\":\"SELECT 1\"}"},
        {TRANSACTIONS "/a/commit", ""},
        {TRANSACTIONS "/a/rollback", ""},
    };
    struct harness harness;
    harness_start(&harness, NULL);
    struct reply reply;
    reply_init(&reply);
    uint64_t seen[G_N_ELEMENTS(requests)];
    for (size_t i = 0; i < 2 * G_N_ELEMENTS(requests); i++) {
        size_t index = i % G_N_ELEMENTS(requests);
        struct exchange exchange;
        struct request *request = post_and_answer(&harness, requests[index].path,
                                                  requests[index].body, NULL, &reply, &exchange);
        if (i == index) {
            seen[index] = request->fingerprint;
        }
        for (size_t other = 0; other < MIN(i, G_N_ELEMENTS(requests)); other++) {
            g_assert_cmpint(request->fingerprint == seen[other], ==, other == index);
        }
        free_request(request);
        exchange_clear(&exchange);
    }
    harness_stop(&harness);
}

static void test_session(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    const struct group_position sent[] = {{3, 1, 50}, {HARNESS_GROUP, 4, 100}};
    g_autofree char *token = token_encode(harness.keys, sent, 2);
    g_autofree char *header = g_strconcat("Swiftworks-Session: ", token, NULL);
    const char *const headers[] = {header, NULL};
    struct group_position seen[] = {{HARNESS_GROUP, 4, 120}, {3, 1, 10}, {9, 2, 2}};
    struct reply reply;
    reply_init(&reply);
    reply.session = seen;
    reply.session_count = 3;
    struct exchange exchange;
    struct request *request =
        post_and_answer(&harness, STATEMENTS, "{\"sql\":\"SELECT 1\"}", headers, &reply, &exchange);
    g_assert_cmpuint(request->session_count, ==, 2);
    g_assert_cmpuint(request->session[1].offset, ==, 100);
    free_request(request);
    g_autofree char *answered = exchange_header(&exchange, "Swiftworks-Session");
    struct group_position *positions = NULL;
    size_t count = 0;
    g_assert_true(token_decode(harness.keys, answered, &positions, &count, NULL));
    g_assert_cmpuint(count, ==, 3);
    g_assert_cmpuint(positions[0].group, ==, 3);
    g_assert_cmpuint(positions[0].offset, ==, 50);
    g_assert_cmpuint(positions[1].offset, ==, 120);
    g_assert_cmpuint(positions[2].group, ==, 9);
    g_free(positions);
    exchange_clear(&exchange);
    harness_stop(&harness);
}

/* A refusal returns the session token of the request, so that a client needs only the last token.
 */
static void test_session_of_refusal(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    const struct group_position sent[] = {{HARNESS_GROUP, 4, 100}};
    g_autofree char *token = token_encode(harness.keys, sent, 1);
    g_autofree char *header = g_strconcat("Swiftworks-Session: ", token, NULL);
    const char *const headers[] = {header, NULL};
    struct exchange exchange;
    harness_post(&harness, STATEMENTS, "{}", 2, headers, &exchange);
    g_assert_cmpint(exchange.status, ==, 400);
    assert_header(&exchange, "Swiftworks-Session", token);
    exchange_clear(&exchange);
    harness_stop(&harness);
}

/* A full token can't hold the position of another group, so the request is refused. */
static void test_session_full(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    struct group_position sent[TOKEN_GROUPS_MAX];
    for (uint32_t i = 0; i < TOKEN_GROUPS_MAX; i++) {
        sent[i] = (struct group_position){1000 + i, UINT64_MAX, UINT64_MAX};
    }
    g_autofree char *full = token_encode(harness.keys, sent, TOKEN_GROUPS_MAX);
    g_autofree char *header = g_strconcat("Swiftworks-Session: ", full, NULL);
    const char *const headers[] = {header, NULL};
    const char *body = "{\"sql\":\"SELECT 1\"}";
    struct exchange exchange;
    harness_post(&harness, STATEMENTS, body, strlen(body), headers, &exchange);
    g_assert_cmpint(exchange.status, ==, 400);
    assert_body_has(&exchange, "\"kind\":\"bad_session\",\"text\":\"the session token holds too "
                               "many groups\"");
    exchange_clear(&exchange);
    sent[0].group = HARNESS_GROUP;
    g_autofree char *fitting = token_encode(harness.keys, sent, TOKEN_GROUPS_MAX);
    g_autofree char *fitting_header = g_strconcat("Swiftworks-Session: ", fitting, NULL);
    const char *const fitting_headers[] = {fitting_header, NULL};
    struct reply reply;
    reply_init(&reply);
    free_request(post_and_answer(&harness, STATEMENTS, body, fitting_headers, &reply, &exchange));
    g_assert_cmpint(exchange.status, ==, 200);
    assert_header(&exchange, "Swiftworks-Session", fitting);
    exchange_clear(&exchange);
    harness_stop(&harness);
}

/* Sends a request with a token of maximum size and a header of `bytes` bytes. Returns the status.
 * Checks that the request was submitted if and only if the status is 200, and that the answer then
 * has the complete token. */
static long post_large_head(struct harness *harness, unsigned bytes)
{
    struct group_position sent[TOKEN_GROUPS_MAX];
    for (uint32_t i = 0; i < TOKEN_GROUPS_MAX; i++) {
        sent[i] = (struct group_position){UINT32_MAX - i, UINT64_MAX, UINT64_MAX};
    }
    sent[0].group = HARNESS_GROUP;
    g_autofree char *token = token_encode(harness->keys, sent, TOKEN_GROUPS_MAX);
    g_autofree char *session = g_strconcat("Swiftworks-Session: ", token, NULL);
    g_autofree char *value = g_strnfill(bytes, 'c');
    g_autofree char *other = g_strconcat("Cookie: ", value, NULL);
    const char *const headers[] = {session, other, NULL};
    struct poster *poster =
        harness_post_start(harness, STATEMENTS, "{\"sql\":\"SELECT 1\"}", headers);
    struct submitted *submitted = NULL;
    while (submitted == NULL && !harness_has_ended(poster)) {
        submitted = harness_take_within(harness, 10);
    }
    if (submitted != NULL) {
        struct reply reply;
        reply_init(&reply);
        harness_answer(submitted, &reply);
    }
    struct exchange exchange;
    harness_join(poster, &exchange);
    g_assert_true((exchange.status == 200) == (submitted != NULL));
    if (submitted != NULL) {
        assert_header(&exchange, "Swiftworks-Session", token);
    }
    long status = exchange.status;
    exchange_clear(&exchange);
    return status;
}

/* Headers over the limit are refused: a request must not run if the connection's memory is not
 * sufficient for its answer. Where the headers just fill that memory, libmicrohttpd closes the
 * connection without an answer. */
static void test_large_heads(void)
{
    enum { HEADS_SERVED = 4500, HEADS_ANSWERED = 12000, HEADS_MAX = 40000, STEP = 250 };
    struct harness harness;
    harness_start(&harness, NULL);
    for (unsigned bytes = 0; bytes <= HEADS_SERVED; bytes += STEP) {
        long status = post_large_head(&harness, bytes);
        g_assert_cmpint(status, ==, 200);
    }
    for (unsigned bytes = HEADS_SERVED + STEP; bytes <= HEADS_MAX; bytes += STEP) {
        long status = post_large_head(&harness, bytes);
        bool closed = status == 0 && bytes > HEADS_ANSWERED;
        g_assert_true(status == 413 || status == 431 || closed);
    }
    harness_stop(&harness);
}

struct refusal_case {
    const char *path;
    const char *header; /* an additional header, or NULL */
    const char *body;
    long status;
    const char *error; /* members of "error" */
};

#define VALID     "{\"sql\":\"SELECT 1\"}"
#define SIXTEEN   "0123456789abcdef"
#define LONG_128  SIXTEEN SIXTEEN SIXTEEN SIXTEEN SIXTEEN SIXTEEN SIXTEEN SIXTEEN
#define BAD(text) "{\"kind\":\"bad_request\",\"text\":\"" text "\"}"

static const struct refusal_case refusals[] = {
    {"/", NULL, VALID, 400, BAD("The path is not that of an endpoint.")},
    {"/v1/tenants/hut", NULL, VALID, 400, BAD("The path is not that of an endpoint.")},
    {"/v2/tenants/hut/statements", NULL, VALID, 400, BAD("The path is not that of an endpoint.")},
    {"/v1/tenants/hut/statement", NULL, VALID, 400, BAD("The path is not that of an endpoint.")},
    {"/v1/tenants/hut/statements/", NULL, VALID, 400, BAD("The path is not that of an endpoint.")},
    {"/v1/tenants/hut/statements/5/commit", NULL, "", 400,
     BAD("The path is not that of an endpoint.")},
    {"/v1/tenants/hut/transactions/5/abort", NULL, "", 400,
     BAD("The path is not that of an endpoint.")},
    {"/v1/tenants/hut/transactions/5/commit/x", NULL, "", 400,
     BAD("The path is not that of an endpoint.")},
    {"/v1/tenants//statements", NULL, VALID, 400,
     BAD("The tenant's name in the path is not valid.")},
    {"/v1/tenants/a%20b/statements", NULL, VALID, 400,
     BAD("The tenant's name in the path is not valid.")},
    {"/v1/tenants/" LONG_128 "x/statements", NULL, VALID, 400,
     BAD("The tenant's name in the path is not valid.")},
    {"/v1/tenants/hut/transactions/a%2Cb/commit", NULL, "", 400,
     BAD("The transaction id in the path is not valid.")},
    {"/v1/tenants/hotel/statements", NULL, VALID, 404,
     "{\"kind\":\"unknown_tenant\",\"text\":\"no tenant \\\"hotel\\\"\"}"},
    {STATEMENTS "?sql=x", NULL, VALID, 400, BAD("the path does not accept a query")},
    {STATEMENTS, "Idempotency-Key;", VALID, 400,
     BAD("Idempotency-Key is not 1 to 128 printable ASCII characters")},
    {STATEMENTS, "Idempotency-Key: " LONG_128 "x", VALID, 400,
     BAD("Idempotency-Key is not 1 to 128 printable ASCII characters")},
    {STATEMENTS, "Idempotency-Key: \xc3\xa9", VALID, 400,
     BAD("Idempotency-Key is not 1 to 128 printable ASCII characters")},
    {STATEMENTS, "Request-Timeout-Ms: 0", VALID, 400,
     BAD("Request-Timeout-Ms is not a number from 1 to 4294967295")},
    {STATEMENTS, "Request-Timeout-Ms: 4294967296", VALID, 400,
     BAD("Request-Timeout-Ms is not a number from 1 to 4294967295")},
    {STATEMENTS, "Request-Timeout-Ms: 1.5", VALID, 400,
     BAD("Request-Timeout-Ms is not a number from 1 to 4294967295")},
    {STATEMENTS, "Request-Timeout-Ms: -5", VALID, 400,
     BAD("Request-Timeout-Ms is not a number from 1 to 4294967295")},
    {STATEMENTS, "Request-Timeout-Ms: 99999999999999999999999", VALID, 400,
     BAD("Request-Timeout-Ms is not a number from 1 to 4294967295")},
    {STATEMENTS, "Request-Id: a b", VALID, 400,
     BAD("Request-Id is not 1 to 64 letters, digits, dots, hyphens or underscores")},
    {STATEMENTS, "Request-Id: " LONG_128, VALID, 400,
     BAD("Request-Id is not 1 to 64 letters, digits, dots, hyphens or underscores")},
    {STATEMENTS, "Swiftworks-Session: xyz!", VALID, 400,
     "{\"kind\":\"bad_session\",\"text\":\"The session token is not base64url.\"}"},
    {STATEMENTS, "Swiftworks-Session;", VALID, 400,
     "{\"kind\":\"bad_session\",\"text\":\"The session token is too short.\"}"},
    {STATEMENTS, NULL, "{\"sql\":}", 400,
     "{\"kind\":\"bad_request\",\"text\":\"the body is not valid JSON: it can not be "
     "parsed\",\"position\":8}"},
    {STATEMENTS, NULL, "{\"sql\":\"SELECT 1; SELECT 2\"}", 422,
     "{\"kind\":\"statement_refused\",\"text\":\"several statements are refused: send one, or a "
     "transaction with all of them\",\"position\":11}"},
    {STATEMENTS, NULL, "{\"sql\":\"SET a = 1\"}", 422,
     "{\"kind\":\"statement_refused\",\"text\":\"SET is refused: it changes the state of a "
     "session\",\"position\":1}"},
    {STATEMENTS, NULL, "{\"sql\":\"SELEC 1\"}", 400,
     "{\"kind\":\"bad_request\",\"text\":\"syntax error at or near "
     "\\\"SELEC\\\"\",\"position\":1}"},
    {STATEMENTS, NULL, "{\"sql\":\"DELETE FROM t\",\"access\":\"read\"}", 422,
     "{\"kind\":\"statement_refused\",\"text\":\"the statement writes but is declared a read\"}"},
    {TRANSACTIONS, NULL, "{\"statements\":[{\"sql\":\"SELECT 1\"},{\"sql\":\"BEGIN\"}]}", 422,
     "{\"kind\":\"statement_refused\",\"text\":\"statements[1]: a transaction statement is "
     "refused: transactions are begun and ended at the transactions endpoint\",\"position\":1}"},
    {TRANSACTIONS "/x/statements", NULL, "{\"sql\":\"SELECT pg_sleep(1)\"}", 422,
     "{\"kind\":\"statement_refused\",\"text\":\"function pg_sleep is refused: it is not "
     "served\",\"position\":8}"},
};

/* None of these requests is submitted to the daemon: harness_stop asserts that the queue is
 * empty. */
static void test_refusals(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
        const struct refusal_case *refusal = &refusals[i];
        g_test_message("case %zu", i);
        const char *const headers[] = {refusal->header, NULL};
        struct exchange exchange;
        harness_post(&harness, refusal->path, refusal->body, strlen(refusal->body), headers,
                     &exchange);
        g_assert_cmpint(exchange.status, ==, refusal->status);
        g_autofree char *expected = g_strdup_printf(
            "{\"outcome\":\"refused\",\"error\":%s,\"retry\":\"no\"}\n", refusal->error);
        g_assert_cmpstr(exchange.body->str, ==, expected);
        assert_header(&exchange, "Swiftworks-Outcome", "refused");
        assert_header(&exchange, "Retry-After", NULL);
        g_autofree char *id = exchange_header(&exchange, "Request-Id");
        g_assert_cmpuint(strlen(id), ==, 16);
        exchange_clear(&exchange);
    }
    harness_stop(&harness);
}

/* A refusal by the frontend that allows a retry has the headers with the retry delay. */
static void test_not_ready(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    struct exchange exchange;
    harness_post(&harness, "/v1/tenants/early/statements", VALID, strlen(VALID), NULL, &exchange);
    g_assert_cmpint(exchange.status, ==, 503);
    g_assert_cmpstr(exchange.body->str, ==,
                    "{\"outcome\":\"refused\",\"error\":{\"kind\":\"not_ready\",\"text\":\"no "
                    "configuration yet\"},\"retry\":\"yes\"}\n");
    assert_header(&exchange, "Retry-After", "1");
    assert_header(&exchange, "Retry-After-Ms", "1000");
    exchange_clear(&exchange);
    harness_stop(&harness);
}

static struct metrics *shared_metrics;

static void set_metrics(struct frontend_options *options)
{
    options->metrics = shared_metrics;
}

/* The frontend's own metrics after one done and one refused request. */
static void test_metrics(void)
{
    static const char *const expected[] = {
        "swiftworks_frontend_answers_total{outcome=\"done\"} 1\n",
        "swiftworks_frontend_answers_total{outcome=\"refused\"} 1\n",
        "swiftworks_frontend_errors_total{kind=\"bad_request\"} 1\n",
        "swiftworks_frontend_request_seconds_count 2\n",
        "swiftworks_frontend_requests_in_flight 0\n",
        "swiftworks_frontend_connections 0\n",
    };
    shared_metrics = metrics_new();
    struct harness harness;
    harness_start(&harness, set_metrics);
    struct reply reply;
    reply_init(&reply);
    struct exchange exchange;
    free_request(post_and_answer(&harness, STATEMENTS, VALID, NULL, &reply, &exchange));
    exchange_clear(&exchange);
    harness_post(&harness, STATEMENTS, "{}", 2, NULL, &exchange);
    exchange_clear(&exchange);
    harness_stop(&harness);
    g_autoptr(GString) text = g_string_new(NULL);
    metrics_render(shared_metrics, text);
    for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
        g_assert_nonnull(strstr(text->str, expected[i]));
    }
    metrics_free(shared_metrics);
}

static void test_repeated_header(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    const char *const headers[] = {"Idempotency-Key: a", "idempotency-key: b", NULL};
    struct exchange exchange;
    harness_post(&harness, STATEMENTS, VALID, strlen(VALID), headers, &exchange);
    g_assert_cmpint(exchange.status, ==, 400);
    assert_body_has(&exchange, BAD("Idempotency-Key is given more than once"));
    exchange_clear(&exchange);
    harness_stop(&harness);
}

static void test_method(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    int connection = harness_connect(&harness);
    harness_send(connection, "GET " STATEMENTS " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    g_autoptr(GString) answer = harness_receive_until(connection, "}\n");
    g_assert_true(g_str_has_prefix(answer->str, "HTTP/1.1 400 "));
    g_assert_nonnull(strstr(answer->str, BAD("the method is not POST")));
    close(connection);
    harness_stop(&harness);
}

static void set_small_limits(struct frontend_options *options)
{
    options->limits.body_bytes_max = 100;
    options->threads = 1;
}

/* Bodies at and over the limit; with a Content-Length, chunked, and with Expect: 100-continue. */
static void test_body_limit(void)
{
    struct harness harness;
    harness_start(&harness, set_small_limits);
    struct reply reply;
    reply_init(&reply);
    struct exchange exchange;
    g_autofree char *padding = g_strnfill(100 - strlen(VALID), ' ');
    g_autofree char *fits = g_strconcat(VALID, padding, NULL);
    free_request(post_and_answer(&harness, STATEMENTS, fits, NULL, &reply, &exchange));
    g_assert_cmpint(exchange.status, ==, 200);
    exchange_clear(&exchange);
    g_autofree char *over = g_strconcat(fits, " ", NULL);
    g_autofree char *huge = g_strnfill(3 * 1024 * 1024, ' ');
    const char *const bodies[] = {over, huge};
    static const char *const headers[][2] = {
        {"Expect:", NULL}, {"Transfer-Encoding: chunked", NULL}, {"Expect: 100-continue", NULL}};
    for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(headers); j++) {
            harness_post(&harness, STATEMENTS, bodies[i], strlen(bodies[i]), headers[j], &exchange);
            g_assert_cmpint(exchange.status, ==, 413);
            assert_body_has(&exchange, "{\"kind\":\"too_large\",\"text\":\"the body is over 100 "
                                       "bytes\"}");
            exchange_clear(&exchange);
        }
    }
    harness_stop(&harness);
}

static void test_budget(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    struct reply reply;
    reply_init(&reply);
    struct exchange exchange;
    struct request *request = post_and_answer(&harness, STATEMENTS, VALID, NULL, &reply, &exchange);
    g_assert_cmpuint(request->budget_ms, >, 0);
    g_assert_cmpuint(request->budget_ms, <=, 10000);
    free_request(request);
    exchange_clear(&exchange);
    static const char *const long_timeouts[][2] = {{"Request-Timeout-Ms: 60000", NULL},
                                                   {"Request-Timeout-Ms: 60001", NULL},
                                                   {"Request-Timeout-Ms: 4294967295", NULL}};
    for (size_t i = 0; i < G_N_ELEMENTS(long_timeouts); i++) {
        request = post_and_answer(&harness, STATEMENTS, VALID, long_timeouts[i], &reply, &exchange);
        g_assert_cmpuint(request->budget_ms, >, 10000);
        g_assert_cmpuint(request->budget_ms, <=, 60000);
        free_request(request);
        exchange_clear(&exchange);
    }
    harness_stop(&harness);
}

static enum outcome outcome_of(const struct error_entry *entry)
{
    switch (entry->ran) {
    case ERROR_RAN_NOT_RUN:
        return OUTCOME_REFUSED;
    case ERROR_RAN_ROLLED_BACK:
        return OUTCOME_FAILED;
    default:
        return OUTCOME_UNKNOWN;
    }
}

static void assert_retry(const struct exchange *exchange, enum error_retry retry, bool keyed)
{
    if (retry == ERROR_RETRY_SAME_KEY && !keyed) {
        retry = ERROR_RETRY_NO;
    }
    static const char *const names[] = {
        [ERROR_RETRY_NO] = "\"retry\":\"no\"}\n",
        [ERROR_RETRY_YES] = "\"retry\":\"yes\"}\n",
        [ERROR_RETRY_NEW_KEY] = "\"retry\":\"new_key\"}\n",
        [ERROR_RETRY_SAME_KEY] = "\"retry\":\"same_key\"}\n",
    };
    assert_body_has(exchange, names[retry]);
    bool may_retry = retry != ERROR_RETRY_NO;
    assert_header(exchange, "Retry-After", may_retry ? "2" : NULL);
    assert_header(exchange, "Retry-After-Ms", may_retry ? "1001" : NULL);
}

/* Answers with all error kinds match the table, with and without an idempotency key. */
static void test_error_table(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    static const char *const keys[][2] = {{NULL, NULL}, {"Idempotency-Key: k", NULL}};
    char sqlstate[] = "40001";
    for (unsigned i = 0; i < 2 * ERROR_KIND_COUNT; i++) {
        const struct error_entry *entry = error_entry_of((enum error_kind)(i / 2));
        bool keyed = i % 2 == 1;
        struct reply reply;
        reply_init(&reply);
        reply.outcome = outcome_of(entry);
        reply.error_kind = (uint32_t)entry->kind;
        reply.retry_after_ms = 1001;
        reply.sqlstate = sqlstate;
        struct exchange exchange;
        free_request(post_and_answer(&harness, STATEMENTS, VALID, keys[keyed], &reply, &exchange));
        g_assert_cmpint(exchange.status, ==, entry->http_status);
        g_autofree char *expected =
            g_strdup_printf("{\"outcome\":\"%s\",\"error\":{\"kind\":\"%s\",\"text\":\"%s\","
                            "\"sqlstate\":\"40001\"},\"retry\":",
                            outcome_name(reply.outcome), entry->name, entry->text);
        assert_body_has(&exchange, expected);
        assert_header(&exchange, "Swiftworks-Outcome", outcome_name(reply.outcome));
        assert_retry(&exchange, entry->retry, keyed);
        exchange_clear(&exchange);
    }
    harness_stop(&harness);
}

static const char *fake_reason_name(uint32_t reason)
{
    return reason == 4 ? "primary_read" : "other";
}

static void set_reason_name(struct frontend_options *options)
{
    options->reason_name = fake_reason_name;
}

static void test_answer_headers(void)
{
    struct harness harness;
    harness_start(&harness, set_reason_name);
    char daemon[] = "d1\r\nInjected: yes";
    struct reply reply;
    reply_init(&reply);
    reply.reason = 4;
    reply.replayed = true;
    reply.served_by_daemon = daemon;
    struct exchange exchange;
    free_request(post_and_answer(&harness, STATEMENTS, VALID, NULL, &reply, &exchange));
    assert_header(&exchange, "Swiftworks-Reason", "primary_read");
    assert_header(&exchange, "Swiftworks-Replayed", "true");
    assert_header(&exchange, "Swiftworks-Served-By", "daemon=d1??Injected: yes");
    assert_header(&exchange, "Injected", NULL);
    exchange_clear(&exchange);
    reply.outcome = OUTCOME_REFUSED;
    reply.error_kind = ERROR_KIND_OVERLOADED;
    free_request(post_and_answer(&harness, STATEMENTS, VALID, NULL, &reply, &exchange));
    assert_header(&exchange, "Retry-After", "1");
    assert_header(&exchange, "Retry-After-Ms", "1000");
    exchange_clear(&exchange);
    harness_stop(&harness);
}

static void test_start_errors(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    struct frontend_options options;
    frontend_options_init(&options);
    options.address = "localhost";
    GError *error = NULL;
    g_assert_null(frontend_start(&options, &error));
    g_assert_cmpint(error->code, ==, ERROR_KIND_INVALID_CONFIGURATION);
    g_assert_cmpstr(error->message, ==, "localhost is not a numeric IP address");
    g_clear_error(&error);
    options.address = "127.0.0.1";
    options.port = frontend_port(harness.frontend);
    g_assert_null(frontend_start(&options, &error));
    g_assert_cmpint(error->code, ==, ERROR_KIND_INVALID_CONFIGURATION);
    g_autofree char *expected = g_strdup_printf(
        "can not listen at 127.0.0.1 port %u: Address already in use", options.port);
    g_assert_cmpstr(error->message, ==, expected);
    g_clear_error(&error);
    harness_stop(&harness);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    g_test_add_func("/frontend/statement", test_statement);
    g_test_add_func("/frontend/batch", test_batch);
    g_test_add_func("/frontend/interactive", test_interactive);
    g_test_add_func("/frontend/fingerprint", test_fingerprint);
    g_test_add_func("/frontend/session", test_session);
    g_test_add_func("/frontend/session-of-refusal", test_session_of_refusal);
    g_test_add_func("/frontend/session-full", test_session_full);
    g_test_add_func("/frontend/large-heads", test_large_heads);
    g_test_add_func("/frontend/refusals", test_refusals);
    g_test_add_func("/frontend/not-ready", test_not_ready);
    g_test_add_func("/frontend/metrics", test_metrics);
    g_test_add_func("/frontend/repeated-header", test_repeated_header);
    g_test_add_func("/frontend/method", test_method);
    g_test_add_func("/frontend/body-limit", test_body_limit);
    g_test_add_func("/frontend/budget", test_budget);
    g_test_add_func("/frontend/error-table", test_error_table);
    g_test_add_func("/frontend/answer-headers", test_answer_headers);
    g_test_add_func("/frontend/start-errors", test_start_errors);
    int result = g_test_run();
    curl_global_cleanup();
    return result;
}
