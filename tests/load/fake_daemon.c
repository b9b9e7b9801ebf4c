/* Fake of a daemon's listener on libmicrohttpd. See fake_daemon.h. */
#include "fake_daemon.h"

#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <string.h>

struct fake_daemon {
    const struct fake_reply *replies;
    guint reply_count;
    struct MHD_Daemon *server;
    char *address;
    pthread_mutex_t lock; /* guards the fields below */
    guint requests;
    char *body;
    char *path;
    GHashTable *headers; /* lower-case name -> value */
};

static enum MHD_Result take_header(void *context, enum MHD_ValueKind kind, const char *name,
                                   const char *value)
{
    struct fake_daemon *fake = context;
    g_hash_table_replace(fake->headers, g_ascii_strdown(name, -1), g_strdup(value));
    return MHD_YES;
}

/* Records a complete request. Returns the reply to send. */
static const struct fake_reply *take_request(struct fake_daemon *fake,
                                             struct MHD_Connection *connection, const char *path,
                                             const GString *body)
{
    pthread_mutex_lock(&fake->lock);
    guint place = MIN(fake->requests, fake->reply_count - 1);
    fake->requests++;
    g_free(fake->body);
    fake->body = g_strdup(body->str);
    g_free(fake->path);
    fake->path = g_strdup(path);
    g_hash_table_remove_all(fake->headers);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, take_header, fake);
    pthread_mutex_unlock(&fake->lock);
    return &fake->replies[place];
}

static enum MHD_Result send_reply(struct MHD_Connection *connection, const struct fake_reply *reply)
{
    if (reply->body == NULL) {
        return MHD_NO;
    }
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(reply->body), (void *)reply->body, MHD_RESPMEM_PERSISTENT);
    for (guint i = 0; reply->headers != NULL && reply->headers[i] != NULL; i += 2) {
        MHD_add_response_header(response, reply->headers[i], reply->headers[i + 1]);
    }
    enum MHD_Result result = MHD_queue_response(connection, reply->status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result handle(void *context, struct MHD_Connection *connection, const char *url,
                              const char *method, const char *version, const char *data,
                              size_t *size, void **request_context)
{
    struct fake_daemon *fake = context;
    if (*request_context == NULL) {
        *request_context = g_string_new(NULL);
        return MHD_YES;
    }
    GString *body = *request_context;
    if (*size > 0) {
        g_string_append_len(body, data, (gssize)*size);
        *size = 0;
        return MHD_YES;
    }
    const struct fake_reply *reply = take_request(fake, connection, url, body);
    return send_reply(connection, reply);
}

static void request_completed(void *context, struct MHD_Connection *connection,
                              void **request_context, enum MHD_RequestTerminationCode code)
{
    if (*request_context != NULL) {
        g_string_free(*request_context, TRUE);
        *request_context = NULL;
    }
}

struct fake_daemon *fake_daemon_new(const struct fake_reply *replies, guint count)
{
    struct fake_daemon *fake = g_new0(struct fake_daemon, 1);
    fake->replies = replies;
    fake->reply_count = count;
    pthread_mutex_init(&fake->lock, NULL);
    fake->headers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    struct sockaddr_in loopback = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    fake->server =
        MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, handle, fake,
                         MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&loopback,
                         MHD_OPTION_NOTIFY_COMPLETED, request_completed, NULL, MHD_OPTION_END);
    g_assert_nonnull(fake->server);
    const union MHD_DaemonInfo *info = MHD_get_daemon_info(fake->server, MHD_DAEMON_INFO_BIND_PORT);
    fake->address = g_strdup_printf("127.0.0.1:%u", info->port);
    return fake;
}

void fake_daemon_free(struct fake_daemon *fake)
{
    MHD_stop_daemon(fake->server);
    g_hash_table_unref(fake->headers);
    pthread_mutex_destroy(&fake->lock);
    g_free(fake->address);
    g_free(fake->body);
    g_free(fake->path);
    g_free(fake);
}

const char *fake_daemon_address(const struct fake_daemon *fake)
{
    return fake->address;
}

guint fake_daemon_requests(struct fake_daemon *fake)
{
    pthread_mutex_lock(&fake->lock);
    guint requests = fake->requests;
    pthread_mutex_unlock(&fake->lock);
    return requests;
}

char *fake_daemon_body(struct fake_daemon *fake)
{
    pthread_mutex_lock(&fake->lock);
    char *body = g_strdup(fake->body);
    pthread_mutex_unlock(&fake->lock);
    return body;
}

char *fake_daemon_header(struct fake_daemon *fake, const char *name)
{
    g_autofree char *key = g_ascii_strdown(name, -1);
    pthread_mutex_lock(&fake->lock);
    char *value = g_strdup(g_hash_table_lookup(fake->headers, key));
    pthread_mutex_unlock(&fake->lock);
    return value;
}

char *fake_daemon_path(struct fake_daemon *fake)
{
    pthread_mutex_lock(&fake->lock);
    char *path = g_strdup(fake->path);
    pthread_mutex_unlock(&fake->lock);
    return path;
}
