/* The control thread's groups: feeds each group_control and performs its actions. */
#define G_LOG_DOMAIN "control"
#include <string.h>
#include <urcu-bp.h>
#include <xxhash.h>

#include "backend/adapter.h"
#include "backend/clock.h"
#include "core/group_opinion_message.h"
#include "core/route.h"
#include "daemon/control_internal.h"
#include "daemon/control_budget.h"
#include "daemon/control_slots.h"
#include "daemon/daemon.h"
#include "daemon/daemon_metrics.h"
#include "daemon/ledger_upkeep.h"
#include "daemon/task.h"

/* Time after which a fence, promotion or follow command without an answer counts as failed. */
#define COMMAND_TIMEOUT_MS 300

/* Waiting times after the databases of a group changed and a majority of the daemons has the
 * change: for the change to reach the last daemon of a zone, and for work begun under the previous
 * databases to end, that is the longest transaction that a template allows and its last statement.
 */
#define SETTLING_SPREAD_MS 60000
#define SETTLING_WORK_MS   360000

/* Interval between two removals of expired keys from a group's ledger. */
#define LEDGER_EXPIRE_INTERVAL_MS 60000

static void ensure_ledger(struct controlled_group *group, const struct group_view *view)
{
    if (group->ledger_term == view->term || view->primary < 0) {
        return;
    }
    group->ledger_term = view->term;
    ledger_upkeep_create(group->control->daemon->workers, group->runtime, view);
}

/* Longest retention time of keys among the tenants of the group, in days. */
static uint32_t key_retention_days(struct daemon *daemon, uint32_t group)
{
    uint32_t days = 0;
    struct configuration *configuration = daemon_take_configuration(daemon);
    for (guint i = 0; configuration != NULL && i < configuration->tenants->len; i++) {
        const struct tenant_route *route = g_ptr_array_index(configuration->tenants, i);
        if (route->group == group) {
            days = MAX(days, route->idempotency_days);
        }
    }
    configuration_unref(configuration);
    return days;
}

/* Removes expired keys periodically, at one owner of the group. Keys are kept for the longest
 * retention time in the group: some longer than their tenant's setting, never shorter. */
static void expire_ledger(struct controlled_group *group, time_ns now)
{
    struct daemon *daemon = group->control->daemon;
    bool first = ownership_position(group->control->ownership, group->id) == 0;
    if (!first || now < group->ledger_expire_at) {
        return;
    }
    group->ledger_expire_at = now + LEDGER_EXPIRE_INTERVAL_MS * NANOSECONDS_PER_MILLISECOND;
    const struct group_view *view = group_control_view(group->machine);
    uint32_t days = key_retention_days(daemon, group->id);
    if (days > 0 && route_write(view).database >= 0) {
        ledger_upkeep_expire(daemon->workers, group->runtime, view, days);
    }
}

static struct controlled_group *find_group(struct control *control, uint32_t id)
{
    return g_hash_table_lookup(control->groups, GUINT_TO_POINTER(id));
}

/* A command in progress at the prober. */
struct pending_command {
    struct control *control;
    uint64_t id; /* of the core's action */
};

/* Called on the prober's thread, which identifies a group by the number of its run time. */
static void on_command_done(void *user, uint32_t runtime, uint32_t database,
                            const struct channel_reply *reply)
{
    struct pending_command *pending = user;
    struct control_event event = {
        .kind = CONTROL_EVENT_RUNTIME,
        .runtime = runtime,
        .event = {.kind = GROUP_EVENT_COMMAND,
                  .now = reply->received_at,
                  .database = database,
                  .command = pending->id,
                  .status = reply->status},
    };
    switch (reply->result) {
    case EXECUTE_DONE:
        event.event.result = GROUP_COMMAND_OK;
        break;
    case EXECUTE_FAILED:
        event.event.result = GROUP_COMMAND_REFUSED;
        break;
    default:
        event.event.result = GROUP_COMMAND_LOST;
        break;
    }
    control_post(pending->control, &event);
    g_free(pending);
}

static void submit_command(struct controlled_group *group, const struct group_action *action,
                           enum adapter_command command)
{
    g_autofree char *coordinator =
        g_strdup_printf("%" G_GINT64_MODIFIER "x", group->control->watcher_self);
    g_autofree char *address = NULL;
    if (command == ADAPTER_COMMAND_FOLLOW) {
        const struct database_configuration *primary =
            &group->runtime->databases[action->primary].configuration;
        address = g_strdup_printf("%s:%u", primary->host, primary->port);
    }
    struct adapter_call call = {
        .command = command,
        .term = action->term,
        .coordinator = coordinator,
        .address = address,
        .leaving = action->leaving,
        .order = action->order,
    };
    struct pending_command *pending = g_new0(struct pending_command, 1);
    pending->control = group->control;
    pending->id = action->command;
    time_ns deadline = backend_now() + COMMAND_TIMEOUT_MS * NANOSECONDS_PER_MILLISECOND;
    prober_submit(group->control->prober, group->runtime->number, action->database, &call, deadline,
                  on_command_done, pending);
}

/* Bit per database with requests or connections in use here. */
static uint32_t busy_databases(struct group_runtime *runtime)
{
    uint32_t busy = 0;
    for (uint32_t i = 0; i < runtime->database_count; i++) {
        struct database_runtime *database = &runtime->databases[i];
        struct pool_counters pool = pool_counters(database->pool);
        pthread_mutex_lock(&database->admission_lock);
        uint32_t queued = database->admission.queued;
        pthread_mutex_unlock(&database->admission_lock);
        bool used = queued > 0 || pool.in_use > 0 || pool.waiting > 0 ||
                    atomic_load(&database->in_flight) > 0;
        busy |= used ? UINT32_C(1) << i : 0;
    }
    return busy;
}

/* Computes which databases of the group this daemon uses, and records it here as a report like the
 * other owners'. */
static uint32_t record_own_uses(struct controlled_group *group, uint64_t watcher)
{
    struct group_uses *uses = &group->runtime->uses;
    time_ns now = backend_now();
    uint32_t used = group_uses_own(uses, group_control_view(group->machine),
                                   busy_databases(group->runtime), now);
    group_uses_record(uses, watcher, used, now);
    return used;
}

void control_groups_record_uses(struct control *control, uint32_t id, uint64_t watcher,
                                uint32_t used)
{
    struct controlled_group *group = find_group(control, id);
    if (group != NULL) {
        group_uses_record(&group->runtime->uses, watcher, used, backend_now());
    }
}

/* Sends this watcher's opinion to the other owners of the group. */
static void send_opinion(struct controlled_group *group, const struct group_opinion *opinion)
{
    struct member_entry owners[OWNERS_MAX];
    uint32_t count = 0;
    struct message message;
    message_init(&message, MESSAGE_KIND_OPINION);
    message.opinion = group_opinion_to_message(opinion, group->id);
    message.opinion.deployment_hash = group->control->daemon->deployment;
    message.opinion.has_uses = true;
    message.opinion.uses = record_own_uses(group, opinion->watcher);
    control_ownership_entries(group->control, group->id, owners, &count);
    for (uint32_t i = 0; i < count; i++) {
        if (!owners[i].self) {
            control_send(group->control, &owners[i].address, &message);
        }
    }
    message_clear(&message);
}

static void publish_view(struct controlled_group *group, uint64_t change)
{
    const struct group_view *view = group_control_view(group->machine);
    for (uint32_t i = 0; i < view->database_count; i++) {
        /* A database that was not probed yet has no known state, and its pool may be in use, shared
         * with a predecessor. */
        if (view->databases[i].observed_at > 0 || view->databases[i].reachable) {
            pool_set_reachable(group->runtime->databases[i].pool, view->databases[i].reachable);
        }
    }
    group_runtime_publish(group->runtime, view, change);
    daemon_metrics_group_writable(group->control->daemon->metrics, group->id,
                                  route_write(view).database >= 0, backend_now());
    worker_pool_wake(group->control->daemon->workers);
    ensure_ledger(group, view);
}

static void record(struct controlled_group *group, const struct group_record *record)
{
    struct journal_entry entry = {
        .group = group->id,
        .database = record->database,
        .term = record->term,
        .position = record->position,
    };
    g_strlcpy(entry.kind, group_record_kind_name(record->kind), sizeof(entry.kind));
    g_strlcpy(entry.text, group_reason_name(record->reason), sizeof(entry.text));
    journal_add(group->control->journal, &entry);
}

/* A daemon whose configuration may have been replaced must not change a group's primary: it might
 * count a majority of databases that the group no longer has. The clock decides, as for requests.
 */
static bool may_perform(const struct controlled_group *group, const struct group_action *action)
{
    bool changes_primary = action->kind == GROUP_ACTION_FENCE ||
                           action->kind == GROUP_ACTION_PROMOTE ||
                           action->kind == GROUP_ACTION_FOLLOW;
    return !changes_primary || daemon_may_serve(group->control->daemon);
}

/* Treats the command as unanswered, so that it is sent again later. */
static void drop_command(struct controlled_group *group, const struct group_action *action)
{
    struct control_event event = {
        .kind = CONTROL_EVENT_RUNTIME,
        .runtime = group->runtime->number,
        .event = {.kind = GROUP_EVENT_COMMAND,
                  .now = backend_now(),
                  .database = action->database,
                  .command = action->command,
                  .result = GROUP_COMMAND_LOST},
    };
    control_post(group->control, &event);
}

static void perform(struct controlled_group *group, const struct group_action *action)
{
    if (!may_perform(group, action)) {
        drop_command(group, action);
        return;
    }
    switch (action->kind) {
    case GROUP_ACTION_PROBE:
        prober_probe_now(group->control->prober, group->runtime->number, action->database);
        break;
    case GROUP_ACTION_FENCE:
        submit_command(group, action, ADAPTER_COMMAND_FENCE);
        break;
    case GROUP_ACTION_PROMOTE:
        submit_command(group, action, ADAPTER_COMMAND_PROMOTE);
        break;
    case GROUP_ACTION_FOLLOW:
        submit_command(group, action, ADAPTER_COMMAND_FOLLOW);
        break;
    case GROUP_ACTION_SET_LEAVING:
        submit_command(group, action, ADAPTER_COMMAND_SET_LEAVING);
        break;
    case GROUP_ACTION_SEND_OPINION:
        send_opinion(group, &action->opinion);
        break;
    case GROUP_ACTION_PUBLISH_VIEW:
        publish_view(group, action->change);
        break;
    case GROUP_ACTION_RECORD_EVENT:
        record(group, &action->record);
        break;
    }
}

static void step(struct controlled_group *group, const struct group_event *event)
{
    struct group_actions actions;
    trace_group_reserve(group->trace, group->machine, event->now);
    group_control_step(group->machine, event, &actions);
    trace_group_record(group->trace, event, group->machine, &actions);
    group->wake_at = actions.wake_at;
    for (uint32_t i = 0; i < actions.count; i++) {
        perform(group, &actions.items[i]);
    }
}

static void feed(struct controlled_group *group, const struct group_event *event)
{
    if (group == NULL) {
        return;
    }
    struct group_event current = *event;
    current.now = backend_now();
    step(group, &current);
}

void control_groups_feed(struct control *control, uint32_t id, const struct group_event *event)
{
    feed(find_group(control, id), event);
}

void control_groups_feed_runtime(struct control *control, uint32_t runtime,
                                 const struct group_event *event)
{
    feed(g_hash_table_lookup(control->runtimes, GUINT_TO_POINTER(runtime)), event);
}

void control_groups_tick(struct control *control, time_ns now)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, control->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controlled_group *group = value;
        task_expire_queued(control->daemon, group->runtime, now);
        control_slots_tick(group, now);
        expire_ledger(group, now);
        if (now >= group->wake_at) {
            struct group_event tick = {.kind = GROUP_EVENT_TICK, .now = now};
            step(group, &tick);
        }
    }
}

time_ns control_groups_next_wakeup(struct control *control)
{
    time_ns next = UINT64_MAX;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, control->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct controlled_group *group = value;
        next = MIN(next, group->wake_at);
        next = MIN(next, control_slots_next_wakeup(group));
    }
    return next;
}

void control_groups_set_watchers(struct control *control, time_ns now)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, control->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controlled_group *group = value;
        struct member_entry owners[OWNERS_MAX];
        struct group_event event = {.kind = GROUP_EVENT_WATCHERS, .now = now};
        control_ownership_entries(control, group->id, owners, &event.watcher_count);
        for (uint32_t i = 0; i < event.watcher_count; i++) {
            event.watchers[i].id = owners[i].watcher;
            event.watchers[i].zone = owners[i].zone;
        }
        step(group, &event);
    }
}

/* Called under the group's writes_lock, on any thread. */
static void on_drained(void *user, uint32_t runtime, uint64_t change)
{
    struct control_event event = {
        .kind = CONTROL_EVENT_RUNTIME,
        .runtime = runtime,
        .event = {.kind = GROUP_EVENT_WRITES_DRAINED, .now = backend_now(), .change = change},
    };
    control_post(user, &event);
}

static void start_settling(struct controlled_group *group)
{
    const struct settings *settings = &group->control->daemon->settings;
    uint64_t wait_ms =
        SETTLING_SPREAD_MS + SETTLING_WORK_MS + settings->configuration.currency_bound_ms;
    quorum_settling_start(&group->settling, wait_ms * NANOSECONDS_PER_MILLISECOND);
}

void control_groups_settle(struct control *control, time_ns agreed_at, time_ns now)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, control->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controlled_group *group = value;
        bool agreed = agreed_at > group->started_at;
        quorum_settling_observe(&group->settling, group_control_view(group->machine), agreed, now);
        atomic_store(&group->runtime->settling, group->settling.state);
    }
}

static void start_group(struct control *control, struct group_runtime *runtime)
{
    struct controlled_group *group = g_new0(struct controlled_group, 1);
    struct group_control_options options;
    group->control = control;
    group->id = runtime->group->id;
    group->runtime = runtime;
    group_control_options_init(&options);
    options.group = group->id;
    options.watcher = control->watcher_self;
    options.zone = control->daemon->zone;
    options.database_count = runtime->database_count;
    for (uint32_t i = 0; i < runtime->database_count; i++) {
        options.database_zone[i] = runtime->databases[i].configuration.zone;
    }
    options.preferred_zone = -1;
    options.seed = XXH3_64bits_withSeed(&group->id, sizeof(group->id), control->watcher_self);
    options.suspect_after =
        control->daemon->settings.failover.suspect_after_ms * NANOSECONDS_PER_MILLISECOND;
    options.replication_stall_after =
        control->daemon->settings.failover.replication_stall_after_ms * NANOSECONDS_PER_MILLISECOND;
    runtime->on_drained = on_drained;
    runtime->on_drained_user = control;
    group->started_at = backend_now();
    group->machine = group_control_new(&options, group->started_at);
    group->trace = trace_group_begin(control->daemon->traces, &options, group->started_at);
    start_settling(group);
    g_hash_table_insert(control->groups, GUINT_TO_POINTER(group->id), group);
    g_hash_table_insert(control->runtimes, GUINT_TO_POINTER(runtime->number), group);
    control_probes_add(control, group);
}

static void free_group(gpointer data)
{
    struct controlled_group *group = data;
    trace_group_end(group->trace);
    group_control_free(group->machine);
    group_runtime_unref(group->runtime);
    g_free(group);
}

void control_groups_start(struct control *control)
{
    control->groups = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_group);
    control->runtimes = g_hash_table_new(g_direct_hash, g_direct_equal);
    control_probes_start(control);
}

uint32_t control_groups_count_databases(const struct control *control)
{
    uint32_t count = 0;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, control->groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        count += ((const struct controlled_group *)value)->runtime->database_count;
    }
    return count;
}

bool control_groups_runs(struct control *control, uint32_t group)
{
    return find_group(control, group) != NULL;
}

struct group_runtime *control_groups_runtime(struct control *control, uint32_t group)
{
    struct controlled_group *found = find_group(control, group);
    return found != NULL ? found->runtime : NULL;
}

void control_groups_begin(struct control *control, uint32_t group)
{
    struct group_runtime *runtime = daemon_begin_group(control->daemon, group);
    if (runtime != NULL) {
        start_group(control, runtime);
        control_probes_pace(control);
        atomic_store(&control->groups_held, g_hash_table_size(control->groups));
    }
}

/* Ends the control of a group's run time. Its last view stays published for requests in progress.
 */
static void release_runtime(struct control *control, struct controlled_group *group)
{
    uint32_t number = group->runtime->number;
    struct group_view last;
    control_probes_remove(control, group);
    group_runtime_read_view(group->runtime, &last);
    group_runtime_publish(group->runtime, &last, 0);
    g_hash_table_remove(control->runtimes, GUINT_TO_POINTER(number));
    g_hash_table_remove(control->groups, GUINT_TO_POINTER(group->id));
}

void control_groups_end(struct control *control, uint32_t id)
{
    release_runtime(control, find_group(control, id));
    daemon_end_group(control->daemon, id);
    control_probes_pace(control);
    atomic_store(&control->groups_held, g_hash_table_size(control->groups));
}

/* The group's run time in the routing table, with one reference, if it differs from the one under
 * control; otherwise NULL. */
static struct group_runtime *take_successor(struct control *control,
                                            const struct controlled_group *group)
{
    struct group_runtime *runtime = daemon_take_group(control->daemon, group->id);
    if (runtime == group->runtime) {
        group_runtime_unref(runtime);
        return NULL;
    }
    return runtime;
}

void control_groups_switch_runtimes(struct control *control)
{
    g_autoptr(GList) groups = g_hash_table_get_values(control->groups);
    for (GList *link = groups; link != NULL; link = link->next) {
        struct group_runtime *successor = take_successor(control, link->data);
        if (successor != NULL) {
            release_runtime(control, link->data);
            start_group(control, successor);
            control_budget_replace_runtime(control->budget, successor->group->id);
        }
    }
    control_slots_set_owners(control);
}

void control_groups_stop(struct control *control)
{
    control_probes_stop(control);
    g_hash_table_destroy(control->runtimes);
    g_hash_table_destroy(control->groups);
}
