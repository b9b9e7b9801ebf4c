/* A client over HTTP: one libcurl easy handle per client, with connections kept alive. */
#include <curl/curl.h>
#include <string.h>

#include "load/client.h"
#include "load/http_answer.h"

/* How long the client waits for the answer beyond the request's own deadline. */
#define ANSWER_TIMEOUT_MARGIN_MS 500L
/* Time-out of a TCP connect on the local network. */
#define CONNECT_TIMEOUT_MS 1000L

struct http_client {
    struct client base;
    CURL *curl;
    GString *body;
    uint32_t sendings; /* how often the current request was sent */
};

static size_t take_body(char *data, size_t size, size_t count, void *context)
{
    GString *body = context;
    g_string_append_len(body, data, (gssize)(size * count));
    return size * count;
}

static size_t take_header(char *data, size_t size, size_t count, void *context)
{
    struct client_answer *answer = context;
    g_autofree char *line = g_strndup(data, size * count);
    http_answer_header(answer, g_strchomp(line));
    return size * count;
}

static void add_statement(JsonBuilder *builder, const struct operation_statement *statement,
                          const char *access)
{
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "sql");
    json_builder_add_string_value(builder, statement->sql);
    json_builder_set_member_name(builder, "parameters");
    json_builder_begin_array(builder);
    for (uint32_t i = 0; i < statement->parameter_count; i++) {
        const struct operation_parameter *parameter = &statement->parameters[i];
        if (parameter->is_number) {
            json_builder_add_int_value(builder, g_ascii_strtoll(parameter->text, NULL, 10));
        } else {
            json_builder_add_string_value(builder, parameter->text);
        }
    }
    json_builder_end_array(builder);
    json_builder_set_member_name(builder, "access");
    json_builder_add_string_value(builder, access);
    json_builder_end_object(builder);
}

static char *request_body(const struct operation *operation)
{
    const char *access = operation_is_write(operation->kind) ? "write" : "read";
    g_autoptr(JsonBuilder) builder = json_builder_new();
    if (operation->kind != OPERATION_BATCH) {
        add_statement(builder, &operation->statements[0], access);
    } else {
        json_builder_begin_object(builder);
        json_builder_set_member_name(builder, "statements");
        json_builder_begin_array(builder);
        for (uint32_t i = 0; i < operation->statement_count; i++) {
            add_statement(builder, &operation->statements[i], access);
        }
        json_builder_end_array(builder);
        json_builder_end_object(builder);
    }
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    return json_to_string(root, FALSE);
}

static char *request_url(const struct client_request *request)
{
    const char *endpoint =
        request->operation->kind == OPERATION_BATCH ? "transactions" : "statements";
    return g_strdup_printf("http://%s/v1/tenants/%s/%s", request->address, request->tenant,
                           endpoint);
}

G_GNUC_PRINTF(2, 3)
static struct curl_slist *add_header(struct curl_slist *headers, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *line = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    return curl_slist_append(headers, line);
}

static struct curl_slist *request_headers(const struct client_request *request)
{
    struct curl_slist *headers = add_header(NULL, "Content-Type: application/json");
    headers = add_header(headers, "Request-Timeout-Ms: %u", request->timeout_ms);
    if (request->operation->key != NULL) {
        headers = add_header(headers, "Idempotency-Key: %s", request->operation->key);
    }
    if (request->session_token != NULL) {
        headers = add_header(headers, "Swiftworks-Session: %s", request->session_token);
    }
    return headers;
}

/* Called before each time the request is sent. libcurl resends a request when a kept-alive
 * connection turns out to be dead. Whether the daemon ran the request is unknown then, so the
 * resend is prevented. */
static int before_sending(void *context, char *remote_ip, char *local_ip, int remote_port,
                          int local_port)
{
    struct http_client *self = context;
    self->sendings++;
    return self->sendings == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

static void set_failure(const struct http_client *self, CURLcode code, struct client_answer *answer)
{
    client_answer_clear(answer);
    answer->outcome = self->sendings == 0 ? ATTEMPT_NOT_SENT : ATTEMPT_LOST;
    answer->text = g_strdup(curl_easy_strerror(code));
}

static void http_client_call(struct client *client, const struct client_request *request,
                             struct client_answer *answer)
{
    struct http_client *self = (struct http_client *)client;
    g_autofree char *url = request_url(request);
    g_autofree char *body = request_body(request->operation);
    struct curl_slist *headers = request_headers(request);
    g_string_truncate(self->body, 0);
    self->sendings = 0;
    curl_easy_setopt(self->curl, CURLOPT_URL, url);
    curl_easy_setopt(self->curl, CURLOPT_POSTFIELDS, body);
    curl_easy_setopt(self->curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(self->curl, CURLOPT_HEADERDATA, answer);
    curl_easy_setopt(self->curl, CURLOPT_TIMEOUT_MS,
                     (long)request->timeout_ms + ANSWER_TIMEOUT_MARGIN_MS);
    CURLcode code = curl_easy_perform(self->curl);
    curl_slist_free_all(headers);
    if (code == CURLE_OK) {
        http_answer_body(answer, self->body->str, request->operation->kind == OPERATION_READ);
    } else {
        set_failure(self, code, answer);
    }
}

static void http_client_free(struct client *client)
{
    struct http_client *self = (struct http_client *)client;
    curl_easy_cleanup(self->curl);
    g_string_free(self->body, TRUE);
    g_free(self);
}

struct client *http_client_new(void)
{
    struct http_client *self = g_new0(struct http_client, 1);
    self->base.call = http_client_call;
    self->base.free = http_client_free;
    self->body = g_string_new(NULL);
    self->curl = curl_easy_init();
    curl_easy_setopt(self->curl, CURLOPT_POST, 1L);
    curl_easy_setopt(self->curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(self->curl, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(self->curl, CURLOPT_PROXY, "");
    curl_easy_setopt(self->curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(self->curl, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(self->curl, CURLOPT_WRITEDATA, self->body);
    curl_easy_setopt(self->curl, CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(self->curl, CURLOPT_PREREQFUNCTION, before_sending);
    curl_easy_setopt(self->curl, CURLOPT_PREREQDATA, self);
    return &self->base;
}
