#include "http_client.h"

#include <curl/curl.h>
#include <string.h>

static size_t append_data(char *data, size_t size, size_t count, void *user)
{
    g_string_append_len(user, data, (gssize)(size * count));
    return size * count;
}

static struct curl_slist *header_list(const char *const *headers)
{
    struct curl_slist *list = NULL;
    for (size_t i = 0; headers != NULL && headers[i] != NULL; i++) {
        list = curl_slist_append(list, headers[i]);
    }
    return list;
}

void http_exchange(uint16_t port, const char *method, const char *path, const char *body,
                   size_t length, const char *const *headers, struct exchange *exchange)
{
    exchange->status = 0;
    exchange->body = g_string_new(NULL);
    exchange->head = g_string_new(NULL);
    g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
    struct curl_slist *list = header_list(headers);
    CURL *client = curl_easy_init();
    curl_easy_setopt(client, CURLOPT_URL, url);
    curl_easy_setopt(client, CURLOPT_PROXY, "");
    if (body != NULL) {
        curl_easy_setopt(client, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)length);
        curl_easy_setopt(client, CURLOPT_POSTFIELDS, body);
    }
    if (strcmp(method, "HEAD") == 0) {
        curl_easy_setopt(client, CURLOPT_NOBODY, 1L);
    } else {
        curl_easy_setopt(client, CURLOPT_CUSTOMREQUEST, method);
    }
    curl_easy_setopt(client, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(client, CURLOPT_WRITEFUNCTION, append_data);
    curl_easy_setopt(client, CURLOPT_WRITEDATA, exchange->body);
    curl_easy_setopt(client, CURLOPT_HEADERFUNCTION, append_data);
    curl_easy_setopt(client, CURLOPT_HEADERDATA, exchange->head);
    curl_easy_setopt(client, CURLOPT_NOSIGNAL, 1L);
    if (curl_easy_perform(client) == CURLE_OK) {
        curl_easy_getinfo(client, CURLINFO_RESPONSE_CODE, &exchange->status);
    }
    curl_easy_cleanup(client);
    curl_slist_free_all(list);
}

char *exchange_header(const struct exchange *exchange, const char *name)
{
    g_auto(GStrv) lines = g_strsplit(exchange->head->str, "\r\n", 0);
    size_t length = strlen(name);
    for (size_t i = 0; lines[i] != NULL; i++) {
        if (g_ascii_strncasecmp(lines[i], name, length) == 0 && lines[i][length] == ':') {
            return g_strdup(g_strstrip(lines[i] + length + 1));
        }
    }
    return NULL;
}

void exchange_clear(struct exchange *exchange)
{
    g_string_free(exchange->body, TRUE);
    g_string_free(exchange->head, TRUE);
    memset(exchange, 0, sizeof(*exchange));
}
