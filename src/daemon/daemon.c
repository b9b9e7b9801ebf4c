/* The daemon's parts, in order of dependence; see the header. */
#include "daemon/daemon.h"

#include <arpa/inet.h>
#include <string.h>
#include <urcu-bp.h>

#include "backend/adapter.h"
#include "backend/clock.h"
#include "configuration/problem.h"
#include "core/deployment.h"
#include "core/error.h"
#include "core/route.h"
#include "daemon/admin_api.h"
#include "daemon/budget_plan.h"
#include "daemon/configuration_share.h"
#include "daemon/control.h"
#include "daemon/daemon_metrics.h"
#include "daemon/decision_log.h"
#include "daemon/foreign_traffic.h"
#include "daemon/journal.h"
#include "daemon/task.h"
#include "daemon/transaction.h"
#include "trace/trace_recorder.h"
#include "wire/address.h"

/* Limits of one answer: it must fit into a forwarded reply. */
static const struct result_limits result_limits = {.rows_max = 10000, .bytes_max = 4 << 20};

/* Time for which a member waits for a position, additional time before its connection is closed,
 * and times for opening and reopening. */
#define EVIDENCE_WAIT_MS         500
#define EVIDENCE_TIMEOUT_MS      300
#define EVIDENCE_OPEN_TIMEOUT_MS 500
#define EVIDENCE_REOPEN_MS       50

/* Longest wait at start for answers from the other daemons. */
#define SETTLE_TIMEOUT_MS 2000
#define SETTLE_POLL_US    1000

/* A planned stop closes idle connections of callers after this time without a request. */
#define CALLERS_IDLE_MS 500

#define BYTES_PER_KIB 1024

/* Retry delay given by a daemon that is not ready yet. */
#define NOT_READY_RETRY_AFTER_MS 500

/* Poll interval while a planned stop waits for work to end. */
#define STOP_POLL_US 5000

/* Maximum number of inbound connections from other daemons. */
#define PEER_CONNECTIONS_MAX 4096

/* Retry delay for a request that was meant for a daemon of another deployment. */
#define FOREIGN_RETRY_AFTER_MS 300

const struct result_limits *daemon_result_limits(void)
{
    return &result_limits;
}

struct configuration *daemon_take_configuration(struct daemon *daemon)
{
    rcu_read_lock();
    struct routing_table *table = rcu_dereference(daemon->table);
    struct configuration *configuration =
        table != NULL ? configuration_ref(table->configuration) : NULL;
    rcu_read_unlock();
    return configuration;
}

struct group_runtime *daemon_take_group(struct daemon *daemon, uint32_t group)
{
    rcu_read_lock();
    struct routing_table *table = rcu_dereference(daemon->table);
    struct group_runtime *runtime =
        table != NULL ? g_hash_table_lookup(table->groups, GUINT_TO_POINTER(group)) : NULL;
    if (runtime != NULL) {
        group_runtime_ref(runtime);
    }
    rcu_read_unlock();
    return runtime;
}

static void release_group(gpointer data)
{
    group_runtime_unref(data);
}

GPtrArray *daemon_list_groups(struct daemon *daemon)
{
    GPtrArray *groups = g_ptr_array_new_with_free_func(release_group);
    rcu_read_lock();
    struct routing_table *table = rcu_dereference(daemon->table);
    GHashTableIter iterator;
    gpointer runtime;
    if (table != NULL) {
        g_hash_table_iter_init(&iterator, table->groups);
        while (g_hash_table_iter_next(&iterator, NULL, &runtime)) {
            g_ptr_array_add(groups, group_runtime_ref(runtime));
        }
    }
    rcu_read_unlock();
    return groups;
}

static void free_table(struct routing_table *table)
{
    if (table == NULL) {
        return;
    }
    g_hash_table_destroy(table->groups);
    configuration_unref(table->configuration);
    g_free(table);
}

static struct group_runtime *start_group(struct daemon *daemon,
                                         const struct group_configuration *group,
                                         struct group_runtime *predecessor)
{
    struct group_runtime_options options = {
        .daemon_name = daemon->settings.daemon.name,
        .zone_name = daemon->settings.daemon.zone,
        .evidence = daemon->evidence,
        .owner_count = daemon->settings.ownership.owners_per_group,
        .handover_time = daemon->settings.ownership.handover_max_ms * NANOSECONDS_PER_MILLISECOND,
        .queue_limit = daemon->settings.routing.queue_limit,
        .open_rate_per_second = daemon->settings.backend.open_rate_per_second,
    };
    return group_runtime_new(group, &options, predecessor);
}

/* A copy of the table in force for a new or the same configuration, with its own references.
 * Changed groups get a successor; groups that the configuration no longer has are left out. */
static struct routing_table *copy_table(struct daemon *daemon, struct configuration *configuration)
{
    struct routing_table *next = g_new0(struct routing_table, 1);
    next->configuration = configuration_ref(configuration);
    next->groups = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, release_group);
    if (daemon->table == NULL) {
        return next;
    }
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iterator, daemon->table->groups);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        struct group_runtime *runtime = value;
        const struct group_configuration *group =
            configuration_find_group(configuration, runtime->group->id);
        if (group != NULL) {
            bool fits = group_runtime_fits(runtime, group);
            g_hash_table_insert(next->groups, key,
                                fits ? group_runtime_ref(runtime)
                                     : start_group(daemon, group, runtime));
        }
    }
    return next;
}

static void replace_table(struct daemon *daemon, struct routing_table *next)
{
    struct routing_table *previous = daemon->table;
    rcu_assign_pointer(daemon->table, next);
    synchronize_rcu();
    free_table(previous);
}

void daemon_set_configuration(struct daemon *daemon, struct configuration *configuration)
{
    replace_table(daemon, copy_table(daemon, configuration));
}

struct group_runtime *daemon_begin_group(struct daemon *daemon, uint32_t id)
{
    struct configuration *configuration = daemon->table->configuration;
    const struct group_configuration *group = configuration_find_group(configuration, id);
    if (group == NULL) {
        return NULL;
    }
    struct routing_table *next = copy_table(daemon, configuration);
    struct group_runtime *runtime = start_group(daemon, group, NULL);
    g_hash_table_insert(next->groups, GUINT_TO_POINTER(id), runtime);
    group_runtime_ref(runtime);
    replace_table(daemon, next);
    return runtime;
}

void daemon_end_group(struct daemon *daemon, uint32_t id)
{
    struct routing_table *next = copy_table(daemon, daemon->table->configuration);
    g_hash_table_remove(next->groups, GUINT_TO_POINTER(id));
    replace_table(daemon, next);
}

bool daemon_may_serve(struct daemon *daemon)
{
    return backend_now() <= atomic_load(&daemon->serve_until);
}

bool daemon_task_started(struct daemon *daemon, const struct request *request)
{
    atomic_fetch_add(&daemon->tasks_open, 1);
    bool continues = request->transaction_id != NULL && request->transaction_id[0] != '\0';
    return continues || !atomic_load(&daemon->stopping);
}

void daemon_task_ended(struct daemon *daemon)
{
    atomic_fetch_sub(&daemon->tasks_open, 1);
}

/* Callers' requests. */

static bool find_tenant(const char *name, struct frontend_tenant *tenant, void *user,
                        GError **error)
{
    struct daemon *daemon = user;
    bool found = false;
    rcu_read_lock();
    struct routing_table *table = rcu_dereference(daemon->table);
    const struct tenant_route *route =
        table != NULL ? configuration_find_tenant(table->configuration, name) : NULL;
    if (route != NULL) {
        tenant->group = route->group;
        tenant->limits.timeout_ms = MIN(tenant->limits.timeout_ms, route->request_timeout_ms);
        found = true;
    }
    rcu_read_unlock();
    if (!found) {
        enum error_kind kind = table == NULL ? ERROR_KIND_NOT_READY : ERROR_KIND_UNKNOWN_TENANT;
        g_set_error_literal(error, SW_ERROR, (gint)kind, error_entry_of(kind)->text);
    }
    return found;
}

static void answer_caller(void *origin, const struct reply *reply)
{
    frontend_answer(origin, reply);
}

static void submit_request(struct frontend_call *call, struct request *request, void *user)
{
    task_submit(user, request, answer_caller, call);
}

static const char *reason_name(uint32_t reason)
{
    return route_reason_name((enum route_reason)reason);
}

/* Requests of other daemons: the connection's thread waits for its task. */

struct peer_wait {
    pthread_mutex_t lock;
    pthread_cond_t answered;
    bool done;
    struct reply *reply;
};

static void answer_peer(void *origin, const struct reply *reply)
{
    struct peer_wait *wait = origin;
    pthread_mutex_lock(&wait->lock);
    reply_copy(wait->reply, reply);
    wait->done = true;
    pthread_cond_signal(&wait->answered);
    pthread_mutex_unlock(&wait->lock);
}

/* Other daemons learn of this one shortly before it can run their requests. They need an answer
 * that nothing was run: without one they would report the outcome as unknown. */
static void refuse_not_ready(const struct request *request, struct reply *reply)
{
    reply->request_id = g_strdup(request->request_id);
    reply->outcome = OUTCOME_REFUSED;
    reply->error_kind = ERROR_KIND_NOT_READY;
    reply->error_text = g_strdup(error_entry_of(ERROR_KIND_NOT_READY)->text);
    reply->retry_after_ms = NOT_READY_RETRY_AFTER_MS;
}

static void serve_peer(const struct message *request, struct message *reply, void *user)
{
    struct daemon *daemon = user;
    if (request->kind == MESSAGE_KIND_CONFIGURATION_REQUEST) {
        message_init(reply, MESSAGE_KIND_CONFIGURATION_REPLY);
        configuration_share_answer(daemon->configuration_share, &request->configuration_request,
                                   &reply->configuration_reply);
        return;
    }
    if (request->kind != MESSAGE_KIND_REQUEST) {
        return;
    }
    message_init(reply, MESSAGE_KIND_REPLY);
    if (!atomic_load(&daemon->ready)) {
        refuse_not_ready(&request->request, &reply->reply);
        return;
    }
    struct peer_wait wait = {.lock = PTHREAD_MUTEX_INITIALIZER,
                             .answered = PTHREAD_COND_INITIALIZER};
    struct request *own = g_new0(struct request, 1);
    request_copy(own, &request->request);
    wait.reply = &reply->reply;
    task_submit(daemon, own, answer_peer, &wait);
    pthread_mutex_lock(&wait.lock);
    while (!wait.done) {
        pthread_cond_wait(&wait.answered, &wait.lock);
    }
    pthread_mutex_unlock(&wait.lock);
}

/* Answers a request for a daemon of another deployment that had this address before. Nothing is
 * run, so that the sender tries another owner. */
static void refuse_foreign(const struct message *request, struct message *reply, void *user)
{
    foreign_traffic_record(user, FOREIGN_TRAFFIC_CONNECTION, NULL);
    if (request->kind == MESSAGE_KIND_CONFIGURATION_REQUEST) {
        message_init(reply, MESSAGE_KIND_CONFIGURATION_REPLY);
    } else if (request->kind == MESSAGE_KIND_REQUEST) {
        message_init(reply, MESSAGE_KIND_REPLY);
        reply->reply.request_id = g_strdup(request->request.request_id);
        reply->reply.outcome = OUTCOME_REFUSED;
        reply->reply.error_kind = ERROR_KIND_PEER_UNREACHABLE;
        reply->reply.error_text =
            g_strdup("The daemon at this address belongs to another deployment.");
        reply->reply.retry_after_ms = FOREIGN_RETRY_AFTER_MS;
    }
}

/* Start. */

static bool start_peer_server(struct daemon *daemon, GError **error)
{
    struct peer_server_options options = {
        .handler = serve_peer,
        .foreign_handler = refuse_foreign,
        .deployment = daemon->deployment,
        .user = daemon,
        .connections_max = PEER_CONNECTIONS_MAX,
    };
    daemon->peers = peer_pool_new(PEER_POOL_IDLE_MAX_DEFAULT);
    peer_pool_set_deployment(daemon->peers, daemon->deployment);
    daemon->peer_server = peer_server_start(daemon->settings.daemon.peer_listen, &options, error);
    return daemon->peer_server != NULL;
}

static bool start_frontend(struct daemon *daemon, GError **error)
{
    struct sockaddr_in address;
    char host[INET_ADDRSTRLEN];
    parse_address(daemon->settings.daemon.listen, &address);
    inet_ntop(AF_INET, &address.sin_addr, host, sizeof(host));
    struct frontend_options options;
    frontend_options_init(&options);
    options.address = host;
    options.port = ntohs(address.sin_port);
    options.threads = daemon->settings.daemon.http_threads;
    options.limits.body_bytes_max = (uint32_t)daemon->settings.request.body_limit;
    options.limits.timeout_ms = daemon->settings.request.default_timeout_ms;
    options.limits.timeout_ms_max = daemon->settings.request.max_timeout_ms;
    options.metrics = daemon_metrics_registry(daemon->metrics);
    options.token_keys = daemon->token_keys;
    options.reason_name = reason_name;
    options.find_tenant = find_tenant;
    options.submit = submit_request;
    options.user = daemon;
    daemon->frontend = frontend_start(&options, error);
    return daemon->frontend != NULL;
}

/* Reads the static configuration. */
static bool load_configuration(struct daemon *daemon, GError **error)
{
    const char *path = daemon->settings.configuration.file;
    g_autofree char *text = NULL;
    gsize length = 0;
    if (!g_file_get_contents(path, &text, &length, error)) {
        return false;
    }
    struct configuration *configuration = NULL;
    g_autoptr(GPtrArray) problems = configuration_problems_new();
    if (!configuration_parse(text, length, path, &configuration, problems)) {
        g_autofree char *list = configuration_problems_text(problems);
        g_set_error_literal(error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION, list);
        return false;
    }
    const struct zone_configuration *zone =
        configuration_find_zone_by_name(configuration, daemon->settings.daemon.zone);
    if (zone == NULL) {
        g_set_error(error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION,
                    "%s: zone \"%s\" of setting daemon.zone is not in the configuration", path,
                    daemon->settings.daemon.zone);
        configuration_unref(configuration);
        return false;
    }
    if (!budget_plan_check(configuration, daemon->settings.ownership.owners_per_group, error)) {
        g_prefix_error(error, "%s: ", path);
        configuration_unref(configuration);
        return false;
    }
    if (zone->id >= MEMBERSHIP_ZONES_MAX) {
        g_set_error(error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION,
                    "%s: zone \"%s\" has an id above %d, which gossip can't carry", path,
                    zone->name, MEMBERSHIP_ZONES_MAX - 1);
        configuration_unref(configuration);
        return false;
    }
    atomic_store(&daemon->zone, zone->id);
    atomic_store(&daemon->serve_until, UINT64_MAX);
    daemon_set_configuration(daemon, configuration);
    configuration_unref(configuration);
    return true;
}

/* Without a deployment name the daemon can't distinguish its own deployment's messages from
 * others'. */
static void name_deployment(struct daemon *daemon)
{
    daemon->deployment = deployment_hash(daemon->settings.daemon.deployment);
    if (daemon->deployment == DEPLOYMENT_UNNAMED) {
        g_message("daemon.deployment is empty: messages from other deployments are not detected.");
    }
}

/* Callers are served only once the membership is known, or no other daemon has answered in time. */
static void wait_until_settled(struct daemon *daemon)
{
    time_ns deadline = backend_now() + SETTLE_TIMEOUT_MS * NANOSECONDS_PER_MILLISECOND;
    while (!control_is_settled(daemon->control) && backend_now() < deadline) {
        g_usleep(SETTLE_POLL_US);
    }
}

/* A static configuration is read now; a published one is fetched by the control thread. */
static bool begin_configuration(struct daemon *daemon, GError **error)
{
    const struct settings *settings = &daemon->settings;
    if (settings->configuration.file[0] != '\0') {
        return load_configuration(daemon, error);
    }
    if (settings->platform.table_endpoint[0] == '\0') {
        g_set_error(error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION,
                    "neither configuration.file nor platform.table_endpoint is set");
        return false;
    }
    return true;
}

static bool start_parts(struct daemon *daemon, GError **error)
{
    daemon->token_keys = token_keys_load(daemon->settings.session.token_keys_file, error);
    if (daemon->token_keys == NULL || !begin_configuration(daemon, error) ||
        !start_peer_server(daemon, error)) {
        return false;
    }
    daemon->control = control_start(daemon, error);
    if (daemon->control == NULL) {
        return false;
    }
    daemon_metrics_watch(daemon->metrics, daemon);
    atomic_store(&daemon->ready, true);
    if (!admin_api_start(daemon, error)) {
        return false;
    }
    wait_until_settled(daemon);
    return start_frontend(daemon, error);
}

struct daemon *daemon_start(const struct settings *settings, GError **error)
{
    struct daemon *daemon = g_new0(struct daemon, 1);
    daemon->settings = *settings;
    daemon->incarnation = (uint64_t)g_get_real_time();
    name_deployment(daemon);
    daemon->metrics = daemon_metrics_new();
    daemon->journal = journal_new();
    daemon->traces = trace_recorder_new((size_t)daemon->settings.trace.memory_kb * BYTES_PER_KIB);
    daemon->decisions = decision_log_new(settings->daemon.decisions_kept);
    daemon->configuration_share = configuration_share_new();
    daemon->workers = worker_pool_new(daemon->settings.daemon.worker_threads,
                                      daemon->settings.daemon.request_queue);
    struct evidence_options evidence = {
        .wait_ms = EVIDENCE_WAIT_MS,
        .timeout_ms = EVIDENCE_TIMEOUT_MS,
        .open_timeout_ms = EVIDENCE_OPEN_TIMEOUT_MS,
        .reopen_ms = EVIDENCE_REOPEN_MS,
    };
    daemon->evidence = evidence_new(&evidence);
    daemon->transactions = transaction_table_new(daemon->settings.daemon.name, daemon->incarnation);
    if (!start_parts(daemon, error)) {
        daemon_stop(daemon, backend_now());
        return NULL;
    }
    return daemon;
}

/* Stop. */

static bool all_work_ended(struct daemon *daemon)
{
    return atomic_load(&daemon->tasks_open) == 0 &&
           transaction_table_count(daemon->transactions) == 0 &&
           (daemon->frontend == NULL || frontend_in_flight(daemon->frontend) == 0);
}

/* True if a request that was sent to this daemon may still be on its way. */
static bool callers_may_send(const struct daemon *daemon, time_ns idle_for)
{
    return daemon->frontend != NULL && frontend_connections(daemon->frontend) > 0 &&
           idle_for < CALLERS_IDLE_MS * NANOSECONDS_PER_MILLISECOND;
}

/* Waits until all work has ended. Returns what is left at the deadline. */
static uint32_t wait_for_end(struct daemon *daemon, time_ns deadline)
{
    time_ns now = backend_now();
    time_ns idle_since = now;
    bool ended = all_work_ended(daemon);
    while (now < deadline && (!ended || callers_may_send(daemon, now - idle_since))) {
        g_usleep(STOP_POLL_US);
        now = backend_now();
        ended = all_work_ended(daemon);
        idle_since = ended ? idle_since : now;
    }
    return atomic_load(&daemon->tasks_open) + transaction_table_count(daemon->transactions);
}

static void stop_listeners(struct daemon *daemon)
{
    if (daemon->frontend != NULL) {
        frontend_stop(daemon->frontend);
    }
    if (daemon->peer_server != NULL) {
        peer_server_free(daemon->peer_server);
    }
    admin_api_stop(daemon);
}

/* Waits for the tasks that are left after the deadline; they end by their own, short deadlines. */
static void wait_for_tasks(struct daemon *daemon)
{
    while (atomic_load(&daemon->tasks_open) > 0) {
        worker_pool_wake(daemon->workers);
        g_usleep(STOP_POLL_US);
    }
}

static void free_parts(struct daemon *daemon)
{
    if (daemon->control != NULL) {
        control_stop(daemon->control);
    }
    transaction_table_expire(daemon->transactions, backend_now(), true);
    transaction_table_free(daemon->transactions);
    worker_pool_free(daemon->workers);
    if (daemon->peers != NULL) {
        peer_pool_free(daemon->peers);
    }
    free_table(daemon->table);
    evidence_free(daemon->evidence);
    token_keys_free(daemon->token_keys);
    journal_free(daemon->journal);
    trace_recorder_free(daemon->traces);
    decision_log_free(daemon->decisions);
    configuration_share_free(daemon->configuration_share);
    daemon_metrics_free(daemon->metrics);
    rcu_barrier();
    settings_clear(&daemon->settings);
    g_free(daemon);
}

/* Keeps serving until the groups have been handed over to their new owners. */
static void hand_over_groups(struct daemon *daemon, time_ns deadline)
{
    control_set_leaving(daemon->control, true);
    while (control_holds_groups(daemon->control) && backend_now() < deadline) {
        g_usleep(STOP_POLL_US);
    }
}

uint32_t daemon_stop(struct daemon *daemon, time_ns deadline)
{
    if (daemon->control != NULL) {
        hand_over_groups(daemon, deadline);
    }
    atomic_store(&daemon->stopping, true);
    if (daemon->frontend != NULL) {
        frontend_stop_accepting(daemon->frontend);
    }
    uint32_t aborted = wait_for_end(daemon, deadline);
    if (daemon->peer_server != NULL) {
        aborted += peer_server_stop(daemon->peer_server, deadline);
    }
    wait_for_tasks(daemon);
    stop_listeners(daemon);
    free_parts(daemon);
    return aborted;
}
