/* One database group at run time; see the header. */
#include "daemon/group_runtime.h"

#include <glib.h>
#include <urcu-bp.h>

#include "daemon/budget_plan.h"

/* Old views are freed after a grace period, by the RCU helper thread. */
struct published_view {
    struct rcu_head head;
    struct group_view view;
};

static void free_published_view(struct rcu_head *head)
{
    g_free(caa_container_of(head, struct published_view, head));
}

static void start_database(struct database_runtime *database,
                           const struct database_configuration *configuration,
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
    database->configuration = *configuration;
    database->pool = pool_new(&pool_options);
    pthread_mutex_init(&database->admission_lock, NULL);
    admission_init(&database->admission, configuration->slots, options->queue_limit);
}

static void stop_database(struct database_runtime *database)
{
    pool_free(database->pool);
    admission_clear(&database->admission);
    pthread_mutex_destroy(&database->admission_lock);
}

/* Run times of one group follow each other; what still runs on an old one keeps its evidence. */
static _Atomic uint32_t next_evidence_id = 1;

/* Lets the evidence service connect to the group's members. */
static void add_evidence(struct evidence_service *evidence, uint32_t evidence_id,
                         const struct group_configuration *group,
                         const struct group_runtime_options *options)
{
    g_autofree char *application =
        g_strdup_printf("swiftworks/%s@%s", options->daemon_name, options->zone_name);
    struct connection_settings members[GROUP_DATABASES_MAX];
    for (uint32_t i = 0; i < group->database_count; i++) {
        members[i] = (struct connection_settings){
            .host = group->databases[i].host,
            .port = group->databases[i].port,
            .database_name = "swiftworks",
            .user = "swiftworks",
            .application_name = application,
        };
    }
    evidence_add_group(evidence, evidence_id, members, group->database_count);
}

struct group_runtime *group_runtime_new(struct configuration *configuration,
                                        const struct group_configuration *group,
                                        const struct group_runtime_options *options)
{
    struct group_runtime *runtime = g_new0(struct group_runtime, 1);
    runtime->references = 1;
    runtime->configuration = configuration_ref(configuration);
    runtime->group = group;
    runtime->database_count = group->database_count;
    pthread_mutex_init(&runtime->writes_lock, NULL);
    retry_budget_init(&runtime->retry_budget);
    struct published_view *first = g_new0(struct published_view, 1);
    first->view.group = group->id;
    first->view.primary = -1;
    first->view.database_count = group->database_count;
    runtime->view = &first->view;
    for (uint32_t i = 0; i < group->database_count; i++) {
        start_database(&runtime->databases[i], &group->databases[i], options);
    }
    runtime->evidence = options->evidence;
    runtime->evidence_id = atomic_fetch_add(&next_evidence_id, 1);
    add_evidence(runtime->evidence, runtime->evidence_id, group, options);
    return runtime;
}

struct group_runtime *group_runtime_ref(struct group_runtime *runtime)
{
    atomic_fetch_add(&runtime->references, 1);
    return runtime;
}

bool group_runtime_is_shared(const struct group_runtime *runtime)
{
    return atomic_load(&runtime->references) > 1;
}

static void free_runtime(struct group_runtime *runtime)
{
    evidence_remove_group(runtime->evidence, runtime->evidence_id);
    for (uint32_t i = 0; i < runtime->database_count; i++) {
        stop_database(&runtime->databases[i]);
    }
    struct published_view *last = caa_container_of(runtime->view, struct published_view, view);
    call_rcu(&last->head, free_published_view);
    pthread_mutex_destroy(&runtime->writes_lock);
    configuration_unref(runtime->configuration);
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

/* Reports a drained change if nothing runs any more. Called with writes_lock held. */
static void report_if_drained(struct group_runtime *runtime)
{
    if (!runtime->drain_armed || runtime->drain_change == 0 || runtime->writes_running > 0) {
        return;
    }
    uint64_t change = runtime->drain_change;
    runtime->drain_change = 0;
    runtime->drain_armed = false;
    runtime->on_drained(runtime->on_drained_user, runtime->group->id, change);
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
