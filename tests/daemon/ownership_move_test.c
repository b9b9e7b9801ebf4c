/* Moves of a group between its two owners among three daemons: no database sees more connections
 * than its limit, and writes continue without a refusal. Each daemon is the only one in its zone,
 * and owners are chosen in the order of the group's zones: daemons 0 and 1 while they run. */
#include "cluster_fixture.h"

#include <stdatomic.h>
#include <string.h>

#include "backend/pool.h"
#include "daemon/control.h"

#define WRITERS 4

/* Writes that each writer must complete between two moves. */
#define WRITES_BETWEEN 20

/* Restarts of each owner. */
#define ROUNDS 2

/* One caller that writes continuously, each row under its own key. */
struct writer {
    unsigned number;
    unsigned port;
    atomic_bool stop;
    atomic_uint done;
    GThread *thread;
};

/* The time-out of a handover exceeds that of the test. */
static const char *const two_owners[] = {"ownership.owners_per_group=2",
                                         "ownership.handover_max_ms=600000", NULL};

static struct cluster *start(void)
{
    struct cluster_options options = {.overrides = two_owners};
    return cluster_start(&options);
}

static void write_row(const struct writer *writer, unsigned row)
{
    g_autofree char *key = g_strdup_printf("writer-%u-%u", writer->number, row);
    g_autofree char *sql =
        g_strdup_printf("INSERT INTO stays VALUES ('%u-%u', '')", writer->number, row);
    struct http_call call = {.sql = sql, .key = key};
    struct http_answer answer;
    http_post(writer->port, &call, &answer);
    http_assert_done(&answer);
    http_answer_clear(&answer);
}

static gpointer run_writer(gpointer data)
{
    struct writer *writer = data;
    for (unsigned row = 0; !atomic_load(&writer->stop); row++) {
        write_row(writer, row);
        atomic_fetch_add(&writer->done, 1);
    }
    return NULL;
}

/* Starts writers at the daemon that keeps running. */
static void start_writers(struct cluster *cluster, struct writer *writers, unsigned daemon)
{
    for (unsigned i = 0; i < WRITERS; i++) {
        writers[i] = (struct writer){.number = i, .port = cluster_port(cluster, daemon)};
        writers[i].thread = g_thread_new("writer", run_writer, &writers[i]);
    }
}

static void await_writes(struct writer *writers)
{
    for (unsigned i = 0; i < WRITERS; i++) {
        unsigned target = atomic_load(&writers[i].done) + WRITES_BETWEEN;
        AWAIT(atomic_load(&writers[i].done) >= target);
    }
}

/* Stops the writers, and checks that each acknowledged row is present once. */
static void end_writers(struct cluster *cluster, struct writer *writers)
{
    int64_t rows = 0;
    for (unsigned i = 0; i < WRITERS; i++) {
        atomic_store(&writers[i].stop, true);
        g_thread_join(writers[i].thread);
        rows += atomic_load(&writers[i].done);
    }
    g_assert_cmpint(cluster_count(cluster, (unsigned)cluster_primary(cluster), "stays"), ==, rows);
}

static bool holds_group(const struct cluster *cluster, unsigned daemon)
{
    struct group_runtime *group = daemon_take_group(cluster->daemons[daemon], CLUSTER_GROUP);
    if (group != NULL) {
        group_runtime_unref(group);
    }
    return group != NULL;
}

/* True if the daemon's pool of each database holds its complete share and nothing else. */
static bool holds_shares(const struct cluster *cluster, unsigned daemon)
{
    struct group_runtime *group = daemon_take_group(cluster->daemons[daemon], CLUSTER_GROUP);
    bool whole = group != NULL;
    for (uint32_t i = 0; whole && i < group->database_count; i++) {
        struct pool_counters counters = pool_counters(group->databases[i].pool);
        whole = counters.limit > 0 && counters.open == counters.limit;
    }
    if (group != NULL) {
        group_runtime_unref(group);
    }
    return whole;
}

static void await_owners(struct cluster *cluster, unsigned first, unsigned second)
{
    for (unsigned i = 0; i < 3; i++) {
        bool owns = i == first || i == second;
        if (cluster->daemons[i] != NULL) {
            AWAIT(owns ? holds_shares(cluster, i) : !holds_group(cluster, i));
        }
    }
}

/* Each owner leaves and returns, one after the other. */
static void test_owners_restart(void)
{
    struct cluster *cluster = start();
    struct writer writers[WRITERS];
    await_owners(cluster, 0, 1);
    start_writers(cluster, writers, 2);
    for (unsigned i = 0; i < 2 * ROUNDS; i++) {
        await_writes(writers);
        g_assert_cmpuint(cluster_stop_daemon(cluster, i % 2), ==, 0);
        await_owners(cluster, (i + 1) % 2, 2);
        await_writes(writers);
        cluster_start_daemon(cluster, i % 2);
        cluster_await_ready(cluster);
        await_owners(cluster, 0, 1);
    }
    end_writers(cluster, writers);
    cluster_stop(cluster);
}

static gpointer stop_first_daemon(gpointer data)
{
    struct cluster *cluster = data;
    return GUINT_TO_POINTER(cluster_stop_daemon(cluster, 0));
}

/* Writes at a daemon that may be stopping, and checks which daemon served it. */
static void write_at(unsigned port, const char *id, const char *served_by)
{
    g_autofree char *sql = g_strdup_printf("INSERT INTO stays VALUES ('%s', '')", id);
    struct http_answer answer;
    http_post(port, &(struct http_call){.sql = sql, .key = id}, &answer);
    http_assert_done(&answer);
    g_assert_nonnull(strstr(answer.served_by, served_by));
    http_answer_clear(&answer);
}

static bool knows_owner(const struct cluster *cluster, unsigned daemon, unsigned owner)
{
    struct owner_list owners;
    g_autofree char *address = control_address_of(cluster->daemons[daemon]->control,
                                                  cluster->daemons[owner]->settings.daemon.name);
    control_owners_of(cluster->daemons[daemon]->control, CLUSTER_GROUP, &owners);
    for (uint32_t i = 0; i < owners.count; i++) {
        if (g_strcmp0(owners.addresses[i], address) == 0) {
            return true;
        }
    }
    return false;
}

/* The new owner can't connect to the databases: the old one serves until it can. */
static void test_old_owner_serves_until_new_is_warm(void)
{
    struct cluster *cluster = start();
    await_owners(cluster, 0, 1);
    unsigned port = cluster_port(cluster, 0);
    for (unsigned i = 0; i < 3; i++) {
        faults_cut_zone(&cluster->databases[i]->faults, cluster_zones[2]);
    }
    GThread *stop = g_thread_new("stop", stop_first_daemon, cluster);
    AWAIT(knows_owner(cluster, 1, 2));
    write_at(port, "served-by-old-owner", "daemon=daemon-1");
    for (unsigned i = 0; i < 3; i++) {
        faults_heal(&cluster->databases[i]->faults);
    }
    g_assert_cmpuint(GPOINTER_TO_UINT(g_thread_join(stop)), ==, 0);
    await_owners(cluster, 1, 2);
    write_at(cluster_port(cluster, 2), "served-by-new-owner", "daemon=daemon-3");
    cluster_stop(cluster);
}

/* A daemon without others to hand over to stops without waiting. */
static void test_last_daemon_stops(void)
{
    struct cluster_options options = {.daemons = 1, .overrides = two_owners};
    struct cluster *cluster = cluster_start(&options);
    g_assert_cmpuint(cluster_stop_daemon(cluster, 0), ==, 0);
    cluster_stop(cluster);
}

int main(int argc, char **argv)
{
    cluster_test_init(&argc, &argv);
    g_test_add_func("/daemon/ownership-move/owners-restart", test_owners_restart);
    g_test_add_func("/daemon/ownership-move/old-owner-serves-until-new-is-warm",
                    test_old_owner_serves_until_new_is_warm);
    g_test_add_func("/daemon/ownership-move/last-daemon-stops", test_last_daemon_stops);
    return g_test_run();
}
