/* A worker: one thread with an event loop of its own, which owns its sessions, its connections to
 * databases and its queues. Nothing here is shared but the view, the groups' figures and the
 * counters. */
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

/* What a worker shares with the control thread. */
struct worker_shared {
    struct view *view;                 /* under RCU */
    _Atomic time_ns stop_at;           /* when the planned stop began; 0: not yet */
    time_ns stop_grace;                /* how long a planned stop may take */
    _Atomic time_ns partitioned_since; /* this zone is cut off since then; 0: it is not */
    int control_wake;                  /* eventfd that wakes the control thread */
    _Atomic uint64_t
        urgent_updates; /* rises with each change that the coordinator should hear of at once */
    struct sockaddr_in listen;
    struct sockaddr_in forward_listen; /* for other poolers' statements; port 0: nowhere */
    uint32_t sessions_max;
    /* The configuration of the newest view was the store's newest then; 0: never proven. */
    _Atomic time_ns configuration_proven_at;
    time_ns proof_lifetime;     /* for which that counts; 0: no proof is asked for */
    time_ns unacknowledged_max; /* a statement that has not left by then is taken back; 0: never */
    counting_t *counting;       /* of tenants' operations; NULL: none are counted */
};

/* Starts the thread. NULL with `error` if it can't listen. `index` counts from 0. */
struct worker *worker_start(struct worker_shared *shared, unsigned index, GError **error);

/* Wakes the worker, so that it looks at the view and at a planned stop. Any thread. */
void worker_wake(struct worker *worker);

/* Number of the newest view that the worker follows; 0: none yet. Any thread. */
uint64_t worker_view_number(const struct worker *worker);

/* True once the worker has ended its planned stop. Any thread. */
bool worker_ended(const struct worker *worker);

/* Open sessions. Any thread. */
uint32_t worker_sessions(const struct worker *worker);

/* The worker's counters; any thread may read them. */
struct metrics *worker_metrics(struct worker *worker);

/* Waits for the thread and frees the worker. */
void worker_join(struct worker *worker);

#endif
