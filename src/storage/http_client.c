/* HTTP client over libcurl, with time-outs, a limit of the answer's size, and AWS signatures. */
#include "storage/http_client.h"

#include <pthread.h>

#include <curl/curl.h>

#include "core/error.h"
#include "generated/errors.h"

#define DEFAULT_CONNECT_TIMEOUT_MS 1000
#define DEFAULT_CALL_TIMEOUT_MS    3000

struct http_client {
    pthread_mutex_t lock; /* protects the handle */
    CURL *handle;
    char *region;
    char *access_key;
    char *secret_key;
    uint32_t connect_timeout_ms;
    uint32_t call_timeout_ms;
};

/* Buffer for an answer's body. */
struct answer_buffer {
    GByteArray *body;
    gsize bytes_max;
};

struct platform_settings platform_settings_default(void)
{
    return (struct platform_settings){
        .bucket = "swiftworks",
        .table = "swiftworks",
        .machine_table = "machines",
        .region = "us-east-1",
        .connect_timeout_ms = DEFAULT_CONNECT_TIMEOUT_MS,
        .call_timeout_ms = DEFAULT_CALL_TIMEOUT_MS,
    };
}

static void initialize_curl(void)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

struct http_client *http_client_new(const struct platform_settings *settings)
{
    static pthread_once_t once = PTHREAD_ONCE_INIT;
    struct http_client *client = g_new0(struct http_client, 1);

    pthread_once(&once, initialize_curl);
    pthread_mutex_init(&client->lock, NULL);
    client->handle = curl_easy_init();
    g_assert(client->handle != NULL);
    client->region = g_strdup(settings->region);
    client->access_key = g_strdup(settings->access_key != NULL ? settings->access_key : "");
    client->secret_key = g_strdup(settings->secret_key != NULL ? settings->secret_key : "");
    client->connect_timeout_ms = settings->connect_timeout_ms;
    client->call_timeout_ms = settings->call_timeout_ms;
    return client;
}

void http_client_free(struct http_client *client)
{
    curl_easy_cleanup(client->handle);
    pthread_mutex_destroy(&client->lock);
    g_free(client->region);
    g_free(client->access_key);
    g_free(client->secret_key);
    g_free(client);
}

static size_t on_answer_bytes(char *data, size_t size, size_t count, void *user_data)
{
    struct answer_buffer *buffer = user_data;
    size_t length = size * count;

    if (buffer->body->len + length > buffer->bytes_max) {
        return 0;
    }
    g_byte_array_append(buffer->body, (const guint8 *)data, (guint)length);
    return length;
}

static struct curl_slist *make_headers(const struct http_request *request)
{
    struct curl_slist *headers = curl_slist_append(NULL, "Expect:");

    for (guint i = 0; request->headers != NULL && request->headers[i] != NULL; i++) {
        headers = curl_slist_append(headers, request->headers[i]);
    }
    return headers;
}

static void set_bounds(struct http_client *client)
{
    curl_easy_setopt(client->handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(client->handle, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(client->handle, CURLOPT_PROXY, "");
    curl_easy_setopt(client->handle, CURLOPT_CONNECTTIMEOUT_MS, (long)client->connect_timeout_ms);
    curl_easy_setopt(client->handle, CURLOPT_TIMEOUT_MS, (long)client->call_timeout_ms);
}

static void set_signing(struct http_client *client, const char *service)
{
    g_autofree char *provider = g_strdup_printf("aws:amz:%s:%s", client->region, service);

    curl_easy_setopt(client->handle, CURLOPT_AWS_SIGV4, provider);
    curl_easy_setopt(client->handle, CURLOPT_USERNAME, client->access_key);
    curl_easy_setopt(client->handle, CURLOPT_PASSWORD, client->secret_key);
}

/* The body is set as POST fields for PUT too, because libcurl then signs its hash. */
static void set_request(struct http_client *client, const struct http_request *request)
{
    curl_easy_setopt(client->handle, CURLOPT_URL, request->url);
    if (request->body != NULL) {
        curl_easy_setopt(client->handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)request->body_length);
        curl_easy_setopt(client->handle, CURLOPT_POSTFIELDS, request->body);
    }
    curl_easy_setopt(client->handle, CURLOPT_CUSTOMREQUEST, request->method);
    if (request->is_write) {
        curl_easy_setopt(client->handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(client->handle, CURLOPT_FORBID_REUSE, 1L);
    }
}

/* The outcome of a failed call: whether any byte of the request may have been sent. */
static enum http_outcome classify_failure(CURL *handle)
{
    long request_bytes = 0;

    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_bytes);
    return request_bytes == 0 ? HTTP_OUTCOME_NOT_SENT : HTTP_OUTCOME_NO_ANSWER;
}

static enum http_outcome perform(struct http_client *client, const struct http_request *request,
                                 struct http_answer *answer, GError **error)
{
    struct answer_buffer buffer = {g_byte_array_new(), request->answer_bytes_max};
    struct curl_slist *headers = make_headers(request);

    curl_easy_reset(client->handle);
    set_bounds(client);
    if (request->service != NULL) {
        set_signing(client, request->service);
    }
    set_request(client, request);
    curl_easy_setopt(client->handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(client->handle, CURLOPT_WRITEFUNCTION, on_answer_bytes);
    curl_easy_setopt(client->handle, CURLOPT_WRITEDATA, &buffer);
    CURLcode code = curl_easy_perform(client->handle);
    curl_slist_free_all(headers);
    if (code != CURLE_OK) {
        g_byte_array_unref(buffer.body);
        g_set_error(error, SW_ERROR, ERROR_KIND_STORE_UNAVAILABLE, "%s: %s", request->url,
                    curl_easy_strerror(code));
        return classify_failure(client->handle);
    }
    curl_easy_getinfo(client->handle, CURLINFO_RESPONSE_CODE, &answer->status);
    answer->body = buffer.body;
    return HTTP_OUTCOME_ANSWERED;
}

enum http_outcome http_client_call(struct http_client *client, const struct http_request *request,
                                   struct http_answer *answer, GError **error)
{
    *answer = (struct http_answer){0};
    pthread_mutex_lock(&client->lock);
    enum http_outcome outcome = perform(client, request, answer, error);
    pthread_mutex_unlock(&client->lock);
    return outcome;
}
