#include "harness.h"

#include "core/error.h"
#include "generated/errors.h"

#include <netinet/in.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static const char key_text[] =
    "1 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n";

static bool find_tenant(const char *name, struct frontend_tenant *tenant, void *user,
                        GError **error)
{
    struct harness *harness = user;
    pthread_mutex_lock(&harness->gate);
    pthread_mutex_unlock(&harness->gate);
    if (strcmp(name, "early") == 0) {
        g_set_error_literal(error, SW_ERROR, ERROR_KIND_NOT_READY, "no configuration yet");
        return false;
    }
    if (strcmp(name, "hut") != 0) {
        g_set_error(error, SW_ERROR, ERROR_KIND_UNKNOWN_TENANT, "no tenant \"%s\"", name);
        return false;
    }
    tenant->group = HARNESS_GROUP;
    return true;
}

static void submit(struct frontend_call *call, struct request *request, void *user)
{
    struct harness *harness = user;
    struct submitted *submitted = g_new0(struct submitted, 1);
    submitted->call = call;
    submitted->request = request;
    pthread_mutex_lock(&harness->lock);
    g_queue_push_tail(&harness->submitted, submitted);
    pthread_cond_signal(&harness->arrived);
    pthread_mutex_unlock(&harness->lock);
}

void harness_start(struct harness *harness, void (*adjust)(struct frontend_options *options))
{
    GError *error = NULL;
    pthread_mutex_init(&harness->gate, NULL);
    pthread_mutex_init(&harness->lock, NULL);
    pthread_cond_init(&harness->arrived, NULL);
    g_queue_init(&harness->submitted);
    harness->keys = token_keys_parse(key_text, "test keys", &error);
    g_assert_no_error(error);
    struct frontend_options options;
    frontend_options_init(&options);
    options.token_keys = harness->keys;
    options.find_tenant = find_tenant;
    options.submit = submit;
    options.user = harness;
    if (adjust != NULL) {
        adjust(&options);
    }
    harness->frontend = frontend_start(&options, &error);
    g_assert_no_error(error);
    harness->port = frontend_port(harness->frontend);
    g_assert_cmpuint(harness->port, !=, 0);
}

unsigned harness_stop(struct harness *harness)
{
    unsigned aborted = harness->frontend == NULL ? 0 : frontend_stop(harness->frontend);
    g_assert_cmpuint(harness_waiting(harness), ==, 0);
    token_keys_free(harness->keys);
    pthread_cond_destroy(&harness->arrived);
    pthread_mutex_destroy(&harness->lock);
    pthread_mutex_destroy(&harness->gate);
    return aborted;
}

struct submitted *harness_take(struct harness *harness)
{
    pthread_mutex_lock(&harness->lock);
    while (g_queue_is_empty(&harness->submitted)) {
        pthread_cond_wait(&harness->arrived, &harness->lock);
    }
    struct submitted *submitted = g_queue_pop_head(&harness->submitted);
    pthread_mutex_unlock(&harness->lock);
    return submitted;
}

struct submitted *harness_take_within(struct harness *harness, unsigned milliseconds)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    uint64_t nanoseconds = (uint64_t)until.tv_nsec + milliseconds * UINT64_C(1000000);
    until.tv_sec += (time_t)(nanoseconds / UINT64_C(1000000000));
    until.tv_nsec = (long)(nanoseconds % UINT64_C(1000000000));
    pthread_mutex_lock(&harness->lock);
    bool in_time = true;
    while (in_time && g_queue_is_empty(&harness->submitted)) {
        in_time = pthread_cond_timedwait(&harness->arrived, &harness->lock, &until) == 0;
    }
    struct submitted *submitted = g_queue_pop_head(&harness->submitted);
    pthread_mutex_unlock(&harness->lock);
    return submitted;
}

unsigned harness_waiting(struct harness *harness)
{
    pthread_mutex_lock(&harness->lock);
    unsigned waiting = g_queue_get_length(&harness->submitted);
    pthread_mutex_unlock(&harness->lock);
    return waiting;
}

void harness_answer(struct submitted *submitted, const struct reply *reply)
{
    frontend_answer(submitted->call, reply);
    request_clear(submitted->request);
    g_free(submitted->request);
    g_free(submitted);
}

void harness_answer_text(struct submitted *submitted, const char *text, uint64_t term,
                         uint64_t offset)
{
    char *cell_text = (char *)text;
    struct sql_value cell = {.text = cell_text};
    struct sql_row row = {.cells = &cell, .cells_count = 1};
    char column_name[] = "note";
    struct sql_column column = {.name = column_name, .type_oid = 25};
    char command[] = "SELECT 1";
    struct sql_result result = {
        .command = command, .columns = &column, .columns_count = 1, .rows = &row, .rows_count = 1};
    struct group_position seen = {.group = HARNESS_GROUP, .term = term, .offset = offset};
    char daemon[] = "d1";
    char database[] = "g7-b";
    char role[] = "replica";
    struct reply reply;
    reply_init(&reply);
    reply.outcome = OUTCOME_DONE;
    reply.results = &result;
    reply.results_count = 1;
    reply.session = &seen;
    reply.session_count = 1;
    reply.served_by_daemon = daemon;
    reply.served_by_database = database;
    reply.served_by_role = role;
    harness_answer(submitted, &reply);
}

void harness_post(struct harness *harness, const char *path, const char *body, size_t length,
                  const char *const *headers, struct exchange *exchange)
{
    http_exchange(harness->port, "POST", path, body, length, headers, exchange);
}

struct poster {
    struct harness *harness;
    char *path;
    char *body;
    char **headers;
    struct exchange exchange;
    atomic_bool ended;
    pthread_t thread;
};

static void *run_poster(void *data)
{
    struct poster *poster = data;
    harness_post(poster->harness, poster->path, poster->body, strlen(poster->body),
                 (const char *const *)poster->headers, &poster->exchange);
    atomic_store(&poster->ended, true);
    return NULL;
}

struct poster *harness_post_start(struct harness *harness, const char *path, const char *body,
                                  const char *const *headers)
{
    struct poster *poster = g_new0(struct poster, 1);
    poster->harness = harness;
    poster->path = g_strdup(path);
    poster->body = g_strdup(body);
    poster->headers = g_strdupv((char **)headers);
    g_assert_cmpint(pthread_create(&poster->thread, NULL, run_poster, poster), ==, 0);
    return poster;
}

bool harness_has_ended(struct poster *poster)
{
    return atomic_load(&poster->ended);
}

void harness_join(struct poster *poster, struct exchange *exchange)
{
    pthread_join(poster->thread, NULL);
    *exchange = poster->exchange;
    g_free(poster->path);
    g_free(poster->body);
    g_strfreev(poster->headers);
    g_free(poster);
}

int harness_connect(struct harness *harness)
{
    int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(harness->port),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    if (connect(connection, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(connection);
        return -1;
    }
    return connection;
}

void harness_send(int connection, const char *text)
{
    size_t length = strlen(text);
    size_t sent = 0;
    while (sent < length) {
        ssize_t part = send(connection, text + sent, length - sent, MSG_NOSIGNAL);
        g_assert_cmpint(part, >, 0);
        sent += (size_t)part;
    }
}

GString *harness_receive_until(int connection, const char *end)
{
    GString *text = g_string_new(NULL);
    char byte = 0;
    while (!g_str_has_suffix(text->str, end) && recv(connection, &byte, 1, 0) == 1) {
        g_string_append_c(text, byte);
    }
    return text;
}

void harness_wait_idle(struct harness *harness)
{
    while (frontend_in_flight(harness->frontend) > 0) {
        g_usleep(1000);
    }
}
