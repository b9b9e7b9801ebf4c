/* One database group at run time; see the header. */
#include "daemon/group_runtime.h"

#include <glib.h>
#include <string.h>
#include <urcu-bp.h>

#include "backend/clock.h"
#include "daemon/budget_plan.h"

/* A published view. Old ones are freed after a grace period by the RCU helper thread. */
struct published_view {
    struct rcu_head head;
    struct group_view view;
};

static void free_published_view(struct rcu_head *head)
{
    g_free(caa_container_of(head, struct published_view, head));
}

/* A database's pool, shared by consecutive run times of its group. */
struct shared_pool {
    struct pool *pool;
};

/* The evidence service's connections to the members, shared likewise while the members stay the
 * same. */
struct evidence_link {
    struct evidence_service *service;
    uint32_t group;
};

static void close_pool(gpointer data)
{
    struct shared_pool *shared = data;
    pool_free(shared->pool);
}

static void close_evidence(gpointer data)
{
    struct evidence_link *link = data;
    evidence_remove_group(link->service, link->group);
}

static bool same_server(const struct database_configuration *left,
                        const struct database_configuration *right)
{
    return strcmp(left->host, right->host) == 0 && left->port == right->port;
}

static bool same_database(const struct database_configuration *left,
                          const struct database_configuration *right)
{
    return same_server(left, right) && strcmp(left->name, right->name) == 0 &&
           left->zone == right->zone && left->slots == right->slots &&
           left->connections == right->connections;
}

bool group_runtime_fits(const struct group_runtime *runtime,
                        const struct group_configuration *group)
{
    const struct group_configuration *own = runtime->group;
    if (own->database_count != group->database_count || strcmp(own->name, group->name) != 0) {
        return false;
    }
    for (uint32_t i = 0; i < group->database_count; i++) {
        if (!same_database(&own->databases[i], &group->databases[i])) {
            return false;
        }
    }
    return true;
}

static struct group_configuration *copy_group(const struct group_configuration *group)
{
    struct group_configuration *copy = g_memdup2(group, sizeof(*group));
    copy->name = g_strdup(group->name);
    for (uint32_t i = 0; i < group->database_count; i++) {
        copy->databases[i].name = g_strdup(group->databases[i].name);
        copy->databases[i].host = g_strdup(group->databases[i].host);
    }
    return copy;
}

static void free_group(struct group_configuration *group)
{
    for (uint32_t i = 0; i < group->database_count; i++) {
        g_free(group->databases[i].name);
        g_free(group->databases[i].host);
    }
    g_free(group->name);
    g_free(group);
}

static struct shared_pool *open_pool(const struct database_configuration *configuration,
                                     const struct group_runtime_options *options)
{
    g_autofree char *application =
        g_strdup_printf("swiftworks/%s@%s", options->daemon_name, options->zone_name);
    struct budget_plan plan;
    budget_plan_make(&plan, configuration->connections, options->owner_count);
    plan.options.handover_time = options->handover_time;
    struct pool_options pool_options = {
        .connection = {.host = configuration->host,
                       .port = configuration->port,
                       .database_name = "swiftworks",
                       .user = "swiftworks",
                       .application_name = application},
        .budget = &plan.options,
        .open_rate_per_second = options->open_rate_per_second,
    };
    struct shared_pool *shared = g_atomic_rc_box_new0(struct shared_pool);
    shared->pool = pool_new(&pool_options);
    return shared;
}

/* The predecessor's pool for the same server if its connection numbers stay the same; otherwise a
 * new pool. The database's locks keep both together within its connection limit. */
static struct shared_pool *take_pool(const struct database_configuration *configuration,
                                     const struct group_runtime_options *options,
                                     struct group_runtime *predecessor)
{
    for (uint32_t i = 0; predecessor != NULL && i < predecessor->database_count; i++) {
        struct database_runtime *database = &predecessor->databases[i];
        bool same = same_server(&database->configuration, configuration) &&
                    database->configuration.connections == configuration->connections;
        if (same) {
            return g_atomic_rc_box_acquire(database->shared);
        }
    }
    return open_pool(configuration, options);
}

/* A random number other than 0 that distinguishes this incarnation of a slot share from earlier
 * ones. */
static uint64_t new_incarnation(void)
{
    return ((uint64_t)g_random_int() << 32 | g_random_int()) | 1;
}

/* Continues with the predecessor's share of the slots of the same database if their number is
 * unchanged; otherwise starts without slots. */
static void start_share(struct database_runtime *database, struct group_runtime *predecessor,
                        time_ns now)
{
    const struct database_configuration *configuration = &database->configuration;
    slot_share_init(&database->share, configuration->slots, new_incarnation());
    for (uint32_t i = 0; predecessor != NULL && i < predecessor->database_count; i++) {
        struct database_runtime *former = &predecessor->databases[i];
        if (!same_server(&former->configuration, configuration) ||
            former->configuration.slots != configuration->slots) {
            continue;
        }
        pthread_mutex_lock(&former->admission_lock);
        database->share = former->share;
        pthread_mutex_unlock(&former->admission_lock);
    }
    admission_set_slots(&database->admission, slot_share_limit(&database->share, now));
    atomic_store(&database->slot_limit, database->admission.slots);
}

static void start_database(struct database_runtime *database,
                           const struct database_configuration *configuration,
                           const struct group_runtime_options *options,
                           struct group_runtime *predecessor)
{
    database->configuration = *configuration;
    database->shared = take_pool(configuration, options, predecessor);
    database->pool = database->shared->pool;
    pthread_mutex_init(&database->admission_lock, NULL);
    admission_init(&database->admission, configuration->slots, options->queue_limit);
    start_share(database, predecessor, backend_now());
}

static void stop_database(struct database_runtime *database)
{
    g_atomic_rc_box_release_full(database->shared, close_pool);
    admission_clear(&database->admission);
    pthread_mutex_destroy(&database->admission_lock);
}

/* Makes the evidence service connect to the group's members. */
static struct evidence_link *open_evidence(const struct group_runtime *runtime,
                                           const struct group_runtime_options *options)
{
    g_autofree char *application =
        g_strdup_printf("swiftworks/%s@%s", options->daemon_name, options->zone_name);
    struct connection_settings members[GROUP_DATABASES_MAX];
    for (uint32_t i = 0; i < runtime->database_count; i++) {
        members[i] = (struct connection_settings){
            .host = runtime->group->databases[i].host,
            .port = runtime->group->databases[i].port,
            .database_name = "swiftworks",
            .user = "swiftworks",
            .application_name = application,
        };
    }
    struct evidence_link *link = g_atomic_rc_box_new0(struct evidence_link);
    link->service = options->evidence;
    link->group = runtime->number;
    evidence_add_group(link->service, link->group, members, runtime->database_count);
    return link;
}

/* True if the members are the same servers in the same order. */
static bool same_members(const struct group_runtime *left, const struct group_runtime *right)
{
    bool same = left->database_count == right->database_count;
    for (uint32_t i = 0; same && i < left->database_count; i++) {
        same = same_server(&left->group->databases[i], &right->group->databases[i]);
    }
    return same;
}

static void start_evidence(struct group_runtime *runtime,
                           const struct group_runtime_options *options,
                           struct group_runtime *predecessor)
{
    runtime->evidence = options->evidence;
    if (predecessor != NULL && same_members(predecessor, runtime)) {
        runtime->link = g_atomic_rc_box_acquire(predecessor->link);
    } else {
        runtime->link = open_evidence(runtime, options);
    }
    runtime->evidence_group = runtime->link->group;
}

/* Publishes the view of a group of which nothing is known yet. */
static void start_view(struct group_runtime *runtime)
{
    struct published_view *first = g_new0(struct published_view, 1);
    first->view.group = runtime->group->id;
    first->view.primary = -1;
    first->view.database_count = runtime->database_count;
    runtime->view = &first->view;
}

/* Closes the connections that only the predecessor has, as its requests end. */
static void close_left_pools(const struct group_runtime *runtime, struct group_runtime *predecessor)
{
    for (uint32_t i = 0; predecessor != NULL && i < predecessor->database_count; i++) {
        struct shared_pool *shared = predecessor->databases[i].shared;
        bool taken = false;
        for (uint32_t j = 0; j < runtime->database_count; j++) {
            taken = taken || runtime->databases[j].shared == shared;
        }
        if (!taken) {
            pool_set_position(shared->pool, -1, false);
        }
    }
}

struct group_runtime *group_runtime_new(const struct group_configuration *group,
                                        const struct group_runtime_options *options,
                                        struct group_runtime *predecessor)
{
    static atomic_uint last_number;
    struct group_runtime *runtime = g_new0(struct group_runtime, 1);
    atomic_init(&runtime->references, 1);
    runtime->number = atomic_fetch_add(&last_number, 1) + 1;
    runtime->group = copy_group(group);
    runtime->database_count = group->database_count;
    pthread_mutex_init(&runtime->writes_lock, NULL);
    group_uses_init(&runtime->uses);
    retry_budget_init(&runtime->retry_budget);
    runtime->gate = tenant_gate_new();
    active_calls_init(&runtime->calls);
    start_view(runtime);
    for (uint32_t i = 0; i < group->database_count; i++) {
        start_database(&runtime->databases[i], &runtime->group->databases[i], options, predecessor);
    }
    start_evidence(runtime, options, predecessor);
    close_left_pools(runtime, predecessor);
    return runtime;
}

struct group_runtime *group_runtime_ref(struct group_runtime *runtime)
{
    atomic_fetch_add(&runtime->references, 1);
    return runtime;
}

uint32_t database_runtime_load(const struct database_runtime *database)
{
    return atomic_load(&database->in_flight) + atomic_load(&database->queued);
}

uint32_t database_runtime_slots(const struct database_runtime *database)
{
    return MAX(atomic_load(&database->slot_limit), 1);
}

bool group_runtime_is_shared(const struct group_runtime *runtime)
{
    return atomic_load(&runtime->references) > 1;
}

static void free_runtime(struct group_runtime *runtime)
{
    g_atomic_rc_box_release_full(runtime->link, close_evidence);
    for (uint32_t i = 0; i < runtime->database_count; i++) {
        stop_database(&runtime->databases[i]);
    }
    struct published_view *last = caa_container_of(runtime->view, struct published_view, view);
    call_rcu(&last->head, free_published_view);
    pthread_mutex_destroy(&runtime->writes_lock);
    group_uses_clear(&runtime->uses);
    tenant_gate_free(runtime->gate);
    active_calls_clear(&runtime->calls);
    free_group(runtime->group);
    g_free(runtime);
}

void group_runtime_unref(struct group_runtime *runtime)
{
    if (atomic_fetch_sub(&runtime->references, 1) == 1) {
        free_runtime(runtime);
    }
}

void group_runtime_read_view(struct group_runtime *runtime, struct group_view *view)
{
    rcu_read_lock();
    *view = *rcu_dereference(runtime->view);
    rcu_read_unlock();
}

/* Reports a drained change if no write is running. Called with writes_lock held. */
static void report_if_drained(struct group_runtime *runtime)
{
    if (!runtime->drain_armed || runtime->drain_change == 0 || runtime->writes_running > 0) {
        return;
    }
    uint64_t change = runtime->drain_change;
    runtime->drain_change = 0;
    runtime->drain_armed = false;
    runtime->on_drained(runtime->on_drained_user, runtime->number, change);
}

void group_runtime_publish(struct group_runtime *runtime, const struct group_view *view,
                           uint64_t change)
{
    struct published_view *next = g_new0(struct published_view, 1);
    next->view = *view;
    struct published_view *previous = caa_container_of(runtime->view, struct published_view, view);
    /* A writer checks the view and counts itself under this lock, so a paused view published
     * here is seen by every later writer. */
    pthread_mutex_lock(&runtime->writes_lock);
    rcu_assign_pointer(runtime->view, &next->view);
    runtime->drain_change = change;
    runtime->drain_armed = change != 0;
    report_if_drained(runtime);
    pthread_mutex_unlock(&runtime->writes_lock);
    active_calls_apply_view(&runtime->calls, view);
    call_rcu(&previous->head, free_published_view);
}

bool group_runtime_begin_write(struct group_runtime *runtime, struct group_view *view)
{
    pthread_mutex_lock(&runtime->writes_lock);
    group_runtime_read_view(runtime, view);
    bool accepted = !view->writes_paused;
    if (accepted) {
        runtime->writes_running++;
    }
    pthread_mutex_unlock(&runtime->writes_lock);
    return accepted;
}

void group_runtime_end_write(struct group_runtime *runtime)
{
    pthread_mutex_lock(&runtime->writes_lock);
    runtime->writes_running--;
    report_if_drained(runtime);
    pthread_mutex_unlock(&runtime->writes_lock);
}
