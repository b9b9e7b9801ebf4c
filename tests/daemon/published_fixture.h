/* A deployment whose configuration is published: the stand-in platform and a publisher beside
 * databases and daemons. */
#ifndef SW_TESTS_DAEMON_PUBLISHED_FIXTURE_H
#define SW_TESTS_DAEMON_PUBLISHED_FIXTURE_H

#include "cluster_fixture.h"
#include "ctl/ctl.h"
#include "daemon/control_configuration.h"
#include "publisher.h"

/* Used by the test's main thread. */
struct published_cluster {
    struct cluster *cluster;
    struct publisher *publisher;
    char *bundle;             /* the first bundle: that of the cluster's static file */
    GPtrArray *overrides;     /* settings of the daemons started last */
    uint32_t bound_ms;        /* configuration.currency_bound_ms of those started next */
    uint32_t handover_max_ms; /* ownership.handover_max_ms of those; 0: as it is by default */
    bool daemons_lack_store;  /* these find nobody at the platform's address */
};

/* Databases and platform; no daemon yet, and nothing is published. */
struct published_cluster *published_start(uint32_t bound_ms);

void published_stop(struct published_cluster *test);

/* Starts daemons up to `count` that don't run yet. */
void published_start_daemons(struct published_cluster *test, unsigned count);

/* The first bundle with another text in place of one that stands in it. The caller frees it. */
char *published_edit(const struct published_cluster *test, const char *from, const char *to);

/* The first bundle with one more tenant. The caller frees it. */
char *published_with_tenant(const struct published_cluster *test, const char *tenant);

/* Publishes a bundle that must become `version`. Returns its content hash; the caller frees it. */
char *published_publish(struct published_cluster *test, const char *bundle, uint64_t version);

struct configuration_status published_status(const struct published_cluster *test, unsigned daemon);

/* Hash of what is in force at a daemon, or NULL. The caller frees it. */
char *published_hash(const struct published_cluster *test, unsigned daemon);

/* True if all daemons that run serve, and under this version. */
bool published_all_serve(const struct published_cluster *test, uint64_t version);

/* Waits for that, and until every daemon's writes land. */
void published_await(struct published_cluster *test, uint64_t version);

/* Reads the table "stays" for a tenant through a daemon: it must be done, or be refused with the
 * error kind if one is given. */
void published_check_read(struct published_cluster *test, unsigned daemon, const char *tenant,
                          const char *error_kind);

/* Answer of a daemon's admin listener to a GET. The caller frees it. */
char *published_admin_get(const struct published_cluster *test, unsigned daemon, const char *path,
                          long *status);

/* The same for a POST with a body. */
char *published_admin_post(const struct published_cluster *test, unsigned daemon, const char *path,
                           GBytes *body, long *status);

/* Publishes a bundle by swiftctl on top of version `base`, and hands it to the daemons that run, or
 * with `daemon` of 0 or above to that one alone. Returns the exit code; what swiftctl wrote goes to
 * `output`. */
enum exit_code published_by_ctl(const struct published_cluster *test, const char *bundle,
                                uint64_t base, int daemon, GString *output);

/* Entries of a kind in a daemon's journal, with `text` in them. */
unsigned published_count_events(const struct published_cluster *test, unsigned daemon,
                                const char *kind, const char *text);

/* All daemons that run have the content in force, and each took its versions in ascending order. */
void published_check_all_have(const struct published_cluster *test, const char *hash);

#endif
