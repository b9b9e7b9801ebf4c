/* The control thread's probes: which databases are probed, how often, and how the results are
 * passed on. */
#define G_LOG_DOMAIN "control"
#include "backend/clock.h"
#include "daemon/control_internal.h"
#include "daemon/daemon.h"

/* Minimum number of probe intervals without a successful probe before a primary is suspected. */
#define PROBES_BEFORE_SUSPICION 4

/* Minimum interval between the probes of a database that reads request. */
#define PROBE_NOW_INTERVAL_MS 2

/* Time-out for opening a control connection. */
#define OPEN_TIMEOUT_MS 500

/* Called on the prober's thread. */
static void on_status(void *user, uint32_t runtime, uint32_t database, bool reachable,
                      const struct database_status *status, uint32_t round_trip_us, time_ns at)
{
    struct control_event event = {
        .kind = CONTROL_EVENT_RUNTIME,
        .runtime = runtime,
        .event = {.kind = GROUP_EVENT_PROBE,
                  .now = at,
                  .database = database,
                  .reachable = reachable,
                  .round_trip = round_trip_us * UINT64_C(1000)},
    };
    if (status != NULL) {
        event.event.status = *status;
    }
    control_post(user, &event);
}

void control_probes_start(struct control *control)
{
    const struct settings *settings = &control->daemon->settings;
    struct prober_options options = {
        .interval_ms = settings->backend.probe_interval_ms,
        .timeout_ms = settings->backend.probe_timeout_ms,
        .open_timeout_ms = OPEN_TIMEOUT_MS,
        .on_status = on_status,
        .user = control,
    };
    control->prober = prober_new(&options);
}

void control_probes_stop(struct control *control)
{
    prober_free(control->prober);
}

void control_probes_add(struct control *control, const struct controlled_group *group)
{
    const struct settings *settings = &control->daemon->settings;
    g_autofree char *application =
        g_strdup_printf("swiftworks/%s@%s", settings->daemon.name, settings->daemon.zone);
    for (uint32_t i = 0; i < group->runtime->database_count; i++) {
        const struct database_configuration *database = &group->runtime->databases[i].configuration;
        struct connection_settings connection = {
            .host = database->host,
            .port = database->port,
            .database_name = "swiftworks",
            .user = "swiftworks",
            .application_name = application,
        };
        prober_add(control->prober, group->runtime->number, i, &connection);
    }
}

void control_probes_remove(struct control *control, const struct controlled_group *group)
{
    for (uint32_t i = 0; i < group->runtime->database_count; i++) {
        prober_remove(control->prober, group->runtime->number, i);
    }
}

void control_probe_now(struct control *control, struct group_runtime *group, uint32_t database)
{
    time_ns now = backend_now();
    _Atomic time_ns *probed_at = &group->databases[database].probed_at;
    time_ns last = atomic_load(probed_at);
    bool due = now >= last + PROBE_NOW_INTERVAL_MS * NANOSECONDS_PER_MILLISECOND;
    if (due && atomic_compare_exchange_strong(probed_at, &last, now)) {
        prober_probe_now(control->prober, group->number, database);
    }
}

static void set_detection(struct controlled_group *group, time_ns after)
{
    trace_group_detection(group->trace, group->machine, backend_now(), after, after);
    group_control_set_detection(group->machine, after, after);
}

/* Moves the next probe of each of the group's databases forward. */
static void probe_soon(struct control *control, const struct controlled_group *group)
{
    for (uint32_t i = 0; i < group->runtime->database_count; i++) {
        prober_probe_now(control->prober, group->runtime->number, i);
    }
}

/* Divides the probes that this daemon may make among its databases: a daemon that owns many groups
 * probes each less often, and waits longer before it suspects a primary. After it has handed groups
 * over it probes the others at once, since their next probe was scheduled by the longer interval.
 */
void control_probes_pace(struct control *control)
{
    const struct settings *settings = &control->daemon->settings;
    uint32_t databases = control_groups_count_databases(control);
    GHashTableIter iterator;
    gpointer value;
    uint32_t spread_ms = databases * 1000 / settings->backend.probes_per_second;
    uint32_t interval_ms = MAX(settings->backend.probe_interval_ms, spread_ms);
    uint32_t suspect_ms =
        MAX(settings->failover.suspect_after_ms, interval_ms * PROBES_BEFORE_SUSPICION);
    bool sooner = interval_ms < control->probe_interval_ms;
    control->probe_interval_ms = interval_ms;
    prober_set_interval(control->prober, interval_ms);
    time_ns after = suspect_ms * NANOSECONDS_PER_MILLISECOND;
    g_hash_table_iter_init(&iterator, control->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        set_detection(value, after);
        if (sooner) {
            probe_soon(control, value);
        }
    }
}
