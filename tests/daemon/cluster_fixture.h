/* A whole deployment in the test's process: stand-in databases of one replicated group, and daemons
 * that serve it, all on free ports of loopback. Database i and daemon i are in zone i % 3. */
#ifndef SW_TESTS_DAEMON_CLUSTER_FIXTURE_H
#define SW_TESTS_DAEMON_CLUSTER_FIXTURE_H

#include <glib.h>

#include "daemon/daemon.h"
#include "http_call.h"
#include "server.h"

#define CLUSTER_DATABASES_MAX 5
#define CLUSTER_DAEMONS_MAX   6

/* Number of the group in the configuration. */
#define CLUSTER_GROUP 7

/* Zones of databases and daemons. */
extern const char *const cluster_zones[3];

/* Sizes and bounds; zero takes the default. Tenants "refuge" and "agency" are served alike; "desk"
 * requires keys for its writes; "screen" may not read at the primary at all. */
struct cluster_options {
    unsigned databases;           /* 3 */
    unsigned daemons;             /* 3 */
    unsigned slots;               /* 5 */
    unsigned database_slots;      /* that the databases have; as many as configured */
    unsigned connections;         /* 35 */
    unsigned request_timeout_ms;  /* 20000 */
    unsigned transaction_idle_ms; /* 20000 */
    bool provokes_failures;       /* the daemons notice failures as soon as they do by default */
    const char *const *overrides; /* settings "group.key=value" of all daemons; NULL-terminated */
};

/* One deployment. Used by the test's main thread; other threads may call daemons over HTTP. */
struct cluster {
    struct cluster_options options;
    char *directory; /* token keys and configuration */
    struct server *databases[CLUSTER_DATABASES_MAX];
    struct daemon *daemons[CLUSTER_DAEMONS_MAX]; /* NULL where stopped */
};

/* To be called first: GLib's tests, libcurl, and a log that keeps out of the tests' output. */
void cluster_test_init(int *argc, char ***argv);

/* Starts databases and daemons, waits until all know each other and the primary, and makes the
 * table "stays" (id text PRIMARY KEY, guest text), which every database then has. */
struct cluster *cluster_start(const struct cluster_options *options);

/* Starts databases only; daemons are started by cluster_start_daemon. */
struct cluster *cluster_start_databases(const struct cluster_options *options);

/* Starts daemon `index`, which joins those that run. */
void cluster_start_daemon(struct cluster *cluster, unsigned index);

/* Planned stop of a daemon within a generous bound. Returns how much it cut. */
uint32_t cluster_stop_daemon(struct cluster *cluster, unsigned index);

/* The same on a thread of its own; returns once the other daemons know that it leaves.
 * cluster_join_stop waits for its end and returns how much it cut. */
GThread *cluster_start_stop(struct cluster *cluster, unsigned index);
uint32_t cluster_join_stop(GThread *stop);

/* Stops all, and checks that no database saw a write of a lower term or too many connections. */
void cluster_stop(struct cluster *cluster);

/* Waits until all running daemons know each other and the group's owners, and these see a primary
 * and all databases. */
void cluster_await_ready(struct cluster *cluster);

unsigned cluster_port(const struct cluster *cluster, unsigned daemon);

/* Sends a request to a daemon and waits for the answer. */
void cluster_call(struct cluster *cluster, unsigned daemon, struct http_answer *answer,
                  struct http_call call);

/* Runs a keyed write that must be done; returns the session token. The caller frees it. */
char *cluster_write(struct cluster *cluster, unsigned daemon, const char *key, const char *sql);

/* True if the daemon owns the group now. */
bool cluster_is_owner(const struct cluster *cluster, unsigned daemon);

/* The daemon's present view of the group; without a database if it does not own it. */
struct group_view cluster_view(const struct cluster *cluster, unsigned daemon);

/* Index of the database that leads by its own account in the highest term, or -1. */
int cluster_primary(const struct cluster *cluster);

/* A count that a database gives for "SELECT count(*) FROM ...". */
int64_t cluster_count(const struct cluster *cluster, unsigned database, const char *from);

/* Waits until all databases have applied the same log. */
void cluster_await_replicated(const struct cluster *cluster);

/* Entries appear at a replica so much later from now on. */
void cluster_set_lag(struct cluster *cluster, unsigned database, int64_t milliseconds);

/* Each statement at a database takes so long from now on. */
void cluster_set_service_time(struct cluster *cluster, unsigned database, int64_t microseconds);

/* From now on no statement begins at any database, or they go on. Control commands do. */
void cluster_hold_slots(struct cluster *cluster, bool held);

/* Statements that a database is at work on, those of the daemons' own upkeep included. */
unsigned cluster_slots_used(const struct cluster *cluster, unsigned database);

/* Cuts a database off from the zones of all others, both ways, daemons included. */
void cluster_isolate(struct cluster *cluster, unsigned database);

/* Cuts a database off from everybody. */
void cluster_cut(struct cluster *cluster, unsigned database);

/* Ends all faults at all databases. */
void cluster_heal(struct cluster *cluster);

/* The next `count` statements that contain `match` get no whole answer. */
void cluster_lose_answers(struct cluster *cluster, unsigned database, enum answer_fault fault,
                          unsigned count, const char *match);

/* Statements that contain `match` wait at a database, before they run, until they are released. */
void cluster_hold_statements(struct cluster *cluster, unsigned database, const char *match);
void cluster_release_statements(struct cluster *cluster, unsigned database);

/* Statements that wait so. */
unsigned cluster_held_statements(const struct cluster *cluster, unsigned database);

/* Open transactions at a database count as idle for too long from now on, or no more. */
void cluster_end_idle_transactions(struct cluster *cluster, unsigned database, bool ends);

/* True while a transaction that writes is open at a database. */
bool cluster_has_writer(const struct cluster *cluster, unsigned database);

/* Waits until an expression holds; fails the test after a generous bound, telling what was waited
 * for and the state of all deployments that run. Main thread only. */
#define AWAIT(condition)                                                                           \
    do {                                                                                           \
        gint64 await_since = g_get_monotonic_time();                                               \
        while (!(condition)) {                                                                     \
            cluster_await_pause(await_since, #condition, G_STRLOC);                                \
        }                                                                                          \
    } while (0)
void cluster_await_pause(gint64 since, const char *condition, const char *place);

#endif
