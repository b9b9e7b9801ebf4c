/* Callers that send to several daemons continuously and record the outcomes. */
#ifndef SW_TESTS_DAEMON_CALLERS_H
#define SW_TESTS_DAEMON_CALLERS_H

#include <pthread.h>
#include <stdatomic.h>

#include "cluster_fixture.h"

#define CALLERS_MAX 16

/* What a caller does in each round. */
enum caller_kind {
    CALLER_KIND_KEYED_WRITE,
    CALLER_KIND_UNKEYED_WRITE,
    CALLER_KIND_READ,
    CALLER_KIND_TRANSACTION, /* begin, insert, read, commit: each at the next daemon */
    CALLER_KIND_COUNT,
};

/* One caller on a thread of its own. */
struct caller {
    struct callers *callers;
    enum caller_kind kind;
    unsigned number;
    atomic_uint rounds; /* rounds ended, with any outcome */
    unsigned rows;      /* rows reported as written; set by callers_stop */
    GThread *thread;
};

/* All callers of a test. */
struct callers {
    unsigned count;
    struct caller items[CALLERS_MAX];
    atomic_bool stop;
    atomic_uint failures;      /* answers other than done, and calls without a complete answer */
    atomic_bool retry_refused; /* a call that was not run is sent again to another daemon */
    pthread_mutex_t lock; /* a pthread mutex, since the thread sanitizer does not support GLib's */
    unsigned port_count;  /* this and all below are under the lock */
    unsigned ports[CLUSTER_DAEMONS_MAX];
    GString *first_failure;
};

/* Starts `count` callers, of all kinds alternately, at all running daemons. */
void callers_start(struct callers *callers, struct cluster *cluster, unsigned count);

/* From now on they call all running daemons except one; CLUSTER_DAEMONS_MAX excludes none. */
void callers_use_daemons(struct callers *callers, struct cluster *cluster, unsigned besides);

/* Waits until every caller has ended this many more rounds. */
void callers_await(struct callers *callers, unsigned more);

/* Stops the callers, and checks that none failed and that exactly the acknowledged rows are
 * present. */
void callers_stop(struct callers *callers, struct cluster *cluster);

#endif
