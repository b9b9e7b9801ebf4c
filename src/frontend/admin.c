#include "frontend/admin.h"

#include "core/error.h"
#include "frontend/json_write.h"
#include "frontend/listen.h"
#include "generated/errors.h"

#include <errno.h>
#include <microhttpd.h>
#include <string.h>

#define LOG_PREFIX             "admin"
#define DEFAULT_BODY_BYTES_MAX (4 * 1024 * 1024)
#define CONNECTIONS_MAX        64
#define IDLE_S                 60
#define SEGMENTS_MAX           16
#define TYPE_METRICS           "text/plain; version=0.0.4; charset=utf-8"

struct admin_route {
    const char *method;
    char **segments; /* of the path */
    admin_handler handler;
    void *user;
};

struct admin {
    struct admin_options options;
    GPtrArray *routes; /* of struct admin_route; not changed after the start */
    struct MHD_Daemon *daemon;
    uint16_t port;
};

struct admin_request {
    struct MHD_Connection *connection;
    char **segments; /* of the path */
    const struct admin_route *route;
    GByteArray *body;
    bool body_too_large;
};

static void route_free(gpointer data)
{
    struct admin_route *route = data;
    g_strfreev(route->segments);
    g_free(route);
}

static void request_free(struct admin_request *request)
{
    g_strfreev(request->segments);
    g_byte_array_unref(request->body);
    g_free(request);
}

void admin_options_init(struct admin_options *options)
{
    memset(options, 0, sizeof(*options));
    options->address = "127.0.0.1";
    options->body_bytes_max = DEFAULT_BODY_BYTES_MAX;
}

static void answer_metrics(const struct admin_request *request, struct admin_answer *answer,
                           void *user)
{
    const struct admin *admin = user;
    answer->content_type = TYPE_METRICS;
    if (admin->options.metrics != NULL) {
        metrics_render(admin->options.metrics, answer->body);
    }
}

static void answer_health(const struct admin_request *request, struct admin_answer *answer,
                          void *user)
{
    answer->content_type = ADMIN_TYPE_TEXT;
    g_string_append(answer->body, "ok\n");
}

static void answer_ready(const struct admin_request *request, struct admin_answer *answer,
                         void *user)
{
    const struct admin *admin = user;
    answer->content_type = ADMIN_TYPE_TEXT;
    g_autoptr(GString) reason = g_string_new(NULL);
    if (admin->options.ready == NULL || admin->options.ready(reason, admin->options.user)) {
        g_string_append(answer->body, "ready\n");
        return;
    }
    answer->status = error_entry_of(ERROR_KIND_NOT_READY)->http_status;
    g_string_append_printf(answer->body, "not ready: %s\n", reason->str);
}

struct admin *admin_new(const struct admin_options *options)
{
    struct admin *admin = g_new0(struct admin, 1);
    admin->options = *options;
    admin->routes = g_ptr_array_new_with_free_func(route_free);
    admin_route(admin, MHD_HTTP_METHOD_GET, "/metrics", answer_metrics, admin);
    admin_route(admin, MHD_HTTP_METHOD_GET, "/healthz", answer_health, admin);
    admin_route(admin, MHD_HTTP_METHOD_GET, "/readyz", answer_ready, admin);
    return admin;
}

void admin_route(struct admin *admin, const char *method, const char *path, admin_handler handler,
                 void *user)
{
    g_assert(admin->daemon == NULL);
    struct admin_route *route = g_new0(struct admin_route, 1);
    route->method = method;
    route->segments = g_strsplit(path, "/", SEGMENTS_MAX);
    route->handler = handler;
    route->user = user;
    g_ptr_array_add(admin->routes, route);
}

static bool is_wildcard(const char *segment)
{
    return strcmp(segment, "*") == 0;
}

static bool path_matches(char **pattern, char **segments)
{
    size_t i = 0;
    for (; pattern[i] != NULL && segments[i] != NULL; i++) {
        bool matches =
            is_wildcard(pattern[i]) ? segments[i][0] != '\0' : strcmp(pattern[i], segments[i]) == 0;
        if (!matches) {
            return false;
        }
    }
    return pattern[i] == NULL && segments[i] == NULL;
}

/* Finds the route of a request. If there is none, `path_known` is true if the path has a route with
 * another method. */
static const struct admin_route *find_route(const struct admin *admin, const char *method,
                                            char **segments, bool *path_known)
{
    *path_known = false;
    for (guint i = 0; i < admin->routes->len; i++) {
        const struct admin_route *route = g_ptr_array_index(admin->routes, i);
        if (!path_matches(route->segments, segments)) {
            continue;
        }
        if (strcmp(route->method, method) == 0) {
            return route;
        }
        *path_known = true;
    }
    return NULL;
}

void admin_answer_error(struct admin_answer *answer, const GError *error)
{
    enum error_kind kind =
        error->domain == SW_ERROR ? (enum error_kind)error->code : ERROR_KIND_INTERNAL;
    const struct error_entry *entry = error_entry_of(kind);
    answer->status = entry->http_status;
    answer->content_type = ADMIN_TYPE_JSON;
    g_string_assign(answer->body, "{\"error\":{\"kind\":");
    json_write_string(answer->body, entry->name);
    g_string_append(answer->body, ",\"text\":");
    json_write_string(answer->body, error->message);
    g_string_append(answer->body, "}}\n");
}

static void answer_kind(struct admin_answer *answer, enum error_kind kind, const char *text)
{
    g_autoptr(GError) error = g_error_new_literal(SW_ERROR, (int)kind, text);
    admin_answer_error(answer, error);
}

/* Callers from other machines may only use GET, unless remote_control is set. */
static bool is_allowed(const struct admin *admin, const struct admin_request *request)
{
    if (admin->options.remote_control || strcmp(request->route->method, MHD_HTTP_METHOD_GET) == 0) {
        return true;
    }
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(request->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    return info != NULL && listen_address_is_loopback(info->client_addr);
}

static void fill_answer(const struct admin *admin, struct admin_request *request,
                        const char *method, struct admin_answer *answer)
{
    bool path_known = false;
    bool head = strcmp(method, MHD_HTTP_METHOD_HEAD) == 0;
    const char *route_method = head ? MHD_HTTP_METHOD_GET : method;
    request->route = find_route(admin, route_method, request->segments, &path_known);
    if (request->route == NULL) {
        answer_kind(answer, ERROR_KIND_BAD_REQUEST,
                    path_known ? "the path does not support this method" : "the path is not known");
        return;
    }
    if (!is_allowed(admin, request)) {
        answer_kind(answer, ERROR_KIND_UNAUTHORIZED_ADMIN,
                    error_entry_of(ERROR_KIND_UNAUTHORIZED_ADMIN)->text);
        return;
    }
    if (request->body_too_large) {
        answer_kind(answer, ERROR_KIND_TOO_LARGE, "the body is too large");
        return;
    }
    request->route->handler(request, answer, request->route->user);
}

static enum MHD_Result answer_request(const struct admin *admin, struct admin_request *request,
                                      const char *method)
{
    struct admin_answer answer = {
        .status = MHD_HTTP_OK,
        .body = g_string_new(NULL),
        .content_type = ADMIN_TYPE_JSON,
    };
    fill_answer(admin, request, method, &answer);
    size_t length = answer.body->len;
    char *text = g_string_free(answer.body, FALSE);
    struct MHD_Response *response =
        MHD_create_response_from_buffer_with_free_callback(length, text, g_free);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, answer.content_type);
    enum MHD_Result result = MHD_queue_response(request->connection, answer.status, response);
    MHD_destroy_response(response);
    return result;
}

static void receive_body(const struct admin *admin, struct admin_request *request, const char *data,
                         size_t length)
{
    if (request->body->len + length > admin->options.body_bytes_max) {
        request->body_too_large = true;
        g_byte_array_set_size(request->body, 0);
    }
    if (!request->body_too_large) {
        g_byte_array_append(request->body, (const guint8 *)data, (guint)length);
    }
}

static enum MHD_Result on_access(void *user, struct MHD_Connection *connection, const char *url,
                                 const char *method, const char *version, const char *upload_data,
                                 size_t *upload_data_size, void **request_state)
{
    const struct admin *admin = user;
    struct admin_request *request = *request_state;
    if (request == NULL) {
        request = g_new0(struct admin_request, 1);
        request->connection = connection;
        request->segments = g_strsplit(url, "/", SEGMENTS_MAX);
        request->body = g_byte_array_new();
        *request_state = request;
        return MHD_YES;
    }
    if (*upload_data_size > 0) {
        receive_body(admin, request, upload_data, *upload_data_size);
        *upload_data_size = 0;
        return MHD_YES;
    }
    return answer_request(admin, request, method);
}

static void on_completed(void *user, struct MHD_Connection *connection, void **request_state,
                         enum MHD_RequestTerminationCode reason)
{
    if (*request_state != NULL) {
        request_free(*request_state);
        *request_state = NULL;
    }
}

bool admin_start(struct admin *admin, GError **error)
{
    union listen_address address;
    if (!listen_address_parse(admin->options.address, admin->options.port, &address, error)) {
        return false;
    }
    errno = 0;
    admin->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ERROR_LOG | listen_address_flags(&address),
        admin->options.port, NULL, NULL, on_access, admin, MHD_OPTION_EXTERNAL_LOGGER, listen_log,
        (void *)LOG_PREFIX, MHD_OPTION_SOCK_ADDR, &address.any, MHD_OPTION_CONNECTION_LIMIT,
        CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT, IDLE_S, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, admin, MHD_OPTION_END);
    if (admin->daemon == NULL) {
        listen_set_error(admin->options.address, admin->options.port, error);
        return false;
    }
    admin->port = MHD_get_daemon_info(admin->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    return true;
}

uint16_t admin_port(const struct admin *admin)
{
    return admin->port;
}

void admin_stop(struct admin *admin)
{
    if (admin == NULL) {
        return;
    }
    if (admin->daemon != NULL) {
        MHD_stop_daemon(admin->daemon);
    }
    g_ptr_array_unref(admin->routes);
    g_free(admin);
}

const char *admin_request_segment(const struct admin_request *request, size_t index)
{
    size_t seen = 0;
    for (size_t i = 0; request->route->segments[i] != NULL; i++) {
        if (!is_wildcard(request->route->segments[i])) {
            continue;
        }
        if (seen == index) {
            return request->segments[i];
        }
        seen++;
    }
    return NULL;
}

const char *admin_request_body(const struct admin_request *request, size_t *length)
{
    *length = request->body->len;
    return request->body->data == NULL ? "" : (const char *)request->body->data;
}

const char *admin_query_text(const struct admin_request *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection, MHD_GET_ARGUMENT_KIND, name);
}

bool admin_query_number(const struct admin_request *request, const char *name, uint64_t max,
                        uint64_t *value, GError **error)
{
    const char *text = admin_query_text(request, name);
    if (text == NULL) {
        return true;
    }
    guint64 number = 0;
    if (!g_ascii_string_to_unsigned(text, 10, 0, max, &number, NULL)) {
        g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST,
                    "%s is not a number from 0 to %" G_GUINT64_FORMAT, name, max);
        return false;
    }
    *value = number;
    return true;
}

bool admin_query_flag(const struct admin_request *request, const char *name, bool *value,
                      GError **error)
{
    const char *text = admin_query_text(request, name);
    if (text == NULL) {
        return true;
    }
    if (strcmp(text, "true") != 0 && strcmp(text, "false") != 0) {
        g_set_error(error, SW_ERROR, ERROR_KIND_BAD_REQUEST, "%s is neither true nor false", name);
        return false;
    }
    *value = strcmp(text, "true") == 0;
    return true;
}
