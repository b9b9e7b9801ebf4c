#include "frontend/frontend.h"

#include "frontend/call.h"
#include "frontend/listen.h"
#include "sql/classify.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#define LOG_PREFIX "frontend"

/* Defaults of struct frontend_options. */
#define DEFAULT_THREADS         4
#define DEFAULT_CONNECTIONS_MAX 8192
#define DEFAULT_IDLE_S          120
#define DEFAULT_SQL_ENTRIES     16384
#define DEFAULT_SQL_OCTETS      (4 * 1024 * 1024)
#define DEFAULT_BODY_OCTETS_MAX (1024 * 1024)
#define DEFAULT_STATEMENTS_MAX  64
#define DEFAULT_PARAMETERS_MAX  256
#define DEFAULT_TIMEOUT_MS      10000
#define DEFAULT_TIMEOUT_MS_MAX  60000

/* Memory of one connection for its headers; holds a token of full size both ways. */
#define CONNECTION_MEMORY_OCTETS (32 * 1024)

struct frontend {
    struct call_shared shared;
    struct MHD_Daemon *daemon;
    uint16_t port;
};

void frontend_options_init(struct frontend_options *options)
{
    memset(options, 0, sizeof(*options));
    options->address = "127.0.0.1";
    options->threads = DEFAULT_THREADS;
    options->connections_max = DEFAULT_CONNECTIONS_MAX;
    options->idle_s = DEFAULT_IDLE_S;
    options->sql_cache_entries = DEFAULT_SQL_ENTRIES;
    options->sql_cache_octets = DEFAULT_SQL_OCTETS;
    options->limits = (struct frontend_limits){
        .body_octets_max = DEFAULT_BODY_OCTETS_MAX,
        .statements_max = DEFAULT_STATEMENTS_MAX,
        .parameters_max = DEFAULT_PARAMETERS_MAX,
        .timeout_ms_max = DEFAULT_TIMEOUT_MS_MAX,
        .timeout_ms = DEFAULT_TIMEOUT_MS,
    };
}

static struct MHD_Daemon *start_daemon(struct frontend *frontend,
                                       const union listen_address *address)
{
    const struct frontend_options *options = &frontend->shared.options;
    unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG |
                     listen_address_flags(address);
    unsigned threads = MAX(options->threads, 1);
    return MHD_start_daemon(flags, options->port, NULL, NULL, call_on_access, &frontend->shared,
                            MHD_OPTION_EXTERNAL_LOGGER, listen_log, (void *)LOG_PREFIX,
                            MHD_OPTION_SOCK_ADDR, &address->any, MHD_OPTION_THREAD_POOL_SIZE,
                            threads > 1 ? threads : 0, MHD_OPTION_CONNECTION_LIMIT,
                            MAX(options->connections_max, threads), MHD_OPTION_CONNECTION_TIMEOUT,
                            options->idle_s, MHD_OPTION_THREAD_STACK_SIZE,
                            (size_t)SQL_CLASSIFY_STACK_OCTETS, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                            (size_t)CONNECTION_MEMORY_OCTETS, MHD_OPTION_NOTIFY_COMPLETED,
                            call_on_completed, &frontend->shared, MHD_OPTION_END);
}

static void shared_init(struct call_shared *shared, const struct frontend_options *options)
{
    shared->options = *options;
    atomic_init(&shared->stopping, false);
    atomic_init(&shared->in_flight, 0);
    g_mutex_init(&shared->mutex);
    g_cond_init(&shared->resumed);
    shared->suspended = g_hash_table_new(NULL, NULL);
    shared->sql_cache = sql_cache_new(options->sql_cache_entries, options->sql_cache_octets);
}

static void frontend_free(struct frontend *frontend)
{
    sql_cache_free(frontend->shared.sql_cache);
    g_hash_table_destroy(frontend->shared.suspended);
    g_cond_clear(&frontend->shared.resumed);
    g_mutex_clear(&frontend->shared.mutex);
    g_free(frontend);
}

struct frontend *frontend_start(const struct frontend_options *options, GError **error)
{
    union listen_address address;
    if (!listen_address_parse(options->address, options->port, &address, error)) {
        return NULL;
    }
    struct frontend *frontend = g_new0(struct frontend, 1);
    shared_init(&frontend->shared, options);
    errno = 0;
    frontend->daemon = start_daemon(frontend, &address);
    if (frontend->daemon == NULL) {
        listen_set_error(options->address, options->port, error);
        frontend_free(frontend);
        return NULL;
    }
    frontend->port = MHD_get_daemon_info(frontend->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    return frontend;
}

uint16_t frontend_port(const struct frontend *frontend)
{
    return frontend->port;
}

void frontend_stop_accepting(struct frontend *frontend)
{
    if (atomic_exchange(&frontend->shared.stopping, true)) {
        return;
    }
    MHD_socket listener = MHD_quiesce_daemon(frontend->daemon);
    if (listener != MHD_INVALID_SOCKET) {
        close(listener);
    }
}

unsigned frontend_in_flight(const struct frontend *frontend)
{
    return atomic_load(&frontend->shared.in_flight);
}

unsigned frontend_connections(const struct frontend *frontend)
{
    return MHD_get_daemon_info(frontend->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)
        ->num_connections;
}

unsigned frontend_stop(struct frontend *frontend)
{
    frontend_stop_accepting(frontend);
    unsigned cut = call_cut_all(&frontend->shared);
    MHD_stop_daemon(frontend->daemon);
    frontend_free(frontend);
    return cut;
}
