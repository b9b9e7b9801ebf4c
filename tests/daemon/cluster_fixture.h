/* A complete deployment in the test's process: stand-in databases of one replicated group and the
 * daemons that serve it, all on free loopback ports. Database i and daemon i are in zone i % 3. */
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

/* Zones of the databases and daemons. */
extern const char *const cluster_zones[3];

/* Sizes and limits; zero selects the default. Tenants "refuge" and "agency" have the same route;
 * "desk" requires keys for its writes; "screen" may not read at the primary. */
struct cluster_options {
    unsigned databases;           /* 3 */
    unsigned daemons;             /* 3 */
    unsigned slots;               /* 5 */
    unsigned database_slots;      /* slots that the databases really have; default: as configured */
    unsigned connections;         /* 35 */
    unsigned request_timeout_ms;  /* 20000 */
    unsigned transaction_idle_ms; /* 20000 */
    bool provokes_failures;       /* use the default failure detection instead of long time-outs */
    const char *const *overrides; /* settings "group.key=value" for all daemons; NULL-terminated */
};

/* One deployment. Used by the test's main thread; other threads may call the daemons over HTTP. */
struct cluster {
    struct cluster_options options;
    char *directory; /* token keys and configuration */
    struct server *databases[CLUSTER_DATABASES_MAX];
    struct daemon *daemons[CLUSTER_DAEMONS_MAX]; /* NULL if stopped */
};

/* Initialises GLib's tests, libcurl, and a log that does not mix with the tests' output. Must be
 * called first. */
void cluster_test_init(int *argc, char ***argv);

/* Starts databases and daemons, waits until the daemons know each other and the primary, and
 * creates the table "stays" (id text PRIMARY KEY, guest text) at all databases. */
struct cluster *cluster_start(const struct cluster_options *options);

/* Starts databases only; daemons are started by cluster_start_daemon. */
struct cluster *cluster_start_databases(const struct cluster_options *options);

/* Starts daemon `index`, which joins the running ones. */
void cluster_start_daemon(struct cluster *cluster, unsigned index);

/* Planned stop of a daemon with a long deadline. Returns the number of requests and transactions
 * that it aborted. */
uint32_t cluster_stop_daemon(struct cluster *cluster, unsigned index);

/* The same on a separate thread. cluster_start_stop returns once the other daemons know that the
 * daemon is leaving; cluster_join_stop waits for the end and returns the number of aborted requests
 * and transactions. */
GThread *cluster_start_stop(struct cluster *cluster, unsigned index);
uint32_t cluster_join_stop(GThread *stop);

/* Stops all, and checks that no database received a write of a lower term or too many connections.
 */
void cluster_stop(struct cluster *cluster);

/* Waits until all running daemons know each other and the group's owners, and the owners see a
 * primary and all databases. */
void cluster_await_ready(struct cluster *cluster);

unsigned cluster_port(const struct cluster *cluster, unsigned daemon);

/* Sends a request to a daemon and waits for the answer. */
void cluster_call(struct cluster *cluster, unsigned daemon, struct http_answer *answer,
                  struct http_call call);

/* Runs a keyed write, which must succeed; returns the session token. The caller frees it. */
char *cluster_write(struct cluster *cluster, unsigned daemon, const char *key, const char *sql);

/* True if the daemon owns the group now. */
bool cluster_is_owner(const struct cluster *cluster, unsigned daemon);

/* The daemon's current view of the group; without databases if the daemon does not own it. */
struct group_view cluster_view(const struct cluster *cluster, unsigned daemon);

/* Index of the database that reports to be primary in the highest term, or -1. */
int cluster_primary(const struct cluster *cluster);

/* Result of "SELECT count(*) FROM ..." at a database. */
int64_t cluster_count(const struct cluster *cluster, unsigned database, const char *from);

/* Waits until all databases have applied the same log. */
void cluster_await_replicated(const struct cluster *cluster);

/* Delays the appearance of entries at a replica from now on. */
void cluster_set_lag(struct cluster *cluster, unsigned database, int64_t milliseconds);

/* Sets the duration of each statement at a database from now on. */
void cluster_set_service_time(struct cluster *cluster, unsigned database, int64_t microseconds);

/* Stops or resumes the start of statements at all databases. Control commands still run. */
void cluster_hold_slots(struct cluster *cluster, bool held);

/* Statements in progress at a database, including those of the daemons' own maintenance. */
unsigned cluster_slots_used(const struct cluster *cluster, unsigned database);

/* Partitions a database from the zones of all others, in both directions, daemons included. */
void cluster_isolate(struct cluster *cluster, unsigned database);

/* Partitions a database from all zones. */
void cluster_partition(struct cluster *cluster, unsigned database);

/* Ends all faults at all databases. */
void cluster_clear_faults(struct cluster *cluster);

/* The next `count` statements that contain `match` get no complete answer. */
void cluster_lose_answers(struct cluster *cluster, unsigned database, enum answer_fault fault,
                          unsigned count, const char *match);

/* Holds statements that contain `match` at a database before they run, until they are released. */
void cluster_hold_statements(struct cluster *cluster, unsigned database, const char *match);
void cluster_release_statements(struct cluster *cluster, unsigned database);

/* Number of statements held. */
unsigned cluster_held_statements(const struct cluster *cluster, unsigned database);

/* Lets the database end open transactions as idle for too long from now on, or no longer. */
void cluster_end_idle_transactions(struct cluster *cluster, unsigned database, bool ends);

/* True while a transaction with writes is open at a database. */
bool cluster_has_writer(const struct cluster *cluster, unsigned database);

/* Waits until an expression holds. After a long bound it fails the test and prints the expression
 * and the state of all running deployments. Main thread only. */
#define AWAIT(condition)                                                                           \
    do {                                                                                           \
        gint64 await_since = g_get_monotonic_time();                                               \
        while (!(condition)) {                                                                     \
            cluster_await_pause(await_since, #condition, G_STRLOC);                                \
        }                                                                                          \
    } while (0)
void cluster_await_pause(gint64 since, const char *condition, const char *place);

#endif
