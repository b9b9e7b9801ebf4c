/* The platform stand-in's HTTP server: one thread for each connection, one lock for all state. */
#include "standins/platform/standin.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <string.h>
#include <time.h>

#include <microhttpd.h>

#include "core/error.h"
#include "generated/errors.h"
#include "standins/platform/object_api.h"
#include "standins/platform/table.h"
#include "standins/platform/table_api.h"

#define BODY_BYTES_MAX       (32 * 1024 * 1024)
#define AUTHORIZATION_PREFIX "AWS4-HMAC-SHA256 "

/* A token bucket: `rate` requests a second, with bursts of the same size. */
struct rate_limit {
    uint32_t rate; /* 0: no limit */
    double tokens;
    int64_t refilled_at_us;
};

struct platform_standin {
    struct MHD_Daemon *daemon;
    uint16_t port;
    int64_t (*now_us)(void);
    pthread_mutex_t lock; /* guards all fields below */
    pthread_cond_t
        healed; /* signalled when the faults are removed; ends the delays of slow requests */
    uint32_t heals;
    GHashTable *tables;
    GHashTable *objects;
    GArray *faults;
    struct rate_limit limits[PLATFORM_SERVICE_BOTH];
    struct platform_standin_counts counts;
};

static bool rate_limit_take(struct rate_limit *limit, int64_t now_us)
{
    if (limit->rate == 0) {
        return true;
    }
    double elapsed = (double)(now_us - limit->refilled_at_us) / G_USEC_PER_SEC;
    limit->tokens = MIN((double)limit->rate, limit->tokens + elapsed * limit->rate);
    limit->refilled_at_us = now_us;
    if (limit->tokens < 1) {
        return false;
    }
    limit->tokens -= 1;
    return true;
}

static enum MHD_Result send_answer(struct MHD_Connection *connection, unsigned status,
                                   const char *content_type, const void *body, size_t length)
{
    struct MHD_Response *response =
        MHD_create_response_from_buffer(length, (void *)body, MHD_RESPMEM_MUST_COPY);

    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result send_text(struct MHD_Connection *connection, unsigned status,
                                 const char *content_type, const char *text)
{
    return send_answer(connection, status, content_type, text, strlen(text));
}

/* Initialises a condition whose timed waits use the monotonic clock. */
static void init_monotonic_condition(pthread_cond_t *condition)
{
    pthread_condattr_t attributes;

    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(condition, &attributes);
    pthread_condattr_destroy(&attributes);
}

/* Waits for the delay or until the faults are removed. The caller holds the lock. */
static void wait_slow(struct platform_standin *standin, uint32_t delay_ms)
{
    int64_t end_us = g_get_monotonic_time() + (int64_t)delay_ms * 1000;
    struct timespec end = {.tv_sec = end_us / G_USEC_PER_SEC,
                           .tv_nsec = end_us % G_USEC_PER_SEC * 1000};
    uint32_t heals = standin->heals;
    int result = 0;

    while (standin->heals == heals && result == 0) {
        result = pthread_cond_timedwait(&standin->healed, &standin->lock, &end);
    }
}

/* Counts the request and returns the effect of the faults on it. An exceeded rate limit throttles
 * it. */
static struct platform_fault_effect begin_request(struct platform_standin *standin,
                                                  enum platform_service service)
{
    pthread_mutex_lock(&standin->lock);
    struct platform_fault_effect effect = platform_faults_take(standin->faults, service);
    if (!rate_limit_take(&standin->limits[service], standin->now_us())) {
        effect.throttled = true;
    }
    if (service == PLATFORM_SERVICE_TABLE) {
        standin->counts.table_requests++;
    } else {
        standin->counts.object_requests++;
    }
    standin->counts.throttled += effect.throttled ? 1 : 0;
    if (effect.delay_ms > 0) {
        wait_slow(standin, effect.delay_ms);
    }
    pthread_mutex_unlock(&standin->lock);
    return effect;
}

static struct table_api_answer run_table_call(struct platform_standin *standin,
                                              struct MHD_Connection *connection,
                                              const GByteArray *body, bool throttled)
{
    const char *target = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "X-Amz-Target");
    const char *authorization =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);

    if (authorization == NULL || !g_str_has_prefix(authorization, AUTHORIZATION_PREFIX)) {
        return table_api_error("MissingAuthenticationTokenException",
                               "Request is missing Authentication Token");
    }
    if (throttled) {
        return table_api_error("ProvisionedThroughputExceededException",
                               "The level of configured provisioned throughput for the table was "
                               "exceeded");
    }
    pthread_mutex_lock(&standin->lock);
    struct table_api_answer answer =
        table_api_call(standin->tables, target, (char *)body->data, body->len, standin->now_us());
    pthread_mutex_unlock(&standin->lock);
    return answer;
}

static enum MHD_Result handle_table(struct platform_standin *standin,
                                    struct MHD_Connection *connection, const GByteArray *body)
{
    struct platform_fault_effect effect = begin_request(standin, PLATFORM_SERVICE_TABLE);

    if (effect.down) {
        return MHD_NO;
    }
    struct table_api_answer answer = run_table_call(standin, connection, body, effect.throttled);
    enum MHD_Result result = MHD_NO;
    if (!effect.answer_lost) {
        result = send_text(connection, answer.status, "application/x-amz-json-1.0", answer.body);
    }
    g_free(answer.body);
    return result;
}

static struct object_api_answer run_object_call(struct platform_standin *standin,
                                                struct MHD_Connection *connection,
                                                const char *method, const char *path,
                                                GByteArray *body, bool throttled)
{
    const char *if_none_match =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_IF_NONE_MATCH);

    if (throttled) {
        return object_api_error(503, "SlowDown", "Please reduce your request rate.");
    }
    pthread_mutex_lock(&standin->lock);
    struct object_api_answer answer =
        object_api_call(standin->objects, method, path, if_none_match, body);
    pthread_mutex_unlock(&standin->lock);
    return answer;
}

static enum MHD_Result handle_object(struct platform_standin *standin,
                                     struct MHD_Connection *connection, const char *method,
                                     const char *path, GByteArray *body)
{
    struct platform_fault_effect effect = begin_request(standin, PLATFORM_SERVICE_OBJECT);

    if (effect.down) {
        return MHD_NO;
    }
    struct object_api_answer answer =
        run_object_call(standin, connection, method, path, body, effect.throttled);
    enum MHD_Result result = MHD_NO;
    if (!effect.answer_lost) {
        gsize length = 0;
        const void *data = g_bytes_get_data(answer.body, &length);
        result = send_answer(connection, answer.status, answer.content_type, data, length);
    }
    g_bytes_unref(answer.body);
    return result;
}

static uint32_t number_argument(struct MHD_Connection *connection, const char *name)
{
    const char *text = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);

    return text != NULL ? (uint32_t)g_ascii_strtoull(text, NULL, 10) : 0;
}

/* POST /fault?name=NAME[&service=table|object|both][&ms=N][&count=N][&after=N] injects a fault;
 * name=heal removes all. */
static enum MHD_Result handle_fault(struct platform_standin *standin,
                                    struct MHD_Connection *connection)
{
    const char *name = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "name");
    const char *service = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "service");
    struct platform_fault fault = {
        .service = PLATFORM_SERVICE_BOTH,
        .after = number_argument(connection, "after"),
        .count = number_argument(connection, "count"),
        .delay_ms = number_argument(connection, "ms"),
    };

    if (g_strcmp0(name, "heal") == 0) {
        platform_standin_heal(standin);
        return send_text(connection, MHD_HTTP_OK, "text/plain", "healed\n");
    }
    if (!platform_fault_kind_find(name, &fault.kind) ||
        (service != NULL && !platform_service_find(service, &fault.service))) {
        return send_text(connection, MHD_HTTP_BAD_REQUEST, "text/plain",
                         "name: down, slow, answer_lost, throttle or heal; "
                         "service: table, object or both\n");
    }
    platform_standin_add_fault(standin, &fault);
    return send_text(connection, MHD_HTTP_OK, "text/plain", "set\n");
}

static enum MHD_Result dispatch(struct platform_standin *standin, struct MHD_Connection *connection,
                                const char *path, const char *method, GByteArray *body)
{
    if (strcmp(method, MHD_HTTP_METHOD_POST) == 0 && strcmp(path, "/") == 0) {
        return handle_table(standin, connection, body);
    }
    if (strcmp(method, MHD_HTTP_METHOD_POST) == 0 && strcmp(path, "/fault") == 0) {
        return handle_fault(standin, connection);
    }
    return handle_object(standin, connection, method, path, body);
}

/* Called by libmicrohttpd: first with the headers, then for each piece of the body, then with no
 * more body. */
static enum MHD_Result on_request(void *user_data, struct MHD_Connection *connection,
                                  const char *path, const char *method, const char *version,
                                  const char *upload, size_t *upload_size, void **request_state)
{
    GByteArray *body = *request_state;

    if (body == NULL) {
        *request_state = g_byte_array_new();
        return MHD_YES;
    }
    if (*upload_size > 0) {
        if (body->len + *upload_size > BODY_BYTES_MAX) {
            return MHD_NO;
        }
        g_byte_array_append(body, (const guint8 *)upload, (guint)*upload_size);
        *upload_size = 0;
        return MHD_YES;
    }
    return dispatch(user_data, connection, path, method, body);
}

static void on_completed(void *user_data, struct MHD_Connection *connection, void **request_state,
                         enum MHD_RequestTerminationCode code)
{
    if (*request_state != NULL) {
        g_byte_array_unref(*request_state);
        *request_state = NULL;
    }
}

static void add_table(struct platform_standin *standin, const char *name, uint32_t lag_ms)
{
    struct table *table = table_new((int64_t)lag_ms * 1000);

    g_hash_table_insert(standin->tables, g_strdup(name), table);
}

static struct platform_standin *standin_new(const struct platform_standin_options *options)
{
    struct platform_standin *standin = g_new0(struct platform_standin, 1);

    pthread_mutex_init(&standin->lock, NULL);
    init_monotonic_condition(&standin->healed);
    standin->now_us = options->now_us != NULL ? options->now_us : g_get_monotonic_time;
    standin->tables =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)table_free);
    standin->objects =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
    standin->faults = g_array_new(FALSE, FALSE, sizeof(struct platform_fault));
    add_table(standin, PLATFORM_STANDIN_TABLE, 0);
    add_table(standin, PLATFORM_STANDIN_MACHINE_TABLE, options->machine_list_lag_ms);
    standin->limits[PLATFORM_SERVICE_TABLE].rate = options->table_rate;
    standin->limits[PLATFORM_SERVICE_OBJECT].rate = options->object_rate;
    for (guint service = 0; service < PLATFORM_SERVICE_BOTH; service++) {
        standin->limits[service].tokens = standin->limits[service].rate;
        standin->limits[service].refilled_at_us = standin->now_us();
    }
    return standin;
}

static void standin_free(struct platform_standin *standin)
{
    g_hash_table_unref(standin->tables);
    g_hash_table_unref(standin->objects);
    g_array_unref(standin->faults);
    pthread_cond_destroy(&standin->healed);
    pthread_mutex_destroy(&standin->lock);
    g_free(standin);
}

struct platform_standin *platform_standin_start(const struct platform_standin_options *options,
                                                GError **error)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(options->port)};

    if (inet_pton(AF_INET, options->host, &address.sin_addr) != 1) {
        g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST, "%s is not an IPv4 number",
                    options->host);
        return NULL;
    }
    struct platform_standin *standin = standin_new(options);
    standin->daemon =
        MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
                         options->port, NULL, NULL, on_request, standin, MHD_OPTION_SOCK_ADDR,
                         &address, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
    if (standin->daemon == NULL) {
        g_set_error(error, SW_ERROR, ERROR_KIND_INTERNAL, "can't listen at %s port %u",
                    options->host, options->port);
        standin_free(standin);
        return NULL;
    }
    standin->port = MHD_get_daemon_info(standin->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    return standin;
}

void platform_standin_stop(struct platform_standin *standin)
{
    platform_standin_heal(standin);
    MHD_stop_daemon(standin->daemon);
    standin_free(standin);
}

uint16_t platform_standin_port(const struct platform_standin *standin)
{
    return standin->port;
}

void platform_standin_add_fault(struct platform_standin *standin,
                                const struct platform_fault *fault)
{
    pthread_mutex_lock(&standin->lock);
    g_array_append_vals(standin->faults, fault, 1);
    pthread_mutex_unlock(&standin->lock);
}

void platform_standin_heal(struct platform_standin *standin)
{
    pthread_mutex_lock(&standin->lock);
    g_array_set_size(standin->faults, 0);
    standin->heals++;
    pthread_cond_broadcast(&standin->healed);
    pthread_mutex_unlock(&standin->lock);
}

struct platform_standin_counts platform_standin_counts(struct platform_standin *standin)
{
    pthread_mutex_lock(&standin->lock);
    struct platform_standin_counts counts = standin->counts;
    pthread_mutex_unlock(&standin->lock);
    return counts;
}
