/* The control thread: its parts, event loop, metrics and graceful shutdown. See control.h. */
#define G_LOG_DOMAIN "control"
#include "pooler/control/control_internal.h"

#include "pooler/shared/log.h"
#include "wire/address.h"

#include <errno.h>
#include <inttypes.h>
#include <signal.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <urcu-bp.h>

/* Maximum interval of running all parts. Events run them earlier. */
#define TICK_MS 100

/* The same while a change of primary is in progress at this coordinator. */
#define TICK_BUSY_MS 20

/* Minimum time from one timer tick to the next. */
#define TICK_MIN_MS 5

/* Interval of the log lines with counts. */
#define COUNTS_EVERY_NS (10 * NANOSECONDS_PER_SECOND)

/* File descriptors reserved for connections to databases, poolers and the store, not sessions. */
#define DESCRIPTORS_OWN 300

static void (*reload_callback)(void);

static bool
is_changing_primary(const struct control *control)
{
    if (!control->lease.held) {
        return false;
    }
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, control->controlled);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct controlled_group *group = value;
        bool doubted = group->failover->minority_since != 0;
        if (doubted || group->failover->state != FAILOVER_WATCHING) {
            return true;
        }
    }
    return false;
}

/* When the next timed work of any part is due. */
static time_ns
next_tick_at(const struct control *control, time_ns now)
{
    time_ns due = now + (is_changing_primary(control) ? TICK_BUSY_MS : TICK_MS) * MS;
    if (control->coordinator != NULL) {
        due = MIN(due, control->heartbeat_at);
    }
    due = MIN(due, control_coordinator_due(control));
    if (control->granted_at == 0 && control->relayed_valid_until > now) {
        /* The first store call after the start. */
        due = MIN(due, control->relayed_valid_until);
    }
    if (control_mirrors_has_requests(control)) {
        /* The link may have capacity for waiting answers. */
        due = MIN(due, now + TICK_MIN_MS * MS);
    }
    if (control->mirrors.expected) {
        /* A request to a mirror may have to be sent again. */
        due = MIN(due, now + TICK_BUSY_MS * MS);
    }
    return MAX(due, now + TICK_MIN_MS * MS);
}

static void
arm_tick(struct control *control)
{
    time_ns now = backend_now();
    struct timeval wait = {0, (suseconds_t)((next_tick_at(control, now) - now) / 1000)};
    evtimer_add(control->tick, &wait);
}

static bool
all_workers_ended(const struct control *control)
{
    for (unsigned i = 0; i < control->workers_count; i++) {
        if (!worker_ended(control->workers[i])) {
            return false;
        }
    }
    return true;
}

static void
run_all_parts(struct control *control)
{
    time_ns now = backend_now();
    control_mirrors_tick(control, now);
    control_feeds_tick(control, now);
    control_lease_tick(control, now);
    control_coordinator_tick(control, now);
    control_member_tick(control, now);
    control_reachability_tick(control, now);
    control_publish(control);
    if (atomic_load(&control->shared.stop_at) != 0 && all_workers_ended(control)) {
        event_base_loopbreak(control->base);
    }
}

static void
sum_metrics(const struct control *control, struct metrics *sum)
{
    for (unsigned i = 0; i < control->workers_count; i++) {
        metrics_add(sum, worker_metrics(control->workers[i]));
    }
}

static uint64_t
counter_value(const struct metrics *sum, enum metrics_counter counter)
{
    return atomic_load(&sum->counters[counter]);
}

/* How statements got their connections, what limits and keys refused, and requests for tokens. */
static char *
print_tenant_counts(const struct metrics *sum)
{
    return g_strdup_printf(
        "sent %" PRIu64 ", opened %" PRIu64 ", in place of others %" PRIu64
        ", above limits %" PRIu64 ", no home %" PRIu64 ", unknown keys %" PRIu64
        ", no proof %" PRIu64 ", tokens asked %" PRIu64 ", unanswered %" PRIu64 ", hedged %" PRIu64
        ", late %" PRIu64,
        counter_value(sum, METRICS_CONNECTIONS_REUSED),
        counter_value(sum, METRICS_OPENED_STATEMENT),
        counter_value(sum, METRICS_CONNECTIONS_REPLACED), counter_value(sum, METRICS_REFUSED_RATE),
        counter_value(sum, METRICS_REFUSED_NO_HOME), counter_value(sum, METRICS_REFUSED_KEYS),
        counter_value(sum, METRICS_REFUSED_UNPROVEN), counter_value(sum, METRICS_TOKENS_REQUESTED),
        counter_value(sum, METRICS_TOKENS_UNANSWERED), counter_value(sum, METRICS_TOKENS_HEDGED),
        counter_value(sum, METRICS_TOKENS_LATE));
}

static uint64_t
configuration_version(const struct control *control)
{
    return control->configuration == NULL ? 0 : control->configuration->version;
}

/* Time since the configuration in force was last known to be the store's newest; since the start,
 * if it never was. */
static uint32_t
configuration_age_ms(const struct control *control)
{
    time_ns since = MAX(control->feeds[STORE_TABLE_CONFIGURATION].as_of, control->started_at);
    return (uint32_t)MIN((backend_now() - since) / MS, UINT32_MAX);
}

/* Logs counts since the start: reads, connections, store calls, bytes between poolers. */
static void
log_counts(const struct control *control)
{
    struct metrics sum = {0};
    sum_metrics(control, &sum);
    uint64_t replica = atomic_load(&sum.counters[METRICS_READS_AT_REPLICA]);
    uint64_t primary = atomic_load(&sum.counters[METRICS_READS_AT_PRIMARY]);
    g_autofree char *at_replica = g_strdup_printf("%" G_GUINT64_FORMAT, replica);
    g_autofree char *at_primary = g_strdup_printf("%" G_GUINT64_FORMAT, primary);
    uint64_t opened = atomic_load(&sum.counters[METRICS_CONNECTIONS_OPENED]);
    uint64_t failed = atomic_load(&sum.counters[METRICS_CONNECTIONS_FAILED]);
    uint64_t forwarded = atomic_load(&sum.counters[METRICS_FORWARD_BYTES]);
    g_autofree char *connections =
        g_strdup_printf("%" G_GUINT64_FORMAT ", failed %" G_GUINT64_FORMAT, opened, failed);
    g_autofree char *tenants = print_tenant_counts(&sum);
    g_autofree char *calls = control_counts_print_calls(&control->counts);
    g_autofree char *answers = control_counts_print_answers(&control->counts);
    g_autofree char *bytes = control_counts_print_bytes(&control->counts, PEER_SENT);
    g_autofree char *received = control_counts_print_bytes(&control->counts, PEER_RECEIVED);
    g_autofree char *statements = g_strdup_printf("%" G_GUINT64_FORMAT, forwarded);
    g_autofree char *taken =
        g_strdup_printf("%" PRIu64, counter_value(&sum, METRICS_FORWARD_BYTES_RECEIVED));
    g_autofree char *tokens = g_strdup_printf("%" PRIu64, counter_value(&sum, METRICS_TOKEN_BYTES));
    g_autofree char *sign_bytes =
        g_strdup_printf("%" PRIu64, counter_value(&sum, METRICS_PING_BYTES));
    g_autofree char *version = g_strdup_printf("%" PRIu64, configuration_version(control));
    g_autofree char *age = g_strdup_printf("%" PRIu32, configuration_age_ms(control));
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "SW_READS_AT_REPLICA", at_replica,
                     "SW_READS_AT_PRIMARY", at_primary, "SW_CONNECTIONS", connections, "SW_TENANTS",
                     tenants, "SW_STORE_CALLS", calls, "SW_STORE_BYTES", answers, "SW_PEER_BYTES",
                     bytes, "SW_PEER_BYTES_RECEIVED", received, "SW_FORWARD_BYTES", statements,
                     "SW_FORWARD_BYTES_RECEIVED", taken, "SW_TOKEN_BYTES", tokens, "SW_SIGN_BYTES",
                     sign_bytes, "SW_CONFIGURATION", version, "SW_CONFIGURATION_AGE_MS", age,
                     "SW_RELIES", control->relayed ? "others" : "store", "MESSAGE",
                     "Counts: %s reads at replicas, %s at primaries, connections opened: %s, store "
                     "calls: %s.",
                     at_replica, at_primary, connections, calls);
}

static void
on_tick(evutil_socket_t socket, short events, void *user)
{
    struct control *control = user;
    /* Some changes come with time alone, such as a deleted row that makes its database leave. */
    time_ns now = backend_now();
    if (now > control->refreshed_at + NANOSECONDS_PER_SECOND) {
        control->refreshed_at = now;
        control->view_dirty = true;
    }
    if (now > control->counted_at + COUNTS_EVERY_NS) {
        control->counted_at = now;
        log_counts(control);
    }
    run_all_parts(control);
    arm_tick(control);
}

static void
on_woken(evutil_socket_t socket, short events, void *user)
{
    struct control *control = user;
    uint64_t count = 0;
    if (read(control->wake, &count, sizeof count) < 0 && errno != EAGAIN) {
        g_warning("Reading the wake-up event of the control thread failed.");
    }
    run_all_parts(control);
    arm_tick(control);
}

void
control_wake_soon(struct control *control)
{
    event_active(control->woken, EV_READ, 0);
}

static void
on_terminate(evutil_socket_t signal_number, short events, void *user)
{
    struct control *control = user;
    if (atomic_load(&control->shared.stop_at) != 0) {
        return;
    }
    g_message("Graceful shutdown: no new work, open transactions may finish within %g s.",
              control->settings->stop.grace_s / 2);
    atomic_store(&control->shared.stop_at, backend_now());
    control_lease_release(control);
    for (unsigned i = 0; i < control->workers_count; i++) {
        worker_wake(control->workers[i]);
    }
}

static void
on_reload(evutil_socket_t signal_number, short events, void *user)
{
    reload_callback();
}

static bool
is_ready(void *user)
{
    return control_is_ready(user);
}

/* Metrics of how much time the databases spent on which kind of use. */
static void
print_uses(const struct control *control, GString *out)
{
    GHashTableIter iterator;
    gpointer group = NULL;
    g_hash_table_iter_init(&iterator, control->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &group)) {
        const struct group_shared *shared = ((const struct group_state *)group)->shared;
        if (shared != NULL) {
            database_use_print(&shared->uses, shared->service, out);
        }
    }
}

static char *
print_metrics(void *user)
{
    const struct control *control = user;
    struct metrics sum = {0};
    uint32_t sessions = 0;
    GString *out = g_string_new(NULL);
    sum_metrics(control, &sum);
    for (unsigned i = 0; i < control->workers_count; i++) {
        sessions += worker_sessions(control->workers[i]);
    }
    metrics_print(&sum, out);
    print_uses(control, out);
    g_string_append_printf(out, "swiftworks_sessions %u\n", sessions);
    g_string_append_printf(out, "swiftworks_coordinator %d\n", control->lease.held);
    g_string_append_printf(out, "swiftworks_zone_cut_off %d\n",
                           control->zone_reachability.partitioned);
    g_string_append_printf(out, "swiftworks_leases_ceded_to_this_total %" G_GUINT64_FORMAT "\n",
                           control->lease.handovers_received);
    g_string_append_printf(out, "swiftworks_configuration_version %" G_GUINT64_FORMAT "\n",
                           configuration_version(control));
    g_string_append_printf(out, "swiftworks_configuration_age_seconds %.3f\n",
                           (double)configuration_age_ms(control) / 1000);
    g_string_append_printf(out, "swiftworks_store_era %" G_GUINT64_FORMAT "\n", control->store_era);
    control_groups_print_metrics(control, out);
    control_counts_print_metrics(&control->counts, out);
    g_string_append_printf(out, "swiftworks_log_lines_left_out_total %" G_GUINT64_FORMAT "\n",
                           pooler_log_left_out());
    return g_string_free(out, FALSE);
}

static void
start_events(struct control *control)
{
    control->base = event_base_new();
    control->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    control->shared.control_wake = control->wake;
    control->tick = evtimer_new(control->base, on_tick, control);
    control->woken =
        event_new(control->base, control->wake, EV_READ | EV_PERSIST, on_woken, control);
    control->terminated = evsignal_new(control->base, SIGTERM, on_terminate, control);
    control->reload = evsignal_new(control->base, SIGHUP, on_reload, control);
    event_add(control->woken, NULL);
    event_add(control->terminated, NULL);
    event_add(control->reload, NULL);
}

static bool
start_probes(struct control *control, GError **error)
{
    struct sockaddr_in ready;
    struct sockaddr_in metrics;
    const struct probe_server_callbacks callbacks = {is_ready, print_metrics, control};
    parse_address(control->settings->pooler.readiness_listen, &ready);
    parse_address(control->settings->pooler.metrics_listen, &metrics);
    control->probes = probe_server_new(control->base, &ready, &metrics, &callbacks, error);
    return control->probes != NULL;
}

static void
start_clients(struct control *control)
{
    struct sockaddr_in store;
    struct sockaddr_in promotion;
    parse_address(control->settings->store.address, &store);
    parse_address(control->settings->promotion.address, &promotion);
    control->store = store_new(control->base, &store);
    control->promotion = promotion_new(control->base, &promotion, control->settings->pooler.name);
}

/* Signals are blocked in the workers, so that the control thread handles them. */
static bool
start_workers(struct control *control, GError **error)
{
    const struct pooler_settings *settings = control->settings;
    sigset_t all;
    sigset_t old;
    parse_address(settings->pooler.listen, &control->shared.listen);
    parse_address(settings->pooler.forward_listen, &control->shared.forward_listen);
    const rate_bounds_t bounds = {settings->rate.window_s, settings->rate.overage,
                                  settings->rate.slack};
    control->shared.counting = counting_new(&bounds, backend_now());
    control->shared.unacknowledged_max =
        settings->access.revoke_ms * MS - proof_lifetime_ns(settings->access.revoke_ms);
    control->shared.proof_lifetime = proof_lifetime_ns(settings->access.revoke_ms);
    control->shared.stop_grace = (time_ns)(settings->stop.grace_s * (double)NANOSECONDS_PER_SECOND);
    uint32_t own = MIN(DESCRIPTORS_OWN, settings->pooler.descriptors / 2);
    control->shared.sessions_max = (settings->pooler.descriptors - own) / control->workers_count;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, &old);
    bool started = true;
    for (unsigned i = 0; started && i < control->workers_count; i++) {
        control->workers[i] = worker_start(&control->shared, i, error);
        started = control->workers[i] != NULL;
    }
    pthread_sigmask(SIG_SETMASK, &old, NULL);
    return started;
}

/* The address of a listener that is announced to other poolers: `announce` if it is a valid
 * address, otherwise the listener's own. */
static char *
announced_address(const char *announce, const char *listen)
{
    struct sockaddr_in address;
    bool given = parse_address(announce, &address) && address.sin_port != 0;
    return g_strdup(given ? announce : listen);
}

static struct control *
control_new(const struct pooler_settings *settings)
{
    struct control *control = g_new0(struct control, 1);
    control->settings = settings;
    control->incarnation = ((uint64_t)g_random_int() << 32 | g_random_int()) | 1;
    control->address =
        announced_address(settings->pooler.peer_announce, settings->pooler.peer_listen);
    control->forward_address =
        announced_address(settings->pooler.forward_announce, settings->pooler.forward_listen);
    control->workers_count = settings->pooler.workers;
    control->workers = g_new0(struct worker *, control->workers_count);
    control->groups = g_hash_table_new(g_str_hash, g_str_equal);
    control->members = g_hash_table_new(g_str_hash, g_str_equal);
    directory_init(&control->directory);
    evacuations_init(&control->evacuations, settings->store.evacuate_ms * MS);
    lease_record_init(&control->lease.record);
    control->started_at = backend_now();
    control_feeds_start(control);
    control_relayed_start(control);
    control->fleet = fleet_new();
    control->followers = g_ptr_array_new_with_free_func(g_free);
    control->responsive_addresses = g_hash_table_new(g_str_hash, g_str_equal);
    return control;
}

bool
control_run(const struct pooler_settings *settings, void (*reload)(void), GError **error)
{
    struct control *control = control_new(settings);
    reload_callback = reload;
    start_events(control);
    start_clients(control);
    bool started = start_probes(control, error) && control_coordinator_listen(control, error) &&
                   start_workers(control, error);
    if (!started) {
        return false;
    }
    g_message("Started.");
    run_all_parts(control);
    arm_tick(control);
    event_base_dispatch(control->base);
    log_counts(control);
    for (unsigned i = 0; i < control->workers_count; i++) {
        worker_join(control->workers[i]);
    }
    g_message("Stopped.");
    return true;
}
