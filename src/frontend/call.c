#include "frontend/call.h"

#include "core/error.h"
#include "frontend/reply_headers.h"
#include "frontend/request_body.h"
#include "frontend/request_head.h"
#include "generated/errors.h"

#include <string.h>
#include <time.h>
#include <xxhash.h>

#define MICROSECONDS_PER_MILLISECOND 1000

/* A body that will be refused is read and discarded up to this size, so that the caller receives
 * the answer and not a connection reset. */
#define DISCARDED_BYTES_MAX (16 * 1024 * 1024)

/* Maximum time that a stop waits for callers to receive their answers. */
#define STOP_WRITE_WAIT_S 2

static void call_unref(struct frontend_call *call)
{
    if (atomic_fetch_sub(&call->references, 1) != 1) {
        return;
    }
    g_free(call->request_id);
    request_path_clear(&call->path);
    g_free(call->session);
    g_clear_pointer(&call->body, g_byte_array_unref);
    if (call->request != NULL) {
        request_clear(call->request);
        g_free(call->request);
    }
    g_clear_error(&call->refusal);
    if (call->response != NULL) {
        MHD_destroy_response(call->response);
    }
    g_free(call);
}

static double seconds_since(gint64 began_us)
{
    return (double)(g_get_monotonic_time() - began_us) / G_USEC_PER_SEC;
}

static void make_response(struct frontend_call *call, const struct reply *reply)
{
    const struct call_shared *shared = call->shared;
    struct reply_context context = {
        .request_id = call->request_id,
        .group = call->tenant.group,
        .session = call->session,
        .session_count = call->session_count,
        .token_keys = shared->options.token_keys,
        .reason_name = shared->options.reason_name,
        .closes = atomic_load(&shared->stopping),
    };
    GString *body = reply_to_json(reply, &call->shape);
    size_t length = body->len;
    char *text = g_string_free(body, FALSE);
    call->response = MHD_create_response_from_buffer_with_free_callback(length, text, g_free);
    reply_headers_add(call->response, reply, &call->shape, &context);
    frontend_metrics_count(&shared->metrics, reply, seconds_since(call->began_us));
    call->status = reply->outcome == OUTCOME_DONE ? MHD_HTTP_OK
                                                  : error_entry_of(reply->error_kind)->http_status;
    atomic_store_explicit(&call->response_ready, true, memory_order_release);
}

/* Sets the idle time-out of the connection; on the connection's thread. libmicrohttpd 0.9.75 does
 * not notice a connection end that arrives together with part of a request, so only a time-out
 * closes such a connection. */
static void bound_idle_time(struct frontend_call *call, unsigned seconds)
{
    MHD_set_connection_option(call->connection, MHD_CONNECTION_OPTION_TIMEOUT, seconds);
}

/* Queues call->response; on the connection's thread. */
static enum MHD_Result queue_response(struct frontend_call *call)
{
    bound_idle_time(call, call->shared->options.idle_s);
    call->state = CALL_STATE_DONE;
    return MHD_queue_response(call->connection, call->status, call->response);
}

/* Answers with the call's refusal; on the connection's thread. */
static enum MHD_Result queue_refusal(struct frontend_call *call)
{
    struct reply reply;
    reply_init(&reply);
    reply.outcome = OUTCOME_REFUSED;
    reply.error_kind = (uint32_t)call->refusal->code;
    reply.error_text = call->refusal->message;
    reply.error_position = call->refusal_position;
    make_response(call, &reply);
    return queue_response(call);
}

static void refuse(struct frontend_call *call, enum error_kind kind, const char *text)
{
    if (call->refusal == NULL) {
        call->refusal = g_error_new_literal(SW_ERROR, (int)kind, text);
    }
}

static bool find_tenant(struct frontend_call *call)
{
    const struct frontend_options *options = &call->shared->options;
    call->tenant.limits = options->limits;
    return options->find_tenant(call->path.tenant, &call->tenant, options->user, &call->refusal);
}

/* Whether the session token has a free entry for this request's group. The token must never lose a
 * position, so a full token can't be extended by another group. */
static bool session_has_capacity(const struct frontend_call *call)
{
    if (call->session_count < TOKEN_GROUPS_MAX) {
        return true;
    }
    for (size_t i = 0; i < call->session_count; i++) {
        if (call->session[i].group == call->tenant.group) {
            return true;
        }
    }
    return false;
}

/* Checks the request line and headers; stores the first error in call->refusal. */
static void read_head(struct frontend_call *call, const struct request_head *head,
                      const char *method, const char *url)
{
    const struct frontend_options *options = &call->shared->options;
    if (strcmp(method, MHD_HTTP_METHOD_POST) != 0) {
        refuse(call, ERROR_KIND_BAD_REQUEST, "the method is not POST");
        return;
    }
    if (!request_path_parse(url, &call->path, &call->refusal) || !find_tenant(call)) {
        return;
    }
    if (MHD_get_connection_values(call->connection, MHD_GET_ARGUMENT_KIND, NULL, NULL) > 0) {
        refuse(call, ERROR_KIND_BAD_REQUEST, "the path does not accept a query");
        return;
    }
    const struct frontend_limits *limits = &call->tenant.limits;
    if (!request_head_parse(head, options->token_keys, limits->timeout_ms, limits->timeout_ms_max,
                            call->request, &call->refusal)) {
        return;
    }
    call->session = g_memdup2(call->request->session,
                              call->request->session_count * sizeof(struct group_position));
    call->session_count = call->request->session_count;
    call->shape.keyed = call->request->idempotency_key != NULL;
    if (!session_has_capacity(call)) {
        refuse(call, ERROR_KIND_BAD_SESSION, "the session token holds too many groups");
    }
}

static struct frontend_call *call_new(struct call_shared *shared, struct MHD_Connection *connection,
                                      const struct request_head *head)
{
    struct frontend_call *call = g_new0(struct frontend_call, 1);
    atomic_init(&call->references, 1);
    atomic_init(&call->answered, false);
    atomic_init(&call->response_ready, false);
    call->shared = shared;
    call->connection = connection;
    call->began_us = g_get_monotonic_time();
    call->request_id = request_head_id(head);
    call->body = g_byte_array_new();
    call->request = g_new0(struct request, 1);
    request_init(call->request);
    atomic_fetch_add(&shared->in_flight, 1);
    metric_gauge_add(shared->metrics.in_flight, 1);
    return call;
}

/* True if the caller waits for "100 Continue" before it sends the body. */
static bool expects_continue(struct MHD_Connection *connection)
{
    return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_EXPECT) != NULL;
}

static bool content_length_too_large(const struct frontend_call *call)
{
    const char *text = MHD_lookup_connection_value(call->connection, MHD_HEADER_KIND,
                                                   MHD_HTTP_HEADER_CONTENT_LENGTH);
    return text != NULL && g_ascii_strtoull(text, NULL, 10) > call->tenant.limits.body_bytes_max;
}

static void refuse_too_large(struct frontend_call *call)
{
    if (call->refusal == NULL) {
        call->refusal = g_error_new(SW_ERROR, ERROR_KIND_TOO_LARGE, "the body is over %u bytes",
                                    call->tenant.limits.body_bytes_max);
    }
}

/* Size of the request line and all headers, in bytes. */
static size_t head_bytes(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    return info != NULL ? info->header_size : 0;
}

static enum MHD_Result begin_call(struct call_shared *shared, struct MHD_Connection *connection,
                                  const char *url, const char *method, void **request_state)
{
    struct request_head head;
    request_head_collect(connection, &head);
    struct frontend_call *call = call_new(shared, connection, &head);
    *request_state = call;
    bound_idle_time(call, shared->options.receive_s);
    if (head_bytes(connection) > CALL_HEAD_BYTES_MAX) {
        refuse(call, ERROR_KIND_TOO_LARGE,
               "the headers are over " G_STRINGIFY(CALL_HEAD_BYTES_MAX) " bytes");
    } else {
        read_head(call, &head, method, url);
    }
    if (call->refusal == NULL && content_length_too_large(call)) {
        refuse_too_large(call);
    }
    if (call->refusal != NULL && expects_continue(connection)) {
        return queue_refusal(call);
    }
    return MHD_YES;
}

static enum MHD_Result receive_body(struct frontend_call *call, const char *data, size_t length)
{
    call->body_bytes += length;
    if (call->refusal == NULL && call->body_bytes > call->tenant.limits.body_bytes_max) {
        refuse_too_large(call);
        g_byte_array_set_size(call->body, 0);
    }
    if (call->refusal == NULL) {
        g_byte_array_append(call->body, (const guint8 *)data, (guint)length);
        return MHD_YES;
    }
    return call->body_bytes > DISCARDED_BYTES_MAX ? MHD_NO : MHD_YES;
}

/* Hash of the path and body, to detect an idempotency key reused with another request. */
static uint64_t fingerprint_of(const struct frontend_call *call, const char *body)
{
    const char *transaction = call->path.transaction_id == NULL ? "" : call->path.transaction_id;
    g_autofree char *path =
        g_strdup_printf("%s/%d/%s", call->path.tenant, (int)call->path.endpoint, transaction);
    return XXH3_64bits_withSeed(body, call->body->len, XXH3_64bits(path, strlen(path)));
}

/* Subtracts the time since the request's first byte from the caller's time budget. */
static bool deduct_elapsed_time(struct frontend_call *call)
{
    gint64 spent_us = g_get_monotonic_time() - call->began_us;
    gint64 spent_ms = spent_us / MICROSECONDS_PER_MILLISECOND;
    if (spent_ms >= call->request->budget_ms) {
        refuse(call, ERROR_KIND_DEADLINE, "the request took longer to arrive than its timeout");
        return false;
    }
    call->request->budget_ms -= (uint32_t)spent_ms;
    return true;
}

/* Classifies one statement and sets its access mode from the class and the declared access. */
static bool classify_statement(struct frontend_call *call, struct sql_statement *statement)
{
    struct sql_class found;
    if (!sql_cache_classify(call->shared->sql_cache, statement->sql, &found, &call->refusal)) {
        call->refusal_position = found.error_position;
        return false;
    }
    return sql_access_resolve(&found, statement->access, &statement->access, &call->refusal);
}

static bool classify_statements(struct frontend_call *call)
{
    struct request *request = call->request;
    bool read_only = true;
    for (size_t i = 0; i < request->statements_count; i++) {
        if (!classify_statement(call, &request->statements[i])) {
            if (request->kind == REQUEST_KIND_BATCH) {
                g_prefix_error(&call->refusal, "statements[%zu]: ", i);
            }
            return false;
        }
        read_only = read_only && request->statements[i].access == ACCESS_MODE_READ;
    }
    if (request->statements_count > 0) {
        request->read_only = read_only;
    }
    return true;
}

/* Parses the body and completes the request; stores the first error in call->refusal. */
static bool complete_request(struct frontend_call *call)
{
    const struct request_body_limits limits = {
        .statements_max = call->tenant.limits.statements_max,
        .parameters_max = call->tenant.limits.parameters_max,
    };
    struct request *request = call->request;
    const char *body = call->body->data == NULL ? "" : (const char *)call->body->data;
    if (!request_body_parse(body, call->body->len, call->path.endpoint, &limits, request,
                            &call->refusal_position, &call->refusal) ||
        !classify_statements(call)) {
        return false;
    }
    call->shape.kind = request->kind;
    request->request_id = g_strdup(call->request_id);
    request->tenant = g_strdup(call->path.tenant);
    request->transaction_id = g_strdup(call->path.transaction_id);
    request->group = call->tenant.group;
    request->fingerprint = fingerprint_of(call, body);
    return deduct_elapsed_time(call);
}

/* Adds the call to the set of calls that wait for the daemon; false if the frontend is closed. The
 * connection is suspended under the mutex, so that a thread that finds the call in the set may
 * resume it. */
static bool suspend_call(struct frontend_call *call)
{
    struct call_shared *shared = call->shared;
    pthread_mutex_lock(&shared->mutex);
    bool open = !shared->closed;
    if (open) {
        g_hash_table_add(shared->suspended, call);
        MHD_suspend_connection(call->connection);
    }
    pthread_mutex_unlock(&shared->mutex);
    return open;
}

static enum MHD_Result submit_call(struct frontend_call *call)
{
    struct call_shared *shared = call->shared;
    struct request *request = g_steal_pointer(&call->request);
    g_clear_pointer(&call->body, g_byte_array_unref);
    call->state = CALL_STATE_SUBMITTED;
    call->submitted = true;
    atomic_fetch_add(&call->references, 1);
    if (!suspend_call(call)) {
        call->submitted = false;
        call->request = request;
        atomic_fetch_sub(&call->references, 1);
        refuse(call, ERROR_KIND_STOPPING, error_entry_of(ERROR_KIND_STOPPING)->text);
        return queue_refusal(call);
    }
    shared->options.submit(call, request, shared->options.user);
    return MHD_YES;
}

static enum MHD_Result end_body(struct frontend_call *call)
{
    if (call->refusal != NULL || !complete_request(call)) {
        return queue_refusal(call);
    }
    return submit_call(call);
}

enum MHD_Result call_on_access(void *user, struct MHD_Connection *connection, const char *url,
                               const char *method, const char *version, const char *upload_data,
                               size_t *upload_data_size, void **request_state)
{
    struct frontend_call *call = *request_state;
    if (call == NULL) {
        return begin_call(user, connection, url, method, request_state);
    }
    switch (call->state) {
    case CALL_STATE_RECEIVING:
        if (*upload_data_size > 0) {
            size_t length = *upload_data_size;
            *upload_data_size = 0;
            return receive_body(call, upload_data, length);
        }
        return end_body(call);
    case CALL_STATE_SUBMITTED:
        return atomic_load_explicit(&call->response_ready, memory_order_acquire)
                   ? queue_response(call)
                   : MHD_NO;
    case CALL_STATE_DONE:
    default:
        return MHD_YES;
    }
}

/* Counts a submitted call whose answer is written or whose caller has disconnected. */
static void response_written(struct call_shared *shared)
{
    pthread_mutex_lock(&shared->mutex);
    shared->unwritten--;
    pthread_cond_broadcast(&shared->changed);
    pthread_mutex_unlock(&shared->mutex);
}

void call_on_completed(void *user, struct MHD_Connection *connection, void **request_state,
                       enum MHD_RequestTerminationCode reason)
{
    struct call_shared *shared = user;
    struct frontend_call *call = *request_state;
    if (call == NULL) {
        return;
    }
    *request_state = NULL;
    if (call->submitted) {
        response_written(shared);
    }
    if (reason != MHD_REQUEST_TERMINATED_COMPLETED_OK) {
        metric_counter_add(shared->metrics.abandoned, 1);
    }
    call_unref(call);
    metric_gauge_add(shared->metrics.in_flight, -1);
    atomic_fetch_sub(&shared->in_flight, 1);
}

/* Removes the call from the set of suspended calls; the connection stays suspended until
 * resume_call. Called with the mutex held. */
static void begin_resuming(struct frontend_call *call)
{
    g_hash_table_remove(call->shared->suspended, call);
    call->shared->resuming++;
    call->shared->unwritten++;
}

/* Makes the answer and resumes the connection. Called only by the thread that set `answered`, after
 * begin_resuming. */
static void resume_call(struct frontend_call *call, const struct reply *reply)
{
    struct call_shared *shared = call->shared;
    make_response(call, reply);
    MHD_resume_connection(call->connection);
    pthread_mutex_lock(&shared->mutex);
    shared->resuming--;
    pthread_cond_broadcast(&shared->changed);
    pthread_mutex_unlock(&shared->mutex);
}

void frontend_answer(struct frontend_call *call, const struct reply *reply)
{
    if (!atomic_exchange(&call->answered, true)) {
        struct call_shared *shared = call->shared;
        pthread_mutex_lock(&shared->mutex);
        begin_resuming(call);
        pthread_mutex_unlock(&shared->mutex);
        resume_call(call, reply);
    }
    call_unref(call);
}

/* Sets `answered` on all calls not answered yet and returns them, each with an added reference. */
static GPtrArray *claim_suspended(struct call_shared *shared)
{
    GPtrArray *claimed = g_ptr_array_new();
    pthread_mutex_lock(&shared->mutex);
    shared->closed = true;
    GHashTableIter iterator;
    gpointer call = NULL;
    g_hash_table_iter_init(&iterator, shared->suspended);
    while (g_hash_table_iter_next(&iterator, &call, NULL)) {
        struct frontend_call *waiting = call;
        if (!atomic_exchange(&waiting->answered, true)) {
            atomic_fetch_add(&waiting->references, 1);
            g_ptr_array_add(claimed, waiting);
        }
    }
    for (guint i = 0; i < claimed->len; i++) {
        begin_resuming(g_ptr_array_index(claimed, i));
    }
    pthread_mutex_unlock(&shared->mutex);
    return claimed;
}

unsigned call_abort_all(struct call_shared *shared)
{
    g_autoptr(GPtrArray) claimed = claim_suspended(shared);
    struct reply reply;
    reply_init(&reply);
    reply.outcome = OUTCOME_UNKNOWN;
    reply.error_kind = ERROR_KIND_OUTCOME_UNKNOWN;
    for (guint i = 0; i < claimed->len; i++) {
        struct frontend_call *call = g_ptr_array_index(claimed, i);
        resume_call(call, &reply);
        call_unref(call);
    }
    struct timespec until;
    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_sec += STOP_WRITE_WAIT_S;
    pthread_mutex_lock(&shared->mutex);
    while (g_hash_table_size(shared->suspended) > 0 || shared->resuming > 0) {
        pthread_cond_wait(&shared->changed, &shared->mutex);
    }
    bool in_time = true;
    while (in_time && shared->unwritten > 0) {
        in_time = pthread_cond_timedwait(&shared->changed, &shared->mutex, &until) == 0;
    }
    pthread_mutex_unlock(&shared->mutex);
    return claimed->len;
}
