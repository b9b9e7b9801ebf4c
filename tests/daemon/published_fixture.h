/* A deployment with a published configuration: databases and daemons, the stand-in platform and a
 * publisher. */
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
    char *bundle;             /* the first bundle, equal to the cluster's static file */
    GPtrArray *overrides;     /* settings of the daemons started last */
    uint32_t bound_ms;        /* configuration.currency_bound_ms of the daemons started next */
    uint32_t handover_max_ms; /* ownership.handover_max_ms of the same; 0: the default */
    bool store_unreachable;   /* the daemons started next can't reach the platform */
};

/* Starts databases and platform, but no daemon, and publishes nothing. */
struct published_cluster *published_start(uint32_t bound_ms);

void published_stop(struct published_cluster *test);

/* Starts the daemons below `count` that are not running. */
void published_start_daemons(struct published_cluster *test, unsigned count);

/* The first bundle with `from`, which must occur in it, replaced by `to`. The caller frees it. */
char *published_edit(const struct published_cluster *test, const char *from, const char *to);

/* The first bundle with one more tenant. The caller frees it. */
char *published_with_tenant(const struct published_cluster *test, const char *tenant);

/* Publishes a bundle that must become `version`. Returns its content hash; the caller frees it. */
char *published_publish(struct published_cluster *test, const char *bundle, uint64_t version);

struct configuration_status published_status(const struct published_cluster *test, unsigned daemon);

/* Hash of the configuration in force at a daemon, or NULL. The caller frees it. */
char *published_hash(const struct published_cluster *test, unsigned daemon);

/* True if all running daemons serve under this version. */
bool published_all_serve(const struct published_cluster *test, uint64_t version);

/* Waits for that, and until writes at every daemon succeed. */
void published_await(struct published_cluster *test, uint64_t version);

/* Reads the table "stays" for a tenant through a daemon. The read must succeed, or be refused with
 * the error kind if one is given. */
void published_check_read(struct published_cluster *test, unsigned daemon, const char *tenant,
                          const char *error_kind);

/* Response of a daemon's admin listener to a GET. The caller frees it. */
char *published_admin_get(const struct published_cluster *test, unsigned daemon, const char *path,
                          long *status);

/* The same for a POST with a body. */
char *published_admin_post(const struct published_cluster *test, unsigned daemon, const char *path,
                           GBytes *body, long *status);

/* Publishes a bundle with swiftctl on top of version `base`, and hands it over to all running
 * daemons, or only to `daemon` if that is 0 or above. Returns the exit code and writes swiftctl's
 * output to `output`. */
enum exit_code published_by_ctl(const struct published_cluster *test, const char *bundle,
                                uint64_t base, int daemon, GString *output);

/* Number of entries of a kind in a daemon's journal that contain `text`. */
unsigned published_count_events(const struct published_cluster *test, unsigned daemon,
                                const char *kind, const char *text);

/* Checks that all running daemons have the content in force, and that each applied its versions in
 * ascending order. */
void published_check_all_have(const struct published_cluster *test, const char *hash);

#endif
