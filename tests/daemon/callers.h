/* Callers that send without pause to several daemons, and count what they are told. */
#ifndef SW_TESTS_DAEMON_CALLERS_H
#define SW_TESTS_DAEMON_CALLERS_H

#include <pthread.h>
#include <stdatomic.h>

#include "cluster_fixture.h"

#define CALLERS_MAX 16

/* What a caller does, over and over. */
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
    atomic_uint rounds; /* ended, whatever came of them */
    unsigned rows;      /* that it was told are written; after callers_stop */
    GThread *thread;
};

/* All callers of a test. */
struct callers {
    unsigned count;
    struct caller items[CALLERS_MAX];
    atomic_bool stop;
    atomic_uint failures;        /* answers other than done, and calls without a whole answer */
    atomic_bool refused_is_fine; /* a call that was not run is sent again elsewhere */
    pthread_mutex_t lock;        /* not GLib's: the thread sanitizer does not see that */
    unsigned port_count;         /* this and all below under the lock */
    unsigned ports[CLUSTER_DAEMONS_MAX];
    GString *first_failure;
};

/* Starts `count` callers, of each kind in turn, at all daemons that run. */
void callers_start(struct callers *callers, struct cluster *cluster, unsigned count);

/* From now on they call all daemons that run but one; CLUSTER_DAEMONS_MAX leaves out none. */
void callers_use_daemons(struct callers *callers, struct cluster *cluster, unsigned besides);

/* Waits until every caller has ended so many more rounds. */
void callers_await(struct callers *callers, unsigned more);

/* Stops them, and checks that none failed and that what they were told is what is there. */
void callers_stop(struct callers *callers, struct cluster *cluster);

#endif
