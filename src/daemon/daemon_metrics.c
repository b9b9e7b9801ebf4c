/* Metrics of the daemon; see the header. */
#include "daemon/daemon_metrics.h"

#include <math.h>
#include <pthread.h>

#include "backend/clock.h"
#include "core/route.h"
#include "daemon/control_configuration.h"
#include "daemon/daemon.h"
#include "daemon/group_metrics.h"
#include "daemon/task.h"
#include "daemon/transaction.h"

/* Upper bounds of request times, in seconds. */
static const double request_bounds[] = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                        0.2,   0.5,   1,     2,    5,    10};

/* Upper bounds of write gaps, in seconds. */
static const double gap_bounds[] = {0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 8, 30, 120};

enum task_use {
    TASK_USE_READ,
    TASK_USE_WRITE,
    TASK_USE_COUNT,
};

struct daemon_metrics {
    struct metrics *registry;
    struct metric_counter *reads_by_replica;
    struct metric_counter *reads_by_primary;
    struct metric_histogram *write_gap;
    struct metric_counter *answers[TASK_USE_COUNT][OUTCOME_COUNT];
    struct metric_histogram *seconds[TASK_USE_COUNT];
    struct metric_counter *routes[ROUTE_REASON_COUNT];
    struct metric_counter *replayed;
    struct metric_counter *datagrams[DATAGRAM_DIRECTION_COUNT];
    struct metric_counter *bytes[DATAGRAM_DIRECTION_COUNT];
    struct metric_counter *foreign[FOREIGN_TRAFFIC_COUNT];
    pthread_mutex_t gap_lock; /* guards gap_since */
    GHashTable *gap_since;    /* group as pointer -> time_ns *, of groups without a primary */
};

static void make_measures(struct daemon_metrics *metrics)
{
    const struct metric_label replica[] = {{"role", "replica"}, {NULL, NULL}};
    const struct metric_label primary[] = {{"role", "primary"}, {NULL, NULL}};
    const char *name = "swiftworks_reads_total";
    const char *help = "Reads answered, by the role of the database that served them.";
    metrics->reads_by_replica = metrics_counter(metrics->registry, name, help, replica);
    metrics->reads_by_primary = metrics_counter(metrics->registry, name, help, primary);
    metrics->write_gap = metrics_histogram(
        metrics->registry, "swiftworks_write_gap_seconds",
        "Times for which this daemon knew no primary that takes writes of a group.", NULL,
        gap_bounds, G_N_ELEMENTS(gap_bounds));
}

static void make_requests(struct daemon_metrics *metrics)
{
    static const char *const uses[] = {"read", "write"};
    for (int use = 0; use < TASK_USE_COUNT; use++) {
        const struct metric_label label[] = {{"use", uses[use]}, {NULL, NULL}};
        metrics->seconds[use] = metrics_histogram(metrics->registry, "swiftworks_task_seconds",
                                                  "Times from submission to answer.", label,
                                                  request_bounds, G_N_ELEMENTS(request_bounds));
        for (int outcome = 0; outcome < OUTCOME_COUNT; outcome++) {
            const struct metric_label labels[] = {
                {"use", uses[use]}, {"outcome", outcome_name((enum outcome)outcome)}, {NULL, NULL}};
            metrics->answers[use][outcome] =
                metrics_counter(metrics->registry, "swiftworks_tasks_total",
                                "Requests that this daemon ran or forwarded, by outcome.", labels);
        }
    }
    for (int reason = 0; reason < ROUTE_REASON_COUNT; reason++) {
        const struct metric_label labels[] = {
            {"reason", route_reason_name((enum route_reason)reason)}, {NULL, NULL}};
        metrics->routes[reason] = metrics_counter(metrics->registry, "swiftworks_routes_total",
                                                  "Routing decisions by reason.", labels);
    }
    metrics->replayed = metrics_counter(metrics->registry, "swiftworks_replayed_total",
                                        "Outcomes found in the ledger instead of run.", NULL);
}

static void make_traffic(struct daemon_metrics *metrics)
{
    static const char *const directions[] = {"sent", "received"};
    for (int direction = 0; direction < DATAGRAM_DIRECTION_COUNT; direction++) {
        const struct metric_label label[] = {{"direction", directions[direction]}, {NULL, NULL}};
        metrics->datagrams[direction] =
            metrics_counter(metrics->registry, "swiftworks_control_datagrams_total",
                            "Datagrams of the control plane between daemons.", label);
        metrics->bytes[direction] =
            metrics_counter(metrics->registry, "swiftworks_control_octets_total",
                            "Octets in these datagrams, without headers of UDP and IP.", label);
    }
    static const char *const ways[] = {"datagram", "connection"};
    for (int way = 0; way < FOREIGN_TRAFFIC_COUNT; way++) {
        const struct metric_label label[] = {{"over", ways[way]}, {NULL, NULL}};
        metrics->foreign[way] =
            metrics_counter(metrics->registry, "swiftworks_foreign_messages_total",
                            "Messages of another deployment, dropped or refused.", label);
    }
}

struct daemon_metrics *daemon_metrics_new(void)
{
    struct daemon_metrics *metrics = g_new0(struct daemon_metrics, 1);
    metrics->registry = metrics_new();
    pthread_mutex_init(&metrics->gap_lock, NULL);
    metrics->gap_since = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    make_measures(metrics);
    make_requests(metrics);
    make_traffic(metrics);
    return metrics;
}

void daemon_metrics_free(struct daemon_metrics *metrics)
{
    g_hash_table_destroy(metrics->gap_since);
    pthread_mutex_destroy(&metrics->gap_lock);
    metrics_free(metrics->registry);
    g_free(metrics);
}

struct metrics *daemon_metrics_registry(struct daemon_metrics *metrics)
{
    return metrics->registry;
}

static double read_tasks_open(void *user)
{
    struct daemon *daemon = user;
    return atomic_load(&daemon->tasks_open);
}

static double read_backlog(void *user)
{
    struct daemon *daemon = user;
    return worker_pool_backlog(daemon->workers);
}

static double read_transactions(void *user)
{
    struct daemon *daemon = user;
    return transaction_table_count(daemon->transactions);
}

static double read_configuration_version(void *user)
{
    struct daemon *daemon = user;
    struct configuration_status status;
    control_configuration_status(daemon->control, &status);
    return (double)status.version;
}

/* NaN while the configuration in force was never confirmed, or if it is static. */
static double read_confirmed_age(void *user)
{
    struct daemon *daemon = user;
    struct configuration_status status;
    control_configuration_status(daemon->control, &status);
    time_ns now = backend_now();
    if (status.confirmed_at == 0 || now < status.confirmed_at) {
        return status.confirmed_at == 0 ? (double)NAN : 0;
    }
    return (double)(now - status.confirmed_at) / (double)NANOSECONDS_PER_SECOND;
}

void daemon_metrics_watch(struct daemon_metrics *metrics, struct daemon *daemon)
{
    metrics_collector(metrics->registry, group_metrics_collect, daemon);
    metrics_gauge_function(metrics->registry, "swiftworks_tasks_open",
                           "Requests begun and not answered.", NULL, read_tasks_open, daemon);
    metrics_gauge_function(metrics->registry, "swiftworks_worker_backlog",
                           "Requests that wait for a worker thread or for a moment.", NULL,
                           read_backlog, daemon);
    metrics_gauge_function(metrics->registry, "swiftworks_transactions_open",
                           "Interactive transactions open here.", NULL, read_transactions, daemon);
    metrics_gauge_function(metrics->registry, "swiftworks_configuration_version",
                           "Published version in force; 0: none, or static.", NULL,
                           read_configuration_version, daemon);
    metrics_gauge_function(metrics->registry, "swiftworks_configuration_confirmed_age_seconds",
                           "Time since the configuration was last known to be the newest.", NULL,
                           read_confirmed_age, daemon);
}

static void count_read_role(struct daemon_metrics *metrics, const struct reply *reply)
{
    if (reply->outcome != OUTCOME_DONE) {
        return;
    }
    bool replica = g_strcmp0(reply->served_by_role, "replica") == 0;
    metric_counter_add(replica ? metrics->reads_by_replica : metrics->reads_by_primary, 1);
}

void daemon_metrics_count(struct daemon_metrics *metrics, const struct task *task, time_ns now)
{
    enum task_use use = task->request->read_only ? TASK_USE_READ : TASK_USE_WRITE;
    const struct reply *reply = &task->reply;
    double seconds = (double)(now - task->started_at) / (double)NANOSECONDS_PER_SECOND;
    metric_histogram_observe(metrics->seconds[use], seconds);
    if (reply->outcome < OUTCOME_COUNT) {
        metric_counter_add(metrics->answers[use][reply->outcome], 1);
    }
    if (reply->reason < ROUTE_REASON_COUNT) {
        metric_counter_add(metrics->routes[reply->reason], 1);
    }
    if (reply->replayed) {
        metric_counter_add(metrics->replayed, 1);
    }
    if (use == TASK_USE_READ) {
        count_read_role(metrics, reply);
    }
}

void daemon_metrics_datagram(struct daemon_metrics *metrics, enum datagram_direction direction,
                             size_t bytes)
{
    metric_counter_add(metrics->datagrams[direction], 1);
    metric_counter_add(metrics->bytes[direction], bytes);
}

void daemon_metrics_foreign(struct daemon_metrics *metrics, enum foreign_traffic traffic)
{
    metric_counter_add(metrics->foreign[traffic], 1);
}

void daemon_metrics_group_writable(struct daemon_metrics *metrics, uint32_t group, bool writable,
                                   time_ns now)
{
    gpointer key = GUINT_TO_POINTER(group);
    pthread_mutex_lock(&metrics->gap_lock);
    time_ns *since = g_hash_table_lookup(metrics->gap_since, key);
    if (!writable && since == NULL) {
        since = g_new(time_ns, 1);
        *since = now;
        g_hash_table_insert(metrics->gap_since, key, since);
    } else if (writable && since != NULL) {
        double seconds = (double)(now - *since) / (double)NANOSECONDS_PER_SECOND;
        metric_histogram_observe(metrics->write_gap, seconds);
        g_hash_table_remove(metrics->gap_since, key);
    }
    pthread_mutex_unlock(&metrics->gap_lock);
}
