/* A worker: one thread with its own event loop, which owns its client sessions, its connections to
 * databases and its queues. Threads share only the view, the per-group figures (struct
 * group_shared) and the counters. */
#ifndef SW_POOLER_WORKER_H
#define SW_POOLER_WORKER_H

#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>

#include "pooler/shared/metrics.h"
#include "pooler/rate/counting.h"
#include "pooler/shared/view.h"

struct worker;

/* Shared by the control thread and all workers. Fields that are not atomic are set before the first
 * worker starts. */
struct worker_shared {
    struct view *view;                 /* under RCU */
    _Atomic time_ns stop_at;           /* when the planned stop began; 0: none has */
    time_ns stop_grace;                /* longest duration of a planned stop */
    _Atomic time_ns partitioned_since; /* when a network partition of this zone from the others was
                                          detected; 0: there is none */
    int control_wake;                  /* eventfd that wakes the control thread */
    _Atomic uint64_t urgent_updates;   /* incremented with each change that is reported to the
                                          coordinator without waiting for the next heartbeat */
    struct sockaddr_in listen;
    struct sockaddr_in forward_listen; /* for poolers that forward statements; port 0: none */
    uint32_t sessions_max;
    /* Latest time at which the newest view's configuration was known to be the store's newest; 0:
     * never. */
    _Atomic time_ns configuration_proven_at;
    time_ns proof_lifetime; /* how long that time admits keys; 0: no proof is required */
    /* A statement whose bytes the database's host has not acknowledged after this time is cancelled
     * by closing its connection; 0: never. */
    time_ns unacknowledged_max;
    counting_t *counting; /* counts the tenants' operations; NULL: not counted */
};

/* Starts the thread. NULL with `error` if the worker can't listen. `index` counts from 0. */
struct worker *worker_start(struct worker_shared *shared, unsigned index, GError **error);

/* Wakes the worker to check for a newer view, a planned stop or a partition. Any thread. */
void worker_wake(struct worker *worker);

/* Number of the newest view that the worker has applied; 0: none yet. Any thread. */
uint64_t worker_view_number(const struct worker *worker);

/* True once the worker has ended its planned stop. Any thread. */
bool worker_ended(const struct worker *worker);

/* Number of open sessions. Any thread. */
uint32_t worker_sessions(const struct worker *worker);

/* The worker's counters. Any thread may read them. */
struct metrics *worker_metrics(struct worker *worker);

/* Waits for the thread and frees the worker. */
void worker_join(struct worker *worker);

#endif
