#include "frontend/frontend.h"

#include "frontend/acceptor.h"
#include "frontend/call.h"
#include "frontend/listen.h"
#include "sql/classify.h"

#include <errno.h>
#include <string.h>
#include <time.h>

#define LOG_PREFIX "frontend"

/* Defaults of struct frontend_options. */
#define DEFAULT_THREADS         4
#define DEFAULT_CONNECTIONS_MAX 8192
#define DEFAULT_IDLE_S          120
#define DEFAULT_RECEIVE_S       10
#define DEFAULT_SQL_ENTRIES     16384
#define DEFAULT_SQL_BYTES       (4 * 1024 * 1024)
#define DEFAULT_BODY_BYTES_MAX  (1024 * 1024)
#define DEFAULT_STATEMENTS_MAX  64
#define DEFAULT_PARAMETERS_MAX  256
#define DEFAULT_TIMEOUT_MS      10000
#define DEFAULT_TIMEOUT_MS_MAX  60000

/* Memory of one connection for headers. libmicrohttpd writes to all of it at the first request and
 * keeps it while the connection is open. It holds request headers of CALL_HEAD_BYTES_MAX and an
 * answer with a session token of maximum size. */
#define CONNECTION_MEMORY_BYTES (16 * 1024)

struct frontend {
    struct call_shared shared;
    struct metrics *own_metrics; /* used if the options have none */
    struct MHD_Daemon *daemon;
    struct acceptor *acceptor; /* NULL after frontend_stop_accepting */
    uint16_t port;
};

void frontend_options_init(struct frontend_options *options)
{
    memset(options, 0, sizeof(*options));
    options->address = "127.0.0.1";
    options->threads = DEFAULT_THREADS;
    options->connections_max = DEFAULT_CONNECTIONS_MAX;
    options->idle_s = DEFAULT_IDLE_S;
    options->receive_s = DEFAULT_RECEIVE_S;
    options->sql_cache_entries = DEFAULT_SQL_ENTRIES;
    options->sql_cache_bytes = DEFAULT_SQL_BYTES;
    options->limits = (struct frontend_limits){
        .body_bytes_max = DEFAULT_BODY_BYTES_MAX,
        .statements_max = DEFAULT_STATEMENTS_MAX,
        .parameters_max = DEFAULT_PARAMETERS_MAX,
        .timeout_ms_max = DEFAULT_TIMEOUT_MS_MAX,
        .timeout_ms = DEFAULT_TIMEOUT_MS,
    };
}

/* Called by libmicrohttpd when a connection begins or ends. */
static void on_connection(void *user, struct MHD_Connection *connection, void **connection_state,
                          enum MHD_ConnectionNotificationCode code)
{
    struct call_shared *shared = user;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        atomic_fetch_add(&shared->connections, 1);
        metric_gauge_add(shared->metrics.connections, 1);
    } else {
        atomic_fetch_sub(&shared->connections, 1);
        metric_gauge_add(shared->metrics.connections, -1);
    }
}

static struct MHD_Daemon *start_daemon(struct frontend *frontend)
{
    struct call_shared *shared = &frontend->shared;
    const struct frontend_options *options = &shared->options;
    unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG |
                     MHD_USE_NO_LISTEN_SOCKET;
    unsigned threads = MAX(options->threads, 1);
    unsigned connections_max = MAX(options->connections_max, threads);
    struct MHD_OptionItem items[] = {
        {MHD_OPTION_THREAD_POOL_SIZE, threads > 1 ? threads : 0, NULL},
        {MHD_OPTION_THREAD_STACK_SIZE, SQL_CLASSIFY_STACK_BYTES, NULL},
        {MHD_OPTION_CONNECTION_LIMIT, connections_max, NULL},
        {MHD_OPTION_CONNECTION_TIMEOUT, options->idle_s, NULL},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY_BYTES, NULL},
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)call_on_completed, shared},
        {MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)on_connection, shared},
        {MHD_OPTION_END, 0, NULL},
    };
    return MHD_start_daemon(flags, 0, NULL, NULL, call_on_access, shared,
                            MHD_OPTION_EXTERNAL_LOGGER, listen_log, (void *)LOG_PREFIX,
                            MHD_OPTION_ARRAY, items, MHD_OPTION_END);
}

static void shared_init(struct call_shared *shared, const struct frontend_options *options,
                        struct metrics *metrics)
{
    shared->options = *options;
    frontend_metrics_init(&shared->metrics, metrics);
    atomic_init(&shared->stopping, false);
    atomic_init(&shared->in_flight, 0);
    atomic_init(&shared->connections, 0);
    pthread_mutex_init(&shared->mutex, NULL);
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&shared->changed, &attributes);
    pthread_condattr_destroy(&attributes);
    shared->suspended = g_hash_table_new(NULL, NULL);
    shared->sql_cache = sql_cache_new(options->sql_cache_entries, options->sql_cache_bytes);
}

static void frontend_free(struct frontend *frontend)
{
    sql_cache_free(frontend->shared.sql_cache);
    g_hash_table_destroy(frontend->shared.suspended);
    pthread_cond_destroy(&frontend->shared.changed);
    pthread_mutex_destroy(&frontend->shared.mutex);
    metrics_free(frontend->own_metrics);
    g_free(frontend);
}

/* Passes a connection to libmicrohttpd, which closes it if it can't serve it. */
static void take_connection(int connection, const struct sockaddr *peer, socklen_t length,
                            void *user)
{
    struct frontend *frontend = user;
    MHD_add_connection(frontend->daemon, connection, peer, length);
}

static bool connections_full(void *user)
{
    const struct frontend *frontend = user;
    return frontend_connections(frontend) >= frontend->shared.options.connections_max;
}

static bool start_listening(struct frontend *frontend, GError **error)
{
    const struct frontend_options *options = &frontend->shared.options;
    const struct acceptor_callbacks callbacks = {take_connection, connections_full, frontend};
    errno = 0;
    frontend->daemon = start_daemon(frontend);
    if (frontend->daemon == NULL) {
        listen_set_error(options->address, options->port, error);
        return false;
    }
    frontend->acceptor = acceptor_start(options->address, options->port, &callbacks, error);
    if (frontend->acceptor == NULL) {
        MHD_stop_daemon(frontend->daemon);
        return false;
    }
    frontend->port = acceptor_port(frontend->acceptor);
    return true;
}

struct frontend *frontend_start(const struct frontend_options *options, GError **error)
{
    struct frontend *frontend = g_new0(struct frontend, 1);
    if (options->metrics == NULL) {
        frontend->own_metrics = metrics_new();
    }
    shared_init(&frontend->shared, options,
                options->metrics == NULL ? frontend->own_metrics : options->metrics);
    if (!start_listening(frontend, error)) {
        frontend_free(frontend);
        return NULL;
    }
    return frontend;
}

uint16_t frontend_port(const struct frontend *frontend)
{
    return frontend->port;
}

void frontend_stop_accepting(struct frontend *frontend)
{
    atomic_store(&frontend->shared.stopping, true);
    acceptor_stop(g_steal_pointer(&frontend->acceptor));
}

unsigned frontend_in_flight(const struct frontend *frontend)
{
    return atomic_load(&frontend->shared.in_flight);
}

unsigned frontend_connections(const struct frontend *frontend)
{
    return atomic_load(&frontend->shared.connections);
}

unsigned frontend_stop(struct frontend *frontend)
{
    frontend_stop_accepting(frontend);
    unsigned aborted = call_abort_all(&frontend->shared);
    MHD_stop_daemon(frontend->daemon);
    frontend_free(frontend);
    return aborted;
}
