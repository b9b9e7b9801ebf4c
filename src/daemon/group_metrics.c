/* Metrics of owned groups; see the header. */
#include "daemon/group_metrics.h"

#include <math.h>

#include "core/position_samples.h"
#include "daemon/admin_json.h"
#include "daemon/daemon.h"
#include "frontend/metrics.h"

/* One owned group at the time of the scrape. */
struct group_sample {
    struct group_runtime *runtime; /* reference held by the scrape's list */
    struct group_view view;
    struct pool_counters pools[GROUP_DATABASES_MAX];
    uint32_t queued[GROUP_DATABASES_MAX]; /* requests waiting for a slot */
};

/* A family with one series per database. NaN: unknown, no series. */
struct database_family {
    const char *name;
    const char *help;
    enum metric_family_type type;
    double (*value)(const struct group_sample *sample, uint32_t database);
};

/* A family with one series per group. */
struct group_family {
    const char *name;
    const char *help;
    double (*value)(const struct group_sample *sample);
};

static const struct database_view *view_of(const struct group_sample *sample, uint32_t database)
{
    return &sample->view.databases[database];
}

static double reachable(const struct group_sample *sample, uint32_t database)
{
    return view_of(sample, database)->reachable;
}

static double leaving(const struct group_sample *sample, uint32_t database)
{
    return view_of(sample, database)->status.leaving;
}

static double term(const struct group_sample *sample, uint32_t database)
{
    return (double)view_of(sample, database)->status.term;
}

static double held_offset(const struct group_sample *sample, uint32_t database)
{
    return (double)view_of(sample, database)->status.held.offset;
}

static double applied_offset(const struct group_sample *sample, uint32_t database)
{
    return (double)view_of(sample, database)->status.applied.offset;
}

/* In log entries; only if both positions are in the same term. */
static double lag_entries(const struct group_sample *sample, uint32_t database)
{
    if (sample->view.primary < 0) {
        return (double)NAN;
    }
    struct log_position held = view_of(sample, (uint32_t)sample->view.primary)->status.held;
    struct log_position applied = view_of(sample, database)->status.applied;
    if (held.term != applied.term) {
        return (double)NAN;
    }
    return held.offset > applied.offset ? (double)(held.offset - applied.offset) : 0;
}

static double lag_seconds(const struct group_sample *sample, uint32_t database)
{
    if (sample->view.sample_count == 0) {
        return (double)NAN;
    }
    time_ns lag = position_samples_lag(&sample->view, view_of(sample, database));
    return (double)lag / (double)NANOSECONDS_PER_SECOND;
}

static double round_trip(const struct group_sample *sample, uint32_t database)
{
    return view_of(sample, database)->round_trip_us / 1e6;
}

static double connections_limit(const struct group_sample *sample, uint32_t database)
{
    return sample->pools[database].limit;
}

static double connections_accepted(const struct group_sample *sample, uint32_t database)
{
    return sample->runtime->databases[database].configuration.connections;
}

static double connections_waiting(const struct group_sample *sample, uint32_t database)
{
    return sample->pools[database].waiting;
}

static double connections_opened(const struct group_sample *sample, uint32_t database)
{
    return (double)sample->pools[database].opened_total;
}

static double connections_failed(const struct group_sample *sample, uint32_t database)
{
    return (double)sample->pools[database].open_failed_total;
}

static double connections_refused(const struct group_sample *sample, uint32_t database)
{
    return (double)sample->pools[database].refused_total;
}

static double connections_broken(const struct group_sample *sample, uint32_t database)
{
    return (double)sample->pools[database].broken_total;
}

static double slots_used(const struct group_sample *sample, uint32_t database)
{
    return atomic_load(&sample->runtime->databases[database].in_flight);
}

static double slots(const struct group_sample *sample, uint32_t database)
{
    return sample->runtime->databases[database].configuration.slots;
}

static double queued(const struct group_sample *sample, uint32_t database)
{
    return sample->queued[database];
}

static const struct database_family database_families[] = {
    {"swiftworks_database_reachable", "1 if the last probes were answered, else 0.",
     METRIC_FAMILY_GAUGE, reachable},
    {"swiftworks_database_leaving", "1 if the database is marked as leaving.", METRIC_FAMILY_GAUGE,
     leaving},
    {"swiftworks_database_term", "Term in which the database leads or follows.",
     METRIC_FAMILY_GAUGE, term},
    {"swiftworks_database_held_offset", "Offset of the last entry in the database's log.",
     METRIC_FAMILY_GAUGE, held_offset},
    {"swiftworks_database_applied_offset", "Offset of the last entry that reads see.",
     METRIC_FAMILY_GAUGE, applied_offset},
    {"swiftworks_database_lag_entries",
     "Entries that the primary holds and reads here do not see; absent where the terms differ.",
     METRIC_FAMILY_GAUGE, lag_entries},
    {"swiftworks_database_lag_seconds",
     "Time by which reads here are behind the primary; at most the reach of its samples.",
     METRIC_FAMILY_GAUGE, lag_seconds},
    {"swiftworks_database_round_trip_seconds", "Smoothed round trip of probes.",
     METRIC_FAMILY_GAUGE, round_trip},
    {"swiftworks_database_connections_accepted", "Connections that the database accepts in all.",
     METRIC_FAMILY_GAUGE, connections_accepted},
    {"swiftworks_pool_connections_limit", "Connections to the database that this daemon may hold.",
     METRIC_FAMILY_GAUGE, connections_limit},
    {"swiftworks_pool_waiting", "Requests that wait for a connection.", METRIC_FAMILY_GAUGE,
     connections_waiting},
    {"swiftworks_pool_opened_total", "Connections opened.", METRIC_FAMILY_COUNTER,
     connections_opened},
    {"swiftworks_pool_open_failed_total", "Attempts to open a connection that failed.",
     METRIC_FAMILY_COUNTER, connections_failed},
    {"swiftworks_pool_refused_total", "Requests that got no connection in time.",
     METRIC_FAMILY_COUNTER, connections_refused},
    {"swiftworks_pool_broken_total", "Connections closed since they could not be used again.",
     METRIC_FAMILY_COUNTER, connections_broken},
    {"swiftworks_slots_used", "Statements of this daemon that run at the database.",
     METRIC_FAMILY_GAUGE, slots_used},
    {"swiftworks_slots", "Statements that the database can run at the same time.",
     METRIC_FAMILY_GAUGE, slots},
    {"swiftworks_queue_length", "Requests that wait for a slot of the database.",
     METRIC_FAMILY_GAUGE, queued},
};

static double group_term(const struct group_sample *sample)
{
    return (double)sample->view.term;
}

static double group_has_primary(const struct group_sample *sample)
{
    return sample->view.primary >= 0;
}

static double group_paused(const struct group_sample *sample)
{
    return sample->view.writes_paused;
}

static const struct group_family group_families[] = {
    {"swiftworks_group_term", "Highest term with a known primary.", group_term},
    {"swiftworks_group_primary_known", "1 if a primary is known, else 0.", group_has_primary},
    {"swiftworks_group_writes_paused", "1 while a planned change of primary is under way.",
     group_paused},
};

static void take_sample(struct group_sample *sample)
{
    struct group_runtime *runtime = sample->runtime;
    group_runtime_read_view(runtime, &sample->view);
    for (uint32_t i = 0; i < runtime->database_count; i++) {
        struct database_runtime *database = &runtime->databases[i];
        sample->pools[i] = pool_counters(database->pool);
        pthread_mutex_lock(&database->admission_lock);
        sample->queued[i] = database->admission.queued;
        pthread_mutex_unlock(&database->admission_lock);
    }
}

/* Appends a database's sample; `extra` names one more label, or is NULL. */
static void append_database(GString *out, const char *name, const struct group_sample *sample,
                            uint32_t index, const char *extra, const char *extra_value,
                            double value)
{
    const struct metric_label labels[] = {
        {"group", sample->runtime->group->name},
        {"database", sample->runtime->databases[index].configuration.name},
        {extra, extra_value},
        {NULL, NULL},
    };
    metrics_append_sample(out, name, labels, value);
}

/* True once a view with the state of the group's databases was published. */
static bool is_known(const struct group_sample *sample)
{
    return sample->view.database_count == sample->runtime->database_count;
}

static void append_database_family(GString *out, const struct database_family *family,
                                   const struct group_sample *samples, guint count)
{
    metrics_append_head(out, family->name, family->help, family->type);
    for (guint i = 0; i < count; i++) {
        for (uint32_t database = 0;
             is_known(&samples[i]) && database < samples[i].runtime->database_count; database++) {
            double value = family->value(&samples[i], database);
            if (!isnan(value)) {
                append_database(out, family->name, &samples[i], database, NULL, NULL, value);
            }
        }
    }
}

static void append_group_family(GString *out, const struct group_family *family,
                                const struct group_sample *samples, guint count)
{
    metrics_append_head(out, family->name, family->help, METRIC_FAMILY_GAUGE);
    for (guint i = 0; i < count; i++) {
        const struct metric_label labels[] = {{"group", samples[i].runtime->group->name},
                                              {NULL, NULL}};
        metrics_append_sample(out, family->name, labels, family->value(&samples[i]));
    }
}

/* One series per database, labelled with its role. */
static void append_roles(GString *out, const struct group_sample *samples, guint count)
{
    static const char name[] = "swiftworks_database_role";
    metrics_append_head(out, name, "1 with the role that the database tells.", METRIC_FAMILY_GAUGE);
    for (guint i = 0; i < count; i++) {
        for (uint32_t j = 0; j < samples[i].view.database_count; j++) {
            enum database_role role = samples[i].view.databases[j].status.role;
            append_database(out, name, &samples[i], j, "role", database_role_text(role), 1);
        }
    }
}

static void append_connections(GString *out, const struct group_sample *samples, guint count)
{
    static const char name[] = "swiftworks_pool_connections";
    metrics_append_head(out, name, "Connections to the database, by state.", METRIC_FAMILY_GAUGE);
    for (guint i = 0; i < count; i++) {
        for (uint32_t j = 0; j < samples[i].runtime->database_count; j++) {
            const struct pool_counters *pool = &samples[i].pools[j];
            uint32_t settled = pool->idle + pool->in_use;
            uint32_t changing = pool->open > settled ? pool->open - settled : 0;
            append_database(out, name, &samples[i], j, "state", "idle", pool->idle);
            append_database(out, name, &samples[i], j, "state", "in_use", pool->in_use);
            append_database(out, name, &samples[i], j, "state", "changing", changing);
        }
    }
}

void group_metrics_collect(GString *out, void *user)
{
    g_autoptr(GPtrArray) groups = daemon_list_groups(user);
    g_autofree struct group_sample *samples = g_new0(struct group_sample, groups->len);
    for (guint i = 0; i < groups->len; i++) {
        samples[i].runtime = g_ptr_array_index(groups, i);
        take_sample(&samples[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(group_families); i++) {
        append_group_family(out, &group_families[i], samples, groups->len);
    }
    append_roles(out, samples, groups->len);
    for (size_t i = 0; i < G_N_ELEMENTS(database_families); i++) {
        append_database_family(out, &database_families[i], samples, groups->len);
    }
    append_connections(out, samples, groups->len);
}
