/* An HTTP client with libcurl; see the header. */
#include "http_call.h"

#include <curl/curl.h>
#include <stdatomic.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

/* Longer than any request's deadline: an answer that is later than this was never sent. */
#define HTTP_TIMEOUT_MS 60000L

const char *http_loopback(void)
{
    static char address[INET_ADDRSTRLEN];
    static gsize made = 0;
    if (g_once_init_enter(&made)) {
        /* An address in 127.16.0.0/12 from the lower 20 bits of the process id, which has at most
         * 22. */
        guint32 number = (guint32)getpid() & 0xfffff;
        g_snprintf(address, sizeof(address), "127.%u.%u.%u", 16 + (number >> 16),
                   (number >> 8) & 0xff, number & 0xff);
        g_once_init_leave(&made, 1);
    }
    return address;
}

static char *body_of(const struct http_call *call)
{
    if (call->body != NULL) {
        return g_strdup(call->body);
    }
    if (call->sql == NULL) {
        return g_strdup("{}");
    }
    g_autoptr(JsonBuilder) builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "sql");
    json_builder_add_string_value(builder, call->sql);
    json_builder_end_object(builder);
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    return json_to_string(root, FALSE);
}

static char *url_of(unsigned port, const struct http_call *call)
{
    const char *tenant = call->tenant != NULL ? call->tenant : "refuge";
    const char *path = call->path != NULL ? call->path : "statements";
    if (call->transaction != NULL) {
        return g_strdup_printf("http://%s:%u/v1/tenants/%s/transactions/%s/%s", http_loopback(),
                               port, tenant, call->transaction, path);
    }
    return g_strdup_printf("http://%s:%u/v1/tenants/%s/%s", http_loopback(), port, tenant, path);
}

static struct curl_slist *add_header(struct curl_slist *list, const char *name, const char *value)
{
    if (value == NULL) {
        return list;
    }
    g_autofree char *line = g_strdup_printf("%s: %s", name, value);
    return curl_slist_append(list, line);
}

static struct curl_slist *headers_of(const struct http_call *call)
{
    g_autofree char *timeout = g_strdup_printf("%u", call->timeout_ms);
    struct curl_slist *list = add_header(NULL, "Content-Type", "application/json");
    list = add_header(list, "Idempotency-Key", call->key);
    list = add_header(list, "Swiftworks-Session", call->session);
    list = add_header(list, "Request-Id", call->request_id);
    return add_header(list, "Request-Timeout-Ms", call->timeout_ms > 0 ? timeout : NULL);
}

static size_t append_data(char *data, size_t size, size_t count, void *user)
{
    g_string_append_len(user, data, (gssize)(size * count));
    return size * count;
}

static char *header_of(CURL *client, const char *name)
{
    struct curl_header *header = NULL;
    if (curl_easy_header(client, name, 0, CURLH_HEADER, -1, &header) != CURLHE_OK) {
        return NULL;
    }
    return g_strdup(header->value);
}

static char *member_of(JsonObject *object, const char *name)
{
    if (object == NULL || !json_object_has_member(object, name)) {
        return NULL;
    }
    return g_strdup(json_object_get_string_member(object, name));
}

static void read_body(struct http_answer *answer, const char *text)
{
    answer->body = json_from_string(text, NULL);
    if (answer->body == NULL || !JSON_NODE_HOLDS_OBJECT(answer->body)) {
        return;
    }
    JsonObject *object = json_node_get_object(answer->body);
    answer->outcome = member_of(object, "outcome");
    answer->transaction = member_of(object, "transaction");
    if (json_object_has_member(object, "error")) {
        JsonObject *error = json_object_get_object_member(object, "error");
        answer->error_kind = member_of(error, "kind");
        answer->sqlstate = member_of(error, "sqlstate");
    }
}

static void read_answer(CURL *client, const char *body, struct http_answer *answer)
{
    curl_easy_getinfo(client, CURLINFO_RESPONSE_CODE, &answer->status);
    answer->session = header_of(client, "Swiftworks-Session");
    answer->retry_after = header_of(client, "Retry-After");
    answer->served_by = header_of(client, "Swiftworks-Served-By");
    answer->request_id = header_of(client, "Request-Id");
    g_autofree char *replayed = header_of(client, "Swiftworks-Replayed");
    answer->replayed = replayed != NULL;
    read_body(answer, body);
}

/* Describes why there is no answer, and how far the call came: whether it was connected, and how
 * long it took. */
static char *describe_failure(CURL *client, CURLcode result, const char *detail, unsigned port)
{
    curl_off_t connected_us = 0;
    curl_off_t total_us = 0;
    curl_easy_getinfo(client, CURLINFO_CONNECT_TIME_T, &connected_us);
    curl_easy_getinfo(client, CURLINFO_TOTAL_TIME_T, &total_us);
    return g_strdup_printf("%s (%s) at port %u, connected after %" G_GINT64_FORMAT
                           " us, ended after %" G_GINT64_FORMAT " us",
                           curl_easy_strerror(result), detail, port, (gint64)connected_us,
                           (gint64)total_us);
}

void http_post(unsigned port, const struct http_call *call, struct http_answer *answer)
{
    char detail[CURL_ERROR_SIZE] = "";
    memset(answer, 0, sizeof(*answer));
    g_autofree char *body = body_of(call);
    g_autofree char *url = url_of(port, call);
    g_autoptr(GString) received = g_string_new(NULL);
    struct curl_slist *headers = headers_of(call);
    CURL *client = curl_easy_init();
    curl_easy_setopt(client, CURLOPT_URL, url);
    curl_easy_setopt(client, CURLOPT_ERRORBUFFER, detail);
    curl_easy_setopt(client, CURLOPT_PROXY, "");
    curl_easy_setopt(client, CURLOPT_POSTFIELDS, body);
    curl_easy_setopt(client, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(client, CURLOPT_WRITEFUNCTION, append_data);
    curl_easy_setopt(client, CURLOPT_WRITEDATA, received);
    curl_easy_setopt(client, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(client, CURLOPT_TIMEOUT_MS,
                     call->disconnect_after_ms > 0 ? (long)call->disconnect_after_ms
                                                   : HTTP_TIMEOUT_MS);
    CURLcode result = curl_easy_perform(client);
    answer->not_connected = result == CURLE_COULDNT_CONNECT;
    if (result == CURLE_OK) {
        read_answer(client, received->str, answer);
    } else {
        answer->failure = describe_failure(client, result, detail, port);
    }
    curl_easy_cleanup(client);
    curl_slist_free_all(headers);
}

struct http_poster {
    unsigned port;
    struct http_call call; /* strings owned */
    struct http_answer answer;
    atomic_bool ended;
    GThread *thread;
};

static gpointer run_poster(gpointer data)
{
    struct http_poster *poster = data;
    http_post(poster->port, &poster->call, &poster->answer);
    atomic_store(&poster->ended, true);
    return NULL;
}

struct http_poster *http_post_start(unsigned port, const struct http_call *call)
{
    struct http_poster *poster = g_new0(struct http_poster, 1);
    poster->port = port;
    poster->call = *call;
    poster->call.tenant = g_strdup(call->tenant);
    poster->call.transaction = g_strdup(call->transaction);
    poster->call.path = g_strdup(call->path);
    poster->call.sql = g_strdup(call->sql);
    poster->call.body = g_strdup(call->body);
    poster->call.key = g_strdup(call->key);
    poster->call.session = g_strdup(call->session);
    poster->call.request_id = g_strdup(call->request_id);
    poster->thread = g_thread_new("caller", run_poster, poster);
    return poster;
}

bool http_has_ended(struct http_poster *poster)
{
    return atomic_load(&poster->ended);
}

void http_join(struct http_poster *poster, struct http_answer *answer)
{
    g_thread_join(poster->thread);
    *answer = poster->answer;
    g_free((char *)poster->call.tenant);
    g_free((char *)poster->call.transaction);
    g_free((char *)poster->call.path);
    g_free((char *)poster->call.sql);
    g_free((char *)poster->call.body);
    g_free((char *)poster->call.key);
    g_free((char *)poster->call.session);
    g_free((char *)poster->call.request_id);
    g_free(poster);
}

void http_answer_clear(struct http_answer *answer)
{
    g_free(answer->failure);
    g_free(answer->outcome);
    g_free(answer->error_kind);
    g_free(answer->sqlstate);
    g_free(answer->session);
    g_free(answer->transaction);
    g_free(answer->retry_after);
    g_free(answer->served_by);
    g_free(answer->request_id);
    g_clear_pointer(&answer->body, json_node_unref);
    memset(answer, 0, sizeof(*answer));
}

static JsonArray *rows_of(JsonObject *result)
{
    g_assert_true(json_object_has_member(result, "rows"));
    return json_object_get_array_member(result, "rows");
}

guint http_rows(const struct http_answer *answer)
{
    return json_array_get_length(rows_of(json_node_get_object(answer->body)));
}

guint http_batch_rows(const struct http_answer *answer, guint index)
{
    JsonArray *results =
        json_object_get_array_member(json_node_get_object(answer->body), "results");
    return json_array_get_length(rows_of(json_array_get_object_element(results, index)));
}

char *http_cell(const struct http_answer *answer, guint row, guint column)
{
    JsonArray *rows = rows_of(json_node_get_object(answer->body));
    g_assert_cmpuint(row, <, json_array_get_length(rows));
    JsonArray *cells = json_array_get_array_element(rows, row);
    JsonNode *cell = json_array_get_element(cells, column);
    if (json_node_get_value_type(cell) == G_TYPE_STRING) {
        return g_strdup(json_node_get_string(cell));
    }
    return json_to_string(cell, FALSE);
}

void http_check_outcome(const struct http_answer *answer, const char *outcome, const char *kind,
                        const char *place)
{
    bool same = g_strcmp0(answer->outcome, outcome) == 0 &&
                (kind == NULL || g_strcmp0(answer->error_kind, kind) == 0);
    if (same) {
        return;
    }
    g_autofree char *body = answer->body != NULL ? json_to_string(answer->body, FALSE) : NULL;
    g_error("%s: expected %s %s, got status %ld: %s", place, outcome, kind != NULL ? kind : "",
            answer->status, body != NULL ? body : answer->failure);
}
