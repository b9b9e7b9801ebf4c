/* HTTP client over libcurl with time-outs, a limit of the answer's size, and AWS signatures
 * (version 4). Used by the clients of the table service and of the object store. */
#ifndef SW_STORAGE_HTTP_CLIENT_H
#define SW_STORAGE_HTTP_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Addresses, credentials and time-outs of the platform. The clients copy the strings that they
 * keep. */
struct platform_settings {
    const char *table_url;  /* such as "http://127.0.0.1:20400/" */
    const char *object_url; /* as above, without a slash; requests append the bucket */
    const char *bucket;
    const char *table;         /* table of configuration and primaries */
    const char *machine_table; /* table of machines */
    const char *region;
    const char *access_key;
    const char *secret_key;
    uint32_t connect_timeout_ms;
    uint32_t call_timeout_ms; /* time-out of a call, including the connection */
};

/* Default settings, without URLs and keys. */
struct platform_settings platform_settings_default(void);

enum http_outcome {
    HTTP_OUTCOME_ANSWERED,  /* a complete answer was received; see its status */
    HTTP_OUTCOME_NOT_SENT,  /* no byte of the request was sent */
    HTTP_OUTCOME_NO_ANSWER, /* sent at least in part; it may or may not take effect */
};

/* One request. Its members are borrowed for the call. */
struct http_request {
    const char *method;
    const char *url;
    const char *service; /* service name in the signature: "dynamodb", "s3"; NULL: not signed */
    const char *const *headers; /* "Name: value", NULL-terminated; NULL if none */
    const void *body;           /* NULL if none */
    gsize body_length;
    gsize answer_bytes_max; /* a longer answer is treated as no answer */
    bool is_write; /* sent on a new connection, because libcurl itself repeats a request when a
                      reused connection closes without an answer */
};

/* One answer. */
struct http_answer {
    long status;
    GByteArray *body; /* unreferenced by the caller; NULL unless answered */
};

struct http_client;

/* A client with the keys and time-outs of the settings. */
struct http_client *http_client_new(const struct platform_settings *settings);

void http_client_free(struct http_client *client);

/* Sends the request and waits for the answer. Any thread; calls of one client are serialized by a
 * lock. If the outcome is not ANSWERED, sets `error` with kind store_unavailable. */
enum http_outcome http_client_call(struct http_client *client, const struct http_request *request,
                                   struct http_answer *answer, GError **error);

#endif
