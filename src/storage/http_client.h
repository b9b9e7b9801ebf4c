/* One bounded, signed HTTP request at a time, over libcurl. Used for the table service and the
 * object store; it knows neither. */
#ifndef SW_PLATFORM_HTTP_CLIENT_H
#define SW_PLATFORM_HTTP_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* How to reach the platform and sign requests. Strings are copied where they are kept. */
struct platform_settings {
    const char *table_url;  /* such as "http://127.0.0.1:20400/" */
    const char *object_url; /* such as "http://127.0.0.1:20400"; the bucket follows */
    const char *bucket;
    const char *table;         /* table of configuration and primaries */
    const char *machine_table; /* table of machines */
    const char *region;
    const char *access_key;
    const char *secret_key;
    uint32_t connect_timeout_ms;
    uint32_t call_timeout_ms; /* longest time of a call, connecting included */
};

/* Settings with the defaults for everything but the URLs and keys. */
struct platform_settings platform_settings_default(void);

enum http_outcome {
    HTTP_OUTCOME_ANSWERED,  /* a whole answer came; see its status */
    HTTP_OUTCOME_NOT_SENT,  /* no byte of the request left */
    HTTP_OUTCOME_NO_ANSWER, /* sent at least in part; what became of it is open */
};

/* One request. Borrowed for the call. */
struct http_request {
    const char *method;
    const char *url;
    const char *service; /* service name in the signature: "dynamodb", "s3"; NULL: not signed */
    const char *const *headers; /* NULL-ended "Name: value" */
    const void *body;           /* NULL if none */
    gsize body_length;
    gsize answer_bytes_max; /* a longer answer counts as none */
    bool is_write; /* sent on a new connection, since libcurl repeats a request by itself when a
                      kept connection closes without an answer */
};

/* One answer. */
struct http_answer {
    long status;
    GByteArray *body; /* unreferenced by the caller; NULL unless answered */
};

struct http_client;

/* A client with these settings' signing keys and time-outs. */
struct http_client *http_client_new(const struct platform_settings *settings);

void http_client_free(struct http_client *client);

/* Sends the request and waits for the answer. Any thread; calls of one client run one at a time.
 * Unless answered, sets `error` with kind store_unavailable. */
enum http_outcome http_client_call(struct http_client *client, const struct http_request *request,
                                   struct http_answer *answer, GError **error);

#endif
