/* Late answers, answers out of order, callers that disconnect, and the stop, over a loopback
 * socket. The tests synchronise on events, not on delays. */
#include "generated/errors.h"
#include "harness.h"

#include <curl/curl.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define STATEMENTS "/v1/tenants/hut/statements"
#define VALID      "{\"sql\":\"SELECT 1\"}"

/* A complete HTTP request, for raw connections. */
#define RAW_REQUEST(id)                                                                            \
    "POST " STATEMENTS " HTTP/1.1\r\nHost: x\r\nRequest-Id: " id                                   \
    "\r\nContent-Length: 18\r\n\r\n" VALID

#define CLIENTS            12
#define REQUESTS_A_CLIENT  25
#define ANSWERERS          3
#define SHUFFLED_AT_A_TIME 6

/* A caller that checks that every answer belongs to its own request. */
struct echo_client {
    struct harness *harness;
    unsigned number;
    pthread_t thread;
};

static void *run_echo_client(void *data)
{
    struct echo_client *client = data;
    for (unsigned i = 0; i < REQUESTS_A_CLIENT; i++) {
        g_autofree char *text = g_strdup_printf("client %u request %u", client->number, i);
        g_autofree char *body =
            g_strdup_printf("{\"sql\":\"SELECT $1\",\"parameters\":[\"%s\"]}", text);
        g_autofree char *id = g_strdup_printf("c%u-r%u", client->number, i);
        g_autofree char *header = g_strconcat("Request-Id: ", id, NULL);
        const char *const headers[] = {header, NULL};
        struct exchange exchange;
        harness_post(client->harness, STATEMENTS, body, strlen(body), headers, &exchange);
        g_assert_cmpint(exchange.status, ==, 200);
        g_autofree char *expected = g_strdup_printf("\"rows\":[[\"%s\"]]}\n", text);
        g_assert_true(g_str_has_suffix(exchange.body->str, expected));
        g_autofree char *answered_id = exchange_header(&exchange, "Request-Id");
        g_assert_cmpstr(answered_id, ==, id);
        exchange_clear(&exchange);
    }
    return NULL;
}

/* Answers requests in random order, each with its own parameter. */
static void answer_shuffled(struct submitted **taken, size_t count, GRand *random)
{
    for (size_t left = count; left > 0; left--) {
        size_t index = (size_t)g_rand_int_range(random, 0, (gint32)left);
        struct submitted *submitted = taken[index];
        taken[index] = taken[left - 1];
        g_autofree char *text = g_strdup(submitted->request->statements[0].parameters[0].text);
        harness_answer_text(submitted, text, 1, left);
    }
}

struct answerer {
    struct harness *harness;
    GRand *random;
    gint *answered; /* by all answerers; atomic */
    pthread_t thread;
};

static void *run_answerer(void *data)
{
    struct answerer *answerer = data;
    struct submitted *taken[SHUFFLED_AT_A_TIME];
    while (g_atomic_int_get(answerer->answered) < CLIENTS * REQUESTS_A_CLIENT) {
        size_t count = 0;
        while (count < SHUFFLED_AT_A_TIME) {
            taken[count] = harness_take_within(answerer->harness, 2);
            if (taken[count] == NULL) {
                break;
            }
            count++;
        }
        answer_shuffled(taken, count, answerer->random);
        g_atomic_int_add(answerer->answered, (gint)count);
    }
    return NULL;
}

static void test_answers_never_mix(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    gint answered = 0;
    struct answerer answerers[ANSWERERS];
    for (guint32 i = 0; i < ANSWERERS; i++) {
        answerers[i] = (struct answerer){&harness, g_rand_new_with_seed(i), &answered, 0};
        pthread_create(&answerers[i].thread, NULL, run_answerer, &answerers[i]);
    }
    struct echo_client clients[CLIENTS];
    for (unsigned i = 0; i < CLIENTS; i++) {
        clients[i] = (struct echo_client){&harness, i, 0};
        pthread_create(&clients[i].thread, NULL, run_echo_client, &clients[i]);
    }
    for (unsigned i = 0; i < CLIENTS; i++) {
        pthread_join(clients[i].thread, NULL);
    }
    for (unsigned i = 0; i < ANSWERERS; i++) {
        pthread_join(answerers[i].thread, NULL);
        g_rand_free(answerers[i].random);
    }
    g_assert_cmpint(answered, ==, CLIENTS * REQUESTS_A_CLIENT);
    g_assert_cmpuint(harness_stop(&harness), ==, 0);
}

/* The first request is answered after all later ones. */
static void test_late_answer(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    struct poster *first = harness_post_start(&harness, STATEMENTS, VALID, NULL);
    struct submitted *late = harness_take(&harness);
    for (unsigned i = 0; i < 3; i++) {
        struct poster *next = harness_post_start(&harness, STATEMENTS, VALID, NULL);
        harness_answer_text(harness_take(&harness), "next", 1, 1);
        struct exchange exchange;
        harness_join(next, &exchange);
        g_assert_nonnull(strstr(exchange.body->str, "\"next\""));
        exchange_clear(&exchange);
    }
    harness_answer_text(late, "late", 1, 1);
    struct exchange exchange;
    harness_join(first, &exchange);
    g_assert_nonnull(strstr(exchange.body->str, "\"late\""));
    exchange_clear(&exchange);
    harness_stop(&harness);
}

/* Two requests pipelined on one connection are processed and answered in order. */
static void test_pipelined(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    int connection = harness_connect(&harness);
    harness_send(connection, RAW_REQUEST("one") RAW_REQUEST("two"));
    struct submitted *first = harness_take(&harness);
    g_assert_cmpstr(first->request->request_id, ==, "one");
    g_assert_cmpuint(harness_waiting(&harness), ==, 0);
    harness_answer_text(first, "first", 1, 1);
    struct submitted *second = harness_take(&harness);
    g_assert_cmpstr(second->request->request_id, ==, "two");
    g_autoptr(GString) first_answer = harness_receive_until(connection, "}\n");
    g_assert_nonnull(strstr(first_answer->str, "[[\"first\"]]"));
    harness_answer_text(second, "second", 1, 1);
    g_autoptr(GString) second_answer = harness_receive_until(connection, "}\n");
    g_assert_nonnull(strstr(second_answer->str, "[[\"second\"]]"));
    g_assert_null(strstr(second_answer->str, "first"));
    close(connection);
    harness_stop(&harness);
}

/* Closes a connection with a TCP reset. */
static void reset(int connection)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    close(connection);
}

static void test_caller_disconnects_before_answer(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    for (unsigned i = 0; i < 20; i++) {
        int connection = harness_connect(&harness);
        harness_send(connection, RAW_REQUEST("gone"));
        struct submitted *submitted = harness_take(&harness);
        if (i % 2 == 0) {
            reset(connection);
        } else {
            close(connection);
        }
        harness_answer_text(submitted, "not received", 1, 1);
    }
    harness_wait_idle(&harness);
    struct poster *poster = harness_post_start(&harness, STATEMENTS, VALID, NULL);
    harness_answer_text(harness_take(&harness), "still served", 1, 1);
    struct exchange exchange;
    harness_join(poster, &exchange);
    g_assert_nonnull(strstr(exchange.body->str, "still served"));
    exchange_clear(&exchange);
    g_assert_cmpuint(harness_stop(&harness), ==, 0);
}

/* Callers disconnect while their answers are written; the two events race. */
static void test_caller_disconnects_during_answer(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    g_autofree char *large = g_strnfill(1 << 20, 'x');
    for (unsigned i = 0; i < 40; i++) {
        int connection = harness_connect(&harness);
        harness_send(connection, RAW_REQUEST("racing"));
        struct submitted *submitted = harness_take(&harness);
        harness_answer_text(submitted, large, 1, 1);
        reset(connection);
    }
    harness_wait_idle(&harness);
    g_assert_cmpuint(harness_stop(&harness), ==, 0);
}

static void set_short_receive(struct frontend_options *options)
{
    options->receive_s = 1;
}

static void test_caller_disconnects_in_body(void)
{
    struct harness harness;
    harness_start(&harness, set_short_receive);
    for (unsigned i = 0; i < 20; i++) {
        int connection = harness_connect(&harness);
        harness_send(connection, "POST " STATEMENTS " HTTP/1.1\r\nHost: x\r\n"
                                 "Content-Length: 18\r\n\r\n{\"sql\":");
        if (i % 2 == 0) {
            reset(connection);
        } else {
            close(connection);
        }
    }
    struct poster *poster = harness_post_start(&harness, STATEMENTS, VALID, NULL);
    harness_answer_text(harness_take(&harness), "complete", 1, 1);
    struct exchange exchange;
    harness_join(poster, &exchange);
    exchange_clear(&exchange);
    harness_wait_idle(&harness);
    harness_stop(&harness);
}

/* Sends a request on a connection, answers it, and returns the answer. */
static GString *exchange_raw(struct harness *harness, int connection)
{
    harness_send(connection, RAW_REQUEST("raw"));
    harness_answer_text(harness_take(harness), "raw", 1, 1);
    return harness_receive_until(connection, "}\n");
}

static void test_stop_accepting(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    int idle = harness_connect(&harness);
    g_autoptr(GString) before = exchange_raw(&harness, idle);
    g_assert_null(strstr(before->str, "Connection: close"));
    struct poster *poster = harness_post_start(&harness, STATEMENTS, VALID, NULL);
    struct submitted *in_flight = harness_take(&harness);

    frontend_stop_accepting(harness.frontend);
    frontend_stop_accepting(harness.frontend);
    g_assert_cmpint(harness_connect(&harness), ==, -1);
    g_assert_cmpuint(frontend_in_flight(harness.frontend), ==, 1);
    g_autoptr(GString) after = exchange_raw(&harness, idle);
    g_assert_nonnull(strstr(after->str, "HTTP/1.1 200 "));
    g_assert_nonnull(strstr(after->str, "Connection: close"));
    g_autoptr(GString) end = harness_receive_until(idle, "never sent");
    g_assert_cmpuint(end->len, ==, 0);
    close(idle);

    harness_answer_text(in_flight, "finished", 1, 1);
    struct exchange exchange;
    harness_join(poster, &exchange);
    g_assert_cmpint(exchange.status, ==, 200);
    g_assert_nonnull(strstr(exchange.body->str, "finished"));
    exchange_clear(&exchange);
    while (frontend_connections(harness.frontend) > 0) {
        g_usleep(1000);
    }
    g_assert_cmpuint(harness_stop(&harness), ==, 0);
}

static void set_one_thread(struct frontend_options *options)
{
    options->threads = 1;
}

/* A caller whose connection is in the listen backlog at the stop is served, not reset. */
static void test_stop_accepting_with_queue(void)
{
    struct harness harness;
    harness_start(&harness, set_one_thread);
    pthread_mutex_lock(&harness.gate);
    struct poster *first = harness_post_start(&harness, STATEMENTS, VALID, NULL);
    while (frontend_in_flight(harness.frontend) == 0) {
        g_usleep(1000);
    }
    int queued = harness_connect(&harness);
    harness_send(queued, RAW_REQUEST("queued"));
    frontend_stop_accepting(harness.frontend);
    pthread_mutex_unlock(&harness.gate);
    harness_answer_text(harness_take(&harness), "served", 1, 1);
    harness_answer_text(harness_take(&harness), "served", 1, 1);
    g_autoptr(GString) answer = harness_receive_until(queued, "}\n");
    g_assert_nonnull(strstr(answer->str, "[[\"served\"]]"));
    close(queued);
    struct exchange exchange;
    harness_join(first, &exchange);
    g_assert_cmpint(exchange.status, ==, 200);
    exchange_clear(&exchange);
    harness_stop(&harness);
}

static void set_one_connection(struct frontend_options *options)
{
    options->threads = 1;
    options->connections_max = 1;
}

/* Connections over the limit wait until another one is closed; they are not refused. */
static void test_connections_full(void)
{
    struct harness harness;
    harness_start(&harness, set_one_connection);
    int first = harness_connect(&harness);
    g_autoptr(GString) first_answer = exchange_raw(&harness, first);
    int second = harness_connect(&harness);
    harness_send(second, RAW_REQUEST("waiting"));
    g_autoptr(GString) again = exchange_raw(&harness, first);
    g_assert_cmpuint(harness_waiting(&harness), ==, 0);
    g_assert_cmpuint(frontend_connections(harness.frontend), ==, 1);
    close(first);
    harness_answer_text(harness_take(&harness), "after all", 1, 1);
    g_autoptr(GString) second_answer = harness_receive_until(second, "}\n");
    g_assert_nonnull(strstr(second_answer->str, "after all"));
    close(second);
    harness_stop(&harness);
}

/* A forced stop answers open requests with an unknown outcome and drops their later answers. */
static void test_stop_aborts(void)
{
    struct harness harness;
    harness_start(&harness, NULL);
    struct poster *posters[3];
    struct submitted *open[3];
    for (size_t i = 0; i < 3; i++) {
        posters[i] = harness_post_start(&harness, STATEMENTS, VALID, NULL);
        open[i] = harness_take(&harness);
    }
    g_assert_cmpuint(frontend_stop(harness.frontend), ==, 3);
    for (size_t i = 0; i < 3; i++) {
        struct exchange exchange;
        harness_join(posters[i], &exchange);
        g_assert_cmpint(exchange.status, ==, 504);
        g_assert_nonnull(strstr(exchange.body->str, "\"outcome\":\"unknown\""));
        exchange_clear(&exchange);
        harness_answer_text(open[i], "too late", 1, 1);
    }
    harness.frontend = NULL;
    harness_stop(&harness);
}

struct load_answerer {
    struct harness *harness;
    atomic_bool last; /* no client sends requests any more: only queued ones remain */
};

/* Answers all requests, also those that the stop has already answered. */
static void *answer_load(void *data)
{
    struct load_answerer *answerer = data;
    bool last = false;
    while (!last) {
        last = atomic_load(&answerer->last);
        struct submitted *submitted = harness_take_within(answerer->harness, 100);
        while (submitted != NULL) {
            harness_answer_text(submitted, "x", 1, 1);
            submitted = harness_take_within(answerer->harness, 100);
        }
    }
    return NULL;
}

static void *post_until_refused(void *data)
{
    struct harness *harness = data;
    int connection = harness_connect(harness);
    while (connection >= 0) {
        if (send(connection, RAW_REQUEST("busy"), strlen(RAW_REQUEST("busy")), MSG_NOSIGNAL) < 0) {
            break;
        }
        g_autoptr(GString) answer = harness_receive_until(connection, "}\n");
        if (answer->len == 0 || strstr(answer->str, "Connection: close") != NULL) {
            break;
        }
    }
    close(connection);
    return NULL;
}

/* Answers race with the stop: each call is answered exactly once. */
static void test_stop_under_load(void)
{
    for (unsigned round = 0; round < 10; round++) {
        struct harness harness;
        harness_start(&harness, NULL);
        pthread_t clients[4];
        for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
            pthread_create(&clients[i], NULL, post_until_refused, &harness);
        }
        pthread_t answering;
        struct load_answerer answerer = {&harness, false};
        pthread_create(&answering, NULL, answer_load, &answerer);
        harness_answer_text(harness_take(&harness), "x", 1, 1);
        frontend_stop(harness.frontend);
        for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
            pthread_join(clients[i], NULL);
        }
        atomic_store(&answerer.last, true);
        pthread_join(answering, NULL);
        harness.frontend = NULL;
        harness_stop(&harness);
    }
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    g_test_add_func("/frontend/answers-never-mix", test_answers_never_mix);
    g_test_add_func("/frontend/late-answer", test_late_answer);
    g_test_add_func("/frontend/pipelined", test_pipelined);
    g_test_add_func("/frontend/caller-disconnects/before-answer",
                    test_caller_disconnects_before_answer);
    g_test_add_func("/frontend/caller-disconnects/during-answer",
                    test_caller_disconnects_during_answer);
    g_test_add_func("/frontend/caller-disconnects/in-body", test_caller_disconnects_in_body);
    g_test_add_func("/frontend/stop-accepting", test_stop_accepting);
    g_test_add_func("/frontend/stop-accepting-with-queue", test_stop_accepting_with_queue);
    g_test_add_func("/frontend/connections-full", test_connections_full);
    g_test_add_func("/frontend/stop-aborts", test_stop_aborts);
    g_test_add_func("/frontend/stop-under-load", test_stop_under_load);
    int result = g_test_run();
    curl_global_cleanup();
    return result;
}
